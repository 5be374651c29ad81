"""Moves of a service's traffic from one version to another.

A move shifts traffic to a new version in steps and is rolled back if the new version
is found harmful.
"""

from collections.abc import Callable
from typing import Any

from attrs import evolve

from bamboocove.coordination.error_evidence import ErrorEvidence
from bamboocove.coordination.order_numbers import is_same_order
from bamboocove.coordination.outcome_batches import (
    format_tallies,
    get_tallies,
    merge_outcomes,
)
from bamboocove.coordination.short_moves import (
    MoveObservation,
    MoveProgress,
    advance,
    compute_rank,
    is_complete,
    start_move,
)
from bamboocove.coordination.version_comparison import (
    compare_versions,
    find_regression,
    is_shown_harmless,
    merge_tallies,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import run_logged
from bamboocove.protocol.mesh_messages import OutcomeReport, RulesUpdate
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.rules import RuleTable
from bamboocove.sidecar.store import Store
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.mesh import MoveOrder, VersionRule

# Intervals at which a node reports the outcomes of its worker during a move, in
# seconds. The short interval reports only routes with new outcomes, the long one
# all routes. Counts are cumulative from the start of the move, so the next
# message makes up for a lost one.
OUTCOMES_INTERVAL_S = 0.25
FULL_OUTCOMES_INTERVAL_S = 2.0
# Nodes write a decision in order of rank, this long apart, until one write succeeds.
WRITE_DELAY_PER_RANK_S = 0.4
WRITE_RETRY_DELAY_S = 0.5
# A move is rolled back if no worker of the new version is ready until this
# fraction of its duration after its deadline.
NO_WORKER_GRACE_RATIO = 1.0


class MoveController:
    """Executes the operator's orders to move services to other versions.

    Every node evaluates a move from the outcomes that all nodes report, and
    writes its decision to the store when its turn comes.

    Parameters
    ----------
    rule_table : RuleTable
        Rules and orders; the outbound and inbound proxies read it.
    store : Store
        Where decisions are stored.
    fleet, inbound
        The hosts, and the worker on this one.
    broadcast : callable
        Sends a message to all nodes.
    send_outcomes : callable
        Sends outcomes of the worker on this host to the node that collects them;
        returns whether that is another node than before.
    clock : reactor
        Source of time.
    host_id : str
        Identifier of this host.
    incarnation : int
        Unix time in milliseconds at which the process started.
    """

    def __init__(
        self,
        rule_table: RuleTable,
        store: Store,
        fleet: Fleet,
        broadcast: Callable[[Any], None],
        send_outcomes: Callable[[OutcomeReport], bool],
        inbound: InboundProxy,
        clock: Any,
        host_id: str,
        incarnation: int,
    ):
        self.rule_table = rule_table
        self._store = store
        self._fleet = fleet
        self._broadcast = broadcast
        self._send_outcomes = send_outcomes
        self._inbound = inbound
        self._clock = clock
        self._host_id = host_id
        self._incarnation = incarnation
        self._outcomes: dict[tuple[str, str, str], OutcomeReport] = {}
        self._error_evidence_by_service: dict[str, ErrorEvidence] = {}
        self._started_at_by_service: dict[str, float] = {}
        self._decided_at_by_service: dict[str, float] = {}
        self._services_being_written: set[str] = set()
        self._next_outcomes_at = 0.0
        self._next_full_outcomes_at = 0.0
        self._reported_calls_by_route: dict[str, int] = {}

    # Orders, rules and outcomes from the store and from other nodes.

    def apply_order(self, order: MoveOrder, now: float) -> bool:
        """Start the move of an operator's order; return whether the number is new."""
        known = self.rule_table.get(order.service)
        if self.rule_table.adopt(order):
            log("move.order-known", service=order.service, revision=order.revision)
            self._started_at_by_service.setdefault(order.service, now)
            self._on_renumbered(order.service, now)
            return True
        if known is not None and known.order_revision >= order.revision:
            if known.order_revision == order.revision:
                self.rule_table.orders_by_service.setdefault(order.service, order)
                self._started_at_by_service.setdefault(order.service, now)
            return False
        if self.rule_table.is_superseded(
            order.service, order.to_version, order.revision
        ):
            return False
        rule = known or VersionRule(
            order.service, self._fleet.get_oldest_version(order.service)
        )
        self.rule_table.orders_by_service[order.service] = order
        self.rule_table.merge(start_move(rule, order), is_confirmed=False)
        self._reset_move(order.service, now)
        log(
            "move.ordered",
            service=order.service,
            to=order.to_version,
            revision=order.revision,
            duration_s=order.duration_s,
        )
        return True

    def _on_renumbered(self, service: str, now: float) -> None:
        """Write the rule in turn, and report all outcomes under its new number."""
        self._decided_at_by_service[service] = now
        self._next_full_outcomes_at = 0.0

    def _reset_move(self, service: str, now: float) -> None:
        self.rule_table.progress_by_service[service] = MoveProgress()
        self._error_evidence_by_service[service] = ErrorEvidence()
        self._started_at_by_service[service] = now
        self._decided_at_by_service[service] = now
        self._reported_calls_by_route = {}
        self._outcomes = {
            key: value
            for key, value in self._outcomes.items()
            if value.service != service
        }
        worker = self._inbound.worker
        if worker is not None and worker.service == service:
            self._inbound.tallies_by_route = {}

    def apply_rule(self, rule: VersionRule, is_confirmed: bool, now: float) -> None:
        """Put a rule from the store or from another node in force if it is newer."""
        known = self.rule_table.get(rule.service)
        is_newer = self.rule_table.merge(rule, is_confirmed)
        number = self.rule_table.rules_by_service[rule.service].order_revision
        if known is not None and known.order_revision != number:
            self._on_renumbered(rule.service, now)
        if not is_newer:
            return
        log(
            "move.rule",
            service=rule.service,
            state=rule.state,
            to=rule.to_version,
            is_confirmed=is_confirmed,
        )
        if known is None or not is_same_order(known, rule.to_version, number):
            self._reset_move(rule.service, now)
        if rule.state != "running":
            self.rule_table.progress_by_service.pop(rule.service, None)

    def make_rules_message(self) -> RulesUpdate:
        """Return a message with all rules and orders for other nodes."""
        rule_table = self.rule_table
        return RulesUpdate(
            [
                [to_plain(rule), rule_table.confirmed_by_service.get(service) == rule]
                for service, rule in rule_table.rules_by_service.items()
            ],
            [to_plain(order) for order in rule_table.list_orders()],
        )

    def apply_rules_message(self, message: RulesUpdate, now: float) -> None:
        """Apply the rules and orders that another node sent."""
        for plain, is_confirmed in message.rules:
            rule = from_plain(VersionRule, plain)
            if isinstance(rule, ErrorResult):
                log("move.news-unreadable", reason=rule.reason)
            elif rule.state != "running" or self._is_running_move_known(
                rule, is_confirmed
            ):
                self.apply_rule(rule, is_confirmed, now)
        for plain in message.orders:
            order = from_plain(MoveOrder, plain)
            if isinstance(order, ErrorResult):
                log("move.news-unreadable", reason=order.reason)
            else:
                self.apply_order(order, now)

    def _is_running_move_known(self, rule: VersionRule, is_confirmed: bool) -> bool:
        """Return whether the store holds a rule whose move runs on this node."""
        known = self.rule_table.get(rule.service)
        if known is None or not is_confirmed:
            return False
        is_same = is_same_order(known, rule.to_version, rule.order_revision)
        return is_same and known.state == "running"

    def record_outcomes(self, outcomes: OutcomeReport) -> None:
        """Add the outcomes of a host or an availability zone to those of the move."""
        rule = self.rule_table.get(outcomes.service)
        if rule is None or rule.order_revision != outcomes.order_revision:
            return
        key = (outcomes.service, outcomes.source_id, outcomes.version)
        self._outcomes[key] = merge_outcomes(self._outcomes.get(key), outcomes)

    def tick(self, now: float) -> None:
        """Report outcomes, advance running moves and write unconfirmed rules."""
        running = [
            rule
            for rule in self.rule_table.rules_by_service.values()
            if rule.state == "running"
        ]
        if running and now >= self._next_outcomes_at:
            self._next_outcomes_at = now + OUTCOMES_INTERVAL_S
            is_full = now >= self._next_full_outcomes_at
            if is_full:
                self._next_full_outcomes_at = now + FULL_OUTCOMES_INTERVAL_S
            for rule in running:
                self._report_outcomes(rule, is_full)
                order = self.rule_table.orders_by_service.get(rule.service)
                if order is not None:
                    self._advance(rule, order, now)
        for service, rule in list(self.rule_table.rules_by_service.items()):
            if self.rule_table.confirmed_by_service.get(service) != rule:
                self._write_in_turn(rule, now)

    def _report_outcomes(self, rule: VersionRule, is_full: bool) -> None:
        worker = self._inbound.worker
        if worker is None or worker.service != rule.service:
            return
        reported_calls = {} if is_full else self._reported_calls_by_route
        tallies = {
            route: tally
            for route, tally in self._inbound.tallies_by_route.items()
            if reported_calls.get(route) != tally.calls
        }
        if not tallies:
            return
        self._reported_calls_by_route = {
            **reported_calls,
            **{r: t.calls for r, t in tallies.items()},
        }
        outcomes = OutcomeReport(
            self._host_id,
            self._incarnation,
            worker.service,
            worker.version,
            rule.order_revision,
            format_tallies(tallies),
        )
        if self._send_outcomes(outcomes):
            self._next_full_outcomes_at = 0.0

    def _sum_tallies(self, service: str, is_wanted: Callable[[str], bool]) -> dict:
        return merge_tallies(
            get_tallies(outcomes)
            for outcomes in self._outcomes.values()
            if outcomes.service == service and is_wanted(outcomes.version)
        )

    def _advance(self, rule: VersionRule, order: MoveOrder, now: float) -> None:
        service = rule.service
        new = self._sum_tallies(service, lambda version: version == rule.to_version)
        old = self._sum_tallies(service, lambda version: version != rule.to_version)
        comparisons = compare_versions(old, new)
        evidence = self._error_evidence_by_service.setdefault(service, ErrorEvidence())
        reports = [o for o in self._outcomes.values() if o.service == service]
        evidence.update(reports, rule.to_version, now)
        findings = [*comparisons, *evidence.make_verdicts()]
        views = self._fleet.get_views(service)
        versions = {view.version for view in views}
        observation = MoveObservation(
            now - self._started_at_by_service.get(service, now),
            order.duration_s,
            sum(tally.calls for tally in old.values()),
            sum(tally.calls for tally in new.values()),
            self._fleet.count_ready(service, {rule.to_version}),
            self._fleet.count_ready(service, versions - {rule.to_version}),
            any(finding.is_suspicious for finding in findings),
            is_shown_harmless(comparisons),
        )
        progress = self.rule_table.progress_by_service.get(service, MoveProgress())
        regression = find_regression(findings, observation.age_s, order.duration_s)
        if regression:
            self._decide(rule, "rolled_back", regression, now)
            return
        if (
            observation.age_s > (1 + NO_WORKER_GRACE_RATIO) * order.duration_s
            and progress.step < 0
        ):
            reason = f"no worker of {rule.to_version} is ready"
            self._decide(rule, "rolled_back", reason, now)
            return
        next_progress = advance(progress, observation, now)
        if next_progress.step != progress.step:
            log(
                "move.step",
                service=service,
                to=rule.to_version,
                share=next_progress.share,
                age_s=round(observation.age_s, 2),
                new_calls=observation.new_calls,
                new_ready=observation.new_ready,
                old_ready=observation.old_ready,
            )
        self.rule_table.progress_by_service[service] = next_progress
        if is_complete(next_progress, observation, now):
            self._propose_success(rule, now)

    def _decide(self, rule: VersionRule, state: str, reason: str, now: float) -> None:
        log(
            "move.decided",
            service=rule.service,
            to=rule.to_version,
            state=state,
            reason=reason,
        )
        banned = (*rule.banned, rule.to_version)
        decided = evolve(rule, state=state, banned=banned)
        self.apply_rule(decided, False, now)
        self._decided_at_by_service[rule.service] = now
        self._broadcast(self.make_rules_message())

    def _propose_success(self, rule: VersionRule, now: float) -> None:
        """Write the success to the store; it takes effect once the store has it."""
        succeeded = evolve(rule, state="succeeded", current=rule.to_version)
        if self._is_write_turn(rule.service, now):
            self._start_write(succeeded)

    # Writes to the store.

    def _is_write_turn(self, service: str, now: float) -> bool:
        fleet = self._fleet
        reachable_ids = (h for h in fleet.records_by_id if fleet.is_reachable(h))
        rank = compute_rank(service, self._host_id, reachable_ids)
        progress = self.rule_table.progress_by_service.get(service)
        decided_at = self._decided_at_by_service.get(service, now)
        if progress is not None and progress.share >= 1.0:
            decided_at = max(decided_at, progress.step_started_at)
        return now - decided_at >= rank * WRITE_DELAY_PER_RANK_S

    def _write_in_turn(self, rule: VersionRule, now: float) -> None:
        if self._is_write_turn(rule.service, now):
            self._start_write(rule)

    def _start_write(self, rule: VersionRule) -> None:
        if rule.service not in self._services_being_written:
            self._services_being_written.add(rule.service)
            run_logged(self._write(rule))

    async def _write(self, rule: VersionRule) -> None:
        result = await self._store.write_rule(rule)
        if isinstance(result, ErrorResult):
            log("move.write-failed", service=rule.service, reason=str(result))
            if result.kind is ErrorKind.STORE_UNKNOWN:
                # The write may have replaced a newer rule after a restore.
                self.rule_table.confirmed_by_service.pop(rule.service, None)
            self._clock.callLater(
                WRITE_RETRY_DELAY_S, self._services_being_written.discard, rule.service
            )
            return
        self._services_being_written.discard(rule.service)
        log(
            "move.written",
            service=result.service,
            to=result.to_version,
            state=result.state,
            revision=result.order_revision,
        )
        self.apply_rule(result, True, self._clock.seconds())
        self._broadcast(self.make_rules_message())
