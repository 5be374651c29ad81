"""E-values and e-processes of the sequential tests."""

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
    start_e_process,
    update_e_process,
)

COUNTS = st.integers(0, 12)


def make_hypergeometric_weights(new, old, bad, ratio):
    """Return the unnormalised probability of each number of bad new calls."""
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
    # Guards against an e-value whose expectation exceeds 1 for a good version,
    # which would break the bound on false alarms.
    bad = round(part * (new + old))
    weights = make_hypergeometric_weights(new, old, bad, odds_ratio)
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
    # Guards against a wrong null rate when the new version at a share of 100%
    # is compared with the known rate of the old one.
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
def test_windows_without_comparison_are_no_evidence(counts):
    # Guards against evidence from a window in which one version has no calls
    # or no call is bad.
    assert compare_windows(*counts) == (0.0,) * len(ODDS_RATIOS)


def test_total_outage_of_both_versions_is_no_evidence():
    # Guards against a dependency outage counting against the new version.
    assert compare_windows(7, 7, 90, 90) == (0.0,) * len(ODDS_RATIOS)


def test_large_windows_do_not_overflow():
    # Guards against OverflowError with the calls of a large deployment.
    factors = compare_windows(4000, 3000, 4000, 100)
    assert all(math.isfinite(value) for value in factors)
    assert max(factors) > 100


def test_e_process_starts_at_one_and_stays_there_without_evidence():
    # Guards against weights of the starting times that sum to more than 1:
    # updates with e-values of 1 must leave the value unchanged over many
    # starting times.
    e_process = start_e_process(5)
    for _ in range(500):
        e_process = update_e_process(e_process, (0.0,) * 5)
    assert e_process.log_value == pytest.approx(0.0, abs=1e-9)


def test_e_process_recovers_after_a_long_good_period():
    # Guards against a late fault being offset by the good period before it.
    e_process = start_e_process(1)
    for _ in range(1000):
        e_process = update_e_process(e_process, (-1.0,))
    for _ in range(40):
        e_process = update_e_process(e_process, (1.0,))
    assert e_process.log_value > 10


def test_evidence_of_one_window_is_capped():
    # Guards against a verdict from one window that the crash of one host filled
    # with failures.
    e_process = update_e_process(start_e_process(1), (50.0,), log_cap=2.0)
    assert e_process.log_value < 2.0


def test_factor_grows_with_bad_calls_on_new():
    # Guards against a likelihood ratio that is not monotone in the bad calls on
    # the new version: it would be no e-value for the composite null hypothesis.
    for new, old in product((1, 5, 20), (3, 30)):
        bad = min(new, old, 3)
        values = [
            compare_windows(new, drawn, old, bad - drawn)[0] for drawn in range(bad + 1)
        ]
        assert values == sorted(values)
