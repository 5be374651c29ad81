"""Requests with the key of a client account, from the caller to the worker."""

import pytest
from attrs import evolve

from bamboocove.coordination.accounts import digest_key
from bamboocove.state.mesh import ClientAccount
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response

NORTH = ClientAccount("north", (digest_key(b"key-n"),), 3)


def make_account_config(version, *accounts):
    config = make_config(version, read={"orders": 1}, open={"orders": 1})
    routes = dict(config.routes_by_name)
    routes["open"] = evolve(routes["open"], is_anonymous=True)
    by_name = {account.name: account for account in accounts}
    return evolve(config, routes_by_name=routes, accounts_by_name=by_name)


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_account_config(2, NORTH))
    yield mesh
    mesh.close()


def call(host, path, *fields):
    data = format_call(path).replace(b"\r\n\r\n", b"\r\n" + b"".join(fields) + b"\r\n")
    caller = host.open(data)
    status, _, _ = read_response(caller)
    caller.close()
    return status


def test_worker_gets_the_account_and_not_the_key(mesh, capfd):
    """Guards against a key, or an account of the caller's choice, at a worker."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    fields = [b"X-Key: key-n\r\n", b"X-Tenant: forged\r\n"]
    assert call(caller, "/read/1", *fields) == 200
    assert call(caller, "/open/1", *fields) == 200
    seen = [dict(exchange.headers) for exchange in target.requests]
    assert [headers.get(b"x-tenant") for headers in seen] == [b"north", None]
    assert not any(b"x-key" in headers for headers in seen)
    assert "key-n" not in capfd.readouterr().out


@pytest.mark.parametrize(
    "fields",
    [(), (b"X-Key: other\r\n",), (b"X-Key: key-n\r\n", b"X-Key: key-n\r\n")],
    ids=["none", "unknown", "two"],
)
def test_request_without_the_key_of_an_account_gets_401(mesh, fields):
    """Guards against requests that run for nobody's account."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    assert call(caller, "/read/1", *fields) == 401
    assert not target.requests


def test_keys_of_a_change_are_in_force_at_all_nodes(mesh):
    """Guards against changes that carry routes but not accounts."""
    hosts = [mesh.add("front"), mesh.add("orders"), mesh.add("orders")]
    mesh.settle()
    south = ClientAccount("south", (digest_key(b"key-s"),))
    mesh.store.put_config(make_account_config(3, south))
    run_reactor_until(lambda: all(host.node.config.version == 3 for host in hosts))
    for host in hosts:
        assert call(host, "/read/1", b"X-Key: key-s\r\n") == 200
        assert call(host, "/read/1", b"X-Key: key-n\r\n") == 401


def test_priority_of_the_account_goes_before_that_of_the_route(mesh):
    """Guards against an account that is served at the priority of its routes."""
    caller = mesh.add("orders")
    mesh.settle()
    seen = []
    submit = caller.node.inbound.submit

    def record(forward, *args):
        seen.append(forward.priority)
        return submit(forward, *args)

    caller.node.inbound.submit = record
    assert call(caller, "/read/1", b"X-Key: key-n\r\n") == 200
    assert call(caller, "/open/1") == 200
    assert seen == [3, 1]
