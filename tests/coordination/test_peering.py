"""Tests of peer selection, failure detection and probing."""

from collections import Counter, deque

from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.peering import (
    FORGET_AFTER_S,
    PROBES_PER_DOWN_MEMBER,
    find_silent_peers,
    pick_fingers,
    pick_peers,
    pick_probe_target,
    pick_readers,
    pick_remote_peer,
    refute,
    update_dead_since,
)
from bamboocove.state.members import Member, MemberTable


def make_member(name, zone="a", **values):
    values = {"incarnation": 10, "sequence": 1, **values}
    return Member(
        node_id=name, zone=zone, region="r", host="127.0.0.1", peer_port=1, **values
    )


def make_table(count, zones=1):
    table = MemberTable()
    for index in range(count):
        table.merge(make_member(f"n{index}", f"z{index % zones}"))
    return table


def get_links(table, links=3):
    """Return the linked peers of each member, whichever end opened the link."""
    peers_by_id = {name: set() for name in table.members_by_id}
    for member in table.members_by_id.values():
        for peer in pick_peers(table, member, links):
            peers_by_id[member.node_id].add(peer.node_id)
            peers_by_id[peer.node_id].add(member.node_id)
    return peers_by_id


def get_distances(peers_by_id, start):
    distances, queue = {start: 0}, deque([start])
    while queue:
        name = queue.popleft()
        for peer in peers_by_id[name]:
            if peer not in distances:
                distances[peer] = distances[name] + 1
                queue.append(peer)
    return distances


@settings(max_examples=50, derandomize=True, deadline=None)
@given(st.integers(1, 40), st.integers(1, 6), st.integers(1, 4))
def test_links_connect_all_members(count, links, zones):
    """Guards against a disconnected graph of links, and against too many links."""
    table = make_table(count, zones)
    for member in table.members_by_id.values():
        peers = pick_peers(table, member, links)
        names = [peer.node_id for peer in peers]
        assert len(set(names)) == len(names) and member.node_id not in names
        local = [peer for peer in peers if peer.zone == member.zone]
        assert len(local) == min(links, len(table.get_live(member.zone)) - 1)
        remote = len(table.get_live()) > len(table.get_live(member.zone))
        assert len(peers) - len(local) == remote
    assert len(get_distances(get_links(table), "n0")) == count


def test_hops_and_links_per_node_are_bounded_at_1800_nodes():
    """Guards against slow propagation and nodes with far too many links."""
    table = make_table(1800, 9)
    peers_by_id = get_links(table)
    assert max(get_distances(peers_by_id, "n0").values()) <= 10
    # bench/control.py measures 175 bytes/s for each link at rest, so that 15
    # links stay below the 3 KB/s of a node.
    assert max(map(len, peers_by_id.values())) <= 15


def test_loss_of_one_member_changes_few_links():
    """Guards against many nodes that reconnect when one host fails."""
    table = make_table(200, 2)
    before = {
        name: frozenset(peer.node_id for peer in pick_peers(table, member, 3))
        for name, member in table.members_by_id.items()
    }
    table.merge(evolve(table.members_by_id["n7"], state="down"))
    changed = 0
    for name, member in table.members_by_id.items():
        if name != "n7":
            peers = pick_peers(table, member, 3, current=before[name])
            changed += len({peer.node_id for peer in peers} - before[name])
    # Only links to the lost member are replaced, 4 on average.
    assert changed <= 12


def test_links_stay_evenly_spread_while_members_join_and_leave():
    """Guards against fingers that accumulate on a few members."""
    table = make_table(100)
    links = {name: frozenset() for name in table.members_by_id}
    for step in range(60):
        gone = table.members_by_id[f"n{step}"]
        table.merge(evolve(gone, state="left"))
        table.merge(make_member(f"new{step}", "z0"))
        for member in table.get_live():
            picked = pick_peers(
                table, member, 3, current=links.get(member.node_id, frozenset())
            )
            links[member.node_id] = frozenset(peer.node_id for peer in picked)
    live = {member.node_id for member in table.get_live()}
    counts = Counter(peer for name in live for peer in links[name])
    assert max(counts.values()) <= 9


def test_fingers_are_successor_quarter_and_half():
    """Guards against fingers that all point to one part of the ring."""
    members = list(make_table(100).members_by_id.values())
    ring = pick_fingers("n0", members, 99)
    assert len({member.node_id for member in ring}) == 99
    full = {}
    name = "n0"
    for place in range(100):
        full[name] = place
        name = pick_fingers(name, members, 1)[0].node_id
    assert len(full) == 100
    places = [full[member.node_id] for member in pick_fingers("n0", members, 3)]
    assert places == [1, 25, 50]
    # Current peers are kept only within the tolerance of their points.
    names = {place: name for name, place in full.items()}
    current = frozenset(names[place] for place in (2, 3, 28, 35, 65))
    picked = pick_fingers("n0", members, 3, current)
    assert [full[member.node_id] for member in picked] == [1, 28, 50]


def test_unreachable_zone_is_avoided_while_there_is_another():
    """Guards against an isolated zone whose only remote link cannot open."""
    members = [make_member(f"n{index}", f"z{index % 3}") for index in range(30)]
    first = pick_remote_peer("x", members, frozenset())
    second = pick_remote_peer("x", members, frozenset([first.zone]))
    assert second.zone != first.zone
    zones = frozenset(member.zone for member in members)
    assert pick_remote_peer("x", members, zones) == first
    assert pick_remote_peer("x", [], frozenset()) is None


def test_two_readers_are_picked_in_each_zone():
    """Guards against a zone without a reader, or in which all nodes read."""
    table = make_table(60, 3)
    first = pick_readers(table, "z0")
    assert len(first) == 2
    assert {table.members_by_id[name].zone for name in first} == {"z0"}
    table.merge(evolve(table.members_by_id[first[0]], state="down"))
    assert pick_readers(table, "z0")[0] == first[1]
    table.merge(evolve(table.members_by_id[first[1]], state="suspect"))
    assert first[1] in pick_readers(table, "z0")
    assert pick_readers(table, "nowhere") == []
    chosen = Counter(pick_readers(make_table(10 + n), "z0")[0] for n in range(30))
    assert len(chosen) > 1


def test_silent_peer_becomes_suspect_and_then_down():
    """Guards against early or late reports, and reports of unknown members."""
    table = make_table(3)
    heard = {"n0": 0.0, "n1": 5.0, "stranger": 0.0}
    assert find_silent_peers(table, heard, 5.9, 6.0) == []
    (record,) = find_silent_peers(table, heard, 6.0, 6.0)
    assert (record.node_id, record.state) == ("n0", "suspect")
    table.merge(record)
    assert find_silent_peers(table, heard, 10.9, 6.0) == []
    states = {
        record.node_id: record.state
        for record in find_silent_peers(table, heard, 12.0, 6.0)
    }
    assert states == {"n0": "down", "n1": "suspect"}
    table.merge(evolve(table.members_by_id["n0"], state="left"))
    assert "n0" not in {
        record.node_id for record in find_silent_peers(table, heard, 99.0, 6.0)
    }


def test_own_record_is_renewed_only_if_the_report_supersedes_it():
    """Guards against a live member that stays down, and against endless renewal."""
    own = make_member("n0", sequence=4)
    for report in (
        evolve(own, state="down"),
        evolve(own, state="suspect"),
        evolve(own, sequence=9, state="down"),
        evolve(own, incarnation=99, sequence=7, state="left"),
    ):
        renewed = refute(own, report)
        assert renewed.age_key > report.age_key and renewed.state == "alive"
        assert refute(renewed, report) is None
    assert refute(own, own) is None
    assert refute(own, evolve(own, sequence=3, state="down")) is None
    assert refute(own, evolve(own, incarnation=9, sequence=99, state="down")) is None


def test_number_of_probes_does_not_depend_on_the_number_of_nodes():
    """Guards against dials from all nodes to a host that returns."""
    table = make_table(1000)
    table.merge(evolve(table.members_by_id["n5"], state="down"))
    dials = [
        pick_probe_target(table, "n0", index / 999, 0.5) is not None
        for index in range(999)
    ]
    assert sum(dials) == PROBES_PER_DOWN_MEMBER
    # In a partition into halves, each member of one half probes the other half.
    for index in range(500):
        table.merge(evolve(table.members_by_id[f"n{index}"], state="down"))
    assert pick_probe_target(table, "n999", 0.999, 0.999).state == "down"
    assert pick_probe_target(make_table(5), "n0", 0.0, 0.0) is None


def test_dead_members_are_forgotten_after_an_hour():
    """Guards against a member table that grows with each replaced host."""
    table, since = make_table(3), {}
    assert update_dead_since(table, since, 0.0) == []
    table.merge(evolve(table.members_by_id["n1"], state="left"))
    table.merge(evolve(table.members_by_id["n2"], state="down"))
    assert update_dead_since(table, since, 10.0) == []
    table.merge(evolve(table.members_by_id["n2"], sequence=2, state="alive"))
    assert update_dead_since(table, since, 100.0) == []
    assert update_dead_since(table, since, 9.0 + FORGET_AFTER_S) == []
    assert update_dead_since(table, since, 10.0 + FORGET_AFTER_S) == ["n1"]
