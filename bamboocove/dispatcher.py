"""Chooses the worker of each call, and acts on how the attempt ends."""

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
from bamboocove.errors import ANSWERS, ErrorKind, ErrorResult
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

# Shorter than the timeout of prompt routes, so that a call to a host that is
# gone can still be sent to another worker. Workers connect in about 1 ms.
CONNECT_TIMEOUT_S = 0.25
# A request written to a connection that the worker closes at that moment has an
# unknown outcome. For a call that must not run twice a new connection costs
# less than that.
KEYED_IDLE_S = 0.5


class Dispatcher:
    """State of the call path between calls.

    Parameters
    ----------
    active : ActiveSnapshot
        Configuration in force.
    directory : Directory
        Workers by service and version.
    windows : EvidenceWindows
        Outcomes of moves.
    metrics : Metrics
        Counters and latency histograms.
    clock : reactor
        Source of time and connections.
    random : callable
        Returns a float from 0 to 1.
    queue_limit : int
        Most calls that wait for each service.
    retry_ratio : float
        Retries for each call.
    is_braked : callable
        Whether the brake is set for a move identifier.
    check : callable
        Returns an ErrorResult for a call that must not be dispatched.
    on_end : callable
        Called with each call that ended.
    on_lost : callable
        Called with a call, the worker that was lost to it, and whether the
        call can be sent to another worker; returns whether it is to be.
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
        check: Callable[[Call], ErrorResult | None],
        on_end: Callable[[Call], None],
        on_lost: Callable[[Call, Upstream, bool], bool],
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
        self._check = check
        self._on_end = on_end
        self._on_worker_lost = on_lost
        self._queues_by_service: dict[str, CallQueue] = {}

    # Choice.

    def route(self, call: Call) -> None:
        """Choose a version and a worker, and connect."""
        now = self._clock.seconds()
        snapshot = self._active.current
        call.snapshot = snapshot
        if call.match.service not in snapshot.services_by_name:
            reason = f"service {call.match.service} was removed"
            self.fail(call, ErrorResult(ErrorKind.NO_ROUTE, reason))
            return
        error = self._check(call)
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
        # A second worker is lost to the call only if the old version fails it too.
        if move is not None and (call.was_lost or self._is_braked(move.move_id)):
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
        candidates = self.directory.get_candidates(call.match.service, version)
        request_class = call.match.route.request_class
        if request_class == "deferrable" and not has_capacity(
            candidates, request_class
        ):
            return ErrorResult(ErrorKind.OVERLOADED, "deferrable calls wait")
        return pick_upstream(candidates, now, self._random, call.refused_by)

    def _connect(self, call: Call, upstream: Upstream, now: float) -> None:
        call.upstream = upstream
        call.version = upstream.version
        call.attempts += 1
        call.attempt_at = now
        upstream.in_flight += 1
        max_idle_s = MAX_IDLE_S if call.key is None else KEYED_IDLE_S
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

    # Queue.

    def _enqueue(self, call: Call) -> None:
        service = call.match.service
        queue = self._queues_by_service.get(service)
        if queue is None:
            queue = self._queues_by_service[service] = CallQueue(self._queue_limit)
        request_class = call.match.route.request_class
        call.is_waiting = True
        if call.was_waiting:
            queue.put_back(call, request_class)
            return
        refused = queue.add(call, request_class)
        if refused is not None:
            error = ErrorResult(ErrorKind.OVERLOADED, "all workers are busy")
            refused.is_waiting = False
            self.fail(refused, error)

    def drain_queue(self, service: str) -> bool:
        """Dispatch the next waiting call; return whether one was."""
        queue = self._queues_by_service.get(service)
        if not queue:
            return False
        call = queue.take()
        call.is_waiting = False
        call.was_waiting = True
        self.route(call)
        return not call.is_waiting

    def sweep(self, now: float) -> None:
        """Close idle connections; dispatch what waits for workers that came up."""
        self.pool.sweep(now)
        for service in self._queues_by_service:
            while self.drain_queue(service):
                pass

    # Refusals before dispatch.

    def _on_connect_failed(self, call: Call, reason: str) -> None:
        if call.is_done:
            return
        call.connector = None
        now = self._clock.seconds()
        self._eject(call.upstream, now, reason)
        self._retry(call, False, reason)

    def on_refused(self, call: Call, retry_after_s: float) -> None:
        """Go on after a worker refused a call before it started work."""
        call.upstream.refused_until = self._clock.seconds() + retry_after_s
        self._retry(call, True, "worker refused the call")

    def _retry(self, call: Call, is_shed: bool, reason: str) -> None:
        now = self._clock.seconds()
        self._record(call, now, True)
        call.refused_by.append(call.upstream)
        self._leave_upstream(call)
        delay_s = None
        # A worker that sheds load is left to the calls of the higher classes.
        is_yielding = is_shed and call.match.route.request_class == "deferrable"
        if call.is_replayable and not is_yielding:
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

    # Ends.

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
        self.end(call)

    def on_lost(self, call: Call, error: ErrorResult) -> None:
        """Act on a worker that was lost after dispatch.

        An idempotent call may be sent to one more worker. The caller of any
        other is told that the outcome is unknown.
        """
        now = self._clock.seconds()
        upstream = call.upstream
        self._eject(upstream, now, error.reason)
        self._record(call, now, True)
        other = self._find_other(call, now)
        if self._on_worker_lost(call, upstream, other is not None):
            call.was_lost = True
            call.is_dispatched = False
            self._leave_upstream(call)
            self._metrics.count("retries")
            self._connect(call, other, now)
            return
        call.fail(error)
        self.end(call)

    def _find_other(self, call: Call, now: float) -> Upstream | None:
        """Return another worker for a call that lost one, if it may be used."""
        is_repeatable = call.match.route.idempotent and call.is_replayable
        if call.was_lost or call.is_responding or not is_repeatable:
            return None
        snapshot = self._active.current
        if call.match.service not in snapshot.services_by_name:
            return None
        call.was_lost = True
        call.refused_by.append(call.upstream)
        other = self._pick(call, snapshot, now)
        call.was_lost = False
        if isinstance(other, ErrorResult) or not self.budget.spend():
            return None
        return other

    def on_deadline(self, call: Call) -> None:
        """Answer a call whose time has passed."""
        if call.is_done:
            return
        call.timer = None
        now = self._clock.seconds()
        kind = ErrorKind.DEADLINE_BEFORE_DISPATCH
        if call.upstream is not None:
            seconds = record_failure(call.upstream, now)
            self._log_ejection(call.upstream, seconds, "deadline")
            self._record(call, now, True)
        if call.is_dispatched or call.was_lost:
            kind = ErrorKind.DEADLINE_AFTER_DISPATCH
        self.fail(call, ErrorResult(kind, "the deadline has passed"))

    def on_closed(self, call: Call, error: ErrorResult) -> None:
        """Cancel a call whose caller is gone or sent a malformed body."""
        if call.is_done:
            return
        now = self._clock.seconds()
        # Callers give up on slow calls first, so that leaving them out would
        # hide a slow version.
        if call.is_dispatched and error.kind is ErrorKind.CANCELLED:
            self._record(call, now, False, is_cancelled=True)
        call.fail(error)
        self.end(call)

    def fail(self, call: Call, error: ErrorResult) -> None:
        """End a call with an error."""
        if call.was_lost and ANSWERS[error.kind].run == "not-run":
            error = ErrorResult(ErrorKind.UPSTREAM_LOST, error.reason)
        self._metrics.count(f"refused.{error.kind.value}")
        if call.claim is None or call.is_dispatched:
            call.fail(error)
        else:
            call.error = error
        self.end(call)

    def end(self, call: Call) -> None:
        """Let go of everything that a call holds."""
        if call.is_done:
            return
        call.is_done = True
        call.release()
        route = call.match.route
        if call.is_waiting:
            call.is_waiting = False
            queue = self._queues_by_service[call.match.service]
            queue.discard(call, route.request_class)
        seconds = self._clock.seconds() - call.started_at
        self._metrics.record_latency(route.request_class, seconds)
        self._leave_upstream(call)
        self._on_end(call)

    def _leave_upstream(self, call: Call) -> None:
        upstream, call.upstream = call.upstream, None
        if upstream is not None:
            upstream.in_flight -= 1
            if self._queues_by_service:
                self.drain_queue(upstream.service)

    def _record(
        self, call: Call, now: float, is_failure: bool, is_cancelled: bool = False
    ) -> None:
        move = call.snapshot.moves_by_service.get(call.match.service)
        if move is None:
            return
        route = call.match.route
        seconds = now - call.attempt_at
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
