"""Quotas of accounts over a few nodes of two zones, from the caller to the worker."""

import time

import pytest
from attrs import evolve

from bamboocove.coordination.accounts import digest_key
from bamboocove.state.mesh import ClientAccount
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import (
    HostMesh,
    format_call,
    make_config,
    read_response,
    stop_at_once,
)

KEY = b"\r\nX-Key: key-n\r\n\r\n"


def make_quota_config(version, rate_per_s, burst):
    account = ClientAccount("north", (digest_key(b"key-n"),), None, rate_per_s, burst)
    return evolve(make_config(version), accounts_by_name={"north": account})


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.regions_by_zone = {"z": "r", "y": "r"}
    mesh.store.put_config(make_quota_config(2, 10.0, 10.0))
    for zone in ("z", "z", "y", "y"):
        mesh.add("orders", zone=zone)
    mesh.settle()
    run_reactor_until(lambda: count_granters(mesh) == 2, 5.0)
    run_reactor_until(lambda: all(knows_granters(host) for host in mesh.hosts), 3.0)
    yield mesh
    mesh.close()


def count_granters(mesh):
    return sum(host.node.quotas.is_granter for host in mesh.hosts)


def knows_granters(host):
    return len(host.node.quotas._client.granters_by_zone) == 2


def call(host, path="/read/1"):
    caller = host.open(format_call(path).replace(b"\r\n\r\n", KEY))
    status, headers, _ = read_response(caller)
    caller.close()
    return status, headers


def test_account_over_its_quota_gets_429_and_the_time_until_a_token(mesh):
    """Guards against requests beyond the quota, whichever nodes they arrive at."""
    answers = [call(mesh.hosts[number % 4]) for number in range(60)]
    ran = sum(status == 200 for status, _ in answers)
    refused = [headers for status, headers in answers if status == 429]
    assert ran + len(refused) == 60
    assert 1 <= ran <= 31
    assert all(0.0 < float(headers["retry-after"]) <= 0.3 for headers in refused)
    assert sum(len(host.requests) for host in mesh.hosts) == ran
    # Within the quota again.
    wait_until_full(mesh, 3.0)
    assert call(mesh.hosts[2])[0] == 200


def wait_until_full(mesh, tokens):
    """Wait until the granters hold some tokens."""
    buckets = [
        host.node.quotas._granter.buckets
        for host in mesh.hosts
        if host.node.quotas.is_granter
    ]

    def is_full():
        now = mesh.hosts[0].node.quotas._read_time()
        found = [b.buckets_by_account["north"] for b in buckets]
        for bucket in found:
            bucket.refill(now)
        return sum(bucket.tokens for bucket in found) >= tokens

    run_reactor_until(is_full, 5.0)


def test_request_that_no_worker_ran_returns_its_token(mesh):
    """Guards against a quota that refusals for another reason use up."""
    wait_until_full(mesh, 9.0)
    host = mesh.hosts[0]
    # The node begins to stop while the request waits for its token.
    may_take = iter([True])
    host.node.outbound.router.may_take = lambda *args: next(may_take, False)
    assert call(host)[0] == 503
    stock = host.node.quotas._client.stock
    assert len(stock._stocks_by_account["north"].expiries) == 1


def test_zone_whose_granter_has_gone_gets_tokens_of_the_other(mesh):
    """Guards against a zone that refuses everything until its lease ends."""
    wait_until_full(mesh, 9.0)
    gone = next(h for h in mesh.hosts[:2] if h.node.quotas.is_granter)
    left = next(h for h in mesh.hosts[:2] if h is not gone)
    mesh.hosts.remove(gone)
    gone.worker.close()
    stop_at_once(gone.node)
    assert call(left)[0] == 200


def test_granter_that_stops_gives_its_lease_back(mesh):
    """Guards against a zone that waits for the lease of a host that was replaced."""
    gone = next(h for h in mesh.hosts[:2] if h.node.quotas.is_granter)
    left = next(h for h in mesh.hosts[:2] if h is not gone)
    gone.node.drain()
    stopped_at = time.monotonic()
    run_reactor_until(lambda: left.node.quotas.is_granter, 5.0)
    assert time.monotonic() - stopped_at < 3.5
    run_reactor_until(lambda: gone.node.finished.called, 10.0)
    mesh.hosts.remove(gone)
    gone.worker.close()


def test_nothing_is_done_while_no_account_has_a_limit():
    """Guards against store calls and messages in deployments without quotas."""
    mesh = HostMesh()
    mesh.store.put_config(make_quota_config(2, 0.0, 0.0))
    mesh.add("front")
    mesh.add("orders")
    mesh.settle()
    assert [call(mesh.hosts[0])[0] for _ in range(5)] == [200] * 5
    run_reactor_until(lambda: mesh.store.calls > 8, 5.0)
    assert not mesh.store.quota_leases
    assert count_granters(mesh) == 0
    mesh.close()


def test_granters_work_again_soon_after_all_hosts_have_started(mesh):
    """Guards against leases of ended processes that are waited for: a power cut."""
    for host in mesh.hosts:
        stop_at_once(host.node)
    for host in mesh.hosts:
        host.start(incarnation=2000)
        assert host.report() == 200
    started_at = time.monotonic()
    run_reactor_until(lambda: count_granters(mesh) == 2, 5.0)
    assert time.monotonic() - started_at < 2.2
    run_reactor_until(lambda: call(mesh.hosts[0])[0] == 200, 3.0)
