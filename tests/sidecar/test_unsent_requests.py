"""Requests that no worker got, or that a lost zone had: their status and time."""

import time

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


def fill(host):
    """Let requests wait at a host: its slots are in use, but not for long."""
    host.node.inbound.queue.service_times.record("read", 0.001)
    host.node.inbound.queue.slots = 0


@pytest.mark.parametrize("is_own", [False, True])
@pytest.mark.parametrize("service_s", [0.001, 0.5])
def test_request_that_waits_until_its_deadline_gets_503(mesh, is_own, service_s):
    """Guards against 504 for a request that certainly reached no worker."""
    caller = mesh.add("orders" if is_own else "front")
    host = caller if is_own else mesh.add("orders")
    mesh.settle()
    fill(host)
    started_at = time.monotonic()
    connection = caller.open(format_call("/read/1", left_ms=600))
    queue = host.node.inbound.queue
    run_reactor_until(lambda: queue.waiting)
    for _ in range(60):
        queue.service_times.record("read", service_s)
    assert read_response(connection)[0] == 503
    # Half of the service time before the deadline it can no longer be started.
    assert time.monotonic() - started_at < 0.75 - service_s / 2
    assert not host.requests


def test_request_in_the_own_queue_gets_503_if_the_node_is_late(mesh):
    """Guards against 504 for a waiting request whose queue was not looked through."""
    host = mesh.add("orders")
    mesh.settle()
    fill(host)
    host.node.inbound.tick = lambda now: None
    assert host.call(left_ms=200)[0] == 503


def test_requests_of_a_lost_zone_are_answered_by_the_own_one(mesh):
    """Guards against 502 while a worker of the own zone has room.

    When the links to a zone close one after the other, a retry went to another host of
    that zone, which was lost next, and no attempt was left.
    """
    caller = mesh.add("front")
    far = [mesh.add("orders", zone="y") for _ in range(4)]
    near = mesh.add("orders")
    mesh.settle()
    for host in far:
        host.request_handler = lambda exchange: None
    view = caller.node.fleet.views_by_id[near.host_id]
    for _ in range(20):
        view.record_service_time("read", 0.25)
        for host in far:
            far_view = caller.node.fleet.views_by_id[host.host_id]
            far_view.record_service_time("read", 0.02)
    view.record_refusal(0, reactor.seconds() + 30.0, reactor.seconds())
    connection = caller.open(format_call("/read/1"))
    run_reactor_until(lambda: any(host.requests for host in far))
    view.busy_until = 0.0
    for host in sorted(far, key=lambda host: not host.requests):
        caller.node.link_events.on_down(host.host_id)
    status, fields, _ = read_response(connection)
    assert (status, fields["x-host"]) == (200, near.host_id)
