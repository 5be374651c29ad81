"""HTTP/1.1 request on a server connection, together with its response."""

from collections.abc import Callable
from typing import Any

from bamboocove.errors import ERROR_RESPONSES, ErrorResult
from bamboocove.transport.framing import (
    LAST_CHUNK,
    Headers,
    format_chunk,
    format_fields,
    format_length,
    format_status_line,
)

DataCallback = Callable[[bytes], None]


class Exchange:
    """One request on a server connection, and the interface to respond to it.

    Parameters
    ----------
    connection : ServerConnection
        Connection on which the request arrived.
    method, target : bytes
        From the request line; the target is in origin form.
    headers : list of (bytes, bytes)
        Header fields with names in lower case.
    length : int or None
        Declared body length; -1 for chunked, None for no body.
    is_keep_alive, is_http10 : bool
        Persistence and protocol version, which determine how the response is
        framed. A caller that asks for a close gets no response to later requests;
        see ``close_connection`` for a close that this server wants.

    Attributes
    ----------
    head_bytes : int
        Size of the target and the header fields.
    on_data, on_end : callable or None
        Called with each part of the body and at its end; set by ``receive``.
    is_answered : bool
        Whether the whole response is known and only remains to be sent. The response
        then goes on if the caller closes its sending half.
    on_closed : callable or None
        Called with an ErrorResult when the request cannot be completed or
        the caller's connection is lost before the response is finished.
    """

    __slots__ = (
        "connection",
        "head_bytes",
        "headers",
        "held",
        "held_bytes",
        "is_answered",
        "is_blocked",
        "is_chunked",
        "is_closed",
        "is_complete",
        "is_cut",
        "is_ended",
        "is_finished",
        "is_http10",
        "is_keep_alive",
        "is_started",
        "length",
        "method",
        "needs_continue",
        "on_closed",
        "on_data",
        "on_end",
        "received_bytes",
        "response_head",
        "target",
    )

    def __init__(
        self,
        connection: Any,
        method: bytes,
        target: bytes,
        headers: Headers,
        length: int | None,
        is_keep_alive: bool,
        is_http10: bool,
    ):
        self.connection = connection
        self.method = method
        self.target = target
        self.headers = headers
        self.length = length
        self.is_keep_alive = is_keep_alive
        self.is_http10 = is_http10
        self.head_bytes = len(target) + sum(len(n) + len(v) for n, v in headers)
        self.needs_continue = False
        self.held: list[bytes] = []
        self.held_bytes = 0
        self.received_bytes = 0
        self.is_complete = False
        self.is_ended = False
        self.is_started = False
        self.is_closed = False
        self.is_finished = False
        self.is_cut = False
        self.is_answered = False
        self.is_chunked = False
        self.is_blocked = False
        self.response_head: bytes | None = None
        self.on_data: DataCallback | None = None
        self.on_end: Callable[[], None] | None = None
        self.on_closed: Callable[[ErrorResult], None] | None = None

    def receive(self, on_data: DataCallback, on_end: Callable[[], None]) -> None:
        """Deliver the body to callbacks, starting with the part already buffered."""
        self.on_data = on_data
        self.on_end = on_end
        if self.needs_continue and not self.is_complete:
            self.connection.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        self.needs_continue = False
        self.deliver()
        if not self.is_blocked:
            self.connection.resume()

    def deliver(self) -> None:
        """Deliver the buffered part of the body, and its end if it is complete."""
        on_data = self.on_data
        if on_data is None:
            return
        if self.held:
            data = self.held[0] if len(self.held) == 1 else b"".join(self.held)
            self.held = []
            self.held_bytes = 0
            on_data(data)
        # on_end is read only after on_data returned, which may have ended the call.
        on_end = self.on_end
        if self.is_complete and on_end is not None and not self.is_ended:
            self.is_ended = True
            on_end()

    def pause(self) -> None:
        """Stop reading the request body from the caller."""
        if not self.is_complete:
            self.is_blocked = True
            self.connection.pause()

    def resume(self) -> None:
        """Resume reading the request body."""
        self.is_blocked = False
        self.connection.resume()

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Prepare the response head, which is sent together with the first data.

        Parameters
        ----------
        status : int
            Status code.
        headers : list of (bytes, bytes)
            Header fields without framing and connection fields.
        length : int or None
            Body length in bytes; -1 if unknown, None for a response without a body.
        """
        self.is_chunked = False
        if status in (204, 304):
            length = None
        if length is not None and length < 0:
            if self.is_http10:
                length = None
                self.is_keep_alive = False
            else:
                self.is_chunked = True
        if not self.is_complete or self.connection.closes_after(self):
            self.is_keep_alive = False
        if self.is_http10 and self.is_keep_alive:
            connection = b"connection: keep-alive\r\n"
        else:
            connection = b"" if self.is_keep_alive else b"connection: close\r\n"
        self.response_head = b"".join(
            (
                format_status_line(status),
                format_fields(headers),
                format_length(length),
                connection,
                b"\r\n",
            )
        )
        if self.method == b"HEAD":
            self.is_chunked = False

    def write(self, data: bytes) -> None:
        """Send a part of the response body; empty data sends the head."""
        if self.is_closed or self.is_finished:
            return
        if data and self.is_chunked:
            data = format_chunk(data)
        if self.response_head:
            data = self.response_head + data
            self.response_head = b""
        self.connection.write(data)

    def finish(self, data: bytes = b"") -> None:
        """Send the last part of the response body."""
        if self.is_closed or self.is_finished:
            return
        self.is_finished = True
        self.held = []
        if self.is_chunked:
            data = (format_chunk(data) if data else b"") + LAST_CHUNK
        if self.response_head:
            data = self.response_head + data
            self.response_head = b""
        if data:
            self.connection.write(data)
        self.connection.finish_exchange(self)

    def respond(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Send a response with a body that is known in full."""
        self.start(status, headers, len(body))
        self.finish(b"" if self.method == b"HEAD" else body)

    def respond_with_error(self, error: ErrorResult, run: str | None = None) -> None:
        """Send an error response.

        Parameters
        ----------
        error : ErrorResult
            Its kind determines status and header fields, its reason the body.
        run : str, optional
            Value of ``bamboocove-run`` if not that of ``ERROR_RESPONSES``.
        """
        response = ERROR_RESPONSES[error.kind]
        headers = [
            (b"bamboocove-error", error.kind.value.encode()),
            (b"bamboocove-run", (run or response.run).encode()),
            (b"content-type", b"text/plain; charset=utf-8"),
        ]
        if response.retry_after_s:
            headers.append((b"retry-after", b"%d" % response.retry_after_s))
        self.respond(response.status, headers, f"{error}\n".encode())

    def fail(self) -> None:
        """End the request because the exception that is being handled was raised."""
        self.connection.fail_exchange(self)

    def close_connection(self) -> None:
        """Close the connection after this response and those that are due by then.

        The next requests that the caller has pipelined were read, so that a caller
        could not tell whether they were run if they got no response.
        """
        self.connection.close_if_idle()

    def abort(self) -> None:
        """Reset the connection, so that the caller detects the incomplete response."""
        self.is_finished = True
        self.is_cut = True
        self.connection.abort()

    @property
    def is_response_started(self) -> bool:
        """Whether the response head was sent."""
        return self.response_head == b""

    @property
    def is_last_response(self) -> bool:
        """Whether the caller was told that no later request gets a response.

        The rest of this request is still read.
        """
        return self.is_complete and not self.is_keep_alive and self.is_response_started
