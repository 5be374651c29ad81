"""Application of a node: creates, connects, starts and stops its tasks."""

from functools import partial
from random import Random
from typing import Any

from attrs import define, evolve, field
from statsd import StatsClient
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.internet.threads import deferToThreadPool

from bamboocove.config_editor import ConfigEditor
from bamboocove.coordination.polling import compute_floor
from bamboocove.distributor import Distributor
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import log_event, run_logged
from bamboocove.lifecycle import LifecycleHooks, make_lifecycle
from bamboocove.metrics import Metrics
from bamboocove.move_task import MoveTask
from bamboocove.protocol.messages import EvidenceReport, SuspectNotice
from bamboocove.proxy import Proxy
from bamboocove.reports import explain_move, make_status, read_all_history
from bamboocove.settings import Settings
from bamboocove.signals import (
    drain_started,
    node_started,
    node_stopped,
    snapshot_applied,
)
from bamboocove.state.announcements import Announcements
from bamboocove.state.config import Config
from bamboocove.state.members import MemberTable, WorkerRecord
from bamboocove.state.snapshot import ActiveSnapshot, compile_snapshot
from bamboocove.store_reader import StoreReader
from bamboocove.transport.admin import AdminServer
from bamboocove.transport.admin_operations import (
    AdminOperations,
    AppliedText,
    ApplyResult,
    TextConflict,
)
from bamboocove.transport.platform import ObjectClient, TableClient

EXPIRE_INTERVAL_S = 1.0
FLOOR_POLL_INTERVAL_S = 0.5
# Time that a drain allows for the records of the draining workers to reach the
# other nodes, after which no new calls are in transit to this host.
DRAIN_PROPAGATION_S = 0.5


@define(eq=False, slots=False)
class NodeApplication:
    """Tasks of a node, with their start, configuration and shutdown.

    Parameters
    ----------
    settings : Settings
        Checked settings of the node.
    clock : reactor
        Twisted reactor.
    random : Random
        Source of random choices and jitter.
    incarnation : int
        Unix time in milliseconds at which the process started.
    """

    settings: Settings
    clock: Any
    random: Random
    incarnation: int
    config: Config = field(factory=Config)
    active: ActiveSnapshot = field(factory=ActiveSnapshot)
    members: MemberTable = field(factory=MemberTable)
    announcements: Announcements = field(factory=Announcements)
    ports_by_name: dict[str, int] = field(factory=dict)
    finished: Deferred = field(factory=Deferred)

    def __attrs_post_init__(self) -> None:
        get = self.settings.get
        self.node_id = get("node", "id")
        timeout_s = get("platform", "timeout_s")
        self.table = TableClient(get("platform", "table_url"), timeout_s, self.clock)
        self.objects = ObjectClient(
            get("platform", "object_url"), timeout_s, self.clock
        )
        self.metrics = Metrics("", _make_statsd_client(self.settings))
        self.distributor = Distributor(
            self.settings,
            self.members,
            self.clock,
            self.random,
            self._apply_config,
            {SuspectNotice: self._on_suspect, EvidenceReport: self._on_evidence},
            self.incarnation,
        )
        self.distributor.require_floor()
        self.reader = StoreReader(
            self.settings,
            self.table,
            self.objects,
            self.distributor,
            self.clock,
            self.random,
        )
        self.move_task = MoveTask(
            self.settings,
            self.table,
            self.objects,
            self.distributor,
            self.members,
            lambda: self.config,
            self.clock,
        )
        self.proxy = Proxy(
            self.settings,
            self.active,
            self.members,
            self.table,
            self.metrics,
            self.clock,
            self.random,
            self.distributor.broadcast,
            self.move_task.is_braked,
        )
        self.move_task.take_evidence = self.proxy.take_evidence
        self.editor = ConfigEditor(
            self.table,
            self.objects,
            self.distributor.offer,
            self._get_announced_versions,
            partial(deferToThreadPool, self.clock, self.clock.getThreadPool()),
        )
        self.admin = AdminServer(
            self._make_operations(),
            get("node", "host"),
            get("node", "admin_port"),
            self.clock,
        )
        self.hooks = LifecycleHooks(
            self._on_bootstrapping,
            self._on_serving,
            self._on_draining,
            self._on_stopped,
        )
        self.lifecycle = make_lifecycle(self.hooks)
        self._expire_loop = LoopingCall(self._expire_workers)
        self._expire_loop.clock = self.clock

    async def start(self) -> ErrorResult | None:
        """Open all ports and start the bootstrap of the configuration.

        Returns
        -------
        error : ErrorResult or None
            ``INVALID_SETTINGS`` if a port cannot be opened.
        """
        try:
            peer_port = await self.distributor.start()
            if isinstance(peer_port, ErrorResult):
                return peer_port
            self.ports_by_name["peer"] = peer_port
            self.ports_by_name["call"] = await self.proxy.start()
            self.ports_by_name["admin"] = self.admin.start()
        except OSError as error:
            return ErrorResult(ErrorKind.INVALID_SETTINGS, str(error))
        self._expire_loop.start(EXPIRE_INTERVAL_S, now=False)
        self.lifecycle.listen()
        return None

    def drain(self) -> None:
        """Start a graceful shutdown; ``finished`` fires when it is complete."""
        self.lifecycle.drain()

    def _on_bootstrapping(self) -> None:
        log_event(101, node_id=self.node_id, zone=self.settings.get("node", "zone"))
        node_started.send(self)
        run_logged(self._bootstrap())

    async def _bootstrap(self) -> None:
        config = await self.reader.bootstrap()
        if self.hooks.state not in ("bootstrapping", "serving"):
            return
        if not isinstance(config, ErrorResult):
            self.distributor.set_floor(config.revision)
            if config.revision > self.config.revision:
                self.distributor.offer(config)
        self.reader.start()
        await self._determine_floor()
        self.move_task.start()

    async def _determine_floor(self) -> None:
        """Wait until the store or enough peers tell the lowest revision to apply."""
        while not self.distributor.has_floor and self.hooks.state == "bootstrapping":
            revisions = list(self.distributor.get_peer_revisions().values())
            peer_count = len(self.members.get_live()) - 1
            floor = compute_floor(None, revisions, peer_count)
            if floor is not None:
                self.distributor.set_floor(floor)
                log_event(203, revision=floor, source="peers")
                return
            await deferLater(self.clock, FLOOR_POLL_INTERVAL_S)

    def _on_serving(self) -> None:
        log_event(102, node_id=self.node_id, revision=self.config.revision)

    def _on_draining(self) -> None:
        log_event(103, node_id=self.node_id, in_flight=self.proxy.in_flight)
        drain_started.send(self)
        run_logged(self._drain())

    async def _drain(self) -> None:
        if self._expire_loop.running:
            self._expire_loop.stop()
        self.distributor.publish_workers(
            evolve(record, state="draining")
            for record in self.announcements.get_records()
        )
        await self.move_task.stop()
        await self.reader.stop()
        await deferLater(self.clock, DRAIN_PROPAGATION_S)
        await self._drain_calls()
        await self.distributor.stop()
        await self.admin.stop()
        self.table.close()
        self.objects.close()
        self.lifecycle.finish()

    async def _drain_calls(self) -> None:
        drained = Deferred.fromCoroutine(self.proxy.drain())
        drained.addTimeout(self.settings.get("calls", "drain_s"), self.clock)
        try:
            await drained
        except TimeoutError:
            log_event(105, node_id=self.node_id, in_flight=self.proxy.in_flight)

    def _on_stopped(self) -> None:
        log_event(104, node_id=self.node_id)
        node_stopped.send(self)
        self.finished.callback(None)

    def _get_scope(self) -> frozenset[str]:
        if self.settings.get("calls", "scope") == "own":
            return self.announcements.get_services()
        return frozenset()

    def _apply_config(self, config: Config) -> ErrorResult | None:
        self.active.floor = max(self.active.floor, self.distributor.get_floor())
        snapshot = compile_snapshot(config, self._get_scope())
        if isinstance(snapshot, ErrorResult):
            return snapshot
        error = self.active.swap(snapshot)
        if error is not None:
            return error
        self.config = config
        self.metrics.tenant = config.tenant
        self.move_task.update_config(config, snapshot.services_by_name)
        self.reader.record_config(config)
        snapshot_applied.send(self, revision=config.revision)
        self.lifecycle.serve()
        return None

    # Messages of other tasks and of peers.

    def _on_suspect(self, notice: SuspectNotice) -> None:
        self.proxy.post(notice)

    def _on_evidence(self, report: EvidenceReport) -> None:
        self.move_task.handle_report(report)

    # Workers on this host.

    def _announce_worker(self, record: WorkerRecord) -> ErrorResult | None:
        if self.hooks.state not in ("bootstrapping", "serving"):
            return ErrorResult(ErrorKind.DRAINING, "the node is stopping")
        if self.announcements.announce(record, self.clock.seconds()):
            log_event(
                304,
                address=f"{record.host}:{record.port}",
                service=record.service,
                version=record.version,
                state=record.state,
            )
            self._publish_workers()
        return None

    def _expire_workers(self) -> None:
        if self.announcements.expire(self.clock.seconds()):
            self._publish_workers()

    def _publish_workers(self) -> None:
        self.distributor.publish_workers(self.announcements.get_records())
        scope = self._get_scope()
        if scope and self.config.revision:
            snapshot = compile_snapshot(self.config, scope)
            if not isinstance(snapshot, ErrorResult):
                self.active.rescope(snapshot)
                self.move_task.update_config(self.config, snapshot.services_by_name)

    def _get_announced_versions(self) -> dict[str, set[str]]:
        announced: dict[str, set[str]] = {}
        for member in self.members.get_live():
            for worker in member.workers:
                announced.setdefault(worker.service, set()).add(worker.version)
        return announced

    def _make_operations(self) -> AdminOperations:
        return AdminOperations(
            announce_worker=self._announce_worker,
            get_status=lambda: make_status(self, self.clock.seconds()),
            get_config=lambda: self.config,
            apply_text=self._apply_text,
            read_history=lambda after: read_all_history(self.table, after),
            explain_move=lambda move_id: explain_move(self.table, move_id),
            drain=self.drain,
        )

    async def _apply_text(self, data: bytes, base: int, author: str) -> ApplyResult:
        result = await self.editor.apply(data, base, author, self.clock.seconds())
        if isinstance(result, ErrorResult | list | TextConflict):
            return result
        return AppliedText(result.config.revision, result.difference, result.warnings)


def _make_statsd_client(settings: Settings) -> StatsClient | None:
    for host, port in settings.get("metrics", "statsd"):
        return StatsClient(host, port, prefix="bamboocove")
    return None
