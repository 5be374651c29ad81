"""Tests of bamboocove.link_table in simulated fleets of distributors."""

import pytest

from bamboocove import link_table
from bamboocove.coordination.backoff import AcceptPacer
from bamboocove.link_table import Address
from bamboocove.protocol.messages import (
    Goodbye,
    Heartbeat,
)
from tests.fleet import Fleet, ScriptedLink, make_fleet, make_hello


def test_one_link_for_each_pair():
    """Guards against two links between one pair, each with its own heartbeats."""
    fleet = make_fleet(8)
    fleet.run(15.0)
    for port, network in fleet.networks.items():
        others = [link.remote.port for link in network.links if link.state == "open"]
        assert len(set(others)) == len(others)
        assert len(others) == len(fleet.get_links(port))
    dialled = sum(len(network.links) for network in fleet.networks.values())
    fleet.run(40.0)
    assert sum(len(network.links) for network in fleet.networks.values()) == dialled


def test_ends_that_dial_each_other_keep_the_same_link():
    """Guards against nodes that keep closing both links, or keep both of them."""
    fleet = Fleet()
    for port in (1, 2):
        fleet.start(port)
    for port, other in ((1, 2), (2, 1)):
        fleet.nodes[port]._links.dial(Address("127.0.0.1", other, f"n{other}"))
    fleet.run(1.0)
    first, second = fleet.get_links(1)["n2"].link, fleet.get_links(2)["n1"].link
    assert first.remote is second and first.outgoing
    assert [link.state for link in fleet.networks[1].links].count("open") == 1
    fleet.run(20.0)
    assert len(fleet.networks[1].links) == 2


def test_newer_of_two_links_in_one_direction_is_kept():
    """Guards against refusing a peer that reconnects while its old link seems open."""
    fleet = make_fleet(1)
    first, second = ScriptedLink(fleet, 1), ScriptedLink(fleet, 1)
    for peer in (first, second):
        peer.link.send(make_hello())
        fleet.run(0.1)
    assert first.closed and not second.closed
    assert fleet.get_links(1)["x"].link.remote is second.link


def test_dials_of_a_dead_address_back_off():
    """Guards against dialling a dead seed four times a second."""
    fleet = Fleet()
    fleet.start(1, seeds=[77])
    fleet.run(60.0)
    assert 5 <= len(fleet.networks[1].links) <= 40


def test_mass_restart_is_accepted_at_a_bounded_rate():
    """Guards against a seed that spends all its processor time on new links."""
    fleet = Fleet()
    fleet.start(1)
    fleet.nodes[1]._links._pacer = AcceptPacer(rate=10.0, burst=10.0)
    for port in range(2, 42):
        fleet.start(port, seeds=[1])
    fleet.run(0.5)
    assert len(fleet.get_links(1)) <= 10 + 5 + 1
    goodbyes = [m for _, _, m in fleet.hub.messages if isinstance(m, Goodbye)]
    assert len({goodbye.retry_after_s for goodbye in goodbyes}) > 10
    fleet.run(20.0)
    names = {f"n{port}" for port in fleet.nodes}
    for port in fleet.nodes:
        assert set(fleet.get_states(port)) == names
        assert set(fleet.get_states(port).values()) == {"alive"}


@pytest.mark.parametrize(
    "message",
    [
        Goodbye(1.0),
        Heartbeat(1, 0.0, 0),
        make_hello(state="odd"),
        make_hello(node_id=""),
    ],
)
def test_link_starts_with_a_usable_hello(message):
    """Guards against peers without an identifier, whose messages lack a source."""
    fleet = make_fleet(1)
    peer = ScriptedLink(fleet, 1)
    peer.link.send(message)
    fleet.run(0.1)
    assert peer.closed and not fleet.get_links(1) and peer.received == []


def test_silent_link_is_closed():
    """Guards against links that stay open after the peer has disappeared."""
    fleet = make_fleet(1)
    peer = ScriptedLink(fleet, 1)
    peer.link.send(make_hello())
    fleet.run(10.0)
    assert "x" in fleet.get_links(1)
    fleet.run(5.0)
    assert "x" not in fleet.get_links(1)


def test_retry_delay_requested_by_a_peer_is_capped():
    """Guards against a peer that is never dialled again after an excessive delay."""
    fleet = make_fleet(2)
    fleet.get_links(1)["n2"].link.send(Goodbye(1e9))
    fleet.run(60.0)
    assert "n2" in fleet.get_links(1)


def test_number_of_accepted_links_is_bounded(monkeypatch):
    """Guards against a node that runs out of memory as thousands of nodes dial it."""
    monkeypatch.setattr(link_table, "MAX_ACCEPTED_LINKS", 3)
    fleet = make_fleet(1)
    peers = [ScriptedLink(fleet, 1) for _ in range(5)]
    goodbyes = [peer for peer in peers if peer.received]
    assert len(goodbyes) == 2
    assert all(isinstance(peer.received[0], Goodbye) for peer in goodbyes)


def test_link_to_itself_is_not_repeated():
    """Guards against a seed that keeps dialling its own address."""
    fleet = Fleet()
    fleet.start(1, seeds=[1])
    fleet.run(30.0)
    assert len(fleet.networks[1].links) == 2
    assert fleet.nodes[1]._links.is_empty


def test_links_that_are_not_needed_are_closed():
    """Guards against idle links to seeds and probed members that cost heartbeats."""
    fleet = make_fleet(20)
    fleet.run(20.0)
    dialled = sum(
        peer.address is not None
        for port in fleet.nodes
        for peer in fleet.get_links(port).values()
    )
    assert dialled <= 3 * 20
    assert len(fleet.get_links(1)) < 12
