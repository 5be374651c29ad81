"""Requests at hosts that fall silent for a moment while their workers are at work."""

import pytest
from twisted.internet import reactor

from bamboocove.coordination.drain_window import DrainWindow
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config(read={"orders": 1}, pay={"orders": 1}))
    yield mesh
    mesh.close()


def make_hosts(mesh):
    """Return a calling host and two that run requests, which wait at the workers."""
    hosts = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    for host in hosts[1:]:
        host.request_handler = lambda exchange: None
    return hosts


def start_request(caller, targets, path="/read/1", method="GET"):
    """Start a request; return its connection, the host that has it and the other."""
    connection = caller.open(format_call(path, method, left_ms=900))
    run_reactor_until(lambda: any(host.requests for host in targets))
    silent, other = sorted(targets, key=lambda host: not host.requests)
    return connection, silent, other


def suspect(caller, host):
    caller.node.outbound.on_host_suspect(host.host_id, reactor.seconds())


def test_running_request_is_awaited_if_no_other_worker_takes_it(mesh):
    """Guards against a run that is given up because its host was slow to report.

    After SIGTERM such a request ended with 502 while its worker was at work on it.
    """
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets)
    other.node.inbound.is_draining = True
    suspect(caller, silent)
    suspect(caller, silent)
    run_reactor_until(lambda: not caller.node.outbound._attempts.find(other.host_id))
    assert not silent.worker.closed
    silent.respond(silent.requests[0])
    assert read_response(connection)[0] == 200
    assert (len(silent.requests), len(other.requests)) == (1, 0)


def test_first_answer_of_two_hosts_counts(mesh):
    """Guards against a caller that waits for a silent host, or gets two answers."""
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets)
    suspect(caller, silent)
    run_reactor_until(lambda: other.requests)
    other.respond(other.requests[0])
    status, fields, _ = read_response(connection)
    assert (status, fields["x-host"]) == (200, other.host_id)
    run_reactor_until(lambda: silent.worker.closed, 1)
    assert not caller.node.outbound._attempts._attempts_by_stream


def test_answer_of_the_silent_host_cancels_the_second_run(mesh):
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets)
    suspect(caller, silent)
    run_reactor_until(lambda: other.requests)
    silent.respond(silent.requests[0])
    status, fields, _ = read_response(connection)
    assert (status, fields["x-host"]) == (200, silent.host_id)
    run_reactor_until(lambda: other.worker.closed, 1)
    assert not caller.node.outbound._attempts._attempts_by_stream


def test_request_fails_once_both_hosts_are_lost(mesh):
    """Guards against a request that waits for nothing until its deadline."""
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets)
    suspect(caller, silent)
    run_reactor_until(lambda: other.requests)
    for host in (silent, other):
        caller.node._on_down(host.host_id)
    assert read_response(connection)[0] == 502


def test_caller_that_leaves_cancels_both_runs(mesh):
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets)
    suspect(caller, silent)
    run_reactor_until(lambda: other.requests)
    connection.close()
    run_reactor_until(lambda: silent.worker.closed and other.worker.closed, 1)


def test_request_that_must_not_run_twice_stays_at_the_silent_host(mesh):
    """Guards against a payment that is started again elsewhere."""
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets, "/pay/1", "POST")
    for _ in range(3):
        suspect(caller, silent)
    silent.respond(silent.requests[0])
    assert read_response(connection)[0] == 200
    assert (len(silent.requests), len(other.requests)) == (1, 0)


def test_request_ends_at_its_deadline_beside_a_silent_host(mesh):
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets)
    other.node.inbound.is_draining = True
    suspect(caller, silent)
    assert read_response(connection)[0] == 504
    assert not caller.node.outbound._attempts._attempts_by_stream


def test_running_request_is_awaited_late_in_a_planned_stop(mesh):
    """Guards against 502 for a request at whose silent host the worker is at work."""
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_request(caller, targets)
    now = reactor.seconds()
    caller.node.outbound.router.drain_window = DrainWindow(now, now)
    suspect(caller, silent)
    silent.respond(silent.requests[0])
    assert read_response(connection)[0] == 200
    assert (len(silent.requests), len(other.requests)) == (1, 0)
