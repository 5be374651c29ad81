"""Move task of a node: reports evidence, sets the local brake, coordinates moves."""

from collections.abc import Callable, Collection
from typing import Any
from uuid import uuid4

from twisted.internet.task import LoopingCall

from bamboocove.coordination.brake import (
    Brake,
    get_brake_reports,
    is_set,
    update_brake,
    update_moves,
)
from bamboocove.coordination.coordinator import Coordinator, CoordinatorPorts
from bamboocove.coordination.lease import acquire_lease, release_lease, renew_lease
from bamboocove.coordination.moves import WorkerCounts
from bamboocove.coordination.publishing import (
    PublishedConfig,
    fetch_newer_config,
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
from bamboocove.state.evidence import BrakeReport, Evidence, OutcomeCounts
from bamboocove.state.members import MemberTable

# The coordinator pools evidence for 2 s before it evaluates it. One report for
# each window would double the packets that it receives.
REPORT_INTERVAL_S = 2.0
# A node without calls to a service in a move sends an empty report at this
# interval, and immediately after a step, so that the coordinator can tell a
# service without traffic from lost evidence.
IDLE_REPORT_INTERVAL_S = 10.0


def count_workers(
    members: MemberTable, move: Move, config: Config, scope: str
) -> WorkerCounts:
    """Count the workers of a move's service and the nodes that route to it.

    Parameters
    ----------
    members : MemberTable
        Member records of all nodes.
    move : Move
        The move.
    config : Config
        Configuration in force, from which the dependents of the service are read.
    scope : {"all", "own"}
        Setting ``[calls] scope``, which must be the same on all nodes.
    """
    workers = [worker for _, worker in members.get_workers(move.service)]
    routing_services = {move.service}
    routing_services.update(
        service.name
        for service in config.services_by_name.values()
        if move.service in service.depends_on
    )
    nodes = sum(
        scope == "all"
        or any(worker.service in routing_services for worker in member.workers)
        for member in members.get_live()
    )
    return WorkerCounts(
        nodes=nodes,
        old=sum(worker.version == move.from_version for worker in workers),
        new_ready=sum(
            worker.version == move.to_version and worker.state == "ready"
            for worker in workers
        ),
    )


class MoveTask:
    """Reports evidence, sets the local brake and runs the coordinator.

    The coordinator acts on moves only while this node holds the lease.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    table, objects : TableClient, ObjectClient
        Clients of the platform.
    distributor : Distributor
        Sends evidence and distributes notices and published configurations.
    members : MemberTable
        Member records of all nodes.
    get_config : callable
        Returns the configuration in force.
    clock : reactor
        Twisted reactor.

    Attributes
    ----------
    take_evidence : callable
        Returns the completed windows of this node's calls and removes them;
        set by the node.
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
        self._pending_evidence: list[Evidence] = []
        self._routed_services: Collection[str] = ()
        # For each open move, the time of the last report and of the step that
        # it reported on.
        self._last_reports_by_move: dict[str, tuple[float, float]] = {}
        self._last_sent_at = float("-inf")
        self._coordinator: Coordinator | None = None
        self._loop = LoopingCall(self._tick)
        self._loop.clock = clock

    def start(self) -> None:
        """Start sending evidence and trying to acquire the lease."""
        if self._loop.running:
            return
        self._coordinator = self._make_coordinator()
        self._loop.start(self._settings.get("moves", "window_s"))

    async def stop(self) -> None:
        """Stop the task and release the lease if this node holds it."""
        if self._loop.running:
            self._loop.stop()
        if self._coordinator is not None:
            await self._coordinator.stop()

    def handle_report(self, report: EvidenceReport) -> None:
        """Pass a report of another node to the coordinator."""
        if self._coordinator is not None:
            self._coordinator.post(report, self._clock.seconds())

    def update_config(self, config: Config, services: Collection[str]) -> None:
        """Update brakes and moves for a configuration that came into force.

        Parameters
        ----------
        config : Config
            The configuration.
        services : collection of str
            Names of the services that this node routes to.
        """
        self._routed_services = services
        route_counts = {
            name: len(service.routes)
            for name, service in config.services_by_name.items()
        }
        moves = config.get_open_moves()
        update_moves(self._brake, moves, config.revision, route_counts)
        self._braked_moves = {
            move.move_id for move in moves if is_set(self._brake, move.move_id)
        }

    def is_braked(self, move_id: str) -> bool:
        """Return whether this node sends no calls to the new version of a move."""
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
            count_workers=lambda move: count_workers(
                self._members,
                move,
                self._get_config(),
                self._settings.get("calls", "scope"),
            ),
            announce=self._distributor.broadcast,
            offer=self._distributor.offer,
            make_operation_id=lambda: uuid4().hex,
            has_moves=lambda: bool(self._get_config().get_open_moves()),
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

    async def _read_head(self) -> PublishedConfig | ErrorResult:
        """Read the head; fetch its configuration unless it is in force here."""
        head = await read_head_record(self._table)
        if isinstance(head, ErrorResult):
            return head
        config = self._get_config()
        if config.revision != head.record.revision:
            fetched = await fetch_newer_config(
                self._table, self._objects, config, head.record
            )
            if isinstance(fetched, ErrorResult):
                return fetched
            config = fetched
        return PublishedConfig(config, head.version)

    def _tick(self) -> None:
        now = self._clock.seconds()
        self._send_report(now)
        run_logged(self._coordinator.tick(now))

    def _send_report(self, now: float) -> None:
        evidence = self.take_evidence(now)
        for item in evidence:
            update_brake(self._brake, item)
        self._pending_evidence += evidence + self._make_idle_evidence(evidence, now)
        brakes = get_brake_reports(self._brake)
        has_new_brake = self._record_brakes(brakes)
        if not has_new_brake and now - self._last_sent_at < REPORT_INTERVAL_S:
            return
        if self._pending_evidence or brakes:
            self._last_sent_at = now
            report = EvidenceReport(tuple(self._pending_evidence), brakes)
            self._pending_evidence = []
            self._distributor.send_evidence(report)

    def _make_idle_evidence(
        self, evidence: list[Evidence], now: float
    ) -> list[Evidence]:
        """Return the empty evidence that is due for moves without calls."""
        config = self._get_config()
        active_move_ids = {item.move_id for item in evidence}
        last_reports_by_move = {}
        idle_evidence = []
        for move in config.get_open_moves():
            if move.service not in self._routed_services:
                continue
            reported_at, step_at = self._last_reports_by_move.get(
                move.move_id, (float("-inf"), 0.0)
            )
            is_due = (
                step_at != move.changed_at
                or now - reported_at >= IDLE_REPORT_INTERVAL_S
            )
            if is_due and move.move_id not in active_move_ids:
                idle_evidence.append(self._make_empty_window(config, move, now))
            elif not is_due:
                last_reports_by_move[move.move_id] = (reported_at, step_at)
                continue
            last_reports_by_move[move.move_id] = (now, move.changed_at)
        self._last_reports_by_move = last_reports_by_move
        return idle_evidence

    def _make_empty_window(self, config: Config, move: Move, now: float) -> Evidence:
        window_s = self._settings.get("moves", "window_s")
        routes = config.services_by_name[move.service].routes
        return Evidence(
            move_id=move.move_id,
            node_id=self._brake.node_id,
            revision=config.revision,
            route=routes[0].name if routes else "",
            request_class=routes[0].request_class if routes else "normal",
            window_start=(now // window_s - 1) * window_s,
            window_s=window_s,
            old=OutcomeCounts(),
            new=OutcomeCounts(),
        )

    def _record_brakes(self, brakes: tuple[BrakeReport, ...]) -> bool:
        """Record and log the brakes that are set; return whether one is new."""
        has_new_brake = False
        for brake in brakes:
            if brake.move_id not in self._braked_moves:
                self._braked_moves.add(brake.move_id)
                log_event(507, move_id=brake.move_id, reason=brake.reason)
                has_new_brake = True
        return has_new_brake
