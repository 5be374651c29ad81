"""Requests that all workers of their zone refuse while another zone has room."""

import pytest

from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config(pay={"orders": 1}))
    yield mesh
    mesh.close()


def test_last_host_that_is_asked_is_in_another_zone(mesh):
    """Guards against 503 after four refusals in a zone that is being stopped."""
    caller = mesh.add("front", zone="a")
    near = [mesh.add("orders", zone="a") for _ in range(5)]
    far = mesh.add("orders", zone="b")
    mesh.settle()
    far.request_handler = lambda exchange: far.respond(exchange)
    for host in near:
        host.node.inbound.is_draining = True
    assert read_response(caller.open(format_call("/pay/1", "POST")))[0] == 200
    assert len(far.requests) == 1
