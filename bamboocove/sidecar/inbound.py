"""Inbound proxy: queues the requests for the worker on this host and sends them.

This node is the worker's only client, so its decisions need no coordination: a
request that it refuses has not run and will not run.
"""

from collections.abc import Callable
from typing import Any

from attrs import evolve

from bamboocove.coordination.body_queue import PIECE_BYTES, BodyQueue
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.drain_window import NOT_DRAINING, SlowestResponses
from bamboocove.coordination.fingerprints import FINGERPRINT_BODY_BYTES
from bamboocove.coordination.version_comparison import Tally
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    CRASHED,
    LOST,
    MAX_FORWARDED_BODY_BYTES,
    REFUSED,
    SHED,
    TIMED_OUT,
    WRONG_WORKER,
    BodyOffer,
    Forward,
    Reply,
)
from bamboocove.sidecar.crash_reports import CrashReports
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.inbound_request import (
    FIRST_ERROR_STATUS,
    InboundRequest,
    attribute_response,
    format_worker_request,
    log_refusal,
)
from bamboocove.sidecar.logs import log, log_program_error
from bamboocove.sidecar.settings import Address
from bamboocove.sidecar.worker_watch import WorkerWatch
from bamboocove.state.mesh import MeshWorker
from bamboocove.transport.clients import ClientConnection, ConnectionPool
from bamboocove.transport.fetching import enable_keepalive
from bamboocove.transport.framing import (
    Headers,
    get_header,
    strip_hop_by_hop_headers,
)
from bamboocove.transport.sending import count_unsent

# The worker is on this host and normally accepts a connection in about 1 ms.
CONNECT_TIMEOUT_S = 0.5
# Kernel's buffer of a connection to the worker: what waits there while the node does
# not read counts as memory of the host, too. Ample without a network between.
RECEIVE_BUFFER_BYTES = 128 * 1024
# Workers close idle connections after some seconds, sometimes much sooner, and a
# request that is sent at that moment is lost. A request that must not run twice
# therefore only reuses a connection that has hardly been idle.
MAX_IDLE_S = 3.0
NON_IDEMPOTENT_MAX_IDLE_S = 0.15
# Workers end a request at its deadline themselves; allows for the delivery of
# that response.
DEADLINE_GRACE_S = 0.04
# A worker is marked down after this many consecutive time-outs, if it has also
# sent no response for ``MIN_SILENCE_S`` seconds.
MAX_CONSECUTIVE_TIMEOUTS = 3
MIN_SILENCE_S = 1.0
# Weight of the latest request in the moving average of failures.
FAILURE_EWMA_WEIGHT = 0.1
# Number of priorities whose expected waits are reported, starting at -1.
REPORTED_PRIORITIES = 4
MISDIRECTED_REQUEST_STATUS = 421
FIRST_SERVER_ERROR = 500
STOPPING_REASON = "the node beside the worker stops too soon"


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
    on_worker : callable
        Called with the worker when its state has changed.
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
        on_worker: Callable[[MeshWorker], None],
        crash_reports: CrashReports,
        budget: ByteBudget,
    ):
        self._address = address
        self._dialect = dialect
        self._clock = clock
        self._is_version_allowed = is_version_allowed
        self._on_worker = on_worker
        self.crash_reports = crash_reports
        self.budget = budget
        self._responses = BodyQueue(budget)
        budget.on_release.append(self._resume_responses)
        self._pool = ConnectionPool(clock, CONNECT_TIMEOUT_S, RECEIVE_BUFFER_BYTES)
        self._consecutive_timeouts = 0
        self._last_response_at = 0.0
        self._requests: set[InboundRequest] = set()
        self._running_ids: set[bytes] = set()
        self._failure_average = 0.0
        self._limit_timer: Any = None
        self.queue = WorkerQueue(1)
        self.watch = WorkerWatch(
            address,
            dialect,
            clock,
            self._pool,
            self._on_worker_state,
            self._on_worker_replaced,
            self._on_limit,
        )
        self.tallies_by_route: dict[str, Tally] = {}
        self.is_draining = False
        self.drain_window = NOT_DRAINING
        self._slowest = SlowestResponses()

    # State of the worker.

    @property
    def worker(self) -> MeshWorker | None:
        """Last known state of the worker on this host; None if there is none."""
        return self.watch.worker

    def update_worker(self, worker: MeshWorker) -> None:
        """Apply a report of the worker unless it is outdated."""
        self.watch.update(worker)

    def deregister(self, worker_id: str) -> None:
        """Mark the worker as gone after it has deregistered itself."""
        self.watch.deregister(worker_id)

    def _on_worker_state(self, worker: MeshWorker) -> None:
        self.queue.slots = worker.slots
        self._on_limit(worker.limit_per_s)
        self._consecutive_timeouts = 0
        if worker.state != "ready":
            self.refuse_waiting(f"worker is {worker.state}")
        self._on_worker(worker)

    def _on_worker_replaced(self) -> None:
        self.refuse_waiting("worker was replaced")
        self._pool.close()
        self._failure_average = 0.0
        self.tallies_by_route = {}
        self.queue = WorkerQueue(1)
        self.crash_reports.reset()

    def _on_limit(self, limit_per_s: float) -> None:
        self.queue.limiter.set_limit(limit_per_s, self._clock.seconds())

    def refuse_waiting(self, reason: str) -> None:
        """Refuse the requests that wait in the queue."""
        waiting, self.queue.waiting = self.queue.waiting, []
        for entry in waiting:
            self._end(entry.payload, REFUSED, reason=reason)

    def _refuse_late(self, now: float) -> None:
        """Refuse the waiting requests that would not end before a planned stop."""
        if self.drain_window is NOT_DRAINING or not self.queue.waiting:
            return
        in_time: list[QueuedRequest] = []
        late: list[QueuedRequest] = []
        for entry in self.queue.waiting:
            can_end = self._can_end(entry.route, entry.deadline, now)
            (in_time if can_end else late).append(entry)
        self.queue.waiting = in_time
        for entry in late:
            self._end(entry.payload, REFUSED, reason=STOPPING_REASON)

    def tick(self, now: float) -> None:
        """Refuse requests that expired in the queue; probe a worker that is down."""
        self._pool.sweep(now)
        for request in self._requests:
            if request.held_bytes:
                self._release_written_body(request)
        for entry in list(self.queue.waiting):
            if entry.deadline <= now:
                self.queue.discard(entry)
                self._end(entry.payload, REFUSED, reason="waited too long")
        self._refuse_late(now)
        self.watch.tick(now)

    def submit(
        self, forward: Forward, reply: Callable[[Reply], None], held_bytes: int = 0
    ) -> InboundRequest:
        """Queue a request for the worker, or refuse it.

        ``reply`` is called once with the Reply, possibly before this returns.
        ``held_bytes`` of the budget are released as soon as the request no longer
        needs its body.
        """
        now = self._clock.seconds()
        request = InboundRequest(
            self,
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
            attempt_id = get_header(request.forward.headers, self._dialect.attempt_id)
            log_program_error("request.handler-failed", id=attempt_id)
            # The worker may have got it.
            self._end(request, LOST, reason="program error")

    def _enqueue(self, request: InboundRequest, now: float) -> None:
        forward = request.forward
        if not self._may_run(forward):
            self._end(request, WRONG_WORKER, reason="worker is not ready for this")
            return
        if not self._can_end(forward.route, request.deadline, now):
            self._end(request, REFUSED, reason=STOPPING_REASON)
            return
        entry = QueuedRequest(
            forward.route,
            forward.priority,
            now + forward.target_left_ms / 1000,
            request.deadline,
            request,
        )
        request.entry = entry
        is_admitted, evicted = self.queue.offer(entry, now)
        for evicted_entry in evicted:
            self._end(
                evicted_entry.payload, REFUSED, reason="gave way to an urgent request"
            )
        if is_admitted:
            self._start_next(now)
        else:
            self._end(request, REFUSED, reason="queue is full")

    def _may_run(self, forward: Forward | BodyOffer) -> bool:
        worker = self.worker
        return (
            worker is not None
            and worker.state == "ready"
            and worker.service == forward.service
            and worker.version == forward.version
            and self._is_version_allowed(worker.service, worker.version)
            and not self.is_draining
        )

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
            outcome, reason = WRONG_WORKER, "worker is not ready for this"
        elif not self._can_end(offer.route, now + offer.left_ms / 1000, now):
            outcome, reason = REFUSED, STOPPING_REASON
        else:
            entry = QueuedRequest(
                offer.route,
                offer.priority,
                now + offer.target_left_ms / 1000,
                now + offer.left_ms / 1000,
                None,
            )
            if self.queue.can_admit(entry, predict_delay, now):
                return entry.priority
            outcome, reason = REFUSED, "no room for its body in time"
        return self.refuse(offer, outcome, reason)

    def refuse(self, message: Forward | BodyOffer, outcome: int, reason: str) -> Reply:
        """Log and return the refusal of a request that was not submitted."""
        if isinstance(message, BodyOffer):
            attempt_id = message.attempt_id
        else:
            attempt_id = get_header(message.headers, self._dialect.attempt_id)
        left_s = message.left_ms / 1000
        now = self._clock.seconds()
        log_refusal(attempt_id, message, left_s, reason, self.queue, self.worker, now)
        load = self.make_load()
        return Reply(message.stream, outcome, 0, [], reason.encode(), 0, load)

    def _start_next(self, now: float) -> None:
        self._refuse_late(now)
        while True:
            entry, expired = self.queue.start_next(now)
            for expired_entry in expired:
                self._end(expired_entry.payload, REFUSED, reason="waited too long")
            if entry is None:
                self._wait_for_limit(now)
                return
            self._attempt(entry.payload, self._connect)

    def _wait_for_limit(self, now: float) -> None:
        """Start the next request as soon as the worker's limit lets it."""
        wait_s = self.queue.limiter.predict_wait(1, now)
        if not wait_s or not self.queue.waiting or self._limit_timer is not None:
            return
        self._limit_timer = self._clock.callLater(wait_s, self._on_limit_wait_over)

    def _on_limit_wait_over(self) -> None:
        self._limit_timer = None
        self._start_next(self._clock.seconds())

    def _connect(self, request: InboundRequest) -> None:
        left_s = request.deadline - self._clock.seconds() + DEADLINE_GRACE_S
        request.timer = self._clock.callLater(left_s, self._on_deadline, request)
        max_idle_s = (
            MAX_IDLE_S if request.forward.is_idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        )
        connection = self._pool.take(self._address, max_idle_s)
        if connection is not None:
            self._send(request, connection)
            return
        request.connector = self._pool.connect(
            self._address,
            lambda connection: self._on_connected(request, connection),
            lambda reason: self._on_unreachable(request, reason),
        )

    def _on_connected(
        self, request: InboundRequest, connection: ClientConnection
    ) -> None:
        # TCP keepalive detects that an idle connection has died before the
        # connection is reused.
        enable_keepalive(connection.transport)
        self._attempt(request, self._send, connection)

    def _on_unreachable(self, request: InboundRequest, reason: str) -> None:
        request.connector = None
        if not request.is_ended:
            self._end(request, REFUSED, reason="worker is unreachable")
            self.watch.mark_down(reason)

    def _send(self, request: InboundRequest, connection: ClientConnection) -> None:
        request.connector = None
        if request.is_ended:
            connection.abort()
            return
        now = self._clock.seconds()
        forward = request.forward
        request.connection = connection
        request.worker = self.worker
        request.is_sent = True
        request.entry.started_at = now
        attempt_id = get_header(forward.headers, self._dialect.attempt_id)
        request.attempt_id = attempt_id or b""
        self._running_ids.add(request.attempt_id)
        connection.send(
            format_worker_request(request, self._dialect, self.worker.worker_id, now),
            forward.method == b"HEAD",
            True,
            request,
            lambda held: self._pool.put(self._address, held),
            lambda status, headers, is_first: attribute_response(
                status, headers, is_first, self._dialect, attempt_id
            ),
            MAX_FORWARDED_BODY_BYTES,
        )
        if len(forward.body) > FINGERPRINT_BODY_BYTES:
            # What identifies the request if it crashes the worker.
            start = bytes(forward.body[:FINGERPRINT_BODY_BYTES])
            request.forward = evolve(forward, body=start)
        self._release_written_body(request)

    def _release_written_body(self, request: InboundRequest) -> None:
        connection = request.connection
        if connection is not None and not count_unsent(connection.transport):
            self._release_body(request)

    def _release_body(self, request: InboundRequest) -> None:
        if request.held_bytes:
            self.budget.release(request.held_bytes)
            request.held_bytes = 0

    def cancel(self, request: InboundRequest) -> None:
        """Cancel a request whose caller has disconnected.

        A request that is not idempotent is left running once it was sent to the
        worker, since aborting it could leave its work half done.
        """
        if request.is_ended:
            return
        if request.is_sent and not request.forward.is_idempotent:
            return
        self._end(request, LOST if request.is_sent else REFUSED, reason="cancelled")

    def on_response_head(self, request: InboundRequest, length: int | None) -> None:
        """Reserve room for the body; apply what the head says about the worker."""
        if length is not None and length > PIECE_BYTES:
            if request.forward.method != b"HEAD":
                if not self._responses.reserve(request, length):
                    self._pause(request, length)
        # A response may come from a worker that was replaced meanwhile, or from another
        # one that has its address.
        if (
            request.status != MISDIRECTED_REQUEST_STATUS
            and request.worker.incarnation == self.worker.incarnation
        ):
            self.watch.update_from_response(request.headers, self._clock.seconds())

    def on_response_data(self, request: InboundRequest, size: int) -> None:
        """Count a part of a body; stop reading it while there is no room."""
        if size and not self._responses.count(request, size):
            self._pause(request, sum(map(len, request.body_parts)))

    def _pause(self, request: InboundRequest, size: int) -> None:
        if request.connection.is_paused:
            return
        request.connection.pause()
        log(
            "request.response-waits",
            id=get_header(request.forward.headers, self._dialect.attempt_id),
            size=size,
            held=self._responses.budget.held,
            limit=self._responses.budget.limit,
        )

    def _resume_responses(self) -> None:
        for request in self._responses.take_ready():
            if request.connection is not None:
                request.connection.resume()

    def on_response_end(self, request: InboundRequest) -> None:
        """Check the complete response of the worker and reply with it."""
        status = request.status
        not_run = get_header(request.headers, self._dialect.not_run) is not None
        self._consecutive_timeouts = 0
        self._last_response_at = self._clock.seconds()
        signature = get_header(request.headers, self._dialect.signature)
        if status < FIRST_ERROR_STATUS and signature is None:
            self._end(request, LOST, is_failure=True, reason="answer is not signed")
            return
        if status == MISDIRECTED_REQUEST_STATUS or not_run:
            self._end(request, SHED, is_failure=True)
            if status == MISDIRECTED_REQUEST_STATUS:
                self.watch.mark_down("another worker answered at its address")
            return
        if status < FIRST_SERVER_ERROR:
            self.crash_reports.record_completed(request.forward)
        self._end(request, ANSWERED, is_failure=status >= FIRST_SERVER_ERROR)

    def on_response_lost(self, request: InboundRequest, reason: str) -> None:
        """Handle a request whose response was lost.

        A new connection attempt tells whether the worker crashed or only the
        response was lost. Only a crash makes the request a suspected cause.
        """
        self._responses.remove(request)
        if request.is_ended:
            return
        log(
            "request.lost",
            id=get_header(request.forward.headers, self._dialect.attempt_id),
            reason=reason,
        )
        self._pool.connect(
            self._address,
            lambda connection: self._on_reconnected(request, connection, reason),
            lambda failure: self._on_worker_crashed(request, failure),
        )

    def _on_reconnected(
        self, request: InboundRequest, connection: ClientConnection, reason: str
    ) -> None:
        self._pool.put(self._address, connection)
        self._end(request, LOST, is_failure=True, reason=reason)

    def _on_worker_crashed(self, request: InboundRequest, reason: str) -> None:
        if request.is_ended:
            return
        is_suspect = self.crash_reports.record_crash(request.forward)
        outcome = CRASHED if is_suspect else LOST
        self._end(request, outcome, is_failure=True, reason=reason)
        self.watch.mark_down(reason)

    def _on_deadline(self, request: InboundRequest) -> None:
        request.timer = None
        if request.is_ended:
            return
        if not request.is_sent:
            self._end(request, REFUSED, reason="no connection in time")
            return
        now = self._clock.seconds()
        if self._responses.is_waiting(request):
            reason = "no room for its answer in time"
            self._end(request, TIMED_OUT, is_failure=True, reason=reason)
            return
        self._consecutive_timeouts += 1
        self._end(request, TIMED_OUT, is_failure=True, reason="no answer in time")
        if (
            self._consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and now - self._last_response_at > MIN_SILENCE_S
        ):
            self.watch.mark_down("worker does not answer")

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
        self._release_body(request)
        now = self._clock.seconds()
        timer, request.timer = request.timer, None
        if timer is not None:
            timer.cancel()
        connector, request.connector = request.connector, None
        if connector is not None:
            connector.disconnect()
        connection, request.connection = request.connection, None
        if connection is not None:
            connection.abort()
        service_s = 0.0
        entry = request.entry
        if entry is not None:
            if request.is_sent:
                service_s = now - entry.started_at
            if not self.queue.discard(entry):
                is_timed = outcome == ANSWERED and not is_failure
                self.queue.finish(entry, now, is_timed)
        if request.is_sent and reason != "cancelled":
            self._slowest.record(request.forward.route, service_s, now)
            self._record_outcome(request, outcome, is_failure, service_s)
        if outcome in (REFUSED, WRONG_WORKER, SHED, TIMED_OUT):
            log_refusal(
                get_header(request.forward.headers, self._dialect.attempt_id),
                request.forward,
                request.deadline - now,
                reason or "the worker did not run it",
                self.queue,
                self.worker,
                now,
            )
        headers: Headers = []
        body = reason.encode()
        if outcome == ANSWERED:
            headers = [list(item) for item in strip_hop_by_hop_headers(request.headers)]
            body = request.take_body()
        request.body_parts = []
        request.reply(
            Reply(
                request.forward.stream,
                outcome,
                request.status if outcome == ANSWERED else 0,
                headers,
                body,
                int(service_s * 1000),
                self.make_load(),
            )
        )
        self._responses.remove(request)
        if entry is not None:
            self._start_next(now)

    def _record_outcome(
        self, request: InboundRequest, outcome: int, is_failure: bool, seconds: float
    ) -> None:
        self._failure_average += FAILURE_EWMA_WEIGHT * (
            is_failure - self._failure_average
        )
        if outcome != SHED:
            tally = self.tallies_by_route.setdefault(request.forward.route, Tally())
            tally.record(is_failure, seconds, request.status)

    def make_load(self) -> list[int]:
        """Return the load of the worker in the form of ``Reply.load``."""
        queue = self.queue
        now = self._clock.seconds()
        waits = [
            int(queue.predict_reported_wait(index - 1, now) * 1000)
            for index in range(REPORTED_PRIORITIES)
        ]
        while len(waits) > 1 and waits[-1] == waits[-2]:
            waits.pop()
        return [
            len(queue.running),
            queue.count_usable_slots(),
            int(self._failure_average * 1000),
            *waits,
        ]

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
        now = self._clock.seconds()
        for request in self._requests:
            log(
                "request.open-at-stop",
                id=get_header(request.forward.headers, self._dialect.attempt_id),
                is_running=request.is_sent,
                held_s=round(now - request.submitted_at, 3),
                left_s=round(request.deadline - now, 3),
            )

    def close(self) -> None:
        """Close idle connections to the worker, and start nothing more."""
        self._pool.close()
        timer, self._limit_timer = self._limit_timer, None
        if timer is not None:
            timer.cancel()
