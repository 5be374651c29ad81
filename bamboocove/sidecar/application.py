"""The application object of a sidecar node, which creates and owns its tasks."""

import sys
import time
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall
from twisted.python.failure import Failure

from bamboocove.coordination.body_grants import BodyGrants
from bamboocove.coordination.byte_budget import ByteBudget, compute_budget
from bamboocove.coordination.drain_window import NOT_DRAINING, estimate_lag
from bamboocove.coordination.hand_back import pick_hand_back
from bamboocove.coordination.load_reports import LoadReporter
from bamboocove.coordination.readers import ReaderRole
from bamboocove.coordination.record_repair import RecordRepair
from bamboocove.coordination.retry_limits import CrashTable
from bamboocove.coordination.worker_queue import QueuedRequest
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import run_logged
from bamboocove.lifecycle import LifecycleHooks, make_lifecycle
from bamboocove.sidecar.crash_reports import CrashReports
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.dissemination import Dissemination
from bamboocove.sidecar.endpoints import (
    log_failed_handler,
    log_incomplete_close,
    make_operations_handler,
    make_readiness_handler,
)
from bamboocove.sidecar.evacuation import EvacuationControl
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.forwarding import Forwarding
from bamboocove.sidecar.gauges import update_gauges
from bamboocove.sidecar.hosts import HostDirectory
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.key_proofs import KeyProofs
from bamboocove.sidecar.link_events import LinkEvents
from bamboocove.sidecar.links import HubHandlers, LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.messages import exchange_state, handle_message
from bamboocove.sidecar.metrics import MeshMetrics
from bamboocove.sidecar.moves import MoveController
from bamboocove.sidecar.operator_data import OperatorData
from bamboocove.sidecar.outbound import OutboundProxy
from bamboocove.sidecar.quotas import QuotaTask
from bamboocove.sidecar.reply_offers import ReplyOffers
from bamboocove.sidecar.request_explanation import explain_request
from bamboocove.sidecar.rules import RuleTable
from bamboocove.sidecar.settings import HostSettings
from bamboocove.sidecar.shutdown import drain
from bamboocove.sidecar.store import Store
from bamboocove.sidecar.store_restore import StoreRestore
from bamboocove.sidecar.suspect_requests import SuspectRequests
from bamboocove.sidecar.watch import StoreWatch
from bamboocove.sidecar.worker_reports import (
    MAX_REPORT_BYTES,
    DecodeWorker,
    make_report_handler,
)
from bamboocove.state.mesh import MeshConfig
from bamboocove.transport.calls import SWEEP_INTERVAL_S, CallServer
from bamboocove.transport.monotonic_clock import read_boot_time
from bamboocove.transport.server_connection import ServerConnection

VERSION = "0.2"
TICK_S = 0.1
LISTEN_BACKLOG = 1024
# Interval at which nodes exchange state, in seconds: a node offers its state to a
# peer of its zone, or requests a peer's state while the store is unavailable. A
# watch call may hang without an error; a peer then offers the configuration before
# the time by which it must be in force.
EXCHANGE_INTERVAL_S = 0.5
METRICS_PORT = 9464


def _get_unix_ms() -> int:
    return int(time.time() * 1000)


@define(eq=False, slots=False)
class SidecarApplication:
    """Creates the tasks of a node, connects them, and starts and stops them.

    Parameters
    ----------
    settings : HostSettings
        Validated settings.
    dialect : Dialect
        Names of header fields and paths that the platform uses.
    store : Store
        The platform's store.
    decode_worker : callable
        Decodes a worker's report about itself.
    clock : reactor
        Twisted reactor.
    random : Random
        Source of random choices and jitter.
    incarnation : int
        Unix time in milliseconds at which the process started.
    metrics_port : int
        TCP port of the metrics; 0 for any free port.
    config : MeshConfig
        Configuration in force; version 0 until there is one.
    finished : Deferred
        Fires when the node has stopped.
    get_boot_time : callable
        Returns the time since the machine started, in seconds.
    """

    settings: HostSettings
    dialect: Dialect
    store: Store
    decode_worker: DecodeWorker
    clock: Any
    random: Random
    incarnation: int
    metrics_port: int = METRICS_PORT
    config: MeshConfig = field(factory=MeshConfig)
    finished: Deferred = field(factory=Deferred)
    get_boot_time: Callable[[], float] = read_boot_time

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.fleet = Fleet(settings.host_id)
        self.rule_table = RuleTable()
        self.metrics = MeshMetrics()
        # Shared by request and response bodies.
        self.body_budget = ByteBudget(compute_budget(settings.memory_bytes))
        self.link_events = LinkEvents(self)
        self.evacuation = EvacuationControl(self)
        self.operator_data = OperatorData(self)
        self.hub = LinkHub(
            self.clock,
            HubHandlers(
                self.link_events.make_greeting,
                partial(handle_message, self),
                self.link_events.on_up,
                self.link_events.on_down,
                self.link_events.on_ping_timeout,
                self.link_events.on_suspect,
            ),
            self.random.random,
            settings.zone,
        )
        self.suspects = SuspectRequests(
            CrashTable(),
            self.clock,
            _get_unix_ms,
            lambda message: self.dissemination.broadcast(message),
            lambda: self.hosts.publish(),
        )
        self.inbound = InboundProxy(
            settings.worker_address,
            self.dialect,
            self.clock,
            self.rule_table.is_allowed,
            lambda: self.hosts.publish(),
            CrashReports(settings.host_id, self.clock, self.suspects.report),
            self.body_budget,
        )
        self.inbound.pick_hand_back = self._pick_hand_back
        self.inbound.is_suspect = self.suspects.is_blocked
        self.inbound.watch.is_confirmed = settings.is_first_start
        self.hosts = HostDirectory(
            settings,
            self.fleet,
            self.inbound,
            self.hub,
            self.clock,
            self.incarnation,
            lambda: self.watch.publish(),
            lambda message: self.dissemination.broadcast(message),
            self.operator_data.forward_in_zone,
            self.rule_table.get_moving_versions,
            self.suspects,
            RecordRepair(self.random.random),
        )
        self.forwarding = Forwarding(
            self.inbound,
            self.clock,
            BodyGrants(settings.link_bytes_per_s),
            ReplyOffers(self.body_budget),
        )
        self.moves = MoveController(
            self.rule_table,
            self.store,
            self.fleet,
            lambda message: self.dissemination.broadcast(message),
            lambda outcomes: self.dissemination.send_outcomes(outcomes),
            self.inbound,
            self.clock,
            settings.host_id,
            self.incarnation,
        )
        self.outbound = OutboundProxy(
            settings,
            self.dialect,
            self.fleet,
            self.inbound,
            self.hub,
            self.rule_table,
            self.metrics,
            self.clock,
            self.random.random,
            self.body_budget,
            self.suspects,
        )
        self.watch = StoreWatch(
            self.store,
            self.clock,
            self.random.random,
            self.operator_data.apply_update,
            self.operator_data.apply_hosts,
            self.operator_data.apply_rules,
            self.hosts.get_record,
            lambda: self.dissemination.get_duty(),
            lambda: self.config.version,
            settings.is_first_start,
            self.inbound.watch.confirm_reports,
            lambda: self.key_proofs.may_wait(),
        )
        self.readers = ReaderRole(settings.host_id)
        self.store_restore = StoreRestore(self)
        self.load_reporter = LoadReporter()
        self.dissemination = Dissemination(
            settings,
            self.fleet,
            self.hub,
            self.readers,
            self.clock,
            self.watch,
            self.moves.record_outcomes,
        )
        self.key_proofs = KeyProofs(self, self.get_boot_time)
        self.outbound.check_keys = self.key_proofs.check
        self.quotas = QuotaTask(self)
        self.hooks = LifecycleHooks(
            self._on_bootstrapping,
            lambda: log("node.serving", config=self.config.version),
            lambda: run_logged(drain(self)),
            self._on_stopped,
        )
        self.lifecycle = make_lifecycle(self.hooks)
        self.servers: list[CallServer] = []
        self._ports: list[Any] = []
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = self.clock
        self._last_ticks = (0.0, 0.0)
        self._next_sweep_at = 0.0
        self._next_exchange_at = 0.0
        self._was_reading = False

    async def start(self) -> ErrorResult | None:
        """Open all ports, start the tasks and begin to fetch a configuration.

        Returns
        -------
        error : ErrorResult or None
            ``INVALID_SETTINGS`` if a port cannot be opened.
        """
        settings = self.settings
        port = await self.hub.start(settings.link_address)
        if isinstance(port, ErrorResult):
            return port
        metrics_address = (settings.ip, self.metrics_port)
        try:
            # The outbound proxy limits the bodies of callers, and logs what it refuses.
            self._listen(settings.caller_address, self.outbound.take, sys.maxsize)
            readiness = make_readiness_handler(self.dialect, self.is_ready)
            self._listen(settings.readiness_address, readiness, 0)
            reports = make_report_handler(
                self.dialect,
                self.inbound,
                self.decode_worker,
                self.clock,
                _get_unix_ms,
                lambda: self.watch.wait_until_written(self.hosts.get_record().age_key),
                self.hosts.find_other_host,
                lambda: self.watch.has_read_hosts,
            )
            self._listen(settings.heartbeat_address, reports, MAX_REPORT_BYTES)
            operations = make_operations_handler(
                self.dialect,
                self.metrics,
                lambda *request: explain_request(self, *request, self.clock.seconds()),
            )
            self._listen(metrics_address, operations, 0)
        except CannotListenError as error:
            return ErrorResult(ErrorKind.INVALID_SETTINGS, str(error))
        self.lifecycle.listen()
        return None

    def _listen(
        self, address: tuple[str, int], handler: Callable, max_body_bytes: int
    ) -> None:
        host, port = address
        server = CallServer(
            handler,
            max_body_bytes,
            self.clock,
            partial(log_incomplete_close, self.dialect, port),
            partial(log_failed_handler, self.dialect, port),
        )
        self._ports.append(self.clock.listenTCP(port, server, LISTEN_BACKLOG, host))
        self.servers.append(server)

    def _on_bootstrapping(self) -> None:
        log(
            "node.started",
            host=self.settings.host_id,
            zone=self.settings.zone,
            service=self.settings.service,
            incarnation=self.incarnation,
            version=VERSION,
        )
        self.fleet.merge(self.hosts.get_record(), self.clock.seconds())
        self.watch.start()
        self._start_ticker()

    def _start_ticker(self) -> None:
        # An exception ends the loop, and without it the node neither dials lost links
        # nor probes its worker.
        now = self.clock.seconds()
        self._last_ticks = (now, now)
        self._ticker.start(TICK_S, now=False).addErrback(self._on_tick_failed)

    def _on_tick_failed(self, failure: Failure) -> None:
        log("node.tick-failed", reason=repr(failure.value))
        self._start_ticker()

    @property
    def is_draining(self) -> bool:
        """Whether the node is shutting down."""
        return self.outbound.router.drain_window is not NOT_DRAINING

    def get_lag(self) -> float:
        """Return for how long a signal may have waited for this process, in seconds."""
        return estimate_lag(self.clock.seconds(), self._last_ticks, TICK_S)

    def drain(self) -> None:
        """Begin a graceful shutdown; ``finished`` fires when it is complete."""
        self.lifecycle.drain()

    def close_ports(self) -> None:
        """Accept no more connections and close idle ones."""
        for port in self._ports:
            port.stopListening()
        for server in self.servers:
            server.close_idle()

    @property
    def connections(self) -> list[ServerConnection]:
        """Open connections of callers."""
        return [c for server in self.servers for c in server.connections]

    def has_callers(self) -> bool:
        """Return whether a caller on an open connection has not all its responses."""
        return any(connection.is_awaited for connection in self.connections)

    def finish(self) -> None:
        """End the life cycle after all ports and links were closed."""
        self._ticker.stop()
        self.lifecycle.finish()

    def _on_stopped(self) -> None:
        log("node.stopped")
        self.finished.callback(None)

    def reload(self, settings: HostSettings | ErrorResult) -> None:
        """Apply reloaded settings; an error keeps the present ones."""
        if isinstance(settings, ErrorResult):
            log("node.reload-failed", reason=settings.reason)
            return
        log("node.reloaded", is_changed=settings != self.settings)
        self.settings = self.outbound.settings = self.hosts.settings = settings

    def _tick(self) -> None:
        now = self.clock.seconds()
        self._last_ticks = (self._last_ticks[1], now)
        self.hub.tick(now)
        self.inbound.tick(now)
        self.forwarding.tick(now)
        self.store_restore.tick()
        self.moves.tick(now)
        self.key_proofs.tick()
        self.quotas.tick(now)
        self._report_load(now)
        if now >= self._next_sweep_at:
            self._next_sweep_at = now + SWEEP_INTERVAL_S
            self._sweep(now)
        was_reading, self._was_reading = (
            self._was_reading,
            self.dissemination.is_reading(),
        )
        if now >= self._next_exchange_at or self._was_reading and not was_reading:
            self._next_exchange_at = now + EXCHANGE_INTERVAL_S
            exchange_state(self)

    def _pick_hand_back(self, now: float) -> QueuedRequest | None:
        worker, queue = self.inbound.worker, self.inbound.queue
        if worker is None or not queue.waiting:
            return None
        views = self.fleet.get_linked_views(worker.service)
        same = [view for view in views if view.version == worker.version]
        settings = self.settings
        return pick_hand_back(queue, same, settings.host_id, settings.zone, now)

    def _report_load(self, now: float) -> None:
        queue = self.inbound.queue
        waiting = len(queue.waiting) or queue.machine_load.is_slow(now)
        counts = len(queue.running), waiting, queue.count_usable_slots()
        if self.load_reporter.should_report(*counts, now):
            self.dissemination.send_load(self.inbound.make_load())
        self.dissemination.send_collected(now)

    def _sweep(self, now: float) -> None:
        for server in self.servers:
            server.sweep(now)
        self.fleet.remove_unreachable(now)
        self.hosts.update_links(now)
        update_gauges(self)

    def use_config(self, config: MeshConfig, source: str) -> None:
        """Put a configuration in force, see ``OperatorData.use_config``."""
        self.operator_data.use_config(config, source)

    def is_ready(self) -> bool:
        """Return whether callers on this host may send requests to this node."""
        if not self.config.version or self.is_draining:
            return False
        if not self.outbound.router.is_starting(self.clock.seconds()):
            return True
        return all(
            self.fleet.has_reachable_worker(service)
            for service in self.config.services_by_name
        )
