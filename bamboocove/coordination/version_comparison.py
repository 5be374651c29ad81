"""Comparison of a new version's outcomes with those of the old one.

Each node counts the outcomes of the worker on its host and sends the counts to
all others, so that all nodes come to the same result. In a move of 12 s at 300
requests per second, the first step gives the new version about 20 requests per
second; the comparison must decide from so few.
"""

import math
from collections import deque
from collections.abc import Collection, Iterable, Mapping

from attrs import define, field, frozen

from bamboocove.coordination.error_evidence import ErrorVerdict

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
# A request is an outlier if it takes longer than this multiple of the lower quartile
# of the last requests of its route on its host. A slow host raises the quartile, so
# its requests are no outliers; a version that is slow on some requests does not.
OUTLIER_FACTOR = 3.0
OUTLIER_MARGIN = 0.15
OUTLIER_WINDOW = 8
# Failed or slow requests that a regression needs at least.
BAD_CALLS_MIN = 4
# Failed or slow requests from which on the observed rate is enough. A bad version must
# get no more requests 5 s after its 50th bad response; while it gets a small share, the
# confidence bounds need longer for a rate near the limit.
BAD_CALLS_ENOUGH = 30
# Successful requests to the old version from which on latencies are compared.
OLD_CALLS_MIN = 20
# Status codes of failures that tell little of the version: a worker that is overloaded,
# and one that reaches the deadline of a request, as each one on a slow host does.
FIRST_FAILURE_STATUS = 300
LOAD_ERROR_STATUSES = (503, 504)
# Upper bounds of the latency buckets, each 1.5 times the one before.
BUCKET_BOUNDS_S = tuple(0.004 * 1.5**index for index in range(18))
# A version is shown harmless if the rate of its failed or slow requests exceeds the
# highest acceptable one by less than this.
HARMLESS_MARGIN = 0.3
# Fraction of the move's duration after which a version that looks worse than the old
# one is rolled back, though there are too few outcomes to be sure.
LAST_CHANCE_FRACTION = 0.9


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
    outliers : int
        Successful requests that took far longer than most of those before them.
    errors : int, optional
        Failed requests that a worker answered with a status other than 503 and 504.
        Failed requests without an answer are not among them. None if unknown, since a
        host of an earlier release does not count them.
    """

    calls: int = 0
    failed: int = 0
    total_s: float = 0.0
    buckets: list[int] = field(factory=lambda: [0] * (len(BUCKET_BOUNDS_S) + 1))
    outliers: int = 0
    errors: int | None = 0
    _recent_s: deque[float] = field(
        factory=lambda: deque(maxlen=OUTLIER_WINDOW), init=False, eq=False
    )

    def record(self, is_failure: bool, seconds: float, status: int = 0) -> None:
        """Count one outcome with its latency in seconds and the worker's status."""
        self.calls += 1
        if is_failure:
            self.failed += 1
            is_error = status >= FIRST_FAILURE_STATUS
            self.errors += is_error and status not in LOAD_ERROR_STATUSES
            return
        self.total_s += seconds
        if len(self._recent_s) == OUTLIER_WINDOW:
            lower_quartile_s = sorted(self._recent_s)[OUTLIER_WINDOW // 4 - 1]
            self.outliers += seconds > OUTLIER_FACTOR * lower_quartile_s
        self._recent_s.append(seconds)
        index = 0
        while index < len(BUCKET_BOUNDS_S) and seconds > BUCKET_BOUNDS_S[index]:
            index += 1
        self.buckets[index] += 1

    def add(self, other: "Tally") -> None:
        """Add the outcomes of another host.

        The sum of the errors is unknown if those of either are.
        """
        self.calls += other.calls
        self.failed += other.failed
        self.total_s += other.total_s
        self.outliers += other.outliers
        if self.errors is None or other.errors is None:
            self.errors = None
        else:
            self.errors += other.errors
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


def compute_wilson_bounds(bad: int, calls: int) -> tuple[float, float]:
    """Return the bounds of the Wilson score interval of a rate.

    Examples
    --------
    >>> compute_wilson_bounds(0, 10)[0]
    0.0
    >>> [round(bound, 2) for bound in compute_wilson_bounds(10, 20)]
    [0.22, 0.78]
    """
    if not calls:
        return 0.0, 1.0
    rate = bad / calls
    z2_per_call = CONFIDENCE_SIGMAS * CONFIDENCE_SIGMAS / calls
    center = rate + z2_per_call / 2
    spread = math.sqrt(rate * (1 - rate) * z2_per_call + z2_per_call * z2_per_call / 4)
    lower = (center - spread) / (1 + z2_per_call) if bad else 0.0
    return max(0.0, lower), min(1.0, (center + spread) / (1 + z2_per_call))


@frozen
class Comparison:
    """Rate of one kind of bad requests of a new version, against a limit.

    Parameters
    ----------
    kind : str
        Kind of bad requests: ``failed``, ``slow`` or ``outlier``.
    bad, calls : int
        Bad requests of the new version, and all of them.
    limit : float
        Highest rate at which the new version is not bad.
    text : str
        Explanation for operators.
    """

    kind: str
    bad: int
    calls: int
    limit: float
    text: str

    @property
    def is_suspicious(self) -> bool:
        """Whether the observed rate exceeds the limit."""
        return self.bad >= BAD_CALLS_MIN and self.bad > self.limit * self.calls

    @property
    def is_regression(self) -> bool:
        """Whether enough requests are bad, or the rate surely exceeds the limit."""
        return self.is_suspicious and (
            self.bad >= BAD_CALLS_ENOUGH
            or compute_wilson_bounds(self.bad, self.calls)[0] > self.limit
        )


def compare_versions(
    old: Mapping[str, Tally], new: Mapping[str, Tally]
) -> list[Comparison]:
    """Compare failures and latencies of a new version with those of the old one.

    Parameters
    ----------
    old, new : mapping of str to Tally
        Outcomes of each version by route since the move began.
    """
    comparisons = []
    for route, tally in new.items():
        old_tally = old.get(route, Tally())
        # The added requests stand for what is unknown while there are few outcomes;
        # they must not hide a rate that was observed.
        old_rate = max(
            (old_tally.failed + 0.5) / (old_tally.calls + 25.0),
            old_tally.failed / max(1, old_tally.calls),
        )
        comparisons.append(
            Comparison(
                "failed",
                tally.failed,
                tally.calls,
                FAILURE_FACTOR * old_rate + FAILURE_MARGIN,
                f"{tally.failed} of {tally.calls} requests of route {route} failed, "
                f"{old_tally.failed} of {old_tally.calls} on the old version",
            )
        )
        old_successes = old_tally.calls - old_tally.failed
        if old_successes < OLD_CALLS_MIN:
            continue
        limit_s = SLOW_FACTOR * old_tally.total_s / old_successes
        old_slow = old_tally.count_slower(limit_s)
        for kind, slow, old_slow, limit, description in (
            (
                "slow",
                tally.count_slower(limit_s),
                old_slow,
                FAILURE_FACTOR * old_slow / old_tally.calls + SLOW_MARGIN,
                f"took over {limit_s:.3f} s",
            ),
            (
                "outlier",
                tally.outliers,
                old_tally.outliers,
                old_tally.outliers / old_tally.calls + OUTLIER_MARGIN,
                "took far longer than others on the same host",
            ),
        ):
            comparisons.append(
                Comparison(
                    kind,
                    slow,
                    tally.calls,
                    limit,
                    f"{slow} of {tally.calls} requests of route {route} "
                    f"{description}, {old_slow} of {old_tally.calls} on the old "
                    "version",
                )
            )
    return comparisons


def find_regression(
    findings: Iterable[Comparison | ErrorVerdict], age_s: float, duration_s: float
) -> str:
    """Return why a new version is bad, or an empty string if it is not.

    Near the deadline of the move, looking worse than the old version is enough.

    Parameters
    ----------
    findings : iterable of Comparison or ErrorVerdict
        The new version compared with the old one, and the evidence of its errors.
    age_s, duration_s : float
        Time since the move was ordered, and from the order to the deadline, in
        seconds.
    """
    is_last_chance = age_s >= LAST_CHANCE_FRACTION * duration_s
    for finding in findings:
        if finding.is_regression or (is_last_chance and finding.is_suspicious):
            return finding.text
    return ""


def is_shown_harmless(comparisons: Collection[Comparison]) -> bool:
    """Return whether few of the new version's requests can be bad.

    The routes are taken together, because some have too few requests.
    """
    for kind in ("failed", "slow", "outlier"):
        of_kind = [c for c in comparisons if c.kind == kind]
        bad, calls = sum(c.bad for c in of_kind), sum(c.calls for c in of_kind)
        highest_rate = compute_wilson_bounds(bad, calls)[1]
        mean_limit = sum(c.limit * c.calls for c in of_kind) / max(1, calls)
        if highest_rate > mean_limit + HARMLESS_MARGIN:
            return False
    return True
