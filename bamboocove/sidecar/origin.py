"""The node's side of the callers on its host: routes, places and answers requests."""

from collections.abc import Callable
from typing import Any

from bamboocove.coordination.fingerprints import digest_body, make_fingerprint
from bamboocove.coordination.placement import (
    HostView,
    QueueReport,
    pick_host,
    plan_return,
)
from bamboocove.coordination.repeats import (
    CrashTable,
    RepeatBudgets,
    may_repeat,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.mesh_messages import (
    ANSWERED,
    CRASHED,
    LOST,
    MAX_FORWARDED_BODY_BYTES,
    REFUSED,
    SHED,
    TIMED_OUT,
    WRONG_WORKER,
    Cancel,
    Forward,
    Reply,
)
from bamboocove.sidecar.answers import refuse
from bamboocove.sidecar.candidates import Candidates
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.flows import Flow, Intake
from bamboocove.sidecar.gate import Gate
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.metrics import MeshMetrics
from bamboocove.sidecar.rules import RuleBook
from bamboocove.sidecar.settings import HostSettings
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import get_header

# Hosts that are asked for one request before it is refused.
MOST_ASKED = 4
# A host that refused is passed over for this time, in seconds, unless its
# report says more.
BUSY_S = 0.05
# The node beside the worker answers at the deadline; this one waits a little
# longer, in seconds.
DEADLINE_GRACE_S = 0.12
# When a caller may come back that this node cannot serve at all, in seconds.
OTHER_NODE_S = 0.3
# Least time that an attempt on another worker is worth, in seconds.
LEAST_LEFT_S = 0.02


class Origin:
    """Takes the requests of callers and has them run somewhere.

    Parameters
    ----------
    settings : HostSettings
        Where this node stands.
    dialect : Dialect
        Names of header fields.
    fleet : Fleet
        The hosts.
    gate : Gate
        Queue of the worker on this host.
    hub : LinkHub
        Links to other nodes.
    rules : RuleBook
        Versions of services that may run requests, and their shares.
    metrics : MeshMetrics
        Counters and histograms.
    clock : reactor
        Source of time.
    random : callable
        Returns a float from 0 to 1.
    """

    def __init__(
        self,
        settings: HostSettings,
        dialect: Dialect,
        fleet: Fleet,
        gate: Gate,
        hub: LinkHub,
        rules: RuleBook,
        metrics: MeshMetrics,
        clock: Any,
        random: Callable[[], float],
    ):
        self.settings = settings
        self._dialect = dialect
        self._fleet = fleet
        self._gate = gate
        self._hub = hub
        self._rules = rules
        self._metrics = metrics
        self._clock = clock
        self._random = random
        self.intake = Intake(dialect, gate.is_running)
        self._candidates = Candidates(fleet, rules, random)
        self._flows_by_stream: dict[int, Flow] = {}
        self._next_stream = 1
        self._flows: set[Flow] = set()
        self.crashes = CrashTable()
        self.budgets = RepeatBudgets()

    @property
    def in_flight(self) -> int:
        """Requests without an answer."""
        return len(self._flows)

    # From the caller.

    def take(self, exchange: Exchange) -> None:
        """Take a request."""
        flow = self.intake.begin(exchange, self._clock.seconds())
        if isinstance(flow, ErrorResult):
            status = refuse(exchange, flow, self._get_return(flow))
            self._metrics.count_own_answer(flow.kind.value)
            log(
                "request.refused",
                id=get_header(exchange.headers, self._dialect.attempt_id),
                status=status,
                reason=str(flow),
                config=self.intake.config.version,
            )
            return
        self._flows.add(flow)
        exchange.on_closed = lambda error: self._on_caller_gone(flow)
        left_s = flow.deadline - flow.started_at + DEADLINE_GRACE_S
        flow.timer = self._clock.callLater(left_s, self._on_deadline, flow)
        if exchange.is_complete and not exchange.held:
            exchange.is_ended = True
            self._place(flow)
        else:
            exchange.receive(flow.parts.append, lambda: self._on_body(flow))

    def _get_return(self, error: ErrorResult) -> float:
        if error.kind in (ErrorKind.NOT_READY, ErrorKind.DRAINING):
            return OTHER_NODE_S * (0.5 + self._random())
        return 0.0

    def _on_body(self, flow: Flow) -> None:
        flow.body = b"".join(flow.parts)
        flow.parts = []
        if len(flow.body) > MAX_FORWARDED_BODY_BYTES:
            reason = f"a body of {len(flow.body)} bytes does not fit a link"
            self._answer_error(flow, ErrorResult(ErrorKind.TOO_LARGE, reason))
            return
        self._place(flow)

    def _on_caller_gone(self, flow: Flow) -> None:
        if flow.is_ended:
            return
        log("request.caller-left", id=flow.attempt_id, host=flow.host_id)
        self._metrics.count_own_answer("cancelled")
        self._release(flow, is_cancelled=True)
        self._finish(flow)

    # Placement.

    def _place(self, flow: Flow) -> None:
        if flow.is_ended:
            return
        now = self._clock.seconds()
        self.budgets.earn(flow.service)
        if flow.deadline - now < LEAST_LEFT_S:
            self._refuse(flow, ErrorKind.DEADLINE_BEFORE_DISPATCH, "no time is left")
            return
        if self.crashes.has_suspects:
            flow.fingerprint = self._make_fingerprint(flow)
            if self.crashes.is_blocked(flow.fingerprint, now):
                reason = "workers were lost while they ran this request"
                self._refuse(flow, ErrorKind.SUSPECT_REQUEST, reason)
                return
        self._ask(flow, now)

    def _ask(self, flow: Flow, now: float) -> None:
        """Send the request to the best host that may still run it."""
        while True:
            views = self._candidates.get(flow)
            view = None
            if flow.asked < MOST_ASKED:
                view = pick_host(
                    views,
                    flow.route.name,
                    flow.priority,
                    flow.route.target_s,
                    self.settings.zone,
                    now,
                    self._random,
                    flow.excluded,
                )
            if view is None:
                self._refuse_unplaced(flow, views)
                return
            flow.asked += 1
            if self._send(flow, view, now):
                return
            flow.excluded.add(view.host_id)
            self._fleet.suspend(view.host_id, now)

    def _send(self, flow: Flow, view: HostView, now: float) -> bool:
        exchange = flow.exchange
        stream = self._next_stream
        self._next_stream += 1
        forward = Forward(
            stream,
            flow.route.name,
            flow.service,
            view.version,
            max(1, int((flow.deadline - now) * 1000)),
            int((flow.target_at - now) * 1000),
            flow.priority,
            flow.route.is_idempotent,
            self.settings.service,
            exchange.method,
            exchange.target,
            flow.headers,
            flow.body,
        )
        flow.stream = stream
        flow.host_id = view.host_id
        flow.view = view
        view.in_flight += 1
        view.sent_since_report += 1
        self._flows_by_stream[stream] = flow
        if view.host_id == self.settings.host_id:
            gate_request = self._gate.submit(forward, self.on_reply)
            # A refusal comes before this and may have sent the request elsewhere.
            if flow.stream == stream:
                flow.gate_request = gate_request
            return True
        if self._hub.send(view.host_id, forward):
            self._hub.peers_by_id[view.host_id].waiting += 1
            return True
        self._forget_stream(flow)
        return False

    def _forget_stream(self, flow: Flow) -> None:
        if self._flows_by_stream.pop(flow.stream, None) is None:
            return
        flow.view.in_flight = max(0, flow.view.in_flight - 1)
        flow.gate_request = None
        peer = self._hub.peers_by_id.get(flow.host_id)
        if peer is not None and peer.waiting:
            peer.waiting -= 1

    def _release(self, flow: Flow, is_cancelled: bool) -> None:
        """Let go of the host that has the request."""
        if flow.stream not in self._flows_by_stream:
            return
        gate_request = flow.gate_request
        self._forget_stream(flow)
        if not is_cancelled:
            return
        if gate_request is not None:
            self._gate.cancel(gate_request)
        else:
            self._hub.send(flow.host_id, Cancel(flow.stream))

    # From the hosts.

    def on_reply(self, reply: Reply) -> None:
        """Take what became of a request."""
        flow = self._flows_by_stream.get(reply.stream)
        if flow is None:
            return
        now = self._clock.seconds()
        running, slots, failures, *waits = reply.load
        flow.view.take_report(QueueReport(running, slots, failures, tuple(waits)), now)
        if reply.outcome == ANSWERED:
            flow.view.record_service_time(flow.route.name, reply.service_ms / 1000)
        self._forget_stream(flow)
        if flow.is_ended:
            return
        if reply.outcome == ANSWERED:
            self._on_answer(flow, reply, now)
        elif reply.outcome in (REFUSED, WRONG_WORKER):
            self._on_refused(flow, reply, now)
        elif reply.outcome == SHED:
            flow.sent += 1
            self._retry_unrun(flow, now)
        elif reply.outcome in (LOST, CRASHED):
            flow.sent += 1
            reason = reply.body.decode("latin-1")
            self._on_lost(flow, reason, now, reply.outcome == CRASHED)
        elif reply.outcome == TIMED_OUT:
            self._fail(flow, ErrorKind.DEADLINE_AFTER_DISPATCH, "no answer in time")

    def _on_answer(self, flow: Flow, reply: Reply, now: float) -> None:
        flow.sent += 1
        if (
            reply.status >= 500
            and flow.route.is_idempotent
            and self._may_repeat(flow, now)
            and self.budgets.spend(flow.service)
        ):
            log(
                "request.repeated",
                id=flow.attempt_id,
                host=flow.host_id,
                status=reply.status,
            )
            flow.excluded.add(flow.host_id)
            # It is the best answer if no other one comes.
            flow.held_reply = reply
            flow.asked = 1
            self._ask(flow, now)
            return
        self._deliver(flow, reply, now)

    def _deliver(self, flow: Flow, reply: Reply, now: float) -> None:
        seconds = now - flow.started_at
        self._metrics.record_answer(flow.route.name, reply.status, seconds)
        if self.crashes.has_suspects and flow.fingerprint:
            self.crashes.clear(flow.fingerprint)
        log(
            "request.answered",
            id=flow.attempt_id,
            status=reply.status,
            route=flow.route.name,
            host=flow.host_id,
            version=flow.view.version,
            asked=flow.asked,
            sent=flow.sent,
            seconds=round(seconds, 4),
            service_ms=reply.service_ms,
            config=self.intake.config.version,
        )
        exchange = flow.exchange
        exchange.on_closed = None
        self._finish(flow)
        headers = [tuple(item) for item in reply.headers]
        exchange.start(reply.status, headers, len(reply.body))
        exchange.finish(b"" if exchange.method == b"HEAD" else reply.body)

    def _on_refused(self, flow: Flow, reply: Reply, now: float) -> None:
        flow.last_reason = reply.body.decode("latin-1")
        flow.excluded.add(flow.host_id)
        if reply.outcome == REFUSED:
            flow.view.take_refusal(flow.priority, now + BUSY_S, now)
        else:
            self._fleet.suspend(flow.host_id, now)
        self._ask(flow, now)

    def _retry_unrun(self, flow: Flow, now: float) -> None:
        """Ask another worker after one said that it did not run the request."""
        flow.excluded.add(flow.host_id)
        flow.last_reason = "the worker did not take the request"
        if self._may_repeat(flow, now) and self.budgets.spend(flow.service):
            flow.asked = 1
            self._ask(flow, now)
        else:
            self._refuse_unplaced(flow, self._candidates.get(flow))

    def _may_repeat(self, flow: Flow, now: float) -> bool:
        return may_repeat(
            flow.sent, flow.route.attempts, flow.deadline - now, LEAST_LEFT_S
        )

    def _on_lost(
        self, flow: Flow, reason: str, now: float, is_crash: bool = False
    ) -> None:
        flow.was_lost = True
        flow.excluded.add(flow.host_id)
        if is_crash:
            flow.fingerprint = self._make_fingerprint(flow)
            self.crashes.record(flow.fingerprint, now)
        if (
            flow.route.is_idempotent
            and not self.crashes.is_blocked(flow.fingerprint, now)
            and self._may_repeat(flow, now)
            and self.budgets.spend(flow.service)
        ):
            log("request.repeated", id=flow.attempt_id, host=flow.host_id, lost=reason)
            flow.asked = 1
            self._ask(flow, now)
            return
        self._fail(flow, ErrorKind.UPSTREAM_LOST, reason)

    def on_host_lost(self, host_id: str, now: float) -> None:
        """End or repeat the requests that were on the link to a host."""
        for flow in list(self._flows_by_stream.values()):
            if flow.host_id == host_id:
                self._forget_stream(flow)
                flow.sent += 1
                self._on_lost(flow, "the host was lost", now)

    def on_host_suspect(self, host_id: str, now: float) -> None:
        """Repeat elsewhere what may be repeated while a host does not answer."""
        self._fleet.suspend(host_id, now)
        for flow in list(self._flows_by_stream.values()):
            if flow.host_id != host_id or not flow.route.is_idempotent:
                continue
            flow.sent += 1
            if self._may_repeat(flow, now) and self.budgets.spend(flow.service):
                self._release(flow, is_cancelled=True)
                flow.excluded.add(host_id)
                flow.asked = 1
                flow.was_lost = True
                log("request.repeated", id=flow.attempt_id, host=host_id, lost="silent")
                self._ask(flow, now)
            else:
                flow.sent -= 1

    # Ends.

    def _on_deadline(self, flow: Flow) -> None:
        flow.timer = None
        if flow.is_ended:
            return
        self._release(flow, is_cancelled=True)
        reason = "no answer in time"
        self._fail(flow, ErrorKind.DEADLINE_AFTER_DISPATCH, reason)

    def _refuse_unplaced(self, flow: Flow, views: list[HostView]) -> None:
        if flow.was_lost:
            self._fail(flow, ErrorKind.UPSTREAM_LOST, "no other worker is left")
            return
        kind = ErrorKind.OVERLOADED if views else ErrorKind.NO_UPSTREAM
        reason = flow.last_reason or "no worker may be asked"
        self._refuse(flow, kind, reason)

    def _refuse(self, flow: Flow, kind: ErrorKind, reason: str) -> None:
        left_s = flow.patient_until - self._clock.seconds()
        return_s = plan_return(left_s, self._random)
        self._answer_error(flow, ErrorResult(kind, reason), return_s)

    def _fail(self, flow: Flow, kind: ErrorKind, reason: str) -> None:
        self._answer_error(flow, ErrorResult(kind, reason))

    def _answer_error(
        self, flow: Flow, error: ErrorResult, return_s: float = 0.0
    ) -> None:
        now = self._clock.seconds()
        if flow.held_reply is not None:
            self._deliver(flow, flow.held_reply, now)
            return
        exchange = flow.exchange
        exchange.on_closed = None
        self._finish(flow)
        self._metrics.count_own_answer(error.kind.value)
        if not exchange.is_complete:
            exchange.is_keep_alive = False
        status = refuse(exchange, error, return_s)
        log(
            "request.failed",
            id=flow.attempt_id,
            status=status,
            kind=error.kind.value,
            reason=error.reason,
            route=flow.route.name,
            service=flow.service,
            host=flow.host_id,
            asked=flow.asked,
            sent=flow.sent,
            held_s=round(now - flow.started_at, 4),
            config=self.intake.config.version,
            return_s=round(return_s, 3),
        )

    def _finish(self, flow: Flow) -> None:
        flow.is_ended = True
        self._flows.discard(flow)
        timer, flow.timer = flow.timer, None
        if timer is not None and timer.active():
            timer.cancel()
        flow.exchange.on_data = flow.exchange.on_end = None

    def _make_fingerprint(self, flow: Flow) -> str:
        exchange = flow.exchange
        return make_fingerprint(
            (
                self.settings.service,
                exchange.method,
                exchange.target,
                digest_body(flow.body),
            )
        )
