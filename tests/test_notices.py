"""Tests of bamboocove.notices in simulated fleets of distributors."""

from attrs import evolve

from bamboocove import notices
from bamboocove.notices import MAX_PENDING_REPORTS
from bamboocove.protocol.messages import (
    CoordinatorNotice,
    EvidenceReport,
    Heartbeat,
    Hello,
    SuspectNotice,
)
from bamboocove.state.evidence import Evidence, OutcomeCounts
from tests.fleet import ScriptedLink, make_fleet, make_hello


def test_coordinator_notice_with_the_highest_token_is_kept():
    """Guards against sending evidence to a coordinator that lost its lease.

    A notice with a lower token arrives after the one with the highest token.
    """
    fleet = make_fleet(6)
    old = CoordinatorNotice("n2", "127.0.0.1", 2, 4)
    new = CoordinatorNotice("n3", "127.0.0.1", 3, 5)
    fleet.nodes[3].broadcast(new)
    fleet.run(1.0)
    fleet.nodes[2].broadcast(old)
    fleet.run(1.0)
    fleet.start(7, seeds=[1])
    fleet.run(2.0)
    assert {node.coordinator.token for node in fleet.nodes.values()} == {5}


def test_suspect_notice_is_forwarded_once():
    """Guards against suspect notices that circulate or miss a node."""
    fleet = make_fleet(10)
    notice = SuspectNotice("f1", "orders", 60.0)
    links = sum(len(fleet.get_links(port)) for port in fleet.nodes)
    fleet.hub.messages.clear()
    fleet.nodes[1].broadcast(notice)
    fleet.nodes[1].broadcast(notice)
    fleet.run(1.0)
    # Each node sends it once on each link except the one it arrived on.
    assert fleet.count_messages(SuspectNotice) <= links - 9
    for port in fleet.nodes:
        seen = [item for item in fleet.handled[port] if isinstance(item, SuspectNotice)]
        assert seen == ([notice] if port != 1 else [])
    fleet.run(60.0)
    fleet.nodes[2].broadcast(notice)
    fleet.run(1.0)
    assert fleet.handled[3].count(notice) == 2


def test_notice_of_a_second_crash_is_forwarded_at_once():
    """Guards against dropping the notice of a second crash as a duplicate.

    The first notice has a short lifetime, the second a long one.
    """
    fleet = make_fleet(6)
    first = SuspectNotice("f1", "orders", 2.0)
    second = SuspectNotice("f1", "orders", 60.0, crashes=2)
    fleet.nodes[1].broadcast(first)
    fleet.nodes[1].broadcast(second)
    fleet.run(1.0)
    for port in range(2, 7):
        seen = [item for item in fleet.handled[port] if isinstance(item, SuspectNotice)]
        assert seen == [first, second]


def make_report(node_id):
    return EvidenceReport((make_evidence(node_id),))


def make_evidence(node_id):
    counts = OutcomeCounts(5, 1, 0)
    return Evidence("m", node_id, 1, "r", "normal", 0.0, 1.0, counts, counts)


def test_evidence_reaches_the_coordinator_without_a_link():
    """Guards against losing evidence of nodes without a link to the coordinator."""
    fleet = make_fleet(12)
    fleet.nodes[1].broadcast(CoordinatorNotice("n1", "127.0.0.1", 1, 1))
    fleet.run(1.0)
    others = [port for port in fleet.nodes if port != 1]
    unlinked = next(port for port in others if "n1" not in fleet.get_links(port))
    linked = next(port for port in fleet.nodes if "n1" in fleet.get_links(port))
    for port in (1, unlinked, linked):
        assert fleet.nodes[port].send_evidence(make_report(f"n{port}"))
        assert fleet.nodes[port].send_evidence(make_report(f"n{port}"))
    fleet.hub.messages.clear()
    fleet.run(5.0)
    reports = [item for item in fleet.handled[1] if isinstance(item, EvidenceReport)]
    senders = sorted(report.evidence[0].node_id for report in reports)
    assert senders == sorted([f"n{port}" for port in (1, unlinked, linked)] * 2)
    hellos = [
        message
        for source, target, message in fleet.hub.messages
        if isinstance(message, Hello) and {source, target} == {1, unlinked}
    ]
    assert len(hellos) == 2
    # The link carries evidence only and is closed when idle.
    assert f"n{unlinked}" not in fleet.get_links(1)
    assert not any(
        isinstance(message, Heartbeat) and {source, target} == {1, unlinked}
        for source, target, message in fleet.hub.messages
    )
    fleet.run(40.0)
    assert len(fleet.nodes[unlinked]._links._peers_by_link) == len(
        fleet.get_links(unlinked)
    )


def test_evidence_goes_to_the_new_lease_holder():
    """Guards against sending evidence to the previous lease holder."""
    fleet = make_fleet(24)
    fleet.run(10.0)
    others = [port for port in fleet.nodes if port > 2]
    unlinked = next(
        port for port in others if not {"n1", "n2"} & set(fleet.get_links(port))
    )
    for port in (1, 2):
        notice = CoordinatorNotice(f"n{port}", "127.0.0.1", port, port)
        fleet.nodes[port].broadcast(notice)
        fleet.run(1.0)
        fleet.nodes[unlinked].send_evidence(make_report("x"))
        fleet.run(1.0)
        reports = [m for m in fleet.handled[port] if isinstance(m, EvidenceReport)]
        assert len(reports) == 1
    assert (
        len(fleet.nodes[unlinked]._links._peers_by_link)
        == len(fleet.get_links(unlinked)) + 1
    )


def test_evidence_for_an_unreachable_coordinator_is_dropped():
    """Guards against buffering reports without bound for an unreachable node."""
    fleet = make_fleet(2)
    assert not fleet.nodes[2].send_evidence(make_report("n2"))
    fleet.nodes[2].broadcast(CoordinatorNotice("gone", "127.0.0.1", 99, 1))
    fleet.hub.groups_by_port = {99: 1}
    for _ in range(100):
        fleet.nodes[2].send_evidence(make_report("n2"))
        assert len(fleet.nodes[2]._notices._pending_reports) <= MAX_PENDING_REPORTS
        fleet.run(0.1)


def test_evidence_link_rejects_other_messages():
    """Guards against a peer relation that only one end of the link knows of."""
    fleet = make_fleet(1)
    peer = ScriptedLink(fleet, 1)
    peer.link.send(evolve(make_hello(), purpose="evidence"))
    fleet.run(5.0)
    assert len(peer.received) == 1 and not peer.closed
    peer.link.send(Heartbeat(1, 0.0, 0))
    fleet.run(1.0)
    assert peer.closed


def test_known_fingerprints_are_bounded(monkeypatch):
    """Guards against memory use that grows with each suspect request."""
    monkeypatch.setattr(notices, "MAX_KNOWN_FINGERPRINTS", 5)
    fleet = make_fleet(1)
    for index in range(20):
        fleet.nodes[1].broadcast(SuspectNotice(f"f{index}", "s", 60.0))
    known = fleet.nodes[1]._notices._known_by_fingerprint
    assert list(known) == [f"f{index}" for index in range(15, 20)]
