"""Buffered HTTP/1.1 requests over a connection pool."""

import socket
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from twisted.internet.defer import Deferred

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.transport.clients import Address, ClientConnection, ConnectionPool
from bamboocove.transport.framing import Headers, format_fields

# A connection to an unreachable host is detected as dead after about three
# seconds, which is the time allowed to a host once it is reachable again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Default limit of a response; a page of the store is about 1.5 MB at most.
MAX_RESPONSE_BYTES = 8 * 1024 * 1024


@frozen
class Response:
    """A complete response with its body."""

    status: int
    headers: Headers
    body: bytes


def enable_keepalive(transport: Any) -> None:
    """Enable TCP keepalive, so that the loss of the remote side is detected."""
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


@frozen
class TransferLimits:
    """Time limits of a response whose head has arrived, in seconds.

    A body may take long to cross a slow network link, so the time for which a server
    may take to answer does not limit its transfer.

    Parameters
    ----------
    silence_s : float
        Time within which a further part must arrive.
    total_s : float
        Time within which the response must be complete.
    """

    silence_s: float
    total_s: float


@define(eq=False)
class Fetch:
    """One request and its buffered response.

    Parameters
    ----------
    pool : ConnectionPool
        Source of connections and time.
    address : (str, int)
        Host and TCP port of the server.
    data : bytes
        Complete request, see ``format_request``.
    is_head : bool
        Whether the method is HEAD, whose response has no body.
    max_bytes : int
        Maximum size of the response; the request fails if it is larger.
    transfer : TransferLimits, optional
        Time limits once the response has begun. Without them, the time limit of the
        request also covers the transfer of the body.
    on_progress : callable, optional
        Called without arguments when a part of the body has arrived.

    Attributes
    ----------
    done : Deferred
        Fires with a Response; or with an ErrorResult, ``UPSTREAM_REFUSED`` if
        the request was never sent and ``UPSTREAM_LOST`` if the server may have
        received it.
    """

    pool: ConnectionPool
    address: Address
    data: bytes
    is_head: bool = False
    max_bytes: int = MAX_RESPONSE_BYTES
    transfer: TransferLimits | None = None
    on_progress: Callable[[], None] | None = None
    done: Deferred = field(factory=Deferred)
    _timer: Any = None
    _connector: Any = None
    _connection: ClientConnection | None = None
    _status: int = 0
    _headers: Headers = field(factory=list)
    _body: bytearray = field(factory=bytearray)
    _is_ended: bool = False
    _transfer_ends_at: float = float("inf")

    def start(self, timeout_s: float) -> Deferred:
        """Send the request; fail with a timeout if no response is complete in time."""
        self._timer = self.pool.clock.callLater(timeout_s, self._handle_timeout)
        connection = self.pool.take(self.address)
        if connection is not None:
            self._send(connection)
        else:
            self._connector = self.pool.connect(
                self.address, self._send, self._handle_connect_failure
            )
        return self.done

    def cancel(self) -> None:
        """Cancel the request; ``done`` fires as it does after a timeout."""
        self._handle_timeout()

    def _send(self, connection: ClientConnection) -> None:
        self._connector = None
        if self._is_ended:
            connection.abort()
            return
        self._connection = connection
        enable_keepalive(connection.transport)
        connection.send(
            self.data,
            self.is_head,
            True,
            self,
            lambda freed: self.pool.put(self.address, freed),
            max_bytes=self.max_bytes,
        )

    def _handle_connect_failure(self, reason: str) -> None:
        self._connector = None
        self._end(ErrorResult(ErrorKind.UPSTREAM_REFUSED, reason))

    def on_response(self, status: int, headers: Headers, length: int | None) -> None:
        """Store the head; from now on, the limits of the transfer apply."""
        self._status = status
        self._headers = headers
        if self.transfer is not None:
            now = self.pool.clock.seconds()
            self._transfer_ends_at = now + self.transfer.total_s

    def on_response_data(self, data: bytes) -> None:
        """Store a part of the body, and wait for the next one."""
        self._body += data
        if self.transfer is not None:
            left_s = self._transfer_ends_at - self.pool.clock.seconds()
            self._timer.reset(max(0.0, min(self.transfer.silence_s, left_s)))
        if self.on_progress is not None:
            self.on_progress()

    def on_response_end(self, data: bytes) -> None:
        """Store the last part of the body and complete the response."""
        self._connection = None
        self._body += data
        self._end(Response(self._status, self._headers, bytes(self._body)))

    def on_response_lost(self, reason: str) -> None:
        """Report that the response is incomplete."""
        self._connection = None
        self._end(ErrorResult(ErrorKind.UPSTREAM_LOST, reason))

    def _handle_timeout(self) -> None:
        kind = ErrorKind.UPSTREAM_REFUSED
        if self._connection is not None:
            kind = ErrorKind.UPSTREAM_LOST
        reason = "no answer in time"
        if self._status:
            reason = f"no whole answer in time, {len(self._body)} bytes received"
        self._end(ErrorResult(kind, reason))

    def _end(self, result: Response | ErrorResult) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        if self._timer.active():
            self._timer.cancel()
        connector, self._connector = self._connector, None
        if connector is not None:
            connector.disconnect()
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()
        self.done.callback(result)


def format_request(
    method: bytes, target: bytes, address: Address, headers: Headers, body: bytes
) -> bytes:
    r"""Return the bytes of a complete request.

    Examples
    --------
    >>> format_request(b"GET", b"/x", ("10.0.0.1", 80), [], b"")
    b'GET /x HTTP/1.1\r\nhost: 10.0.0.1:80\r\n\r\n'
    """
    host, port = address
    length = b""
    if body or method in (b"POST", b"PUT"):
        length = b"content-length: %d\r\n" % len(body)
    return b"%b %b HTTP/1.1\r\nhost: %b:%d\r\n%b%b\r\n%b" % (
        method,
        target,
        host.encode(),
        port,
        format_fields(headers),
        length,
        body,
    )
