"""Selects a worker for each call and handles the result of each attempt."""

from collections.abc import Callable
from typing import Any

from bamboocove.call import Call
from bamboocove.coordination.admission import CallQueue, has_capacity
from bamboocove.coordination.directory import WorkerDirectory
from bamboocove.coordination.retries import RetryBudget, plan_retry
from bamboocove.coordination.routing import (
    is_in_panic_mode,
    pick_upstream,
    pick_version,
)
from bamboocove.coordination.windows import EvidenceWindows
from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult
from bamboocove.events import log_event
from bamboocove.metrics import Metrics
from bamboocove.state.snapshot import ActiveSnapshot, Snapshot
from bamboocove.state.upstreams import (
    Upstream,
    eject,
    format_address,
    record_failure,
    record_success,
)
from bamboocove.transport.clients import MAX_IDLE_S, ClientConnection, ConnectionPool

# Shorter than the timeout of prompt routes, so that a call can still be sent to
# another worker when the host is down. Workers accept a connection in about 1 ms.
CONNECT_TIMEOUT_S = 0.25
# If the worker closes an idle connection just as a request is written to it, the
# outcome of the request is unknown. A non-idempotent call therefore opens a new
# connection instead of reusing one that was idle for longer than this.
KEYED_MAX_IDLE_S = 0.5


class Dispatcher:
    """Routes calls to workers, with queueing, retries and outlier ejection.

    Parameters
    ----------
    active : ActiveSnapshot
        Active configuration.
    directory : WorkerDirectory
        Workers by service and version.
    windows : EvidenceWindows
        Call outcomes per move and window.
    metrics : Metrics
        Counters and latency histograms.
    clock : reactor
        Provides the time, timers and connections.
    random : callable
        Returns a float from 0 to 1.
    queue_limit : int
        Maximum number of queued calls per service.
    retry_ratio : float
        Retries allowed per call, as a fraction.
    is_braked : callable
        Whether the brake is set for a move identifier.
    check_call : callable
        Returns an ErrorResult for a call that must not be dispatched, or None.
    on_call_ended : callable
        Called with each call that ended.
    on_worker_lost : callable
        Called with a call, the worker whose connection failed after dispatch,
        and whether a second worker is available; returns whether the call is
        sent to the second worker.
    """

    def __init__(
        self,
        active: ActiveSnapshot,
        directory: WorkerDirectory,
        windows: EvidenceWindows,
        metrics: Metrics,
        clock: Any,
        random: Callable[[], float],
        queue_limit: int,
        retry_ratio: float,
        is_braked: Callable[[str], bool],
        check_call: Callable[[Call], ErrorResult | None],
        on_call_ended: Callable[[Call], None],
        on_worker_lost: Callable[[Call, Upstream, bool], bool],
    ):
        self.directory = directory
        self.windows = windows
        self.budget = RetryBudget(retry_ratio)
        self.pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
        self._active = active
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._queue_limit = queue_limit
        self._is_braked = is_braked
        self._check_call = check_call
        self._on_call_ended = on_call_ended
        self._on_worker_lost = on_worker_lost
        self._queues_by_service: dict[str, CallQueue] = {}

    def route(self, call: Call) -> None:
        """Select a version and a worker, and connect to the worker."""
        now = self._clock.seconds()
        snapshot = self._active.current
        call.snapshot = snapshot
        if call.match.service not in snapshot.services_by_name:
            reason = f"service {call.match.service} was removed"
            self.fail(call, ErrorResult(ErrorKind.NO_ROUTE, reason))
            return
        error = self._check_call(call)
        if error is not None:
            self.fail(call, error)
            return
        self.directory.refresh(snapshot, now)
        upstream = self._pick(call, snapshot, now)
        if isinstance(upstream, ErrorResult):
            if upstream.kind is ErrorKind.OVERLOADED:
                self._enqueue(call)
            else:
                self.fail(call, upstream)
            return
        self._connect(call, upstream, now)

    def _pick(self, call: Call, snapshot: Snapshot, now: float) -> Any:
        service = call.match.service
        split = snapshot.get_traffic_split(service)
        move = snapshot.moves_by_service.get(service)
        # A retry after a lost worker uses the old version, so that a fault of the
        # new version cannot cost the call a second worker.
        if move is not None and (call.has_lost_worker or self._is_braked(move.move_id)):
            split = {move.from_version: 1.0}
        version = pick_version(split, call.fraction)
        upstream = self._pick_of_version(call, version, now)
        if upstream or move is None or version != move.to_version:
            return upstream
        # Calls fall back from the new version to the old one, never in the other
        # direction, which would raise the share of the new version.
        if move.from_version in split:
            return self._pick_of_version(call, move.from_version, now)
        return upstream

    def _pick_of_version(self, call: Call, version: str, now: float) -> Any:
        candidates = self.directory.get_candidates(call.match.service, version)
        request_class = call.match.route.request_class
        if request_class == "deferrable" and not has_capacity(
            candidates, request_class
        ):
            return ErrorResult(ErrorKind.OVERLOADED, "deferrable calls wait")
        return pick_upstream(candidates, now, self._random, call.excluded_upstreams)

    def _connect(self, call: Call, upstream: Upstream, now: float) -> None:
        call.upstream = upstream
        call.version = upstream.version
        call.attempts += 1
        call.attempt_started_at = now
        upstream.in_flight += 1
        max_idle_s = MAX_IDLE_S if call.key is None else KEYED_MAX_IDLE_S
        connection = self.pool.take(upstream.address, max_idle_s)
        if connection is not None:
            call.dispatch(connection, now)
            return
        call.connector = self.pool.connect(
            upstream.address,
            lambda connection: self._on_connected(call, connection),
            lambda reason: self._on_connect_failed(call, reason),
        )

    def _on_connected(self, call: Call, connection: ClientConnection) -> None:
        if call.is_done:
            connection.abort()
            return
        call.dispatch(connection, self._clock.seconds())

    def _enqueue(self, call: Call) -> None:
        service = call.match.service
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = CallQueue(self._queue_limit)
        request_class = call.match.route.request_class
        call.is_queued = True
        if call.was_queued:
            queue.put_back(call, request_class)
            return
        rejected = queue.add(call, request_class)
        if rejected is not None:
            error = ErrorResult(ErrorKind.OVERLOADED, "all workers are busy")
            rejected.is_queued = False
            self.fail(rejected, error)

    def dispatch_next_queued(self, service: str) -> bool:
        """Route the next queued call; return whether it left the queue."""
        queue = self._queues_by_service.get(service)
        if not queue:
            return False
        call = queue.take()
        call.is_queued = False
        call.was_queued = True
        self.route(call)
        return not call.is_queued

    def sweep(self, now: float) -> None:
        """Close idle connections; route queued calls to workers that became ready."""
        self.pool.sweep(now)
        for service in self._queues_by_service:
            while self.dispatch_next_queued(service):
                pass

    # Failures before a worker ran the request.

    def _on_connect_failed(self, call: Call, reason: str) -> None:
        if call.is_done:
            return
        call.connector = None
        now = self._clock.seconds()
        self._eject(call.upstream, now, reason)
        self._retry(call, False, reason)

    def on_refused(self, call: Call, retry_after_s: float) -> None:
        """Retry or fail a call that a worker refused before running it."""
        call.upstream.refused_until = self._clock.seconds() + retry_after_s
        self._retry(call, True, "worker refused the call")

    def _retry(self, call: Call, is_shed: bool, reason: str) -> None:
        now = self._clock.seconds()
        self._record(call, now, True)
        call.excluded_upstreams.append(call.upstream)
        self._release_upstream(call)
        delay_s = None
        # Under load shedding, retries are left to the higher request classes.
        is_shed_deferrable = is_shed and call.match.route.request_class == "deferrable"
        if call.is_replayable and not is_shed_deferrable:
            remaining_s = call.deadline - now
            delay_s = plan_retry(
                self.budget, call.attempts, remaining_s, is_shed, self._random
            )
        if delay_s is None:
            self.fail(call, ErrorResult(ErrorKind.UPSTREAM_REFUSED, reason))
            return
        self._metrics.count("retries")
        if delay_s:
            self._clock.callLater(delay_s, self._route_again, call)
        else:
            self.route(call)

    def _route_again(self, call: Call) -> None:
        if not call.is_done:
            self.route(call)

    def _eject(self, upstream: Upstream, now: float, reason: str) -> None:
        seconds = eject(upstream, now)
        self._log_ejection(upstream, seconds, reason)
        if not seconds:
            return
        candidates = self.directory.get_candidates(upstream.service, upstream.version)
        if is_in_panic_mode(candidates, now):
            log_event(403, service=upstream.service)

    def _log_ejection(self, upstream: Upstream, seconds: float, reason: str) -> None:
        if seconds:
            address = format_address(upstream.address)
            service = upstream.service
            log_event(
                401, address=address, service=service, seconds=seconds, reason=reason
            )

    def on_completed(self, call: Call) -> None:
        """Record the result of a call whose response was forwarded completely."""
        now = self._clock.seconds()
        is_failure = call.status >= 500
        if is_failure:
            seconds = record_failure(call.upstream, now)
            self._log_ejection(call.upstream, seconds, f"status {call.status}")
        else:
            record_success(call.upstream)
        self._record(call, now, is_failure)
        self.end(call)

    def on_lost(self, call: Call, error: ErrorResult) -> None:
        """Handle a worker connection that failed after dispatch.

        An idempotent call may be sent to one more worker. For any other call,
        the caller is told that the outcome is unknown.
        """
        now = self._clock.seconds()
        upstream = call.upstream
        self._eject(upstream, now, error.reason)
        self._record(call, now, True)
        second = self._find_second_worker(call, now)
        if self._on_worker_lost(call, upstream, second is not None):
            call.has_lost_worker = True
            call.is_dispatched = False
            self._release_upstream(call)
            self._metrics.count("retries")
            self._connect(call, second, now)
            return
        call.fail(error)
        self.end(call)

    def _find_second_worker(self, call: Call, now: float) -> Upstream | None:
        """Return a second worker if the call may be retried after a lost worker.

        Spends one retry of the budget if a worker is returned.
        """
        is_repeatable = call.match.route.idempotent and call.is_replayable
        if call.has_lost_worker or call.is_responding or not is_repeatable:
            return None
        snapshot = self._active.current
        if call.match.service not in snapshot.services_by_name:
            return None
        call.has_lost_worker = True
        call.excluded_upstreams.append(call.upstream)
        second = self._pick(call, snapshot, now)
        call.has_lost_worker = False
        if isinstance(second, ErrorResult) or not self.budget.spend():
            return None
        return second

    def on_deadline(self, call: Call) -> None:
        """Fail a call whose deadline has passed."""
        if call.is_done:
            return
        call.timer = None
        now = self._clock.seconds()
        kind = ErrorKind.DEADLINE_BEFORE_DISPATCH
        if call.upstream is not None:
            seconds = record_failure(call.upstream, now)
            self._log_ejection(call.upstream, seconds, "deadline")
            self._record(call, now, True)
        if call.is_dispatched or call.has_lost_worker:
            kind = ErrorKind.DEADLINE_AFTER_DISPATCH
        self.fail(call, ErrorResult(kind, "the deadline has passed"))

    def on_closed(self, call: Call, error: ErrorResult) -> None:
        """Cancel a call whose caller disconnected or sent a malformed body."""
        if call.is_done:
            return
        now = self._clock.seconds()
        # Callers cancel slow calls first, so ignoring cancelled calls would hide
        # a slow version from the evidence.
        if call.is_dispatched and error.kind is ErrorKind.CANCELLED:
            self._record(call, now, False, is_cancelled=True)
        call.fail(error)
        self.end(call)

    def fail(self, call: Call, error: ErrorResult) -> None:
        """End a call with an error."""
        if call.has_lost_worker and ERROR_RESPONSES[error.kind].run == "not-run":
            error = ErrorResult(ErrorKind.UPSTREAM_LOST, error.reason)
        self._metrics.count(f"refused.{error.kind.value}")
        if call.claim is None or call.is_dispatched:
            call.fail(error)
        else:
            call.error = error
        self.end(call)

    def end(self, call: Call) -> None:
        """Mark a call as done, release its resources and record its latency."""
        if call.is_done:
            return
        call.is_done = True
        call.release_resources()
        route = call.match.route
        if call.is_queued:
            call.is_queued = False
            queue = self._queues_by_service[call.match.service]
            queue.discard(call, route.request_class)
        seconds = self._clock.seconds() - call.started_at
        self._metrics.record_latency(route.request_class, seconds)
        self._release_upstream(call)
        self._on_call_ended(call)

    def _release_upstream(self, call: Call) -> None:
        upstream, call.upstream = call.upstream, None
        if upstream is not None:
            upstream.in_flight -= 1
            if self._queues_by_service:
                self.dispatch_next_queued(upstream.service)

    def _record(
        self, call: Call, now: float, is_failure: bool, is_cancelled: bool = False
    ) -> None:
        move = call.snapshot.moves_by_service.get(call.match.service)
        if move is None:
            return
        route = call.match.route
        seconds = now - call.attempt_started_at
        self.windows.advance(now)
        if is_cancelled and not self.windows.is_slow(
            move.move_id, route.name, route.request_class, seconds
        ):
            return
        self.windows.record(
            move.move_id,
            call.snapshot.revision,
            route.name,
            route.request_class,
            call.version == move.to_version,
            is_failure,
            seconds,
            now,
        )
