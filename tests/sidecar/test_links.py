"""Liveness checks of links by pings, on a simulated clock."""

import pytest
from twisted.internet.task import Clock

from bamboocove.protocol.mesh_messages import Ping, Pong, decode_mesh_message
from bamboocove.sidecar import links
from bamboocove.sidecar.links import HubHandlers, LinkHub, Peer


class Link:
    """Fake link that records the messages sent and the reasons of drops."""

    def __init__(self):
        self.sent = []
        self.reasons = []

    def send_encoded(self, data):
        self.sent.append(decode_mesh_message(data))
        return True

    def drop(self, reason):
        self.reasons.append(reason)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def suspects():
    return []


@pytest.fixture
def ping_timeouts():
    return []


@pytest.fixture
def hub(clock, suspects, ping_timeouts):
    handlers = HubHandlers(
        lambda is_dialled: [], None, None, None, ping_timeouts.append, suspects.append
    )
    hub = LinkHub(clock, handlers, lambda: 0.5, zone="a")
    for host_id, zone in (("near", "a"), ("far-1", "b"), ("far-2", "b"), ("c-1", "c")):
        peer = Peer(host_id, ("127.0.0.1", 1), zone, link=Link())
        peer.is_open = True
        hub.peers_by_id[host_id] = peer
    return hub


def run_ticks(hub, clock, seconds):
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        hub.tick(clock.seconds())


def count_pings(hub, host_id):
    return hub.peers_by_id[host_id].link.sent.count(Ping(0))


def receive_from(hub, clock, *host_ids):
    for host_id in host_ids:
        peer = hub.peers_by_id[host_id]
        hub._on_dialled_message(peer, peer.link, Ping(1))


def test_idle_links_to_other_zones_are_pinged_rarely(hub, clock, monkeypatch):
    """Guards against cross-zone traffic that grows with the square of the hosts."""
    monkeypatch.setattr(hub, "_deliver", lambda *args: None)
    # Idle links are not checked at each tick.
    run_ticks(hub, clock, links.IDLE_PING_S + 0.1 * links.IDLE_CHECK_TICKS + 0.1)
    assert count_pings(hub, "near") == 1
    assert count_pings(hub, "far-1") == 0
    receive_from(hub, clock, "near")
    run_ticks(hub, clock, links.CROSS_ZONE_IDLE_PING_S - links.IDLE_PING_S)
    assert count_pings(hub, "far-1") == 1


def test_link_with_waiting_requests_is_pinged_early(hub, clock):
    """Guards against requests that wait long on a link that is down."""
    hub.peers_by_id["far-1"].waiting = 1
    run_ticks(hub, clock, 0.3)
    assert count_pings(hub, "far-1") == 1


def test_silent_host_has_its_whole_zone_pinged(hub, clock, suspects):
    """Guards against requests lost on one host after another of a partitioned zone.

    Idle links to another zone are pinged so rarely that each of them would be found
    silent only by a request that waits on it.
    """
    run_ticks(hub, clock, 1.0)
    hub.peers_by_id["far-1"].waiting = 1
    run_ticks(hub, clock, 0.6)
    assert "far-1" in suspects
    assert count_pings(hub, "far-2") == 1
    assert count_pings(hub, "c-1") == 0
    run_ticks(hub, clock, links.SUSPECT_TIMEOUT_S + 0.2)
    assert "far-2" in suspects and "c-1" not in suspects


def test_silent_host_is_reported_once(hub, clock, ping_timeouts):
    """Guards against nodes that each detect a dead host only by their own requests."""
    hub.peers_by_id["near"].waiting = 1
    run_ticks(hub, clock, 1.2)
    assert ping_timeouts.count("near") == 1


def test_probed_host_is_pinged_unless_it_was_heard_recently(hub, clock):
    """Guards against needless pings of hosts that are known to be alive."""
    run_ticks(hub, clock, 1.0)
    receive_from(hub, clock, "near")
    hub.probe("near", clock.seconds())
    hub.probe("c-1", clock.seconds())
    hub.probe("nobody", clock.seconds())
    assert (count_pings(hub, "near"), count_pings(hub, "c-1")) == (0, 1)


def test_link_with_waiting_requests_is_dropped_only_after_the_replies(hub, clock):
    """Guards against requests that are lost because another host was chosen."""
    peer = hub.peers_by_id["far-1"]
    addresses = {"near": ("127.0.0.1", 1)}
    peer.waiting = 1
    hub.set_peers(addresses, {"near": "a"})
    assert set(hub.peers_by_id) == {"near", "far-1"}
    assert not peer.link.reasons
    peer.waiting = 0
    hub.set_peers(addresses, {"near": "a"})
    assert set(hub.peers_by_id) == {"near"}
    assert peer.link.reasons == ["link is not needed"]


def test_host_that_answers_pings_is_pinged_less_often(hub, clock, monkeypatch):
    """Guards against a busy fleet whose messages are mostly pings.

    Requests that run for half a second were pinged for three times each.
    """
    monkeypatch.setattr(hub, "_deliver", lambda *args: None)
    peer = hub.peers_by_id["near"]
    peer.waiting = 1
    for _ in range(20):
        run_ticks(hub, clock, 0.1)
        if peer.unanswered_ping_at:
            hub._on_dialled_message(peer, peer.link, Pong(0))
    assert count_pings(hub, "near") <= 6


def test_host_that_stops_to_answer_is_suspected_while_requests_wait(
    hub, clock, suspects
):
    """Guards against requests that wait long on a host that has answered pings."""
    peer = hub.peers_by_id["near"]
    peer.waiting = 1
    run_ticks(hub, clock, 0.3)
    hub._on_dialled_message(peer, peer.link, Pong(0))
    run_ticks(hub, clock, 0.8)
    assert "near" in suspects


def test_pings_on_idle_links_do_not_grow_with_the_fleet(hub, clock, monkeypatch):
    """Guards against a node that spends its time on pings to hundreds of hosts."""
    monkeypatch.setattr(hub, "_deliver", lambda *args: None)
    for number in range(160):
        peer = Peer(f"n{number}", ("127.0.0.1", 1), "a", link=Link())
        peer.is_open = True
        hub.peers_by_id[peer.host_id] = peer
    for _ in range(400):
        run_ticks(hub, clock, 0.1)
        for peer in hub.peers_by_id.values():
            if peer.unanswered_ping_at:
                hub._on_dialled_message(peer, peer.link, Pong(0))
    pings = sum(count_pings(hub, host_id) for host_id in hub.peers_by_id)
    assert pings <= links.MAX_IDLE_PINGS_PER_S * 40
