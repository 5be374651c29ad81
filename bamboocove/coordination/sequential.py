"""Sequential tests with e-processes, valid at any stopping time.

Under its null hypothesis an e-process is a nonnegative supermartingale that
starts at 1. The probability that it ever reaches ``1 / alpha`` is therefore at
most ``alpha`` (Ville's inequality), however often it is evaluated.
"""

import math
from collections.abc import Sequence

from attrs import frozen

# Odds ratio up to which the new version counts as equal to the old one.
NULL_ODDS_RATIO = 1.2
# Odds ratios of the alternatives, from a slight increase to nearly every call bad.
ODDS_RATIOS = (2.0, 4.0, 10.0, 30.0, 100.0)
# Updates between two starting times of the mixture. More starting times detect
# a late change sooner, but each later one has a smaller weight.
UPDATES_PER_START = 10
# Sums above this are rescaled to avoid overflow.
RESCALE_LIMIT = 1e200


@frozen
class EProcess:
    """Mixture of e-processes over several alternatives and starting times.

    The starting times have the weights ``1 / (j * (j + 1))``, j = 1, 2, ...,
    which sum to 1. Evidence before a starting time does not affect the
    e-processes that start there, so that a version that turns bad after a long
    good period is detected although the first e-processes are near 0 by then.

    Parameters
    ----------
    log_components : tuple of float
        Natural logarithm of the value for each alternative, summed over the
        starting times reached so far.
    starts : int
        Starting times reached so far.
    updates : int
        Updates since the last starting time.
    """

    log_components: tuple[float, ...]
    starts: int = 1
    updates: int = 0

    @property
    def log_value(self) -> float:
        """Natural logarithm of the value; later starting times count with value 1."""
        return log_sum_exp((*self.log_components, -math.log(self.starts + 1)))


def log_sum_exp(logs: Sequence[float]) -> float:
    """Return the logarithm of the sum of the exponentials."""
    largest = max(logs)
    return largest + math.log(sum(math.exp(value - largest) for value in logs))


def start_e_process(alternatives: int) -> EProcess:
    """Return an e-process of value 1.

    Examples
    --------
    >>> abs(start_e_process(5).log_value) < 1e-12
    True
    """
    return EProcess((math.log(0.5 / alternatives),) * alternatives)


def update_e_process(
    e_process: EProcess, log_factors: Sequence[float], log_cap: float = math.inf
) -> EProcess:
    """Return the e-process multiplied by the e-values of one more window.

    Parameters
    ----------
    e_process : EProcess
        State before the window.
    log_factors : sequence of float
        Logarithm of one e-value for each alternative.
    log_cap : float
        Upper bound of each logarithm. A capped e-value remains an e-value. The
        cap makes a verdict need several windows, because the crash of one host
        fills one window with failures.
    """
    components = [
        component + min(factor, log_cap)
        for component, factor in zip(e_process.log_components, log_factors, strict=True)
    ]
    if e_process.updates + 1 < UPDATES_PER_START:
        return EProcess(tuple(components), e_process.starts, e_process.updates + 1)
    starts = e_process.starts + 1
    log_weight = -math.log(starts * (starts + 1) * len(components))
    return EProcess(
        tuple(log_sum_exp((value, log_weight)) for value in components), starts
    )


def _compute_log_normaliser(new: int, old: int, bad: int, odds_ratio: float) -> float:
    """Return the log normaliser of Fisher's noncentral hypergeometric distribution."""
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
    new_calls: int,
    new_bad: int,
    old_calls: int,
    old_bad: int,
    odds_ratios: Sequence[float] = ODDS_RATIOS,
    null_odds_ratio: float = NULL_ODDS_RATIO,
) -> tuple[float, ...]:
    """Return log e-values for "the new version has more bad calls than the old one".

    Calls are assigned to a version at random with the same share on every
    node. Given the number of bad calls, the number of bad calls on the new
    version therefore follows Fisher's noncentral hypergeometric distribution,
    whatever the rate of bad calls in this window. An outage that affects both
    versions cancels out.

    Returns
    -------
    log_factors : tuple of float, one for each of ``odds_ratios``
        Log likelihood ratios against ``null_odds_ratio``. The ratio increases
        with ``new_bad``, so it is an e-value for every smaller odds ratio too.

    Examples
    --------
    >>> compare_windows(10, 0, 0, 0)
    (0.0, 0.0, 0.0, 0.0, 0.0)
    >>> max(compare_windows(1, 1, 99, 0)) > 3.0
    True
    """
    bad = new_bad + old_bad
    if not (bad and new_calls and old_calls) or bad == new_calls + old_calls:
        return (0.0,) * len(odds_ratios)
    null = _compute_log_normaliser(new_calls, old_calls, bad, null_odds_ratio)
    return tuple(
        new_bad * math.log(ratio / null_odds_ratio)
        + null
        - _compute_log_normaliser(new_calls, old_calls, bad, ratio)
        for ratio in odds_ratios
    )


def compare_with_rate(calls: int, bad: int, rate: float) -> tuple[float, ...]:
    """Return log e-values for "bad calls are more frequent than ``rate``".

    There is one for each of ``ODDS_RATIOS``.
    """
    odds = rate / (1.0 - rate)
    null = odds * NULL_ODDS_RATIO / (1.0 + odds * NULL_ODDS_RATIO)
    return tuple(
        log_likelihood_ratio(calls, bad, odds * ratio / (1.0 + odds * ratio), null)
        for ratio in ODDS_RATIOS
    )


def log_likelihood_ratio(calls: int, bad: int, rate: float, null: float) -> float:
    """Return the log likelihood ratio of ``rate`` against the rate ``null``."""
    return bad * math.log(rate / null) + (calls - bad) * math.log(
        (1.0 - rate) / (1.0 - null)
    )


def compute_kl_divergence(rate: float, null: float) -> float:
    """Return the Kullback-Leibler divergence of two rates of bad calls.

    It is the expected log likelihood ratio of one call if ``rate`` is true.
    """
    return rate * math.log(rate / null) + (1.0 - rate) * math.log(
        (1.0 - rate) / (1.0 - null)
    )
