"""Attempts to run a caller's request on a host, and the messages that make them."""

from collections.abc import Callable

from attrs import define, evolve, field

from bamboocove.coordination.body_grants import MIN_OFFERED_BYTES
from bamboocove.coordination.body_queue import BodyQueue
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.client_errors import ClientErrorRates, format_rate
from bamboocove.coordination.placement import HostView
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    EXPECTED_ERRORS_FIELD,
    LOST,
    BodyGrant,
    BodyOffer,
    Cancel,
    Forward,
    Reply,
    ReplyOffer,
    ReplyPart,
)
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.inbound_request import InboundRequest
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.outbound_request import OutboundRequest
from bamboocove.sidecar.settings import HostSettings

# Time for which a link is expected to be occupied by a body, relative to the time that
# the slower of the two hosts needs for it. Other bodies share that link.
BUSY_FACTOR = 3.0


@define(eq=False)
class Attempt:
    """A request at one host.

    Parameters
    ----------
    request : OutboundRequest
        The request.
    stream : int
        Identifier of the attempt in messages to and from the host.
    view : HostView
        The host.
    is_offered : bool
        Whether the host was only asked for permission to send the body, so that it
        cannot have run the request.
    inbound_request : InboundRequest or None
        The request in the queue of this host's worker, if it was sent there.
    reply_size : int or None
        Size of the body of the reply that the host has offered, in bytes; None if it
        has offered none.
    reply_parts : list of bytes
        Parts of the body of a large reply, as far as they have arrived.
    """

    request: OutboundRequest
    stream: int
    view: HostView
    is_offered: bool = False
    inbound_request: InboundRequest | None = None
    reply_size: int | None = None
    reply_parts: list[bytes] = field(factory=list)

    @property
    def host_id(self) -> str:
        """The host."""
        return self.view.host_id

    @property
    def may_have_reached_worker(self) -> bool:
        """Whether the host may have sent the request to its worker."""
        if self.inbound_request is not None:
            return self.inbound_request.is_sent
        return not self.is_offered

    def join_parts(self, reply: Reply) -> Reply:
        """Return the reply with its whole body; it is lost if a part is missing."""
        if self.reply_size is None or reply.outcome != ANSWERED:
            return reply
        parts, self.reply_parts = self.reply_parts, []
        reply = evolve(reply, body=b"".join([*parts, reply.body]))
        if len(reply.body) != self.reply_size:
            reason = b"a part of the answer is missing"
            reply = evolve(reply, outcome=LOST, status=0, headers=[], body=reason)
        return reply


@define(eq=False)
class AttemptTable:
    """Starts, finds and cancels the attempts of all requests of this node.

    Parameters
    ----------
    get_settings : callable
        Returns the settings of this node.
    fleet, inbound, hub
        Known hosts, the worker on this host, and links to other nodes.
    on_reply : callable
        Called with each reply of the worker on this host.
    budget : ByteBudget
        Bodies that this node holds.
    client_errors : ClientErrorRates
        Client errors that callers of this host get.
    """

    get_settings: Callable[[], HostSettings]
    fleet: Fleet
    inbound: InboundProxy
    hub: LinkHub
    on_reply: Callable[[Reply], None]
    budget: ByteBudget
    client_errors: ClientErrorRates = field(factory=ClientErrorRates)
    _attempts_by_stream: dict[int, Attempt] = field(factory=dict)
    _next_stream: int = 1
    _replies: BodyQueue = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._replies = BodyQueue(self.budget, comes_from_nodes=True)
        self.budget.on_release.append(self._grant_replies)

    def get(self, stream: int) -> Attempt | None:
        """Return an open attempt, or None."""
        return self._attempts_by_stream.get(stream)

    def find(self, host_id: str) -> list[Attempt]:
        """Return the open attempts at a host."""
        return [a for a in self._attempts_by_stream.values() if a.host_id == host_id]

    def start(self, request: OutboundRequest, view: HostView, now: float) -> bool:
        """Send a request to a host; return False if there is no link to it."""
        attempt = Attempt(request, self._next_stream, view)
        self._next_stream += 1
        forward = self._make_forward(attempt, now)
        request.attempt = attempt
        request.host_id = view.host_id
        request.view = view
        view.in_flight += 1
        view.sent_since_report += 1
        self._attempts_by_stream[attempt.stream] = attempt
        if view.host_id == self.get_settings().host_id:
            # A refusal calls ``on_reply`` before ``submit`` returns, which may
            # already have sent the request to another host.
            attempt.inbound_request = self.inbound.submit(forward, self.on_reply)
            return True
        attempt.is_offered = self._must_offer(forward, view.host_id)
        message = forward
        if attempt.is_offered:
            message = _make_offer(forward, request.attempt_id)
        if self.hub.send(view.host_id, message):
            self.hub.peers_by_id[view.host_id].waiting += 1
            return True
        self.close(attempt)
        return False

    def _make_forward(self, attempt: Attempt, now: float) -> Forward:
        request = attempt.request
        exchange = request.exchange
        headers = request.headers
        rate = self.client_errors.get_expected(
            request.route.name, request.service, attempt.view.version
        )
        if rate:
            headers = [*headers, [EXPECTED_ERRORS_FIELD, format_rate(rate)]]
        return Forward(
            attempt.stream,
            request.route.name,
            request.service,
            attempt.view.version,
            max(1, int((request.deadline - now) * 1000)),
            int((request.target_at - now) * 1000),
            request.priority,
            request.route.is_idempotent,
            self.get_settings().service,
            exchange.method,
            exchange.target,
            headers,
            request.body,
        )

    def _must_offer(self, forward: Forward, host_id: str) -> bool:
        record = self.fleet.records_by_id.get(host_id)
        return (
            len(forward.body) >= MIN_OFFERED_BYTES
            and record is not None
            and record.link_bytes_per_s > 0
        )

    def send_granted(self, grant: BodyGrant, now: float) -> None:
        """Send the request whose body a host has permitted."""
        attempt = self._attempts_by_stream.get(grant.stream)
        if attempt is None or not attempt.is_offered:
            return
        host_id = attempt.host_id
        attempt.is_offered = False
        forward = self._make_forward(attempt, now)
        record = self.fleet.records_by_id.get(host_id)
        rates = [
            self.get_settings().link_bytes_per_s,
            record.link_bytes_per_s if record is not None else 0,
        ]
        slowest = min((rate for rate in rates if rate), default=0)
        if slowest:
            transfer_s = BUSY_FACTOR * len(forward.body) / slowest
            self.hub.expect_busy(host_id, now + transfer_s)
        self.hub.send(host_id, forward)

    def take_reply_offer(self, offer: ReplyOffer, host_id: str) -> None:
        """Permit a host to send a large reply as soon as there is room for it."""
        attempt = self._attempts_by_stream.get(offer.stream)
        if attempt is None:
            self.hub.send(host_id, Cancel(offer.stream))
            return
        attempt.reply_size = offer.size
        if self._replies.reserve(attempt, offer.size):
            self.hub.send(host_id, BodyGrant(offer.stream))
        else:
            log(
                "request.reply-waits",
                id=attempt.request.attempt_id,
                host=host_id,
                size=offer.size,
                held=self.budget.held,
                limit=self.budget.limit,
            )

    def _grant_replies(self) -> None:
        for attempt in self._replies.take_ready():
            self.hub.send(attempt.host_id, BodyGrant(attempt.stream))

    def take_reply_part(self, part: ReplyPart) -> None:
        """Keep a part of a large reply."""
        attempt = self._attempts_by_stream.get(part.stream)
        if attempt is not None:
            attempt.reply_parts.append(part.data)
            self._replies.count(attempt, len(part.data))

    def close(self, attempt: Attempt) -> None:
        """Forget an attempt that has ended."""
        if self._attempts_by_stream.pop(attempt.stream, None) is None:
            return
        self._replies.remove(attempt)
        request = attempt.request
        if request.attempt is attempt:
            request.attempt = None
        if request.earlier_attempt is attempt:
            request.earlier_attempt = None
        attempt.view.in_flight = max(0, attempt.view.in_flight - 1)
        peer = self.hub.peers_by_id.get(attempt.host_id)
        if peer is not None and peer.waiting:
            peer.waiting -= 1

    def has_sent(self, request: OutboundRequest) -> bool:
        """Return whether a worker may have got one of the open attempts."""
        attempts = (request.attempt, request.earlier_attempt)
        return any(a is not None and a.may_have_reached_worker for a in attempts)

    def cancel(self, attempt: Attempt) -> None:
        """Forget an attempt, and cancel it at its host."""
        if attempt.stream not in self._attempts_by_stream:
            return
        self.close(attempt)
        if attempt.inbound_request is not None:
            self.inbound.cancel(attempt.inbound_request)
        else:
            self.hub.send(attempt.host_id, Cancel(attempt.stream))

    def cancel_all(self, request: OutboundRequest) -> None:
        """Cancel all attempts of a request."""
        for attempt in (request.attempt, request.earlier_attempt):
            if attempt is not None:
                self.cancel(attempt)


def _make_offer(forward: Forward, attempt_id: bytes) -> BodyOffer:
    return BodyOffer(
        forward.stream,
        forward.route,
        forward.service,
        forward.version,
        forward.left_ms,
        forward.target_left_ms,
        forward.priority,
        len(forward.body),
        attempt_id,
    )
