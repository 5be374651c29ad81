"""Inbound proxy: queues the requests for the worker on this host and sends them.

This node is the worker's only client, so its decisions need no coordination: a
request that it refuses has not run and will not run.
"""

from collections.abc import Callable, Mapping
from typing import Any

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.client_errors import ExpectedClientErrors, parse_rate
from bamboocove.coordination.drain_window import NOT_DRAINING, SlowestResponses
from bamboocove.coordination.fair_shares import SHARED, get_share_key, make_shares
from bamboocove.coordination.hand_back import HANDED_BACK
from bamboocove.coordination.machine_load import MachineLoad
from bamboocove.coordination.version_comparison import Tally
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    EXPECTED_ERRORS_FIELD,
    LOST,
    REFUSED,
    SHED,
    TIMED_OUT,
    WRONG_WORKER,
    BodyOffer,
    Forward,
    Reply,
)
from bamboocove.sidecar.cold_worker import ColdWorker
from bamboocove.sidecar.crash_reports import CrashReports
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.inbound_reports import (
    get_attempt_id,
    log_open_at_stop,
    log_refusal,
    make_load,
    update_average,
)
from bamboocove.sidecar.inbound_request import InboundRequest, make_entry
from bamboocove.sidecar.limit_timer import LimitTimer
from bamboocove.sidecar.logs import log_program_error
from bamboocove.sidecar.refusals import (
    COLD_REASON,
    EVACUATED_REASON,
    STOPPING_REASON,
    SUSPECT_REASON,
)
from bamboocove.sidecar.settings import Address, Bounds
from bamboocove.sidecar.worker_responses import WorkerResponses
from bamboocove.sidecar.worker_sender import WorkerSender
from bamboocove.sidecar.worker_watch import ReportResult, WorkerWatch
from bamboocove.state.mesh import ClientAccount, MeshService, MeshWorker
from bamboocove.transport.clients import ConnectionPool
from bamboocove.transport.framing import get_header

# The worker is on this host and normally accepts a connection in about 1 ms.
CONNECT_TIMEOUT_S = 0.5
# Kernel's buffer of a connection to the worker: what waits there while the node does
# not read counts as memory of the host, too. Ample without a network between.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Status with which a worker without room turns a request away.
OVERLOAD_STATUS = 503
WRONG_WORKER_REASON = "worker is not ready for this"
# A request that still waits this long before its deadline is refused, in seconds: the
# node that placed it must have the refusal before it gives up, and can only then tell
# its caller that no worker got it. The queue is looked through every 0.1 s, and that
# node waits for 0.12 s longer than the deadline.
REFUSAL_LEAD_S = 0.05


class InboundProxy:
    """Queue of the worker on this host, and the connection pool to it.

    Parameters
    ----------
    address : (str, int)
        Address on which the worker accepts requests.
    dialect : Dialect
        Names of header fields and paths.
    clock : reactor
        Source of time and connections.
    is_version_allowed : callable
        Takes a service and a version; returns whether that version may run
        requests.
    on_change : callable
        Called without arguments when the worker's state, or what is known of departed
        workers, has changed.
    crash_reports : CrashReports
        Reports of requests that ran when the worker crashed.
    budget : ByteBudget
        Bodies that this node holds.
    """

    def __init__(
        self,
        address: Address,
        dialect: Dialect,
        clock: Any,
        is_version_allowed: Callable[[str, str], bool],
        on_change: Callable[[], None],
        crash_reports: CrashReports,
        budget: ByteBudget,
    ):
        self._address = address
        self._dialect = dialect
        self._clock = clock
        self._is_version_allowed = is_version_allowed
        self._on_change = on_change
        self.crash_reports = crash_reports
        self.budget = budget
        self._pool = ConnectionPool(clock, CONNECT_TIMEOUT_S, RECEIVE_BUFFER_BYTES)
        self._requests: set[InboundRequest] = set()
        self._failure_average = 0.0
        self._accounts_by_name: Mapping[str, ClientAccount] = {}
        self.queue = WorkerQueue(1)
        self._limit_timer = LimitTimer(clock, self._start_next)
        self.cold = ColdWorker(
            clock,
            lambda: self.queue,
            lambda entry: self._end(entry.payload, REFUSED, reason=COLD_REASON),
            self._limit_timer.restart,
            self._on_change,
        )
        self.watch = WorkerWatch(
            address,
            dialect,
            clock,
            self._pool,
            self._on_worker_state,
            self._on_worker_replaced,
            self._on_limit,
            self.cold.update,
            self._on_change,
        )
        self.queue.machine_load = self.watch.machine_load
        # Takes a request; returns whether it is known to crash workers.
        self.is_suspect: Callable[[Forward], bool] = lambda forward: False
        # Takes the time; returns the waiting request to hand back now, or None.
        self.pick_hand_back: Callable[[float], QueuedRequest | None] = lambda now: None
        self._responses = WorkerResponses(
            address,
            dialect,
            clock,
            self._pool,
            self.watch,
            crash_reports,
            budget,
            self._end,
        )
        self._sender = WorkerSender(
            address,
            dialect,
            clock,
            self._pool,
            budget,
            lambda: self.worker,
            self._responses.on_deadline,
            self._on_unreachable,
            self._attempt,
        )
        self._running_ids = self._sender.running_ids
        self.tallies_by_route: dict[str, Tally] = {}
        self._expected_errors = ExpectedClientErrors()
        self.is_draining = False
        self._is_evacuated = False
        self.handed_back = 0
        self.drain_window = NOT_DRAINING
        self._slowest = SlowestResponses()

    # State of the worker.

    @property
    def worker(self) -> MeshWorker | None:
        """Last known state of the worker on this host; None if there is none."""
        return self.watch.worker

    @property
    def published_worker(self) -> MeshWorker | None:
        """The worker as the record of this host shows it."""
        return self.cold.describe(self.watch.worker)

    def use_services(
        self,
        services_by_name: Mapping[str, MeshService],
        own_service: str,
        bounds: Bounds,
    ) -> None:
        """Apply the configuration; ``own_service`` is that of the host's settings."""
        self.watch.use_services(services_by_name, own_service)
        self.cold.configure(services_by_name.get(own_service), bounds)

    def update_worker(self, worker: MeshWorker) -> ReportResult:
        """Apply a report of the worker unless it is outdated."""
        return self.watch.update(worker)

    def deregister(self, worker_id: str, unix_ms: int) -> ReportResult:
        """Apply that a worker has deregistered itself, at a Unix time in ms."""
        return self.watch.deregister(worker_id, unix_ms)

    def _on_worker_state(self, worker: MeshWorker) -> None:
        self.queue.slots = worker.slots
        self._on_limit(worker.limit_per_s)
        self._responses.forget_timeouts()
        if worker.state != "ready":
            self.refuse_waiting(f"worker is {worker.state}")
        self._on_change()

    def use_accounts(self, accounts_by_name: Mapping[str, ClientAccount]) -> None:
        """Share the worker among accounts; without any, by order of arrival."""
        self._accounts_by_name = accounts_by_name
        self.queue.use_shares(make_shares(accounts_by_name))

    def _get_account(self, forward: Forward) -> str:
        if not self._accounts_by_name:
            return SHARED
        name = get_header(forward.headers, self._dialect.account) or b""
        return get_share_key(name.decode(), self._accounts_by_name)

    def _on_worker_replaced(self) -> None:
        self._responses.on_worker_replaced(self.worker)
        self.refuse_waiting("worker was replaced")
        self._pool.close()
        self._failure_average = 0.0
        self.tallies_by_route = {}
        self._expected_errors = ExpectedClientErrors()
        self.watch.machine_load = MachineLoad()
        self.queue = WorkerQueue(
            1,
            machine_load=self.watch.machine_load,
            shares=make_shares(self._accounts_by_name),
        )
        self.crash_reports.reset()

    def _on_limit(self, limit_per_s: float) -> None:
        self.queue.limiter.set_limit(limit_per_s, self._clock.seconds())

    def refuse_waiting(self, reason: str, outcome: int = REFUSED) -> None:
        """Refuse the requests that wait in the queue."""
        for entry in self.queue.take_waiting():
            self._end(entry.payload, outcome, reason=reason)

    def set_evacuated(self, is_evacuated: bool) -> None:
        """Set whether requests are refused because their zone is evacuated.

        Those that wait are refused, too; those that run end.
        """
        self._is_evacuated = is_evacuated
        if is_evacuated:
            self.refuse_waiting(EVACUATED_REASON, WRONG_WORKER)

    def _refuse_late(self, now: float) -> None:
        """Refuse the waiting requests that would not end before a planned stop."""
        if self.drain_window is NOT_DRAINING or not self.queue.waiting:
            return
        late = self.queue.take_waiting(
            lambda entry: not self._can_end(entry.route, entry.deadline, now)
        )
        for entry in late:
            self._end(entry.payload, REFUSED, reason=STOPPING_REASON)

    def tick(self, now: float) -> None:
        """Refuse requests that expired in the queue; probe a worker that is down."""
        self._pool.sweep(now)
        for request in self._requests:
            if request.held_bytes:
                self._sender.release_written_body(request)
        for entry in self.queue.take_expired(REFUSAL_LEAD_S, now):
            self._end(entry.payload, REFUSED, reason=self._get_late_reason(now))
        self._refuse_late(now)
        entry = self.pick_hand_back(now)
        if entry is not None:
            self.handed_back += 1
            self._end(entry.payload, REFUSED, reason=HANDED_BACK)
        self.cold.tick()
        self._responses.tick(now)
        self.watch.tick(now)

    def submit(
        self, forward: Forward, reply: Callable[[Reply], None], held_bytes: int = 0
    ) -> InboundRequest:
        """Queue a request for the worker, or refuse it.

        ``reply`` is called with the Reply, possibly before this returns.
        ``held_bytes`` of the budget are released as soon as the request no longer
        needs its body.
        """
        now = self._clock.seconds()
        request = InboundRequest(
            self._responses,
            forward,
            reply,
            now,
            now + forward.left_ms / 1000,
            held_bytes=held_bytes,
        )
        self._requests.add(request)
        self._attempt(request, self._enqueue, now)
        return request

    def _attempt(self, request: InboundRequest, step: Callable, *args: Any) -> None:
        """Take a step of a request, which is ended if the step raises an exception.

        It would hold its bytes and its slot of the worker until its deadline or longer.
        """
        try:
            step(request, *args)
        except Exception:
            attempt_id = get_attempt_id(request.forward, self._dialect)
            log_program_error("request.handler-failed", id=attempt_id)
            # The worker may have got it.
            self._end(request, LOST, reason="program error")

    def _enqueue(self, request: InboundRequest, now: float) -> None:
        forward = request.forward
        if not self._may_run(forward):
            self._end(request, WRONG_WORKER, reason=self._get_wrong_reason())
            return
        if not self._can_end(forward.route, request.deadline, now):
            self._end(request, REFUSED, reason=STOPPING_REASON)
            return
        if self.is_suspect(forward):
            self._end(request, REFUSED, reason=SUSPECT_REASON)
            return
        request.entry = entry = make_entry(
            forward, request, now, self._get_account(forward)
        )
        is_admitted, evicted = self.queue.offer(entry, now)
        for evicted_entry in evicted:
            self._end(
                evicted_entry.payload,
                REFUSED,
                reason=self._get_queue_reason("gave way to an urgent request", now),
            )
        if is_admitted:
            self._start_next(now)
        else:
            reason = self._get_queue_reason("queue is full", now)
            self._end(request, REFUSED, reason=reason)

    def _get_late_reason(self, now: float) -> str:
        return self._get_queue_reason("waited too long", now)

    def _get_queue_reason(self, reason: str, now: float) -> str:
        return COLD_REASON if self.queue.is_held_by_cold(now) else reason

    def _may_run(self, forward: Forward | BodyOffer) -> bool:
        worker = self.worker
        return (
            worker is not None
            and worker.state == "ready"
            and worker.service == forward.service
            and worker.version == forward.version
            and self._is_version_allowed(worker.service, worker.version)
            and not self.is_draining
            and not self._is_evacuated
        )

    def _get_wrong_reason(self) -> str:
        return EVACUATED_REASON if self._is_evacuated else WRONG_WORKER_REASON

    def _can_end(self, route: str, deadline: float, now: float) -> bool:
        """Return whether a request can be expected to end before a planned stop."""
        window = self.drain_window
        if window is NOT_DRAINING:
            return True
        slowest_s = self._slowest.get(route, self.queue.service_times.get(route))
        return window.is_open(now, deadline, slowest_s)

    def assess_offer(
        self, offer: BodyOffer, predict_delay: Callable[[float], float], now: float
    ) -> Reply | float:
        """Decide whether a request may be sent here whose body is still elsewhere.

        Parameters
        ----------
        offer : BodyOffer
            The request.
        predict_delay : callable
            Takes a priority; returns the time until the body arrives, in seconds.
        now : float
            Seconds of the local clock.

        Returns
        -------
        result : Reply or float
            The refusal, or the priority with which the body waits for permission.
        """
        if not self._may_run(offer):
            outcome, reason = WRONG_WORKER, self._get_wrong_reason()
        elif not self._can_end(offer.route, now + offer.left_ms / 1000, now):
            outcome, reason = REFUSED, STOPPING_REASON
        else:
            # The account is known once the request itself arrives.
            entry = make_entry(offer, None, now, None)
            if self.queue.can_admit(entry, predict_delay, now):
                return entry.priority
            outcome = REFUSED
            reason = self._get_queue_reason("no room for its body in time", now)
        return self.refuse(offer, outcome, reason)

    def refuse(self, message: Forward | BodyOffer, outcome: int, reason: str) -> Reply:
        """Log and return the refusal of a request that was not submitted."""
        now = self._clock.seconds()
        self._log_refusal(message, message.left_ms / 1000, reason, now)
        load = self.make_load()
        return Reply(message.stream, outcome, 0, [], reason.encode(), 0, load)

    def _log_refusal(
        self, message: Forward | BodyOffer, left_s: float, reason: str, now: float
    ) -> None:
        attempt_id = get_attempt_id(message, self._dialect)
        log_refusal(attempt_id, message, left_s, reason, self.queue, self.worker, now)

    def _start_next(self, now: float) -> None:
        self._refuse_late(now)
        while True:
            entry, expired = self.queue.start_next(now)
            for expired_entry in expired:
                reason = self._get_late_reason(now)
                self._end(expired_entry.payload, REFUSED, reason=reason)
            if entry is None:
                self._limit_timer.wait(self.queue, now)
                return
            self._attempt(entry.payload, self._sender.connect)

    def _on_unreachable(self, request: InboundRequest, reason: str) -> None:
        self._end(request, REFUSED, reason="worker is unreachable")
        self._responses.on_unreachable(reason)

    def cancel(self, request: InboundRequest) -> None:
        """Cancel a request whose caller has disconnected.

        A request that is not idempotent is left running once it was sent to the
        worker, since aborting it could leave its work half done.
        """
        if request.is_ended or request.is_sent and not request.forward.is_idempotent:
            return
        self._end(request, LOST if request.is_sent else REFUSED, reason="cancelled")

    def _end(
        self,
        request: InboundRequest,
        outcome: int,
        is_failure: bool = False,
        reason: str = "",
    ) -> None:
        if request.is_ended:
            return
        request.is_ended = True
        self._requests.discard(request)
        self._running_ids.discard(request.attempt_id)
        self._sender.release_body(request)
        now = self._clock.seconds()
        request.disconnect()
        service_s = 0.0
        entry = request.entry
        was_full = len(self.queue.running) >= self.queue.slots
        if entry is not None:
            if request.is_sent:
                service_s = now - entry.started_at
            if not self.queue.discard(entry):
                is_timed = outcome == ANSWERED and not is_failure
                self.queue.finish(entry, now, is_timed)
        if request.is_sent and reason != "cancelled":
            self._slowest.record(request.forward.route, service_s, now)
            self._record_outcome(request, outcome, is_failure, service_s, was_full)
        if outcome in (REFUSED, WRONG_WORKER, SHED, TIMED_OUT):
            text = reason or "the worker did not run it"
            self._log_refusal(request.forward, request.deadline - now, text, now)
        request.send_reply(outcome, reason, service_s, self.make_load(), self._dialect)
        self._responses.remove(request)
        if entry is not None:
            self._start_next(now)

    def _record_outcome(
        self,
        request: InboundRequest,
        outcome: int,
        is_failure: bool,
        seconds: float,
        was_full: bool,
    ) -> None:
        self._failure_average = update_average(self._failure_average, is_failure)
        # A version that turns requests away with free slots fails them.
        if outcome != SHED or request.status == OVERLOAD_STATUS and not was_full:
            forward = request.forward
            if outcome == ANSWERED and not is_failure:
                expected = get_header(forward.headers, EXPECTED_ERRORS_FIELD)
                is_failure = self._expected_errors.is_failure(
                    forward.route, parse_rate(expected), request.status
                )
            tally = self.tallies_by_route.setdefault(forward.route, Tally())
            tally.record(is_failure, seconds, request.status)

    def make_load(self) -> list[int]:
        """Return the load of the worker in the form of ``Reply.load``."""
        return make_load(self.queue, self._failure_average, self._clock.seconds())

    def is_running(self, attempt_id: bytes) -> bool:
        """Return whether the worker is running the request of an attempt."""
        return bool(attempt_id) and attempt_id in self._running_ids

    @property
    def in_flight(self) -> int:
        """Number of requests that wait or run."""
        return len(self._requests)

    def end_requests(self, reason: str) -> None:
        """Refuse the requests that wait, and report those that run as lost."""
        self.refuse_waiting(reason)
        for request in list(self._requests):
            self._end(request, LOST if request.is_sent else REFUSED, reason=reason)

    def log_open_at_stop(self) -> None:
        """Log the requests that wait or run, because the node stops."""
        log_open_at_stop(self._requests, self._dialect, self._clock.seconds())

    def close(self) -> None:
        """Close idle connections to the worker, and start nothing more."""
        self._pool.close()
        self._limit_timer.stop()
