"""Responses of the outbound proxy to callers: a worker's, or an error of the node."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.placement import HostView
from bamboocove.coordination.retry_after import (
    compute_retry_after,
)
from bamboocove.coordination.retry_limits import CompletedRequests, make_completed_key
from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult
from bamboocove.protocol.mesh_messages import Reply
from bamboocove.sidecar.attempts import AttemptTable
from bamboocove.sidecar.body_writer import send_body
from bamboocove.sidecar.error_responses import send_error
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.metrics import MeshMetrics
from bamboocove.sidecar.outbound_request import OutboundRequest, RequestRouter
from bamboocove.sidecar.suspect_requests import SuspectRequests

# Mean Retry-After of a node that is not ready, is draining, or has to hear from a
# reader first, in seconds.
UNAVAILABLE_RETRY_AFTER_S = 0.3
UNAVAILABLE_KINDS = (ErrorKind.NOT_READY, ErrorKind.DRAINING, ErrorKind.STALE_KEYS)
FIRST_SERVER_ERROR = 500
# Status codes that tell callers that a request has not run, so that they may send it
# again even if it is not idempotent.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


@define(eq=False, slots=False)
class Responder:
    """Ends the requests of callers with a response, and forgets them.

    Parameters
    ----------
    router : RequestRouter
        Configuration in force, and the time that requests took by route.
    attempts : AttemptTable
        Attempts of requests, cancelled when their request ends.
    suspects : SuspectRequests
        Requests that crash workers.
    budget : ByteBudget
        Bodies that this node holds.
    metrics : MeshMetrics
        Counters and histograms.
    clock : reactor
        Source of time.
    random : callable
        Returns a float from 0 to 1.
    on_finished : callable
        Called with each request that has ended.
    requests : set of OutboundRequest
        Requests that have no response yet.
    on_not_run : callable
        Called with each request that is refused and that no worker has run.
    """

    router: RequestRouter
    attempts: AttemptTable
    suspects: SuspectRequests
    budget: ByteBudget
    metrics: MeshMetrics
    clock: Any
    random: Callable[[], float]
    on_finished: Callable[[OutboundRequest], None]
    requests: set[OutboundRequest] = field(factory=set)
    on_not_run: Callable[[OutboundRequest], None] = lambda request: None
    _completed: CompletedRequests = field(factory=CompletedRequests)

    def has_completed(self, request: OutboundRequest, now: float) -> bool:
        """Return whether a worker has completed an equal request recently."""
        return self._completed.is_recent(_make_key(request), now)

    def get_retry_after(self, error: ErrorResult) -> float:
        """Return the delay after which a caller should retry, in seconds."""
        if error.kind in UNAVAILABLE_KINDS:
            return UNAVAILABLE_RETRY_AFTER_S * (0.5 + self.random())
        return 0.0

    def may_be_sent(self, request: OutboundRequest) -> bool:
        """Return whether a worker may have got a request."""
        return request.may_have_run or self.attempts.has_sent(request)

    def respond_stopping(self, request: OutboundRequest) -> None:
        """Respond to a request because the node stops."""
        request.exchange.close_connection()
        if self.may_be_sent(request):
            reason = "the node stops before the answer has arrived"
            error = ErrorResult(ErrorKind.UPSTREAM_LOST, reason)
        else:
            error = ErrorResult(ErrorKind.DRAINING, "the node is stopping")
        self.respond_with_error(request, error, self.get_retry_after(error))

    def refuse_unplaced(self, request: OutboundRequest, views: list[HostView]) -> None:
        """Respond to a request that no host is left for."""
        if self.may_be_sent(request):
            self.fail(request, ErrorKind.UPSTREAM_LOST, "no other worker is left")
            return
        if not views and self.router.is_starting(self.clock.seconds()):
            error = ErrorResult(ErrorKind.NOT_READY, "no worker is reached yet")
            self.respond_with_error(request, error, self.get_retry_after(error))
            return
        kind = ErrorKind.OVERLOADED if views else ErrorKind.NO_UPSTREAM
        reason = request.last_reason or "no worker may be asked"
        self.refuse(request, kind, reason)

    def refuse(self, request: OutboundRequest, kind: ErrorKind, reason: str) -> None:
        """Respond that a request has not run, with the delay until a retry."""
        left_s = request.caller_deadline - self.clock.seconds()
        retry_after_s = compute_retry_after(
            left_s, self.random, request.may_return_soon
        )
        self.respond_with_error(request, ErrorResult(kind, reason), retry_after_s)

    def fail(self, request: OutboundRequest, kind: ErrorKind, reason: str) -> None:
        """Respond that a request has failed, unless a silent host may still answer."""
        if request.earlier_attempt is not None:
            # The host that was silent may still answer, at the latest by the deadline.
            return
        self.respond_with_error(request, ErrorResult(kind, reason))

    def respond_with_error(
        self, request: OutboundRequest, error: ErrorResult, retry_after_s: float = 0.0
    ) -> None:
        """Respond with an error, or with that of a worker if one was kept."""
        now = self.clock.seconds()
        if request.fallback_reply is not None:
            self.deliver(request, request.fallback_reply, now)
            return
        if ERROR_RESPONSES[error.kind].run == "not-run":
            self.on_not_run(request)
        exchange = request.exchange
        exchange.on_closed = None
        self.finish(request)
        self.metrics.count_failed_request(error.kind.value)
        if not exchange.is_complete:
            exchange.is_keep_alive = False
        status = send_error(exchange, error, retry_after_s)
        log(
            "request.failed",
            id=request.attempt_id,
            status=status,
            kind=error.kind.value,
            reason=error.reason,
            route=request.route.name,
            service=request.service,
            host=request.host_id,
            asked=request.hosts_tried,
            sent=request.sent,
            held_s=round(now - request.started_at, 4),
            received_s=request.get_age(request.received_at),
            passed_s=request.get_age(request.passed_at),
            config=self.router.config.version,
            return_s=round(retry_after_s, 3),
        )

    def finish(self, request: OutboundRequest) -> None:
        """Forget a request that has ended."""
        request.is_ended = True
        if request.passed_at is not None:
            now = self.clock.seconds()
            seconds = now - request.received_at
            self.router.slowest.record(request.route.name, seconds, now)
        self.attempts.cancel_all(request)
        self.requests.discard(request)
        self.on_finished(request)
        fallback, request.fallback_reply = request.fallback_reply, None
        if fallback is not None:
            self.budget.release(len(fallback.body))
        timer, request.timer = request.timer, None
        if timer is not None and timer.active():
            timer.cancel()
        request.exchange.on_data = request.exchange.on_end = None

    def end_failed(self, request: OutboundRequest) -> None:
        """End a request because of the exception that is being handled."""
        request.exchange.fail()
        if request in self.requests:
            self.finish(request)

    def keep_fallback(self, request: OutboundRequest, reply: Reply) -> None:
        """Keep an error response of a worker, for the case that no retry succeeds."""
        if request.fallback_reply is not None:
            self.budget.release(len(request.fallback_reply.body))
        self.budget.pass_on(len(reply.body))
        request.fallback_reply = reply

    def deliver(self, request: OutboundRequest, reply: Reply, now: float) -> None:
        """Respond with the response of a worker.

        A worker that has not run a request says so, and its response does not come
        here. So a status that denies it is not passed on for a request that must not
        run twice.
        """
        if reply.status in NOT_RUN_STATUSES and not request.route.is_idempotent:
            reason = f"the worker answered {reply.status} and may have run the request"
            self.fail(request, ErrorKind.UPSTREAM_LOST, reason)
            return
        seconds = now - request.started_at
        self.metrics.record_response(request.route.name, reply.status, seconds)
        if reply.status < FIRST_SERVER_ERROR:
            self._completed.add(_make_key(request), now)
            if request.fingerprint:
                self.suspects.clear(request.fingerprint)
        log(
            "request.answered",
            id=request.attempt_id,
            status=reply.status,
            route=request.route.name,
            host=request.host_id,
            version=request.view.version,
            asked=request.hosts_tried,
            sent=request.sent,
            seconds=round(seconds, 4),
            received_s=request.get_age(request.received_at),
            passed_s=request.get_age(request.passed_at),
            service_ms=reply.service_ms,
            config=self.router.config.version,
        )
        exchange = request.exchange
        exchange.on_closed = None
        self.finish(request)
        headers = [tuple(item) for item in reply.headers]
        exchange.start(reply.status, headers, len(reply.body))
        send_body(exchange, reply.body, self.budget, self.clock)


def _make_key(request: OutboundRequest) -> int:
    exchange = request.exchange
    return make_completed_key((exchange.method, exchange.target), request.body)
