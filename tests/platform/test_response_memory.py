"""Memory of a node process whose worker sends large answers or never stops sending."""

import json
from random import Random

import pytest
from twisted.internet import reactor
from twisted.internet.interfaces import IPullProducer
from twisted.internet.process import reapAllProcesses
from twisted.internet.task import LoopingCall
from zope.interface import implementer

from soak.cluster import ROUTE_HOSTNAME, SETTINGS_TEMPLATE, Cluster
from soak.records import Journal
from tests.callpath import Caller, run, run_reactor_until
from tests.sidecar.hosts import format_call, read_response

NETWORK = 94
MEMORY_MB = 150
TIMEOUT_S = 6.0
# Slots of the worker for the small requests.
SPARE_SLOTS = 4
PIECE_BYTES = 64 * 1024
PIECE = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, PIECE)
LARGE_BYTES = 3_900_000

# Framing fields of the answer, the piece that is sent, and how often it is sent.
ANSWERS_BY_NAME = {
    "chunks": (b"Transfer-Encoding: chunked\r\n", CHUNK, None),
    "no length": (b"", PIECE, None),
}


@implementer(IPullProducer)
class Answer:
    """Writes an answer as fast as it is read, without end if it has no size."""

    def __init__(self, transport, attempt_id, framing, piece, left):
        self.transport = transport
        self.piece = piece
        self.left = left
        transport.write(
            b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s\r\n%b\r\n"
            % (attempt_id.encode(), framing)
        )
        transport.registerProducer(self, False)

    def resumeProducing(self):
        if self.left is None:
            self.transport.write(self.piece)
            return
        part = self.piece[: self.left]
        self.left -= len(part)
        self.transport.write(part)
        if not self.left:
            self.transport.unregisterProducer()
            self.transport.loseConnection()

    def stopProducing(self):
        pass


def put_config(store):
    route = {
        "hostname": ROUTE_HOSTNAME,
        "timeoutS": TIMEOUT_S,
        "targetLatencyS": 3.0,
        "attempts": 1,
        "priority": 1,
        "service": "orders",
        "kind": "unsafe",
    }
    config = {
        "version": 1000,
        "routes": {
            "pay": {**route, "prefix": "/pay/"},
            "list": {**route, "prefix": "/list/"},
        },
        "services": {"orders": {"healthPath": "/healthz", "maxConnections": 120}},
        "limits": {"idleTimeoutS": 60},
    }
    store.put("op", "config", json.dumps(config).encode())


@pytest.fixture
def cluster(tmp_path, monkeypatch):
    limits = f"[self.limits]\nmemoryMb = {MEMORY_MB}\n"
    monkeypatch.setattr("soak.cluster.SETTINGS_TEMPLATE", SETTINGS_TEMPLATE + limits)
    cluster = Cluster(NETWORK, tmp_path, Random(1), reactor, Journal(1))
    # The reactor of the tests installs no signal handlers, so no SIGCHLD arrives.
    reaper = LoopingCall(reapAllProcesses)
    reaper.start(0.05)
    cluster.start_store()
    put_config(cluster.store)
    yield cluster
    run(cluster.stop(), 10)
    reaper.stop()


def is_serving(host):
    log = host.node.log_path.read_text()
    return '"event":"worker.state"' in log and '"event":"node.serving"' in log


def open_call(host, path):
    caller = Caller(host.outbound_address[1], host.ip)
    data = format_call(path, "POST", b"", int(TIMEOUT_S * 1000), path)
    caller.send(data.replace(b"h.example", ROUTE_HOSTNAME.encode()))
    return caller


def start_host(cluster, slots, name):
    """Start a host whose worker answers requests of the route ``pay`` by ``name``."""
    host = cluster.start_host("orders")
    worker = host.worker
    worker.slots = slots
    respond = worker._respond

    def respond_by_target(exchange, arrival):
        if not arrival.target.startswith("/pay/"):
            respond(exchange, arrival)
            return
        worker.running -= 1
        if exchange.is_closed:
            return
        transport = exchange.connection.transport
        Answer(transport, arrival.attempt_id, *ANSWERS_BY_NAME[name])

    worker._respond = respond_by_target
    worker.report()
    run_reactor_until(lambda: is_serving(host), 20)
    return host


@pytest.mark.parametrize("count", [20, 60])
@pytest.mark.parametrize("name", ANSWERS_BY_NAME)
def test_answers_at_once_do_not_fill_the_memory(cluster, name, count):
    """Guards against a process that is ended because it holds too many answers.

    Each of them was within its limit; their sum was not, and all requests of other
    callers ended with the process.
    """
    host = start_host(cluster, count + SPARE_SLOTS, name)
    callers = [open_call(host, f"/pay/{number}") for number in range(count)]
    small = []
    for number in range(10):
        caller = open_call(host, f"/list/{number}")
        small.append(read_response(caller)[0])
        caller.close()
    statuses = [read_response(caller)[0] for caller in callers]
    for caller in callers:
        caller.close()
    assert set(statuses) <= {502, 504}
    assert small == [200] * 10
    host.node.record_peak_memory()
    assert host.node.is_alive and 0 < host.node.peak_kib * 1024 < MEMORY_MB * 1e6
