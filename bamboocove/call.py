"""State of one proxied call: request body, attempts and response."""

from typing import Any

from attrs import define, field

from bamboocove.coordination.fingerprints import (
    FINGERPRINT_BODY_BYTES,
    Subject,
    digest_body,
)
from bamboocove.coordination.idempotency import (
    MAX_OUTCOME_BODY_BYTES,
    Claim,
    Outcome,
)
from bamboocove.coordination.retries import read_retry_after
from bamboocove.coordination.routing import RouteMatch
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.snapshot import Snapshot
from bamboocove.state.upstreams import Upstream, format_address
from bamboocove.transport.clients import ClientConnection, ConnectionPool
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import (
    LAST_CHUNK,
    Headers,
    format_chunk,
    format_fields,
    format_length,
    get_header,
    strip_hop_by_hop_headers,
)

DEADLINE_HEADER = b"bamboocove-deadline-ms"
RUN_HEADER = b"bamboocove-run"
NOT_RUN = b"not-run"
# Request body bytes that are buffered so that a refused call can be sent to
# another worker.
MAX_REPLAY_BODY_BYTES = 64 * 1024
# Body bytes of a refusal after which its end is no longer awaited. A shorter body
# is read to its end, so that the connection can be reused.
MAX_REFUSAL_BODY_BYTES = 64 * 1024


@define(eq=False)
class _BodyProducer:
    """Push producer that passes a transport's back pressure to the body's sender."""

    pause: Any
    resume: Any

    def pauseProducing(self) -> None:
        self.pause()

    def resumeProducing(self) -> None:
        self.resume()

    def stopProducing(self) -> None:
        """Do nothing; the call ends through the connection loss callback."""


@define(eq=False)
class Call:
    """One call from a caller, over all attempts to send it to a worker.

    Parameters
    ----------
    dispatcher : Dispatcher
        Selects the worker and is told how the call ended.
    exchange : Exchange
        Request and response on the caller's side.
    match : RouteMatch
        Route of the request.
    snapshot : Snapshot
        Configuration that applies to the call.
    started_at, deadline : float
        Seconds on the dispatcher's clock.
    fraction : float
        Random number from 0 to 1 that selects the version; the same for all
        attempts.
    key : bytes or None
        Idempotency key of a call to a route that is not idempotent.

    Attributes
    ----------
    is_dispatched : bool
        Whether a worker may have run the request.
    has_lost_worker : bool
        Whether a worker was lost after dispatch, so that the request may have
        run whatever the later attempts return.
    is_completed : bool
        Whether the whole response was forwarded.
    error : ErrorResult or None
        Error response that is sent once the claim is released.
    """

    dispatcher: Any
    exchange: Exchange
    match: RouteMatch
    snapshot: Snapshot
    started_at: float
    deadline: float
    fraction: float
    key: bytes | None = None
    timer: Any = None
    version: str = ""
    upstream: Upstream | None = None
    excluded_upstreams: list[Upstream] = field(factory=list)
    attempts: int = 0
    attempt_started_at: float = 0.0
    connection: ClientConnection | None = None
    connector: Any = None
    error: ErrorResult | None = None
    has_lost_worker: bool = False
    is_queued: bool = False
    was_queued: bool = False
    is_completed: bool = False
    is_done: bool = False
    is_dispatched: bool = False
    is_receiving: bool = False
    is_body_ended: bool = False
    is_replayable: bool = True
    is_refusal: bool = False
    refusal_body_bytes: int = 0
    is_responding: bool = False
    has_request_producer: bool = False
    has_response_producer: bool = False
    status: int = 0
    response_headers: Headers = field(factory=list)
    body: list[bytes] = field(factory=list)
    body_bytes: int = 0
    body_digest: bytes | None = None
    on_collected: Any = None
    claim: Claim | None = None
    outcome_body: list[bytes] | None = None
    outcome_body_bytes: int = 0

    def receive_body(self) -> None:
        """Start to receive the request body; later calls do nothing."""
        if self.is_receiving:
            return
        self.is_receiving = True
        exchange = self.exchange
        if exchange.is_complete and not exchange.held:
            self.is_body_ended = exchange.is_ended = True
            return
        exchange.receive(self._on_body_data, self._on_body_end)

    def _on_body_data(self, data: bytes) -> None:
        if self.is_done:
            return
        if self.is_replayable:
            self._buffer_body(data)
        connection = self.connection
        if connection is not None and self.is_dispatched:
            connection.write(self._encode_body_data(data))
        elif self.body_bytes >= MAX_REPLAY_BODY_BYTES:
            self.exchange.pause()
        if self.on_collected is not None and self.body_bytes >= FINGERPRINT_BODY_BYTES:
            self._notify_collected()

    def _buffer_body(self, data: bytes) -> None:
        self.body.append(data)
        self.body_bytes += len(data)
        if self.is_dispatched and self.body_bytes > MAX_REPLAY_BODY_BYTES:
            self.get_body_digest()
            self.is_replayable = False
            self.body = []

    def _encode_body_data(self, data: bytes) -> bytes:
        return format_chunk(data) if self.exchange.length == -1 else data

    def _on_body_end(self) -> None:
        if self.is_done:
            return
        self.is_body_ended = True
        if self.connection is not None and self.is_dispatched:
            self._unregister_request_producer()
            self.connection.end(LAST_CHUNK if self.exchange.length == -1 else b"")
        if self.on_collected is not None:
            self._notify_collected()

    def collect_fingerprint_body(self, on_collected: Any) -> None:
        """Call back once enough of the body is buffered to identify the request.

        That is the whole body or its first ``FINGERPRINT_BODY_BYTES`` bytes.
        """
        self.receive_body()
        if self.is_body_ended or self.body_bytes >= FINGERPRINT_BODY_BYTES:
            on_collected()
        else:
            self.on_collected = on_collected

    def _notify_collected(self) -> None:
        on_collected, self.on_collected = self.on_collected, None
        on_collected()

    def get_body_digest(self) -> bytes:
        """Return the digest of the first part of the body, computed once."""
        if self.body_digest is None:
            self.body_digest = digest_body(b"".join(self.body))
        return self.body_digest

    def get_subject(self) -> Subject:
        """Return the fields that identify the request in suspect notices."""
        exchange = self.exchange
        identity = self.key
        if identity is None:
            identity = self.get_body_digest() if self.body_bytes else b""
        return (self.match.service, exchange.method, exchange.target, identity)

    def format_head(self, now: float) -> bytes:
        """Return the request head for the worker, with the remaining time in ms."""
        exchange = self.exchange
        length = exchange.length
        if length == -1 and self.is_body_ended and self.is_replayable:
            length = self.body_bytes
        remaining_ms = max(1, int((self.deadline - now) * 1000))
        fields = [
            item
            for item in strip_hop_by_hop_headers(exchange.headers)
            if item[0] != DEADLINE_HEADER
        ]
        if exchange.is_http10 and get_header(fields, b"host") is None:
            fields.append((b"host", format_address(self.upstream.address).encode()))
        return b"%b %b HTTP/1.1\r\n%b%b%b: %d\r\n\r\n" % (
            exchange.method,
            exchange.target,
            format_fields(fields),
            format_length(length),
            DEADLINE_HEADER,
            remaining_ms,
        )

    def dispatch(self, connection: ClientConnection, now: float) -> None:
        """Send the request on a connection to the worker."""
        self.connector = None
        self.connection = connection
        self.receive_body()
        self.attempt_started_at = now
        self.is_refusal = False
        parts = [self.format_head(now)]
        is_chunked = self.exchange.length == -1 and not self.is_body_ended
        if self.body:
            parts += map(format_chunk, self.body) if is_chunked else self.body
        self.is_dispatched = True
        pool = self.dispatcher.pool
        connection.send(
            b"".join(parts),
            self.exchange.method == b"HEAD",
            self.is_body_ended,
            self,
            lambda idle: self._free_connection(pool, idle),
        )
        if self.is_body_ended:
            return
        if self.body_bytes > MAX_REPLAY_BODY_BYTES:
            self.get_body_digest()
            self.is_replayable = False
            self.body = []
        self.has_request_producer = True
        producer = _BodyProducer(self.exchange.pause, self.exchange.resume)
        connection.transport.registerProducer(producer, True)
        self.exchange.resume()

    def _free_connection(self, pool: ConnectionPool, idle: ClientConnection) -> None:
        if self.is_refusal:
            # A faulty worker may send the refusal again. The next request on the
            # connection would then be taken as not run, though it runs.
            idle.abort()
        else:
            pool.put(self.upstream.address, idle)

    def _unregister_request_producer(self) -> None:
        if self.has_request_producer:
            self.has_request_producer = False
            self.connection.transport.unregisterProducer()

    def on_response(self, status: int, headers: Headers, length: int | None) -> None:
        """Forward the response head, unless the worker refused to run the request."""
        run = get_header(headers, RUN_HEADER) if status >= 400 else None
        if status == 503 and run == NOT_RUN:
            self.is_refusal = True
            self.refusal_body_bytes = 0
            self.response_headers = headers
            return
        headers = strip_hop_by_hop_headers(headers)
        if run is not None:
            # Only a 503 says that this worker did not run the request. On any
            # other status the header came from a worker further downstream
            # and says nothing about this one.
            headers = [item for item in headers if item[0] != RUN_HEADER]
        self.is_responding = True
        self.status = status
        if self.claim is not None:
            self.response_headers = headers
            self.outcome_body = []
        self.exchange.start(status, headers, length)

    def _record_response_body(self, data: bytes) -> None:
        self.outcome_body_bytes += len(data)
        if self.outcome_body_bytes <= MAX_OUTCOME_BODY_BYTES:
            self.outcome_body.append(data)

    def on_response_data(self, data: bytes) -> None:
        """Forward a part of the response body."""
        if self.is_done:
            return
        if self.is_refusal:
            self._skip_refusal_body(data)
            return
        if self.outcome_body is not None:
            self._record_response_body(data)
        if not self.has_response_producer:
            self.has_response_producer = True
            transport = self.connection.transport
            self.exchange.connection.register_producer(
                _BodyProducer(transport.pauseProducing, transport.resumeProducing)
            )
        self.exchange.write(data)

    def on_response_end(self, data: bytes) -> None:
        """Forward the last part of the body and complete the call."""
        if self.is_done:
            return
        self._unregister_request_producer()
        self.connection = None
        if self.is_refusal:
            self._report_refusal()
            return
        if self.outcome_body is not None:
            self._record_response_body(data)
        self.unregister_response_producer()
        self.exchange.on_closed = None
        self.is_completed = True
        self.exchange.finish(data)
        self.dispatcher.on_completed(self)

    def _skip_refusal_body(self, data: bytes) -> None:
        self.refusal_body_bytes += len(data)
        if self.refusal_body_bytes > MAX_REFUSAL_BODY_BYTES:
            self._unregister_request_producer()
            connection, self.connection = self.connection, None
            connection.abort()
            self._report_refusal()

    def _report_refusal(self) -> None:
        self.is_refusal = self.is_dispatched = False
        retry_after = get_header(self.response_headers, b"retry-after")
        self.dispatcher.on_refused(self, read_retry_after(retry_after))

    def unregister_response_producer(self) -> None:
        """Unregister the worker's connection as producer of the caller's transport."""
        if self.has_response_producer:
            self.has_response_producer = False
            self.exchange.connection.unregister_producer()

    def on_response_lost(self, reason: str) -> None:
        """Handle a connection that failed before the response was complete."""
        if self.is_done:
            return
        self.has_request_producer = False
        self.connection = None
        if self.is_refusal:
            self._report_refusal()
            return
        error = ErrorResult(ErrorKind.UPSTREAM_LOST, reason)
        self.dispatcher.on_lost(self, error)

    def get_outcome(self) -> Outcome:
        """Return the response to record for the idempotency key.

        The body is None if it is larger than ``MAX_OUTCOME_BODY_BYTES``.
        """
        body = None
        if self.outcome_body_bytes <= MAX_OUTCOME_BODY_BYTES:
            body = b"".join(self.outcome_body)
        return Outcome(self.status, tuple(self.response_headers), body)

    def respond_with_outcome(self, outcome: Outcome) -> None:
        """Send the recorded response of an earlier request with the same key."""
        self.exchange.on_closed = None
        headers = [tuple(item) for item in outcome.headers]
        self.exchange.respond(outcome.status, headers, outcome.body)

    def fail(self, error: ErrorResult) -> None:
        """Send an error response, or abort a response that has started."""
        exchange = self.exchange
        exchange.on_closed = None
        self.unregister_response_producer()
        if exchange.is_closed or exchange.is_finished:
            return
        if exchange.is_response_started:
            exchange.abort()
        else:
            may_have_run = self.is_dispatched or self.has_lost_worker
            exchange.respond_with_error(error, "unknown" if may_have_run else None)

    def release_resources(self) -> None:
        """Cancel the timer, disconnect from the worker and drop the body callbacks."""
        if self.timer is not None:
            if self.timer.active():
                self.timer.cancel()
            self.timer = None
        if self.connector is not None:
            connector, self.connector = self.connector, None
            connector.disconnect()
        if self.connection is not None:
            connection, self.connection = self.connection, None
            connection.abort()
        self.exchange.on_data = self.exchange.on_end = None
        self.on_collected = None
