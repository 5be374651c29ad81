"""The application object of a node on a worker's host, which owns its tasks."""

from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from bamboocove.coordination.load_signs import LoadSigns
from bamboocove.coordination.readers import ReaderRole
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import run_logged
from bamboocove.lifecycle import LifecycleHooks, make_lifecycle
from bamboocove.protocol.hops import (
    Greeting,
    NewsWanted,
    Records,
    Suspect,
)
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.endpoints import (
    MAX_REPORT_BYTES,
    DecodeWorker,
    make_metrics_handler,
    make_readiness_handler,
    make_report_handler,
)
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.flows import NOT_CLOSING
from bamboocove.sidecar.forwarding import Forwarding
from bamboocove.sidecar.gate import Gate
from bamboocove.sidecar.hosts import HostDirectory
from bamboocove.sidecar.links import HubHandlers, LinkHub
from bamboocove.sidecar.logs import STATE, log
from bamboocove.sidecar.messages import exchange_news, take_message
from bamboocove.sidecar.metrics import MeshMetrics
from bamboocove.sidecar.origin import Origin
from bamboocove.sidecar.rules import MoveTask, RuleBook
from bamboocove.sidecar.settings import HostSettings
from bamboocove.sidecar.spreading import Spreading
from bamboocove.sidecar.stopping import drain
from bamboocove.sidecar.store import OperatorNews, Store
from bamboocove.sidecar.watch import StoreWatch
from bamboocove.state.codec import to_plain
from bamboocove.state.mesh import HostRecord, MeshConfig
from bamboocove.transport.calls import SWEEP_INTERVAL_S, CallServer

VERSION = "0.2"
TICK_S = 0.1
BACKLOG = 1024
MAX_BODY_BYTES = 64 * 1024 * 1024
# Interval at which a node tells a peer of its zone what it knows, and one without
# the store asks a peer, in seconds. A call that waits for changes may hang
# without a sign; a peer then offers the configuration before it must be in force.
NEWS_S = 0.5
# After this time with a configuration a node is ready even if it knows no
# worker of some service.
READY_S = 1.5
METRICS_PORT = 9464


@define(eq=False, slots=False)
class SidecarApplication:
    """Owns the tasks of a node, starts and stops them.

    Parameters
    ----------
    settings : HostSettings
        Checked settings.
    dialect : Dialect
        Names on the wire.
    store : Store
        The platform's store.
    decode_worker : callable
        Decodes a worker's report of itself.
    clock : reactor
        Twisted reactor.
    random : Random
        Source of choices and jitter.
    incarnation : int
        Unix time in milliseconds at which the process started.
    metrics_port : int
        TCP port of the metrics; 0 for any.
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

    def __attrs_post_init__(self) -> None:
        settings = self.settings
        self.fleet = Fleet(settings.host_id)
        self.book = RuleBook()
        self.metrics = MeshMetrics()
        self.hub = LinkHub(
            self.clock,
            HubHandlers(
                self._greet,
                partial(take_message, self),
                self._on_up,
                self._on_down,
                self._on_silent,
                self._on_suspect,
            ),
            self.random.random,
            settings.zone,
        )
        self.gate = Gate(
            settings.worker_address,
            self.dialect,
            self.clock,
            self.book.is_allowed,
            lambda worker: self.hosts.publish(),
        )
        self.hosts = HostDirectory(
            settings,
            self.fleet,
            self.gate,
            self.hub,
            self.clock,
            self.incarnation,
            lambda: self.watch.publish(),
            lambda message: self.spreading.tell_all(message),
        )
        self.forwarding = Forwarding(self.gate, self.clock)
        self.moves = MoveTask(
            self.book,
            self.store,
            self.fleet,
            lambda message: self.spreading.tell_all(message),
            lambda outcomes: self.spreading.tell_outcomes(outcomes),
            self.gate,
            self.clock,
            settings.host_id,
            self.incarnation,
        )
        self.origin = Origin(
            settings,
            self.dialect,
            self.fleet,
            self.gate,
            self.hub,
            self.book,
            self.metrics,
            self.clock,
            self.random.random,
        )
        self.watch = StoreWatch(
            self.store,
            self.clock,
            self.random.random,
            self._on_news,
            self._on_hosts,
            self._on_rules,
            self.hosts.get_record,
            self._must_read,
        )
        self.readers = ReaderRole(settings.host_id)
        self.load_signs = LoadSigns()
        self.spreading = Spreading(
            settings, self.fleet, self.hub, self.readers, self.clock, self.watch
        )
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
        self._sweep_at = 0.0
        self._news_at = 0.0
        self._ask_at = 0.0
        self._configured_at = 0.0

    # Life cycle.

    async def start(self) -> ErrorResult | None:
        """Open all ports and begin to look for a configuration.

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
            self._listen(settings.caller_address, self.origin.take, MAX_BODY_BYTES)
            readiness = make_readiness_handler(self.dialect, self.is_ready)
            self._listen(settings.readiness_address, readiness, 0)
            reports = make_report_handler(self.dialect, self.gate, self.decode_worker)
            self._listen(settings.heartbeat_address, reports, MAX_REPORT_BYTES)
            metrics = make_metrics_handler(self.dialect, self.metrics)
            self._listen(metrics_address, metrics, 0)
        except CannotListenError as error:
            return ErrorResult(ErrorKind.INVALID_SETTINGS, str(error))
        self.lifecycle.listen()
        return None

    def _listen(
        self, address: tuple[str, int], handler: Callable, max_body_bytes: int
    ) -> None:
        host, port = address
        server = CallServer(handler, max_body_bytes, self.clock)
        self._ports.append(self.clock.listenTCP(port, server, BACKLOG, host))
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
        self._ticker.start(TICK_S, now=False)

    @property
    def is_closing(self) -> bool:
        """Whether the node is about to stop."""
        return self.origin.intake.closing is not NOT_CLOSING

    def drain(self) -> None:
        """Begin a graceful shutdown; ``finished`` fires at its end."""
        self.lifecycle.drain()

    def close_ports(self) -> None:
        """Take no more connections, and close those without a request."""
        for port in self._ports:
            port.stopListening()
        for server in self.servers:
            server.close_idle()

    def finish(self) -> None:
        """End the life cycle; nothing is open any more."""
        self._ticker.stop()
        self.lifecycle.finish()

    def _on_stopped(self) -> None:
        log("node.stopped")
        self.finished.callback(None)

    def reload(self, settings: HostSettings | ErrorResult) -> None:
        """Use settings that have changed."""
        if isinstance(settings, ErrorResult):
            log("node.reload-failed", reason=settings.reason)
            return
        log("node.reloaded", is_changed=settings != self.settings)
        self.settings = self.origin.settings = self.hosts.settings = settings

    def _tick(self) -> None:
        now = self.clock.seconds()
        self.hub.tick(now)
        self.gate.tick(now)
        self.moves.tick(now)
        self._tell_load(now)
        if now >= self._sweep_at:
            self._sweep_at = now + SWEEP_INTERVAL_S
            self._sweep(now)
        if now >= self._news_at:
            self._news_at = now + NEWS_S
            exchange_news(self)

    def _tell_load(self, now: float) -> None:
        queue = self.gate.queue
        counts = len(queue.running), len(queue.waiting), queue.slots
        if self.load_signs.must_tell(*counts, now):
            self.spreading.tell_load(self.gate.make_load())
        self.spreading.hand_on(now)

    def _sweep(self, now: float) -> None:
        for server in self.servers:
            server.sweep(now)
        if self.fleet.forget_lost(now):
            self.hub.follow(self.fleet.get_addresses(), self.fleet.get_zones())
        bounds = self.settings.bounds
        nodes = len(self.fleet.records_by_id)
        self.origin.budgets.configure(bounds.retry_ratio, bounds.retry_slack, nodes)
        gauges = {
            "config_version": self.config.version,
            "hosts_reachable": sum(p.is_open for p in self.hub.peers_by_id.values()),
            "running": len(self.gate.queue.running),
            "waiting": len(self.gate.queue.waiting),
            "store_reading": self.watch.is_reading,
            "store_calls": self.store.calls,
            "log_lines_dropped": STATE.dropped_lines,
        }
        for name, value in gauges.items():
            self.metrics.set_gauge(name, value)

    # Configuration.

    def _must_read(self) -> bool:
        return self.spreading.must_read()

    def _on_news(self, news: OperatorNews) -> None:
        if news.config is not None:
            self.use_config(news.config, "store")
        now = self.clock.seconds()
        for order in news.orders:
            if self.moves.take_order(order, now):
                self.spreading.tell_all(self.moves.make_news())

    def use_config(self, config: MeshConfig, source: str) -> None:
        """Put a configuration in force, unless it is an older one."""
        before = self.config
        if config.version <= before.version:
            return
        error = self.origin.intake.use_config(config)
        if error is not None:
            log("config.refused", version=config.version, reason=error.reason)
            return
        log(
            "config.applied",
            version=config.version,
            before=before.version,
            routes=len(config.routes_by_name),
            source=source,
        )
        if not before.version:
            self._configured_at = self.clock.seconds()
        self.config = config
        self.spreading.spread(before, config, source)
        service = config.services_by_name.get(self.settings.service)
        if service is not None:
            self.gate.watch.health_path = service.health_path
        self.lifecycle.serve()

    def _on_hosts(self, records: list[HostRecord]) -> None:
        news = self.hosts.take(records)
        if news and self.spreading.must_read():
            records = Records([to_plain(record) for record in news])
            self.spreading.tell_near(records)

    def _on_rules(self, rules: list) -> None:
        now = self.clock.seconds()
        for rule in rules:
            self.moves.take_rule(rule, True, now)

    # Links.

    def _greet(self, is_dialled: bool) -> list[Any]:
        # Nothing large, and nothing that asks for much: after a restart of all
        # nodes there is a greeting for each pair of them.
        record = self.hosts.get_record()
        greeting = Greeting(record.host_id, record.incarnation)
        if not is_dialled:
            # The other side learns the record when this node dials it.
            return [greeting]
        return [greeting, Records([to_plain(record)])]

    def _on_up(self, host_id: str) -> None:
        self.fleet.mark_reachable(host_id)
        if not self.config.version and self.clock.seconds() >= self._ask_at:
            # A node without the store serves as soon as a peer has answered.
            self._ask_at = self.clock.seconds() + NEWS_S
            self.hub.send(host_id, NewsWanted(0))

    def _on_down(self, host_id: str) -> None:
        now = self.clock.seconds()
        self.fleet.mark_unreachable(host_id, now)
        self.origin.on_host_lost(host_id, now)

    def _on_silent(self, host_id: str) -> None:
        self.spreading.tell_near(Suspect(host_id))

    def _on_suspect(self, host_id: str) -> None:
        self.origin.on_host_suspect(host_id, self.clock.seconds())

    def is_ready(self) -> bool:
        """Return whether callers on this host may send requests."""
        if not self.config.version or self.is_closing:
            return False
        if self.clock.seconds() - self._configured_at > READY_S:
            return True
        return all(
            self.fleet.has_reachable(service)
            for service in self.config.services_by_name
        )
