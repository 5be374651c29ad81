"""Tests of gossip and anti-entropy repair of member tables."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.gossip import (
    MAX_RECORDS_PER_MESSAGE,
    Gossip,
    answer_ages,
    answer_digests,
    make_digests,
    merge_records,
    pop_batch,
    queue_record,
)
from bamboocove.protocol.messages import MemberAges, MemberDigests
from bamboocove.state.members import MEMBER_STATES, Member, MemberTable

OWN = {"a": "own-a", "b": "own-b"}


def make_member(name, incarnation=1, sequence=1, state="alive"):
    return Member(name, incarnation, sequence, "z", "r", "127.0.0.1", 1, state)


def make_gossip(peers=()):
    return Gossip(MemberTable(), {peer: {} for peer in peers})


def drain(gossip, peer):
    """Return the records of all pending batches for a peer."""
    records = []
    while (update := pop_batch(gossip, peer)) is not None:
        records.extend(update.members)
    return records


def repair(first, second):
    """Run one repair between two nodes, with messages delivered in order."""
    queue = [("b", make_digests(first.table))]
    ends = {"a": first, "b": second}
    while queue:
        target, message = queue.pop(0)
        gossip, other = ends[target], "a" if target == "b" else "b"
        if isinstance(message, MemberDigests):
            reply = answer_digests(gossip.table, message)
        elif isinstance(message, MemberAges):
            reply = answer_ages(gossip, other, message)
        else:
            merge_records(gossip, message, other, OWN[target])
            reply = None
        if (records := drain(gossip, other)) != []:
            queue.append((other, records))
        if reply is not None:
            queue.append((other, reply))


RECORDS = st.lists(
    st.builds(
        make_member,
        st.sampled_from([f"n{index}" for index in range(8)]),
        st.integers(1, 2),
        st.integers(1, 3),
        st.sampled_from(MEMBER_STATES),
    ),
    max_size=20,
)


@settings(max_examples=200, derandomize=True, deadline=None)
@given(RECORDS, RECORDS)
def test_one_repair_makes_tables_equal(first_records, second_records):
    """Guards against a difference that a repair does not find or remove."""
    first, second = make_gossip("b"), make_gossip("a")
    for gossip, records in ((first, first_records), (second, second_records)):
        for record in records:
            gossip.table.merge(record)
    repair(first, second)
    live = [
        {
            name: member
            for name, member in gossip.table.members_by_id.items()
            if member.state in ("alive", "suspect")
        }
        for gossip in (first, second)
    ]
    assert live[0] == live[1]
    assert first.table.digest == second.table.digest
    assert answer_digests(second.table, make_digests(first.table)) is None


@settings(max_examples=100, derandomize=True, deadline=None)
@given(RECORDS, st.randoms(use_true_random=False))
def test_table_does_not_depend_on_order_or_duplicates(records, random):
    """Guards against tables that depend on the path of the records."""
    base = [make_member(f"n{index}", 0) for index in range(8)]
    tables = []
    for _ in range(2):
        gossip = make_gossip()
        merge_records(gossip, base, None, "own")
        shuffled = records * 2
        random.shuffle(shuffled)
        merge_records(gossip, shuffled, None, "own")
        tables.append(gossip.table.members_by_id)
    assert tables[0] == tables[1]


def test_repair_sends_only_what_differs():
    """Guards against a repair that sends the whole table."""
    first, second = make_gossip("b"), make_gossip("a")
    for index in range(2000):
        for gossip in (first, second):
            gossip.table.merge(make_member(f"n{index}"))
    second.table.merge(make_member("n7", sequence=2))
    ages = answer_digests(second.table, make_digests(first.table))
    assert len(ages.buckets) == 1 and len(ages.ages_by_id) < 50
    assert answer_ages(first, "b", ages) == MemberAges({"n7": (1, 1, 0)})
    assert drain(first, "b") == []


def test_new_record_is_sent_to_every_peer_except_its_source():
    """Guards against records that are sent back or not forwarded."""
    gossip = make_gossip("xyz")
    merge_records(gossip, [make_member("n1"), make_member("n1")], "x", "own")
    assert [len(drain(gossip, peer)) for peer in "xyz"] == [0, 1, 1]
    assert merge_records(gossip, [make_member("n1")], "y", "own") == []
    assert [drain(gossip, peer) for peer in "xyz"] == [[], [], []]


def test_records_that_a_peer_sent_are_not_sent_back():
    """Guards against a starting node that sends the table back to every peer."""
    gossip = make_gossip(("a", "b", "c"))
    records = [make_member("x"), make_member("y"), make_member("z", sequence=2)]
    merge_records(gossip, records, "a", "own")
    older = make_member("z", sequence=1)
    merge_records(gossip, [records[0], older], "b", "own")
    assert drain(gossip, "a") == []
    assert drain(gossip, "b") == records[1:]
    assert drain(gossip, "c") == records


def test_records_of_down_unknown_members_and_own_records_are_skipped():
    """Guards against removed members that are restored from other tables."""
    gossip = make_gossip("x")
    records = [make_member("n1", state="down"), make_member("own")]
    assert merge_records(gossip, records, "y", "own") == []
    assert gossip.table.members_by_id == {}


def test_batches_are_bounded_and_carry_the_newest_record():
    """Guards against long messages that block the reactor, and outdated records."""
    gossip = make_gossip("x")
    for index in range(MAX_RECORDS_PER_MESSAGE + 1):
        merge_records(gossip, [make_member(f"n{index}")], None, "own")
    merge_records(gossip, [make_member("n0", sequence=5)], None, "own")
    first = pop_batch(gossip, "x").members
    assert len(first) == MAX_RECORDS_PER_MESSAGE and first[0].sequence == 5
    assert len(pop_batch(gossip, "x").members) == 1
    assert pop_batch(gossip, "x") is None
    queue_record(gossip, "n1")
    gossip.table.forget("n1")
    assert pop_batch(gossip, "x").members == ()


def test_malformed_messages_are_ignored():
    """Guards against a crash on messages of another release."""
    gossip = make_gossip("x")
    assert answer_digests(gossip.table, MemberDigests((1, 2))) is None
    assert answer_ages(gossip, "stranger", MemberAges({"n": (1, 1, 0)})) is None
    ages = MemberAges({"n": (1, 1, 99)}, (10**9,))
    assert answer_ages(gossip, "x", ages) is None


def test_change_of_state_changes_the_digest():
    """Guards against a lost report that a comparison of digests does not find."""
    table = MemberTable()
    table.merge(make_member("n1"))
    before = table.digest
    table.merge(evolve(make_member("n1"), state="suspect"))
    assert table.digest != before
    table.merge(evolve(make_member("n1"), state="down"))
    assert table.digest == 0
