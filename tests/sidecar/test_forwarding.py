"""Requests and cancellations of other nodes, with a fake clock and inbound proxy."""

import pytest
from twisted.internet.task import Clock

from bamboocove.coordination.body_grants import BodyGrants
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    WRONG_WORKER,
    BodyGrant,
    BodyOffer,
    Cancel,
    Forward,
    Reply,
    decode_mesh_message,
)
from bamboocove.sidecar.forwarding import Forwarding
from bamboocove.sidecar.reply_offers import ReplyOffers

LARGE_BYTES = 300_000


class FakeLink:
    """A link that discards messages."""

    is_paused = False

    def send_encoded(self, data):
        return True


class FakeInboundRequest:
    """A request that runs until it is cancelled."""

    is_ended = False


class FakeInboundProxy:
    """An inbound proxy that records its calls."""

    def __init__(self):
        self.budget = ByteBudget(1000)
        self.submitted = []
        self.cancelled = []

    def submit(self, forward, reply, held_bytes):
        self.submitted.append(forward.stream)
        return FakeInboundRequest()

    def cancel(self, request):
        self.cancelled.append(request)


def make_forward(stream):
    request = (b"GET", b"/read/1", [], b"")
    return Forward(stream, "read", "s", "v1", 900, 300, 1, True, "front", *request)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def inbound():
    return FakeInboundProxy()


@pytest.fixture
def forwarding(inbound, clock):
    return Forwarding(inbound, clock, BodyGrants(0), ReplyOffers(ByteBudget(0)))


def test_requests_are_submitted_in_the_next_reactor_turn(forwarding, inbound, clock):
    forwarding.take("link", make_forward(1))
    forwarding.take("link", make_forward(2))
    clock.advance(0)
    assert inbound.submitted == [1, 2]


@pytest.mark.parametrize("end", [Cancel(1), None])
def test_request_read_together_with_its_cancellation_is_not_submitted(
    forwarding, inbound, clock, end
):
    """Guards against running cancelled requests on a host that was paused.

    After the pause the host reads a request together with its cancellation, or with
    the end of the link. Its worker received such requests 0.6 s after their callers
    had disconnected.
    """
    forwarding.take("link", make_forward(1))
    forwarding.take("other", make_forward(1))
    forwarding.take("link", end)
    clock.advance(0)
    assert inbound.submitted == [1]


def test_submitted_request_is_cancelled(forwarding, inbound, clock):
    forwarding.take("link", make_forward(1))
    clock.advance(0)
    forwarding.take("link", Cancel(1))
    assert len(inbound.cancelled) == 1


def test_offer_of_a_node_that_stands_still_holds_no_room_after_its_deadline(
    forwarding, inbound, clock
):
    """Guards against bodies refused for as long as another node is frozen.

    A frozen node neither sends the body nor cancels it, and its link stays open.
    """
    inbound.assess_offer = lambda offer, predict_delay, now: 1.0
    link = FakeLink()
    offer = BodyOffer(1, "read", "s", "v1", 900, 300, 1, 1000, b"a1")
    forwarding.take(link, offer)
    assert inbound.budget.held == 1000
    clock.advance(0.8)
    forwarding.tick(clock.seconds())
    assert inbound.budget.held == 1000
    clock.advance(0.2)
    forwarding.tick(clock.seconds())
    assert inbound.budget.held == 0
    forwarding.take(link, Cancel(1))
    forwarding.take(link, None)
    assert inbound.budget.held == 0


def make_reply(stream):
    return Reply(stream, ANSWERED, 200, [], bytes(LARGE_BYTES), 0, [0, 4, 0, 0])


@pytest.mark.parametrize("end", ["link", "deadline"])
def test_repeated_terms_of_a_peer_forget_no_reply(end):
    """Guards against bytes that stay counted after a peer repeats a message."""
    budget = ByteBudget(10 * LARGE_BYTES)
    replies, link = ReplyOffers(budget), FakeLink()
    replies.add_link(link)
    replies.send(link, make_reply(1), 9.0)
    replies.add_link(link)
    assert replies.count == 1 and budget.held == LARGE_BYTES
    if end == "link":
        replies.remove_link(link)
    else:
        replies.tick(9.0)
    assert budget.held == budget.offered == 0


def test_second_reply_on_a_stream_takes_the_place_of_the_first():
    """Guards against bytes that stay counted after a peer has used a stream twice."""
    budget = ByteBudget(10 * LARGE_BYTES)
    replies, link = ReplyOffers(budget), FakeLink()
    replies.add_link(link)
    replies.send(link, make_reply(1), 9.0)
    replies.send(link, make_reply(1), 9.0)
    assert budget.held == budget.offered == LARGE_BYTES
    replies.remove(link, 1)
    assert budget.held == budget.offered == 0


@pytest.mark.parametrize("is_granted", [True, False])
def test_second_offer_on_a_stream_takes_the_place_of_the_first(
    inbound, clock, is_granted
):
    """Guards against bytes that stay counted after a peer has used a stream twice."""
    inbound.budget = ByteBudget(100 * LARGE_BYTES)
    inbound.assess_offer = lambda offer, predict_delay, now: 0.0
    grants = BodyGrants(0 if is_granted else 1)
    forwarding = Forwarding(inbound, clock, grants, ReplyOffers(inbound.budget))
    link = FakeLink()
    sizes = [50_000, LARGE_BYTES, 2 * LARGE_BYTES]
    for stream, size in enumerate(sizes, 1):
        for _ in range(2):
            forwarding.take(
                link,
                BodyOffer(stream, "read", "s", "v1", 900, 300, 1, size, b"a1"),
            )
    assert inbound.budget.held == sum(sizes)
    forwarding.take(link, None)
    assert inbound.budget.held == 0
    assert grants.predict_wait(9) == 0


def test_bodies_that_wait_are_refused_without_being_sent(inbound, clock):
    """Guards against uploads that cross zones for a worker that may not take them."""
    inbound.assess_offer = lambda offer, predict_delay, now: 1.0
    inbound.make_load = lambda: [0, 1, 0, 0]
    inbound.budget = ByteBudget(20 * LARGE_BYTES)
    forwarding = Forwarding(inbound, clock, BodyGrants(1.0), ReplyOffers(ByteBudget(0)))
    sent = []
    link = FakeLink()
    link.send_encoded = lambda data: sent.append(decode_mesh_message(data))
    for stream in (1, 2):
        offer = BodyOffer(stream, "up", "s", "v1", 900, 300, 1, LARGE_BYTES, b"a")
        forwarding.take(link, offer)
    assert sent == [BodyGrant(1)]
    forwarding.refuse_waiting(WRONG_WORKER, "evacuated")
    assert [(type(m), m.stream) for m in sent[1:]] == [(Reply, 2)]
    assert inbound.budget.held == LARGE_BYTES
