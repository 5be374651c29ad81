"""HTTP server with malformed, pipelined, chunked, half-closed and oversized input."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock, StringTransport

from bamboocove.errors import ErrorKind
from bamboocove.transport.closing import LINGER_TIME_S, MAX_LINGER_TIME_S
from bamboocove.transport.framing import MAX_HEAD_BYTES
from bamboocove.transport.pipelining import MAX_HELD_BYTES, MAX_HELD_REQUESTS
from bamboocove.transport.server_connection import (
    HEAD_TIMEOUT_S,
    IDLE_TIMEOUT_S,
    ServerConnection,
)

MAX_BODY = 1000


class Transport(StringTransport):
    """Transport that records how it is closed."""

    is_write_closed = False

    def loseWriteConnection(self):
        self.is_write_closed = True

    def setTcpNoDelay(self, enabled):
        pass


class Server:
    """A server connection that records its requests and optionally responds."""

    def __init__(self, responds=True, max_body=MAX_BODY):
        self.clock = MemoryReactorClock()
        self.transport = Transport()
        self.exchanges = []
        self.bodies = []
        self.errors = []
        self.responds = responds
        self.connection = ServerConnection(self.on_request, max_body, self.clock)
        self.connection.makeConnection(self.transport)

    def on_request(self, exchange):
        self.exchanges.append(exchange)
        body = []
        self.bodies.append(body)
        exchange.on_closed = self.errors.append
        if self.responds:
            exchange.receive(body.append, lambda: self.respond(exchange, body))

    def respond(self, exchange, body=()):
        exchange.respond(200, [(b"x", exchange.target)], b"".join(body))

    def feed(self, data, size=0):
        for start in range(0, len(data), size or len(data)):
            if self.transport.disconnected or self.transport.disconnecting:
                return
            self.connection.dataReceived(data[start : start + (size or len(data))])

    @property
    def output(self):
        return self.transport.value()

    @property
    def is_closed(self):
        transport = self.transport
        return transport.disconnecting or transport.is_write_closed


GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
PUT = b"PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    b"3;ext=1\r\nhel\r\n2\r\nlo\r\n0\r\nTrailer: x\r\n\r\n"
)


@given(st.lists(st.integers(1, 40), min_size=1, max_size=60))
@settings(derandomize=True, max_examples=60, deadline=None)
def test_requests_do_not_depend_on_the_size_of_reads(sizes):
    """Guards against parser state that depends on where the input is split."""
    server = Server()
    data = GET + PUT + CHUNKED + GET
    while data:
        for size in sizes:
            server.connection.dataReceived(data[:size])
            data = data[size:]
            if not data:
                break
    assert [e.target for e in server.exchanges] == [b"/a", b"/b", b"/c", b"/a"]
    assert [b"".join(body) for body in server.bodies] == [b"", b"hello", b"hello", b""]
    assert server.output.count(b"HTTP/1.1 200 OK") == 4
    assert not server.is_closed


@given(st.binary(max_size=200), st.integers(1, 50))
@settings(derandomize=True, max_examples=100, deadline=None)
def test_arbitrary_input_is_answered_or_awaited(data, size):
    """Guards against an exception that leaves a connection open without a response."""
    server = Server()
    server.feed(b"GET / HTTP/1.1\r\n" + data, size)
    if server.output:
        assert server.output.startswith(b"HTTP/1.1 ")


def test_pipelined_requests_are_answered_in_order():
    """Guards against a response that is sent for the wrong request."""
    server = Server(responds=False)
    server.feed(GET + PUT)
    assert len(server.exchanges) == 1
    server.respond(server.exchanges[0])
    assert len(server.exchanges) == 2
    server.respond(server.exchanges[1])
    assert server.output.index(b"x: /a") < server.output.index(b"x: /b")
    assert server.transport.producerState == "producing"


def test_number_of_pipelined_requests_is_bounded():
    """Guards against unbounded memory for requests behind one that takes long."""
    server = Server(responds=False)
    server.feed(GET * MAX_HELD_REQUESTS)
    assert server.transport.producerState == "producing"
    server.feed(GET)
    assert server.transport.producerState == "paused"
    for number in range(MAX_HELD_REQUESTS + 1):
        assert len(server.exchanges) == number + 1
        server.respond(server.exchanges[-1])
    assert server.transport.producerState == "producing"


@pytest.mark.parametrize("part", ["head", "body"])
def test_bytes_of_pipelined_requests_are_bounded(part):
    """Guards against few requests that hold much memory behind one in progress."""
    server = Server(responds=False, max_body=1 << 30)
    server.feed(GET)
    if part == "head":
        size = MAX_HEAD_BYTES // 2
        request = b"GET /b HTTP/1.1\r\nHost: h\r\nX: %b\r\n\r\n" % (b"x" * size)
    else:
        size = MAX_HELD_BYTES // 4
        head = b"PUT /b HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size
        request = head + b"x" * size
    count = 0
    while server.transport.producerState == "producing":
        server.feed(request)
        count += 1
    assert (count - 1) * size <= MAX_HELD_BYTES < count * len(request)
    assert count < MAX_HELD_REQUESTS
    assert len(server.exchanges) == 1
    for number in range(count + 1):
        server.respond(server.exchanges[number])
    assert server.transport.producerState == "producing"


@pytest.mark.parametrize(
    "fields",
    [
        b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding: chunked\r\nContent-Length: 5\r\n",
        b"Content-Length: 5\r\nContent-Length: 6\r\n",
        b"Content-Length: 5, 5\r\n",
        b"Content-Length: -1\r\n",
        b"Content-Length: +5\r\n",
        b"Transfer-Encoding: gzip, chunked\r\n",
        b"Transfer-Encoding: identity\r\n",
        b"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        b"Transfer-Encoding : chunked\r\n",
        b"X: a\r\n folded\r\n",
        b"X: a\0b\r\n",
        b"Host: other\r\n",
        b"Connection: upgrade\r\nUpgrade: websocket\r\n",
        b"Expect: something\r\n",
    ],
)
def test_ambiguous_heads_are_refused(fields):
    """Guards against request smuggling: nothing after the head is a request."""
    server = Server()
    server.feed(b"PUT /a HTTP/1.1\r\nHost: h\r\n" + fields + b"\r\n" + GET)
    assert server.output.startswith(b"HTTP/1.1 400 ")
    assert b"bamboocove-run: not-run" in server.output
    assert server.output.count(b"HTTP/1.1") == 1
    assert not server.exchanges
    assert server.is_closed


@pytest.mark.parametrize(
    "data",
    [
        b"\x16\x03\x01\x02\x00\x01\x00",
        b"GET /a\r\n\r\n",
        b"GET /a HTTP/1.1\r\n\r\n",
        b"PUT /a HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n",
        b"GET a HTTP/1.1\r\nHost: h\r\n\r\n",
    ],
)
def test_malformed_requests_are_refused(data):
    """Guards against malformed requests that are interpreted and forwarded."""
    server = Server()
    server.feed(data)
    assert server.output.startswith(b"HTTP/1.1 400 ")
    assert not server.exchanges
    assert server.is_closed


def test_requests_before_a_malformed_one_are_answered():
    """Guards against the loss of the response to an earlier valid request."""
    server = Server(responds=False)
    server.feed(GET + b"\0\0\0")
    assert not server.output
    server.respond(server.exchanges[0])
    assert server.output.index(b"HTTP/1.1 200") < server.output.index(b"HTTP/1.1 400")


def test_malformed_chunk_fails_the_request():
    """Guards against a truncated body that is delivered as complete."""
    server = Server()
    head = b"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    server.feed(head + b"3\r\nabc\r\n")
    server.feed(b"zz\r\n")
    assert [error.kind for error in server.errors] == [ErrorKind.BAD_REQUEST]
    assert server.output.startswith(b"HTTP/1.1 400 ")


@pytest.mark.parametrize("size", [1000, 1 << 20])
@pytest.mark.parametrize(
    "head",
    [
        b"GET /a HTTP/1.1\r\nHost: h\r\nX: " + b"x" * (2 * MAX_HEAD_BYTES),
        b"GET /" + b"x" * (2 * MAX_HEAD_BYTES),
        b"GET /a HTTP/1.1\r\nHost: h\r\n" + b"X: y\r\n" * 1000 + b"\r\n",
        b"GET /a HTTP/1.1\r\nHost: h\r\nX: "
        + b"x" * (MAX_HEAD_BYTES + 1)
        + b"\r\n\r\n",
    ],
)
def test_oversized_heads_are_refused(head, size):
    """Guards against unbounded memory for a request head."""
    server = Server()
    server.feed(head, size)
    assert server.output.startswith(b"HTTP/1.1 413 ")
    assert not server.exchanges
    assert server.is_closed


def test_oversized_trailers_are_refused():
    """Guards against unbounded memory for a trailer."""
    server = Server()
    server.feed(CHUNKED[: CHUNKED.index(b"Trailer")])
    server.feed(b"T: " + b"x" * (2 * MAX_HEAD_BYTES), 1000)
    assert server.output.startswith(b"HTTP/1.1 413 ")


def test_oversized_bodies_are_refused():
    """Guards against bodies above the limit, with or without a declared length."""
    server = Server()
    server.feed(b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 1001\r\n\r\n")
    assert server.output.startswith(b"HTTP/1.1 413 ")
    server = Server()
    head = b"PUT /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
    server.feed(head + b"1f4\r\n" + b"x" * 500 + b"\r\n")
    assert not server.output
    server.feed(b"1f5\r\n" + b"x" * 501 + b"\r\n")
    assert server.output.startswith(b"HTTP/1.1 413 ")
    assert [error.kind for error in server.errors] == [ErrorKind.TOO_LARGE]


def test_buffered_part_of_a_body_is_bounded():
    """Guards against a whole body in memory while its receiver is not ready."""
    server = Server(responds=False, max_body=1 << 30)
    server.feed(b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999\r\n\r\n")
    server.feed(b"x" * MAX_HELD_BYTES)
    assert server.transport.producerState == "producing"
    server.feed(b"x")
    assert server.transport.producerState == "paused"
    body = []
    server.exchanges[0].receive(body.append, lambda: None)
    assert len(b"".join(body)) == MAX_HELD_BYTES + 1
    assert server.transport.producerState == "producing"


def test_continue_is_sent_only_when_the_body_is_received():
    """Guards against a caller that sends the body of a refused request."""
    head = b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\nExpect: 100-continue"
    server = Server(responds=False)
    server.feed(head + b"\r\n\r\n")
    assert not server.output
    exchange = server.exchanges[0]
    exchange.receive(lambda data: None, lambda: server.respond(exchange))
    assert server.output == b"HTTP/1.1 100 Continue\r\n\r\n"
    server.feed(b"hello")
    assert b"HTTP/1.1 200 OK" in server.output
    assert not server.is_closed
    server = Server(responds=False)
    server.feed(head + b"\r\n\r\n")
    server.respond(server.exchanges[0])
    assert b"100 Continue" not in server.output
    assert b"connection: close" in server.output


def test_early_response_is_followed_by_a_lingering_close():
    """Guards against a reset that destroys a response sent before the body's end."""
    server = Server(responds=False)
    server.feed(PUT[:-2])
    server.respond(server.exchanges[0])
    assert b"connection: close" in server.output
    assert server.transport.is_write_closed
    server.feed(b"lo" + GET)
    assert len(server.exchanges) == 1
    server.clock.advance(LINGER_TIME_S / 2)
    assert not server.transport.disconnected and not server.transport.disconnecting
    server.clock.advance(LINGER_TIME_S / 2)
    # Not aborted: the caller may not have read what its host has received.
    assert server.transport.disconnecting


def test_early_response_drops_the_buffered_part_of_the_body():
    """Guards against connections that hold parts of bodies until they are closed."""
    server = Server(responds=False)
    server.feed(PUT[:-2])
    assert server.exchanges[0].held
    server.respond(server.exchanges[0])
    assert not server.exchanges[0].held


@pytest.mark.parametrize(
    "framing", [b"Content-Length: 9", b"Transfer-Encoding: chunked"]
)
def test_lingering_close_lasts_while_the_request_still_arrives(framing):
    """Guards against a reset that destroys the response of a caller that sends on.

    Callers often read only when they have sent all of a request.
    """
    server = Server(responds=False)
    server.feed(b"PUT /a HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n" % framing)
    server.respond(server.exchanges[0])
    for _ in range(5):
        server.feed(b"x")
        server.clock.advance(LINGER_TIME_S)
        assert not server.transport.disconnecting
    server.clock.advance(LINGER_TIME_S)
    assert server.transport.disconnecting


def test_lingering_close_of_a_request_without_an_end_is_bounded():
    server = Server(responds=False)
    chunked = b"Transfer-Encoding: chunked"
    server.feed(b"PUT /a HTTP/1.1\r\nHost: h\r\n%b\r\n\r\n" % chunked)
    server.respond(server.exchanges[0])
    for _ in range(int(MAX_LINGER_TIME_S / LINGER_TIME_S)):
        server.feed(b"x")
        server.clock.advance(LINGER_TIME_S)
    assert server.transport.disconnecting


def test_lost_connection_cancels_the_request():
    """Guards against work for a caller that has disconnected."""
    server = Server(responds=False)
    server.feed(GET + GET)
    server.connection.connectionLost()
    assert [error.kind for error in server.errors] == [ErrorKind.CANCELLED]
    server.respond(server.exchanges[0])
    assert not server.output
    assert len(server.exchanges) == 1


def test_no_request_is_run_after_connection_close():
    """Guards against requests that follow one with ``Connection: close``."""
    server = Server()
    server.feed(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n" + GET)
    assert len(server.exchanges) == 1
    assert server.output.count(b"HTTP/1.1") == 1
    assert server.is_closed


@pytest.mark.parametrize(
    ("start", "limit"), [(b"", IDLE_TIMEOUT_S), (b"GET /", HEAD_TIMEOUT_S)]
)
def test_idle_and_slow_connections_are_closed(start, limit):
    """Guards against connections that stay open without a complete request."""
    server = Server()
    if start:
        server.feed(start)
    server.connection.sweep(limit)
    assert not server.transport.disconnected
    server.connection.sweep(limit + 1)
    assert server.transport.disconnected


@pytest.mark.parametrize("data", [b"nonsense\r\n", PUT[:20] + b"\0\r\n\r\n"])
def test_refused_request_is_not_reported_as_incomplete(data):
    """Guards against log lines about callers that got their answer."""
    server = Server()
    reports = []
    server.connection.on_incomplete = reports.append
    server.feed(data)
    assert server.output.startswith(b"HTTP/1.1 400 ")
    server.connection.connectionLost()
    assert not reports


def test_partial_head_behind_a_request_is_awaited_as_a_head():
    """Guards against a head that may take the idle time, and that no log shows."""
    server = Server()
    reports = []
    server.connection.on_incomplete = reports.append
    server.feed(GET + GET[:8])
    server.connection.sweep(0.0)
    server.connection.sweep(HEAD_TIMEOUT_S)
    assert not server.transport.disconnected
    server.connection.sweep(HEAD_TIMEOUT_S + 1)
    assert server.transport.disconnected
    server.connection.connectionLost()
    assert [report.is_head_incomplete for report in reports] == [True]


def test_streamed_responses_are_framed():
    """Guards against a response whose end the caller cannot determine."""
    server = Server(responds=False)
    server.feed(GET + b"HEAD /a HTTP/1.1\r\nHost: h\r\n\r\n")
    first = server.exchanges[0]
    first.start(200, [], -1)
    first.write(b"")
    assert server.output.endswith(b"transfer-encoding: chunked\r\n\r\n")
    first.write(b"abc")
    first.finish()
    assert server.output.endswith(b"3\r\nabc\r\n0\r\n\r\n")
    server.transport.clear()
    server.exchanges[1].start(200, [], 7)
    server.exchanges[1].finish()
    assert server.output.endswith(b"content-length: 7\r\n\r\n")
    assert not server.is_closed
    server = Server(responds=False)
    server.feed(b"GET /a HTTP/1.0\r\n\r\n")
    server.exchanges[0].start(200, [], -1)
    server.exchanges[0].finish(b"abc")
    assert b"chunked" not in server.output
    assert server.output.endswith(b"connection: close\r\n\r\nabc")
    assert server.transport.is_write_closed


def test_error_response_replaces_an_unsent_head():
    """Guards against chunked framing of an error that replaces a chunked response."""
    server = Server(responds=False)
    server.feed(GET)
    server.exchanges[0].start(200, [], -1)
    server.exchanges[0].respond(502, [], b"lost")
    assert server.output.endswith(b"content-length: 4\r\n\r\nlost")


def test_connection_that_ends_before_its_answers_are_sent_is_reported():
    """Guards against lost requests whose cause no log shows."""
    reports = []
    connection = ServerConnection(lambda exchange: None, 100, MemoryReactorClock())
    connection.on_incomplete = reports.append
    transport = Transport()
    transport.dataBuffer, transport.offset, transport._tempDataLen = b"rest", 1, 2
    connection.makeConnection(transport)
    head = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
    connection.dataReceived(head % 1 + head % 2)
    connection.abort("idle timeout")
    connection.connectionLost()
    (report,) = reports
    assert (report.reason, report.unsent_bytes) == ("idle timeout", 5)
    assert [exchange.target for exchange in report.unanswered] == [b"/1", b"/2"]
