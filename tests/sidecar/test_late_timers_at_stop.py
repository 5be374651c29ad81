"""Planned stops of a node whose timers are late."""

import pytest
from twisted.internet import reactor
from twisted.internet.task import deferLater

from bamboocove.sidecar import shutdown
from bamboocove.sidecar.application import SidecarApplication
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config
from tests.sidecar.test_planned_stop import make_hosts, open_call, start_stop


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(SidecarApplication, "get_lag", lambda node: 0.0)
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, timeout_s=6.1, read={"orders": 1}))
    yield mesh
    mesh.close()


def test_node_with_late_timers_ends_within_the_grace_period(mesh, monkeypatch):
    """Guards against a process that is killed while it waits for slow callers."""
    (host,) = make_hosts(mesh, "orders", grace_s=3.0)
    monkeypatch.setattr(
        shutdown,
        "deferLater",
        lambda clock, delay_s: deferLater(clock, delay_s + (0.2 if delay_s else 0.0)),
    )
    monkeypatch.setattr(SidecarApplication, "has_callers", lambda node: True)
    # Keeps the node from an earlier end.
    host.request_handler = lambda exchange: None
    call = open_call(host, "/read/1")
    run_reactor_until(lambda: host.requests)
    started_at = reactor.seconds()
    start_stop(host)
    run_reactor_until(lambda: host.node.finished.called, 6.0)
    assert reactor.seconds() - started_at < 3.0
    call.close()
