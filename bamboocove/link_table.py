"""Links of one node: dialling, handshakes, deduplication and accept limits."""

from collections import Counter
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from attrs import define, field, frozen

from bamboocove.coordination.backoff import (
    MAX_RETRY_AFTER_S,
    AcceptPacer,
    admit,
    compute_delay,
)
from bamboocove.events import log_event
from bamboocove.protocol.messages import (
    Goodbye,
    Hello,
    Message,
    encode_message,
)
from bamboocove.state.members import MEMBER_STATES
from bamboocove.transport.link_handlers import LinkHandlers

# After a mass restart thousands of nodes dial each seed, and the Hello and the
# repair of the member table take a few milliseconds for each of them.
ACCEPT_RATE_PER_S = 50.0
ACCEPT_BURST = 100.0
MAX_ACCEPTED_LINKS = 1024
# A link that is not wanted stays open for this long, so that a probe or a dial
# of a seed has time to exchange configuration and member records.
UNWANTED_LINK_MIN_AGE_S = 10.0
EVIDENCE_LINK_IDLE_TIMEOUT_S = 30.0

PEER = "peer"
EVIDENCE = "evidence"


@frozen
class Address:
    """Address on which a peer listens; ``node_id`` is empty for a seed."""

    host: str
    port: int
    node_id: str = ""


@define(eq=False)
class Peer:
    """State of one link.

    Parameters
    ----------
    link : PeerLink
        Transport of the messages.
    address : Address or None
        Address that was dialled; None for an accepted link.
    purpose : {"peer", "evidence"}
        Whether the link carries all messages or evidence only.
    opened_at, heard_at : float
        Times of the opening and of the last message received, in seconds.
    node_id : str
        Identifier of the peer; empty until its Hello arrives.
    incarnation : int
        Incarnation given in its Hello.
    mismatches : int
        Consecutive heartbeats whose digest differed from the own member table.
    goodbye : Goodbye or None
        Goodbye that the peer sent before closing the link.
    has_sent_goodbye : bool
        Whether this node sent a Goodbye.
    """

    link: Any
    address: Address | None
    purpose: str
    opened_at: float
    heard_at: float
    node_id: str = ""
    incarnation: int = 0
    mismatches: int = 0
    goodbye: Goodbye | None = None
    has_sent_goodbye: bool = False


@define
class _DialState:
    attempts: int = 0
    next_attempt_at: float = 0.0
    failed_at: float = float("-inf")


@frozen
class LinkCallbacks:
    """Callbacks for the events of a link table.

    Parameters
    ----------
    make_hello : callable
        Called with a node identifier, empty if not known, and a purpose;
        returns the Hello to send.
    on_link_ready : callable
        Called with a peer and its Hello after the handshake.
    on_message : callable
        Called with a peer and each message after the handshake.
    on_link_lost : callable
        Called with a peer that has no link left or could not be dialled, and
        whether one side sent a Goodbye.
    """

    make_hello: Callable[[str, str], Hello]
    on_link_ready: Callable[[Peer, Hello], None]
    on_message: Callable[[Peer, Message], None]
    on_link_lost: Callable[[Peer, bool], None]


@define
class LinkTable:
    """All links of one node, with at most one link to each peer.

    Parameters
    ----------
    own_id : str
        Identifier of this node.
    network : PeerNetwork
        Accepts and opens links.
    clock : reactor
        Twisted reactor.
    random : Random
        Source of jitter.
    callbacks : LinkCallbacks
        Functions of the distributor that handle link events.
    """

    own_id: str
    network: Any
    clock: Any
    random: Random
    callbacks: LinkCallbacks
    peers_by_id: dict[str, Peer] = field(factory=dict)
    stopping: bool = False
    _peers_by_link: dict[Any, Peer] = field(factory=dict)
    _dial_states_by_address: dict[tuple[str, int], _DialState] = field(factory=dict)
    _own_addresses: set[tuple[str, int]] = field(factory=set)
    _pacer: AcceptPacer = field(
        factory=lambda: AcceptPacer(ACCEPT_RATE_PER_S, ACCEPT_BURST)
    )
    _closed_traffic: Counter[str] = field(factory=Counter)

    async def listen(self, host: str, port: int) -> int:
        """Start accepting links; return the TCP port or an ErrorResult."""
        return await self.network.listen(host, port, self._make_handlers())

    def send(self, node_id: str, message: Message) -> bool:
        """Send a message to a peer; return False if it has no open link."""
        peer = self.peers_by_id.get(node_id)
        return peer is not None and peer.link.send(message)

    def send_all(self, message: Message, except_id: str = "") -> None:
        """Send a message to all linked peers except one."""
        data = encode_message(message)
        for node_id, peer in list(self.peers_by_id.items()):
            if node_id != except_id:
                peer.link.send_encoded(data)

    def dial(self, address: Address, purpose: str = PEER) -> Peer | None:
        """Dial a peer unless a link to its address exists or a backoff applies.

        Returns
        -------
        peer : Peer or None
            State of the new link; None if the address was not dialled.
        """
        now = self.clock.seconds()
        key = (address.host, address.port)
        state = self._dial_states_by_address.setdefault(key, _DialState())
        if self.stopping or now < state.next_attempt_at or key in self._own_addresses:
            return None
        if any(
            peer.address is not None
            and (peer.address.host, peer.address.port) == key
            and peer.purpose == purpose
            for peer in self._peers_by_link.values()
        ):
            return None
        link = self.network.dial(address.host, address.port, self._make_handlers())
        peer = Peer(link, address, purpose, now, now)
        self._peers_by_link[link] = peer
        return peer

    def dial_missing(self, wanted: Iterable[Address]) -> bool:
        """Dial the wanted peers without a link; return whether there were any."""
        missing = [
            address
            for address in wanted
            if not address.node_id or address.node_id not in self.peers_by_id
        ]
        for address in missing:
            self.dial(address)
        return bool(missing)

    def get_failed_at(self, host: str, port: int) -> float:
        """Return when an address last failed to answer a dial, in seconds.

        Negative infinity if it did not.
        """
        state = self._dial_states_by_address.get((host, port))
        return state.failed_at if state is not None else float("-inf")

    def close_unwanted(self, wanted_ids: set[str]) -> None:
        """Close links that this node dialled and no longer needs."""
        now = self.clock.seconds()
        for peer in list(self.peers_by_id.values()):
            if (
                peer.address is not None
                and peer.node_id not in wanted_ids
                and now - peer.opened_at > UNWANTED_LINK_MIN_AGE_S
            ):
                self._close_with_goodbye(peer, 0.0, "not needed")

    def close_silent(self, silence_s: float) -> None:
        """Close links on which no message arrives; discard dial states after 600 s.

        Links for evidence are allowed twice their idle timeout, as heartbeats are
        not sent on them.
        """
        now = self.clock.seconds()
        for peer in list(self._peers_by_link.values()):
            limit_s = (
                silence_s if peer.purpose == PEER else 2 * EVIDENCE_LINK_IDLE_TIMEOUT_S
            )
            if now - peer.heard_at > limit_s:
                peer.link.close("silent")
        for key, state in list(self._dial_states_by_address.items()):
            if now - max(state.failed_at, state.next_attempt_at) > 600:
                del self._dial_states_by_address[key]

    def close_all(self) -> None:
        """Send a Goodbye on all links, close them and dial no more."""
        self.stopping = True
        for peer in list(self._peers_by_link.values()):
            self._close_with_goodbye(peer, 0.0, "stopping")

    @property
    def is_empty(self) -> bool:
        """Whether there are no links in any state."""
        return not self._peers_by_link

    def get_traffic(self) -> dict[str, int]:
        """Return bytes, writes and reads of all links since the start."""
        traffic = Counter(self._closed_traffic)
        for link in self._peers_by_link:
            traffic.update(_read_traffic(link))
        return dict(traffic)

    def _make_handlers(self) -> LinkHandlers:
        return LinkHandlers(self._on_open, self._on_message, self._on_closed)

    def _on_open(self, link: Any) -> None:
        now = self.clock.seconds()
        peer = self._peers_by_link.get(link)
        if peer is not None:
            peer.opened_at = peer.heard_at = now
            hello = self.callbacks.make_hello(peer.address.node_id, peer.purpose)
            link.send(hello)
            return
        peer = self._peers_by_link[link] = Peer(link, None, PEER, now, now)
        retry_after_s = admit(self._pacer, now)
        accepted = sum(item.address is None for item in self._peers_by_link.values())
        if not retry_after_s and accepted > MAX_ACCEPTED_LINKS:
            retry_after_s = UNWANTED_LINK_MIN_AGE_S
        if retry_after_s:
            self._close_with_goodbye(peer, retry_after_s, "accepted rate")

    def _on_message(self, link: Any, message: Message) -> None:
        peer = self._peers_by_link.get(link)
        if peer is None:
            return
        peer.heard_at = self.clock.seconds()
        if isinstance(message, Goodbye):
            retry_after_s = min(max(0.0, message.retry_after_s), MAX_RETRY_AFTER_S)
            peer.goodbye = Goodbye(retry_after_s)
            link.close("goodbye")
        elif peer.node_id:
            self.callbacks.on_message(peer, message)
        elif isinstance(message, Hello):
            self._handle_hello(peer, message)
        else:
            link.close("no Hello")

    def _handle_hello(self, peer: Peer, hello: Hello) -> None:
        node_id = hello.member.node_id
        if node_id == self.own_id:
            if peer.address is not None:
                self._own_addresses.add((peer.address.host, peer.address.port))
            else:
                # The Hello tells the dialling end that the address is its own.
                peer.link.send(self.callbacks.make_hello(node_id, PEER))
            peer.link.close("link to itself")
            return
        if not node_id or hello.member.state not in MEMBER_STATES:
            peer.link.close("unusable Hello")
            return
        peer.node_id, peer.incarnation = node_id, hello.member.incarnation
        if peer.address is None:
            peer.purpose = EVIDENCE if hello.purpose == EVIDENCE else PEER
        else:
            key = (peer.address.host, peer.address.port)
            self._dial_states_by_address.pop(key, None)
        other = self.peers_by_id.get(node_id)
        if peer.purpose == PEER:
            if other is not None and not self._supersedes(peer, other):
                self._close_with_goodbye(peer, 0.0, "duplicate")
                return
            self.peers_by_id[node_id] = peer
            if other is not None:
                self._close_with_goodbye(other, 0.0, "duplicate")
        if peer.address is None:
            peer.link.send(self.callbacks.make_hello(node_id, peer.purpose))
        log_event(302, address=peer.link.address)
        self.callbacks.on_link_ready(peer, hello)

    def _supersedes(self, peer: Peer, other: Peer) -> bool:
        # Both ends keep the link that the lower node identifier dialled. Of two
        # links in one direction the older is dead: its dialler has abandoned it.
        outgoing = peer.address is not None
        if outgoing == (other.address is not None):
            return True
        if peer.incarnation != other.incarnation:
            return peer.incarnation > other.incarnation
        return outgoing == (self.own_id < peer.node_id)

    def _close_with_goodbye(
        self, peer: Peer, retry_after_s: float, reason: str
    ) -> None:
        peer.has_sent_goodbye = True
        peer.link.send(Goodbye(retry_after_s))
        peer.link.close(reason)

    def _on_closed(self, link: Any, reason: str) -> None:
        peer = self._peers_by_link.pop(link, None)
        if peer is None:
            return
        log_event(303, address=link.address, reason=reason)
        self._closed_traffic.update(_read_traffic(link))
        if peer.address is not None and (not peer.node_id or peer.goodbye is not None):
            self._delay_dial(peer)
        if self.peers_by_id.get(peer.node_id) is peer:
            del self.peers_by_id[peer.node_id]
        elif peer.node_id or peer.address is None or peer.purpose != PEER:
            return
        if peer.address is None or peer.address.node_id not in self.peers_by_id:
            is_planned = peer.goodbye is not None or peer.has_sent_goodbye
            self.callbacks.on_link_lost(peer, is_planned)

    def _delay_dial(self, peer: Peer) -> None:
        now = self.clock.seconds()
        key = (peer.address.host, peer.address.port)
        state = self._dial_states_by_address.setdefault(key, _DialState())
        state.attempts += 1
        server_delay_s = 0.0
        if peer.goodbye is not None:
            server_delay_s = peer.goodbye.retry_after_s
        else:
            state.failed_at = now
        delay_s = compute_delay(state.attempts, self.random.random(), server_delay_s)
        state.next_attempt_at = now + delay_s


def _read_traffic(link: Any) -> dict[str, int]:
    names = ("bytes_sent", "bytes_received", "writes", "reads")
    return {name: getattr(link, name) for name in names}
