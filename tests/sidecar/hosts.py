"""Test mesh in one process: sidecar nodes, their workers and an in-memory store."""

import itertools
import json
import os
import random
import socket

from twisted.internet import reactor
from twisted.internet.task import deferLater

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.documents import decode_worker
from bamboocove.platform.headers import DIALECT
from bamboocove.sidecar.application import SidecarApplication
from bamboocove.sidecar.settings import Bounds, HostSettings
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.state.evacuation import EvacuationChange
from bamboocove.state.mesh import (
    HostRoute,
    MeshConfig,
    MeshService,
    MoveOrder,
    ServiceShare,
)
from bamboocove.state.quotas import StoredQuotaLease
from bamboocove.transport.monotonic_clock import read_boot_time
from tests.callpath import Caller, Worker, run, run_reactor_until

POLL_S = 0.02
WATCH_S = 2.0
TIMEOUT_S = 0.8
UNAVAILABLE = ErrorResult(ErrorKind.STORE_UNAVAILABLE, "down")


class MemoryStore:
    """In-memory store of the platform that can be made unavailable by ``is_down``.

    While ``is_silent``, reads and watches of the operator's rows end by their time-out.
    """

    era = 0

    def __init__(self):
        self.config = None
        self.orders = {}
        self.evacuated_zones = set()
        self.revision = 0
        self.hosts = {}
        self.rules = {}
        self.quota_leases = {}
        self.is_down = False
        self.is_silent = False
        self.watch_s = WATCH_S
        self.calls = 0
        self.pending_watches = 0

    def learn_era(self, era):
        self.era = max(self.era, era)

    def put_config(self, config):
        self.revision += 1
        self.config = config

    def put_order(self, service, to_version, duration_s):
        self.revision += 1
        self.orders[service] = MoveOrder(service, to_version, duration_s, self.revision)

    def put_evacuations(self, *zones):
        self.revision += 1
        self.evacuated_zones = set(zones)

    async def read_operator(self):
        return await self._answer_operator(read_boot_time())

    async def _answer_operator(self, asked_at):
        self.calls += 1
        if self.is_silent:
            await deferLater(reactor, TIMEOUT_S)
            return UNAVAILABLE
        if self.is_down:
            return UNAVAILABLE
        orders = tuple(self.orders.values())
        zones = tuple(EvacuationChange(z, True) for z in sorted(self.evacuated_zones))
        return OperatorUpdate(
            self.config,
            orders,
            self.revision,
            True,
            self.era,
            store_time_s=reactor.seconds(),
            asked_at=asked_at,
            evacuations=zones,
        )

    async def watch_operator(self, revision, must_wait=True, on_progress=None):
        # Like the platform's store, answers after a time even without a change.
        asked_at = read_boot_time()
        end = reactor.seconds() + (self.watch_s if must_wait else 0.0)
        self.pending_watches += 1
        while (
            self.revision <= revision and not self.is_down and reactor.seconds() < end
        ):
            await deferLater(reactor, POLL_S)
        self.pending_watches -= 1
        return await self._answer_operator(asked_at)

    async def read_hosts(self):
        self.calls += 1
        return UNAVAILABLE if self.is_down else list(self.hosts.values())

    async def write_host(self, record):
        self.calls += 1
        if self.is_down:
            return UNAVAILABLE
        self.hosts[record.host_id] = record
        return 1

    async def create_host(self, record):
        if record.host_id in self.hosts:
            self.calls += 1
            return UNAVAILABLE if self.is_down else self.hosts[record.host_id]
        result = await self.write_host(record)
        return result if isinstance(result, ErrorResult) else None

    async def remove_host(self, record):
        if self.hosts.get(record.host_id) != record:
            return False
        del self.hosts[record.host_id]
        return True

    async def read_rules(self):
        self.calls += 1
        return UNAVAILABLE if self.is_down else list(self.rules.values())

    async def write_rule(self, rule):
        self.calls += 1
        if self.is_down:
            return UNAVAILABLE
        stored = self.rules.get(rule.service)
        if stored is not None and stored.age_key >= rule.age_key:
            return stored
        self.rules[rule.service] = rule
        return rule

    async def read_quota_lease(self, zone):
        self.calls += 1
        if self.is_down:
            return UNAVAILABLE
        return self.quota_leases.get(zone, StoredQuotaLease(None, 0))

    async def write_quota_lease(self, zone, row, version):
        stored = await self.read_quota_lease(zone)
        if isinstance(stored, ErrorResult) or stored.version != version:
            return stored
        self.quota_leases[zone] = StoredQuotaLease(row, version + 1)
        return StoredQuotaLease(row, version + 1, is_written=True)


def make_config(version=1, *, attempts=2, timeout_s=1.0, **routes):
    """Return a configuration.

    Parameters
    ----------
    version, attempts, timeout_s
        Version of the configuration; attempts and time-out of each route.
    **routes : dict of str to float
        Weights by service for each route; the name of the route is its path prefix.
        Only the route ``pay`` is not idempotent.
    """
    routes = routes or {"read": {"orders": 1}}
    services = {name for weights in routes.values() for name in weights}
    by_name = {
        name: HostRoute(
            name,
            "h.example",
            f"/{name}/",
            tuple(ServiceShare(s, w) for s, w in weights.items()),
            name != "pay",
            timeout_s,
            0.3,
            attempts,
            1,
        )
        for name, weights in routes.items()
    }
    return MeshConfig(
        version, by_name, {s: MeshService(s, "/healthz", 100) for s in services}
    )


# Below the ephemeral port range: another connection once took a port of that range
# between its choice and its use.
_ports = itertools.count(20000 + os.getpid() % 500 * 20)


def get_free_port():
    for port in _ports:
        with socket.socket() as listener:
            try:
                listener.bind(("127.0.0.1", 20000 + port % 12000))
            except OSError:
                continue
            return listener.getsockname()[1]


class Host:
    """One host with its node and its worker.

    Requests that reach the worker are appended to ``requests`` and answered by
    ``request_handler`` if it is set, otherwise with status 200.
    """

    def __init__(self, mesh, host_id, service, version, zone):
        self.mesh = mesh
        self.host_id = host_id
        self.service = service
        self.version = version
        self.worker = Worker()
        self.worker.answer = self.answer
        self.sequence = 0
        self.born_ms = 1000 + len(mesh.hosts)
        self.worker_id = f"i-{host_id}"
        self.requests = []
        self.request_handler = None
        self.health_checks = 0
        self.health_fields = []
        port = self.worker.port
        addresses = [("127.0.0.1", get_free_port()) for _ in range(4)]
        self.settings = HostSettings(
            host_id,
            zone,
            "127.0.0.1",
            service,
            ("127.0.0.1", port),
            *addresses,
            ("127.0.0.1", 1),
            bounds=mesh.bounds,
            link_bytes_per_s=mesh.link_bytes_per_s,
            is_first_start=mesh.is_first_start,
            regions_by_zone=mesh.regions_by_zone,
        )
        self.node = None
        self.start()

    def start(self, incarnation=1000):
        self.node = SidecarApplication(
            self.settings,
            DIALECT,
            self.mesh.store,
            lambda worker_id, data: decode_worker(
                worker_id, data, self.settings.worker_address
            ),
            reactor,
            random.Random(self.host_id),
            incarnation,
            metrics_port=0,
        )
        assert run(self.node.start()) is None

    def answer(self, exchange):
        headers = dict(exchange.headers)
        if exchange.target == b"/healthz":
            self.health_checks += 1
            identity = (b"x-instance-id", self.worker_id.encode())
            exchange.respond(200, [identity, *self.health_fields])
            return
        if headers[b"x-expected-instance"] != self.worker_id.encode():
            exchange.respond(421, [(b"x-instance-id", self.worker_id.encode())])
            return
        self.requests.append(exchange)
        if self.request_handler is not None:
            self.request_handler(exchange)
            return
        self.respond(exchange)

    def respond(self, exchange, status=200, *more):
        attempt = dict(exchange.headers).get(b"x-attempt-id", b"")
        body = []
        headers = [
            (b"x-attempt-id", attempt),
            (b"x-host", self.host_id.encode()),
            (b"x-response-signature", b"s-" + attempt),
        ]
        exchange.receive(
            body.append,
            lambda: exchange.respond(status, [*headers, *more], b"".join(body)),
        )

    def respond_not_executed(self, exchange):
        self.respond(exchange, 503, (b"x-not-executed", b"1"))

    def report(self, state="ready", cold_s=0.0):
        """Send a report of the worker to the node; return the status code."""
        self.sequence += 1
        body = json.dumps(
            {
                "address": f"127.0.0.1:{self.worker.port}",
                "info": {
                    "service": self.service,
                    "version": self.version,
                    "zone": "z",
                    "slots": 4,
                },
                "status": {
                    "state": state,
                    "sequence": self.sequence,
                    "coldRemainingS": cold_s,
                },
                "born": self.born_ms,
            }
        ).encode()
        return self.send_report(b"PUT", body)

    def send_report(self, method, body=b""):
        caller = Caller(self.settings.heartbeat_address[1])
        path = f"/api/instances/{self.worker_id}".encode()
        caller.send(
            b"%b %b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
            % (method, path, len(body), body)
        )
        data = caller.read_until(lambda data: b"\r\n\r\n" in data)
        caller.close()
        return int(data.split()[1])

    def open(self, data):
        caller = Caller(self.settings.caller_address[1])
        caller.send(data)
        return caller

    def call(self, path="/read/1", method="GET", body=b"", left_ms=900, attempt="a1"):
        """Send a request from this host; return the status, header fields and body."""
        caller = self.open(format_call(path, method, body, left_ms, attempt))
        result = read_response(caller)
        caller.close()
        return result

    def is_ready(self):
        caller = Caller(self.settings.readiness_address[1])
        caller.send(b"GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n")
        data = caller.read_until(lambda data: b"\r\n\r\n" in data)
        caller.close()
        return data.split()[1] == b"200"


def format_call(path, method="GET", body=b"", left_ms=900, attempt="a1"):
    return (
        f"{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\n"
        f"X-Deadline-Ms: {left_ms}\r\nX-Caller-Service: forged\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    ).encode() + body


def read_response(caller):
    def is_complete(data):
        head, separator, body = data.partition(b"\r\n\r\n")
        if not separator:
            return False
        return len(body) >= int(parse_head(head)[1].get("content-length", 0))

    data = caller.read_until(is_complete)
    head, _, body = data.partition(b"\r\n\r\n")
    if not head:
        return 0, {}, b""
    return (*parse_head(head), body)


def parse_head(head):
    lines = head.decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:])
    return int(lines[0].split()[1]), fields


class HostMesh:
    """Several hosts that share one store."""

    is_first_start = False
    bounds = Bounds()
    link_bytes_per_s = 0
    regions_by_zone = {}

    def __init__(self):
        self.store = MemoryStore()
        self.store.put_config(make_config())
        self.hosts = []

    def add(self, service="orders", version="v1", zone="z", is_reported=True):
        host = Host(self, f"h{len(self.hosts)}", service, version, zone)
        self.hosts.append(host)
        if is_reported:
            assert host.report() == 200
        return host

    def settle(self):
        """Wait until all nodes serve, are linked and have the current host records."""

        def is_settled():
            serving = [h for h in self.hosts if h.node.hooks.state == "serving"]
            return len(serving) == len(self.hosts) and all(
                host.node.fleet.records_by_id.get(other.host_id)
                == other.node.hosts.get_record()
                and host.node.fleet.is_reachable(other.host_id)
                and (other is host or host.node.hub.peers_by_id[other.host_id].is_open)
                for host in serving
                for other in serving
            )

        run_reactor_until(is_settled)

    def get_versions(self):
        return [host.node.config.version for host in self.hosts]

    def close(self):
        for host in self.hosts:
            host.worker.close()
            stop_at_once(host.node)


def stop_at_once(node):
    """Stop a node abruptly, as a kill does, without a graceful shutdown."""
    node.watch._is_running = False
    if node._ticker.running:
        node._ticker.stop()
    for port in node._ports:
        port.stopListening()
    for server in node.servers:
        for connection in list(server.connections):
            connection.abort()
    run(node.hub.stop())
    node.inbound.close()


def knows_crashes(host, count):
    """Return whether a node knows a request that crashed at least so many workers."""
    suspects = host.node.suspects.crashes._suspects_by_fingerprint.values()
    return any(suspect.crashes >= count for suspect in suspects)
