"""HTTP proxy of a node: accepts calls and forwards them to workers."""

import gc
from collections.abc import Callable
from typing import Any

from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bamboocove.call import DEADLINE_HEADER, Call
from bamboocove.claims import ClaimManager
from bamboocove.coordination.directory import WorkerDirectory
from bamboocove.coordination.fingerprints import FINGERPRINT_BODY_BYTES
from bamboocove.coordination.idempotency import Claim, Outcome, check_key
from bamboocove.coordination.routing import match_route
from bamboocove.coordination.suspects import (
    SUSPECT_TTL_S,
    UNCONFIRMED_TTL_S,
    SuspectTable,
)
from bamboocove.coordination.windows import EvidenceWindows
from bamboocove.dispatcher import Dispatcher
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import log_event
from bamboocove.metrics import Metrics
from bamboocove.protocol.messages import SuspectNotice
from bamboocove.settings import Settings
from bamboocove.state.evidence import Evidence
from bamboocove.state.members import MemberTable
from bamboocove.state.snapshot import ActiveSnapshot
from bamboocove.state.upstreams import Upstream, format_address
from bamboocove.transport.calls import SWEEP_INTERVAL_S, CallServer
from bamboocove.transport.clients import ClientConnection
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import get_header

SERVICE_HEADER = b"bamboocove-service"
KEY_HEADER = b"idempotency-key"
LISTEN_BACKLOG = 1024


def _is_never_braked(move_id: str) -> bool:
    return False


class Proxy:
    """Accepts calls, claims idempotency keys and forwards calls to workers.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    active : ActiveSnapshot
        Active configuration, read on each call.
    members : MemberTable
        Fleet membership, read on each call.
    table : TableClient
        Table service that stores idempotency keys.
    metrics : Metrics
        Counters and latency histograms.
    clock : reactor
        Provides the time, timers and connections.
    random : random.Random
        Random number generator for routing and retries.
    notify_suspect : callable
        Broadcasts a ``SuspectNotice`` to the peers.
    is_braked : callable, optional
        Whether this node's brake is set for a move identifier.
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
        is_braked: Callable[[str], bool] = _is_never_braked,
    ):
        self._settings = settings
        self._active = active
        self._metrics = metrics
        self._clock = clock
        self._random = random.random
        self._notify_suspect = notify_suspect
        node_id = settings.get("node", "id")
        self._suspects = SuspectTable()
        self._claims = ClaimManager(table, node_id, clock, self._check_drained)
        self._dispatcher = Dispatcher(
            active,
            WorkerDirectory(members, settings.get("node", "zone")),
            EvidenceWindows(node_id, settings.get("moves", "window_s")),
            metrics,
            clock,
            self._random,
            settings.get("calls", "queue"),
            settings.get("calls", "retry_ratio"),
            is_braked,
            self._check_suspect,
            self._on_call_ended,
            self._on_worker_lost,
        )
        self._server = CallServer(
            self._on_request, settings.get("calls", "max_body_bytes"), clock
        )
        self._open_calls = 0
        self._port: Any = None
        self._sweeper = LoopingCall(self._sweep)
        self._sweeper.clock = clock
        self._is_draining = False
        self._drained: Deferred | None = None

    @property
    def in_flight(self) -> int:
        """Number of calls and of background claim operations in progress."""
        return self._open_calls + self._claims.pending

    async def start(self) -> int:
        """Listen for calls; return the port."""
        host = self._settings.get("node", "host")
        port = self._settings.get("node", "call_port")
        self._port = self._clock.listenTCP(port, self._server, LISTEN_BACKLOG, host)
        self._sweeper.start(SWEEP_INTERVAL_S, now=False)
        # A full garbage collection over all objects created at startup pauses
        # calls for 30 to 43 ms at 50 MB resident. These objects live as long as
        # the process, so they are excluded from later collections.
        gc.freeze()
        return self._port.getHost().port

    async def drain(self) -> None:
        """Refuse new calls, wait for those in flight and stop listening."""
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
        self._dispatcher.pool.close()

    def _check_drained(self) -> None:
        if not self.in_flight and self._drained is not None:
            drained, self._drained = self._drained, None
            drained.callback(None)

    def _sweep(self) -> None:
        now = self._clock.seconds()
        self._server.sweep(now)
        self._dispatcher.sweep(now)
        self._suspects.expire(now)

    # Interface to other tasks.

    def post(self, message: SuspectNotice) -> None:
        """Record a suspect notice from a peer."""
        self._suspects.add_notice(message, self._clock.seconds())

    def take_evidence(self, now: float) -> list[Evidence]:
        """Return the evidence of windows that ended since the previous take."""
        return self._dispatcher.windows.take(self._active.current, now)

    def get_upstream_report(self) -> list[dict]:
        """Return the state of each worker as JSON objects for operators."""
        now = self._clock.seconds()
        table = self._dispatcher.directory.table
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
            for upstream in table.upstreams_by_address.values()
        ]

    def _on_request(self, exchange: Exchange) -> None:
        call = self._make_call(exchange)
        if isinstance(call, ErrorResult):
            self._metrics.count(f"refused.{call.kind.value}")
            exchange.respond_with_error(call)
            return
        self._open_calls += 1
        dispatcher = self._dispatcher
        dispatcher.budget.earn()
        exchange.on_closed = lambda error: dispatcher.on_closed(call, error)
        timeout_s = call.deadline - call.started_at
        call.timer = self._clock.callLater(timeout_s, dispatcher.on_deadline, call)
        if exchange.is_complete and not exchange.held:
            self._claim_or_route(call)
        else:
            # Dispatch waits until enough of the body is buffered to identify the
            # request, which also allows a retry after a refusal.
            call.collect_fingerprint_body(lambda: self._claim_or_route(call))

    def _make_call(self, exchange: Exchange) -> Call | ErrorResult:
        snapshot = self._active.current
        if self._is_draining:
            exchange.close_connection()
            return ErrorResult(ErrorKind.DRAINING, "the node is stopping")
        if not snapshot.revision:
            return ErrorResult(ErrorKind.NOT_READY, "no configuration yet")
        service = get_header(exchange.headers, SERVICE_HEADER)
        match = match_route(
            snapshot,
            None if service is None else service.decode("latin-1"),
            exchange.method.decode("ascii"),
            exchange.target.partition(b"?")[0].decode("latin-1"),
        )
        if isinstance(match, ErrorResult):
            return match
        timeout_s = _read_timeout(exchange, match.route.timeout_s)
        if isinstance(timeout_s, ErrorResult):
            return timeout_s
        key = None
        if not match.route.idempotent:
            key = get_header(exchange.headers, KEY_HEADER)
            error = check_key(key)
            if error is not None:
                return error
        now = self._clock.seconds()
        return Call(
            self._dispatcher,
            exchange,
            match,
            snapshot,
            now,
            now + timeout_s,
            self._random(),
            key,
        )

    def _claim_or_route(self, call: Call) -> None:
        if call.is_done:
            return
        if call.key is None:
            self._dispatcher.route(call)
            return
        error = self._check_suspect(call)
        if error is not None:
            self._dispatcher.fail(call, error)
            return
        self._claims.run_in_background(self._claim(call))

    async def _claim(self, call: Call) -> None:
        exchange = call.exchange
        length = exchange.length or 0
        if length < 0 and call.is_body_ended:
            length = call.body_bytes
        # Always the same prefix, whatever chunks the body arrived in, so that a
        # repeated request has the same digest.
        body = b"".join(call.body)[:FINGERPRINT_BODY_BYTES]
        request = (exchange.method, exchange.target, length, body)
        timeout_s = call.deadline - self._clock.seconds()
        result = await self._claims.claim(
            call.match.service, call.key.decode("ascii"), request, timeout_s
        )
        if call.is_done:
            if isinstance(result, Claim):
                await self._claims.release(result)
        elif isinstance(result, Claim):
            call.claim = result
            self._dispatcher.route(call)
        elif isinstance(result, Outcome):
            call.respond_with_outcome(result)
            self._dispatcher.end(call)
        else:
            self._dispatcher.fail(call, result)

    def _on_call_ended(self, call: Call) -> None:
        self._open_calls -= 1
        if call.is_completed and call.key is None:
            now = self._clock.seconds()
            self._suspects.record_completed(call.get_subject(), now)
        if call.claim is not None:
            self._claims.run_in_background(self._settle_claim(call, call.claim))
        if self._drained is not None:
            self._check_drained()

    async def _settle_claim(self, call: Call, claim: Claim) -> None:
        if call.is_dispatched:
            outcome = call.get_outcome() if call.is_completed else None
            await self._claims.record(claim, outcome)
            return
        # Release before responding: the caller may reuse the key as soon as it
        # has the response.
        await self._claims.release(claim)
        if call.error is not None:
            call.fail(call.error)

    def _check_suspect(self, call: Call) -> ErrorResult | None:
        suspects = self._suspects
        if call.has_lost_worker or not suspects.suspects_by_fingerprint:
            return None
        if suspects.is_blocked(call.get_subject(), self._clock.seconds()):
            reason = "workers were lost while they ran this request"
            return ErrorResult(ErrorKind.SUSPECT_REQUEST, reason)
        return None

    def _on_worker_lost(
        self, call: Call, upstream: Upstream, has_second_worker: bool
    ) -> bool:
        """Record a lost worker; return whether the call is sent to a second one."""
        if call.is_responding:
            return False
        now = self._clock.seconds()
        move = call.snapshot.moves_by_service.get(call.match.service)
        is_new_version = move is not None and call.version == move.to_version
        subject = call.get_subject()
        is_retried = has_second_worker and self._suspects.may_retry(subject, now)
        notice = self._suspects.record_worker_lost(
            subject, upstream.address, is_new_version, now
        )
        if notice is None:
            return is_retried
        log_event(402, fingerprint=notice.fingerprint, seconds=SUSPECT_TTL_S)
        if is_retried:
            # Peers block the request only until the second worker has responded.
            self._notify_suspect(evolve(notice, ttl_s=UNCONFIRMED_TTL_S))
        elif notice.crashes > 1:
            self._notify_suspect(notice)
        else:
            self._probe_lost_worker(upstream, notice)
        return is_retried

    def _probe_lost_worker(self, upstream: Upstream, notice: SuspectNotice) -> None:
        """Connect to a lost worker to see if it crashed, and notify the peers."""

        def on_alive(connection: ClientConnection) -> None:
            connection.abort()
            upstream.ejected_until = 0.0
            updated = self._suspects.record_worker_alive(notice, self._clock.seconds())
            self._notify_suspect(updated)

        self._dispatcher.pool.connect(
            upstream.address, on_alive, lambda reason: self._notify_suspect(notice)
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
