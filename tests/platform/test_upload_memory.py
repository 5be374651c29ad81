"""Resident memory of a node process whose callers upload much at once."""

import json

import pytest
from twisted.internet import reactor

from bamboocove.coordination.byte_budget import (
    BASE_MEMORY_BYTES,
    COPIES,
    MIN_BUDGET_BYTES,
)
from bamboocove.protocol.mesh_messages import MAX_FORWARDED_BODY_BYTES
from soak.cluster import ROUTE_HOSTNAME
from tests.callpath import Caller, run_reactor_until
from tests.clusters import is_serving, run_cluster

UPLOADS = 40
SECONDS = 3.0
PIECE = bytes(64 * 1024)
# The settings of the soak name no memory, so the least budget applies.
MAX_RESIDENT_BYTES = BASE_MEMORY_BYTES + COPIES * MIN_BUDGET_BYTES


def put_config(store):
    route = {
        "hostname": ROUTE_HOSTNAME,
        "prefix": "/pay/",
        "kind": "unsafe",
        "timeoutS": 4.0,
        "targetLatencyS": 2.0,
        "service": "orders",
    }
    config = {
        "version": 1000,
        "routes": {"pay": route},
        "services": {"orders": {"healthPath": "/healthz", "maxConnections": 120}},
    }
    store.put("op", "config", json.dumps(config).encode())


@pytest.fixture
def hosts(tmp_path):
    with run_cluster(tmp_path) as cluster:
        put_config(cluster.store)
        hosts = [cluster.start_host(service) for service in ("front", "orders")]
        hosts[1].worker.work_s = 0.3
        run_reactor_until(lambda: all(is_serving(host) for host in hosts), 20)
        yield hosts


def upload(host, number):
    """Start an upload; return a function that sends what the node takes."""
    caller = Caller(host.outbound_address[1], host.ip)
    caller.send(
        f"POST /pay/{number} HTTP/1.1\r\nHost: {ROUTE_HOSTNAME}\r\n"
        f"X-Attempt-Id: a{number}\r\nX-Deadline-Ms: 4000\r\n"
        f"Content-Length: {MAX_FORWARDED_BODY_BYTES}\r\n\r\n".encode()
    )
    left = MAX_FORWARDED_BODY_BYTES

    def send():
        nonlocal left
        try:
            while left:
                left -= caller.socket.send(PIECE[:left])
        except BlockingIOError:
            pass
        except ConnectionError:
            left = 0

    return send


def test_process_with_many_uploads_stays_within_its_memory(hosts):
    """Guards against nodes that are ended for the memory of bodies within the limit."""
    sends = [upload(hosts[0], number) for number in range(UPLOADS)]
    end_at = reactor.seconds() + SECONDS

    def send_all():
        for send in sends:
            send()
        return reactor.seconds() > end_at

    run_reactor_until(send_all, 2 * SECONDS + 5)
    for host in hosts:
        host.node.record_peak_memory()
        assert host.node.is_alive
        assert host.node.peak_kib * 1024 < MAX_RESIDENT_BYTES
