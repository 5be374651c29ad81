"""Requests that crash the worker that runs them, and those that run beside them."""

import pytest
from twisted.internet import reactor

from bamboocove.coordination.retry_limits import CRASHES_TO_BLOCK, CrashTable
from bamboocove.protocol.mesh_messages import CrashNotice, Forward
from bamboocove.sidecar.crash_reports import CrashReports
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


def test_request_that_crashes_workers_is_blocked_at_all_hosts(mesh):
    """Guards against a request that crashes a worker for each host it comes to."""
    callers, targets = make_hosts(mesh, 4, 5)
    for host in targets:
        host.request_handler = host.worker.crash
    for number, caller in enumerate(callers):
        assert caller.call("/pay/1", "POST", attempt=f"a{number}")[0] in (502, 503)
        crashes = min(number + 1, CRASHES_TO_BLOCK)
        run_reactor_until(lambda: all(knows_crash(c, crashes) for c in callers))
    assert sum(len(host.requests) for host in targets) == CRASHES_TO_BLOCK
    for host in targets:
        host.request_handler = None
    assert callers[0].call("/pay/2", "POST")[0] == 200


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


def make_forward(target=b"/pay/1", caller="front"):
    return Forward(
        1, "pay", "orders", "v1", 900, 300, 1, False, caller, b"POST", target, [], b""
    )


def test_request_that_the_worker_has_completed_is_not_suspect():
    """Guards against common requests that are blocked by crashes of any cause."""
    notices = []
    reports = CrashReports("h1", reactor, notices.append)
    reports.record_completed(make_forward())
    assert not reports.record_crash(make_forward())
    assert reports.record_crash(make_forward(b"/pay/2"))
    assert reports.record_crash(make_forward(b"/pay/2", "other"))
    run_reactor_until(lambda: notices)
    (notice,) = notices
    assert isinstance(notice, CrashNotice) and notice.host_id == "h1"
    assert {k: len(v) for k, v in notice.fingerprints_by_caller.items()} == {
        "front": 1,
        "other": 1,
    }
    reports.reset()
    assert reports.record_crash(make_forward())


def test_reports_of_one_crash_from_two_hosts_count_once():
    crashes = CrashTable()
    assert crashes.record("x", "h1", 0.0) == crashes.record("x", "h1", 0.3) == 1
    assert not crashes.is_blocked("x", 0.4)
    assert crashes.record("x", "h2", 0.4) == 2
