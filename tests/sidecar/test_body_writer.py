"""Large answers to callers that read slowly; time is that of a fake clock."""

import pytest
from twisted.internet.task import Clock

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.sidecar.body_writer import send_body
from tests.callpath import run_reactor_until
from tests.transport.closing import RECEIVE_BUFFER_BYTES, Server, split_responses, wait

GET = b"GET /1 HTTP/1.1\r\nHost: h\r\n\r\n"
BODY = bytes(range(250)) * 8000
SLOW_BYTES_PER_S = 20_000
STEADY_BYTES_PER_S = 100_000


@pytest.fixture
def server():
    server = Server()
    yield server
    server.close()


class Answer:
    """A large answer that is written to a caller whose socket takes few bytes."""

    def __init__(self, server):
        self.budget = ByteBudget(2 * len(BODY))
        self.clock = Clock()
        self.server = server
        self.caller = server.open(GET, RECEIVE_BUFFER_BYTES)
        server.wait_for_requests(1)
        exchange = server.exchanges[0]
        exchange.start(200, [], len(BODY))
        send_body(exchange, BODY, self.budget, self.clock)
        self.is_cut = False

    def read(self, size):
        """Read some bytes as far as they arrive at once."""
        goal = len(self.caller.data) + size
        for _ in range(20):
            try:
                self.caller.read_some(goal - len(self.caller.data))
            except ConnectionError:
                self.is_cut = True
            if self.is_cut or len(self.caller.data) >= goal:
                return
            wait(0.001)

    def read_for(self, seconds, bytes_per_s):
        """Read some bytes each second."""
        for _ in range(seconds):
            self.read(bytes_per_s)
            self.clock.advance(1)
            if self.is_cut or not self.server.calls.connections:
                return


def test_caller_that_reads_a_little_now_and_then_is_cut(server):
    """Guards against bytes that are held without end for callers that hardly read.

    Bodies above 16 KiB are refused and large answers of other hosts wait meanwhile.
    """
    answer = Answer(server)
    assert answer.budget.held == answer.budget.unread == len(BODY)
    answer.read_for(40, SLOW_BYTES_PER_S)
    run_reactor_until(lambda: not server.calls.connections, 1)
    assert answer.budget.held == answer.budget.unread == 0
    assert len(answer.caller.data) < len(BODY) / 2
    assert len(server.reports) == 1


def test_caller_that_reads_steadily_gets_its_answer(server):
    """Guards against a bound that cuts callers which are slow and not idle."""
    answer = Answer(server)
    answer.read_for(25, STEADY_BYTES_PER_S)
    answer.caller.read_until(lambda data: split_responses(data))
    assert split_responses(answer.caller.data)[0][1] == BODY
    assert answer.budget.held == 0 and not server.reports


def test_caller_that_starts_to_read_late_gets_its_answer(server):
    answer = Answer(server)
    answer.read_for(8, 0)
    answer.caller.read_until(lambda data: split_responses(data))
    assert answer.budget.held == 0 and not server.reports


def test_time_for_which_the_node_stands_still_is_not_held_against_a_caller(server):
    """Guards against an answer that is cut before the node has written it."""
    answer = Answer(server)
    answer.clock.advance(100)
    answer.caller.read_until(lambda data: split_responses(data))
    assert answer.budget.held == 0 and not server.reports
