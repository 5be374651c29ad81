"""Outcomes of many hosts, handed on together.

Load pattern: forty hosts of a service that count the outcomes of a move while a
hundred nodes follow them. Sent by each host to all nodes four times a second,
they were by estimate two hundred messages a second at every node for the whole move.
"""

from attrs import astuple, define, evolve, field

from bamboocove.protocol.mesh_messages import OutcomeReport

# Time between two batches, in seconds. A bad version must be off within 5 s of its
# 50th bad answer; collecting and relaying take two of these. The table is looked
# at every 0.1 s, give or take some ms.
BATCH_S = 0.18

Key = tuple[str, str, str]


def merge_outcomes(
    held: OutcomeReport | None, outcomes: OutcomeReport
) -> OutcomeReport:
    """Return what is known of a host's version after a message about it.

    Counts of a route replace older ones of the same process and order; those of
    a later process or order start again.
    """
    if held is None:
        return outcomes
    age = (outcomes.order_revision, outcomes.incarnation)
    held_age = (held.order_revision, held.incarnation)
    if age != held_age:
        return max(held, outcomes, key=lambda o: (o.order_revision, o.incarnation))
    by_route = {tally[0]: tally for tally in (*held.tallies, *outcomes.tallies)}
    return evolve(held, tallies=list(by_route.values()))


@define
class OutcomeBatches:
    """Outcomes that wait to be handed on."""

    _waiting_by_key: dict[Key, OutcomeReport] = field(factory=dict)
    _taken_at: float = float("-inf")

    def add(self, outcomes: OutcomeReport) -> None:
        """Take the outcomes of a host of the own zone."""
        key = (outcomes.service, outcomes.host_id, outcomes.version)
        held = self._waiting_by_key.get(key)
        self._waiting_by_key[key] = merge_outcomes(held, outcomes)

    def take(self, now: float) -> list[list]:
        """Return what is due, as items of a message; empty if nothing is."""
        if not self._waiting_by_key or now - self._taken_at < BATCH_S:
            return []
        waiting, self._waiting_by_key = self._waiting_by_key, {}
        self._taken_at = now
        return [list(astuple(outcomes, recurse=False)) for outcomes in waiting.values()]
