"""The explanation of where a request would go, and the command that prints it."""

import json

import pytest
from attrs import evolve

from bamboocove.cli_where import format_explanation
from bamboocove.coordination.accounts import digest_key
from bamboocove.sidecar.request_explanation import explain_request
from tests.callpath import Caller, run_reactor_until
from tests.sidecar.hosts import HostMesh
from tests.sidecar.test_client_accounts import NORTH, make_account_config

KEY = digest_key(b"key-n")


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_account_config(2, NORTH))
    yield mesh
    mesh.close()


def explain(host, path="/read/1", digest=KEY):
    return explain_request(
        host.node, "h.example", path, digest, host.node.clock.seconds()
    )


def test_explanation_names_the_host_and_changes_nothing(mesh):
    """Guards against an explanation that sends, or counts as, a request."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    before = {
        view.host_id: view.in_flight
        for view in caller.node.outbound.get_views("orders")
    }
    found = explain(caller)
    assert found["outcome"] == {
        "status": 0,
        "reason": "the least expected time to a response, see candidates",
        "host": target.host_id,
    }
    assert found["account"]["name"] == "north" and found["priority"] == 3
    assert not target.requests and not caller.node.outbound.in_flight
    views = caller.node.outbound.get_views("orders")
    assert {view.host_id: view.in_flight for view in views} == before
    assert "key-n" not in json.dumps(found)
    lines = format_explanation(found)
    assert lines[0].startswith(f"placed on {target.host_id}")


@pytest.mark.parametrize(
    ("path", "digest", "status"),
    [("/none/1", KEY, 404), ("/read/1", "", 401), ("/read/1", "0" * 32, 401)],
)
def test_refusals_are_explained(mesh, path, digest, status):
    """Guards against an explanation that differs from what callers get."""
    caller = mesh.add("front")
    mesh.add("orders")
    mesh.settle()
    found = explain(caller, path, digest)
    assert found["outcome"]["status"] == status
    assert format_explanation(found)[0].startswith(f"refused with {status}")


def test_service_without_workers_is_explained(mesh):
    """Guards against a host that is named although it may not be asked."""
    caller = mesh.add("front")
    target = mesh.add("orders")
    mesh.settle()
    target.report("draining")
    run_reactor_until(lambda: not caller.node.outbound.get_views("orders"))
    assert explain(caller)["outcome"]["status"] == 503
    assert explain(caller, "/open/1", "")["outcome"]["status"] == 503


def test_node_serves_explanations_beside_its_metrics(mesh):
    """Guards against a command that no node answers."""
    caller = mesh.add("front")
    mesh.add("orders")
    mesh.settle()
    port = caller.node._ports[-1].getHost().port
    client = Caller(port)
    query = f"hostname=h.example&path=/read/1&key_digest={KEY}"
    client.send(f"GET /explain?{query} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
    data = client.read_until(lambda data: data.endswith(b"}"))
    body = json.loads(data.partition(b"\r\n\r\n")[2])
    assert body["outcome"]["status"] == 0
    client.close()


def test_node_without_configuration_says_so(mesh):
    """Guards against an explanation from routes that are not known."""
    caller = mesh.add("front")
    mesh.settle()
    caller.node.config = evolve(caller.node.config, version=0)
    assert explain(caller)["outcome"]["status"] == 503
