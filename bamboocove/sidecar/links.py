"""Links to all other nodes: dialled again when lost, and watched for silence."""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, frozen

from bamboocove.errors import ErrorResult
from bamboocove.protocol.hops import (
    Greeting,
    Ping,
    Pong,
    decode_hop,
    encode_hop,
)
from bamboocove.sidecar.logs import log
from bamboocove.transport.fetching import enable_keepalive
from bamboocove.transport.peers import LinkHandlers, PeerLink, PeerNetwork

Address = tuple[str, int]

# A host that is cut off does not answer at all; nodes are a few ms apart.
DIAL_TIMEOUT_S = 1.0
FIRST_REDIAL_S = 0.1
LONGEST_REDIAL_S = 1.0
# A link is asked whether it is alive after this silence, in seconds: early while
# requests wait for it. Idle links are asked seldom, since there is one for each
# pair of hosts: each second, pings were most of all messages of a calm day. They
# need not be asked more often, since a node that finds a host silent tells others.
IDLE_PING_S = 4.0
FAR_IDLE_PING_S = 10.0
BUSY_PING_S = 0.15
# When a host stops answering, or one of another zone, which may be cut off whole,
# links there that were silent for this time, in seconds, are asked at once.
SILENT_PING_S = 0.3
# Silence after a ping until a link gets no new requests, and until it is closed.
# Lost packets are sent again after 0.2 s and then 0.4 s.
SUSPECT_S = 0.25
DEAD_S = 1.5


@define(eq=False)
class Peer:
    """One other node as this one reaches it.

    Parameters
    ----------
    host_id : str
        Its host.
    address : (str, int)
        Where it accepts links.
    zone : str
        Its availability zone.
    link : PeerLink or None
        The link, once it was dialled.
    heard_at, pinged_at : float
        When something came last, and when the unanswered ping was sent (0 for
        none).
    waiting : int
        Requests that wait for an answer on the link.
    """

    host_id: str
    address: Address
    zone: str = ""
    link: PeerLink | None = None
    is_open: bool = False
    heard_at: float = 0.0
    pinged_at: float = 0.0
    redial_at: float = 0.0
    redial_s: float = FIRST_REDIAL_S
    waiting: int = 0
    is_suspect: bool = False


@frozen
class HubHandlers:
    """Functions that the hub calls.

    Parameters
    ----------
    greet : callable
        Returns the messages with which a link begins, from whether this node
        dialled it.
    on_message : callable
        Called with an object that has ``send`` for answers, the host
        identifier (empty if the other side dialled) and the message.
    on_up, on_down, on_silent : callable
        Called with the host identifier when a dialled link opens, closes, or
        stops answering.
    on_suspect : callable
        Called with the host identifier again and again while it does not answer.
    """

    greet: Callable[[bool], list[Any]]
    on_message: Callable[[Any, str, Any], None]
    on_up: Callable[[str], None]
    on_down: Callable[[str], None]
    on_silent: Callable[[str], None]
    on_suspect: Callable[[str], None]


class LinkHub:
    """Keeps one dialled link to each known node, and accepts those of others.

    Requests go out on dialled links and are answered there, so that the two
    directions between a pair of nodes do not depend on each other.

    Parameters
    ----------
    clock : reactor
        Source of time and connections.
    handlers : HubHandlers
        What to call.
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
        self._accepted: set[PeerLink] = set()
        self._is_stopped = False
        self.peers_by_id: dict[str, Peer] = {}

    async def start(self, address: Address) -> int | ErrorResult:
        """Accept links; return the port."""
        handlers = LinkHandlers(
            self._on_accepted, self._on_accepted_message, self._on_accepted_closed
        )
        return await self._network.listen(*address, self._wrap(handlers))

    def _wrap(self, handlers: LinkHandlers) -> LinkHandlers:
        return LinkHandlers(
            handlers.on_open, handlers.on_message, handlers.on_closed, decode_hop
        )

    async def stop(self) -> None:
        """Close all links."""
        self._is_stopped = True
        await self._network.stop()
        for peer in self.peers_by_id.values():
            if peer.link is not None:
                peer.link.drop("node stops")
        for link in list(self._accepted):
            link.drop("node stops")

    def follow(
        self,
        addresses_by_id: Mapping[str, Address],
        zones_by_id: Mapping[str, str] | None = None,
    ) -> None:
        """Dial exactly these nodes, which are in these availability zones."""
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
            if host_id not in addresses_by_id:
                peer = self.peers_by_id.pop(host_id)
                if peer.link is not None:
                    peer.link.drop("host is gone")

    def redial(self, host_id: str) -> None:
        """Dial a node at once that shows a sign of life."""
        peer = self.peers_by_id.get(host_id)
        if peer is not None and peer.link is None:
            peer.redial_s = FIRST_REDIAL_S
            self._dial(peer)

    def send(self, host_id: str, message: Any) -> bool:
        """Send a message; False if there is no open link."""
        peer = self.peers_by_id.get(host_id)
        if peer is None or not peer.is_open:
            return False
        return peer.link.send_encoded(encode_hop(message))

    def tick(self, now: float) -> None:
        """Dial lost links again, and ask silent ones whether they are alive."""
        for peer in list(self.peers_by_id.values()):
            if peer.link is None:
                if now >= peer.redial_at:
                    self._dial(peer)
            elif peer.is_open:
                self._check(peer, now)

    def _check(self, peer: Peer, now: float) -> None:
        if peer.pinged_at:
            silence_s = now - peer.pinged_at
            if silence_s > DEAD_S:
                peer.link.drop("peer does not answer")
            elif silence_s > SUSPECT_S:
                if not peer.is_suspect:
                    log("link.suspect", host=peer.host_id, silence_s=silence_s)
                    peer.is_suspect = True
                    self._ask_zone(peer.zone, now)
                    self._handlers.on_silent(peer.host_id)
                self._handlers.on_suspect(peer.host_id)
            return
        limit_s = IDLE_PING_S if peer.zone == self._zone else FAR_IDLE_PING_S
        if peer.waiting:
            limit_s = BUSY_PING_S
        if now - peer.heard_at > limit_s:
            self._ping(peer, now)

    def _ping(self, peer: Peer, now: float) -> None:
        peer.pinged_at = now
        peer.link.send_encoded(encode_hop(Ping(0)))

    def ask(self, host_id: str, now: float) -> None:
        """Ask a host at once whether it is alive, unless it was heard just now."""
        peer = self.peers_by_id.get(host_id)
        if peer is None or not peer.is_open or peer.pinged_at:
            return
        if now - peer.heard_at > SILENT_PING_S:
            self._ping(peer, now)

    def _ask_zone(self, zone: str, now: float) -> None:
        if zone == self._zone:
            return
        for peer in self.peers_by_id.values():
            if peer.zone == zone:
                self.ask(peer.host_id, now)

    # Dialled links.

    def _dial(self, peer: Peer) -> None:
        if self._is_stopped:
            return
        peer.is_open = False
        peer.pinged_at = 0.0
        peer.is_suspect = False
        handlers = LinkHandlers(
            lambda link: self._on_dialled(peer, link),
            lambda link, message: self._on_dialled_message(peer, link, message),
            lambda link, reason: self._on_dialled_closed(peer, link, reason),
        )
        host, port = peer.address
        peer.link = self._network.dial(
            host, port, self._wrap(handlers), timeout_s=DIAL_TIMEOUT_S
        )

    def _on_dialled(self, peer: Peer, link: PeerLink) -> None:
        peer.is_open = True
        peer.heard_at = self._clock.seconds()
        peer.redial_s = FIRST_REDIAL_S
        peer.waiting = 0
        log("link.up", host=peer.host_id)
        for message in self._handlers.greet(True):
            link.send_encoded(encode_hop(message))
        self._handlers.on_up(peer.host_id)

    def _on_dialled_message(self, peer: Peer, link: PeerLink, message: Any) -> None:
        peer.heard_at = self._clock.seconds()
        peer.pinged_at = 0.0
        peer.is_suspect = False
        self._deliver(link, peer.host_id, message)

    def _on_dialled_closed(self, peer: Peer, link: PeerLink, reason: str) -> None:
        if peer.link is not link:
            return
        was_open, peer.is_open = peer.is_open, False
        peer.link = None
        peer.redial_at = self._clock.seconds() + peer.redial_s * (
            0.5 + 0.5 * self._random()
        )
        peer.redial_s = min(LONGEST_REDIAL_S, 2 * peer.redial_s)
        if was_open:
            log("link.down", host=peer.host_id, reason=reason)
            self._handlers.on_down(peer.host_id)

    # Accepted links.

    def _on_accepted(self, link: PeerLink) -> None:
        self._accepted.add(link)
        enable_keepalive(link.transport)
        for message in self._handlers.greet(False):
            link.send_encoded(encode_hop(message))

    def _on_accepted_message(self, link: PeerLink, message: Any) -> None:
        self._deliver(link, "", message)

    def _on_accepted_closed(self, link: PeerLink, reason: str) -> None:
        self._accepted.discard(link)
        self._handlers.on_message(link, "", None)

    def _deliver(self, link: PeerLink, host_id: str, message: Any) -> None:
        if isinstance(message, Ping):
            link.send_encoded(encode_hop(Pong(message.number)))
        elif isinstance(message, Greeting) and not host_id:
            self.redial(message.host_id)
            self._handlers.on_message(link, host_id, message)
        elif not isinstance(message, Pong):
            self._handlers.on_message(link, host_id, message)
