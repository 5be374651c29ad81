"""HTTP/1.1 server for calls: requests and responses are streamed."""

from collections import deque
from collections.abc import Callable
from typing import Any

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser
from twisted.internet.protocol import Factory, Protocol, connectionDone

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import (
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    Headers,
    find_length,
    get_header,
)
from bamboocove.transport.sending import send

# Body bytes that one connection holds for a receiver that is not ready.
HELD_BYTES = 64 * 1024
# A connection without a request is closed after this time; it is longer than
# the idle time of the client, so that the client closes first.
IDLE_S = 60.0
# A request head must be complete within this time.
HEAD_S = 10.0
# After an early answer the rest of the request is read and dropped for this
# time, because a close with unread data resets the connection and can destroy
# the answer on its way to the caller.
LINGER_S = 1.0
SWEEP_S = 1.0


class ServerConnection(Protocol):
    """One connection of a caller.

    Requests are handed over one at a time and in order. While one is in
    progress the connection is read on, which is how the loss of the caller is
    noticed; requests that are pipelined meanwhile are held up to a limit.

    Parameters
    ----------
    on_request : callable
        Gets each ``Exchange``; answers it now or later.
    max_body_bytes : int
        Largest request body.
    clock : reactor
        Source of time.
    """

    def __init__(self, on_request: Callable, max_body_bytes: int, clock: Any):
        self._on_request = on_request
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self._parser = HttpRequestParser(self)
        self._queue: deque[Exchange] = deque()
        self._incoming: Exchange | None = None
        self._target = b""
        self._headers: Headers = []
        self._head_bytes = 0
        self._error: ErrorResult | None = None
        self._is_advancing = False
        self._is_paused = False
        self._is_closing = False
        self.since = 0.0
        self.on_lost: Callable[[ServerConnection], None] | None = None

    def connectionMade(self) -> None:
        """Start the idle time."""
        self.transport.setTcpNoDelay(True)
        self.since = self._clock.seconds()

    def dataReceived(self, data: bytes) -> None:
        """Parse what arrived, then act on it."""
        if self._error is not None or self._is_closing:
            return
        self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self._fail(ErrorResult(ErrorKind.BAD_REQUEST, f"malformed: {error}"))
        if self._error is None and self._head_bytes > MAX_HEAD_BYTES:
            self._fail(ErrorResult(ErrorKind.TOO_LARGE, "request head is too large"))
        self._advance()
        queue = self._queue
        if queue and (len(queue) > 1 or queue[0].held_bytes > HELD_BYTES):
            self.pause()

    # Callbacks of the parser. They only collect; a fault that they find is
    # raised in dataReceived, because the parser hides exceptions.

    def on_message_begin(self) -> None:
        """Start a request."""
        self._target = b""
        self._headers = []
        self.since = self._clock.seconds()

    def on_url(self, part: bytes) -> None:
        """Take a part of the target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Take a field; trailer fields are dropped."""
        if self._incoming is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queue the request if its head is acceptable."""
        if self._error is not None:
            return
        self._head_bytes = 0
        parser = self._parser
        exchange = Exchange(
            self,
            parser.get_method(),
            self._target,
            self._headers,
            None,
            parser.should_keep_alive(),
            parser.get_http_version() == "1.0",
        )
        self._incoming = exchange
        self._queue.append(exchange)
        error = self._check_head(exchange)
        if error is not None:
            self._fail(error)

    def _check_head(self, exchange: Exchange) -> ErrorResult | None:
        headers = exchange.headers
        head_bytes = len(exchange.target) + sum(len(n) + len(v) for n, v in headers)
        if head_bytes > MAX_HEAD_BYTES or len(headers) > MAX_HEADERS:
            return ErrorResult(ErrorKind.TOO_LARGE, "request head is too large")
        if self._parser.should_upgrade():
            return ErrorResult(ErrorKind.BAD_REQUEST, "protocol upgrade")
        hosts = sum(name == b"host" for name, _ in headers)
        if hosts != 1 and not (hosts == 0 and exchange.is_http10):
            return ErrorResult(ErrorKind.BAD_REQUEST, "Host must be given once")
        if not exchange.target.startswith(b"/"):
            target = _strip_authority(exchange.target)
            if target is None:
                reason = "target is not in origin or absolute form"
                return ErrorResult(ErrorKind.BAD_REQUEST, reason)
            exchange.target = target
        length = find_length(headers)
        if isinstance(length, ErrorResult):
            return length
        if length == -1 and exchange.is_http10:
            return ErrorResult(ErrorKind.BAD_REQUEST, "chunked body in HTTP/1.0")
        if length is not None and length > self._max_body_bytes:
            return ErrorResult(ErrorKind.TOO_LARGE, f"body of {length} bytes")
        exchange.length = length
        expect = get_header(headers, b"expect")
        if expect is not None:
            if expect.strip().lower() != b"100-continue":
                return ErrorResult(ErrorKind.BAD_REQUEST, "unknown expectation")
            exchange.needs_continue = not exchange.is_http10
        return None

    def on_body(self, data: bytes) -> None:
        """Hold a part of the body until it is delivered."""
        exchange = self._incoming
        if self._error is not None or exchange is None:
            return
        self._head_bytes = 0
        exchange.received_bytes += len(data)
        if exchange.received_bytes > self._max_body_bytes:
            self._fail(ErrorResult(ErrorKind.TOO_LARGE, "body is too large"))
            return
        if not exchange.is_finished:
            exchange.held.append(data)
            exchange.held_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self._head_bytes = 0
        if self._incoming is not None and self._error is None:
            self._incoming.is_complete = True
        self._incoming = None

    def _fail(self, error: ErrorResult) -> None:
        if self._error is None:
            self._error = error

    def _advance(self) -> None:
        if self._is_advancing:
            return
        self._is_advancing = True
        try:
            while self._queue:
                exchange = self._queue[0]
                if not exchange.is_complete and self._error is not None:
                    self._refuse_incomplete(exchange)
                    break
                if not exchange.is_started:
                    exchange.is_started = True
                    self._on_request(exchange)
                elif not exchange.is_finished:
                    exchange.deliver()
                if not exchange.is_finished:
                    return
                self._queue.popleft()
                if not exchange.is_keep_alive:
                    self._close()
                    break
            if self._error is not None and not self._is_closing:
                self._refuse_unparsed()
        finally:
            self._is_advancing = False

    def _refuse_incomplete(self, exchange: Exchange) -> None:
        exchange.is_keep_alive = False
        self._queue.clear()
        if exchange.on_closed is not None:
            exchange.on_closed(self._error)
        if not exchange.is_finished:
            if exchange.is_response_started:
                exchange.abort()
            else:
                exchange.refuse(self._error)
        self._close()

    def _refuse_unparsed(self) -> None:
        exchange = Exchange(self, b"GET", b"/", [], None, False, False)
        exchange.refuse(self._error)
        self._close()

    def finish_exchange(self, exchange: Exchange) -> None:
        """Go on to the next request after a response."""
        self.since = self._clock.seconds()
        self.resume()
        if not self._is_advancing:
            self._advance()

    def write(self, data: bytes) -> None:
        """Send to the caller."""
        send(self.transport, data)

    def set_producer(self, producer: Any) -> None:
        """Let the transport pause the source of the response body."""
        self.transport.registerProducer(producer, True)

    def clear_producer(self) -> None:
        """Undo ``set_producer``."""
        self.transport.unregisterProducer()

    def pause(self) -> None:
        """Stop reading."""
        if not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Read on."""
        if self._is_paused:
            self._is_paused = False
            self.transport.resumeProducing()

    def _close(self) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._queue.clear()
        if self._incoming is None and self._error is None:
            self.transport.loseConnection()
            return
        self.resume()
        self.transport.loseWriteConnection()
        self._clock.callLater(LINGER_S, self.abort)

    def abort(self) -> None:
        """Break the connection."""
        self._is_closing = True
        self.transport.abortConnection()

    def sweep(self, now: float) -> None:
        """Close the connection if it waited too long for a request."""
        if self._queue or self._is_closing:
            return
        limit = HEAD_S if self._head_bytes else IDLE_S
        if now - self.since > limit:
            self.abort()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""
        if self._queue:
            for exchange in self._queue:
                exchange.is_keep_alive = False
        elif not self._is_closing:
            self._is_closing = True
            self.transport.loseConnection()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        """Tell the request in progress that its caller is gone."""
        self._is_closing = True
        queue, self._queue = self._queue, deque()
        error = ErrorResult(ErrorKind.CANCELLED, "caller closed its connection")
        for exchange in queue:
            exchange.is_closed = True
            if exchange.on_closed is not None and not exchange.is_finished:
                exchange.on_closed(error)
        if self.on_lost is not None:
            self.on_lost(self)


def _strip_authority(target: bytes) -> bytes | None:
    if not target.lower().startswith(b"http://"):
        return None
    slash = target.find(b"/", len(b"http://"))
    return b"/" if slash < 0 else target[slash:]


class CallServer(Factory):
    """Accepts the connections of callers.

    Parameters
    ----------
    on_request, max_body_bytes, clock
        See ``ServerConnection``.
    """

    noisy = False

    def __init__(self, on_request: Callable, max_body_bytes: int, clock: Any):
        self._on_request = on_request
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self.connections: set[ServerConnection] = set()

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Create the protocol of a connection."""
        connection = ServerConnection(
            self._on_request, self._max_body_bytes, self._clock
        )
        self.connections.add(connection)
        connection.on_lost = self.connections.discard
        return connection

    def sweep(self, now: float) -> None:
        """Close connections that waited too long for a request."""
        for connection in list(self.connections):
            connection.sweep(now)

    def close_idle(self) -> None:
        """Close connections without a request; others follow their response."""
        for connection in list(self.connections):
            connection.close_if_idle()
