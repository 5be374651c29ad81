"""Links to all other nodes, with reconnection and failure detection by pings."""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, frozen

from bamboocove.errors import ErrorResult
from bamboocove.protocol.mesh_messages import (
    Greeting,
    Ping,
    Pong,
    decode_mesh_message,
    encode_mesh_message,
)
from bamboocove.sidecar.logs import log, log_program_error
from bamboocove.transport.fetching import enable_keepalive
from bamboocove.transport.link_handlers import LinkHandlers
from bamboocove.transport.peers import PeerLink, PeerNetwork

Address = tuple[str, int]

# An unreachable host does not answer at all; nodes are a few ms apart.
DIAL_TIMEOUT_S = 1.0
MIN_REDIAL_DELAY_S = 0.1
MAX_REDIAL_DELAY_S = 1.0
# Silence after which a ping is sent on a link, in seconds: short while requests wait
# for a reply on it. Idle links are pinged rarely, since there is one for each pair
# of hosts: with a ping each second, pings were most of all messages of a day without
# faults. A node that finds a host unresponsive notifies others, so that rare pings
# are enough.
IDLE_PING_S = 4.0
CROSS_ZONE_IDLE_PING_S = 10.0
# Pings on idle links in a second: with more links, each is pinged less often.
MAX_IDLE_PINGS_PER_S = 10
BUSY_PING_S = 0.15
# The same after an answered ping, while the requests are still waiting: with service
# times of half a second, most messages of a busy fleet were pings.
NEXT_BUSY_PING_S = 0.3
# Ticks between two checks of links on which nothing is awaited. There are many, and
# they are pinged rarely.
IDLE_CHECK_TICKS = 5
# When another node reports an unresponsive host, or a host of another zone stops
# answering (the whole zone may be partitioned), the host or all hosts of that zone
# are pinged at once unless they were heard within this time, in seconds.
MIN_PROBE_SILENCE_S = 0.3
# Time without an answer to a ping until a link gets no new requests, and until it is
# closed, in seconds. TCP retransmits lost packets after 0.2 s and then 0.4 s.
SUSPECT_TIMEOUT_S = 0.25
DEAD_TIMEOUT_S = 1.5


@define(eq=False)
class Peer:
    """Another node, and the state of the link that this node dials to it.

    Parameters
    ----------
    host_id : str
        Host of the node.
    address : (str, int)
        Where it accepts links.
    zone : str
        Availability zone of the host.
    link : PeerLink or None
        The link while it is dialled or open.
    is_open : bool
        Whether the link is established.
    last_received_at, unanswered_ping_at : float
        When the last message arrived, and when the unanswered ping was sent (0 for
        none), in seconds of the local clock.
    redial_at, redial_delay_s : float
        When a lost link is dialled again, and the delay after the next failure, in
        seconds.
    waiting : int
        Requests that wait for a reply on the link.
    is_suspect : bool
        Whether a ping was not answered within ``SUSPECT_TIMEOUT_S``.
    is_ping_answered : bool
        Whether the last message was the answer to a ping.
    has_stopped : bool
        Whether the node closed the link because it stops, after it had replied to all
        requests that it had read.
    busy_until : float
        Until then a large body is expected to occupy the link, so that the host
        cannot answer a ping, in seconds of the local clock.
    """

    host_id: str
    address: Address
    zone: str = ""
    link: PeerLink | None = None
    is_open: bool = False
    last_received_at: float = 0.0
    unanswered_ping_at: float = 0.0
    redial_at: float = 0.0
    redial_delay_s: float = MIN_REDIAL_DELAY_S
    waiting: int = 0
    is_suspect: bool = False
    is_ping_answered: bool = False
    has_stopped: bool = False
    busy_until: float = 0.0


@frozen
class HubHandlers:
    """Callbacks of the hub.

    Parameters
    ----------
    make_greeting : callable
        Returns the first messages on a link; called with whether this node
        dialled it.
    on_message : callable
        Called with the link for replies, the host identifier of the sender (empty
        until it has greeted) and the message, which is None once an accepted link
        closed.
    on_up, on_down : callable
        Called with the host identifier when a dialled link opens or closes.
    on_ping_timeout : callable
        Called with the host identifier once when it stops answering pings.
    on_suspect : callable
        Called with the host identifier on each tick while it does not answer.
    """

    make_greeting: Callable[[bool], list[Any]]
    on_message: Callable[[Any, str, Any], None]
    on_up: Callable[[str], None]
    on_down: Callable[[str], None]
    on_ping_timeout: Callable[[str], None]
    on_suspect: Callable[[str], None]


class LinkHub:
    """Keeps one dialled link to each known node and accepts links of other nodes.

    A node sends requests on the links that it dialled and receives the replies
    there, so that the two directions between a pair of nodes are independent.

    Parameters
    ----------
    clock : reactor
        Source of time and connections.
    handlers : HubHandlers
        Callbacks.
    random : callable
        Returns a float from 0 to 1.
    zone : str
        Availability zone of this node.
    """

    def __init__(
        self, clock: Any, handlers: HubHandlers, random: Callable, zone: str = ""
    ):
        self._zone = zone
        self._clock = clock
        self._handlers = handlers
        self._random = random
        self._network = PeerNetwork(clock)
        self._accepted: dict[PeerLink, str] = {}
        self._is_stopped = False
        self._ticks = 0
        self.peers_by_id: dict[str, Peer] = {}

    async def start(self, address: Address) -> int | ErrorResult:
        """Start to accept links; return the port."""
        handlers = LinkHandlers(
            self._on_accepted, self._on_accepted_message, self._on_accepted_closed
        )
        return await self._network.listen(*address, self._add_decoder(handlers))

    def _add_decoder(self, handlers: LinkHandlers) -> LinkHandlers:
        return LinkHandlers(
            handlers.on_open,
            handlers.on_message,
            handlers.on_closed,
            decode_mesh_message,
        )

    async def close_links(self) -> None:
        """Accept no more links, and close all after what was sent has been flushed.

        Tells the other nodes that this one has replied to all requests that it has
        read, which must be so.
        """
        self._is_stopped = True
        await self._network.stop()
        for link in self.get_links():
            link.close_after_all("node stops")

    def get_links(self) -> list[PeerLink]:
        """Return the links that are open, being dialled or being closed."""
        dialled = [p.link for p in self.peers_by_id.values() if p.link is not None]
        return [*dialled, *self._accepted]

    async def stop(self) -> None:
        """Close all links at once; messages already sent may be lost."""
        self._is_stopped = True
        await self._network.stop()
        for link in self.get_links():
            link.drop("node stops")

    def has_stopped(self, host_id: str) -> bool:
        """Return whether a node has closed its link because it stops.

        It has replied to all requests that it has read from that link.
        """
        peer = self.peers_by_id.get(host_id)
        return peer is not None and peer.has_stopped

    def set_peers(
        self,
        addresses_by_id: Mapping[str, Address],
        zones_by_id: Mapping[str, str] | None = None,
    ) -> None:
        """Set the nodes to keep links to, and drop the links to all others.

        A link on which requests wait for a reply is only dropped by a later call.

        Parameters
        ----------
        addresses_by_id : mapping of str to (str, int)
            Where the nodes accept links, by host.
        zones_by_id : mapping of str to str, optional
            Their availability zones, by host.
        """
        zones_by_id = zones_by_id or {}
        for host_id, address in addresses_by_id.items():
            peer = self.peers_by_id.get(host_id)
            zone = zones_by_id.get(host_id, "")
            if peer is not None and peer.address == address:
                peer.zone = zone
                continue
            if peer is not None and peer.link is not None:
                peer.link.drop("address changed")
            self.peers_by_id[host_id] = Peer(host_id, address, zone)
            self._dial(self.peers_by_id[host_id])
        for host_id in list(self.peers_by_id):
            peer = self.peers_by_id[host_id]
            if host_id not in addresses_by_id and not (peer.is_open and peer.waiting):
                del self.peers_by_id[host_id]
                if peer.link is not None:
                    peer.link.drop("link is not needed")

    def redial(self, host_id: str) -> None:
        """Dial a disconnected node at once, for example when it dialled this one."""
        peer = self.peers_by_id.get(host_id)
        if peer is not None and peer.link is None:
            peer.redial_delay_s = MIN_REDIAL_DELAY_S
            self._dial(peer)

    def send(self, host_id: str, message: Any) -> bool:
        """Send a message; return False if there is no open link."""
        peer = self.peers_by_id.get(host_id)
        if peer is None or not peer.is_open:
            return False
        return peer.link.send_encoded(encode_mesh_message(message))

    def expect_busy(self, host_id: str, until: float) -> None:
        """Expect no answer to pings before a time, while a large body is sent."""
        peer = self.peers_by_id.get(host_id)
        if peer is not None:
            peer.busy_until = max(peer.busy_until, until)

    def tick(self, now: float) -> None:
        """Dial lost links again and check the liveness of open ones."""
        self._ticks += 1
        checks_idle = self._ticks % IDLE_CHECK_TICKS == 0
        for peer in list(self.peers_by_id.values()):
            if peer.link is None:
                if now >= peer.redial_at:
                    self._dial(peer)
            elif peer.is_open and (
                checks_idle or peer.waiting or peer.unanswered_ping_at
            ):
                self._check_liveness(peer, now)

    def _check_liveness(self, peer: Peer, now: float) -> None:
        if now < peer.busy_until:
            return
        if peer.unanswered_ping_at:
            silence_s = now - max(peer.unanswered_ping_at, peer.busy_until)
            if silence_s > DEAD_TIMEOUT_S:
                peer.link.drop("peer does not answer")
            elif silence_s > SUSPECT_TIMEOUT_S:
                if not peer.is_suspect:
                    log("link.suspect", host=peer.host_id, silence_s=silence_s)
                    peer.is_suspect = True
                    self._probe_zone(peer.zone, now)
                    self._handlers.on_ping_timeout(peer.host_id)
                self._handlers.on_suspect(peer.host_id)
            return
        ping_after_s = (
            IDLE_PING_S if peer.zone == self._zone else CROSS_ZONE_IDLE_PING_S
        )
        ping_after_s = max(ping_after_s, len(self.peers_by_id) / MAX_IDLE_PINGS_PER_S)
        if peer.waiting:
            ping_after_s = NEXT_BUSY_PING_S if peer.is_ping_answered else BUSY_PING_S
        if now - peer.last_received_at > ping_after_s:
            self._ping(peer, now)

    def _ping(self, peer: Peer, now: float) -> None:
        peer.unanswered_ping_at = now
        peer.link.send_encoded(encode_mesh_message(Ping(0)))

    def probe(self, host_id: str, now: float) -> None:
        """Ping a host at once, unless a message of it arrived recently."""
        peer = self.peers_by_id.get(host_id)
        if peer is None or not peer.is_open or peer.unanswered_ping_at:
            return
        if now - peer.last_received_at > MIN_PROBE_SILENCE_S:
            self._ping(peer, now)

    def _probe_zone(self, zone: str, now: float) -> None:
        if zone == self._zone:
            return
        for peer in self.peers_by_id.values():
            if peer.zone == zone:
                self.probe(peer.host_id, now)

    def _dial(self, peer: Peer) -> None:
        if self._is_stopped:
            return
        peer.is_open = False
        peer.busy_until = 0.0
        peer.unanswered_ping_at = 0.0
        peer.is_suspect = False
        handlers = LinkHandlers(
            lambda link: self._on_dialled(peer, link),
            lambda link, message: self._on_dialled_message(peer, link, message),
            lambda link, reason: self._on_dialled_closed(peer, link, reason),
        )
        host, port = peer.address
        peer.link = self._network.dial(
            host, port, self._add_decoder(handlers), timeout_s=DIAL_TIMEOUT_S
        )

    def _on_dialled(self, peer: Peer, link: PeerLink) -> None:
        peer.is_open = True
        peer.last_received_at = self._clock.seconds()
        peer.redial_delay_s = MIN_REDIAL_DELAY_S
        peer.waiting = 0
        log("link.up", host=peer.host_id)
        for message in self._handlers.make_greeting(True):
            link.send_encoded(encode_mesh_message(message))
        self._handlers.on_up(peer.host_id)

    def _on_dialled_message(self, peer: Peer, link: PeerLink, message: Any) -> None:
        peer.last_received_at = self._clock.seconds()
        peer.unanswered_ping_at = 0.0
        peer.is_suspect = False
        peer.is_ping_answered = isinstance(message, Pong)
        self._deliver(link, peer.host_id, message)

    def _on_dialled_closed(self, peer: Peer, link: PeerLink, reason: str) -> None:
        if peer.link is not link:
            return
        was_open, peer.is_open = peer.is_open, False
        peer.has_stopped = link.is_ended_by_peer
        peer.link = None
        peer.redial_at = self._clock.seconds() + peer.redial_delay_s * (
            0.5 + 0.5 * self._random()
        )
        peer.redial_delay_s = min(MAX_REDIAL_DELAY_S, 2 * peer.redial_delay_s)
        if was_open:
            log("link.down", host=peer.host_id, reason=reason)
            self._handlers.on_down(peer.host_id)

    def _on_accepted(self, link: PeerLink) -> None:
        if self._is_stopped:
            link.close_after_all("node stops")
            return
        self._accepted[link] = ""
        enable_keepalive(link.transport)
        for message in self._handlers.make_greeting(False):
            link.send_encoded(encode_mesh_message(message))

    def _on_accepted_message(self, link: PeerLink, message: Any) -> None:
        if isinstance(message, Greeting):
            self._accepted[link] = message.host_id
            self.redial(message.host_id)
        self._deliver(link, self._accepted.get(link, ""), message)

    def _on_accepted_closed(self, link: PeerLink, reason: str) -> None:
        self._accepted.pop(link, None)
        self._handle(link, "", None)

    def _deliver(self, link: PeerLink, host_id: str, message: Any) -> None:
        if isinstance(message, Ping):
            link.send_encoded(encode_mesh_message(Pong(message.number)))
        elif not isinstance(message, Pong):
            self._handle(link, host_id, message)

    def _handle(self, link: PeerLink, host_id: str, message: Any) -> None:
        # An exception would close the link, and end all requests on it.
        try:
            self._handlers.on_message(link, host_id, message)
        except Exception:
            link.has_lost_message = True
            log_program_error(
                "node.message-failed", host=host_id, message=type(message).__name__
            )
