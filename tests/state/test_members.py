from itertools import permutations

from attrs import evolve

from bamboocove.state.members import Member, MemberTable, WorkerRecord

NODE = Member("n1", 100, 1, "a", "r", "127.0.0.1", 7000)


def test_tables_agree_in_any_order_of_records():
    """Guards against crossed updates that leave nodes with different tables."""
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
    table = MemberTable()
    table.merge(evolve(NODE, state="down"))
    assert table.get_live() == []

    assert table.merge(evolve(NODE, sequence=2))
    assert [member.node_id for member in table.get_live("a")] == ["n1"]


def test_repeated_record_is_no_change():
    """Guards against gossip that never ends."""
    table = MemberTable()

    assert table.merge(NODE)
    assert not table.merge(NODE)


def test_workers_of_a_member_that_is_down_are_not_listed():
    worker = WorkerRecord("orders", "v1", "127.0.0.1", 9000, 12, 120)
    table = MemberTable()
    table.merge(evolve(NODE, workers=(worker,)))
    assert [found for _, found in table.get_workers("orders")] == [worker]

    table.merge(evolve(NODE, workers=(worker,), state="down"))
    assert table.get_workers("orders") == []
