"""Judges and paces moves that have seconds rather than minutes.

Each node counts the outcomes of the worker beside it and tells all others, so
that every node decides the same from the same counts. A move with a deadline
of 12 s at 300 requests per second leaves some 20 requests per second for the
new version at the first step; the tests below decide from that few.
"""

import math
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

# Share of the new version at each step. The first one keeps a version that
# turns bad within seconds far below a tenth of all requests.
STEP_SHARES = (0.05, 0.15, 0.4, 1.0)
# Part of the move's time that each step lasts at least. Versions often turn
# bad only after some seconds, so the first step takes longest.
STEP_FRACTIONS = (0.3, 0.1, 0.1, 0.15)
# Outcomes of the new version that a step needs before the next one.
STEP_CALLS_MIN = (40, 60, 100, 60)
# Part of the time after which steps no longer wait for enough outcomes.
LATE_FRACTION = 0.6
# Standard deviations of the confidence bounds.
CONFIDENCE_SIGMAS = 3.0
# What the new version may be worse by before it is taken back.
FAILURE_FACTOR = 2.0
FAILURE_MARGIN = 0.04
SLOW_MARGIN = 0.1
# An answer that takes longer than this multiple of the old version's mean is
# slow. Workers differ in speed by up to 2.5 and work varies, so less would
# take a slow host for a bad version.
SLOW_FACTOR = 4.5
BAD_CALLS_MIN = 4
OLD_CALLS_MIN = 20
# Bounds of the latency buckets, in seconds; each 1.5 times the one before.
BUCKET_BOUNDS_S = tuple(0.004 * 1.5**index for index in range(18))


@define
class Tally:
    """Outcomes of one route at one version.

    Parameters
    ----------
    calls, failed : int
        Finished requests, and those that failed.
    total_s : float
        Sum of the times of those that did not fail, in seconds.
    buckets : list of int
        Their number by latency; the last one has no upper bound.
    """

    calls: int = 0
    failed: int = 0
    total_s: float = 0.0
    buckets: list[int] = field(factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1))

    def record(self, is_failure: bool, seconds: float) -> None:
        """Count one outcome."""
        self.calls += 1
        if is_failure:
            self.failed += 1
            return
        self.total_s += seconds
        index = 0
        while index < len(BUCKET_BOUNDS_S) and seconds > BUCKET_BOUNDS_S[index]:
            index += 1
        self.buckets[index] += 1

    def add(self, other: "Tally") -> None:
        """Add the outcomes of another host."""
        self.calls += other.calls
        self.failed += other.failed
        self.total_s += other.total_s
        for index, count in enumerate(other.buckets):
            self.buckets[index] += count

    def count_slower(self, limit_s: float) -> int:
        """Count the answers that surely took longer than a limit."""
        return sum(
            count
            for index, count in enumerate(self.buckets)
            if index and BUCKET_BOUNDS_S[index - 1] >= limit_s
        )


def merge_tallies(
    tallies: Iterable[Mapping[str, Tally]],
) -> dict[str, Tally]:
    """Return the sum of the tallies of several hosts, by route."""
    merged: dict[str, Tally] = {}
    for by_route in tallies:
        for route, tally in by_route.items():
            merged.setdefault(route, Tally()).add(tally)
    return merged


def compute_wilson_lower_bound(bad: int, calls: int) -> float:
    """Return the lower Wilson bound of a share.

    Examples
    --------
    >>> compute_wilson_lower_bound(0, 10)
    0.0
    >>> round(compute_wilson_lower_bound(10, 20), 2)
    0.22
    """
    if not bad:
        return 0.0
    share = bad / calls
    square = CONFIDENCE_SIGMAS * CONFIDENCE_SIGMAS / calls
    center = share + square / 2
    spread = math.sqrt(share * (1 - share) * square + square * square / 4)
    return max(0.0, (center - spread) / (1 + square))


def find_regression(old: Mapping[str, Tally], new: Mapping[str, Tally]) -> str:
    """Return why a new version is bad, or nothing.

    Parameters
    ----------
    old, new : mapping of str to Tally
        Outcomes by route since the move began.
    """
    for route, tally in new.items():
        base = old.get(route, Tally())
        known = (base.failed + 0.5) / (base.calls + 25.0)
        limit = FAILURE_FACTOR * known + FAILURE_MARGIN
        if (
            tally.failed >= BAD_CALLS_MIN
            and compute_wilson_lower_bound(tally.failed, tally.calls) > limit
        ):
            return (
                f"{tally.failed} of {tally.calls} requests of route {route} failed, "
                f"{base.failed} of {base.calls} on the old version"
            )
        if base.calls - base.failed < OLD_CALLS_MIN:
            continue
        limit_s = SLOW_FACTOR * base.total_s / (base.calls - base.failed)
        slow, old_slow = tally.count_slower(limit_s), base.count_slower(limit_s)
        limit = FAILURE_FACTOR * old_slow / base.calls + SLOW_MARGIN
        if (
            slow >= BAD_CALLS_MIN
            and compute_wilson_lower_bound(slow, tally.calls) > limit
        ):
            return (
                f"{slow} of {tally.calls} requests of route {route} took over "
                f"{limit_s:.3f} s, {old_slow} of {base.calls} on the old version"
            )
    return ""


@frozen
class MoveProgress:
    """Where a move stands.

    Parameters
    ----------
    step : int
        Index of the step; -1 before the first.
    step_started_at : float
        When the step began, in seconds of the local clock.
    calls : int
        Outcomes of the new version when the step began.
    """

    step: int = -1
    step_started_at: float = 0.0
    calls: int = 0

    @property
    def share(self) -> float:
        """Share of requests of the new version, from 0 to 1."""
        return 0.0 if self.step < 0 else STEP_SHARES[self.step]


@frozen
class MoveObservation:
    """What the pace of a move depends on.

    Parameters
    ----------
    age_s, duration_s : float
        Time since the order, and the time that the move has, in seconds.
    new_calls : int
        Outcomes of the new version.
    new_ready, old_ready : int
        Ready workers of both versions.
    """

    age_s: float
    duration_s: float
    new_calls: int
    new_ready: int
    old_ready: int


def advance(pace: MoveProgress, facts: MoveObservation, now: float) -> MoveProgress:
    """Return the step of a move that has shown no harm."""
    last = len(STEP_SHARES) - 1
    if not facts.new_ready or pace.step >= last:
        return pace
    if pace.step < 0:
        return MoveProgress(0, now, facts.new_calls)
    is_late = facts.age_s > LATE_FRACTION * facts.duration_s
    part = STEP_FRACTIONS[pace.step] * (0.5 if is_late else 1.0)
    if now - pace.step_started_at < part * facts.duration_s:
        return pace
    if not is_late and facts.new_calls - pace.calls < STEP_CALLS_MIN[pace.step]:
        return pace
    if pace.step + 1 == last and 2 * facts.new_ready < facts.old_ready:
        return pace
    return MoveProgress(pace.step + 1, now, facts.new_calls)


def is_complete(pace: MoveProgress, facts: MoveObservation, now: float) -> bool:
    """Return whether all traffic has moved for long enough."""
    last = len(STEP_SHARES) - 1
    return (
        pace.step == last
        and facts.new_ready > 0
        and now - pace.step_started_at
        >= min(2.0, STEP_FRACTIONS[last] * facts.duration_s)
    )


def count_workers_used(share: float, old_ready: int) -> int:
    """Return how many workers of the new version get requests at a share.

    Few of them at a small share, so that a version that is bad only under load
    shows it early.

    Examples
    --------
    >>> [count_workers_used(share, 5) for share in STEP_SHARES]
    [1, 1, 2, 5]
    """
    return max(1, math.ceil(share * old_ready - 1e-9))
