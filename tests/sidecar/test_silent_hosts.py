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


def start_waiting_request(caller, targets):
    """Start a request that waits in the queue of a host's worker.

    Returns its connection, that host and the other one, which is leaving.
    """
    silent, other = targets
    # Lets the queue take a request that has to wait.
    silent.node.inbound.queue.service_times.record("read", 0.02)
    silent.node.inbound.queue.slots = 0
    other.node.inbound.is_draining = True
    connection = caller.open(format_call("/read/1", "GET", left_ms=900))
    run_reactor_until(lambda: silent.node.inbound.queue.waiting)
    return connection, silent, other


def refuse_waiting(caller, silent):
    silent.node.inbound.refuse_waiting("the node is stopping")


def end_links(caller, silent):
    """Let the caller's host learn that the silent one stopped without reading more."""
    outbound = caller.node.outbound
    outbound.on_host_lost(silent.host_id, reactor.seconds(), has_replied=True)


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
        caller.node.link_events.on_down(host.host_id)
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


@pytest.mark.parametrize("refuse", [refuse_waiting, end_links])
def test_request_that_the_silent_host_has_not_run_is_refused(mesh, refuse):
    """Guards against 502 for a request that no worker has got.

    Its caller could not tell that it may be sent again.
    """
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_waiting_request(caller, targets)
    suspect(caller, silent)
    run_reactor_until(lambda: not caller.node.outbound._attempts.find(other.host_id))
    refuse(caller, silent)
    status, fields, _ = read_response(connection)
    assert status == 503 and float(fields["retry-after"]) > 0
    assert not silent.requests and not other.requests


@pytest.mark.parametrize("refuse", [refuse_waiting, end_links])
def test_request_that_the_silent_host_has_not_run_is_placed_elsewhere(mesh, refuse):
    """Guards against a request that fails beside a host that came back meanwhile."""
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_waiting_request(caller, targets)
    caller.node.fleet.views_by_id[other.host_id].suspended_until = float("inf")
    suspect(caller, silent)
    caller.node.fleet.views_by_id[other.host_id].suspended_until = 0.0
    other.node.inbound.is_draining = False
    other.request_handler = None
    refuse(caller, silent)
    status, fields, _ = read_response(connection)
    assert (status, fields["x-host"]) == (200, other.host_id)


def test_request_that_a_second_host_may_have_run_fails(mesh):
    """Guards against 503 for a request that is lost at one of two hosts."""
    caller, *targets = make_hosts(mesh)
    connection, silent, other = start_waiting_request(caller, targets)
    other.node.inbound.is_draining = False
    suspect(caller, silent)
    run_reactor_until(lambda: other.requests)
    caller.node.link_events.on_down(other.host_id)
    refuse_waiting(caller, silent)
    assert read_response(connection)[0] == 502
    assert len(other.requests) == 1


def test_request_that_a_host_did_not_read_before_it_stopped_is_refused(mesh):
    """Guards against 502 for a request that its host has not read when it stops.

    The host stands still, and takes what is sent to it into its socket buffers.
    """
    caller, *targets = make_hosts(mesh)
    silent, other = targets
    other.node.inbound.is_draining = True
    # The caller's host learns of the stop only from the link.
    silent.node.hosts.broadcast = lambda message: None
    silent.node.hosts.write_record = lambda: None
    links = list(silent.node.hub._accepted)
    for link in links:
        link.transport.pauseProducing()
    connection = caller.open(format_call("/read/1", "GET", left_ms=900))
    peer = caller.node.hub.peers_by_id[silent.host_id]
    run_reactor_until(lambda: peer.is_suspect)
    now = reactor.seconds()
    silent.node.inbound.drain_window = DrainWindow(now, now)
    for link in links:
        link.transport.resumeProducing()
    status, fields, _ = read_response(connection)
    assert status == 503 and float(fields["retry-after"]) > 0
    assert not silent.requests and not other.requests


def shed(host):
    """Let the worker of a host say that it has not executed its request."""
    (exchange,) = host.requests
    attempt_id = dict(exchange.headers)[b"x-attempt-id"]
    exchange.respond(
        503, [(b"x-attempt-id", attempt_id), (b"x-not-executed", b"1")], b""
    )


def test_request_that_two_workers_have_shed_reaches_no_third_one(mesh):
    """Guards against more attempts than the route has, and retries beyond the budget.

    The first worker sheds after its host was silent for some time.
    """
    caller, *targets = make_hosts(mesh)
    targets.append(mesh.add("orders"))
    mesh.settle()
    for host in targets:
        host.request_handler = lambda exchange: None
    connection = caller.open(format_call("/read/1", "GET", left_ms=900))
    run_reactor_until(lambda: any(host.requests for host in targets))
    silent = next(host for host in targets if host.requests)
    suspect(caller, silent)
    run_reactor_until(lambda: sum(len(host.requests) for host in targets) == 2)
    other = next(h for h in targets if h.requests and h is not silent)
    shed(other)
    run_reactor_until(lambda: not caller.node.outbound._attempts.find(other.host_id))
    shed(silent)
    status, fields, _ = read_response(connection)
    assert status == 503 and float(fields["retry-after"]) > 0
    assert sum(len(host.requests) for host in targets) == 2


def test_program_error_for_one_request_does_not_delay_the_others(mesh):
    """Guards against requests at a lost host that stay open until their deadline."""
    caller, *targets = make_hosts(mesh)
    targets[1].node.inbound.is_draining = True
    calls = [
        caller.open(format_call("/pay/1", "POST", attempt=name))
        for name in ("first", "second")
    ]
    run_reactor_until(lambda: len(targets[0].requests) == 2)
    silent_hosts = caller.node.outbound._silent_hosts
    on_lost = silent_hosts.on_lost

    def fail_once(*args):
        silent_hosts.on_lost = on_lost
        raise ValueError("odd")

    silent_hosts.on_lost = fail_once
    caller.node.outbound.on_host_lost(targets[0].host_id, reactor.seconds())
    assert sorted(read_response(call)[0] for call in calls) == [502, 502]
