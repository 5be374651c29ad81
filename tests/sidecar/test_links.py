"""How often links are asked whether they are alive, by a clock of the test."""

import pytest
from twisted.internet.task import Clock

from bamboocove.protocol.mesh_messages import Ping, decode_mesh_message
from bamboocove.sidecar import links
from bamboocove.sidecar.links import HubHandlers, LinkHub, Peer


class Link:
    """A link that notes what is sent."""

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
def told():
    return []


@pytest.fixture
def hub(clock, suspects, told):
    handlers = HubHandlers(
        lambda is_dialled: [], None, None, None, told.append, suspects.append
    )
    hub = LinkHub(clock, handlers, lambda: 0.5, zone="a")
    for host_id, zone in (("near", "a"), ("far-1", "b"), ("far-2", "b"), ("c-1", "c")):
        peer = Peer(host_id, ("127.0.0.1", 1), zone, link=Link())
        peer.is_open = True
        hub.peers_by_id[host_id] = peer
    return hub


def play(hub, clock, seconds):
    for _ in range(round(seconds * 10)):
        clock.advance(0.1)
        hub.tick(clock.seconds())


def count_pings(hub, host_id):
    return hub.peers_by_id[host_id].link.sent.count(Ping(0))


def answer(hub, clock, *host_ids):
    for host_id in host_ids:
        peer = hub.peers_by_id[host_id]
        hub._on_dialled_message(peer, peer.link, Ping(1))


def test_idle_links_to_other_zones_are_seldom_asked(hub, clock, monkeypatch):
    """Guards against traffic between zones that grows with the square of hosts."""
    monkeypatch.setattr(hub, "_deliver", lambda *args: None)
    play(hub, clock, links.IDLE_PING_S + 0.2)
    assert count_pings(hub, "near") == 1
    assert count_pings(hub, "far-1") == 0
    answer(hub, clock, "near")
    play(hub, clock, links.FAR_IDLE_PING_S - links.IDLE_PING_S)
    assert count_pings(hub, "far-1") == 1


def test_link_with_requests_is_asked_early(hub, clock):
    hub.peers_by_id["far-1"].waiting = 1
    play(hub, clock, 0.3)
    assert count_pings(hub, "far-1") == 1


def test_silent_host_has_its_whole_zone_asked(hub, clock, suspects):
    """Guards against requests lost one host after the other to a zone that is cut.

    Links to another zone are asked so seldom that each would be found silent
    only by a request that waits there.
    """
    play(hub, clock, 1.0)
    hub.peers_by_id["far-1"].waiting = 1
    play(hub, clock, 0.6)
    assert "far-1" in suspects
    assert count_pings(hub, "far-2") == 1
    assert count_pings(hub, "c-1") == 0
    play(hub, clock, links.SUSPECT_S + 0.2)
    assert "far-2" in suspects and "c-1" not in suspects


def test_silent_host_is_told_once(hub, clock, told):
    """Guards against each node that finds a dead host by a request of its own."""
    hub.peers_by_id["near"].waiting = 1
    play(hub, clock, 1.2)
    assert told.count("near") == 1


def test_host_that_others_find_silent_is_asked_unless_it_was_heard(hub, clock):
    play(hub, clock, 1.0)
    answer(hub, clock, "near")
    hub.ask("near", clock.seconds())
    hub.ask("c-1", clock.seconds())
    hub.ask("nobody", clock.seconds())
    assert (count_pings(hub, "near"), count_pings(hub, "c-1")) == (0, 1)
