"""Requests that crash the worker that runs them, and those that run beside them."""

import pytest

from bamboocove.coordination.retry_limits import CrashTable
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, pay={"orders": 1}))
    yield mesh
    mesh.close()


def make_hosts(mesh, callers, workers):
    hosts = [mesh.add("front") for _ in range(callers)]
    hosts += [mesh.add("orders") for _ in range(workers)]
    mesh.settle()
    return hosts[:callers], hosts[callers:]


def knows_crash(caller, crashes):
    suspects = caller.node.outbound.crashes._suspects_by_fingerprint.values()
    return any(suspect.crashes >= crashes for suspect in suspects)


def test_one_crash_counts_once_for_equal_requests_in_flight(mesh):
    """Guards against a route that is closed because one worker has crashed."""
    callers, targets = make_hosts(mesh, 2, 2)
    for host in targets:
        host.request_handler = lambda exchange: None
    open_calls = [
        caller.open(format_call("/pay/1", "POST", b"7", 2000, f"{i}-{n}"))
        for i, caller in enumerate(callers)
        for n in range(3)
    ]
    run_reactor_until(lambda: sum(len(h.requests) for h in targets) == 6)
    crashed = max(targets, key=lambda host: len(host.requests))
    crashed.worker.crash(crashed.requests[0])
    for exchange in crashed.requests[1:]:
        exchange.abort()
    for host in targets:
        host.request_handler = None
        if host is not crashed:
            for exchange in host.requests:
                host.respond(exchange)
    assert {read_response(call)[0] for call in open_calls} <= {200, 502}
    for caller in callers:
        run_reactor_until(lambda: knows_crash(caller, 1))
        assert caller.call("/pay/1", "POST", b"7")[0] == 200


def test_reports_of_one_crash_from_two_hosts_count_once():
    crashes = CrashTable()
    assert crashes.record("x", "h1", 0.0) == crashes.record("x", "h1", 0.3) == 1
    assert not crashes.is_blocked("x", 0.4)
    assert crashes.record("x", "h2", 0.4) == 2
