"""Coordinator: the lease holder that judges moves and publishes their next steps."""

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from attrs import define, evolve, field, frozen

from bamboocove.coordination.analysis import (
    MoveAnalysis,
    add_brake_report,
    add_evidence,
    close_windows,
    start_analysis,
    update_move,
)
from bamboocove.coordination.moves import (
    KINDS_WITHOUT_STEP_CHANGE,
    WATCH_S,
    BrakeCounts,
    Decision,
    WorkerCounts,
    apply_decision,
    plan_move,
)
from bamboocove.coordination.remaining_time import estimate_remaining_s
from bamboocove.coordination.verdicts import get_verdict
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import format_event, log_event
from bamboocove.protocol.messages import CoordinatorNotice, EvidenceReport
from bamboocove.protocol.rows import HistoryRecord, LeaseRecord
from bamboocove.signals import move_ended
from bamboocove.state.codec import encode
from bamboocove.state.config import Config, Move, make_delta

# Time in seconds between attempts to acquire the lease; each is one or two store
# requests.
ACQUIRE_INTERVAL_S = 3.0
# Time in seconds between notices. They are repeated for nodes that joined since.
ANNOUNCE_INTERVAL_S = 5.0
# The lease is renewed once no more than this fraction of its duration is left.
RENEW_FRACTION = 2 / 3
# Minimum time in seconds between two revisions that change only a move's reason.
NOTE_INTERVAL_S = 10.0
# Evidence whose window started longer ago, or further in the future, is ignored.
MAX_EVIDENCE_AGE_S = 60.0
# Order in which decisions are published when several moves change at once.
DECISION_ORDER = (
    "revert",
    "step_back",
    "repeat",
    "expire",
    "advance",
    "finish",
    "warn",
    "hold",
    "resume",
)
EVENTS_BY_DECISION = {
    "advance": 502,
    "hold": 503,
    "resume": 502,
    "warn": 506,
    "repeat": 511,
    "step_back": 511,
    "finish": 504,
    "revert": 505,
    "expire": 510,
}


class HeldLease(Protocol):
    """Fields of a held lease that the coordinator reads."""

    token: int
    expires_at: float


class PublishedHead(Protocol):
    """Fields of the published configuration head that the coordinator reads."""

    config: Config


@frozen
class CoordinatorPorts:
    """Functions by which the coordinator uses the store and the rest of the node.

    Parameters
    ----------
    acquire : callable
        ``await acquire(record, now) -> HeldLease | ErrorResult``.
    renew : callable
        ``await renew(held, record, now) -> HeldLease | ErrorResult``.
    release : callable
        ``await release(held)``.
    read_head : callable
        ``await read_head() -> PublishedHead | ErrorResult``.
    publish : callable
        ``await publish(base, config, history, operation_id, held) ->
        PublishedHead | ErrorResult``.
    is_reader : callable
        ``is_reader(now) -> bool``; only readers try to acquire the lease.
    count_workers : callable
        ``count_workers(move) -> WorkerCounts``.
    announce : callable
        ``announce(notice)`` sends a ``CoordinatorNotice`` to all nodes.
    offer : callable
        ``offer(config)`` passes a published revision on for distribution.
    make_operation_id : callable
        Returns a new unique identifier.
    has_moves : callable
        Returns whether the configuration in force has open moves. Without any,
        the head is not read; the node's store task detects new ones.
    """

    acquire: Callable[[LeaseRecord, float], Awaitable[Any]]
    renew: Callable[[Any, LeaseRecord, float], Awaitable[Any]]
    release: Callable[[Any], Awaitable[Any]]
    read_head: Callable[[], Awaitable[Any]]
    publish: Callable[[Any, Config, HistoryRecord, str, Any], Awaitable[Any]]
    is_reader: Callable[[float], bool]
    count_workers: Callable[[Move], WorkerCounts]
    announce: Callable[[CoordinatorNotice], None]
    offer: Callable[[Config], None]
    make_operation_id: Callable[[], str]
    has_moves: Callable[[], bool] = lambda: True


@define
class MoveState:
    """State of one move, kept in memory while the lease is held.

    Parameters
    ----------
    analysis : MoveAnalysis
        Evidence and brakes collected so far.
    repeats : int
        How often steps of the move were repeated because of brakes.
    note_published_at : float
        When a revision that changes only the reason was last published.
    warned_deadline : float or None
        Deadline of the move about which a warning was last published.
    """

    analysis: MoveAnalysis
    repeats: int = 0
    note_published_at: float = float("-inf")
    warned_deadline: float | None = None


@define
class Coordinator:
    """Periodic task that judges open moves and publishes their steps.

    Parameters
    ----------
    node_id, host : str
        Identifier and IP address of this node.
    peer_port : int
        TCP port to which nodes send evidence.
    ports : CoordinatorPorts
        Functions of the store and the rest of the node.
    lease_s, step_s, watch_s : float
        Duration of the lease, minimum time on a step, and time that a version is
        observed at 100%, in seconds.
    lease : HeldLease or None
        The lease while this node holds it.
    states_by_move : dict of str to MoveState
        State of the open moves.
    """

    node_id: str
    host: str
    peer_port: int
    ports: CoordinatorPorts
    lease_s: float = 10.0
    step_s: float = 5.0
    watch_s: float = WATCH_S
    lease: HeldLease | None = None
    states_by_move: dict[str, MoveState] = field(factory=dict)
    _tried_at: float = float("-inf")
    _announced_at: float = float("-inf")
    _is_ticking: bool = False

    def post(self, report: EvidenceReport, now: float) -> None:
        """Add the evidence and brakes of a report; ignored without the lease."""
        if self.lease is None:
            return
        for evidence in report.evidence:
            state = self.states_by_move.get(evidence.move_id)
            is_recent = abs(now - evidence.window_start) <= MAX_EVIDENCE_AGE_S
            if state is not None and is_recent:
                add_evidence(state.analysis, evidence)
        for brake in report.brakes:
            state = self.states_by_move.get(brake.move_id)
            if state is not None:
                add_brake_report(state.analysis, brake)

    async def tick(self, now: float) -> None:
        """Renew the lease, judge the moves, and publish at most one revision.

        Does nothing while an earlier call still waits for the store.
        """
        if self._is_ticking:
            return
        self._is_ticking = True
        try:
            await self._tick(now)
        finally:
            self._is_ticking = False

    async def stop(self) -> None:
        """Release the lease, if held."""
        lease = self.lease
        self._drop_lease("node is stopping")
        if lease is not None:
            await self.ports.release(lease)

    async def _tick(self, now: float) -> None:
        if self.lease is not None and now >= self.lease.expires_at:
            self._drop_lease("expired before it was renewed")
            return
        if not await self._ensure_lease(now):
            return
        self._announce(now)
        if not self.ports.has_moves():
            self.states_by_move.clear()
            return
        head = await self.ports.read_head()
        # The lease may have been released while the store was read.
        if self.lease is None or isinstance(head, ErrorResult):
            return
        self._follow_moves(head.config)
        await self._step(head, now)

    async def _ensure_lease(self, now: float) -> bool:
        if self.lease is None:
            return await self._acquire(now)
        if self.lease.expires_at - now > RENEW_FRACTION * self.lease_s:
            return True
        renewed = await self.ports.renew(self.lease, self._make_record(now), now)
        if self.lease is None:
            return False
        if not isinstance(renewed, ErrorResult):
            self.lease = renewed
            return True
        if renewed.kind in (ErrorKind.FENCED, ErrorKind.CONFLICT):
            self._drop_lease(renewed.reason)
        # While the store is unavailable, the lease is kept until it expires.
        return False

    async def _acquire(self, now: float) -> bool:
        if now - self._tried_at < ACQUIRE_INTERVAL_S or not self.ports.is_reader(now):
            return False
        self._tried_at = now
        acquired = await self.ports.acquire(self._make_record(now), now)
        if isinstance(acquired, ErrorResult):
            return False
        self.lease = acquired
        self._announced_at = float("-inf")
        log_event(508, token=acquired.token)
        return True

    def _make_record(self, now: float) -> LeaseRecord:
        token = self.lease.token if self.lease is not None else 0
        expires_at = now + self.lease_s
        return LeaseRecord(self.node_id, self.host, self.peer_port, token, expires_at)

    def _drop_lease(self, reason: str) -> None:
        if self.lease is not None:
            log_event(509, reason=reason)
        self.lease = None
        self.states_by_move.clear()

    def _announce(self, now: float) -> None:
        if now - self._announced_at < ANNOUNCE_INTERVAL_S:
            return
        self._announced_at = now
        notice = CoordinatorNotice(
            self.node_id, self.host, self.peer_port, self.lease.token
        )
        self.ports.announce(notice)

    def _follow_moves(self, config: Config) -> None:
        states = {}
        for move in config.get_open_moves():
            state = self.states_by_move.get(move.move_id)
            if state is None:
                service = config.services_by_name.get(move.service)
                routes = len(service.routes) if service is not None else 1
                analysis = start_analysis(move, config.revision, routes)
                state = MoveState(analysis)
            update_move(state.analysis, move, config.revision)
            states[move.move_id] = state
        self.states_by_move = states

    async def _step(self, head: PublishedHead, now: float) -> None:
        decisions = []
        for move in head.config.get_open_moves():
            decision = self._decide(move, now)
            if decision.kind != "keep":
                decisions.append(
                    (DECISION_ORDER.index(decision.kind), move.move_id, decision)
                )
        if not decisions:
            return
        _, move_id, decision = min(decisions, key=lambda item: item[:2])
        await self._publish(head, head.config.moves_by_id[move_id], decision, now)

    def _decide(self, move: Move, now: float) -> Decision:
        state = self.states_by_move[move.move_id]
        analysis = close_windows(state.analysis, now)
        brakes = BrakeCounts(
            len(analysis.braked_nodes), len(analysis.reporting_nodes), state.repeats
        )
        decision = plan_move(
            move,
            get_verdict(analysis, move.step),
            now,
            self.ports.count_workers(move),
            brakes,
            estimate_remaining_s(analysis),
            self.step_s,
            self.watch_s,
        )
        is_warned = state.warned_deadline == move.deadline
        if (
            decision.kind in KINDS_WITHOUT_STEP_CHANGE
            and decision.warning
            and not is_warned
        ):
            return evolve(
                decision,
                kind="warn",
                phase=move.phase,
                reason=decision.warning,
            )
        if (
            decision.kind in KINDS_WITHOUT_STEP_CHANGE
            and now - state.note_published_at < NOTE_INTERVAL_S
        ):
            return evolve(decision, kind="keep")
        return decision

    async def _publish(
        self, head: PublishedHead, move: Move, decision: Decision, now: float
    ) -> None:
        config = apply_decision(head.config, move, decision, now)
        if isinstance(config, ErrorResult):
            log_event(202, revision=head.config.revision + 1, reason=config.reason)
            return
        event = _build_event(move, decision)
        history = HistoryRecord(
            config.revision,
            self.node_id,
            now,
            f"move {move.move_id}: {decision.kind}: {decision.reason}",
            (format_event(event[0], **event[1]),),
            encode(make_delta(head.config, config)),
        )
        operation_id = self.ports.make_operation_id()
        published = await self.ports.publish(
            head, config, history, operation_id, self.lease
        )
        if isinstance(published, ErrorResult):
            # After a conflict or an unknown outcome, the next tick reads the head
            # again and decides based on its content.
            if published.kind is ErrorKind.FENCED:
                self._drop_lease(published.reason)
            return
        log_event(event[0], **event[1])
        self._record_published(move, decision, now)
        self.ports.offer(published.config)
        if self.lease is not None:
            self._follow_moves(published.config)
        updated = published.config.moves_by_id.get(move.move_id)
        if updated is not None and updated.is_ended:
            move_ended.send(self, move=updated)

    def _record_published(self, move: Move, decision: Decision, now: float) -> None:
        state = self.states_by_move.get(move.move_id)
        if state is None:
            return
        if decision.kind == "repeat":
            state.repeats += 1
        if decision.kind == "warn":
            state.warned_deadline = move.deadline
        elif decision.kind in KINDS_WITHOUT_STEP_CHANGE:
            state.note_published_at = now


def _build_event(move: Move, decision: Decision) -> tuple[int, dict[str, Any]]:
    """Return the number and the fields of the event that reports a decision."""
    fields = {
        "move_id": move.move_id,
        "share": f"{decision.share:.0%}",
        "reason": decision.reason,
        "version": move.to_version,
    }
    return EVENTS_BY_DECISION[decision.kind], fields
