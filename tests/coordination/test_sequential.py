"""Wagers against a null hypothesis."""

import math
from itertools import product

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.sequential import (
    NULL_ODDS_RATIO,
    ODDS_RATIOS,
    compare_windows,
    compare_with_rate,
    open_wager,
    place_bet,
)

COUNTS = st.integers(0, 12)


def weigh(new, old, bad, ratio):
    return {
        drawn: math.comb(new, drawn) * math.comb(old, bad - drawn) * ratio**drawn
        for drawn in range(max(0, bad - old), min(bad, new) + 1)
    }


@settings(derandomize=True, max_examples=300)
@given(
    new=st.integers(1, 12),
    old=st.integers(1, 40),
    part=st.floats(0, 1),
    odds_ratio=st.floats(0.2, NULL_ODDS_RATIO),
)
def test_window_factor_is_an_e_value_under_the_null(new, old, part, odds_ratio):
    # Guards against a factor whose expectation exceeds 1 on a good version,
    # which would void the false alarm bound.
    bad = round(part * (new + old))
    weights = weigh(new, old, bad, odds_ratio)
    total = sum(weights.values())
    for index in range(len(ODDS_RATIOS)):
        expected = sum(
            weight
            / total
            * math.exp(compare_windows(new, drawn, old, bad - drawn)[index])
            for drawn, weight in weights.items()
        )
        assert expected <= 1.0 + 1e-9


def test_rate_factor_is_an_e_value_at_the_null_rate():
    # Guards against a wrong null rate in the comparison at 100%.
    odds = 0.1 / 0.9 * NULL_ODDS_RATIO
    null = odds / (1 + odds)
    expected = sum(
        math.comb(10, bad)
        * null**bad
        * (1 - null) ** (10 - bad)
        * math.exp(compare_with_rate(10, bad, 0.1)[2])
        for bad in range(11)
    )
    assert expected == pytest.approx(1.0)


@pytest.mark.parametrize("counts", [(0, 0, 9, 3), (9, 3, 0, 0), (5, 0, 5, 0)])
def test_windows_without_comparison_say_nothing(counts):
    # Guards against an outage (all calls bad) or an idle version as evidence.
    assert compare_windows(*counts) == (0.0,) * len(ODDS_RATIOS)


def test_total_outage_of_both_versions_says_nothing():
    # Guards against a dependency outage being held against the new version.
    assert compare_windows(7, 7, 90, 90) == (0.0,) * len(ODDS_RATIOS)


def test_large_windows_do_not_overflow():
    # Guards against OverflowError with the calls of a large deployment.
    factors = compare_windows(4000, 3000, 4000, 100)
    assert all(math.isfinite(value) for value in factors)
    assert max(factors) > 100


def test_wager_starts_at_one_and_expected_wealth_stays_there():
    # Guards against portions of capital that sum to more than 1: bets with
    # factors 1 must leave the wealth unchanged over many entries.
    wager = open_wager(5)
    for _ in range(500):
        wager = place_bet(wager, (0.0,) * 5)
    assert wager.log_value == pytest.approx(0.0, abs=1e-9)


def test_wager_recovers_after_a_long_good_period():
    # Guards against a late fault being offset by the good time before it.
    wager = open_wager(1)
    for _ in range(1000):
        wager = place_bet(wager, (-1.0,))
    for _ in range(40):
        wager = place_bet(wager, (1.0,))
    assert wager.log_value > 10


def test_one_window_is_capped():
    # Guards against a verdict from the crash of one host in one window.
    wager = place_bet(open_wager(1), (50.0,), log_cap=2.0)
    assert wager.log_value < 2.0


def test_factor_grows_with_bad_calls_on_new():
    # The e-value for the composite null relies on a monotone ratio.
    for new, old in product((1, 5, 20), (3, 30)):
        bad = min(new, old, 3)
        values = [
            compare_windows(new, drawn, old, bad - drawn)[0] for drawn in range(bad + 1)
        ]
        assert values == sorted(values)
