"""A server and slow callers on loopback, for tests of how connections are closed."""

import socket

from twisted.internet import reactor

from bamboocove.transport.calls import CallServer
from tests.callpath import Caller, run_reactor_until

GET = b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n"
# The sockets of caller and server hold less than this between them if they have
# small buffers.
LARGE = b"x" * 1_000_000
SEND_BUFFER_BYTES = 16384
RECEIVE_BUFFER_BYTES = 8192


class Server:
    """A call server whose requests are appended to ``exchanges`` and kept open.

    Parameters
    ----------
    on_request : callable, optional
        Called with each Exchange.
    send_buffer_bytes : int
        Size of the kernel's buffers; 0 for the usual size.
    """

    def __init__(self, on_request=None, send_buffer_bytes=0):
        self.exchanges = []
        self.errors = []
        self.reports = []
        self.on_request = on_request
        self.send_buffer_bytes = send_buffer_bytes
        self.failures = []
        self.calls = CallServer(
            self.take,
            1 << 20,
            reactor,
            self.reports.append,
            lambda *failure: self.failures.append(failure),
        )
        self.listener = reactor.listenTCP(0, self.calls, interface="127.0.0.1")
        self.callers = []

    def take(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_closed = self.errors.append
        if self.send_buffer_bytes:
            exchange.connection.transport.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, self.send_buffer_bytes
            )
        if self.on_request is not None:
            self.on_request(exchange)

    def open(self, data, receive_buffer_bytes=0):
        caller = SlowCaller(self.listener.getHost().port, receive_buffer_bytes)
        self.callers.append(caller)
        caller.send(data)
        return caller

    def wait_for_requests(self, count):
        run_reactor_until(lambda: len(self.exchanges) >= count)

    @property
    def connection(self):
        (connection,) = self.calls.connections
        return connection

    def close(self):
        self.listener.stopListening()
        for caller in self.callers:
            caller.close()
        for connection in list(self.calls.connections):
            connection.abort()
        run_reactor_until(lambda: not self.calls.connections)


class SlowCaller(Caller):
    """A caller whose socket receives little before it reads."""

    def __init__(self, port, receive_buffer_bytes=0):
        self.socket = socket.socket()
        if receive_buffer_bytes:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
            )
        self.socket.connect(("127.0.0.1", port))
        self.socket.setblocking(False)
        self.data = b""
        self.is_closed = False

    def read_some(self, size):
        """Read at most some bytes."""
        try:
            self.data += self.socket.recv(size)
        except BlockingIOError:
            pass


def wait(seconds):
    """Run the reactor for some time."""
    end = reactor.seconds() + seconds
    run_reactor_until(lambda: reactor.seconds() >= end, seconds + 5)


def split_responses(data):
    """Return the head in lower case and the body of each complete response."""
    responses = []
    while data:
        head, separator, rest = data.partition(b"\r\n\r\n")
        if not separator:
            return responses
        length = int(head.lower().partition(b"content-length: ")[2].split()[0])
        if len(rest) < length:
            return responses
        responses.append((head.lower(), rest[:length]))
        data = rest[length:]
    return responses
