"""Merging and batching of the outcomes of a move."""

from attrs import evolve

from bamboocove.coordination.outcome_batches import (
    BATCH_INTERVAL_S,
    OutcomeBatches,
    get_tallies,
    merge_outcomes,
)
from bamboocove.protocol.mesh_messages import OutcomeReport

FIRST = OutcomeReport("h1", 7, "orders", "v2", 12, [["read", 5, 1, 100, [4]]])


def get_counts(outcomes):
    """Return calls, failures, seconds and fast calls of an outcome report by route."""
    return {
        route: (tally.calls, tally.failed, tally.total_s, tally.buckets[0])
        for route, tally in get_tallies(outcomes).items()
    }


def take_counts(batches, now):
    """Take the only sum of a batch and return its counts."""
    (item,) = batches.take(now)
    return get_counts(OutcomeReport(*item))


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


def test_late_report_with_lower_counts_is_ignored():
    """Guards against outcomes that vanish when reports overtake each other."""
    late = evolve(FIRST, tallies=[["read", 3, 0, 60, [3]]])
    assert merge_outcomes(FIRST, late) == FIRST


def test_outcomes_of_all_hosts_are_sent_as_sums():
    """Guards against messages that grow with the number of hosts.

    The counts of each host filled the link of the node that sent them to all others.
    """
    batches = OutcomeBatches("z")
    for number in range(40):
        version = f"v{1 + number % 2}"
        batches.add(evolve(FIRST, source_id=f"h{number}", version=version))
    batches.add(evolve(FIRST, source_id="h1", tallies=[["read", 6, 2, 120, [4]]]))
    first, second = [OutcomeReport(*item) for item in batches.take(10.0)]
    assert get_counts(first) == {"read": (100, 20, 2.0, 80)}
    assert get_counts(second) == {"read": (101, 21, 2.02, 80)}
    assert (first.source_id, first.version) == ("z", "v1")


def test_only_changed_routes_are_sent_and_not_too_often():
    batches = OutcomeBatches("z")
    batches.add(evolve(FIRST, tallies=[*FIRST.tallies, ["pay", 1, 0, 20, [1]]]))
    assert len(batches.take(10.0)) == 1
    batches.add(evolve(FIRST, tallies=[["pay", 2, 0, 40, [2]]]))
    assert batches.take(10.0 + BATCH_INTERVAL_S / 2) == []
    counts = take_counts(batches, 10.01 + BATCH_INTERVAL_S)
    assert counts == {"pay": (2, 0, 0.04, 2)}
    assert batches.take(20.0) == []


def test_outcomes_before_the_restart_of_a_node_stay_in_the_sum():
    """Guards against a bad version whose failures are forgotten with each restart."""
    batches = OutcomeBatches("z")
    batches.add(FIRST)
    batches.add(evolve(FIRST, incarnation=8, tallies=[["read", 1, 1, 0, [0]]]))
    assert take_counts(batches, 10.0) == {"read": (6, 2, 0.1, 4)}


def test_sum_has_no_count_of_errors_if_a_host_does_not_count_them():
    """Guards against an unknown number of errors that is taken for none."""
    batches = OutcomeBatches("z")
    batches.add(evolve(FIRST, tallies=[["read", 5, 1, 100, [4], 2, 1]]))
    batches.add(evolve(FIRST, source_id="h2", tallies=[["read", 5, 1, 100, [4], 2]]))
    ((*_, tallies),) = batches.take(10.0)
    ((route, calls, failed, total_ms, _, *counts),) = tallies
    assert (route, calls, failed, total_ms, counts) == ("read", 10, 2, 200, [4])


def test_sum_starts_again_with_a_new_order():
    """Guards against judging a move by the failures of an earlier one."""
    batches = OutcomeBatches("z")
    batches.add(FIRST)
    batches.add(evolve(FIRST, order_revision=13, tallies=[["read", 1, 0, 20, [1]]]))
    batches.add(FIRST)
    assert take_counts(batches, 10.0) == {"read": (1, 0, 0.02, 1)}
