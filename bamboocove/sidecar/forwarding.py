"""Requests that other nodes forward to the worker on this host."""

from functools import partial
from typing import Any

from attrs import define, field, frozen

from bamboocove.coordination.body_grants import BodyGrants
from bamboocove.coordination.request_bodies import reserve_body, reserve_small
from bamboocove.protocol.mesh_messages import (
    LOST,
    REFUSED,
    BodyGrant,
    BodyOffer,
    Cancel,
    Forward,
    Reply,
    ReplyTerms,
    encode_mesh_message,
)
from bamboocove.sidecar.inbound import InboundProxy, InboundRequest
from bamboocove.sidecar.logs import log_program_error
from bamboocove.sidecar.reply_offers import ReplyOffers

# Time after the deadline of a request for which its reply is held for the node of its
# caller, in seconds. That node ends the request sooner and says so.
REPLY_GRACE_S = 1.0

NO_MEMORY = "no memory is left for its body"


@frozen
class _OfferedBody:
    size: int
    deadline: float


@define
class Forwarding:
    """Passes requests of other nodes to the inbound proxy, and its replies back.

    Requests are submitted only after all messages that were read together with
    them: a host that was paused may read a request and its cancellation at once.

    Parameters
    ----------
    inbound : InboundProxy
        Queue of the worker on this host.
    clock : reactor
        Source of time.
    grants : BodyGrants
        Large bodies that other nodes offer to this host.
    replies : ReplyOffers
        Large replies that this node offers to others.
    """

    inbound: InboundProxy
    clock: Any
    grants: BodyGrants
    replies: ReplyOffers
    _requests_by_link: dict[Any, dict[int, InboundRequest]] = field(factory=dict)
    # Offered bodies by stream; the size of each is reserved in the budget.
    _offers_by_link: dict[Any, dict[int, _OfferedBody]] = field(factory=dict)
    _pending_by_key: dict[tuple[Any, int], Forward | None] = field(factory=dict)

    def take(
        self,
        link: Any,
        message: Forward | BodyOffer | BodyGrant | ReplyTerms | Cancel | None,
    ) -> None:
        """Handle a message of a link.

        Parameters
        ----------
        link : object
            Link that the message arrived on; replies go there.
        message : Forward, BodyOffer, BodyGrant, ReplyTerms, Cancel or None
            A grant permits a reply. None if the link was closed, which cancels its
            requests.
        """
        if isinstance(message, Forward):
            self._take_forward(link, message)
        elif isinstance(message, BodyOffer):
            self._take_offer(link, message)
        elif isinstance(message, ReplyTerms):
            self.replies.add_link(link)
        elif isinstance(message, BodyGrant):
            self.replies.grant(link, message.stream)
        elif message is None:
            self.replies.remove_link(link)
            for stream, offered in self._offers_by_link.pop(link, {}).items():
                self.grants.remove((link, stream))
                self.inbound.budget.release(offered.size)
            self._send_grants()
            for key in [key for key in self._pending_by_key if key[0] is link]:
                self._drop_pending(key)
            for request in self._requests_by_link.pop(link, {}).values():
                self.inbound.cancel(request)
        elif self.replies.remove(link, message.stream):
            pass
        elif message.stream in self._offers_by_link.get(link, ()):
            self._end_offer(link, message.stream)
        elif (link, message.stream) in self._pending_by_key:
            self._drop_pending((link, message.stream))
        else:
            request = self._requests_by_link.get(link, {}).get(message.stream)
            if request is not None:
                self.inbound.cancel(request)

    def _take_forward(self, link: Any, forward: Forward) -> None:
        is_offered = forward.stream in self._offers_by_link.get(link, ())
        budget = self.inbound.budget
        size = len(forward.body)
        if is_offered:
            budget.pass_on(size)
        elif not reserve_small(budget, size):
            reply = self.inbound.refuse(forward, REFUSED, NO_MEMORY)
            link.send_encoded(encode_mesh_message(reply))
            return
        self._end_offer(link, forward.stream)
        if not self._pending_by_key:
            self.clock.callLater(0, self.submit_pending)
        key = (link, forward.stream)
        self._drop_pending(key)
        self._pending_by_key[key] = forward

    def _drop_pending(self, key: tuple[Any, int]) -> None:
        forward = self._pending_by_key.get(key)
        if forward is not None:
            if forward.body:
                self.inbound.budget.release(len(forward.body))
            self._pending_by_key[key] = None

    def _take_offer(self, link: Any, offer: BodyOffer) -> None:
        # Takes the place of one on the same stream.
        self._end_offer(link, offer.stream)
        now = self.clock.seconds()

        def predict_delay(priority: float) -> float:
            wait_s = self.grants.predict_wait(priority)
            return wait_s + self.grants.predict_transfer(offer.size) if wait_s else 0.0

        result = self.inbound.assess_offer(offer, predict_delay, now)
        if not isinstance(result, Reply) and not reserve_body(
            self.inbound.budget, offer.size
        ):
            result = self.inbound.refuse(offer, REFUSED, NO_MEMORY)
        if isinstance(result, Reply):
            link.send_encoded(encode_mesh_message(result))
            return
        key = (link, offer.stream)
        deadline = now + offer.left_ms / 1000
        offers = self._offers_by_link.setdefault(link, {})
        offers[offer.stream] = _OfferedBody(offer.size, deadline)
        self.grants.add(key, offer.size, deadline, result, link)
        self._send_grants()

    def _end_offer(self, link: Any, stream: int) -> None:
        offered = self._offers_by_link.get(link, {}).pop(stream, None)
        if offered is not None:
            self.inbound.budget.release(offered.size)
            self.grants.remove((link, stream))
            self._send_grants()

    def refuse_waiting(self, outcome: int, reason: str) -> None:
        """Refuse the offered bodies that wait for permission to be sent."""
        for link, stream in self.grants.take_waiting():
            self._end_offer(link, stream)
            load = self.inbound.make_load()
            reply = Reply(stream, outcome, 0, [], reason.encode(), 0, load)
            link.send_encoded(encode_mesh_message(reply))

    def tick(self, now: float) -> None:
        """Forget offers and replies that nobody waits for any more.

        A node that stands still does not cancel them.
        """
        for link, offers in self._offers_by_link.items():
            for stream in [s for s, o in offers.items() if o.deadline <= now]:
                self._end_offer(link, stream)
        self.replies.tick(now)

    def _send_grants(self) -> None:
        for link, stream in self.grants.take_granted(self.clock.seconds()):
            link.send_encoded(encode_mesh_message(BodyGrant(stream)))

    def submit_pending(self) -> None:
        """Submit the requests that were read."""
        pending, self._pending_by_key = self._pending_by_key, {}
        for (link, stream), forward in pending.items():
            if forward is None:
                continue
            # An exception would leave the other requests to their deadlines.
            try:
                self._submit(link, forward)
            except Exception:
                message_name = type(forward).__name__
                log_program_error("node.message-failed", message=message_name)
                load = self.inbound.make_load()
                # The worker may have got it.
                reply = Reply(stream, LOST, 0, [], b"program error", 0, load)
                self._send_reply(link, self._get_reply_deadline(forward), reply)

    def _get_reply_deadline(self, forward: Forward) -> float:
        return self.clock.seconds() + forward.left_ms / 1000 + REPLY_GRACE_S

    def _submit(self, link: Any, forward: Forward) -> None:
        requests = self._requests_by_link.setdefault(link, {})
        reply = partial(self._send_reply, link, self._get_reply_deadline(forward))
        request = self.inbound.submit(forward, reply, len(forward.body))
        if not request.is_ended:
            requests[forward.stream] = request

    def _send_reply(self, link: Any, deadline: float, reply: Reply) -> None:
        requests = self._requests_by_link.get(link)
        if requests is not None:
            requests.pop(reply.stream, None)
        self.replies.send(link, reply, deadline)
