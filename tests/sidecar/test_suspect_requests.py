"""Requests that crash workers, at nodes that did not run when they did."""

import pytest

from bamboocove.coordination.retry_limits import CRASHES_TO_BLOCK, CrashTable
from bamboocove.sidecar.refusals import SUSPECT_REASON
from tests.callpath import pause, run, run_reactor_until
from tests.sidecar.hosts import HostMesh, knows_crashes, make_config, stop_at_once


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, pay={"orders": 1}))
    yield mesh
    mesh.close()


def crash_twice(mesh, workers=4):
    """Let a request crash two of some workers; return a caller and the others."""
    callers = [mesh.add("front") for _ in range(2)]
    targets = [mesh.add("orders") for _ in range(workers)]
    mesh.settle()
    for host in targets:
        host.request_handler = host.worker.crash
    for number, caller in enumerate(callers):
        caller.call("/pay/1", "POST", attempt=f"a{number}")
        run_reactor_until(
            lambda: all(knows_crashes(host, number + 1) for host in callers)
        )
    left = [host for host in targets if not host.requests]
    assert len(left) == workers - CRASHES_TO_BLOCK
    return callers[0], left


def settle(mesh, hosts):
    """Wait until some hosts serve and reach the workers."""
    run_reactor_until(
        lambda: all(
            host.node.hooks.state == "serving"
            and host.node.fleet.has_reachable_worker("orders")
            for host in hosts
        )
    )


def assert_refused(caller):
    status, fields, body = caller.call("/pay/1", "POST", attempt="a9")
    assert status == 503 and SUSPECT_REASON.encode() in body, body
    assert "x-response-signature" not in fields


def is_kept(mesh):
    return any(record.blocked_requests for record in mesh.store.hosts.values())


def test_restarted_node_refuses_a_request_that_crashes_workers(mesh):
    """Guards against two more crashes for each node that starts anew."""
    caller, left = crash_twice(mesh)
    stop_at_once(caller.node)
    caller.start(2000)
    assert caller.report() == 200
    settle(mesh, [caller])
    run_reactor_until(lambda: knows_crashes(caller, CRASHES_TO_BLOCK))
    assert_refused(caller)
    assert not any(host.requests for host in left)


def test_new_host_refuses_a_request_that_crashes_workers(mesh):
    """Guards against a machine that is added later and was told nothing."""
    _, left = crash_twice(mesh)
    added = mesh.add("front")
    settle(mesh, [added])
    run_reactor_until(lambda: knows_crashes(added, CRASHES_TO_BLOCK))
    assert_refused(added)
    assert not any(host.requests for host in left)


def test_all_nodes_refuse_the_request_after_they_have_ended_together(mesh):
    """Guards against a blocked request that nobody remembers."""
    caller, left = crash_twice(mesh)
    run_reactor_until(lambda: is_kept(mesh))
    for host in mesh.hosts:
        stop_at_once(host.node)
    for host in mesh.hosts:
        host.start(2000)
        host.report()
    settle(mesh, [caller])
    run_reactor_until(lambda: knows_crashes(caller, CRASHES_TO_BLOCK))
    assert_refused(caller)
    assert not any(host.requests for host in left)
    # Kept by the new processes, too.
    mesh.settle()
    assert is_kept(mesh)


def test_node_beside_the_worker_refuses_what_an_ignorant_node_sends(mesh):
    """Guards against a caller's node that was cut off when the workers crashed."""
    caller, left = crash_twice(mesh)
    node = caller.node
    node.suspects.crashes = node.outbound.crashes = CrashTable()
    assert_refused(caller)
    assert not any(host.requests for host in left)


def test_request_that_a_worker_completes_is_free_at_all_nodes(mesh):
    """Guards against innocent requests that the records of hosts block for long."""
    caller, left = crash_twice(mesh)
    run_reactor_until(lambda: is_kept(mesh))
    fingerprint = next(iter(caller.node.suspects.crashes._suspects_by_fingerprint))
    caller.node.suspects.clear(fingerprint)
    run_reactor_until(lambda: not is_kept(mesh))
    assert not any(knows_crashes(host, 1) for host in mesh.hosts)
    for host in left:
        host.request_handler = None
    assert caller.call("/pay/1", "POST", attempt="a9")[0] == 200


def test_common_request_is_not_blocked_when_workers_crash_for_another_reason(mesh):
    """Guards against a route that is closed after the loss of several new workers."""
    callers = [mesh.add("front") for _ in range(2)]
    targets = [mesh.add("orders") for _ in range(4)]
    mesh.settle()
    for caller in callers:
        assert caller.call("/pay/1", "POST")[0] == 200
    for host in targets:
        # As after a restart of the worker.
        host.node.inbound.crash_reports.reset()
        host.requests.clear()
        host.request_handler = host.worker.crash
    crashed = 0
    while crashed < CRASHES_TO_BLOCK:
        callers[0].call("/pay/1", "POST", attempt=f"b{crashed}")
        crashed = sum(bool(host.requests) for host in targets)
        run(pause(0.2))
    for host in targets:
        host.request_handler = None
    assert callers[1].call("/pay/1", "POST", attempt="c1")[0] in (200, 503)
    run(pause(0.2))
    for caller in callers:
        assert caller.call("/pay/1", "POST", attempt="c2")[0] == 200
