"""Tests of bamboocove.coordination.gossip."""

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.gossip import (
    MAX_RECORDS,
    Gossip,
    answer_ages,
    answer_digests,
    make_digests,
    queue_record,
    take_batch,
    take_records,
)
from bamboocove.protocol.messages import MemberAges, MemberDigests
from bamboocove.state.members import MEMBER_STATES, Member, MemberTable

OWN = {"a": "own-a", "b": "own-b"}


def make_member(name, incarnation=1, sequence=1, state="alive"):
    return Member(name, incarnation, sequence, "z", "r", "127.0.0.1", 1, state)


def make_gossip(peers=()):
    return Gossip(MemberTable(), {peer: {} for peer in peers})


def drain(gossip, peer):
    """Return the records of all batches for a peer."""
    records = []
    while (update := take_batch(gossip, peer)) is not None:
        records.extend(update.members)
    return records


def repair(first, second):
    """Run one repair over a link, in the order of a link."""
    queue = [("b", make_digests(first.table))]
    ends = {"a": first, "b": second}
    while queue:
        target, message = queue.pop(0)
        gossip, other = ends[target], "a" if target == "b" else "b"
        if isinstance(message, MemberDigests):
            answer = answer_digests(gossip.table, message)
        elif isinstance(message, MemberAges):
            answer = answer_ages(gossip, other, message)
        else:
            take_records(gossip, message, other, OWN[target])
            answer = None
        if (records := drain(gossip, other)) != []:
            queue.append((other, records))
        if answer is not None:
            queue.append((other, answer))


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
def test_one_repair_makes_tables_agree(first_records, second_records):
    """Guards against a difference that a repair cannot find or never ends."""
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
def test_order_and_duplicates_do_not_matter(records, random):
    """Guards against tables that depend on the way records travelled."""
    base = [make_member(f"n{index}", 0) for index in range(8)]
    tables = []
    for _ in range(2):
        gossip = make_gossip()
        take_records(gossip, base, None, "own")
        shuffled = records * 2
        random.shuffle(shuffled)
        take_records(gossip, shuffled, None, "own")
        tables.append(gossip.table.members_by_id)
    assert tables[0] == tables[1]


def test_repair_sends_only_what_differs():
    """Guards against repairs that send the whole table."""
    first, second = make_gossip("b"), make_gossip("a")
    for index in range(2000):
        for gossip in (first, second):
            gossip.table.merge(make_member(f"n{index}"))
    second.table.merge(make_member("n7", sequence=2))
    ages = answer_digests(second.table, make_digests(first.table))
    assert len(ages.buckets) == 1 and len(ages.ages_by_id) < 50
    assert answer_ages(first, "b", ages) == MemberAges({"n7": (1, 1, 0)})
    assert drain(first, "b") == []


def test_news_goes_to_every_peer_but_its_source():
    """Guards against records that return or that are not passed on."""
    gossip = make_gossip("xyz")
    take_records(gossip, [make_member("n1"), make_member("n1")], "x", "own")
    assert [len(drain(gossip, peer)) for peer in "xyz"] == [0, 1, 1]
    assert take_records(gossip, [make_member("n1")], "y", "own") == []
    assert [drain(gossip, peer) for peer in "xyz"] == [[], [], []]


def test_records_that_a_peer_sent_do_not_go_back_to_it():
    """Guards against a starting node that returns the table to every peer."""
    gossip = make_gossip(("a", "b", "c"))
    records = [make_member("x"), make_member("y"), make_member("z", sequence=2)]
    take_records(gossip, records, "a", "own")
    older = make_member("z", sequence=1)
    take_records(gossip, [records[0], older], "b", "own")
    assert drain(gossip, "a") == []
    assert drain(gossip, "b") == records[1:]
    assert drain(gossip, "c") == records


def test_forgotten_and_own_records_are_not_taken():
    """Guards against forgotten members that return from other tables."""
    gossip = make_gossip("x")
    records = [make_member("n1", state="down"), make_member("own")]
    assert take_records(gossip, records, "y", "own") == []
    assert gossip.table.members_by_id == {}


def test_batches_are_bounded_and_carry_the_newest_record():
    """Guards against messages that block the reactor and old records on links."""
    gossip = make_gossip("x")
    for index in range(MAX_RECORDS + 1):
        take_records(gossip, [make_member(f"n{index}")], None, "own")
    take_records(gossip, [make_member("n0", sequence=5)], None, "own")
    first = take_batch(gossip, "x").members
    assert len(first) == MAX_RECORDS and first[0].sequence == 5
    assert len(take_batch(gossip, "x").members) == 1
    assert take_batch(gossip, "x") is None
    queue_record(gossip, "n1")
    gossip.table.forget("n1")
    assert take_batch(gossip, "x").members == ()


def test_malformed_messages_are_ignored():
    """Guards against a crash on what another release sends."""
    gossip = make_gossip("x")
    assert answer_digests(gossip.table, MemberDigests((1, 2))) is None
    assert answer_ages(gossip, "stranger", MemberAges({"n": (1, 1, 0)})) is None
    ages = MemberAges({"n": (1, 1, 99)}, (10**9,))
    assert answer_ages(gossip, "x", ages) is None


def test_evolved_state_changes_the_digest():
    """Guards against a lost report that a digest does not show."""
    table = MemberTable()
    table.merge(make_member("n1"))
    before = table.digest
    table.merge(evolve(make_member("n1"), state="suspect"))
    assert table.digest != before
    table.merge(evolve(make_member("n1"), state="down"))
    assert table.digest == 0
