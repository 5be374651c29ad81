"""Pipelined requests on a node that gets a planned stop."""

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.sidecar import shutdown
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call
from tests.transport.closing import split_responses


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(shutdown, "CALLER_DRAIN_S", 0.5)
    monkeypatch.setattr(shutdown, "WORKER_DRAIN_DELAY_S", 0.4)
    mesh = HostMesh()
    yield mesh
    mesh.close()


@pytest.mark.parametrize("is_draining_first", [True, False])
def test_pipelined_requests_are_answered_in_a_planned_stop(mesh, is_draining_first):
    """Guards against requests that were read and end with the connection."""
    host = mesh.add()
    mesh.settle()
    bounds = evolve(host.node.settings.bounds, grace_s=2.0)
    host.node.settings = evolve(host.node.settings, bounds=bounds)
    host.request_handler = lambda exchange: None
    if is_draining_first:
        host.node.drain()
    calls = [format_call("/read/1", attempt=f"a{n}") for n in range(3)]
    caller = host.open(b"".join(calls))
    run_reactor_until(lambda: host.requests)
    if not is_draining_first:
        host.node.drain()
    host.request_handler = None
    host.respond(host.requests[0])
    caller.read_until(lambda data: False)
    responses = split_responses(caller.data)
    assert [head.split()[1] for head, _ in responses] == [b"200"] * 3
    closes = [b"connection: close" in head for head, _ in responses]
    assert closes == [False, False, True]
    run_reactor_until(lambda: host.node.finished.called)


def test_planned_stop_does_not_wait_for_callers_that_keep_connections(mesh):
    """Guards against a stop that takes the whole grace period for idle callers."""
    host = mesh.add()
    mesh.settle()
    bounds = evolve(host.node.settings.bounds, grace_s=4.0)
    host.node.settings = evolve(host.node.settings, bounds=bounds)
    caller = host.open(format_call("/read/1"))
    caller.read_until(split_responses)
    started_at = reactor.seconds()
    host.node.drain()
    run_reactor_until(lambda: host.node.finished.called)
    assert reactor.seconds() - started_at < shutdown.CALLER_DRAIN_S + 0.5
    caller.close()
