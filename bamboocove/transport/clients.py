"""Pooled HTTP/1.1 client for calls; request and response bodies are streamed."""

from collections.abc import Callable
from enum import Enum, auto
from socket import SO_RCVBUF, SOL_SOCKET
from typing import Any
from typing import Protocol as Interface

from attrs import define, field
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol, connectionDone

from bamboocove.errors import ErrorResult
from bamboocove.transport.connecting import open_connection
from bamboocove.transport.framing import (
    MAX_HEAD_BYTES,
    Headers,
    parse_body_length,
)
from bamboocove.transport.sending import write_immediately

# Shorter than the 5 s after which common servers close an idle connection, so that
# a request is rarely written to a connection that the server has just closed.
MAX_IDLE_S = 4.0

Address = tuple[str, int]


class Attribution(Enum):
    """Whether a response belongs to the request that waits on its connection."""

    OWN = auto()
    # It belongs to an earlier request; the next response is awaited.
    OTHER = auto()
    # It may belong to an earlier request. Which request the worker has run and
    # answered is then unknown, so the response counts as lost.
    UNKNOWN = auto()


class ResponseReceiver(Interface):
    """Callbacks that a client connection makes for the response to a request."""

    def on_response(self, status: int, headers: Headers, length: int | None) -> None:
        """Handle the head; the length is -1 if unknown, None without a body."""

    def on_response_data(self, data: bytes) -> None:
        """Handle a part of the body."""

    def on_response_end(self, data: bytes) -> None:
        """Handle the last part of the body; the response is complete."""

    def on_response_lost(self, reason: str) -> None:
        """Handle the loss of the response before it was complete."""


class ClientConnection(Protocol):
    """Connection to an upstream that carries one request at a time.

    It is reused only if the request was sent in full, the response is complete
    and both sides keep the connection open. Otherwise it is closed, so that
    late bytes cannot be mistaken for the response to another request.
    """

    def __init__(self) -> None:
        self._parser = HttpResponseParser(self)
        self._receiver: ResponseReceiver | None = None
        self._on_free: Callable[[ClientConnection], None] | None = None
        self._headers: Headers = []
        self._head_bytes = 0
        self._received_bytes = 0
        self._max_bytes: int | None = None
        self._status = 0
        self._length: int | None = None
        self._is_head_request = False
        self._has_response = False
        self._is_request_sent = False
        self._is_close_delimited = False
        self._is_complete = False
        self._is_reusable = True
        self._error: str | None = None
        self._data: list[bytes] = []
        self._attribute: Callable[[int, Headers, bool], Attribution] | None = None
        self._requests = 0
        self._is_skipping = False
        self.is_paused = False
        self.is_connected = False
        self.on_connected: Callable[[ClientConnection], None] | None = None
        self.on_closed: Callable[[ClientConnection], None] | None = None

    def connectionMade(self) -> None:
        """Configure the socket and report that the connection is established."""
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        if self.on_connected is not None:
            self.on_connected(self)

    def send(
        self,
        data: bytes,
        is_head_request: bool,
        is_request_sent: bool,
        receiver: ResponseReceiver,
        on_free: Callable[["ClientConnection"], None],
        attribute: Callable[[int, Headers, bool], Attribution] | None = None,
        max_bytes: int | None = None,
    ) -> None:
        """Start a request.

        Parameters
        ----------
        data : bytes
            Request head and the part of the body that is available.
        is_head_request : bool
            Whether the method is HEAD, whose response has no body.
        is_request_sent : bool
            Whether ``data`` is the whole request.
        receiver : ResponseReceiver
            Receives the response.
        on_free : callable
            Called with this connection if it can be reused.
        attribute : callable, optional
            Takes status code, header fields and whether this is the first request
            on the connection; returns the Attribution of the response.
        max_bytes : int, optional
            Maximum size of the response, including its head, its framing and the
            responses that are skipped before it. Without it only the head is
            limited, for a receiver that streams the body.
        """
        self._receiver = receiver
        self._attribute = attribute
        self._requests += 1
        self._is_skipping = False
        self._on_free = on_free
        self._is_head_request = is_head_request
        self._is_request_sent = is_request_sent
        self._has_response = False
        self._is_close_delimited = False
        self._is_complete = False
        self._head_bytes = self._received_bytes = 0
        self._max_bytes = max_bytes
        write_immediately(self.transport, data)

    def write(self, data: bytes) -> None:
        """Send a part of the request body."""
        write_immediately(self.transport, data)

    def end(self, data: bytes = b"") -> None:
        """Send the last part of the request body."""
        self._is_request_sent = True
        if data:
            write_immediately(self.transport, data)

    def pause(self) -> None:
        """Stop reading from the connection, so that the server stops sending."""
        if self.is_connected and not self.is_paused:
            self.is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading from the connection."""
        if self.is_paused:
            self.is_paused = False
            if self.is_connected:
                self.transport.resumeProducing()

    def abort(self) -> None:
        """Cancel the request, if there is one, and abort the connection."""
        self._receiver = None
        self._is_reusable = False
        if self.is_connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Feed the parser, then deliver what it found to the receiver."""
        if self._receiver is None:
            # No request is outstanding, so this is unsolicited or too late.
            self.abort()
            return
        self._head_bytes += len(data)
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if self._error is None and not self._is_complete:
                self._error = f"malformed response: {error}"
            self._is_reusable = False
        if self._error is None:
            if self._head_bytes > MAX_HEAD_BYTES:
                self._error = "response head is too large"
            elif self._is_too_large(self._received_bytes):
                self._error = f"response is too large: over {self._max_bytes} bytes"
        self._deliver()

    def _is_too_large(self, size: int) -> bool:
        return self._max_bytes is not None and size > self._max_bytes

    # Callbacks of the parser; they only store what was parsed.

    def on_message_begin(self) -> None:
        """Start a response; a second one for the same request prevents reuse."""
        if self._is_complete:
            self._is_reusable = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are ignored."""
        if not self._has_response:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Determine how the response body is framed."""
        if self._is_complete:
            return
        status = self._parser.get_status_code()
        if not _is_status(status) or status < 200 and _declares_body(self._headers):
            # A worker in trouble answered 000 and went on using the connection. As an
            # interim response it would be followed by another one that never comes.
            self._error = f"not the status of a response: {status:03}"
            self._is_reusable = False
            return
        if status < 200:
            # Interim response; the parser itself stops at a 101. Its bytes count
            # towards the head, so that interim responses cannot go on forever.
            return
        self._head_bytes = 0
        attribution = Attribution.OWN
        if self._attribute is not None:
            attribution = self._attribute(status, self._headers, self._requests == 1)
        if attribution is not Attribution.OWN:
            self._is_skipping = True
            self._is_reusable = False
            if attribution is Attribution.UNKNOWN:
                self._error = "a response without identifier on a used connection"
            return
        length = parse_body_length(self._headers)
        if isinstance(length, ErrorResult):
            self._error = length.reason
            return
        if length is not None and self._is_too_large(length):
            self._error = f"response is too large: body of {length} bytes"
            return
        if self._is_head_request or status in (204, 304):
            if self._is_head_request:
                # The parser expects a body, because it does not know the method.
                self._is_reusable = False
                self._is_complete = True
        elif length is None:
            self._is_close_delimited = True
            self._is_reusable = False
            length = -1
        self._status = status
        self._length = length
        self._has_response = True

    def on_body(self, data: bytes) -> None:
        """Store a part of the body."""
        self._head_bytes = 0
        if not self._is_complete and not self._is_skipping:
            self._data.append(data)

    def on_message_complete(self) -> None:
        """Record the end of a final response."""
        if self._is_skipping:
            self._head_bytes = 0
            self._is_skipping = False
            return
        if self._has_response and not self._is_complete:
            self._is_complete = True
            if not self._parser.should_keep_alive():
                self._is_reusable = False

    def _deliver(self) -> None:
        receiver = self._receiver
        if self._error is not None:
            self._report_loss(self._error)
            return
        if self._status:
            status, self._status = self._status, 0
            receiver.on_response(status, self._headers, self._length)
            if self._receiver is not receiver:
                return
            if not self._is_complete and not self._data:
                # The body may arrive much later, so the head is forwarded now.
                receiver.on_response_data(b"")
                return
        if self._is_complete:
            data = self._take_data()
            # Released first, because the receiver may start another request.
            self._release()
            receiver.on_response_end(data)
        elif self._data:
            receiver.on_response_data(self._take_data())

    def _take_data(self) -> bytes:
        data = self._data
        if not data:
            return b""
        self._data = []
        return data[0] if len(data) == 1 else b"".join(data)

    def _release(self) -> None:
        self._receiver = None
        self.resume()
        if self._is_reusable and self._is_request_sent:
            self._on_free(self)
        else:
            self.abort()

    def _report_loss(self, reason: str) -> None:
        receiver = self._receiver
        self.abort()
        if receiver is not None:
            receiver.on_response_lost(reason)

    def connectionLost(self, reason: Any = connectionDone) -> None:
        """Complete a close-delimited response; report any other one as lost."""
        self.is_connected = False
        self._is_reusable = False
        receiver = self._receiver
        if receiver is not None:
            self._receiver = None
            if (
                self._is_close_delimited
                and self._has_response
                and (reason.check(ConnectionDone))
            ):
                receiver.on_response_end(self._take_data())
            else:
                receiver.on_response_lost(reason.getErrorMessage())
        if self.on_closed is not None:
            self.on_closed(self)


def _is_status(status: int) -> bool:
    """Return whether a status code is of one of the five classes of RFC 9110."""
    return 100 <= status <= 599


def _declares_body(headers: Headers) -> bool:
    """Return whether a response declares a body, which an interim one cannot have."""
    return any(n in (b"content-length", b"transfer-encoding") for n, _ in headers)


@define
class ConnectionPool:
    """Pool of idle client connections, by address.

    Parameters
    ----------
    clock : reactor
        Source of time and connections.
    connect_timeout_s : float
        Time limit for the establishment of a connection.
    receive_buffer_bytes : int
        Size of the kernel's buffer for received bytes of a connection; 0 lets the
        kernel choose, which gives some megabytes to a connection that is read slowly.
    """

    clock: Any
    connect_timeout_s: float
    receive_buffer_bytes: int = 0
    _idle_by_address: dict[Address, list[tuple[ClientConnection, float]]] = field(
        factory=dict
    )

    def take(
        self, address: Address, max_idle_s: float = MAX_IDLE_S
    ) -> ClientConnection | None:
        """Return the idle connection that was used last, or None.

        A connection that was idle for longer than ``max_idle_s`` is aborted and
        None is returned.
        """
        idle = self._idle_by_address.get(address)
        if not idle:
            return None
        connection, idle_since = idle.pop()
        if self.clock.seconds() - idle_since > max_idle_s:
            connection.abort()
            return None
        return connection

    def put(self, address: Address, connection: ClientConnection) -> None:
        """Return an idle connection to the pool."""
        self._idle_by_address.setdefault(address, []).append(
            (connection, self.clock.seconds())
        )

    def discard(self, address: Address, connection: ClientConnection) -> None:
        """Remove a connection that was closed while it was idle."""
        idle = self._idle_by_address.get(address)
        if idle:
            idle[:] = [item for item in idle if item[0] is not connection]
            if not idle:
                del self._idle_by_address[address]

    def connect(
        self,
        address: Address,
        on_connected: Callable[[ClientConnection], None],
        on_failed: Callable[[str], None],
    ) -> Any:
        """Open a connection.

        Returns
        -------
        connector : IConnector
            Its ``disconnect`` cancels the connection attempt.
        """

        def handle_connected(connection: ClientConnection) -> None:
            connection.on_closed = lambda closed: self.discard(address, closed)
            if self.receive_buffer_bytes:
                size = self.receive_buffer_bytes
                handle = connection.transport.getHandle()
                handle.setsockopt(SOL_SOCKET, SO_RCVBUF, size)
            on_connected(connection)

        def make_connection() -> ClientConnection:
            connection = ClientConnection()
            connection.on_connected = handle_connected
            return connection

        return open_connection(
            self.clock, address, make_connection, on_failed, self.connect_timeout_s
        )

    def sweep(self, now: float) -> None:
        """Abort connections whose idle timeout has expired."""
        for address, idle in list(self._idle_by_address.items()):
            for connection, idle_since in list(idle):
                if now - idle_since > MAX_IDLE_S:
                    self.discard(address, connection)
                    connection.abort()

    def close(self) -> None:
        """Abort all idle connections."""
        for idle in list(self._idle_by_address.values()):
            for connection, _ in list(idle):
                connection.abort()
        self._idle_by_address.clear()
