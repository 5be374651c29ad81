"""Which versions of services may run requests, and the moves between them."""

from collections.abc import Callable
from typing import Any
from zlib import crc32

from attrs import define, evolve, field

from bamboocove.coordination.outcome_batches import merge_outcomes
from bamboocove.coordination.short_moves import (
    MoveFacts,
    MovePace,
    Tally,
    advance,
    find_harm,
    is_complete,
    merge_tallies,
)
from bamboocove.errors import ErrorResult
from bamboocove.events import run_logged
from bamboocove.protocol.mesh_messages import OutcomeReport, RulesUpdate
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.gate import Gate
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.store import Store
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.mesh import MoveOrder, VersionRule

# How often nodes tell each other the outcomes of a version in a move, in seconds.
# Each time only the routes with new outcomes are told; the counts run from the
# start of the move, so that a lost message is made up for by the next one.
OUTCOMES_S = 0.25
WHOLE_OUTCOMES_S = 2.0
# Nodes write a decision one after the other, by rank, until one succeeded.
WRITE_DELAY_S = 0.4
WRITE_RETRY_S = 0.5
# A move without a worker of the new version is taken back at this part of its
# time after the deadline.
NO_WORKER_PART = 1.0


@define
class RuleBook:
    """Rules and orders by service, and the share of each version in a move."""

    rules_by_service: dict[str, VersionRule] = field(factory=dict)
    orders_by_service: dict[str, MoveOrder] = field(factory=dict)
    confirmed_by_service: dict[str, VersionRule] = field(factory=dict)
    paces_by_service: dict[str, MovePace] = field(factory=dict)

    def get(self, service: str) -> VersionRule | None:
        """Return the rule of a service, if there ever was an order."""
        return self.rules_by_service.get(service)

    def get_share(self, service: str) -> float:
        """Return the share of requests of the version that a move leads to."""
        pace = self.paces_by_service.get(service)
        return 0.0 if pace is None else pace.share

    def is_allowed(self, service: str, version: str) -> bool:
        """Return whether a version may run requests."""
        rule = self.rules_by_service.get(service)
        return rule is None or rule.allows(version)

    def get_digest(self) -> int:
        """Return a checksum that is equal on nodes with the same rules."""
        states = sorted(
            (rule.service, rule.order_revision, rule.state)
            for rule in self.rules_by_service.values()
        )
        return crc32(repr(states).encode())

    def merge(self, rule: VersionRule, is_confirmed: bool) -> bool:
        """Take a rule; return whether it changed anything.

        Parameters
        ----------
        rule : VersionRule
            The rule.
        is_confirmed : bool
            Whether the store holds it. A verdict that another node reached on
            its own holds until the store says otherwise.
        """
        held = self.rules_by_service.get(rule.service)
        if is_confirmed:
            confirmed = self.confirmed_by_service.get(rule.service)
            if confirmed is None or rule.age_key > confirmed.age_key:
                self.confirmed_by_service[rule.service] = rule
        if held is not None:
            is_newer = rule.age_key > held.age_key
            is_correction = is_confirmed and rule.age_key == held.age_key
            if rule == held or not (is_newer or is_correction):
                return False
        self.rules_by_service[rule.service] = rule
        return True


class MoveTask:
    """Carries out the operator's orders to move services to other versions.

    Parameters
    ----------
    book : RuleBook
        What is known; the origin and the gate read it.
    store : Store
        Where decisions are kept.
    fleet, gate
        The hosts, and the worker on this one.
    tell_all : callable
        Sends a message to all nodes.
    tell_outcomes : callable
        Has outcomes of the worker on this host told to all nodes.
    clock : reactor
        Source of time.
    host_id : str
        This host.
    incarnation : int
        Start of this process.
    """

    def __init__(
        self,
        book: RuleBook,
        store: Store,
        fleet: Fleet,
        tell_all: Callable[[Any], None],
        tell_outcomes: Callable[[OutcomeReport], None],
        gate: Gate,
        clock: Any,
        host_id: str,
        incarnation: int,
    ):
        self.book = book
        self._store = store
        self._fleet = fleet
        self._tell_all = tell_all
        self._tell_outcomes = tell_outcomes
        self._gate = gate
        self._clock = clock
        self._host_id = host_id
        self._incarnation = incarnation
        self._outcomes: dict[tuple[str, str, str], OutcomeReport] = {}
        self._started_at_by_service: dict[str, float] = {}
        self._decided_at_by_service: dict[str, float] = {}
        self._writing: set[str] = set()
        self._next_outcomes_at = 0.0
        self._next_whole_at = 0.0
        self._told_calls_by_route: dict[str, int] = {}

    # What others say.

    def take_order(self, order: MoveOrder, now: float) -> bool:
        """Take an order of the operator; return whether it is news."""
        held = self.book.get(order.service)
        if held is not None and held.order_revision >= order.revision:
            if held.order_revision == order.revision:
                self.book.orders_by_service.setdefault(order.service, order)
                self._started_at_by_service.setdefault(order.service, now)
            return False
        rule = held or VersionRule(
            order.service, self._fleet.get_oldest_version(order.service)
        )
        banned = tuple(v for v in rule.banned if v != order.to_version)
        current = rule.current
        if current == order.to_version:
            current = ""
        rule = evolve(
            rule,
            current=current,
            banned=banned,
            to_version=order.to_version,
            order_revision=order.revision,
            state="running",
        )
        self.book.orders_by_service[order.service] = order
        self.book.merge(rule, is_confirmed=False)
        self._begin(order.service, now)
        log(
            "move.ordered",
            service=order.service,
            to=order.to_version,
            revision=order.revision,
            duration_s=order.duration_s,
        )
        return True

    def _begin(self, service: str, now: float) -> None:
        self.book.paces_by_service[service] = MovePace()
        self._started_at_by_service[service] = now
        self._decided_at_by_service[service] = now
        self._told_calls_by_route = {}
        self._outcomes = {
            key: value
            for key, value in self._outcomes.items()
            if value.service != service
        }
        worker = self._gate.worker
        if worker is not None and worker.service == service:
            self._gate.tallies_by_route = {}

    def take_rule(self, rule: VersionRule, is_confirmed: bool, now: float) -> None:
        """Take a rule of the store or of another node."""
        held = self.book.get(rule.service)
        if not self.book.merge(rule, is_confirmed):
            return
        log(
            "move.rule",
            service=rule.service,
            state=rule.state,
            to=rule.to_version,
            is_confirmed=is_confirmed,
        )
        if held is None or held.order_revision != rule.order_revision:
            self._begin(rule.service, now)
        if rule.state != "running":
            self.book.paces_by_service.pop(rule.service, None)

    def make_news(self) -> RulesUpdate:
        """Return the message that tells other nodes all rules and orders."""
        book = self.book
        return RulesUpdate(
            [
                [to_plain(rule), book.confirmed_by_service.get(service) == rule]
                for service, rule in book.rules_by_service.items()
            ],
            [to_plain(order) for order in book.orders_by_service.values()],
        )

    def take_news(self, news: RulesUpdate, now: float) -> None:
        """Take the rules and orders of another node."""
        for plain, is_confirmed in news.rules:
            rule = from_plain(VersionRule, plain)
            if isinstance(rule, ErrorResult):
                log("move.news-unreadable", reason=rule.reason)
            elif rule.state != "running" or self._is_known(rule, is_confirmed):
                self.take_rule(rule, is_confirmed, now)
        for plain in news.orders:
            order = from_plain(MoveOrder, plain)
            if isinstance(order, ErrorResult):
                log("move.news-unreadable", reason=order.reason)
            else:
                self.take_order(order, now)

    def _is_known(self, rule: VersionRule, is_confirmed: bool) -> bool:
        """Return whether a running move's order is here, and in the store."""
        held = self.book.get(rule.service)
        if held is None or not is_confirmed:
            return False
        return held.order_revision == rule.order_revision and held.state == "running"

    def take_outcomes(self, outcomes: OutcomeReport) -> None:
        """Take the outcomes of another host's worker."""
        rule = self.book.get(outcomes.service)
        if rule is None or rule.order_revision != outcomes.order_revision:
            return
        key = (outcomes.service, outcomes.host_id, outcomes.version)
        self._outcomes[key] = merge_outcomes(self._outcomes.get(key), outcomes)

    # Work in between.

    def tick(self, now: float) -> None:
        """Report outcomes, and take the moves under way further."""
        running = [
            rule
            for rule in self.book.rules_by_service.values()
            if rule.state == "running"
        ]
        if running and now >= self._next_outcomes_at:
            self._next_outcomes_at = now + OUTCOMES_S
            is_whole = now >= self._next_whole_at
            if is_whole:
                self._next_whole_at = now + WHOLE_OUTCOMES_S
            for rule in running:
                self._report_outcomes(rule, is_whole)
                order = self.book.orders_by_service.get(rule.service)
                if order is not None:
                    self._advance(rule, order, now)
        for service, rule in list(self.book.rules_by_service.items()):
            if self.book.confirmed_by_service.get(service) != rule:
                self._write_in_turn(rule, now)

    def _report_outcomes(self, rule: VersionRule, is_whole: bool) -> None:
        worker = self._gate.worker
        if worker is None or worker.service != rule.service:
            return
        told = {} if is_whole else self._told_calls_by_route
        tallies = {
            route: tally
            for route, tally in self._gate.tallies_by_route.items()
            if told.get(route) != tally.calls
        }
        if not tallies:
            return
        self._told_calls_by_route = {**told, **{r: t.calls for r, t in tallies.items()}}
        outcomes = OutcomeReport(
            self._host_id,
            self._incarnation,
            worker.service,
            worker.version,
            rule.order_revision,
            [
                [route, t.calls, t.failed, int(t.total_s * 1000), t.buckets]
                for route, t in tallies.items()
            ],
        )
        self.take_outcomes(outcomes)
        self._tell_outcomes(outcomes)

    def _merge(self, service: str, is_wanted: Callable[[str], bool]) -> dict:
        return merge_tallies(
            {
                route: Tally(calls, failed, total_ms / 1000, list(buckets))
                for route, calls, failed, total_ms, buckets in outcomes.tallies
            }
            for outcomes in self._outcomes.values()
            if outcomes.service == service and is_wanted(outcomes.version)
        )

    def _advance(self, rule: VersionRule, order: MoveOrder, now: float) -> None:
        service = rule.service
        new = self._merge(service, lambda version: version == rule.to_version)
        old = self._merge(service, lambda version: version != rule.to_version)
        harm = find_harm(old, new)
        views = self._fleet.get_views(service)
        versions = {view.version for view in views}
        facts = MoveFacts(
            now - self._started_at_by_service.get(service, now),
            order.duration_s,
            sum(tally.calls for tally in new.values()),
            self._fleet.count_ready(service, {rule.to_version}),
            self._fleet.count_ready(service, versions - {rule.to_version}),
        )
        pace = self.book.paces_by_service.get(service, MovePace())
        if harm:
            self._decide(rule, "rolled_back", harm, now)
            return
        if facts.age_s > (1 + NO_WORKER_PART) * order.duration_s and pace.step < 0:
            reason = f"no worker of {rule.to_version} is ready"
            self._decide(rule, "rolled_back", reason, now)
            return
        after = advance(pace, facts, now)
        if after.step != pace.step:
            log(
                "move.step",
                service=service,
                to=rule.to_version,
                share=after.share,
                age_s=round(facts.age_s, 2),
                new_calls=facts.new_calls,
                new_ready=facts.new_ready,
                old_ready=facts.old_ready,
            )
        self.book.paces_by_service[service] = after
        if is_complete(after, facts, now):
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
        self.take_rule(decided, False, now)
        self._decided_at_by_service[rule.service] = now
        self._tell_all(self.make_news())

    def _propose_success(self, rule: VersionRule, now: float) -> None:
        """Have the store hold the success before any node acts on it."""
        done = evolve(rule, state="succeeded", current=rule.to_version)
        if self._is_turn(rule.service, now):
            self._start_write(done)

    # Writing.

    def _is_turn(self, service: str, now: float) -> bool:
        ids = [
            host_id
            for host_id in self._fleet.records_by_id
            if self._fleet.is_reachable(host_id)
        ]
        ids.sort(key=lambda host_id: crc32(f"{service}/{host_id}".encode()))
        rank = ids.index(self._host_id) if self._host_id in ids else len(ids)
        pace = self.book.paces_by_service.get(service)
        since = self._decided_at_by_service.get(service, now)
        if pace is not None and pace.share >= 1.0:
            since = max(since, pace.since)
        return now - since >= rank * WRITE_DELAY_S

    def _write_in_turn(self, rule: VersionRule, now: float) -> None:
        if self._is_turn(rule.service, now):
            self._start_write(rule)

    def _start_write(self, rule: VersionRule) -> None:
        if rule.service not in self._writing:
            self._writing.add(rule.service)
            run_logged(self._write(rule))

    async def _write(self, rule: VersionRule) -> None:
        result = await self._store.write_rule(rule)
        if isinstance(result, ErrorResult):
            log("move.write-failed", service=rule.service, reason=str(result))
            self._clock.callLater(WRITE_RETRY_S, self._writing.discard, rule.service)
            return
        self._writing.discard(rule.service)
        log(
            "move.written",
            service=result.service,
            to=result.to_version,
            state=result.state,
            revision=result.order_revision,
        )
        self.take_rule(result, True, self._clock.seconds())
        self._tell_all(self.make_news())
