"""Checks the responses of the worker on this host, and what their loss means."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.coordination.body_queue import PIECE_BYTES, BodyQueue
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.departures import LEAVING_STATES
from bamboocove.coordination.lost_answers import LostAnswers
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    CRASHED,
    LOST,
    REFUSED,
    SHED,
    TIMED_OUT,
)
from bamboocove.sidecar.crash_reports import CrashReports, identify_run
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.inbound_request import FIRST_ERROR_STATUS, InboundRequest
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import Address
from bamboocove.sidecar.worker_watch import WorkerWatch
from bamboocove.state.mesh import MeshWorker
from bamboocove.transport.clients import ClientConnection, ConnectionPool
from bamboocove.transport.connecting import TIMEOUT_REASON
from bamboocove.transport.framing import get_header

# A worker is marked down after this many consecutive time-outs, if it has also
# sent no response for ``MIN_SILENCE_S`` seconds.
MAX_CONSECUTIVE_TIMEOUTS = 3
MIN_SILENCE_S = 1.0
MISDIRECTED_REQUEST_STATUS = 421
FIRST_SERVER_ERROR = 500


@define(eq=False)
class WorkerResponses:
    """Receives the responses to requests that were sent to the worker.

    Parameters
    ----------
    address : (str, int)
        Address on which the worker accepts requests.
    dialect : Dialect
        Names of header fields and paths.
    clock : reactor
        Source of time.
    pool : ConnectionPool
        Connections to the worker.
    watch : WorkerWatch
        State of the worker.
    crash_reports : CrashReports
        Reports of requests that ran when the worker crashed.
    budget : ByteBudget
        Bodies that this node holds.
    end : callable
        Ends a request; called with the request, its outcome, and the keyword
        arguments ``is_failure`` and ``reason``.
    """

    address: Address
    dialect: Dialect
    clock: Any
    pool: ConnectionPool
    watch: WorkerWatch
    crash_reports: CrashReports
    budget: ByteBudget
    end: Callable[..., None]
    _lost_answers: LostAnswers = field(factory=LostAnswers)
    _bodies: BodyQueue = field(init=False)
    _consecutive_timeouts: int = 0
    _last_response_at: float = 0.0

    def __attrs_post_init__(self) -> None:
        self._bodies = BodyQueue(self.budget)
        self.budget.on_release.append(self._resume)

    def forget_timeouts(self) -> None:
        """Count time-outs from now on, because the state of the worker has changed."""
        self._consecutive_timeouts = 0

    def remove(self, request: InboundRequest) -> None:
        """Release the bytes of the response to a request that has ended."""
        self._bodies.remove(request)

    def on_response_head(self, request: InboundRequest, length: int | None) -> None:
        """Reserve room for the body; apply what the head says about the worker."""
        if length is not None and length > PIECE_BYTES:
            if request.forward.method != b"HEAD":
                if not self._bodies.reserve(request, length):
                    self._pause(request, length)
        # A response may come from a worker that was replaced meanwhile, or from another
        # one that has its address.
        if (
            request.status != MISDIRECTED_REQUEST_STATUS
            and request.worker.incarnation == self.watch.worker.incarnation
        ):
            self.watch.update_from_response(request.headers, self.clock.seconds())

    def on_response_data(self, request: InboundRequest, size: int) -> None:
        """Count a part of a body; stop reading it while there is no room."""
        if size and not self._bodies.count(request, size):
            self._pause(request, sum(map(len, request.body_parts)))

    def _pause(self, request: InboundRequest, size: int) -> None:
        if request.connection.is_paused:
            return
        request.connection.pause()
        log(
            "request.response-waits",
            id=get_header(request.forward.headers, self.dialect.attempt_id),
            size=size,
            held=self.budget.held,
            limit=self.budget.limit,
        )

    def _resume(self) -> None:
        for request in self._bodies.take_ready():
            if request.connection is not None:
                request.connection.resume()

    def on_response_end(self, request: InboundRequest) -> None:
        """Check the complete response of the worker and reply with it."""
        status = request.status
        not_run = get_header(request.headers, self.dialect.not_run) is not None
        self._consecutive_timeouts = 0
        self._last_response_at = self.clock.seconds()
        signature = get_header(request.headers, self.dialect.signature)
        if status < FIRST_ERROR_STATUS and signature is None:
            self.end(request, LOST, is_failure=True, reason="answer is not signed")
            return
        if status == MISDIRECTED_REQUEST_STATUS or not_run:
            self.end(request, SHED, is_failure=True)
            if status == MISDIRECTED_REQUEST_STATUS:
                self.watch.mark_down("another worker answered at its address")
            return
        if status < FIRST_SERVER_ERROR:
            self.crash_reports.record_completed(request.forward)
        self.end(request, ANSWERED, is_failure=status >= FIRST_SERVER_ERROR)

    def on_response_lost(self, request: InboundRequest, reason: str) -> None:
        """Handle a request whose response was lost.

        Only a crash of the worker makes the request a suspected cause. If a new
        connection is refused, the worker has crashed; else it is watched for a while.
        """
        self._bodies.remove(request)
        if request.is_ended:
            return
        log(
            "request.lost",
            id=get_header(request.forward.headers, self.dialect.attempt_id),
            reason=reason,
        )
        self.pool.connect(
            self.address,
            lambda connection: self._on_reconnected(request, connection, reason),
            lambda failure: self._on_not_reconnected(request, failure),
        )

    def _on_reconnected(
        self, request: InboundRequest, connection: ClientConnection, reason: str
    ) -> None:
        self.pool.put(self.address, connection)
        self._watch_lost(request)
        self.end(request, LOST, is_failure=True, reason=reason)

    def _watch_lost(self, request: InboundRequest) -> None:
        worker = self.watch.worker
        if worker is not None and worker.incarnation == request.worker.incarnation:
            run = identify_run(request.forward, request.attempt_id)
            self._lost_answers.add(run, worker.sequence, self.clock.seconds())

    def _on_not_reconnected(self, request: InboundRequest, reason: str) -> None:
        outcome = LOST
        if reason == TIMEOUT_REASON:
            self._watch_lost(request)
        elif self.crash_reports.record_crash(request.forward):
            outcome = CRASHED
        self.end(request, outcome, is_failure=True, reason=reason)
        self.on_unreachable(reason)

    def on_unreachable(self, reason: str) -> None:
        """Mark the worker down, which may have crashed because of lost requests."""
        # A worker that has many connections waiting is none that has crashed.
        if reason != TIMEOUT_REASON:
            self._report_lost(reason)
        self.watch.mark_down(reason)

    def on_worker_replaced(self, held: MeshWorker) -> None:
        """Report the requests with which the held worker ended without notice."""
        if held.state in LEAVING_STATES:
            self._lost_answers.take()
        else:
            self._report_lost("another start of the worker has reported itself")

    def _report_lost(self, reason: str) -> None:
        for run in self._lost_answers.take():
            if self.crash_reports.record_identified(run):
                log("request.suspect", id=run.attempt_id, reason=reason)

    def tick(self, now: float) -> None:
        """Check whether a worker that has lost answers still accepts connections."""
        worker = self.watch.worker
        if worker is None:
            return
        self._lost_answers.settle(worker.sequence, now)
        if self._lost_answers.start_check(now):
            self.pool.connect(
                self.address,
                lambda connection: connection.abort(),
                self.on_unreachable,
            )

    def on_deadline(self, request: InboundRequest) -> None:
        """End a request that has no response at its deadline."""
        request.timer = None
        if request.is_ended:
            return
        if not request.is_sent:
            self.end(request, REFUSED, reason="no connection in time")
            return
        now = self.clock.seconds()
        if self._bodies.is_waiting(request):
            reason = "no room for its answer in time"
            self.end(request, TIMED_OUT, is_failure=True, reason=reason)
            return
        self._consecutive_timeouts += 1
        self.end(request, TIMED_OUT, is_failure=True, reason="no answer in time")
        if (
            self._consecutive_timeouts >= MAX_CONSECUTIVE_TIMEOUTS
            and now - self._last_response_at > MIN_SILENCE_S
        ):
            self.watch.mark_down("worker does not answer")
