"""Refusals of a node whose host stops, and the requests that it takes meanwhile."""

import pytest
from twisted.internet import reactor

from bamboocove.sidecar import shutdown
from tests.sidecar.hosts import HostMesh, make_config
from tests.sidecar.test_planned_stop import (
    GRACE_S,
    LEFT_MS,
    make_hosts,
    start_stop,
)


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(shutdown, "CALLER_DRAIN_S", 0.5)
    monkeypatch.setattr(shutdown, "WORKER_DRAIN_DELAY_S", 0.4)
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, timeout_s=6.1, read={"orders": 1}))
    yield mesh
    mesh.close()


def test_host_that_refuses_one_request_in_a_stop_takes_others(mesh):
    """Guards against 503 for requests that the only worker would answer in time."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    assert caller.call(left_ms=LEFT_MS)[0] == 200
    # A request with a late deadline may have no answer before the stop ends.
    target.node.inbound._slowest.record("read", GRACE_S, reactor.seconds())
    start_stop(target)
    statuses = []
    for n in range(3):
        statuses.append(caller.call(left_ms=LEFT_MS, attempt=f"a{n}")[0])
        statuses.append(caller.call(left_ms=500, attempt=f"b{n}")[0])
    assert statuses == [503, 200] * 3
