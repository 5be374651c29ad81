"""Pooled HTTP client: response framing and reuse of connections."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.error import ConnectionDone, ConnectionLost
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from bamboocove.transport.clients import MAX_IDLE_S, ClientConnection, ConnectionPool
from bamboocove.transport.framing import MAX_HEAD_BYTES

ADDRESS = ("127.0.0.1", 80)


class Transport(StringTransport):
    """Transport that accepts the socket option that a connection sets."""

    def setTcpNoDelay(self, enabled):
        pass


class Receiver:
    """Records one response."""

    def __init__(self):
        self.status = None
        self.length = "none"
        self.body = b""
        self.ends = 0
        self.lost = []

    def on_response(self, status, headers, length):
        assert self.status is None
        self.status = status
        self.length = length

    def on_response_data(self, data):
        self.body += data

    def on_response_end(self, data):
        self.body += data
        self.ends += 1

    def on_response_lost(self, reason):
        self.lost.append(reason)


class Client:
    """A client connection with a request in progress."""

    def __init__(self, is_head=False, is_request_sent=True):
        self.freed = []
        self.connection = ClientConnection()
        self.connection.makeConnection(Transport())
        self.transport = self.connection.transport
        self.receiver = self.send(is_head, is_request_sent)

    def send(self, is_head=False, is_request_sent=True):
        receiver = Receiver()
        self.connection.send(
            b"GET / HTTP/1.1\r\n\r\n",
            is_head,
            is_request_sent,
            receiver,
            self.freed.append,
        )
        return receiver

    @property
    def is_reusable(self):
        return bool(self.freed) and not self.transport.disconnected


SIMPLE = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"


@pytest.mark.parametrize(
    "response",
    [
        SIMPLE,
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"2\r\nhe\r\n3\r\nllo\r\n0\r\nT: x\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"
        + SIMPLE,
    ],
)
@given(sizes=st.lists(st.integers(1, 30), min_size=1, max_size=30))
@settings(derandomize=True, max_examples=30, deadline=None)
def test_response_does_not_depend_on_the_size_of_reads(response, sizes):
    """Guards against parser state that depends on where the input is split."""
    client = Client()
    data = response
    while data:
        for size in sizes:
            if data:
                client.connection.dataReceived(data[:size])
            data = data[size:]
    assert (client.receiver.status, client.receiver.body) == (200, b"hello")
    assert (client.receiver.ends, client.receiver.lost) == (1, [])
    assert client.is_reusable
    second = client.send()
    client.connection.dataReceived(SIMPLE.replace(b"hello", b"world"))
    assert second.body == b"world"


def test_cancelled_connection_is_closed():
    """Guards against a late response that is delivered to the next caller."""
    client = Client()
    client.connection.abort()
    assert client.transport.disconnected
    client.connection.dataReceived(SIMPLE)
    assert client.receiver.status is None
    assert not client.freed


@pytest.mark.parametrize(
    "response",
    [
        SIMPLE + b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nlate",
        SIMPLE + b"x",
        SIMPLE.replace(b"OK\r\n", b"OK\r\nConnection: close\r\n"),
        SIMPLE.replace(b"1.1", b"1.0"),
    ],
)
def test_connection_is_not_reused_after_surplus_bytes_or_a_close(response):
    """Guards against bytes of one response that are read as another response."""
    client = Client()
    client.connection.dataReceived(response)
    assert client.receiver.body == b"hello"
    assert client.receiver.ends == 1
    assert not client.freed
    assert client.transport.disconnected


def test_bytes_on_an_idle_connection_close_it():
    """Guards against an unsolicited response that is taken for the next one."""
    client = Client()
    client.connection.dataReceived(SIMPLE)
    assert client.is_reusable
    client.connection.dataReceived(SIMPLE)
    assert client.transport.disconnected


def test_connection_is_not_reused_while_the_request_is_incomplete():
    """Guards against the rest of a body that is read as the next request."""
    client = Client(is_request_sent=False)
    client.connection.dataReceived(SIMPLE)
    assert client.receiver.ends == 1
    assert not client.freed
    assert client.transport.disconnected


@pytest.mark.parametrize(
    "response",
    [
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nTransfer-Encoding: chunked\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nContent-Length: 8\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        b"HTTP/1.1 101 Switching\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nX: " + b"x" * (MAX_HEAD_BYTES + 1),
        b"SSH-2.0-OpenSSH\r\n",
    ],
)
def test_malformed_responses_are_reported_as_lost(response):
    """Guards against a response whose end cannot be determined."""
    client = Client()
    client.connection.dataReceived(response)
    assert len(client.receiver.lost) == 1
    assert client.receiver.ends == 0
    assert client.transport.disconnected


@pytest.mark.parametrize(
    ("head", "error", "is_complete"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n", ConnectionDone(), False),
        (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n", None, False),
        (b"HTTP/1.1 200 OK\r\n\r\n", ConnectionDone(), True),
        (b"HTTP/1.1 200 OK\r\n\r\n", ConnectionLost(), False),
        (b"", ConnectionDone(), False),
    ],
)
def test_truncated_responses_are_reported_as_lost(head, error, is_complete):
    """Guards against a truncated response that is forwarded as complete."""
    client = Client()
    client.connection.dataReceived(head + b"hel" if head else b"")
    client.connection.connectionLost(Failure(error or ConnectionDone()))
    assert bool(client.receiver.ends) == is_complete
    assert bool(client.receiver.lost) != is_complete
    assert not client.freed


def test_head_response_has_no_body():
    """Guards against a wait for a body that a HEAD response does not have."""
    client = Client(is_head=True)
    client.connection.dataReceived(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n")
    assert (client.receiver.length, client.receiver.ends) == (9, 1)


@pytest.mark.parametrize("status", [b"204 No Content", b"304 Not Modified"])
def test_status_without_body_completes_the_response(status):
    """Guards against a wait for a body that the status rules out."""
    client = Client()
    client.connection.dataReceived(b"HTTP/1.1 " + status + b"\r\n\r\n")
    assert (client.receiver.length, client.receiver.ends) == (None, 1)
    assert client.is_reusable


def test_response_head_is_delivered_before_the_body():
    """Guards against an event stream whose head is delayed until its first event."""
    client = Client()
    client.connection.dataReceived(SIMPLE[:-5])
    assert client.receiver.status == 200


def test_pool_closes_connections_after_the_idle_timeout():
    """Guards against a request on a connection that the worker just closed."""
    clock = MemoryReactorClock()
    pool = ConnectionPool(clock, 1.0)
    client = Client()
    pool.put(ADDRESS, client.connection)
    clock.advance(MAX_IDLE_S + 0.1)
    assert pool.take(ADDRESS) is None
    assert client.transport.disconnected
    client = Client()
    pool.put(ADDRESS, client.connection)
    pool.sweep(clock.seconds() + MAX_IDLE_S + 0.1)
    assert client.transport.disconnected


def test_pool_removes_closed_connections():
    """Guards against a request on a closed connection."""
    clock = MemoryReactorClock()
    pool = ConnectionPool(clock, 1.0)
    connected = []
    pool.connect(ADDRESS, connected.append, connected.append)
    factory = clock.tcpClients[0][2]
    connection = factory.buildProtocol(None)
    connection.makeConnection(Transport())
    assert connected == [connection]
    pool.put(ADDRESS, connection)
    connection.connectionLost(Failure(ConnectionDone()))
    assert pool.take(ADDRESS) is None
