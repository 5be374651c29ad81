"""Stand-in for an application worker of the platform, with injectable faults."""

import json
from collections.abc import Callable
from hashlib import sha1
from typing import Any
from weakref import WeakSet
from zlib import crc32

from attrs import define, field, frozen
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bamboocove.errors import ErrorResult
from bamboocove.platform.headers import DIALECT, LEAVING_FIELD, LIMIT_FIELD
from bamboocove.transport.calls import CallServer
from bamboocove.transport.clients import Address, ConnectionPool
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.fetching import Fetch, format_request
from bamboocove.transport.framing import Headers, get_header

MAX_BODY_BYTES = 1 << 20
HEALTH_PATH = b"/healthz"
# Requests that take up to LONG_WORK_S, in seconds.
LONG_TARGET = b"/long/"
LONG_WORK_S = 3.8
REPORT_INTERVAL_S = 1.0
REPORT_TIMEOUT_S = 1.0
# More than the slots of any worker: a node may open a connection for each at once.
LISTEN_BACKLOG = 1024
OVERLOAD_FIELDS = [(DIALECT.not_run, b"1")]
REPEATED_REFUSAL = b"HTTP/1.1 503 X\r\n%b: 1\r\ncontent-length: 0\r\n\r\n" % (
    DIALECT.not_run
)


@frozen
class Arrival:
    """A request as received by a worker.

    Parameters
    ----------
    attempt_id : str
        Identifier of the attempt, set by the caller.
    at : float
        Time of arrival, in seconds of the local clock.
    worker_id, service, version : str
        Identity of the worker that received the request.
    target : str
        Path and query of the request.
    digest : str
        Hash of the request body, see ``digest_body``.
    has_run : bool
        Whether the worker began to process the request rather than refuse it.
    """

    attempt_id: str
    at: float
    worker_id: str
    service: str
    version: str
    target: str
    digest: str
    has_run: bool


@define
class WorkerFaults:
    """Faults that a worker injects; rates are from 0 to 1.

    Parameters
    ----------
    slow_factor : float
        Factor applied to the processing time of a request.
    error_rate, abort_rate, truncation_rate : float
        Shares of the requests that end with status 500, without any response, or
        with half of a response.
    repeat_rate : float
        Share of the requests on used connections before whose response the worker
        sends a refusal again, without an attempt identifier.
    """

    slow_factor: float = 1.0
    error_rate: float = 0.0
    abort_rate: float = 0.0
    truncation_rate: float = 0.0
    repeat_rate: float = 0.0


def digest_body(body: bytes) -> str:
    """Return the hash of a request body that a worker repeats in its response."""
    return sha1(body).hexdigest()[:12]


def make_response_body(attempt_id: str, target: str, digest: str) -> bytes:
    """Return the body that a correct response to a request has."""
    return f"{attempt_id} {target} {digest} ".encode() * 8


def make_signature(body: bytes) -> bytes:
    """Return the signature of a response body."""
    return b"s.%08x" % crc32(body)


@define(eq=False, slots=False)
class WorkerStandin:
    """Processes requests in slots, and reports its status to its node.

    Parameters
    ----------
    worker_id, service, version, zone : str
        Identity of the worker, as sent in its reports.
    address : (str, int)
        Address that the worker listens on.
    announced_address : (str, int)
        Address at which its node reaches it.
    report_address : (str, int)
        Address at which its node receives reports.
    clock : reactor
        Source of time and connections.
    random : Random
        Selects the requests that fail, and varies processing times.
    on_arrival : callable
        Called with an ``Arrival`` for each request.
    slots, work_s : int, float
        Requests processed at the same time without slowdown, and the mean
        processing time of one, in seconds.
    limit_per_s : float
        Requests per second that the worker names as its limit; 0 names none.

    Attributes
    ----------
    limit_named_at : float
        When it first named a limit, in seconds of the local clock; 0 before.
    """

    worker_id: str
    service: str
    version: str
    zone: str
    address: Address
    announced_address: Address
    report_address: Address
    clock: Any
    random: Any
    on_arrival: Callable[[Arrival], None]
    slots: int = 8
    work_s: float = 0.03
    limit_per_s: float = 0.0
    limit_named_at: float = 0.0
    state: str = "ready"
    sequence: int = 0
    born_ms: int = 0
    running: int = 0
    acknowledged_at: float = 0.0
    failed_at: list[float] = field(factory=list)
    troubles: WorkerFaults = field(factory=WorkerFaults)
    _used_connections: WeakSet = field(factory=WeakSet)

    def __attrs_post_init__(self) -> None:
        self.server = CallServer(self._receive, MAX_BODY_BYTES, self.clock)
        self.pool = ConnectionPool(self.clock, REPORT_TIMEOUT_S)
        self.port: Any = None
        self._reporter = LoopingCall(self.report)
        self._reporter.clock = self.clock

    def start(self) -> None:
        """Accept requests, and report to the node periodically."""
        host, port = self.address
        self.port = self.clock.listenTCP(port, self.server, LISTEN_BACKLOG, host)
        self._reporter.start(REPORT_INTERVAL_S)

    def stop(self) -> None:
        """Stop at once: close the port and all connections."""
        if self._reporter.running:
            self._reporter.stop()
        self.port.stopListening()
        self.pool.close()
        for connection in list(self.server.connections):
            connection.abort()

    def report(self) -> None:
        """Send the status of this worker to the node."""
        self.send_report(self.make_report())

    def make_report(self) -> bytes:
        """Return the next report of this worker."""
        self.sequence += 1
        document = {
            "address": "{}:{}".format(*self.announced_address),
            "born": self.born_ms,
            "info": {
                "service": self.service,
                "version": self.version,
                "zone": self.zone,
                "slots": self.slots,
            },
            "status": {
                "state": self.state,
                "sequence": self.sequence,
                "coldRemainingS": 0,
            },
        }
        return json.dumps(document).encode()

    def send_report(self, body: bytes) -> None:
        """Send a report to the node, perhaps later than it was made."""
        self._send(b"PUT", body)

    def sign_off(self) -> Deferred:
        """Tell the node that this worker will not return; fires after the answer."""
        return self._send(b"DELETE", b"")

    def leave(self) -> Deferred:
        """Sign off without having drained, and serve on until stopped."""
        if self._reporter.running:
            self._reporter.stop()
        self.state = "leaving"
        return self.sign_off()

    def drain(self) -> None:
        """Report that this worker is about to leave."""
        self.state = "draining"
        self.report()

    def _send(self, method: bytes, body: bytes) -> Deferred:
        target = DIALECT.worker_path + self.worker_id.encode()
        data = format_request(method, target, self.report_address, [], body)
        state = self.state
        done = Fetch(self.pool, self.report_address, data).start(REPORT_TIMEOUT_S)
        return done.addCallback(self._handle_report_result, state)

    def _handle_report_result(self, result: Any, state: str) -> None:
        is_accepted = not isinstance(result, ErrorResult) and result.status == 200
        is_leaving = state in ("draining", "leaving")
        if is_accepted and is_leaving and not self.acknowledged_at:
            self.acknowledged_at = self.clock.seconds()

    def _receive(self, exchange: Exchange) -> None:
        parts: list[bytes] = []
        exchange.receive(parts.append, lambda: self._process(exchange, b"".join(parts)))

    def _process(self, exchange: Exchange, body: bytes) -> None:
        if exchange.target == HEALTH_PATH:
            status = 200 if self.state == "ready" else 503
            fields = [(DIALECT.answering_worker_id, self.worker_id.encode())]
            exchange.respond(status, fields)
            return
        expected_id = get_header(exchange.headers, DIALECT.worker_id)
        if expected_id is not None and expected_id != self.worker_id.encode():
            self._record_arrival(exchange, body, False)
            exchange.respond(421, [])
            return
        if self.running >= 2 * self.slots:
            self._record_arrival(exchange, body, False)
            exchange.respond(503, OVERLOAD_FIELDS + self._describe_itself())
            return
        self._repeat_refusal(exchange.connection)
        arrival = self._record_arrival(exchange, body, True)
        self.running += 1
        load_factor = max(1.0, self.running / self.slots)
        work_s = self.work_s * self.troubles.slow_factor * load_factor
        work_s *= 0.5 + self.random.random()
        if exchange.target.startswith(LONG_TARGET):
            work_s = LONG_WORK_S * self.random.random()
        self.clock.callLater(work_s, self._respond, exchange, arrival)

    def _describe_itself(self) -> Headers:
        """Return the fields that say what the worker takes, and whether it leaves."""
        fields = []
        if self.limit_per_s:
            self.limit_named_at = self.limit_named_at or self.clock.seconds()
            fields.append((LIMIT_FIELD, b"%.2f" % self.limit_per_s))
        if self.state in ("draining", "leaving"):
            fields.append((LEAVING_FIELD, b"1"))
        return fields

    def _repeat_refusal(self, connection: Any) -> None:
        rate = self.troubles.repeat_rate
        is_used = connection in self._used_connections
        if rate and is_used and self.random.random() < rate:
            connection.write(REPEATED_REFUSAL)
        self._used_connections.add(connection)

    def _record_arrival(
        self, exchange: Exchange, body: bytes, has_run: bool
    ) -> Arrival:
        attempt_id = get_header(exchange.headers, DIALECT.attempt_id) or b""
        arrival = Arrival(
            attempt_id.decode("latin-1"),
            self.clock.seconds(),
            self.worker_id,
            self.service,
            self.version,
            exchange.target.decode("latin-1"),
            digest_body(body),
            has_run,
        )
        self.on_arrival(arrival)
        return arrival

    def _respond(self, exchange: Exchange, arrival: Arrival) -> None:
        self.running -= 1
        if exchange.is_finished or exchange.is_closed:
            return
        faults = self.troubles
        draw = self.random.random()
        fields = [(DIALECT.attempt_id, arrival.attempt_id.encode())]
        fields += self._describe_itself()
        response_body = make_response_body(
            arrival.attempt_id, arrival.target, arrival.digest
        )
        if draw < faults.abort_rate:
            exchange.abort()
        elif draw < faults.abort_rate + faults.truncation_rate:
            exchange.start(200, fields, len(response_body))
            exchange.write(response_body[: len(response_body) // 2])
            exchange.abort()
        elif draw < faults.abort_rate + faults.truncation_rate + faults.error_rate:
            self.failed_at.append(self.clock.seconds())
            fields.append((DIALECT.signature, make_signature(b"failed")))
            exchange.respond(500, fields, b"failed")
        else:
            fields.append((DIALECT.signature, make_signature(response_body)))
            exchange.respond(200, fields, response_body)
