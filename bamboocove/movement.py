"""Task for moves: this node's evidence and brake, and the coordinator."""

from collections.abc import Callable
from typing import Any
from uuid import uuid4

from twisted.internet.task import LoopingCall

from bamboocove.coordination.brake import (
    Brake,
    follow_moves,
    get_brake_reports,
    is_set,
    update_brake,
)
from bamboocove.coordination.coordinator import Coordinator, CoordinatorPorts
from bamboocove.coordination.lease import acquire_lease, release_lease, renew_lease
from bamboocove.coordination.moves import WorkerCounts
from bamboocove.coordination.publishing import (
    Published,
    fetch_next,
    publish,
    read_head_record,
)
from bamboocove.distributor import Distributor
from bamboocove.errors import ErrorResult
from bamboocove.events import log_event, run_logged
from bamboocove.protocol.messages import EvidenceReport
from bamboocove.protocol.rows import COORDINATOR_LEASE_KEY
from bamboocove.settings import Settings
from bamboocove.state.config import Config, Move
from bamboocove.state.evidence import Evidence
from bamboocove.state.members import MemberTable


def count_workers(members: MemberTable, move: Move) -> WorkerCounts:
    """Count the workers of the service of a move."""
    workers = [worker for _, worker in members.get_workers(move.service)]
    return WorkerCounts(
        old=sum(worker.version == move.from_version for worker in workers),
        new_ready=sum(
            worker.version == move.to_version and worker.state == "ready"
            for worker in workers
        ),
    )


class Movement:
    """Gathers evidence, brakes, and coordinates while it holds the lease.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    table, objects : TableClient, ObjectClient
        The platform.
    distributor : Distributor
        Sends evidence, spreads notices and published configurations.
    members : MemberTable
        Records of the fleet.
    get_config : callable
        Returns the configuration in force.
    clock : reactor
        Source of time.

    Attributes
    ----------
    take_evidence : callable
        Returns the finished windows of this node's calls; set by the node.
    """

    def __init__(
        self,
        settings: Settings,
        table: Any,
        objects: Any,
        distributor: Distributor,
        members: MemberTable,
        get_config: Callable[[], Config],
        clock: Any,
    ):
        self.take_evidence: Callable[[float], list[Evidence]] = lambda now: []
        self._settings = settings
        self._table = table
        self._objects = objects
        self._distributor = distributor
        self._get_config = get_config
        self._clock = clock
        self._members = members
        self._brake = Brake(settings.get("node", "id"))
        self._braked_moves: set[str] = set()
        self._coordinator: Coordinator | None = None
        self._loop = LoopingCall(self._tick)
        self._loop.clock = clock

    def start(self) -> None:
        """Begin to send evidence and to compete for the lease."""
        if self._loop.running:
            return
        self._coordinator = self._make_coordinator()
        self._loop.start(self._settings.get("moves", "window_s"))

    async def stop(self) -> None:
        """Give the lease up, if this node holds it."""
        if self._loop.running:
            self._loop.stop()
        if self._coordinator is not None:
            await self._coordinator.stop()

    def post(self, report: EvidenceReport) -> None:
        """Take a report of another node."""
        if self._coordinator is not None:
            self._coordinator.post(report, self._clock.seconds())

    def follow_config(self, config: Config) -> None:
        """Take note of the moves of a configuration that came in force."""
        route_counts = {
            name: len(service.routes)
            for name, service in config.services_by_name.items()
        }
        moves = config.get_open_moves()
        follow_moves(self._brake, moves, config.revision, route_counts)
        self._braked_moves = {
            move.move_id for move in moves if is_set(self._brake, move.move_id)
        }

    def is_braked(self, move_id: str) -> bool:
        """Whether this node sends nothing to the new version of a move."""
        return move_id in self._braked_moves

    def _make_coordinator(self) -> Coordinator:
        member = self._distributor.member
        table, objects, key = self._table, self._objects, COORDINATOR_LEASE_KEY
        ports = CoordinatorPorts(
            acquire=lambda record, now: acquire_lease(table, key, record, now),
            renew=lambda held, record, now: renew_lease(table, held, record, now),
            release=lambda held: release_lease(table, held),
            read_head=self._read_head,
            publish=lambda base, config, history, operation_id, held: publish(
                table, objects, base, config, history, operation_id, held
            ),
            is_reader=self._distributor.is_reader,
            count_workers=lambda move: count_workers(self._members, move),
            announce=self._distributor.broadcast,
            offer=self._distributor.offer,
            make_operation_id=lambda: uuid4().hex,
        )
        return Coordinator(
            node_id=member.node_id,
            host=member.host,
            peer_port=member.peer_port,
            ports=ports,
            lease_s=self._settings.get("moves", "lease_s"),
            step_s=self._settings.get("moves", "step_s"),
            watch_s=self._settings.get("moves", "watch_s"),
        )

    async def _read_head(self) -> Published | ErrorResult:
        """Read the head, and the configuration only if it is not in force here."""
        head = await read_head_record(self._table)
        if isinstance(head, ErrorResult):
            return head
        config = self._get_config()
        if config.revision != head.record.revision:
            fetched = await fetch_next(self._table, self._objects, config, head.record)
            if isinstance(fetched, ErrorResult):
                return fetched
            config = fetched
        return Published(config, head.version)

    def _tick(self) -> None:
        now = self._clock.seconds()
        self._report(now)
        run_logged(self._coordinator.tick(now))

    def _report(self, now: float) -> None:
        evidence = tuple(self.take_evidence(now))
        for item in evidence:
            update_brake(self._brake, item)
        reports = get_brake_reports(self._brake)
        for brake in reports:
            if brake.move_id not in self._braked_moves:
                self._braked_moves.add(brake.move_id)
                log_event(507, move_id=brake.move_id, reason=brake.reason)
        if evidence or reports:
            self._distributor.send_evidence(EvidenceReport(evidence, reports))
