"""Batching of request outcomes from many hosts.

Load pattern: forty hosts of a service count the outcomes of a move, and a hundred
nodes receive the counts. If each host sent them to all nodes four times a second,
every node would get an estimated two hundred messages a second for the whole move.
"""

from attrs import astuple, define, evolve, field

from bamboocove.protocol.mesh_messages import OutcomeReport

# Minimum time between two batches, in seconds. A bad version must get no more
# requests within 5 s of its 50th bad response, and collecting and relaying outcomes
# take two intervals. The batch is polled every 0.1 s, plus or minus a few ms.
BATCH_INTERVAL_S = 0.18

Key = tuple[str, str, str]


def merge_outcomes(
    known: OutcomeReport | None, outcomes: OutcomeReport
) -> OutcomeReport:
    """Merge new outcome counts of a host's version into the known ones.

    Counts are cumulative: within one process (``incarnation``) and order revision,
    the counts of a route replace the earlier ones. Counts of a later process or
    order replace all earlier ones, and older counts are ignored.
    """
    if known is None:
        return outcomes
    epoch = (outcomes.order_revision, outcomes.incarnation)
    known_epoch = (known.order_revision, known.incarnation)
    if epoch != known_epoch:
        return max(known, outcomes, key=lambda o: (o.order_revision, o.incarnation))
    by_route = {tally[0]: tally for tally in (*known.tallies, *outcomes.tallies)}
    return evolve(known, tallies=list(by_route.values()))


@define
class OutcomeBatches:
    """Outcomes collected for the next batch."""

    _waiting_by_key: dict[Key, OutcomeReport] = field(factory=dict)
    _taken_at: float = float("-inf")

    def add(self, outcomes: OutcomeReport) -> None:
        """Add the outcomes of a host of the local zone."""
        key = (outcomes.service, outcomes.host_id, outcomes.version)
        known = self._waiting_by_key.get(key)
        self._waiting_by_key[key] = merge_outcomes(known, outcomes)

    def take(self, now: float) -> list[list]:
        """Remove and return the batch as message items; empty if none is due."""
        if not self._waiting_by_key or now - self._taken_at < BATCH_INTERVAL_S:
            return []
        waiting, self._waiting_by_key = self._waiting_by_key, {}
        self._taken_at = now
        return [list(astuple(outcomes, recurse=False)) for outcomes in waiting.values()]
