"""Memory of a node process whose worker sends large answers or never stops sending."""

import json
import time

import pytest
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from bamboocove.sidecar.inbound import CONNECT_TIMEOUT_S
from soak.cluster import ROUTE_HOSTNAME, SETTINGS_TEMPLATE
from tests.callpath import Caller, run_reactor_until
from tests.clusters import describe_responses, is_serving, run_cluster
from tests.sidecar.hosts import format_call, parse_head, read_response

MEMORY_MB = 150
TIMEOUT_S = 6.0
# Slots of the worker for the small requests.
SPARE_SLOTS = 4
PIECE_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
PIECE = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, PIECE)
# Sizes of all answers together, if they have a size.
TOTAL_BYTES = 78_000_000

# Framing fields of the answer, and the piece that is sent.
ANSWERS_BY_NAME = {
    "chunks": (b"Transfer-Encoding: chunked\r\n", CHUNK),
    "no length": (b"", PIECE),
    "length": (b"Content-Length: %d\r\nConnection: close\r\n", PIECE),
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
    }
    config = {
        "version": 1000,
        "routes": {
            "pay": {**route, "prefix": "/pay/", "kind": "unsafe"},
            "list": {**route, "prefix": "/list/", "kind": "safe"},
        },
        "services": {"orders": {"healthPath": "/healthz", "maxConnections": 120}},
        "limits": {"idleTimeoutS": 60},
    }
    store.put("op", "config", json.dumps(config).encode())


@pytest.fixture
def cluster(tmp_path, monkeypatch):
    limits = f"[self.limits]\nmemoryMb = {MEMORY_MB}\n"
    monkeypatch.setattr("soak.cluster.SETTINGS_TEMPLATE", SETTINGS_TEMPLATE + limits)
    with run_cluster(tmp_path) as cluster:
        put_config(cluster.store)
        yield cluster


def open_call(host, path, method):
    caller = Caller(host.outbound_address[1], host.ip)
    data = format_call(path, method, b"", int(TIMEOUT_S * 1000), path)
    caller.send(data.replace(b"h.example", ROUTE_HOSTNAME.encode()))
    return caller


def start_host(cluster, name, count):
    """Start a host whose worker answers ``count`` requests of route ``pay`` at once.

    All of them have arrived before the first answer begins.
    """
    host = cluster.start_host("orders")
    worker = host.worker
    worker.slots = count + SPARE_SLOTS
    respond = worker._respond
    held = []

    def respond_by_target(exchange, arrival):
        if not arrival.target.startswith("/pay/"):
            respond(exchange, arrival)
            return
        worker.running -= 1
        held.append((exchange.connection.transport, arrival.attempt_id))
        if len(held) == count:
            framing, piece = ANSWERS_BY_NAME[name]
            size = None
            if b"%d" in framing:
                size = TOTAL_BYTES // count
                framing %= size
            for transport, attempt_id in held:
                Answer(transport, attempt_id, framing, piece, size)

    worker._respond = respond_by_target
    worker.report()
    run_reactor_until(lambda: is_serving(host), 20)
    return host, held


def call_small(host, number):
    caller = open_call(host, f"/list/{number}", "GET")
    status, _, _ = read_response(caller)
    caller.close()
    return status


def read_all(callers):
    """Read responses at the same time; return their status codes."""

    def read(caller):
        caller._read()
        head, separator, _ = caller.data[:MAX_HEAD_BYTES].partition(b"\r\n\r\n")
        if not separator:
            return 0
        status, fields = parse_head(head)
        size = len(head) + len(separator) + int(fields["content-length"])
        return status if len(caller.data) >= size else 0

    run_reactor_until(lambda: all([read(c) for c in callers]), 2 * TIMEOUT_S)
    return [read(caller) for caller in callers]


def wait_until_held(held, count, callers):
    """Wait until the worker has got the requests of all callers."""
    run_reactor_until(
        lambda: len(held) == count,
        describe=lambda: f"{len(held)} held, {describe_responses(callers)}",
    )


@pytest.mark.parametrize("count", [20, 60])
@pytest.mark.parametrize("name", ANSWERS_BY_NAME)
def test_answers_at_once_do_not_fill_the_memory(cluster, name, count):
    """Guards against a process that is ended because it holds too many answers.

    Each of them was within its limit; their sum was not, and all requests of other
    callers ended with the process.
    """
    host, held = start_host(cluster, name, count)
    assert call_small(host, 0) == 200
    callers = [open_call(host, f"/pay/{number}", "POST") for number in range(count)]
    wait_until_held(held, count, callers)
    # Requests of other callers are served meanwhile.
    assert [call_small(host, number) for number in range(1, 11)] == [200] * 10
    expected = {200} if name == "length" else {502, 504}
    assert set(read_all(callers)) <= expected
    for caller in callers:
        caller.close()
    host.node.record_peak_memory()
    assert host.node.is_alive and 0 < host.node.peak_kib * 1024 < MEMORY_MB * 1e6


def test_requests_at_once_reach_a_worker_that_is_held_up(cluster):
    """Guards against connections that the stand-ins drop while nothing accepts them.

    The process of the tests accepts none while it opens calls or gets no processor. A
    node that could not connect marked the worker as down and refused its requests.
    """
    count = 60
    host, held = start_host(cluster, "length", count)
    callers = [open_call(host, f"/pay/{number}", "POST") for number in range(count)]
    time.sleep(CONNECT_TIMEOUT_S + 0.2)
    wait_until_held(held, count, callers)
    for caller in callers:
        caller.close()
