"""Sums of the request outcomes of the hosts in an availability zone.

Load pattern: forty hosts of a service count the outcomes of a move, and a hundred
nodes on links of 5 to 100 Mbit/s receive the counts several times a second. One node
of each zone collects the counts and sends their sums: the counts of each host would
occupy its link, and every node would process thousands of counts a second.
"""

from collections.abc import Iterable, Mapping
from typing import Any

from attrs import astuple, define, evolve, field

from bamboocove.coordination.version_comparison import Tally, merge_tallies
from bamboocove.protocol.mesh_messages import OutcomeReport

# Minimum time between two batches, in seconds. A bad version must get no more
# requests within 5 s of its 50th bad response, and collecting and relaying outcomes
# take two intervals. The batch is polled every 0.1 s, plus or minus a few ms.
BATCH_INTERVAL_S = 0.28


def get_tallies(outcomes: OutcomeReport) -> dict[str, Tally]:
    """Return the outcomes of a report by route.

    Reports of earlier releases end before the last counts, and those of later ones may
    go on after them. A count of errors that is not in the report is None.
    """
    return {route: _make_tally(*counts) for route, *counts in outcomes.tallies}


def _make_tally(
    calls: int,
    failed: int,
    total_ms: int,
    buckets: Iterable[int],
    outliers: int = 0,
    errors: int | None = None,
    *_: Any,
) -> Tally:
    return Tally(calls, failed, total_ms / 1000, list(buckets), outliers, errors)


def format_tallies(tallies_by_route: Mapping[str, Tally]) -> list[list]:
    """Return outcomes by route in the form of ``OutcomeReport.tallies``.

    The tally of a route ends before the count of errors if that is unknown.
    """
    return [
        [
            route,
            tally.calls,
            tally.failed,
            round(tally.total_s * 1000),
            tally.buckets,
            tally.outliers,
            *([] if tally.errors is None else [tally.errors]),
        ]
        for route, tally in tallies_by_route.items()
    ]


def merge_outcomes(
    known: OutcomeReport | None, outcomes: OutcomeReport
) -> OutcomeReport:
    """Merge new outcome counts of a version from a source into the known ones.

    Counts are cumulative: within one process (``incarnation``) and order revision,
    the higher counts of a route replace the lower ones. Counts of a later process
    or order replace all earlier ones, and older counts are ignored.
    """
    if known is None:
        return outcomes
    epoch = (outcomes.order_revision, outcomes.incarnation)
    known_epoch = (known.order_revision, known.incarnation)
    if epoch != known_epoch:
        return max(known, outcomes, key=lambda o: (o.order_revision, o.incarnation))
    by_route = {tally[0]: tally for tally in known.tallies}
    for tally in outcomes.tallies:
        route, calls = tally[:2]
        if route not in by_route or by_route[route][1] <= calls:
            by_route[route] = tally
    return evolve(known, tallies=list(by_route.values()))


@define
class OutcomeBatches:
    """Outcomes collected from the hosts of a zone, and the sums that have changed.

    The outcomes of a host's earlier processes stay in the sums, so that these never
    decrease while the same node collects.

    Parameters
    ----------
    zone : str
        The availability zone, which the sums name as their source.
    """

    zone: str
    # By service and version, then by host and incarnation.
    _reports_by_version: dict[tuple[str, str], dict[tuple[str, int], OutcomeReport]] = (
        field(factory=dict)
    )
    _revisions_by_service: dict[str, int] = field(factory=dict)
    _changed_routes_by_version: dict[tuple[str, str], set[str]] = field(factory=dict)
    _taken_at: float = float("-inf")
    _remote_items: list[list] = field(factory=list)
    _remote_taken_at: float = float("-inf")

    def add(self, outcomes: OutcomeReport) -> None:
        """Add the outcomes of a host of the zone."""
        known_revision = self._revisions_by_service.get(outcomes.service, -1)
        if outcomes.order_revision < known_revision:
            return
        if outcomes.order_revision > known_revision:
            self._start_move(outcomes.service, outcomes.order_revision)
        version = (outcomes.service, outcomes.version)
        reports = self._reports_by_version.setdefault(version, {})
        process = (outcomes.source_id, outcomes.incarnation)
        reports[process] = merge_outcomes(reports.get(process), outcomes)
        routes = self._changed_routes_by_version.setdefault(version, set())
        routes.update(tally[0] for tally in outcomes.tallies)

    def _start_move(self, service: str, order_revision: int) -> None:
        self._revisions_by_service[service] = order_revision
        for by_version in (self._reports_by_version, self._changed_routes_by_version):
            for version in [key for key in by_version if key[0] == service]:
                del by_version[version]

    def take(self, now: float) -> list[list]:
        """Return the changed sums as message items; empty if none is due."""
        changed = self._changed_routes_by_version
        if not changed or now - self._taken_at < BATCH_INTERVAL_S:
            return []
        self._changed_routes_by_version = {}
        self._taken_at = now
        return [
            list(astuple(self._sum(*version, routes), recurse=False))
            for version, routes in changed.items()
        ]

    def add_remote(self, items: list[list]) -> None:
        """Add the sums of another zone, which are passed on in this one."""
        self._remote_items += items

    def take_remote(self, now: float) -> list[list]:
        """Remove and return the sums of other zones; empty if none is due."""
        if not self._remote_items or now - self._remote_taken_at < BATCH_INTERVAL_S:
            return []
        items, self._remote_items = self._remote_items, []
        self._remote_taken_at = now
        return items

    def _sum(self, service: str, version: str, routes: set[str]) -> OutcomeReport:
        tallies_by_route = merge_tallies(
            {
                route: tally
                for route, tally in get_tallies(outcomes).items()
                if route in routes
            }
            for outcomes in self._reports_by_version[service, version].values()
        )
        return OutcomeReport(
            self.zone,
            0,
            service,
            version,
            self._revisions_by_service[service],
            format_tallies(tallies_by_route),
        )
