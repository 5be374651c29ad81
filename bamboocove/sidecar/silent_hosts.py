"""Requests at hosts that fall silent or are lost, which other hosts may still run."""

from collections.abc import Callable
from typing import Any

from attrs import define

from bamboocove.coordination.body_queue import may_keep
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.placement import HostView
from bamboocove.coordination.retry_limits import RetryBudgets
from bamboocove.errors import ErrorKind
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    REFUSED,
    SHED,
    TIMED_OUT,
    WRONG_WORKER,
    Reply,
)
from bamboocove.sidecar.attempts import Attempt, AttemptTable
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.outbound_request import OutboundRequest, log_repeated
from bamboocove.sidecar.outbound_responses import Responder


@define(eq=False, slots=False)
class SilentHosts:
    """Places requests of hosts that fall silent or are lost on other hosts.

    Parameters
    ----------
    attempts : AttemptTable
        Attempts at hosts.
    fleet : Fleet
        Known hosts.
    budgets : RetryBudgets
        Retry budget of each service.
    budget : ByteBudget
        Bodies that this node holds.
    responder : Responder
        Responds to callers.
    dispatch : callable
        Called with a request and the time; sends it to another host.
    select : callable
        Called with a request; returns the hosts that may run it.
    can_retry : callable
        Called with a request and the time; returns whether one more worker may get it.
    on_lost : callable
        Called with a request that may have run, a reason and the time.
    """

    attempts: AttemptTable
    fleet: Fleet
    budgets: RetryBudgets
    budget: ByteBudget
    responder: Responder
    dispatch: Callable[[OutboundRequest, float], None]
    select: Callable[[OutboundRequest], list[HostView]]
    can_retry: Callable[[OutboundRequest, float], bool]
    on_lost: Callable[[OutboundRequest, str, float], None]

    def on_earlier_reply(self, attempt: Attempt, reply: Reply, now: float) -> None:
        """Handle the reply of a host that was silent for some time."""
        request = attempt.request
        if reply.outcome == TIMED_OUT and request.attempt is None:
            self.responder.fail(
                request, ErrorKind.DEADLINE_AFTER_DISPATCH, "no answer in time"
            )
            return
        if reply.outcome in (REFUSED, WRONG_WORKER, SHED):
            reason = reply.body.decode("latin-1")
            self._on_earlier_refused(request, reason, now, reply.outcome == SHED)
            return
        if reply.outcome != ANSWERED:
            self._on_earlier_lost(request)
            return
        if (
            reply.status >= 500
            and request.attempt is not None
            and may_keep(self.budget, len(reply.body))
        ):
            self.responder.keep_fallback(request, reply)
            return
        request.host_id = attempt.host_id
        request.view = attempt.view
        self.responder.deliver(request, reply, now)

    def _on_earlier_refused(
        self, request: OutboundRequest, reason: str, now: float, is_shed: bool = False
    ) -> None:
        """Place a request again that a host, silent for some time, has not run.

        One that its worker has shed is placed again as a retry.
        """
        if not is_shed:
            request.sent -= 1
        request.last_reason = reason or "the worker did not take the request"
        if request.attempt is not None:
            return
        if request.may_have_run:
            self.responder.fail(request, ErrorKind.UPSTREAM_LOST, request.last_reason)
        elif not is_shed:
            self.dispatch(request, now)
        elif self.can_retry(request, now) and self.budgets.spend(request.service):
            request.hosts_tried = 1
            self.dispatch(request, now)
        else:
            self.responder.refuse_unplaced(request, self.select(request))

    def _on_earlier_lost(self, request: OutboundRequest) -> None:
        request.may_have_run = True
        if request.attempt is None:
            reason = "the host was silent and did not answer"
            self.responder.fail(request, ErrorKind.UPSTREAM_LOST, reason)

    def on_host_lost(self, host_id: str, now: float, has_replied: bool = False) -> None:
        """Retry or fail the requests in flight to a host whose link was lost.

        Parameters
        ----------
        host_id : str
            The host.
        now : float
            Seconds of the local clock.
        has_replied : bool
            Whether the host has replied to all requests that it had read. It has not
            read the others, which are placed on other hosts.
        """
        for attempt in self.attempts.find(host_id):
            self._attempt(attempt, self._end_lost, now, has_replied)

    def _attempt(self, attempt: Attempt, step: Callable, *args: Any) -> None:
        """Take a step for an attempt; end its request if that raises an exception.

        The other requests at the host would otherwise wait until their deadlines.
        """
        try:
            step(attempt, *args)
        except Exception:
            self.responder.end_failed(attempt.request)

    def _end_lost(self, attempt: Attempt, now: float, has_replied: bool) -> None:
        request = attempt.request
        is_unread = has_replied and attempt.reply_size is None
        is_earlier = attempt is request.earlier_attempt
        if attempt.is_offered or is_unread and not is_earlier:
            self._withdraw(attempt, now)
            return
        self.attempts.close(attempt)
        if is_earlier and is_unread:
            self._on_earlier_refused(request, "the host stopped", now)
        elif is_earlier:
            self._on_earlier_lost(request)
        else:
            request.sent += 1
            self.on_lost(request, "the host was lost", now)

    def on_host_suspect(self, host_id: str, now: float) -> None:
        """Send idempotent requests of an unresponsive host to other hosts, too.

        The host may only be slow to answer, and its worker is at work on them. The
        first answer counts; without another host that takes a request, its answer is
        awaited.
        """
        self.fleet.suspend(host_id, now)
        for attempt in self.attempts.find(host_id):
            self._attempt(attempt, self._repeat, now)

    def _repeat(self, attempt: Attempt, now: float) -> None:
        request = attempt.request
        if attempt.is_offered:
            self._withdraw(attempt, now)
            return
        if not request.route.is_idempotent or request.earlier_attempt is not None:
            return
        request.sent += 1
        if self.can_retry(request, now) and self.budgets.spend(request.service):
            request.earlier_attempt, request.attempt = attempt, None
            own_zone = self.attempts.get_settings().zone
            request.stays_in_zone |= attempt.view.zone != own_zone
            request.excluded_host_ids.add(attempt.host_id)
            request.hosts_tried = 1
            log_repeated(request, attempt.host_id, lost="silent")
            self.dispatch(request, now)
        else:
            request.sent -= 1

    def _withdraw(self, attempt: Attempt, now: float) -> None:
        """Place a request that its host has not got on another one."""
        request = attempt.request
        self.attempts.cancel(attempt)
        request.excluded_host_ids.add(attempt.host_id)
        request.last_reason = "host does not answer"
        self.dispatch(request, now)
