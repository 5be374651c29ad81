"""Keys that are withdrawn while a node process does not run."""

import json
import signal

import pytest

from soak import cluster as soak_cluster
from soak.cluster import ROUTE_HOSTNAME
from tests.callpath import Caller, run_reactor_until
from tests.clusters import is_serving, run_cluster
from tests.platform.test_planned_stop import put_config, wait_s
from tests.sidecar.hosts import format_call, read_response
from tests.sidecar.test_key_revocation import KEY

REVOCATION_S = 2.0


@pytest.fixture
def cluster(tmp_path, monkeypatch):
    bounds = f"gracePeriodS = 6\nstrictRevoke = true\nrevokeS = {REVOCATION_S}"
    template = soak_cluster.SETTINGS_TEMPLATE
    template = template.replace("gracePeriodS = 6", bounds)
    monkeypatch.setattr(soak_cluster, "SETTINGS_TEMPLATE", template)
    with run_cluster(tmp_path) as cluster:
        yield cluster


def put_keys(store, version, *keys):
    config = json.loads(store.get("op", "config"))
    tenants = {"north": {"apiKeys": keys}}
    config = {**config, "version": version, "tenants": tenants}
    store.put("op", "config", json.dumps(config).encode())


def open_keyed_call(host):
    caller = Caller(host.outbound_address[1], host.ip)
    data = format_call("/read/1").replace(b"h.example", ROUTE_HOSTNAME.encode())
    caller.send(data.replace(b"\r\n\r\n", b"\r\n" + KEY + b"\r\n"))
    return caller


def test_process_that_was_frozen_accepts_no_withdrawn_key(cluster):
    """Guards against a request that a resumed process reads before its other news."""
    put_config(cluster.store)
    put_keys(cluster.store, 1001, "key-n")
    host = cluster.start_host("orders")
    run_reactor_until(lambda: is_serving(host), 20)
    assert read_response(open_keyed_call(host))[0] == 200
    host.node.send_signal(signal.SIGSTOP)
    put_keys(cluster.store, 1002, "key-s")
    wait_s(REVOCATION_S + 0.1)
    callers = [open_keyed_call(host) for _ in range(20)]
    host.node.send_signal(signal.SIGCONT)
    assert {read_response(caller)[0] for caller in callers} <= {401, 503}
