"""Requests that wait for the worker of a slow machine while another one is idle."""

import pytest
from twisted.internet import reactor

from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config())
    yield mesh
    mesh.close()


def start_waiting_request(caller, slow, idle):
    """Start a request that waits at a worker whose slots are all in use."""
    slow.request_handler = lambda exchange: None
    queue = slow.node.inbound.queue
    queue.service_times.record("read", 0.3)
    queue.slots = 1
    view = caller.node.fleet.views_by_id[idle.host_id]
    view.record_refusal(0, reactor.seconds() + 30.0, reactor.seconds())
    connections = []
    for number in range(2):
        connections.append(caller.open(format_call(left_ms=2900, path="/read/1")))
        run_reactor_until(lambda n=number: len(queue.running) + len(queue.waiting) > n)
    view.busy_until = 0.0
    return connections


def test_waiting_request_moves_to_an_idle_worker(mesh):
    """Guards against requests that wait at a slow machine until they are late."""
    mesh.store.put_config(make_config(timeout_s=3.0))
    caller, slow, idle = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    running, connection = start_waiting_request(caller, slow, idle)
    status, fields, _ = read_response(connection)
    assert (status, fields["x-host"]) == (200, idle.host_id)
    assert len(slow.requests) == 1
    running.close()
    names = [name for name, _ in idle.requests[0].headers]
    assert not any(b"placed" in name for name in names)


def test_handed_back_request_may_return_and_then_stays(mesh):
    """Guards against a request that goes round, or fails for lack of another host."""
    mesh.store.put_config(make_config(timeout_s=3.0))
    caller, slow, idle = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    idle.node.inbound.is_draining = True
    running, connection = start_waiting_request(caller, slow, idle)
    queue = slow.node.inbound.queue
    run_reactor_until(lambda: queue.waiting and not queue.waiting[0].may_hand_back)
    end = reactor.seconds() + 0.4
    run_reactor_until(lambda: reactor.seconds() > end)
    assert len(queue.waiting) == 1
    slow.request_handler = slow.respond
    slow.respond(slow.requests[0])
    status, fields, _ = read_response(connection)
    assert (status, fields["x-host"]) == (200, slow.host_id)
    assert read_response(running)[0] == 200


def test_figure_of_an_answer_reaches_the_callers_node(mesh):
    """Guards against an idle worker of a slow machine that looks like any other."""
    caller, host = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    for _ in range(9):
        host.node.inbound.queue.service_times.record("read", 0.2)
    load = (b"x-server-load", b"1,0,4,250")
    host.request_handler = lambda exchange: host.respond(exchange, 200, load)
    assert caller.call()[0] == 200
    report = caller.node.fleet.views_by_id[host.host_id].report
    assert report.get_wait(1) > 0.1
    for odd in (b"", b"1,0,4,-250", b"1 0 4 250 x", b",,;9", b"1,0,4,99999999"):
        odd_load = (b"x-server-load", odd)
        host.request_handler = lambda exchange, f=odd_load: host.respond(
            exchange, 200, f
        )
        assert caller.call()[0] == 200
