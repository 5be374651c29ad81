"""Requests that are read from one HTTP/1.1 connection."""

from collections.abc import Callable
from typing import Any

from httptools import HttpParserError, HttpParserUpgrade, HttpRequestParser

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import MAX_HEAD_BYTES, Headers
from bamboocove.transport.request_heads import check_head


class RequestReader:
    """Parses what a caller sends, and stops at the first error.

    Parameters
    ----------
    connection : ServerConnection
        Connection of the requests.
    max_body_bytes : int
        Maximum size of a request body.
    on_head_begin : callable
        Called without arguments at the start of each request.
    on_head : callable
        Called with the Exchange when the head of a request is complete. Its body is
        added to the Exchange as it arrives.

    Attributes
    ----------
    error : ErrorResult or None
        Why the last request cannot be read; no more is parsed then.
    incoming : Exchange or None
        Request whose head was read and whose body is not complete.
    head_bytes : int
        Bytes of the head or trailer that is being read; 0 if none is.
    """

    def __init__(
        self,
        connection: Any,
        max_body_bytes: int,
        on_head_begin: Callable[[], None],
        on_head: Callable[[Exchange], None],
    ):
        self._connection = connection
        self._max_body_bytes = max_body_bytes
        self._on_head_begin = on_head_begin
        self._on_head = on_head
        self._parser = HttpRequestParser(self)
        self._target = b""
        self._headers: Headers = []
        self.error: ErrorResult | None = None
        self.incoming: Exchange | None = None
        self.head_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parse what was read."""
        self.head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (HttpParserError, HttpParserUpgrade) as error:
            self._set_error(ErrorResult(ErrorKind.BAD_REQUEST, f"malformed: {error}"))
        if self.error is None and self.head_bytes > MAX_HEAD_BYTES:
            self._set_error(
                ErrorResult(ErrorKind.TOO_LARGE, "request head is too large")
            )

    @property
    def is_head_incomplete(self) -> bool:
        """Whether a valid part of a request head was read."""
        return self.head_bytes > 0 and self.incoming is None and self.error is None

    # Callbacks of the parser. They only store what was parsed and errors that they
    # detect, because the parser hides exceptions.

    def on_message_begin(self) -> None:
        """Start a request head."""
        self._target = b""
        self._headers = []
        # The end of the message before may be in the same read, and resets the number.
        self.head_bytes = self.head_bytes or 1
        self._on_head_begin()

    def on_url(self, part: bytes) -> None:
        """Append a part of the request target."""
        self._target += part

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header field; trailer fields are ignored."""
        if self.incoming is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Pass the request on and validate its head."""
        if self.error is not None:
            return
        self.head_bytes = 0
        parser = self._parser
        exchange = Exchange(
            self._connection,
            parser.get_method(),
            self._target,
            self._headers,
            None,
            parser.should_keep_alive(),
            parser.get_http_version() == "1.0",
        )
        self.incoming = exchange
        self._on_head(exchange)
        is_upgrade = parser.should_upgrade()
        error = check_head(exchange, is_upgrade, self._max_body_bytes)
        if error is not None:
            self._set_error(error)

    def on_body(self, data: bytes) -> None:
        """Buffer a part of the body until it is delivered."""
        exchange = self.incoming
        if self.error is not None or exchange is None:
            return
        self.head_bytes = 0
        exchange.received_bytes += len(data)
        if exchange.received_bytes > self._max_body_bytes:
            self._set_error(ErrorResult(ErrorKind.TOO_LARGE, "body is too large"))
            return
        if not exchange.is_finished:
            exchange.held.append(data)
            exchange.held_bytes += len(data)

    def on_message_complete(self) -> None:
        """Mark the request as complete."""
        self.head_bytes = 0
        if self.incoming is not None and self.error is None:
            self.incoming.is_complete = True
        self.incoming = None

    def _set_error(self, error: ErrorResult) -> None:
        if self.error is None:
            self.error = error
