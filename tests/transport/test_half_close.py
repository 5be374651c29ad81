"""Callers that close their sending half, or all, before they have their answers."""

import socket

import pytest
from twisted.internet import reactor

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.errors import ErrorKind
from bamboocove.sidecar.body_writer import send_body
from bamboocove.transport import closing
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


@pytest.fixture
def server():
    server = Server(send_buffer_bytes=SEND_BUFFER_BYTES)
    yield server
    server.close()


def open_half_closed(server, count, is_closing=False):
    """Return a caller that has pipelined requests, of which the first is answered."""
    caller = server.open(b"".join(GET % n for n in range(count)), RECEIVE_BUFFER_BYTES)
    server.wait_for_requests(1)
    if is_closing:
        server.exchanges[0].close_connection()
    server.exchanges[0].respond(200, [], LARGE)
    server.wait_for_requests(count)
    caller.socket.shutdown(socket.SHUT_WR)
    return caller


def read_bodies(caller):
    caller.read_until(lambda data: False)
    return [body for _, body in split_responses(caller.data)]


def test_half_close_cancels_a_running_request(server):
    """Guards against work for a caller that has left: its close looks the same."""
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    caller.socket.shutdown(socket.SHUT_WR)
    run_reactor_until(lambda: server.errors)
    assert [error.kind for error in server.errors] == [ErrorKind.CANCELLED]
    server.exchanges[0].respond(200, [])
    assert read_bodies(caller) == [] and caller.is_closed
    assert not server.calls.connections


@pytest.mark.parametrize("is_closing", [False, True])
def test_half_close_lets_an_answer_arrive(server, is_closing):
    """Guards against an answer that is cut because the caller has no more requests."""
    caller = open_half_closed(server, 1, is_closing)
    wait(0.05)
    assert read_bodies(caller) == [LARGE]
    run_reactor_until(lambda: not server.calls.connections)
    assert not server.errors and not server.reports


def test_half_close_lets_an_answer_arrive_that_is_written_in_parts(server):
    """Guards against an answer that is cut though its worker has finished."""
    caller = server.open(GET % 1, RECEIVE_BUFFER_BYTES)
    server.wait_for_requests(1)
    budget = ByteBudget(2 * len(LARGE))
    exchange = server.exchanges[0]
    exchange.start(200, [], len(LARGE))
    send_body(exchange, LARGE, budget, reactor)
    caller.socket.shutdown(socket.SHUT_WR)
    wait(0.05)
    assert read_bodies(caller) == [LARGE]
    run_reactor_until(lambda: not server.calls.connections, 0.5)
    assert not budget.held and not server.errors and not server.reports


def test_half_close_cancels_the_request_behind_an_answer(server):
    """Guards against a cancellation that waits until an earlier answer was read."""
    caller = open_half_closed(server, 2)
    run_reactor_until(lambda: server.errors, 0.5)
    assert [error.kind for error in server.errors] == [ErrorKind.CANCELLED]
    assert server.calls.connections
    assert read_bodies(caller) == [LARGE]


def test_caller_that_closes_is_not_sent_the_rest(server):
    """Guards against a connection that stays open for a caller that has left."""
    caller = open_half_closed(server, 1)
    caller.close()
    run_reactor_until(lambda: not server.calls.connections, 0.5)


def test_half_closed_caller_that_never_reads_is_cut(server, monkeypatch):
    """Guards against memory that is held for a caller that never reads."""
    monkeypatch.setattr(closing, "LINGER_TIME_S", 0.05)
    monkeypatch.setattr(closing, "STALL_TIMEOUT_S", 0.2)
    open_half_closed(server, 1)
    wait(0.1)
    assert server.calls.connections
    run_reactor_until(lambda: not server.calls.connections, 1.0)
    assert [report.reason for report in server.reports] == [
        "caller, the caller does not read"
    ]


def test_half_close_resets_a_response_that_is_not_complete(server):
    """Guards against a part of a response that looks complete to HTTP/1.0."""
    caller = server.open(b"GET /1 HTTP/1.0\r\n\r\n")
    server.wait_for_requests(1)
    server.exchanges[0].start(200, [], -1)
    server.exchanges[0].write(b"part")
    caller.read_until(lambda data: b"part" in data)
    caller.socket.shutdown(socket.SHUT_WR)
    run_reactor_until(lambda: not server.calls.connections)
    with pytest.raises(ConnectionResetError):
        caller.socket.recv(1)
    assert [error.kind for error in server.errors] == [ErrorKind.CANCELLED]
