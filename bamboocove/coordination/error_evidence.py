"""Sequential test for a new version that returns errors more often than the old one.

``version_comparison`` compares the rates of failed requests with a fixed margin, below
which no number of failures counts. This test has no margin: it accumulates evidence
from the server errors of both versions in the same half-second and route. It bounds
the probability of a false alarm over the whole move, however often it is evaluated
(``sequential``).

Load pattern: a move of 16 s at 230 to 370 requests per second gives the new version
about 18 requests per second on its first step, and some 600 requests in all before it
is overexposed.
"""

import math
from collections.abc import Iterable, Mapping
from typing import NamedTuple

from attrs import define, field, frozen

from bamboocove.coordination.sequential import (
    EProcess,
    compare_windows,
    start_e_process,
    update_e_process,
)
from bamboocove.protocol.mesh_messages import OutcomeReport

# Upper bound of the probability that a move of a good version is rolled back by this
# test before its last chance, over all routes and evaluations.
ALPHA = 0.01
# The same for the evidence with which a version takes no further step, and is rolled
# back at the last chance.
SUSPECT_ALPHA = 0.2
# Odds ratio of errors up to which the new version counts as equal to the old one.
# Hosts differ, and the first steps use one worker of the new version.
NULL_ODDS_RATIO = 1.5
# Odds ratios of the alternatives.
ODDS_RATIOS = (5.0, 20.0, 100.0)
# Minimum duration of a window, in seconds. Hosts and zones report every 0.25 s.
WINDOW_S = 0.5
# Windows that a rollback needs at least. What befalls a host in one moment, such as a
# crash, falls into one or two windows.
WINDOWS_MIN = 3


class Counts(NamedTuple):
    """Requests and server errors of both versions."""

    old_calls: int = 0
    old_errors: int = 0
    new_calls: int = 0
    new_errors: int = 0

    @property
    def is_consistent(self) -> bool:
        """Whether no count is negative and no version has more errors than calls."""
        return (
            0 <= self.old_errors <= self.old_calls
            and 0 <= self.new_errors <= self.new_calls
        )

    def plus(self, other: "Counts") -> "Counts":
        """Return the sum of these counts and others."""
        return Counts(*(a + b for a, b in zip(self, other, strict=True)))

    def minus(self, other: "Counts") -> "Counts":
        """Return the difference of these counts and earlier ones."""
        return Counts(*(a - b for a, b in zip(self, other, strict=True)))


@frozen
class ErrorVerdict:
    """Evidence of the errors of one route, or of all routes together.

    Parameters
    ----------
    log_value : float
        Natural logarithm of the e-process.
    alpha_share : float
        Portion of the error probability that this test may use, from 0 to 1.
    text : str
        Explanation for operators.
    """

    log_value: float
    alpha_share: float
    text: str

    @property
    def is_suspicious(self) -> bool:
        """Whether the new version looks worse than the old one."""
        return self.log_value >= -math.log(SUSPECT_ALPHA * self.alpha_share)

    @property
    def is_regression(self) -> bool:
        """Whether the new version is bad."""
        return self.log_value >= -math.log(ALPHA * self.alpha_share)


@define
class ErrorTest:
    """E-process of one route, or of all routes together.

    Parameters
    ----------
    alpha_share : float
        Portion of the error probability that this test may use, from 0 to 1.
    counts : Counts
        Sum of the windows with errors.
    """

    alpha_share: float
    counts: Counts = Counts()
    _e_process: EProcess = field(
        factory=lambda: start_e_process(len(ODDS_RATIOS)), init=False
    )

    def update(self, window: Iterable[Counts]) -> None:
        """Add the evidence of one window, given by route."""
        factors = [0.0] * len(ODDS_RATIOS)
        for counts in window:
            self.counts = self.counts.plus(counts)
            log_ratios = compare_windows(
                counts.new_calls,
                counts.new_errors,
                counts.old_calls,
                counts.old_errors,
                ODDS_RATIOS,
                NULL_ODDS_RATIO,
            )
            factors = [a + b for a, b in zip(factors, log_ratios, strict=True)]
        log_start = math.log(2 * len(ODDS_RATIOS))
        log_cap = (log_start - math.log(ALPHA * self.alpha_share)) / WINDOWS_MIN
        self._e_process = update_e_process(self._e_process, factors, log_cap)

    def make_verdict(self, where: str) -> ErrorVerdict:
        """Return the state of the evidence on the requests named by ``where``."""
        old_calls, old_errors, new_calls, new_errors = self.counts
        return ErrorVerdict(
            self._e_process.log_value,
            self.alpha_share,
            f"{new_errors} of {new_calls} requests {where} ended with a server error, "
            f"{old_errors} of {old_calls} on the old version in the same seconds",
        )


def count_errors(
    reports: Iterable[OutcomeReport], new_version: str
) -> dict[tuple[str, str], Counts | None]:
    """Return the requests and errors of both versions by route and source.

    They are None if a report of the source does not count the errors of the route.
    """
    counts_by_key: dict[tuple[str, str], Counts | None] = {}
    for report in reports:
        is_new = report.version == new_version
        for route, calls, _, _, _, *rest in report.tallies:
            # Reports of earlier releases end before the count of errors.
            errors = rest[1] if len(rest) > 1 else None
            key = (route, report.source_id)
            known = counts_by_key.get(key, Counts())
            if known is None or errors is None:
                counts_by_key[key] = None
                continue
            counts = Counts(0, 0, calls, errors) if is_new else Counts(calls, errors)
            counts_by_key[key] = known.plus(counts)
    return counts_by_key


@define
class ErrorEvidence:
    """Evidence of the server errors of a new version in one move.

    The e-process of all routes together uses half of the error probability; the j-th
    route with errors uses the portion ``1 / (2 * j * (j + 1))``. Windows end by time,
    and windows without errors are no evidence, so neither depends on the version that
    errors occur on. A window is no evidence on a route whose errors a source does not
    count at its start or end.
    """

    _test_of_all: ErrorTest = field(factory=lambda: ErrorTest(0.5), init=False)
    _tests_by_route: dict[str, ErrorTest] = field(factory=dict, init=False)
    _known: dict[tuple[str, str], Counts | None] = field(factory=dict, init=False)
    _window_ends_at: float = field(default=-math.inf, init=False)

    def update(
        self, reports: Iterable[OutcomeReport], new_version: str, now: float
    ) -> None:
        """Add the outcomes since the last window if the window is long enough.

        Parameters
        ----------
        reports : iterable of OutcomeReport
            Cumulative outcomes of both versions, by availability zone.
        new_version : str
            Version that the move brings in.
        now : float
            Time in seconds of the local clock.
        """
        if now < self._window_ends_at:
            return
        self._window_ends_at = now + WINDOW_S
        counts_by_key = count_errors(reports, new_version)
        window: dict[str, Counts] = {}
        uncounted_routes = set()
        for key, counts in counts_by_key.items():
            known = self._known.get(key, Counts())
            if counts is None or known is None:
                uncounted_routes.add(key[0])
                continue
            change = counts.minus(known)
            # Another node may collect the outcomes of the zone, of fewer processes.
            if change.is_consistent:
                window[key[0]] = window.get(key[0], Counts()).plus(change)
        self._known = counts_by_key
        for route in uncounted_routes:
            window.pop(route, None)
        self._add_window(window)

    def _add_window(self, window: Mapping[str, Counts]) -> None:
        errors_by_route = {
            route: counts.old_errors + counts.new_errors
            for route, counts in window.items()
        }
        routes = sorted(
            (route for route, errors in errors_by_route.items() if errors),
            key=lambda route: (-errors_by_route[route], route),
        )
        for route in routes:
            if route not in self._tests_by_route:
                number = len(self._tests_by_route) + 1
                share = 0.5 / (number * (number + 1))
                self._tests_by_route[route] = ErrorTest(share)
            self._tests_by_route[route].update([window[route]])
        if routes:
            self._test_of_all.update([window[route] for route in routes])

    def make_verdicts(self) -> list[ErrorVerdict]:
        """Return the evidence on all routes together and on each with errors."""
        return [
            self._test_of_all.make_verdict("of all routes"),
            *(
                test.make_verdict(f"of route {route}")
                for route, test in self._tests_by_route.items()
            ),
        ]
