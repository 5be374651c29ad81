"""Forwarded requests between the links and the gate, by a clock of the test."""

import pytest
from twisted.internet.task import Clock

from bamboocove.protocol.mesh_messages import Cancel, Forward
from bamboocove.sidecar.forwarding import Forwarding


class Request:
    """A request at the gate that goes on until it is cancelled."""

    is_ended = False


class Gate:
    """A gate that notes what it gets."""

    def __init__(self):
        self.submitted = []
        self.cancelled = []

    def submit(self, forward, reply):
        self.submitted.append(forward.stream)
        return Request()

    def cancel(self, request):
        self.cancelled.append(request)


def make_forward(stream):
    request = (b"GET", b"/read/1", [], b"")
    return Forward(stream, "read", "s", "v1", 900, 300, 1, True, "front", *request)


@pytest.fixture
def clock():
    return Clock()


@pytest.fixture
def gate():
    return Gate()


@pytest.fixture
def forwarding(gate, clock):
    return Forwarding(gate, clock)


def test_request_is_started_in_the_next_turn(forwarding, gate, clock):
    forwarding.take("link", make_forward(1))
    forwarding.take("link", make_forward(2))
    clock.advance(0)
    assert gate.submitted == [1, 2]


@pytest.mark.parametrize("end", [Cancel(1), None])
def test_request_whose_end_was_read_with_it_is_not_started(
    forwarding, gate, clock, end
):
    """Guards against late runs on a host that stood still for a moment.

    It reads the request together with the cancel, or the end of the link, that
    came while it stood still; its worker got such requests 0.6 s after their
    callers had left.
    """
    forwarding.take("link", make_forward(1))
    forwarding.take("other", make_forward(1))
    forwarding.take("link", end)
    clock.advance(0)
    assert gate.submitted == [1]


def test_running_request_is_cancelled(forwarding, gate, clock):
    forwarding.take("link", make_forward(1))
    clock.advance(0)
    forwarding.take("link", Cancel(1))
    assert len(gate.cancelled) == 1
