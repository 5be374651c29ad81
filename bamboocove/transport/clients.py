"""Pooled HTTP/1.1 client for calls: bodies are streamed in both directions."""

from collections.abc import Callable
from typing import Any
from typing import Protocol as Interface

from attrs import define, field
from httptools import HttpParserError, HttpParserUpgrade, HttpResponseParser
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory, Protocol, connectionDone

from bamboocove.errors import ErrorResult
from bamboocove.transport.framing import (
    MAX_HEAD_BYTES,
    Headers,
    find_length,
)
from bamboocove.transport.sending import send

# Shorter than the 5 s that common servers keep an idle connection for, so that
# a request is rarely written to a connection that the server just closed.
IDLE_S = 4.0

Address = tuple[str, int]


class ResponseReceiver(Interface):
    """What a client connection tells about the response to its request."""

    def on_response(self, status: int, headers: Headers, length: int | None) -> None:
        """Take the head; the length is -1 if unknown, None without a body."""

    def on_response_data(self, data: bytes) -> None:
        """Take a part of the body."""

    def on_response_end(self, data: bytes) -> None:
        """Take the last part of the body; the response is complete."""

    def on_response_lost(self, reason: str) -> None:
        """Take note that there will be no complete response."""


class ClientConnection(Protocol):
    """One connection to an upstream, used for one request at a time.

    It is reused only after a complete response to a completely sent request
    on a connection that both sides keep. In every other case it is closed, so
    that bytes that arrive late cannot be taken for another request's response.
    """

    def __init__(self) -> None:
        self._parser = HttpResponseParser(self)
        self._receiver: ResponseReceiver | None = None
        self._on_free: Callable[[ClientConnection], None] | None = None
        self._headers: Headers = []
        self._head_bytes = 0
        self._status = 0
        self._length: int | None = None
        self._is_head = False
        self._has_response = False
        self._is_request_sent = False
        self._is_until_close = False
        self._is_complete = False
        self._is_reusable = True
        self._fault: str | None = None
        self._data: list[bytes] = []
        self._accepts: Callable[[int, Headers], bool] | None = None
        self._is_skipping = False
        self.is_connected = False
        self.on_connected: Callable[[ClientConnection], None] | None = None
        self.on_closed: Callable[[ClientConnection], None] | None = None

    def connectionMade(self) -> None:
        """Report that the connection can be used."""
        self.is_connected = True
        self.transport.setTcpNoDelay(True)
        if self.on_connected is not None:
            self.on_connected(self)

    def send(
        self,
        head: bytes,
        is_head_request: bool,
        is_sent: bool,
        receiver: ResponseReceiver,
        on_free: Callable[["ClientConnection"], None],
        accepts: Callable[[int, Headers], bool] | None = None,
    ) -> None:
        """Start a request.

        Parameters
        ----------
        head : bytes
            Request head and as much of the body as is known.
        is_head_request : bool
            Whether the method is HEAD, whose response has no body.
        is_sent : bool
            Whether this is the whole request.
        receiver : ResponseReceiver
            Gets the response.
        on_free : callable
            Called if the connection can be reused.
        accepts : callable, optional
            Whether a status code and header fields belong to the response to
            this request. A response that does not is skipped: it answers an
            earlier request.
        """
        self._receiver = receiver
        self._accepts = accepts
        self._is_skipping = False
        self._on_free = on_free
        self._is_head = is_head_request
        self._is_request_sent = is_sent
        self._has_response = False
        self._is_until_close = False
        self._is_complete = False
        self._head_bytes = 0
        send(self.transport, head)

    def write(self, data: bytes) -> None:
        """Send a part of the request body."""
        send(self.transport, data)

    def end(self, data: bytes = b"") -> None:
        """Send the last part of the request body."""
        self._is_request_sent = True
        if data:
            send(self.transport, data)

    def abort(self) -> None:
        """Cancel the request, if there is one, and close the connection."""
        self._receiver = None
        self._is_reusable = False
        if self.is_connected:
            self.transport.abortConnection()

    def dataReceived(self, data: bytes) -> None:
        """Parse what arrived, then pass it on."""
        if self._receiver is None:
            # Nothing was asked for; whatever this answers, it is too late.
            self.abort()
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            if self._fault is None and not self._is_complete:
                self._fault = f"malformed response: {error}"
            self._is_reusable = False
        if self._head_bytes > MAX_HEAD_BYTES and self._fault is None:
            self._fault = "response head is too large"
        self._pass_on()

    # Callbacks of the parser; they only collect.

    def on_message_begin(self) -> None:
        """Start a response; a second one for the same request is a fault."""
        if self._is_complete:
            self._is_reusable = False
        self._headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field; trailer fields are dropped."""
        if not self._has_response:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Find out how the response is framed."""
        if self._is_complete:
            return
        self._head_bytes = 0
        status = self._parser.get_status_code()
        if status < 200:
            # Interim; the parser itself stops at a 101.
            return
        if self._accepts is not None and not self._accepts(status, self._headers):
            self._is_skipping = True
            self._is_reusable = False
            return
        length = find_length(self._headers)
        if isinstance(length, ErrorResult):
            self._fault = length.reason
            return
        if self._is_head or status in (204, 304):
            if self._is_head:
                # The parser does not know that no body follows.
                self._is_reusable = False
                self._is_complete = True
        elif length is None:
            self._is_until_close = True
            self._is_reusable = False
            length = -1
        self._status = status
        self._length = length
        self._has_response = True

    def on_body(self, data: bytes) -> None:
        """Take a part of the body."""
        self._head_bytes = 0
        if not self._is_complete and not self._is_skipping:
            self._data.append(data)

    def on_message_complete(self) -> None:
        """Note the end of a final response."""
        self._head_bytes = 0
        if self._is_skipping:
            self._is_skipping = False
            return
        if self._has_response and not self._is_complete:
            self._is_complete = True
            if not self._parser.should_keep_alive():
                self._is_reusable = False

    def _pass_on(self) -> None:
        receiver = self._receiver
        if self._fault is not None:
            self._lose(self._fault)
            return
        if self._status:
            status, self._status = self._status, 0
            receiver.on_response(status, self._headers, self._length)
            if self._receiver is not receiver:
                return
            if not self._is_complete and not self._data:
                # The body may come much later; the head is not held for it.
                receiver.on_response_data(b"")
                return
        if self._is_complete:
            data = self._take_data()
            # Set free first: the receiver may start another request.
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
        if self._is_reusable and self._is_request_sent:
            self._on_free(self)
        else:
            self.abort()

    def _lose(self, reason: str) -> None:
        receiver = self._receiver
        self.abort()
        if receiver is not None:
            receiver.on_response_lost(reason)

    def connectionLost(self, reason: Any = connectionDone) -> None:
        """End a response that is delimited by the close; else it is lost."""
        self.is_connected = False
        self._is_reusable = False
        receiver = self._receiver
        if receiver is not None:
            self._receiver = None
            if (
                self._is_until_close
                and self._has_response
                and (reason.check(ConnectionDone))
            ):
                receiver.on_response_end(self._take_data())
            else:
                receiver.on_response_lost(reason.getErrorMessage())
        if self.on_closed is not None:
            self.on_closed(self)


class _ConnectFactory(ClientFactory):
    noisy = False

    def __init__(self, on_connected: Callable, on_failed: Callable):
        self._on_connected = on_connected
        self._on_failed = on_failed

    def buildProtocol(self, addr: Any) -> ClientConnection:
        connection = ClientConnection()
        connection.on_connected = self._on_connected
        return connection

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._on_failed(reason.getErrorMessage())


@define
class ConnectionPool:
    """Idle connections by address.

    Parameters
    ----------
    clock : reactor
        Source of time and connections.
    connect_timeout_s : float
        Longest time to establish a connection.
    """

    clock: Any
    connect_timeout_s: float
    _idle_by_address: dict[Address, list[tuple[ClientConnection, float]]] = field(
        factory=dict
    )

    def take(
        self, address: Address, max_idle_s: float = IDLE_S
    ) -> ClientConnection | None:
        """Return an idle connection, the one that was used last.

        If it has been idle for too long, it is closed and None is returned.
        """
        idle = self._idle_by_address.get(address)
        if not idle:
            return None
        connection, since = idle.pop()
        if self.clock.seconds() - since > max_idle_s:
            connection.abort()
            return None
        return connection

    def put(self, address: Address, connection: ClientConnection) -> None:
        """Keep a connection for another request."""
        self._idle_by_address.setdefault(address, []).append(
            (connection, self.clock.seconds())
        )

    def discard(self, address: Address, connection: ClientConnection) -> None:
        """Forget a connection that closed while it was idle."""
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
            Its ``disconnect`` cancels the attempt.
        """

        def report(connection: ClientConnection) -> None:
            connection.on_closed = lambda held: self.discard(address, held)
            on_connected(connection)

        host, port = address
        factory = _ConnectFactory(report, on_failed)
        return self.clock.connectTCP(host, port, factory, self.connect_timeout_s)

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        for address, idle in list(self._idle_by_address.items()):
            for connection, since in list(idle):
                if now - since > IDLE_S:
                    self.discard(address, connection)
                    connection.abort()

    def close(self) -> None:
        """Close all idle connections."""
        for idle in list(self._idle_by_address.values()):
            for connection, _ in list(idle):
                connection.abort()
        self._idle_by_address.clear()
