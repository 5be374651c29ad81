"""Tests of the membership table: record precedence, checksums and queries."""

from itertools import permutations

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.state.members import MEMBER_STATES, Member, MemberTable, WorkerRecord

NODE = Member("n1", 100, 1, "a", "r", "127.0.0.1", 7000)


def test_tables_agree_in_any_order_of_records():
    """Guards against nodes with different tables after reordered updates."""
    records = [
        NODE,
        evolve(NODE, state="down"),
        evolve(NODE, sequence=2),
        evolve(NODE, sequence=2, state="suspect"),
        evolve(NODE, incarnation=200, sequence=0),
    ]
    for order in permutations(records):
        table = MemberTable()
        for record in order:
            table.merge(record)
        assert table.members_by_id["n1"] == records[-1]


def test_false_report_is_refuted_by_a_higher_sequence():
    """Guards against a live node that stays down after one false report."""
    table = MemberTable()
    table.merge(evolve(NODE, state="down"))
    assert table.get_live() == []

    assert table.merge(evolve(NODE, sequence=2))
    assert [member.node_id for member in table.get_live("a")] == ["n1"]


def test_repeated_record_is_no_change():
    """Guards against records that are gossiped for ever."""
    table = MemberTable()

    assert table.merge(NODE)
    assert not table.merge(NODE)


def test_workers_of_a_member_that_is_down_are_not_listed():
    """Guards against calls to workers on a host that is down."""
    worker = WorkerRecord("orders", "v1", "127.0.0.1", 9000, 12, 120)
    table = MemberTable()
    table.merge(evolve(NODE, workers=(worker,)))
    assert [found for _, found in table.get_workers("orders")] == [worker]

    table.merge(evolve(NODE, workers=(worker,), state="down"))
    assert table.get_workers("orders") == []


RECORDS = st.builds(
    Member,
    st.sampled_from(["a", "b", "c"]),
    st.integers(1, 2),
    st.integers(1, 3),
    st.just("z"),
    st.just("r"),
    st.just("127.0.0.1"),
    st.just(1),
    st.sampled_from(MEMBER_STATES),
)


@settings(derandomize=True)
@given(st.lists(RECORDS | st.sampled_from(["a", "b"]), max_size=30))
def test_checksums_follow_every_change(changes):
    """Guards against incremental checksums that differ from the table's content.

    Nodes would then repair equal tables, or miss a lost record.
    """
    table = MemberTable()
    for change in changes:
        if isinstance(change, Member):
            table.merge(change)
        else:
            table.forget(change)
    fresh = MemberTable(dict(table.members_by_id))
    assert fresh.bucket_digests == table.bucket_digests
    assert fresh.digest == table.digest


def test_worse_state_wins_a_tie_and_newer_records_win():
    """Guards against lost failure reports and reports that cannot be refuted."""
    table = MemberTable()
    alive = Member("a", 1, 1, "z", "r", "127.0.0.1", 1)
    down = Member("a", 1, 1, "z", "r", "127.0.0.1", 1, "down")
    renewed = Member("a", 1, 2, "z", "r", "127.0.0.1", 1)
    assert table.merge(alive) and table.merge(down)
    assert not table.merge(alive)
    assert table.get_live() == []
    changes = table.changes
    assert table.merge(renewed) and table.get_live() == [renewed]
    assert not table.merge(down) and table.changes == changes + 1
