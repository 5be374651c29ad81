"""Merging and batching of the outcomes of a move."""

from attrs import evolve

from bamboocove.coordination.outcome_batches import (
    BATCH_INTERVAL_S,
    OutcomeBatches,
    merge_outcomes,
)
from bamboocove.protocol.mesh_messages import OutcomeReport

FIRST = OutcomeReport("h1", 7, "orders", "v2", 12, [["read", 5, 1, 100, [4]]])


def test_counts_of_a_route_replace_older_ones():
    """Guards against counting outcomes twice."""
    more = evolve(FIRST, tallies=[["read", 8, 2, 160, [6]], ["pay", 1, 0, 20, [1]]])
    merged = merge_outcomes(FIRST, more)
    assert merged.tallies == [["read", 8, 2, 160, [6]], ["pay", 1, 0, 20, [1]]]


def test_route_without_new_counts_is_kept():
    update = evolve(FIRST, tallies=[["pay", 1, 0, 20, [1]]])
    assert [tally[0] for tally in merge_outcomes(FIRST, update).tallies] == [
        "read",
        "pay",
    ]


def test_new_process_or_order_resets_the_counts():
    """Guards against judging a move by the failures of an earlier one."""
    for later in (evolve(FIRST, incarnation=8), evolve(FIRST, order_revision=13)):
        later = evolve(later, tallies=[["pay", 1, 0, 20, [1]]])
        assert merge_outcomes(FIRST, later) == later
        assert merge_outcomes(later, FIRST) == later


def test_outcomes_of_all_hosts_are_sent_in_one_batch():
    """Guards against message counts that grow with the square of the hosts."""
    batches = OutcomeBatches()
    for number in range(40):
        batches.add(evolve(FIRST, host_id=f"h{number}"))
    batches.add(evolve(FIRST, host_id="h3", tallies=[["pay", 1, 0, 20, [1]]]))
    items = batches.take(10.0)
    assert len(items) == 40
    (merged,) = [OutcomeReport(*item) for item in items if item[0] == "h3"]
    assert [tally[0] for tally in merged.tallies] == ["read", "pay"]
    batches.add(FIRST)
    assert batches.take(10.0 + BATCH_INTERVAL_S / 2) == []
    assert len(batches.take(10.01 + BATCH_INTERVAL_S)) == 1
    assert batches.take(20.0) == []
