"""Analysis and steps of moves whose deadline is seconds rather than minutes away.

Each node counts the outcomes of the worker on its host and sends the counts to
all others, so that all nodes take the same decisions from the same counts. With a
deadline of 12 s and 300 requests per second, the first step gives the new version
about 20 requests per second; the tests below must decide from so few.
"""

import math
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

# Share of the new version on each step. The first one is low so that a version
# that turns bad within seconds gets far less than a tenth of all requests.
STEP_SHARES = (0.05, 0.15, 0.4, 1.0)
# Minimum duration of each step as a fraction of the move's duration. The first
# step is the longest, because versions often turn bad only after some seconds.
STEP_FRACTIONS = (0.3, 0.1, 0.1, 0.15)
# Outcomes of the new version that each step needs before the next one.
STEP_CALLS_MIN = (40, 60, 100, 60)
# Fraction of the move's duration after which steps take half the time and no
# longer wait for enough outcomes.
LATE_FRACTION = 0.6
# Width of the confidence bounds in standard deviations.
CONFIDENCE_SIGMAS = 3.0
# Highest rate of failed or slow requests at which the new version is not bad:
# this multiple of the old version's rate plus the margin.
FAILURE_FACTOR = 2.0
FAILURE_MARGIN = 0.04
SLOW_MARGIN = 0.1
# A request is slow if it takes longer than this multiple of the old version's
# mean. With a smaller one a slow host would look like a bad version: the speed of
# workers differs by a factor of up to 2.5, and requests differ in cost.
SLOW_FACTOR = 4.5
# Failed or slow requests that a regression needs at least.
BAD_CALLS_MIN = 4
# Successful requests to the old version from which on latencies are compared.
OLD_CALLS_MIN = 20
# Upper bounds of the latency buckets, each 1.5 times the one before.
BUCKET_BOUNDS_S = tuple(0.004 * 1.5**index for index in range(18))


@define
class Tally:
    """Outcomes of the requests to one route and version.

    Parameters
    ----------
    calls, failed : int
        Finished requests, and those of them that failed.
    total_s : float
        Sum of the latencies of successful requests, in seconds.
    buckets : list of int
        Histogram of these latencies; the last bucket has no upper bound.
    """

    calls: int = 0
    failed: int = 0
    total_s: float = 0.0
    buckets: list[int] = field(factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1))

    def record(self, is_failure: bool, seconds: float) -> None:
        """Count one outcome with its latency in seconds."""
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
        """Return how many requests took longer than a limit.

        Requests in the bucket that contains the limit are not counted.
        """
        return sum(
            count
            for index, count in enumerate(self.buckets)
            if index and BUCKET_BOUNDS_S[index - 1] >= limit_s
        )


def merge_tallies(
    tallies: Iterable[Mapping[str, Tally]],
) -> dict[str, Tally]:
    """Return the sum of the tallies of several hosts for each route."""
    merged: dict[str, Tally] = {}
    for tallies_by_route in tallies:
        for route, tally in tallies_by_route.items():
            merged.setdefault(route, Tally()).add(tally)
    return merged


def compute_wilson_lower_bound(bad: int, calls: int) -> float:
    """Return the lower bound of the Wilson score interval of a rate.

    Examples
    --------
    >>> compute_wilson_lower_bound(0, 10)
    0.0
    >>> round(compute_wilson_lower_bound(10, 20), 2)
    0.22
    """
    if not bad:
        return 0.0
    rate = bad / calls
    z2_per_call = CONFIDENCE_SIGMAS * CONFIDENCE_SIGMAS / calls
    center = rate + z2_per_call / 2
    spread = math.sqrt(rate * (1 - rate) * z2_per_call + z2_per_call * z2_per_call / 4)
    return max(0.0, (center - spread) / (1 + z2_per_call))


def find_regression(old: Mapping[str, Tally], new: Mapping[str, Tally]) -> str:
    """Return why a new version is bad, or an empty string if it is not.

    Parameters
    ----------
    old, new : mapping of str to Tally
        Outcomes of each version by route since the move began.
    """
    for route, tally in new.items():
        old_tally = old.get(route, Tally())
        old_rate = (old_tally.failed + 0.5) / (old_tally.calls + 25.0)
        limit = FAILURE_FACTOR * old_rate + FAILURE_MARGIN
        if (
            tally.failed >= BAD_CALLS_MIN
            and compute_wilson_lower_bound(tally.failed, tally.calls) > limit
        ):
            return (
                f"{tally.failed} of {tally.calls} requests of route {route} failed, "
                f"{old_tally.failed} of {old_tally.calls} on the old version"
            )
        if old_tally.calls - old_tally.failed < OLD_CALLS_MIN:
            continue
        limit_s = SLOW_FACTOR * old_tally.total_s / (old_tally.calls - old_tally.failed)
        slow, old_slow = tally.count_slower(limit_s), old_tally.count_slower(limit_s)
        limit = FAILURE_FACTOR * old_slow / old_tally.calls + SLOW_MARGIN
        if (
            slow >= BAD_CALLS_MIN
            and compute_wilson_lower_bound(slow, tally.calls) > limit
        ):
            return (
                f"{slow} of {tally.calls} requests of route {route} took over "
                f"{limit_s:.3f} s, {old_slow} of {old_tally.calls} on the old version"
            )
    return ""


@frozen
class MoveProgress:
    """Current step of a move.

    Parameters
    ----------
    step : int
        Index of the step; -1 before the first.
    step_started_at : float
        When the step began, in seconds of the local clock.
    new_calls_at_start : int
        Outcomes of the new version counted before the step began.
    """

    step: int = -1
    step_started_at: float = 0.0
    new_calls_at_start: int = 0

    @property
    def share(self) -> float:
        """Share of requests that the new version gets, from 0 to 1."""
        return 0.0 if self.step < 0 else STEP_SHARES[self.step]


@frozen
class MoveObservation:
    """Observed state that the next step of a move depends on.

    Parameters
    ----------
    age_s, duration_s : float
        Time since the move was ordered, and from the order to the deadline, in
        seconds.
    new_calls : int
        Outcomes of the new version since the move began.
    new_ready, old_ready : int
        Ready workers of the new and the old version.
    """

    age_s: float
    duration_s: float
    new_calls: int
    new_ready: int
    old_ready: int


def advance(
    progress: MoveProgress, observation: MoveObservation, now: float
) -> MoveProgress:
    """Return the progress of a move without a regression, with a step if it is due."""
    last_step = len(STEP_SHARES) - 1
    if not observation.new_ready or progress.step >= last_step:
        return progress
    if progress.step < 0:
        return MoveProgress(0, now, observation.new_calls)
    is_late = observation.age_s > LATE_FRACTION * observation.duration_s
    fraction = STEP_FRACTIONS[progress.step] * (0.5 if is_late else 1.0)
    if now - progress.step_started_at < fraction * observation.duration_s:
        return progress
    if (
        not is_late
        and observation.new_calls - progress.new_calls_at_start
        < STEP_CALLS_MIN[progress.step]
    ):
        return progress
    if (
        progress.step + 1 == last_step
        and 2 * observation.new_ready < observation.old_ready
    ):
        return progress
    return MoveProgress(progress.step + 1, now, observation.new_calls)


def is_complete(
    progress: MoveProgress, observation: MoveObservation, now: float
) -> bool:
    """Return whether the last step has lasted long enough to end the move."""
    last_step = len(STEP_SHARES) - 1
    return (
        progress.step == last_step
        and observation.new_ready > 0
        and now - progress.step_started_at
        >= min(2.0, STEP_FRACTIONS[last_step] * observation.duration_s)
    )


def count_workers_used(share: float, old_ready: int) -> int:
    """Return how many workers of the new version get requests at a share.

    A small share goes to few workers, so that a version that is bad only under
    load is detected early.

    Examples
    --------
    >>> [count_workers_used(share, 5) for share in STEP_SHARES]
    [1, 1, 2, 5]
    """
    return max(1, math.ceil(share * old_ready - 1e-9))
