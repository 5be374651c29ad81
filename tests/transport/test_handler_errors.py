"""Program errors in the handlers of requests."""

import pytest

from bamboocove.errors import ErrorKind
from tests.callpath import run_reactor_until
from tests.transport.closing import GET, Server, split_responses

PUT = b"PUT /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"


def fail(*args):
    raise ValueError("odd")


def fail_at_once(exchange):
    fail()


def fail_on_data(exchange):
    exchange.receive(fail, lambda: None)


def fail_at_end(exchange):
    exchange.receive(lambda data: None, fail)


def fail_at_late_data(exchange):
    exchange.on_data = fail


def fail_as_cancelled(exchange):
    exchange.on_closed = fail
    fail()


@pytest.fixture
def server():
    server = Server()
    yield server
    server.close()


@pytest.mark.parametrize(
    "handler",
    [fail_at_once, fail_on_data, fail_at_end, fail_at_late_data, fail_as_cancelled],
)
def test_request_whose_handler_fails_is_answered(server, handler):
    """Guards against a program error that closes a connection without an answer."""
    server.on_request = handler
    caller = server.open(PUT[:-5] % 1)
    server.wait_for_requests(1)
    caller.send(PUT[-5:] + GET % 2)
    caller.read_until(split_responses)
    head, body = split_responses(caller.data)[0]
    assert head.startswith(b"http/1.1 502 ")
    assert b"bamboocove-run: unknown" in head and b"odd" not in body
    if handler not in (fail_as_cancelled, fail_at_once):
        assert server.errors[0].kind is ErrorKind.UPSTREAM_LOST
    failed, traceback = server.failures[0]
    assert failed is server.exchanges[0]
    assert "ValueError: odd" in traceback and "test_handler_errors" in traceback


def test_requests_behind_one_whose_handler_fails_are_answered(server):
    """Guards against the loss of pipelined requests with the one that fails."""
    outcomes = [lambda exchange: exchange.respond(200, []), fail_at_once] * 2
    server.on_request = lambda exchange: outcomes.pop()(exchange)
    caller = server.open(b"".join(GET % n for n in range(4)))
    caller.read_until(lambda data: len(split_responses(data)) == 4)
    statuses = [head.split()[1] for head, _ in split_responses(caller.data)]
    assert statuses == [b"502", b"200", b"502", b"200"]


def test_error_of_the_next_handler_does_not_reach_that_of_a_response(server):
    """Guards against an error that ends the link on which the last reply came."""
    caller = server.open(GET % 1 + GET % 2)
    server.wait_for_requests(1)
    server.on_request = fail_at_once
    server.exchanges[0].respond(200, [])
    caller.read_until(lambda data: len(split_responses(data)) == 2)
    assert len(server.failures) == 1


def test_response_whose_handler_fails_midway_is_cut(server):
    """Guards against a response that looks complete, or has another one inside it."""

    def fail_midway(exchange):
        exchange.start(200, [], 9)
        exchange.write(b"part")
        fail()

    server.on_request = fail_midway
    caller = server.open(GET % 1 + GET % 2)
    caller.read_until(lambda data: False)
    assert caller.is_closed and not split_responses(caller.data)
    run_reactor_until(lambda: server.reports)
    (report,) = server.reports
    assert report.reason == "response was cut"
    assert report.unanswered[0] is server.exchanges[0]
    assert len(server.exchanges) == 1


def test_lost_connection_is_forgotten_although_its_handler_fails(server):
    """Guards against a stop that waits for a connection that has gone."""
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    server.exchanges[0].on_closed = fail
    caller.close()
    run_reactor_until(lambda: not server.calls.connections)
    assert len(server.failures) == 1
