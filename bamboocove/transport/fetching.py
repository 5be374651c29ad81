"""One whole HTTP/1.1 request and its whole response, over a connection pool."""

import socket
from typing import Any

from attrs import define, field, frozen
from twisted.internet.defer import Deferred

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.transport.clients import Address, ClientConnection, ConnectionPool
from bamboocove.transport.framing import Headers, format_fields

# A connection to a host that is cut off is found dead after about three
# seconds, which is how long a host is given after it is reachable again.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2


@frozen
class Response:
    """A whole response."""

    status: int
    headers: Headers
    body: bytes


def set_keepalive(transport: Any) -> None:
    """Let the kernel find out that the other side of a connection is gone."""
    handle = transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    handle.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)


@define(eq=False)
class Fetch:
    """State of one request.

    Attributes
    ----------
    done : Deferred
        Fires with a Response; or with an ErrorResult, ``UPSTREAM_REFUSED`` if
        the request was never sent and ``UPSTREAM_LOST`` if it may have arrived.
    """

    pool: ConnectionPool
    address: Address
    data: bytes
    is_head: bool = False
    done: Deferred = field(factory=Deferred)
    _timer: Any = None
    _connector: Any = None
    _connection: ClientConnection | None = None
    _status: int = 0
    _headers: Headers = field(factory=list)
    _parts: list[bytes] = field(factory=list)
    _is_ended: bool = False

    def start(self, timeout_s: float) -> Deferred:
        """Send the request; wait at most for a time."""
        self._timer = self.pool.clock.callLater(timeout_s, self._expire)
        connection = self.pool.take(self.address)
        if connection is not None:
            self._send(connection)
        else:
            self._connector = self.pool.connect(
                self.address, self._send, self._report_unsent
            )
        return self.done

    def cancel(self) -> None:
        """Give up."""
        self._expire()

    def _send(self, connection: ClientConnection) -> None:
        self._connector = None
        if self._is_ended:
            connection.abort()
            return
        self._connection = connection
        set_keepalive(connection.transport)
        connection.send(
            self.data,
            self.is_head,
            True,
            self,
            lambda held: self.pool.put(self.address, held),
        )

    def _report_unsent(self, reason: str) -> None:
        self._connector = None
        self._end(ErrorResult(ErrorKind.UPSTREAM_REFUSED, reason))

    def on_response(self, status: int, headers: Headers, length: int | None) -> None:
        """Take the head."""
        self._status = status
        self._headers = headers

    def on_response_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self._parts.append(data)

    def on_response_end(self, data: bytes) -> None:
        """Take the last part of the body."""
        self._connection = None
        self._parts.append(data)
        self._end(Response(self._status, self._headers, b"".join(self._parts)))

    def on_response_lost(self, reason: str) -> None:
        """Report that there is no whole response."""
        self._connection = None
        self._end(ErrorResult(ErrorKind.UPSTREAM_LOST, reason))

    def _expire(self) -> None:
        kind = ErrorKind.UPSTREAM_REFUSED
        if self._connection is not None:
            kind = ErrorKind.UPSTREAM_LOST
        self._end(ErrorResult(kind, "no answer in time"))

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
    method: bytes, target: bytes, host: Address, headers: Headers, body: bytes
) -> bytes:
    r"""Return a whole request.

    Examples
    --------
    >>> format_request(b"GET", b"/x", ("10.0.0.1", 80), [], b"")
    b'GET /x HTTP/1.1\r\nhost: 10.0.0.1:80\r\n\r\n'
    """
    name, port = host
    length = b""
    if body or method in (b"POST", b"PUT"):
        length = b"content-length: %d\r\n" % len(body)
    return b"%b %b HTTP/1.1\r\nhost: %b:%d\r\n%b%b\r\n%b" % (
        method,
        target,
        name.encode(),
        port,
        format_fields(headers),
        length,
        body,
    )
