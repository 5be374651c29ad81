"""Cluster of a soak run: stand-ins, proxies and node processes on loopback."""

import json
import signal
from collections import Counter
from pathlib import Path
from random import Random
from typing import Any

from attrs import define, field
from twisted.internet.task import deferLater

from bamboocove.platform.standin_store import StoreStandin
from bamboocove.platform.standin_worker import Arrival, WorkerStandin
from bamboocove.state.codec import encode
from bamboocove.transport.clients import Address
from soak.nodes import SETTINGS_TEMPLATE, NodeProcess
from soak.proxies import FaultProxy
from soak.records import (
    LONG_TIMEOUT_S,
    ROUTE_TIMEOUT_S,
    AcknowledgedDrain,
    ConfigChange,
    Disruption,
    Journal,
    NamedLimit,
)

SERVICES = ("orders", "rounds", "ledger")
ZONES = ("a", "b", "c")
ROUTE_HOSTNAME = "h.example"
# Number of probe routes; the oldest is removed when a new one is added.
MAX_PROBE_ROUTES = 6
# Time for which a worker goes on serving after its drain is acknowledged.
DRAIN_S = 3.0
WORKER_RESTART_DELAY_S = 1.0
# How late the last report of a worker arrives that signs off.
LATE_REPORT_S = 2.5
# Pause after a sign-off that is not acknowledged, and for how long it is repeated. The
# pause is short so that one meets a node that has just opened its ports.
SIGN_OFF_INTERVAL_S = 0.005
SIGN_OFF_S = 5.0
# When the operator looks at a restored store and writes lost rows again.
OPERATOR_DELAY_S = 1.0
# Rows that another writer left among those of the hosts and the operator.
ODD_ROWS_BY_KEY = {
    "nested": b'{"a":' * 10_000,
    "nested-cbor": b"\x81" * 10_000,
    "port": encode(
        {"host_id": "port", "incarnation": 1, "sequence": 1, "zone": "a"}
        | {"address": ["127.0.0.1", 70000]}
    ),
    "number": encode(
        {"host_id": "number", "incarnation": float("inf"), "sequence": 1, "zone": "a"}
        | {"address": ["127.0.0.1", 80]}
    ),
}


@define(eq=False)
class Host:
    """One host: its node, its worker, and the proxies around the node."""

    host_id: str
    zone: str
    service: str
    ip: str
    proxy_ip: str
    node: NodeProcess
    worker: WorkerStandin
    link_proxy: FaultProxy
    store_proxy: FaultProxy
    worker_proxy: FaultProxy
    worker_start: Any = None

    @property
    def outbound_address(self) -> Address:
        """Address to which clients send requests."""
        return self.ip, 8304

    @property
    def readiness_address(self) -> Address:
        """Address of the readiness check of the platform."""
        return self.ip, 8302

    @property
    def proxies(self) -> tuple[FaultProxy, ...]:
        """All proxies of the host."""
        return self.link_proxy, self.store_proxy, self.worker_proxy


@define(eq=False)
class Cluster:
    """The store, hosts and workers of one run.

    Parameters
    ----------
    network : int
        Second octet of the loopback addresses; parallel runs use different ones.
    folder : Path
        Directory of the settings and logs.
    random : Random
        Source of random choices.
    clock : reactor
        Source of time, connections and processes.
    journal : Journal
        Receives the observations.

    Attributes
    ----------
    faults_by_subject : Counter
        Number of faults that affect a subject now, see ``soak.faults``.
    """

    network: int
    folder: Path
    random: Random
    clock: Any
    journal: Journal
    hosts_by_id: dict[str, Host] = field(factory=dict)
    faults_by_subject: Counter = field(factory=Counter)
    store: StoreStandin | None = None
    config_version: int = 0
    newest_route: int = 0
    _routes: list[int] = field(factory=list)
    _operator_rows: dict[str, bytes] = field(factory=dict)
    _worker_count: int = 0

    def start_store(self) -> None:
        """Start the store and write the first configuration."""
        self.store = StoreStandin(self.clock)
        self.store.listen(f"127.{self.network}.0.1", 8309)
        for key, value in ODD_ROWS_BY_KEY.items():
            self.store.put("bamboocove-hosts", key, value)
            self.store.put("op", f"rollout/{key}", value)
        self.change_config()

    def start_host(self, service: str, version: str = "v1") -> Host:
        """Start a host with one worker of a service."""
        number = len(self.hosts_by_id) + 1
        host_id = f"host-{number}"
        zone = ZONES[number % len(ZONES)]
        ip = f"127.{self.network}.{number}.1"
        proxy_ip = f"127.{self.network}.{number}.2"
        node = NodeProcess(
            host_id, self.folder, self.clock, self.journal.unexpected_exits.append
        )
        node.write_settings(
            SETTINGS_TEMPLATE.format(
                host_id=host_id,
                zone=zone,
                ip=ip,
                service=service,
                worker=f"{proxy_ip}:8301",
                advertised=f"{proxy_ip}:8300",
                store=f"{proxy_ip}:8309",
            )
        )
        host = Host(
            host_id,
            zone,
            service,
            ip,
            proxy_ip,
            node,
            self._make_worker(service, version, zone, ip, proxy_ip),
            FaultProxy((proxy_ip, 8300), (ip, 8300), self.clock),
            FaultProxy((proxy_ip, 8309), self.store.address, self.clock),
            FaultProxy((proxy_ip, 8301), (ip, 8301), self.clock),
        )
        self.hosts_by_id[host_id] = host
        host.worker.start()
        node.start()
        return host

    def _make_worker(
        self, service: str, version: str, zone: str, ip: str, proxy_ip: str
    ) -> WorkerStandin:
        self._worker_count += 1
        worker = WorkerStandin(
            f"w-{self._worker_count}",
            service,
            version,
            zone,
            (ip, 8301),
            (proxy_ip, 8301),
            (ip, 8306),
            self.clock,
            self.random,
            self._on_arrival,
            born_ms=self._worker_count,
        )
        # Workers of the same service differ in speed.
        worker.work_s *= self.random.choice((0.7, 1.0, 1.6))
        return worker

    def _on_arrival(self, arrival: Arrival) -> None:
        self.journal.arrivals.append(arrival)

    def replace_worker(self, host: Host, version: str, wait_s: float = 0.0) -> None:
        """Stop the worker of a host at once; start another one after ``wait_s``."""
        _stop_worker(host)
        host.worker = self._make_worker(
            host.service, version, host.zone, host.ip, host.proxy_ip
        )
        host.worker_start = self.clock.callLater(wait_s, host.worker.start)

    async def drain_worker(self, host: Host) -> None:
        """Drain the worker of a host, then replace it by another one."""
        worker = host.worker
        worker.drain()
        await deferLater(self.clock, DRAIN_S / 2)
        if worker.acknowledged_at:
            drain = AcknowledgedDrain(worker.worker_id, worker.acknowledged_at)
            self.journal.drains.append(drain)
        await deferLater(self.clock, DRAIN_S)
        worker.sign_off()
        await deferLater(self.clock, WORKER_RESTART_DELAY_S / 2)
        if host.worker is worker:
            self.replace_worker(host, worker.version, WORKER_RESTART_DELAY_S)

    async def sign_off_worker(self, host: Host, delay_s: float) -> None:
        """Sign the worker of a host off while its node starts again, then replace it.

        The last report that it sent before arrives late.
        """
        worker = host.worker
        report = worker.make_report()
        await deferLater(self.clock, delay_s)
        give_up_at = self.clock.seconds() + SIGN_OFF_S
        while host.worker is worker and not worker.acknowledged_at:
            if self.clock.seconds() >= give_up_at:
                break
            await worker.leave()
            await deferLater(self.clock, SIGN_OFF_INTERVAL_S)
        await deferLater(self.clock, LATE_REPORT_S)
        if host.worker is not worker:
            return
        worker.send_report(report)
        await deferLater(self.clock, DRAIN_S)
        if worker.acknowledged_at:
            drain = AcknowledgedDrain(worker.worker_id, worker.acknowledged_at)
            self.journal.drains.append(drain)
        if host.worker is worker:
            self.replace_worker(host, worker.version, WORKER_RESTART_DELAY_S)

    def end_limit(self, host: Host, worker: WorkerStandin) -> None:
        """Have a worker name its rate limit no longer, and record the limit."""
        if worker.limit_named_at:
            limit = NamedLimit(
                worker.worker_id,
                host.host_id,
                worker.limit_per_s,
                worker.limit_named_at,
                self.clock.seconds(),
            )
            self.journal.limits.append(limit)
        worker.limit_per_s = worker.limit_named_at = 0.0

    def change_config(self) -> None:
        """Write a configuration that adds a probe route and removes the oldest one."""
        self.config_version += self.random.randint(1, 4)
        self.newest_route += 1
        self._routes.append(self.newest_route)
        removed = self._routes.pop(0) if len(self._routes) > MAX_PROBE_ROUTES else 0
        route = {"hostname": ROUTE_HOSTNAME, "targetLatencyS": 0.3}
        route["timeoutS"] = ROUTE_TIMEOUT_S
        read = {**route, "kind": "safe", "attempts": 2, "priority": 1}
        pay = {**route, "kind": "unsafe", "attempts": 2, "priority": 0}
        split = [
            {"service": "orders", "weight": 3},
            {"service": "rounds", "weight": 1},
        ]
        routes = {
            **{s: {**read, "prefix": f"/{s}/", "service": s} for s in SERVICES},
            **{
                f"pay-{s}": {**pay, "prefix": f"/{s}/pay/", "service": s}
                for s in SERVICES
            },
            "long": {
                **read,
                "prefix": "/long/",
                "service": SERVICES[-1],
                "timeoutS": LONG_TIMEOUT_S,
            },
            "split": {**read, "prefix": "/split/", "trafficSplit": split},
            **{
                f"added-{n}": {**read, "prefix": f"/added-{n}/", "service": "orders"}
                for n in self._routes
            },
        }
        services = {
            name: {"healthPath": "/healthz", "maxConnections": 120} for name in SERVICES
        }
        document = {
            "version": self.config_version,
            "routes": routes,
            "services": services,
            "limits": {"idleTimeoutS": 60},
        }
        self._put_operator_row("config", document)
        change = ConfigChange(self.newest_route, removed, self.clock.seconds())
        self.journal.changes.append(change)

    def request_rollout(self, service: str, version: str, duration_s: float) -> None:
        """Write a rollout order for a service to the store."""
        order = {"service": service, "to": version, "durationS": duration_s}
        self._put_operator_row(f"rollout/{service}", order)

    def _put_operator_row(self, key: str, document: dict[str, Any]) -> None:
        self._operator_rows[key] = json.dumps(document).encode()
        self.store.put("op", key, self._operator_rows[key])

    def restore_store(self, seconds: float) -> None:
        """Restore the store from a copy; the operator soon writes lost rows again."""
        self.store.restore(seconds)
        self.clock.callLater(OPERATOR_DELAY_S, self._write_lost_rows)

    def _write_lost_rows(self) -> None:
        for key, value in self._operator_rows.items():
            if self.store.get("op", key) != value:
                self.store.put("op", key, value)

    def get_rollout_state(self, service: str) -> str:
        """Return the reported state of the rollout of a service, or an empty string."""
        value = self.store.get("status", f"rollout/{service}")
        return json.loads(value)["state"] if value else ""

    def record_disruption(
        self, kind: str, subject: str, duration_s: float, is_planned: bool = False
    ) -> None:
        """Record a fault or a planned operation that begins now."""
        now = self.clock.seconds()
        disruption = Disruption(kind, subject, now, now + duration_s, is_planned)
        self.journal.disruptions.append(disruption)

    def kill_nodes(self) -> None:
        """Kill all node processes and do not restart them."""
        for host in self.hosts_by_id.values():
            host.node.is_enabled = False
            host.node.send_signal(signal.SIGCONT)
            host.node.send_signal(signal.SIGKILL)

    async def stop(self) -> None:
        """Stop everything, and wait until all node processes have exited."""
        self.kill_nodes()
        for host in self.hosts_by_id.values():
            _stop_worker(host)
            for proxy in host.proxies:
                proxy.close()
        self.store.close()
        while any(host.node.is_alive for host in self.hosts_by_id.values()):
            await deferLater(self.clock, 0.05)


def _stop_worker(host: Host) -> None:
    """Stop the worker of a host, or cancel its start if that is still to come."""
    if host.worker_start is not None and host.worker_start.active():
        host.worker_start.cancel()
    else:
        host.worker.stop()
