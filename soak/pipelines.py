"""Connections of clients that pipeline requests, write them in parts or read slowly."""

import socket
from collections import deque
from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory, Protocol, connectionDone

from bamboocove.transport.fetching import Response
from bamboocove.transport.framing import Headers
from soak.records import ClientRequest

# Receive buffer of a client that reads slowly; the kernel doubles it.
SLOW_BUFFER_BYTES = 2304
# Parts in which such a client reads, and the pause before each.
SLOW_PART_BYTES = 512
SLOW_PAUSE_S = 0.01


def parse_response(data: bytes) -> tuple[Response, bytes] | None:
    """Return the first response in ``data`` and the bytes after it.

    Returns None while it is incomplete. The responses of nodes have a length.
    """
    head, separator, rest = data.partition(b"\r\n\r\n")
    if not separator:
        return None
    status_line, *lines = head.split(b"\r\n")
    headers: Headers = []
    length = 0
    for line in lines:
        name, _, value = line.partition(b":")
        headers.append((name.strip().lower(), value.strip()))
        if headers[-1][0] == b"content-length":
            length = int(value)
    if len(rest) < length:
        return None
    response = Response(int(status_line.split()[1]), headers, rest[:length])
    return response, rest[length:]


class PipelineConnection(Protocol):
    """Client side of a connection that carries several requests at a time.

    Parameters
    ----------
    clock : reactor
        Source of time.
    is_slow : bool
        Whether it reads slowly, through a small receive buffer.
    on_end : callable
        Called with each request and its ``Response``, or the reason why there is none.
    """

    def __init__(
        self,
        clock: Any,
        is_slow: bool,
        on_end: Callable[[ClientRequest, Response | str], None],
    ):
        self._clock = clock
        self._is_slow = is_slow
        self._on_end = on_end
        self._pending: deque[ClientRequest] = deque()
        self._received = b""
        self.is_open = True
        self.is_leaving = False

    @property
    def is_idle(self) -> bool:
        """Whether it is open, and carries no request."""
        return self.is_open and not self.is_leaving and not self._pending

    def connectionMade(self) -> None:
        """Configure the socket."""
        self.transport.setTcpNoDelay(True)
        if self._is_slow:
            handle = self.transport.getHandle()
            handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SLOW_BUFFER_BYTES)
            self.transport.bufferSize = SLOW_PART_BYTES

    def send(
        self, parts: list[tuple[bytes, ClientRequest | None]], pause_s: float
    ) -> None:
        """Send requests in parts, with a pause after each.

        Nothing is sent once a response has said that the connection will be closed.

        Parameters
        ----------
        parts : list of (bytes, ClientRequest or None)
            Bytes, and the request that they complete.
        pause_s : float
            Pause in seconds; 0 sends all parts at once.
        """
        self._pending.extend(request for _, request in parts if request)
        self._write(parts, pause_s)

    def _write(self, parts: list, pause_s: float) -> None:
        while parts and self.is_open and not self.is_leaving:
            (data, request), *parts = parts
            self.transport.write(data)
            if request is not None:
                request.sent_at = self._clock.seconds()
                request.is_sent = True
            if pause_s:
                self._clock.callLater(pause_s, self._write, parts, pause_s)
                return

    def dataReceived(self, data: bytes) -> None:
        """Report the responses that are complete."""
        self._received += data
        while self._pending and (parsed := parse_response(self._received)):
            response, self._received = parsed
            self.is_leaving |= (b"connection", b"close") in response.headers
            self._on_end(self._pending.popleft(), response)
        if self._is_slow:
            self.transport.pauseProducing()
            self._clock.callLater(SLOW_PAUSE_S, self._resume)

    def _resume(self) -> None:
        if self.is_open:
            self.transport.resumeProducing()

    def time_out(self, request: ClientRequest) -> None:
        """End the connection if a request has no response yet."""
        if request in self._pending:
            self._pending.remove(request)
            self._on_end(request, "no answer in time")
            self.transport.abortConnection()

    def connectionLost(self, reason: Any = connectionDone) -> None:
        """Report the requests that have no response."""
        self.is_open = False
        while self._pending:
            self._on_end(self._pending.popleft(), reason.getErrorMessage())


class PipelineFactory(Factory):
    """Factory of connections of one client.

    Parameters
    ----------
    clock, is_slow, on_end
        See ``PipelineConnection``.
    """

    noisy = False

    def __init__(self, clock: Any, is_slow: bool, on_end: Callable):
        self._arguments = clock, is_slow, on_end

    def buildProtocol(self, addr: Any) -> PipelineConnection:
        """Create the protocol of a connection."""
        return PipelineConnection(*self._arguments)
