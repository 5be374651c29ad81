"""Requests and cancellations of other nodes, with a fake clock and inbound proxy."""

import pytest
from twisted.internet.task import Clock

from bamboocove.coordination.body_grants import BodyGrants
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.protocol.mesh_messages import BodyOffer, Cancel, Forward
from bamboocove.sidecar.forwarding import Forwarding
from bamboocove.sidecar.reply_offers import ReplyOffers


class FakeLink:
    """A link that discards messages."""

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
