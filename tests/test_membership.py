"""Tests of bamboocove.membership in simulated fleets of distributors."""

from attrs import evolve

from bamboocove.coordination.backoff import AcceptPacer
from bamboocove.protocol.messages import Goodbye, MemberUpdate
from tests.fleet import WORKER, make_fleet


def test_crashed_member_is_suspect_then_down_everywhere():
    """Guards against crashed members that stay alive at nodes without a link."""
    fleet = make_fleet(12, 2)
    fleet.crash(5)
    fleet.run(4.0)
    assert {fleet.get_states(port)["n5"] for port in fleet.nodes} == {"alive"}
    fleet.run(4.5)
    assert {fleet.get_states(port)["n5"] for port in fleet.nodes} == {"suspect"}
    fleet.run(6.5)
    assert {fleet.get_states(port)["n5"] for port in fleet.nodes} == {"down"}
    for port, node in fleet.nodes.items():
        assert set(fleet.get_states(port).values()) == {"alive", "down"}
        assert "n5" not in node._membership.heard_at_by_id


def test_last_member_of_a_zone_is_monitored_by_the_peers_it_dialled():
    """Guards against a crashed member that no peer selects and that stays alive."""
    fleet = make_fleet(5, 3)
    fleet.crash(5)
    fleet.run(20.0)
    fleet.crash(2)
    fleet.run(20.0)
    for port in fleet.nodes:
        assert fleet.get_states(port)["n2"] == "down"


def test_dead_members_are_forgotten():
    """Guards against a member table that grows with each replaced host."""
    fleet = make_fleet(3)
    fleet.crash(3)
    fleet.run(30.0)
    fleet.run(3540.0, step=0.5)
    assert fleet.get_states(1)["n3"] == "down"
    fleet.run(60.0, step=0.5)
    assert set(fleet.get_states(1)) == set(fleet.get_states(2)) == {"n1", "n2"}


def test_stopped_member_has_left_and_is_never_suspect():
    """Guards against reporting planned stops as failures."""
    fleet = make_fleet(6)
    node = fleet.nodes[4]
    fleet.stop(4)
    del fleet.nodes[4]
    assert {fleet.get_states(port)["n4"] for port in fleet.nodes} == {"left"}
    fleet.run(20.0)
    assert {fleet.get_states(port)["n4"] for port in fleet.nodes} == {"left"}
    assert node._links.is_empty and fleet.networks[4].port not in (
        fleet.hub.handlers_by_port
    )


def test_false_report_is_refuted():
    """Guards against a live member that other nodes keep recording as down."""
    fleet = make_fleet(6)
    table = fleet.nodes[1]._members
    record = evolve(table.members_by_id["n5"], state="down")
    fleet.nodes[1]._membership.merge_records([record], None)
    fleet.run(3.0)
    for port in fleet.nodes:
        member = fleet.nodes[port]._members.members_by_id["n5"]
        assert (member.state, member.sequence) == ("alive", record.sequence + 1)


def test_own_record_of_an_earlier_process_is_replaced():
    """Guards against a restarted node whose peers keep its old record.

    The old record has the higher incarnation, as after a clock that went back.
    """
    fleet = make_fleet(3)
    old = evolve(fleet.nodes[2].member, incarnation=10**15, state="left")
    fleet.nodes[2]._members.merge(old)
    fleet.run(5.0)
    for port in fleet.nodes:
        assert fleet.get_states(port)["n2"] == "alive"


def test_stale_own_record_is_refuted_without_peers():
    """Guards against a stored row of an earlier process that overrides this one."""
    fleet = make_fleet(1)
    node = fleet.nodes[1]
    node._members.merge(evolve(node.member, incarnation=10**15, state="down"))
    fleet.run(3.0)
    assert fleet.get_states(1) == {"n1": "alive"}
    assert node.member.incarnation == 10**15


def test_refutations_are_rate_limited():
    """Guards against two processes with one identifier flooding the fleet."""
    fleet = make_fleet(2)
    node = fleet.nodes[1]
    before = node.member.sequence
    for _ in range(10):
        report = evolve(node.member, state="down")
        node._membership.merge_records([report], "n2")
    assert node.member.sequence == before + 1


def test_peer_that_asks_to_retry_later_is_not_suspect():
    """Guards against reporting nodes that limit new links after a mass restart."""
    fleet = make_fleet(1)
    fleet.nodes[1]._links._pacer = AcceptPacer(rate=0.05, burst=0.0)
    fleet.start(2)
    fleet.nodes[2]._members.merge(fleet.nodes[1].member)
    fleet.run(18.0)
    assert fleet.count_messages(Goodbye) == 1 and not fleet.get_links(1)
    assert fleet.get_states(2)["n1"] == "alive"


def test_lost_zone_is_replaced_before_its_members_are_down():
    """Guards against a zone without links to other zones while one is down."""
    fleet = make_fleet(9, 3)
    for port in (1, 4, 7):
        fleet.crash(port)
    fleet.run(4.0)
    for port in fleet.nodes:
        zones = {
            fleet.nodes[int(name[1:])].member.zone for name in fleet.get_links(port)
        }
        assert len(zones) == 2
        assert fleet.get_states(port)["n1"] == "alive"


def test_lost_record_is_repaired():
    """Guards against tables that keep differing after a record was lost."""
    fleet = make_fleet(6)
    fleet.nodes[2]._members.forget("n5")
    membership = fleet.nodes[3]._membership
    membership.own_record = evolve(membership.own_record, sequence=9, workers=(WORKER,))
    membership.table.merge(membership.own_record)
    fleet.run(30.0)
    digests = {node._members.digest for node in fleet.nodes.values()}
    assert len(digests) == 1
    assert fleet.get_states(2)["n5"] == "alive"
    assert fleet.nodes[1]._members.get_workers("orders")[0][1] == WORKER


def test_paused_node_does_not_report_its_neighbours():
    """Guards against suspecting peers after this process itself was paused."""
    fleet = make_fleet(2)
    before = [node.member for node in fleet.nodes.values()]
    fleet.clock.advance(60.0)
    fleet.run(5.0)
    assert set(fleet.get_states(1).values()) == {"alive"}
    # Unchanged records show that no node had to refute a report.
    assert [node.member for node in fleet.nodes.values()] == before


def test_unknown_state_is_ignored():
    """Guards against links that fail on a record of a newer release."""
    fleet = make_fleet(3)
    record = evolve(fleet.nodes[2].member, sequence=99, state="resting")
    fleet.nodes[1]._links.send_all(MemberUpdate((record,)))
    fleet.run(2.0)
    assert fleet.get_states(3)["n2"] == "alive"
    assert fleet.nodes[2].member.sequence < 99
