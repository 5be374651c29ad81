"""Call path task of a node."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bamboocove.call import DEADLINE_HEADER, Call
from bamboocove.coordination.admission import CallQueue, is_admitted
from bamboocove.coordination.directory import Directory
from bamboocove.coordination.retries import RetryBudget, plan_retry
from bamboocove.coordination.routing import (
    Candidates,
    is_panicking,
    match_route,
    pick_upstream,
    pick_version,
)
from bamboocove.coordination.suspects import SuspectTable
from bamboocove.coordination.windows import EvidenceWindows
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import log_event
from bamboocove.metrics import Metrics
from bamboocove.protocol.messages import SuspectNotice
from bamboocove.settings import Settings
from bamboocove.state.evidence import Evidence
from bamboocove.state.members import MemberTable
from bamboocove.state.snapshot import ActiveSnapshot, Snapshot
from bamboocove.state.upstreams import (
    Upstream,
    eject,
    format_address,
    record_failure,
    record_success,
)
from bamboocove.transport.calls import SWEEP_S, CallServer
from bamboocove.transport.clients import ClientConnection, ConnectionPool
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import get_header

SERVICE_HEADER = b"bamboocove-service"
KEY_HEADER = b"idempotency-key"
CONNECT_TIMEOUT_S = 1.0
# A worker's process that is gone refuses connections at once; a host that is
# gone does not answer.
PROBE_TIMEOUT_S = 0.25
BACKLOG = 1024


def _never(move_id: str) -> bool:
    return False


class Proxy:
    """Accepts calls and forwards each to a worker.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    active : ActiveSnapshot
        Configuration in force, read on each call.
    members : MemberTable
        Records of the fleet, read on each call.
    table : TableClient
        Table service, for idempotency keys.
    metrics : Metrics
        Counters and latency histograms.
    clock : reactor
        Source of time and connections.
    random : random.Random
        Source of choices.
    notify_suspect : callable
        Spreads a ``SuspectNotice`` to the peers.
    is_braked : callable, optional
        Whether this node's brake is set for a move identifier.

    Attributes
    ----------
    in_flight : int
        Calls in progress.
    """

    def __init__(
        self,
        settings: Settings,
        active: ActiveSnapshot,
        members: MemberTable,
        table: Any,
        metrics: Metrics,
        clock: Any,
        random: Any,
        notify_suspect: Callable[[SuspectNotice], None],
        is_braked: Callable[[str], bool] = _never,
    ):
        self._settings = settings
        self._active = active
        self._metrics = metrics
        self._clock = clock
        self._random = random.random
        self._notify_suspect = notify_suspect
        self._is_braked = is_braked
        self._node_id = settings.get("node", "id")
        self._directory = Directory(members, settings.get("node", "zone"))
        self._budget = RetryBudget(settings.get("calls", "retry_ratio"))
        self._suspects = SuspectTable()
        window_s = settings.get("moves", "window_s")
        self._windows = EvidenceWindows(self._node_id, window_s)
        self._queues_by_service: dict[str, CallQueue] = {}
        self._server = CallServer(
            self._on_request, settings.get("calls", "max_body_bytes"), clock
        )
        self.pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
        self._port: Any = None
        self._sweeper = LoopingCall(self._sweep)
        self._sweeper.clock = clock
        self._is_draining = False
        self._drained: Deferred | None = None
        self.in_flight = 0

    # Life cycle.

    async def start(self) -> int:
        """Listen for calls and return the port."""
        host = self._settings.get("node", "host")
        port = self._settings.get("node", "call_port")
        self._port = self._clock.listenTCP(port, self._server, BACKLOG, host)
        self._sweeper.start(SWEEP_S, now=False)
        return self._port.getHost().port

    async def drain(self) -> None:
        """Refuse new calls and wait for those in flight."""
        self._is_draining = True
        self._server.close_idle()
        if self.in_flight:
            if self._drained is None:
                self._drained = Deferred()
            await self._drained
        if self._port is not None:
            port, self._port = self._port, None
            await port.stopListening()
            self._sweeper.stop()
        self._server.close_idle()
        self.pool.close()

    def post(self, message: SuspectNotice) -> None:
        """Take a message of a peer."""
        self._suspects.add_notice(message, self._clock.seconds())

    def _sweep(self) -> None:
        now = self._clock.seconds()
        self._server.sweep(now)
        self.pool.sweep(now)
        self._suspects.expire(now)

    def take_evidence(self, now: float) -> list[Evidence]:
        """Return the evidence of finished windows since the last call."""
        return self._windows.take(self._active.current, now)

    def get_upstream_report(self) -> list[dict]:
        """Return what is known of each worker, for operators."""
        now = self._clock.seconds()
        return [
            {
                "service": upstream.service,
                "version": upstream.version,
                "address": format_address(upstream.address),
                "zone": upstream.zone,
                "state": upstream.state,
                "in_flight": upstream.in_flight,
                "connection_share": upstream.connection_share,
                "success_average": round(upstream.success_average, 3),
                "ejected_s": round(max(0.0, upstream.ejected_until - now), 3),
            }
            for upstream in self._directory.table.upstreams_by_address.values()
        ]

    # Request.

    def _on_request(self, exchange: Exchange) -> None:
        snapshot = self._active.current
        if self._is_draining:
            exchange.is_keep_alive = False
            self._refuse(exchange, ErrorKind.DRAINING, "the node is stopping")
            return
        if not snapshot.revision:
            self._refuse(exchange, ErrorKind.NOT_READY, "no configuration yet")
            return
        service = get_header(exchange.headers, SERVICE_HEADER)
        match = match_route(
            snapshot,
            None if service is None else service.decode("latin-1"),
            exchange.method.decode("ascii"),
            exchange.target.partition(b"?")[0].decode("latin-1"),
        )
        if isinstance(match, ErrorResult):
            self._refuse(exchange, match.kind, match.reason)
            return
        now = self._clock.seconds()
        timeout_s = _read_timeout(exchange, match.route.timeout_s)
        if isinstance(timeout_s, ErrorResult):
            self._refuse(exchange, timeout_s.kind, timeout_s.reason)
            return
        call = Call(
            self, exchange, match, snapshot, now, now + timeout_s, self._random()
        )
        self._begin(call, timeout_s)

    def _refuse(self, exchange: Exchange, kind: ErrorKind, reason: str) -> None:
        self._metrics.count(f"refused.{kind.value}")
        exchange.refuse(ErrorResult(kind, reason))

    def _begin(self, call: Call, timeout_s: float) -> None:
        self.in_flight += 1
        self._budget.earn()
        call.exchange.on_closed = lambda error: self._on_closed(call, error)
        call.timer = self._clock.callLater(timeout_s, self._on_deadline, call)
        self._route(call)

    def _route(self, call: Call) -> None:
        """Choose a version and a worker, and connect."""
        now = self._clock.seconds()
        snapshot = self._active.current
        service = call.match.service
        if service not in snapshot.services_by_name:
            self._fail(call, ErrorKind.NO_ROUTE, f"service {service} was removed")
            return
        call.snapshot = snapshot
        self._directory.refresh(snapshot, now)
        upstream = self._pick(call, snapshot, now)
        if not upstream:
            if upstream.kind is ErrorKind.OVERLOADED:
                self._enqueue(call)
            else:
                self._fail(call, upstream.kind, upstream.reason)
            return
        call.upstream = upstream
        call.version = upstream.version
        call.attempts += 1
        upstream.in_flight += 1
        connection = self.pool.take(upstream.address)
        if connection is not None:
            call.dispatch(connection, now)
            return
        call.attempt_at = now
        call.connector = self.pool.connect(
            upstream.address,
            lambda connection: self._on_connected(call, connection),
            lambda reason: self._on_connect_failed(call, reason),
        )

    def _pick(self, call: Call, snapshot: Snapshot, now: float) -> Any:
        service = call.match.service
        split = snapshot.get_split(service)
        move = snapshot.moves_by_service.get(service)
        if move is not None and self._is_braked(move.move_id):
            split = {move.from_version: 1.0}
        version = pick_version(split, call.fraction)
        upstream = self._pick_of(call, version, now)
        if upstream or move is None or version != move.to_version:
            return upstream
        # The old version takes calls that the new one cannot; never the other
        # way round, which would raise the share of the new version.
        if move.from_version in split:
            return self._pick_of(call, move.from_version, now)
        return upstream

    def _pick_of(self, call: Call, version: str, now: float) -> Any:
        service = call.match.service
        candidates = self._directory.get_candidates(service, version)
        request_class = call.match.route.request_class
        if request_class == "deferrable" and not _has_room(candidates, request_class):
            return ErrorResult(ErrorKind.OVERLOADED, "deferrable calls wait")
        return pick_upstream(candidates, now, self._random, call.refused_by)

    def _enqueue(self, call: Call) -> None:
        service = call.match.service
        queue = self._queues_by_service.get(service)
        if queue is None:
            limit = self._settings.get("calls", "queue")
            queue = self._queues_by_service[service] = CallQueue(limit)
        call.is_waiting = True
        refused = queue.add(call, call.match.route.request_class)
        if refused is not None:
            refused.is_waiting = False
            self._fail(refused, ErrorKind.OVERLOADED, "all workers are busy")

    def _drain_queue(self, service: str) -> None:
        queue = self._queues_by_service.get(service)
        if not queue:
            return
        call = queue.take()
        call.is_waiting = False
        self._route(call)

    # Attempt.

    def _on_connected(self, call: Call, connection: ClientConnection) -> None:
        if call.is_done:
            connection.abort()
            return
        call.dispatch(connection, self._clock.seconds())

    def _on_connect_failed(self, call: Call, reason: str) -> None:
        if call.is_done:
            return
        call.connector = None
        now = self._clock.seconds()
        self._eject(call.upstream, now, reason)
        self._retry(call, False, reason)

    def _eject(self, upstream: Upstream, now: float, reason: str) -> None:
        self._log_ejection(upstream, eject(upstream, now), reason)
        candidates = self._directory.get_candidates(upstream.service, upstream.version)
        if is_panicking(candidates, now):
            log_event(403, service=upstream.service)

    def _log_ejection(self, upstream: Upstream, seconds: float, reason: str) -> None:
        if seconds:
            log_event(
                401,
                address=format_address(upstream.address),
                service=upstream.service,
                seconds=seconds,
                reason=reason,
            )

    def on_refused(self, call: Call, retry_after_s: float) -> None:
        """Go on after a worker refused a call before it started work."""
        upstream = call.upstream
        upstream.refused_until = self._clock.seconds() + retry_after_s
        self._retry(call, True, "worker refused the call")

    def _retry(self, call: Call, is_shed: bool, reason: str) -> None:
        now = self._clock.seconds()
        upstream = call.upstream
        self._record(call, now, True)
        self._leave_upstream(call)
        call.refused_by.append(upstream)
        delay_s = None
        if call.is_replayable:
            delay_s = plan_retry(
                self._budget, call.attempts, call.deadline - now, is_shed, self._random
            )
        if delay_s is None:
            self._fail(call, ErrorKind.UPSTREAM_REFUSED, reason)
            return
        self._metrics.count("retries")
        self._clock.callLater(delay_s, self._route_again, call)

    def _route_again(self, call: Call) -> None:
        if not call.is_done:
            self._route(call)

    # End.

    def on_completed(self, call: Call) -> None:
        """Count a call whose response was passed on."""
        now = self._clock.seconds()
        is_failure = call.status >= 500
        if is_failure:
            seconds = record_failure(call.upstream, now)
            self._log_ejection(call.upstream, seconds, f"status {call.status}")
        else:
            record_success(call.upstream)
        self._record(call, now, is_failure)
        self._end(call, now)

    def on_lost(self, call: Call, error: ErrorResult) -> None:
        """Answer a call whose worker was lost after dispatch."""
        now = self._clock.seconds()
        self._eject(call.upstream, now, error.reason)
        self._record(call, now, True)
        call.fail(error)
        self._end(call, now)

    def _on_deadline(self, call: Call) -> None:
        if call.is_done:
            return
        call.timer = None
        now = self._clock.seconds()
        kind = ErrorKind.DEADLINE_BEFORE_DISPATCH
        if call.is_dispatched:
            kind = ErrorKind.DEADLINE_AFTER_DISPATCH
            record_failure(call.upstream, now)
            self._record(call, now, True)
        self._fail(call, kind, "the deadline has passed")

    def _on_closed(self, call: Call, error: ErrorResult) -> None:
        if call.is_done:
            return
        now = self._clock.seconds()
        call.fail(error)
        self._end(call, now)

    def _fail(self, call: Call, kind: ErrorKind, reason: str) -> None:
        self._metrics.count(f"refused.{kind.value}")
        call.fail(ErrorResult(kind, reason))
        self._end(call, self._clock.seconds())

    def _end(self, call: Call, now: float) -> None:
        if call.is_done:
            return
        call.is_done = True
        call.release()
        route = call.match.route
        service = call.match.service
        if call.is_waiting:
            call.is_waiting = False
            self._queues_by_service[service].discard(call, route.request_class)
        self._metrics.record_latency(route.request_class, now - call.started_at)
        self._leave_upstream(call)
        self._leave()

    def _leave_upstream(self, call: Call) -> None:
        upstream, call.upstream = call.upstream, None
        if upstream is not None:
            upstream.in_flight -= 1
            if self._queues_by_service:
                self._drain_queue(upstream.service)

    def _leave(self) -> None:
        self.in_flight -= 1
        if not self.in_flight and self._drained is not None:
            drained, self._drained = self._drained, None
            drained.callback(None)

    def _record(self, call: Call, now: float, is_failure: bool) -> None:
        move = call.snapshot.moves_by_service.get(call.match.service)
        if move is None:
            return
        route = call.match.route
        self._windows.record(
            move.move_id,
            call.snapshot.revision,
            route.name,
            route.request_class,
            call.version == move.to_version,
            is_failure,
            now - call.attempt_at,
            now,
        )


def _read_timeout(exchange: Exchange, timeout_s: float) -> float | ErrorResult:
    value = get_header(exchange.headers, DEADLINE_HEADER)
    if value is None:
        return timeout_s
    if not value.isdigit() or len(value) > 9:
        reason = "bamboocove-deadline-ms is not a number of milliseconds"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    if not int(value):
        return ErrorResult(ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time is left")
    return min(timeout_s, int(value) / 1000)


def _has_room(candidates: Candidates, request_class: str) -> bool:
    in_flight = 0
    capacity = 0
    for zone in (candidates.near, candidates.far):
        for upstream in zone:
            in_flight += upstream.in_flight
            capacity += upstream.connection_share
    return is_admitted(request_class, in_flight, capacity) or not capacity
