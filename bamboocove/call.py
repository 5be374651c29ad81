"""One call on its way from the caller to a worker and back."""

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
from bamboocove.transport.clients import ClientConnection
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
# Body bytes that are kept so that a refused call can be sent to another worker.
REPLAY_BYTES = 64 * 1024


@define(eq=False)
class _BodySource:
    """Lets a transport pause the sender of the body that it forwards."""

    pause: Any
    resume: Any

    def pauseProducing(self) -> None:
        self.pause()

    def resumeProducing(self) -> None:
        self.resume()

    def stopProducing(self) -> None:
        """Do nothing; the loss of the connection ends the call."""


@define(eq=False)
class Call:
    """State of one call.

    Parameters
    ----------
    dispatcher : Dispatcher
        Chooses the worker and takes the end of the call.
    exchange : Exchange
        Request and response on the caller's side.
    match : Match
        Route of the request.
    snapshot : Snapshot
        Configuration that the call is handled under.
    started_at, deadline : float
        Seconds, by the clock of the call path.
    fraction : float
        Draw from 0 to 1 that picks the version, one for all attempts.
    key : bytes or None
        Idempotency key of a call to a route that is not idempotent.

    Attributes
    ----------
    is_dispatched : bool
        Whether a worker may have run the request.
    was_lost : bool
        Whether a worker was lost after dispatch, so that the request may have
        run whatever becomes of the call afterwards.
    is_completed : bool
        Whether the whole response was passed on.
    error : ErrorResult or None
        Answer that waits for the claim to be released.
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
    refused_by: list[Upstream] = field(factory=list)
    attempts: int = 0
    attempt_at: float = 0.0
    connection: ClientConnection | None = None
    connector: Any = None
    error: ErrorResult | None = None
    was_lost: bool = False
    is_waiting: bool = False
    was_waiting: bool = False
    is_completed: bool = False
    is_done: bool = False
    is_dispatched: bool = False
    is_receiving: bool = False
    is_body_ended: bool = False
    is_replayable: bool = True
    is_refusal: bool = False
    is_responding: bool = False
    has_request_source: bool = False
    has_response_source: bool = False
    status: int = 0
    response_headers: Headers = field(factory=list)
    body: list[bytes] = field(factory=list)
    body_bytes: int = 0
    body_digest: bytes | None = None
    collected: Any = None
    claim: Claim | None = None
    kept: list[bytes] | None = None
    kept_bytes: int = 0

    # Request body.

    def receive(self) -> None:
        """Start to take the request body."""
        if self.is_receiving:
            return
        self.is_receiving = True
        exchange = self.exchange
        if exchange.is_complete and not exchange.held:
            self.is_body_ended = exchange.is_ended = True
            return
        exchange.receive(self._on_data, self._on_end)

    def _on_data(self, data: bytes) -> None:
        if self.is_done:
            return
        if self.is_replayable:
            self._keep(data)
        connection = self.connection
        if connection is not None and self.is_dispatched:
            connection.write(self._frame(data))
        elif self.body_bytes >= REPLAY_BYTES:
            self.exchange.pause()
        if self.collected is not None and self.body_bytes >= FINGERPRINT_BODY_BYTES:
            self._report_collected()

    def _keep(self, data: bytes) -> None:
        self.body.append(data)
        self.body_bytes += len(data)
        if self.is_dispatched and self.body_bytes > REPLAY_BYTES:
            self.get_body_digest()
            self.is_replayable = False
            self.body = []

    def _frame(self, data: bytes) -> bytes:
        return format_chunk(data) if self.exchange.length == -1 else data

    def _on_end(self) -> None:
        if self.is_done:
            return
        self.is_body_ended = True
        if self.connection is not None and self.is_dispatched:
            self._clear_request_source()
            self.connection.end(LAST_CHUNK if self.exchange.length == -1 else b"")
        if self.collected is not None:
            self._report_collected()

    def collect(self, on_collected: Any) -> None:
        """Hold the first part of the body, as much as identifies the request."""
        self.receive()
        if self.is_body_ended or self.body_bytes >= FINGERPRINT_BODY_BYTES:
            on_collected()
        else:
            self.collected = on_collected

    def _report_collected(self) -> None:
        on_collected, self.collected = self.collected, None
        on_collected()

    def get_body_digest(self) -> bytes:
        """Return the digest of the first part of the body."""
        if self.body_digest is None:
            self.body_digest = digest_body(b"".join(self.body))
        return self.body_digest

    def get_subject(self) -> Subject:
        """Return what identifies the request among others."""
        exchange = self.exchange
        identity = self.key
        if identity is None:
            identity = self.get_body_digest() if self.body_bytes else b""
        return (self.match.service, exchange.method, exchange.target, identity)

    # Attempt.

    def format_head(self, now: float) -> bytes:
        """Return the request head for the worker."""
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
        """Send the request on a connection."""
        self.connector = None
        self.connection = connection
        self.receive()
        self.attempt_at = now
        self.is_refusal = False
        parts = [self.format_head(now)]
        is_chunked = self.exchange.length == -1 and not self.is_body_ended
        if self.body:
            parts += map(format_chunk, self.body) if is_chunked else self.body
        self.is_dispatched = True
        upstream = self.upstream
        pool = self.dispatcher.pool
        connection.send(
            b"".join(parts),
            self.exchange.method == b"HEAD",
            self.is_body_ended,
            self,
            lambda held: pool.put(upstream.address, held),
        )
        if self.is_body_ended:
            return
        if self.body_bytes > REPLAY_BYTES:
            self.get_body_digest()
            self.is_replayable = False
            self.body = []
        self.has_request_source = True
        source = _BodySource(self.exchange.pause, self.exchange.resume)
        connection.transport.registerProducer(source, True)
        self.exchange.resume()

    def _clear_request_source(self) -> None:
        if self.has_request_source:
            self.has_request_source = False
            self.connection.transport.unregisterProducer()

    # Response.

    def on_response(self, status: int, headers: Headers, length: int | None) -> None:
        """Pass on the head, unless the worker refused to run the request."""
        run = get_header(headers, RUN_HEADER) if status >= 400 else None
        if status == 503 and run == NOT_RUN:
            self.is_refusal = True
            self.response_headers = headers
            return
        headers = strip_hop_by_hop_headers(headers)
        if run is not None:
            # Only a 503 says that this worker did not run the request; what
            # it received from a worker further on says nothing about it.
            headers = [item for item in headers if item[0] != RUN_HEADER]
        self.is_responding = True
        self.status = status
        if self.claim is not None:
            self.response_headers = headers
            self.kept = []
        self.exchange.start(status, headers, length)

    def _keep_response(self, data: bytes) -> None:
        self.kept_bytes += len(data)
        if self.kept_bytes <= MAX_OUTCOME_BODY_BYTES:
            self.kept.append(data)

    def on_response_data(self, data: bytes) -> None:
        """Pass on a part of the body."""
        if self.is_done or self.is_refusal:
            return
        if self.kept is not None:
            self._keep_response(data)
        if not self.has_response_source:
            self.has_response_source = True
            transport = self.connection.transport
            self.exchange.connection.register_producer(
                _BodySource(transport.pauseProducing, transport.resumeProducing)
            )
        self.exchange.write(data)

    def on_response_end(self, data: bytes) -> None:
        """Complete the response."""
        if self.is_done:
            return
        self._clear_request_source()
        self.connection = None
        if self.is_refusal:
            self._report_refusal()
            return
        if self.kept is not None:
            self._keep_response(data)
        self.clear_response_source()
        self.exchange.on_closed = None
        self.is_completed = True
        self.exchange.finish(data)
        self.dispatcher.on_completed(self)

    def _report_refusal(self) -> None:
        self.is_refusal = self.is_dispatched = False
        retry_after = get_header(self.response_headers, b"retry-after")
        self.dispatcher.on_refused(self, read_retry_after(retry_after))

    def clear_response_source(self) -> None:
        """Stop the back pressure of the caller's transport."""
        if self.has_response_source:
            self.has_response_source = False
            self.exchange.connection.unregister_producer()

    def on_response_lost(self, reason: str) -> None:
        """Answer for a response that will not be complete."""
        if self.is_done:
            return
        self.has_request_source = False
        self.connection = None
        if self.is_refusal:
            self._report_refusal()
            return
        error = ErrorResult(ErrorKind.UPSTREAM_LOST, reason)
        self.dispatcher.on_lost(self, error)

    def get_outcome(self) -> Outcome:
        """Return the response as it is recorded for its idempotency key."""
        body = None
        if self.kept_bytes <= MAX_OUTCOME_BODY_BYTES:
            body = b"".join(self.kept)
        return Outcome(self.status, tuple(self.response_headers), body)

    # End.

    def respond(self, outcome: Outcome) -> None:
        """Answer with the recorded response of an earlier request."""
        self.exchange.on_closed = None
        headers = [tuple(item) for item in outcome.headers]
        self.exchange.respond(outcome.status, headers, outcome.body)

    def fail(self, error: ErrorResult) -> None:
        """Answer with an error, or break off a response that has started."""
        exchange = self.exchange
        exchange.on_closed = None
        self.clear_response_source()
        if exchange.is_closed or exchange.is_finished:
            return
        if exchange.is_response_started:
            exchange.abort()
        else:
            may_have_run = self.is_dispatched or self.was_lost
            exchange.respond_with_error(error, "unknown" if may_have_run else None)

    def release(self) -> None:
        """Let go of everything that the call holds on the worker's side."""
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
        self.collected = None
