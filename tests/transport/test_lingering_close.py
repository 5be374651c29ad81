"""Callers that read slowly, or send as the server closes their connection."""

import pytest
from twisted.internet import reactor

from bamboocove.transport import closing
from bamboocove.transport.server_connection import HEAD_TIMEOUT_S, IDLE_TIMEOUT_S
from tests.callpath import run_reactor_until
from tests.transport.closing import (
    GET,
    LARGE,
    RECEIVE_BUFFER_BYTES,
    SEND_BUFFER_BYTES,
    Server,
    split_responses,
    wait,
)

# Fits into the kernel's send buffer, but not into the caller's receive buffer.
MEDIUM = b"x" * 200_000
PART = b"PUT /1 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe"


def make_server(body, is_closing=False):
    def respond(exchange):
        if is_closing:
            exchange.close_connection()
        exchange.respond(200, [], body)

    return Server(respond, SEND_BUFFER_BYTES if body is LARGE else 0)


@pytest.fixture
def servers():
    servers = []
    yield servers
    for server in servers:
        server.close()


def open_slow(servers, body, data, is_closing=False):
    """Return a server that has answered, and its caller, which has not read."""
    servers.append(make_server(body, is_closing))
    caller = servers[0].open(data, RECEIVE_BUFFER_BYTES)
    servers[0].wait_for_requests(1)
    return servers[0], caller


def read_slowly(caller, seconds, size):
    """Read up to the end in small parts, over some time at least."""
    end = reactor.seconds() + seconds
    while reactor.seconds() < end:
        caller.read_some(size)
        wait(0.01)
    caller.read_until(lambda data: split_responses(data))


@pytest.mark.parametrize("is_idle", [False, True])
@pytest.mark.parametrize("crossing", [GET % 2, b"x"])
def test_answer_survives_a_request_that_crosses_the_close(servers, is_idle, crossing):
    """Guards against a reset that destroys the answer before the caller has it."""
    server, caller = open_slow(servers, MEDIUM, GET % 1, not is_idle)
    if is_idle:
        server.calls.close_idle()
    wait(0.05)
    caller.send(crossing)
    wait(0.05)
    caller.read_until(lambda data: False)
    assert [len(body) for _, body in split_responses(caller.data)] == [len(MEDIUM)]
    assert len(server.exchanges) == 1


@pytest.mark.parametrize("data", [GET % 1, PART])
def test_slow_caller_gets_the_last_answer(servers, data, monkeypatch):
    """Guards against a close that does not wait until the answer was read."""
    monkeypatch.setattr(closing, "LINGER_TIME_S", 0.1)
    _, caller = open_slow(servers, LARGE, data, is_closing=True)
    read_slowly(caller, 0.6, 20_000)
    assert [len(body) for _, body in split_responses(caller.data)] == [len(LARGE)]


@pytest.mark.parametrize("body", [MEDIUM, LARGE])
def test_caller_that_never_reads_the_last_answer_is_cut(servers, body, monkeypatch):
    """Guards against memory that is held for a caller that never reads."""
    monkeypatch.setattr(closing, "LINGER_TIME_S", 0.05)
    monkeypatch.setattr(closing, "STALL_TIMEOUT_S", 0.2)
    server, _ = open_slow(servers, body, GET % 1, is_closing=True)
    run_reactor_until(lambda: not server.calls.connections, 1.0)
    (report,) = server.reports
    assert "does not read" in report.reason
    assert report.unsent_bytes + report.unacknowledged_bytes > len(body) / 2


def test_caller_that_keeps_a_closed_connection_is_left(servers, monkeypatch):
    """Guards against closed connections that stay as long as their callers like."""
    monkeypatch.setattr(closing, "LINGER_TIME_S", 0.05)
    server, caller = open_slow(servers, b"done", GET % 1, is_closing=True)
    run_reactor_until(lambda: not server.calls.connections, 1.0)
    assert not server.reports
    caller.read_until(lambda data: False)
    assert len(split_responses(caller.data)) == 1


@pytest.mark.parametrize(
    ("rest", "limit"), [(b"", IDLE_TIMEOUT_S), (b"GET /2", HEAD_TIMEOUT_S)]
)
def test_slow_caller_gets_an_answer_that_takes_longer_than_idle_time(
    servers, rest, limit
):
    """Guards against an idle time that counts from when the answer was written."""
    server, caller = open_slow(servers, LARGE, GET % 1)
    caller.send(rest)
    wait(0.02)
    now = reactor.seconds()
    while server.connection.unsent_bytes:
        now += limit + 1
        server.calls.sweep(now)
        for _ in range(10):
            caller.read_some(1 << 16)
            wait(0.001)
    caller.read_until(lambda data: split_responses(data))
    assert [len(body) for _, body in split_responses(caller.data)] == [len(LARGE)]
    # The idle time starts when the caller has the answer.
    server.calls.sweep(now + 1)
    server.calls.sweep(now + limit)
    wait(0.01)
    assert server.calls.connections
    server.calls.sweep(now + 2 * limit + 2)
    run_reactor_until(lambda: not server.calls.connections)


def test_caller_that_never_reads_an_answer_is_cut(servers):
    """Guards against memory that is held for a caller that never reads."""
    server, _ = open_slow(servers, LARGE, GET % 1)
    now = reactor.seconds()
    for seconds in range(int(closing.STALL_TIMEOUT_S) + 3):
        server.calls.sweep(now + seconds)
    run_reactor_until(lambda: not server.calls.connections)
    assert [report.reason for report in server.reports] == ["the caller does not read"]


def test_stop_waits_for_callers_that_read_and_for_no_others(servers):
    """Guards against a stop that is delayed by callers that have their answers."""
    server, caller = open_slow(servers, LARGE, GET % 1)
    connection = server.connection
    assert connection.is_awaited
    server.calls.close_idle()
    assert connection.is_awaited
    read_slowly(caller, 0, 0)
    run_reactor_until(lambda: not connection.is_awaited, 0.5)
    assert server.calls.connections
