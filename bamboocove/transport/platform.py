"""Clients of the platform's table service and object store, over HTTP with CBOR."""

from typing import Any
from urllib.parse import quote, urlencode

import cbor2
from attrs import frozen
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred, succeed
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    ConnectionAborted,
    ConnectionClosed,
    DNSLookupError,
)
from twisted.internet.protocol import Protocol
from twisted.python.failure import Failure
from twisted.web.client import (
    Agent,
    HTTPConnectionPool,
    RequestNotSent,
    RequestTransmissionFailed,
    ResponseDone,
    ResponseFailed,
)
from twisted.web.http import PotentialDataLoss
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import Committed, Conflict, Row, Transaction
from bamboocove.state.codec import from_plain, to_plain

CONTENT_TYPE = "application/cbor"
# A node runs few store calls concurrently, except for claims of idempotency keys.
MAX_IDLE_CONNECTIONS = 8
# Below the 60 s after which servers commonly close idle connections, so that a
# write is rarely sent on a connection that the server is about to close.
IDLE_TIMEOUT_S = 20

OK = 200
NOT_FOUND = 404
CONFLICT = 409
# The service sends these status codes before it starts a request, so that even a
# write is known not to have taken effect.
NOT_EXECUTED_STATUSES = (429, 503)
BAD_REQUEST = 400

# Exceptions after which the request was certainly not sent.
_NOT_SENT = (ConnectError, ConnectingCancelledError, DNSLookupError, RequestNotSent)
# Exceptions after which the service may have received the request.
_MAYBE_SENT = (
    CancelledError,
    ConnectionAborted,
    ConnectionClosed,
    PotentialDataLoss,
    RequestTransmissionFailed,
    ResponseFailed,
)


@frozen
class _Response:
    status: int
    body: bytes


@implementer(IBodyProducer)
class BytesProducer:
    """Writes a request body in a single call.

    The producer that treq creates for bytes requires the global reactor and two
    of its iterations for each request.

    Parameters
    ----------
    data : bytes
        Request body.
    """

    def __init__(self, data: bytes):
        self._data = data
        self.length = len(data)

    def startProducing(self, consumer: Any) -> Deferred:  # noqa: D102
        consumer.write(self._data)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: D102
        pass

    def resumeProducing(self) -> None:  # noqa: D102
        pass

    def stopProducing(self) -> None:  # noqa: D102
        pass


class _BodyCollector(Protocol):
    """Collects a response body; cancellation closes the connection.

    ``twisted.web.client.readBody`` leaves the connection open when it is
    cancelled, which would leak one socket for each stalled response.
    """

    def __init__(self):
        self._parts: list[bytes] = []
        self.finished: Deferred[bytes] = Deferred(self._cancel)

    def _cancel(self, _deferred: Deferred) -> None:
        self.transport.loseConnection()

    def dataReceived(self, data: bytes) -> None:  # noqa: D102
        self._parts.append(data)

    def connectionLost(self, reason: Failure) -> None:  # noqa: D102
        if self.finished.called:
            return
        if reason.check(ResponseDone):
            self.finished.callback(b"".join(self._parts))
        else:
            self.finished.errback(reason)


class _PlatformClient:
    """Pooled HTTP connections to one service of the platform."""

    def __init__(self, url: str, timeout_s: float, clock: Any):
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._clock = clock
        self._pool = HTTPConnectionPool(clock, persistent=True)
        self._pool.maxPersistentPerHost = MAX_IDLE_CONNECTIONS
        self._pool.cachedConnectionTimeout = IDLE_TIMEOUT_S
        self._client = HTTPClient(
            Agent(clock, connectTimeout=timeout_s, pool=self._pool)
        )

    def close(self) -> Deferred:
        """Close the pooled connections; the Deferred fires when they are closed."""
        return self._pool.closeCachedConnections()

    async def _read(self, path: str) -> _Response | ErrorResult:
        response = await self._request("GET", path, None)
        if isinstance(response, ErrorResult):
            # A read has no side effect, so a lost response is just a failed read.
            return ErrorResult(ErrorKind.STORE_UNAVAILABLE, response.reason)
        if response.status in (OK, NOT_FOUND):
            return response
        reason = f"GET {path}: status {response.status}"
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, reason)

    async def _write(
        self, method: str, path: str, data: bytes
    ) -> _Response | ErrorResult:
        response = await self._request(method, path, data)
        if isinstance(response, ErrorResult):
            return response
        if response.status in (OK, CONFLICT):
            return response
        reason = f"{method} {path}: status {response.status}"
        if response.status in NOT_EXECUTED_STATUSES:
            return ErrorResult(ErrorKind.STORE_UNAVAILABLE, reason)
        if response.status == BAD_REQUEST:
            return ErrorResult(ErrorKind.BAD_REQUEST, reason)
        return ErrorResult(ErrorKind.STORE_UNKNOWN, reason)

    async def _request(
        self, method: str, path: str, data: bytes | None
    ) -> _Response | ErrorResult:
        exchange = Deferred.fromCoroutine(self._exchange(method, path, data))
        exchange.addTimeout(self._timeout_s, self._clock)
        return await exchange

    async def _exchange(
        self, method: str, path: str, data: bytes | None
    ) -> _Response | ErrorResult:
        headers = {"Content-Type": [CONTENT_TYPE]} if data is not None else {}
        try:
            response = await self._client.request(
                method,
                self._url + path,
                data=None if data is None else BytesProducer(data),
                headers=headers,
                allow_redirects=False,
                unbuffered=True,
                reactor=self._clock,
            )
            collector = _BodyCollector()
            response.deliverBody(collector)
            return _Response(response.code, await collector.finished)
        except _NOT_SENT as error:
            reason = f"{method} {path}: not sent: {_describe_error(error)}"
            return ErrorResult(ErrorKind.STORE_UNAVAILABLE, reason)
        except _MAYBE_SENT as error:
            reason = f"{method} {path}: no answer: {_describe_error(error)}"
            return ErrorResult(ErrorKind.STORE_UNKNOWN, reason)


def _describe_error(error: Exception) -> str:
    if isinstance(error, (ResponseFailed, RequestTransmissionFailed)):
        causes = [failure.value for failure in error.reasons]
    else:
        causes = [error]
    return ", ".join(f"{type(cause).__name__} {cause}".strip() for cause in causes)


def _decode_cbor(body: bytes, kind: ErrorKind) -> Any | ErrorResult:
    try:
        return cbor2.loads(body)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return ErrorResult(kind, f"answer is not CBOR: {error}")


class TableClient(_PlatformClient):
    """Client of the transactional table service.

    Parameters
    ----------
    url : str
        URL of the service.
    timeout_s : float
        Time limit of one call in seconds, from connecting to the end of the
        response.
    clock : IReactorTime and IReactorTCP
        Twisted reactor.
    """

    async def get(self, key: str) -> Row | None | ErrorResult:
        """Read one row.

        Returns
        -------
        row : Row or None or ErrorResult
            None if there is no such row; ``STORE_UNAVAILABLE`` if the read
            failed; ``INVALID_MESSAGE`` if the response is not a row.
        """
        response = await self._read(f"/table/rows/{quote(key, safe='')}")
        if isinstance(response, ErrorResult):
            return response
        if response.status == NOT_FOUND:
            return None
        plain = _decode_cbor(response.body, ErrorKind.INVALID_MESSAGE)
        return plain if isinstance(plain, ErrorResult) else from_plain(Row, plain)

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | ErrorResult:
        """Read one page of rows in the order of their keys.

        Parameters
        ----------
        prefix : str
            Prefix of the keys.
        after : str
            Keys greater than this one are returned.
        limit : int
            Maximum number of rows.

        Returns
        -------
        rows : list of Row or ErrorResult
            ``STORE_UNAVAILABLE`` if the read failed; ``INVALID_MESSAGE`` if
            the response is not a list of rows.
        """
        query = urlencode({"prefix": prefix, "after": after, "limit": limit})
        response = await self._read(f"/table/rows?{query}")
        if isinstance(response, ErrorResult):
            return response
        if response.status == NOT_FOUND:
            return ErrorResult(ErrorKind.STORE_UNAVAILABLE, "no table service there")
        plain = _decode_cbor(response.body, ErrorKind.INVALID_MESSAGE)
        if isinstance(plain, ErrorResult):
            return plain
        return from_plain(list[Row], plain)

    async def transact(self, transaction: Transaction) -> Committed | ErrorResult:
        """Run a transaction; it is sent once and never repeated.

        Returns
        -------
        committed : Committed or ErrorResult
            ``Conflict`` if a check failed, ``STORE_UNAVAILABLE`` if the
            transaction certainly did not take effect, ``STORE_UNKNOWN`` if it
            may have taken effect or may still do so, ``BAD_REQUEST`` if the
            service rejects it.
        """
        data = cbor2.dumps(to_plain(transaction))
        response = await self._write("POST", "/table/transactions", data)
        if isinstance(response, ErrorResult):
            return response
        plain = _decode_cbor(response.body, ErrorKind.STORE_UNKNOWN)
        if isinstance(plain, ErrorResult):
            return plain
        if not isinstance(plain, dict):
            return ErrorResult(ErrorKind.STORE_UNKNOWN, "answer is not a map")
        if response.status == CONFLICT:
            version = plain.get("version")
            if not isinstance(version, int):
                return ErrorResult(ErrorKind.CONFLICT, "a check failed")
            return Conflict.of(str(plain.get("key")), version)
        committed = from_plain(Committed, {"versions_by_key": plain.get("versions")})
        if isinstance(committed, ErrorResult):
            return ErrorResult(ErrorKind.STORE_UNKNOWN, committed.reason)
        return committed


class ObjectClient(_PlatformClient):
    """Client of the object store; parameters as for ``TableClient``."""

    async def put(self, name: str, data: bytes) -> None | ErrorResult:
        """Write an object.

        Returns
        -------
        error : None or ErrorResult
            ``STORE_UNAVAILABLE`` if the object was certainly not written,
            ``STORE_UNKNOWN`` if it may have been.
        """
        path = f"/objects/{quote(name, safe='')}"
        response = await self._write("PUT", path, data)
        if isinstance(response, ErrorResult):
            return response
        if response.status != OK:
            reason = f"PUT {path}: status {response.status}"
            return ErrorResult(ErrorKind.STORE_UNKNOWN, reason)
        return None

    async def get(self, name: str) -> bytes | None | ErrorResult:
        """Read an object.

        Returns
        -------
        data : bytes or None or ErrorResult
            None if there is no such object; ``STORE_UNAVAILABLE`` if the read
            failed.
        """
        response = await self._read(f"/objects/{quote(name, safe='')}")
        if isinstance(response, ErrorResult):
            return response
        return None if response.status == NOT_FOUND else response.body
