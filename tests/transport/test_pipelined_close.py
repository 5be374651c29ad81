"""Requests that were read behind one whose connection the server wants to close."""

import socket
import struct

import pytest
from twisted.internet import reactor

from bamboocove.errors import ErrorKind
from bamboocove.transport.pipelining import MAX_HELD_REQUESTS
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

PART = b"PUT /9 HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe"


@pytest.fixture
def server():
    server = Server()
    yield server
    server.close()


def respond(exchange):
    exchange.respond(200, [], exchange.target)


def stop(server, when):
    if when == "server stops":
        server.calls.close_idle()
    else:
        server.exchanges[-1].close_connection()


def read_all(caller):
    caller.read_until(lambda data: False)
    return split_responses(caller.data)


@pytest.mark.parametrize("when", ["server stops", "handler"])
def test_requests_that_were_read_are_answered_before_a_close(server, when):
    """Guards against pipelined requests that are dropped without an answer."""
    caller = server.open(GET % 1 + GET % 2 + GET % 3)
    server.wait_for_requests(1)
    stop(server, when)
    for count in (1, 2, 3):
        server.wait_for_requests(count)
        respond(server.exchanges[-1])
    responses = read_all(caller)
    assert [body for _, body in responses] == [b"/1", b"/2", b"/3"]
    closes = [b"connection: close" in head for head, _ in responses]
    assert closes == [False, False, True]


@pytest.mark.parametrize("when", ["server stops", "handler"])
def test_request_that_was_read_in_part_is_left_out_of_a_close(server, when):
    """Guards against a stop that waits for a caller to send the rest of a request."""
    caller = server.open(GET % 1 + PART)
    server.wait_for_requests(1)
    stop(server, when)
    respond(server.exchanges[0])
    ((head, _),) = read_all(caller)
    assert b"connection: close" in head
    assert len(server.exchanges) == 1


@pytest.mark.parametrize("when", ["server stops", "handler"])
def test_request_that_was_sent_in_parts_is_answered_before_a_close(server, when):
    """Guards against a pause of reading in the middle of a pipelined request."""
    caller = server.open(GET % 1 + PART)
    server.wait_for_requests(1)
    caller.send(b"llo")
    wait(0.1)
    stop(server, when)
    respond(server.exchanges[0])
    server.wait_for_requests(2)
    respond(server.exchanges[1])
    responses = read_all(caller)
    assert [body for _, body in responses] == [b"/1", b"/9"]


def test_reading_pauses_behind_a_request_in_progress(server):
    """Guards against a caller that makes the server hold requests without end."""
    block = GET % 2 * 100 + PART[:-1]
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    for _ in range(100):
        try:
            caller.send(block)
        except BlockingIOError:
            break
        caller.read_some(1)
        reactor.iterate(0)
    assert server.connection._is_paused
    assert len(server.connection._queue) < 500


def test_idle_connection_is_closed_when_the_server_stops(server):
    """Guards against a stop that waits for callers without a request."""
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    respond(server.exchanges[0])
    caller.read_until(lambda data: split_responses(data))
    server.calls.close_idle()
    assert len(read_all(caller)) == 1 and caller.is_closed


def test_stop_during_a_streamed_response_closes_after_it(server):
    """Guards against a connection that is kept because its head was sent before."""
    caller = server.open(GET % 1 + GET % 2)
    server.wait_for_requests(1)
    first = server.exchanges[0]
    first.start(200, [], 4)
    first.write(b"ab")
    server.calls.close_idle()
    first.finish(b"cd")
    server.wait_for_requests(2)
    respond(server.exchanges[1])
    (first_head, body), (second_head, _) = read_all(caller)
    assert body == b"abcd"
    assert b"connection: close" not in first_head
    assert b"connection: close" in second_head


def test_last_streamed_response_of_a_stop_is_followed_by_a_close(server):
    """Guards against a connection that is kept because its head was sent before."""
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    first = server.exchanges[0]
    first.start(200, [], 4)
    first.write(b"ab")
    server.calls.close_idle()
    first.finish(b"cd")
    ((_, body),) = read_all(caller)
    assert body == b"abcd" and caller.is_closed


def test_request_that_follows_the_start_of_the_last_response_is_not_read(server):
    """Guards against a request that is read, and dropped as the response ends."""
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    first = server.exchanges[0]
    first.close_connection()
    first.start(200, [], 4)
    first.write(b"ab")
    caller.send(GET % 2)
    wait(0.05)
    first.finish(b"cd")
    ((head, _),) = read_all(caller)
    assert b"connection: close" in head
    caller.close()
    run_reactor_until(lambda: not server.calls.connections)
    assert len(server.exchanges) == 1 and not server.reports


def test_close_that_the_caller_asks_for_is_final(server):
    """Guards against an answer on a connection that the caller wants closed."""
    last = b"GET /1 HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"
    caller = server.open(last + GET % 2)
    server.wait_for_requests(1)
    respond(server.exchanges[0])
    ((head, _),) = read_all(caller)
    assert b"connection: close" in head
    assert len(server.exchanges) == 1


@pytest.mark.parametrize("when", ["server stops", "handler"])
def test_request_that_was_received_and_not_read_is_answered_before_a_close(
    server, when
):
    """Guards against a close by a process that answers before it reads."""
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    stop(server, when)
    # The reactor does not run in between, as in a process that stood still.
    caller.send(GET % 2)
    respond(server.exchanges[0])
    server.wait_for_requests(2)
    respond(server.exchanges[1])
    responses = read_all(caller)
    assert [body for _, body in responses] == [b"/1", b"/2"]
    assert b"connection: close" in responses[1][0]


def test_idle_connection_with_a_request_to_read_is_not_closed(server):
    caller = server.open(GET % 1)
    server.wait_for_requests(1)
    respond(server.exchanges[0])
    caller.read_until(lambda data: b"/1" in data)
    caller.send(GET % 2)
    server.calls.close_idle()
    server.wait_for_requests(2)
    respond(server.exchanges[1])
    assert [body for _, body in read_all(caller)] == [b"/1", b"/2"]


@pytest.mark.parametrize("pipelined", [0, 1, 4])
def test_caller_that_leaves_with_requests_pipelined_is_noticed(server, pipelined):
    """Guards against a worker that is at work for a caller that has left."""
    caller = server.open(GET % 1 + (GET % 2) * pipelined)
    server.wait_for_requests(1)
    errors = []
    server.exchanges[0].on_closed = errors.append
    caller.close()
    run_reactor_until(lambda: errors, 1)
    run_reactor_until(lambda: not server.calls.connections)
    assert len(server.exchanges) == 1


@pytest.mark.parametrize("is_reset", [False, True])
def test_caller_that_leaves_while_reading_is_paused_is_noticed(server, is_reset):
    """Guards against a worker that is at work for a caller that has left.

    Its close is not read, as it is behind requests for which there is no room.
    """
    caller = server.open(GET % 1 + GET % 2 * MAX_HELD_REQUESTS)
    server.wait_for_requests(1)
    caller.send(GET % 3)
    wait(0.05)
    assert server.connection._is_paused
    server.calls.sweep(reactor.seconds())
    assert not server.errors
    if is_reset:
        reset = struct.pack("ii", 1, 0)
        caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset)
    caller.close()
    wait(0.05)
    server.calls.sweep(reactor.seconds())
    assert [error.kind for error in server.errors] == [ErrorKind.CANCELLED]
    run_reactor_until(lambda: not server.calls.connections)
    assert len(server.exchanges) == 1


def test_half_close_while_reading_is_paused_lets_an_earlier_answer_arrive():
    """Guards against a reset that destroys an answer which is on its way."""
    server = Server(send_buffer_bytes=SEND_BUFFER_BYTES)
    last = MAX_HELD_REQUESTS + 1
    pipelined = b"".join(GET % number for number in range(2, last + 1))
    caller = server.open(GET % 1 + pipelined, RECEIVE_BUFFER_BYTES)
    server.wait_for_requests(1)
    caller.send(GET % 9 * 10)
    # Resumes reading, which pauses again.
    server.exchanges[0].respond(200, [], LARGE)
    wait(0.05)
    assert server.connection._is_paused
    caller.socket.shutdown(socket.SHUT_WR)
    wait(0.05)
    server.calls.sweep(reactor.seconds())
    assert [error.kind for error in server.errors] == [ErrorKind.CANCELLED]
    wait(0.05)
    assert [body for _, body in read_all(caller)] == [LARGE]
    run_reactor_until(lambda: not server.calls.connections)
    assert len(server.exchanges) == 2
    server.close()
