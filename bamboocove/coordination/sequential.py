"""Wagers against a null hypothesis, valid at every look.

A wager is a nonnegative supermartingale that starts at 1 under its null
hypothesis, so that it ever reaches ``1 / alpha`` with probability at most
``alpha`` (Ville's inequality).
"""

import math
from collections.abc import Sequence

from attrs import frozen

# Odds ratio up to which the new version counts as equal to the old one.
NULL_ODDS_RATIO = 1.2
# Alternatives that are mixed: from a slight increase to nearly every call bad.
ODDS_RATIOS = (2.0, 4.0, 10.0, 30.0, 100.0)
# Bets between two entries of new capital. More entries notice a late change
# sooner, but each later entry is smaller.
BETS_PER_ENTRY = 10
# Sums above this are rescaled so that they do not overflow.
RESCALE_LIMIT = 1e200


@frozen
class Wager:
    """Capital staked on each of several alternatives.

    Capital enters in portions ``1 / (j * (j + 1))``, j = 1, 2, ..., which sum
    to 1; what has not entered is cash. A version that turns bad after a long
    good period is thereby found, although the first portion is lost by then.

    Parameters
    ----------
    log_capitals : tuple of float
        Natural logarithm of the capital on each alternative.
    entries : int
        Portions that have entered.
    bets : int
        Bets since the last entry.
    """

    log_capitals: tuple[float, ...]
    entries: int = 1
    bets: int = 0

    @property
    def log_value(self) -> float:
        """Natural logarithm of the whole wealth, cash included."""
        return add_logs((*self.log_capitals, -math.log(self.entries + 1)))


def add_logs(logs: Sequence[float]) -> float:
    """Return the logarithm of a sum of numbers given by their logarithms."""
    largest = max(logs)
    return largest + math.log(sum(math.exp(value - largest) for value in logs))


def open_wager(alternatives: int) -> Wager:
    """Return a wager of value 1.

    Examples
    --------
    >>> abs(open_wager(5).log_value) < 1e-12
    True
    """
    return Wager((math.log(0.5 / alternatives),) * alternatives)


def place_bet(
    wager: Wager, log_factors: Sequence[float], log_cap: float = math.inf
) -> Wager:
    """Multiply the capital of each alternative by its factor.

    Parameters
    ----------
    wager : Wager
        Wealth before.
    log_factors : sequence of float
        Logarithms of one e-value for each alternative.
    log_cap : float
        Largest logarithm taken from one bet. A capped e-value stays one; the
        cap makes a verdict need several windows, because the crash of one host
        fills one window with failures.
    """
    capitals = [
        capital + min(factor, log_cap)
        for capital, factor in zip(wager.log_capitals, log_factors, strict=True)
    ]
    if wager.bets + 1 < BETS_PER_ENTRY:
        return Wager(tuple(capitals), wager.entries, wager.bets + 1)
    entries = wager.entries + 1
    portion = -math.log(entries * (entries + 1) * len(capitals))
    return Wager(tuple(add_logs((value, portion)) for value in capitals), entries)


def _log_weight(new: int, old: int, bad: int, odds_ratio: float) -> float:
    """Return the log normaliser of Fisher's noncentral hypergeometric law."""
    first = max(0, bad - old)
    term = total = 1.0
    shift = 0.0
    for drawn in range(first, min(bad, new)):
        term *= (new - drawn) * (bad - drawn) * odds_ratio
        term /= (drawn + 1) * (old - bad + drawn + 1)
        total += term
        if total > RESCALE_LIMIT:
            shift += math.log(total)
            term /= total
            total = 1.0
    return shift + math.log(total) + first * math.log(odds_ratio)


def compare_windows(
    new_calls: int, new_bad: int, old_calls: int, old_bad: int
) -> tuple[float, ...]:
    """Return log e-values for "the new version has more bad calls".

    Calls are assigned to a version at random with the same share on every
    node. Given how many calls were bad, the number of bad ones on the new
    version therefore follows Fisher's noncentral hypergeometric law, whatever
    the bad rate is in this window. An outage that hits both versions cancels.

    Returns
    -------
    log_factors : tuple of float, one for each of ``ODDS_RATIOS``
        Log likelihood ratios against ``NULL_ODDS_RATIO``. The ratio rises with
        ``new_bad``, so it is an e-value for every smaller odds ratio as well.

    Examples
    --------
    >>> compare_windows(10, 0, 0, 0)
    (0.0, 0.0, 0.0, 0.0, 0.0)
    >>> max(compare_windows(1, 1, 99, 0)) > 3.0
    True
    """
    bad = new_bad + old_bad
    if not (bad and new_calls and old_calls) or bad == new_calls + old_calls:
        return (0.0,) * len(ODDS_RATIOS)
    null = _log_weight(new_calls, old_calls, bad, NULL_ODDS_RATIO)
    return tuple(
        new_bad * math.log(ratio / NULL_ODDS_RATIO)
        + null
        - _log_weight(new_calls, old_calls, bad, ratio)
        for ratio in ODDS_RATIOS
    )


def compare_with_rate(calls: int, bad: int, rate: float) -> tuple[float, ...]:
    """Return log e-values for "bad calls are more frequent than ``rate``"."""
    odds = rate / (1.0 - rate)
    null = odds * NULL_ODDS_RATIO / (1.0 + odds * NULL_ODDS_RATIO)
    return tuple(
        log_likelihood_ratio(calls, bad, odds * ratio / (1.0 + odds * ratio), null)
        for ratio in ODDS_RATIOS
    )


def log_likelihood_ratio(calls: int, bad: int, rate: float, null: float) -> float:
    """Return the log likelihood ratio of two rates of bad calls."""
    return bad * math.log(rate / null) + (calls - bad) * math.log(
        (1.0 - rate) / (1.0 - null)
    )


def compute_divergence(rate: float, null: float) -> float:
    """Return the expected log likelihood ratio of one call at ``rate``."""
    return rate * math.log(rate / null) + (1.0 - rate) * math.log(
        (1.0 - rate) / (1.0 - null)
    )
