"""Outbound proxy: routes, places, retries and answers requests of local callers."""

from collections.abc import Callable
from typing import Any

from bamboocove.coordination.body_queue import may_keep
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.hand_back import HANDED_BACK
from bamboocove.coordination.placement import (
    HostView,
    QueueReport,
    estimate_wait,
)
from bamboocove.coordination.retry_limits import RetryBudgets, may_retry
from bamboocove.coordination.worker_queue import INTERNAL_PRIORITY
from bamboocove.coordination.zone_traffic import RouteTraffic, ZoneTraffic
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    CRASHED,
    LOST,
    PLACED_AGAIN_FIELD,
    REFUSED,
    SHED,
    TIMED_OUT,
    WRONG_WORKER,
    BodyGrant,
    Reply,
    ReplyOffer,
    ReplyPart,
)
from bamboocove.sidecar.attempts import Attempt, AttemptTable
from bamboocove.sidecar.body_receiver import BodyReceiver
from bamboocove.sidecar.candidates import MAX_HOSTS_TRIED, CandidateSelector
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.error_responses import send_error
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.metrics import MeshMetrics
from bamboocove.sidecar.outbound_request import (
    DEADLINE_GRACE_S,
    OutboundRequest,
    RequestRouter,
    identify_request,
    log_open_at_stop,
    log_repeated,
)
from bamboocove.sidecar.outbound_responses import Responder
from bamboocove.sidecar.refusals import (
    STOPPING_REASON,
    SUSPECT_REASON,
    exclude_alike,
)
from bamboocove.sidecar.rules import RuleTable
from bamboocove.sidecar.settings import HostSettings
from bamboocove.sidecar.silent_hosts import SilentHosts
from bamboocove.sidecar.suspect_requests import SuspectRequests
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import get_header

# Time in seconds for which a host that refused a request gets no request of the
# same or a lower priority, unless a newer record of the host arrives.
REFUSAL_BACKOFF_S = 0.05
# Mean Retry-After of a node that is not ready or is draining, in seconds.
UNAVAILABLE_RETRY_AFTER_S = 0.3
FIRST_SERVER_ERROR = 500
# An attempt is not started with less time than this before the deadline, in seconds.
MIN_ATTEMPT_S = 0.02


class OutboundProxy:
    """Sends the requests of callers on this host to hosts that can run them.

    Parameters
    ----------
    settings : HostSettings
        Identity, zone and addresses of this node.
    dialect : Dialect
        Names of header fields and paths.
    fleet : Fleet
        Known hosts and the state of their workers.
    inbound : InboundProxy
        Queue of the worker on this host.
    hub : LinkHub
        Links to other nodes.
    rules : RuleTable
        Versions of services that may run requests, and their traffic shares.
    metrics : MeshMetrics
        Counters and histograms.
    clock : reactor
        Source of time.
    random : callable
        Returns a float from 0 to 1.
    budget : ByteBudget
        Bodies that this node holds.
    suspects : SuspectRequests
        Requests that crash workers.
    """

    def __init__(
        self,
        settings: HostSettings,
        dialect: Dialect,
        fleet: Fleet,
        inbound: InboundProxy,
        hub: LinkHub,
        rules: RuleTable,
        metrics: MeshMetrics,
        clock: Any,
        random: Callable[[], float],
        budget: ByteBudget,
        suspects: SuspectRequests,
    ):
        self.settings = settings
        self._dialect = dialect
        self._fleet = fleet
        self._inbound = inbound
        self._hub = hub
        self._rules = rules
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self._budget = budget
        self._body_receiver = BodyReceiver(
            budget,
            clock,
            self._place,
            lambda *args: self.responder.respond_with_error(*args),
            random,
            lambda: self.router.config.max_body_bytes,
        )
        self.router = RequestRouter(dialect, inbound.is_running, random)
        self._candidates = CandidateSelector(fleet, rules, random)
        self._attempts = AttemptTable(
            lambda: self.settings, fleet, inbound, hub, self.on_reply, budget
        )
        self.crashes = suspects.crashes
        self._suspects = suspects
        self.budgets = RetryBudgets()
        self._traffic = metrics.zone_traffic = ZoneTraffic()
        self.responder = Responder(
            self.router,
            self._attempts,
            suspects,
            budget,
            metrics,
            clock,
            random,
            self._body_receiver.release,
        )
        self._requests = self.responder.requests
        self._silent_hosts = SilentHosts(
            self._attempts,
            fleet,
            self.budgets,
            budget,
            self.responder,
            self._dispatch,
            self._candidates.select,
            self._may_retry,
            self._on_lost,
        )
        # Takes a request and a callback; returns whether the request may go on now.
        self.admit: Callable[[OutboundRequest, Callable], bool] = lambda *args: True
        self.on_host_lost = self._silent_hosts.on_host_lost
        self.on_host_suspect = self._silent_hosts.on_host_suspect
        self.check_keys: Callable[[OutboundRequest], ErrorResult | None] = (
            lambda request: None
        )

    @property
    def in_flight(self) -> int:
        """Number of requests that have no response yet."""
        return len(self._requests)

    def get_views(self, service: str) -> list[HostView]:
        """Return the hosts whose workers may run requests for a service."""
        return self._candidates.get_allowed(service)

    def get_traffic(self, service: str, route: str) -> RouteTraffic:
        """Return the traffic between zones of a route to a service."""
        return self._traffic.get(service, route)

    def take(self, exchange: Exchange) -> None:
        """Handle a request of a caller."""
        request = self.router.accept(exchange, self._clock.seconds())
        if isinstance(request, ErrorResult):
            status = send_error(
                exchange, request, self.responder.get_retry_after(request)
            )
            self._metrics.count_failed_request(request.kind.value)
            log(
                "request.refused",
                id=get_header(exchange.headers, self._dialect.attempt_id),
                status=status,
                reason=str(request),
                config=self.router.config.version,
            )
            return
        self._requests.add(request)
        exchange.on_closed = lambda error: self._on_closed(request, error)
        left_s = request.deadline - request.started_at + DEADLINE_GRACE_S
        request.timer = self._clock.callLater(left_s, self._on_deadline, request)
        if exchange.is_complete and not exchange.held:
            exchange.is_ended = True
            self._place(request)
        else:
            self._body_receiver.receive(request)

    def end_requests(self) -> None:
        """Respond to all open requests with an error, because the node stops."""
        self._end_requests(list(self._requests))

    def refuse_unsent(self) -> None:
        """Refuse the open requests that no worker can have got; the node will stop."""
        self._end_requests(
            [r for r in self._requests if not self.responder.may_be_sent(r)]
        )

    def _end_requests(self, requests: list[OutboundRequest]) -> None:
        now = self._clock.seconds()
        for request in requests:
            if request.is_ended:
                continue
            try:
                log_open_at_stop(request, self.responder.may_be_sent(request), now)
                self.responder.respond_stopping(request)
            except Exception:
                self.responder.end_failed(request)

    def _on_closed(self, request: OutboundRequest, error: ErrorResult) -> None:
        """Cancel a request that its connection has ended."""
        if request.is_ended:
            return
        if error.kind is ErrorKind.CANCELLED:
            log("request.caller-left", id=request.attempt_id, host=request.host_id)
        else:
            log(
                "request.failed",
                id=request.attempt_id,
                kind=error.kind.value,
                reason=error.reason,
                route=request.route.name,
                service=request.service,
                host=request.host_id,
            )
        self._metrics.count_failed_request(error.kind.value)
        if not (request.sent or self.responder.may_be_sent(request)):
            self.responder.on_not_run(request)
        self.responder.finish(request)

    # Placement of requests on hosts.

    def _place(self, request: OutboundRequest) -> None:
        if request.is_ended:
            return
        now = self._clock.seconds()
        request.received_at = now
        if not self.admit(request, self._place):
            return
        is_internal = request.priority == INTERNAL_PRIORITY
        if not self.router.may_take(request.route, now, request.deadline, is_internal):
            self.responder.respond_stopping(request)
            return
        error = self.check_keys(request)
        if error is not None:
            retry_after_s = self.responder.get_retry_after(error)
            self.responder.respond_with_error(request, error, retry_after_s)
            return
        self.budgets.earn(request.service)
        if self.crashes.has_suspects(now):
            request.fingerprint = identify_request(request, self.settings.service)
            if self.crashes.is_blocked(request.fingerprint, now):
                if not self.responder.has_completed(request, now):
                    self._refuse_suspect(request)
                    return
                self._suspects.clear(request.fingerprint)
        self._dispatch(request, now)

    def _refuse_suspect(self, request: OutboundRequest) -> None:
        if self.responder.may_be_sent(request):
            self.responder.fail(request, ErrorKind.UPSTREAM_LOST, SUSPECT_REASON)
        else:
            self.responder.refuse(request, ErrorKind.SUSPECT_REQUEST, SUSPECT_REASON)

    def _dispatch(self, request: OutboundRequest, now: float) -> None:
        """Send a request to the best host that has not refused or failed it.

        Answers with an error if no host is left, or if the node stops too soon.
        """
        if request.deadline - now < MIN_ATTEMPT_S and not self.responder.may_be_sent(
            request
        ):
            self.responder.refuse(
                request, ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time is left"
            )
            return
        if now >= self.router.drain_window.end_at:
            # A host that was silent may still answer, until the node stops.
            if request.earlier_attempt is None:
                self.responder.respond_stopping(request)
            return
        traffic = self._traffic.get(request.service, request.route.name)
        while True:
            views = self._candidates.select(request)
            view = None
            if request.hosts_tried < MAX_HOSTS_TRIED:
                view = self._candidates.pick(
                    request, views, self.settings.zone, traffic, now
                )
            if view is None:
                self.responder.refuse_unplaced(request, views)
                return
            request.hosts_tried += 1
            request.passed_at = now
            if self._attempts.start(request, view, now):
                if view.zone != self.settings.zone:
                    traffic.count_left()
                return
            request.excluded_host_ids.add(view.host_id)
            self._fleet.suspend(view.host_id, now)

    def on_grant(self, grant: BodyGrant, now: float) -> None:
        """Send the request whose body a host has permitted."""
        self._attempts.send_granted(grant, now)

    def on_reply_offer(self, offer: ReplyOffer, host_id: str) -> None:
        """Permit a host to send a large reply, now or when there is room for it."""
        self._attempts.take_reply_offer(offer, host_id)

    def on_reply_part(self, part: ReplyPart) -> None:
        """Keep a part of a large reply."""
        self._attempts.take_reply_part(part)

    # Replies and failures of hosts.

    def on_reply(self, reply: Reply) -> None:
        """Handle the reply of a host: deliver, retry or fail the request."""
        attempt = self._attempts.get(reply.stream)
        if attempt is None:
            return
        reply = attempt.join_parts(reply)
        # Counted while the body passes from the attempt to the caller, so that no other
        # takes its room meanwhile.
        size = len(reply.body)
        self._budget.add_unread(size)
        try:
            self._handle_reply(attempt, reply)
        except Exception:
            # Nothing else would end the request before its deadline.
            self.responder.end_failed(attempt.request)
        finally:
            self._budget.release_unread(size)

    def _handle_reply(self, attempt: Attempt, reply: Reply) -> None:
        now = self._clock.seconds()
        request = attempt.request
        running, slots, failures, *waits = reply.load
        report = QueueReport(running, slots, failures, tuple(waits))
        attempt.view.update_report(report, now)
        if reply.outcome == REFUSED and reply.body == HANDED_BACK.encode():
            request.headers.append([PLACED_AGAIN_FIELD, b"1"])
        if reply.outcome == ANSWERED:
            service_s = reply.service_ms / 1000
            attempt.view.record_service_time(request.route.name, service_s)
            self._attempts.client_errors.record(
                request.route.name, request.service, attempt.view.version, reply.status
            )
        self._traffic.get(request.service, request.route.name).record_reply(
            len(reply.body) + (0 if attempt.is_offered else len(request.body)),
            attempt.view.zone != self.settings.zone,
            reply.outcome == ANSWERED,
        )
        is_earlier = attempt is request.earlier_attempt
        self._attempts.close(attempt)
        if request.is_ended:
            return
        if is_earlier:
            self._silent_hosts.on_earlier_reply(attempt, reply, now)
            return
        if reply.outcome == ANSWERED:
            self._on_answered(request, reply, now)
        elif reply.outcome in (REFUSED, WRONG_WORKER):
            self._on_refused(request, reply, now)
        elif reply.outcome == SHED:
            request.sent += 1
            self._retry_shed(request, now)
        elif reply.outcome in (LOST, CRASHED):
            request.sent += 1
            reason = reply.body.decode("latin-1")
            self._on_lost(request, reason, now, reply.outcome == CRASHED)
        elif reply.outcome == TIMED_OUT:
            self.responder.fail(
                request, ErrorKind.DEADLINE_AFTER_DISPATCH, "no answer in time"
            )

    def _on_answered(self, request: OutboundRequest, reply: Reply, now: float) -> None:
        request.sent += 1
        if (
            reply.status >= 500
            and request.route.is_idempotent
            and self._may_retry(request, now)
            and may_keep(self._budget, len(reply.body))
            and self.budgets.spend(request.service)
        ):
            log_repeated(request, request.host_id, status=reply.status)
            request.excluded_host_ids.add(request.host_id)
            # Delivered if no further attempt succeeds.
            self.responder.keep_fallback(request, reply)
            request.hosts_tried = 1
            self._dispatch(request, now)
            return
        self.responder.deliver(request, reply, now)

    def _on_refused(self, request: OutboundRequest, reply: Reply, now: float) -> None:
        request.last_reason = reply.body.decode("latin-1")
        request.may_return_soon = False
        if request.last_reason == HANDED_BACK:
            # The host still takes the request, if no other one turns out to be better.
            request.hosts_tried = max(1, request.hosts_tried - 1)
            self._dispatch(request, now)
            return
        if request.last_reason == SUSPECT_REASON:
            self._refuse_suspect(request)
            return
        request.excluded_host_ids.add(request.host_id)
        exclude_alike(request, self._fleet)
        if reply.outcome == WRONG_WORKER:
            self._fleet.suspend(request.host_id, now)
        elif request.last_reason != STOPPING_REASON:
            # A host that stops refuses requests for their deadlines, not for its load.
            request.view.record_refusal(request.priority, now + REFUSAL_BACKOFF_S, now)
        self._dispatch(request, now)

    def _retry_shed(self, request: OutboundRequest, now: float) -> None:
        """Retry on another host after a worker did not execute the request."""
        request.excluded_host_ids.add(request.host_id)
        request.last_reason = "the worker did not take the request"
        wait_s = estimate_wait(request.view, request.priority, 0.0, now)
        request.may_return_soon = wait_s == 0.0
        if self._may_retry(request, now) and self.budgets.spend(request.service):
            request.hosts_tried = 1
            self._dispatch(request, now)
        else:
            self.responder.refuse_unplaced(request, self._candidates.select(request))

    def _may_retry(self, request: OutboundRequest, now: float) -> bool:
        return may_retry(
            request.sent, request.route.attempts, request.deadline - now, MIN_ATTEMPT_S
        )

    def _on_lost(
        self, request: OutboundRequest, reason: str, now: float, is_crash: bool = False
    ) -> None:
        request.may_have_run = True
        request.stays_in_zone |= request.view.zone != self.settings.zone
        request.excluded_host_ids.add(request.host_id)
        if is_crash:
            request.fingerprint = identify_request(request, self.settings.service)
            self.crashes.record(request.fingerprint, request.host_id, now)
            self._suspects.keep_blocked([request.fingerprint])
        if (
            request.route.is_idempotent
            and not self.crashes.is_blocked(request.fingerprint, now)
            and self._may_retry(request, now)
            and self.budgets.spend(request.service)
        ):
            log_repeated(request, request.host_id, lost=reason)
            request.hosts_tried = 1
            self._dispatch(request, now)
            return
        self.responder.fail(request, ErrorKind.UPSTREAM_LOST, reason)

    def _on_deadline(self, request: OutboundRequest) -> None:
        request.timer = None
        if request.is_ended:
            return
        is_offered = request.attempt is not None and request.attempt.is_offered
        may_be_sent = self.responder.may_be_sent(request)
        if request.received_at is None:
            reason = "its body did not arrive in time"
            self.responder.refuse(request, ErrorKind.DEADLINE_BEFORE_DISPATCH, reason)
            return
        self._attempts.cancel_all(request)
        if not may_be_sent:
            reason = "no room for its body in time" if is_offered else "waited too long"
            self.responder.refuse(request, ErrorKind.DEADLINE_BEFORE_DISPATCH, reason)
            return
        reason = "no answer in time"
        self.responder.fail(request, ErrorKind.DEADLINE_AFTER_DISPATCH, reason)
