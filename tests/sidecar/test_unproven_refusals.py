"""Responses of a worker with a status that denies that it has run the request."""

import pytest

from tests.sidecar.hosts import HostMesh, make_config

STATUSES = [408, 429, 503]
NOT_EXECUTED = (b"x-not-executed", b"1")


@pytest.fixture
def mesh():
    mesh = HostMesh()
    routes = {"pay": {"orders": 1}, "read": {"orders": 1}}
    mesh.store.put_config(make_config(2, **routes))
    yield mesh
    mesh.close()


def add_worker(mesh, status, *fields):
    """Add a host whose worker runs each request and answers it with a status."""
    host = mesh.add("orders")
    host.request_handler = lambda exchange: host.respond(exchange, status, *fields)
    return host


@pytest.mark.parametrize("status", STATUSES)
@pytest.mark.parametrize("is_local", [False, True])
def test_payment_that_ran_is_not_answered_as_not_run(mesh, status, is_local):
    """Guards against a payment made twice after a signed 503 of its worker."""
    caller, target = mesh.add("front"), add_worker(mesh, status)
    mesh.settle()
    answer, fields, _ = (target if is_local else caller).call("/pay/1", "POST", b"1")
    assert (answer, len(target.requests)) == (502, 1)
    # The signature would claim that the worker has answered 502.
    assert "x-response-signature" not in fields and "retry-after" not in fields


def test_interim_response_proves_nothing_of_the_final_one(mesh):
    """Guards against a mark of an interim response that is taken for the final one."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()

    def respond(exchange):
        hints = b"HTTP/1.1 103 X\r\nX-Attempt-Id: a1\r\nX-Not-Executed: 1\r\n\r\n"
        exchange.connection.transport.write(hints)
        target.respond(exchange, 503)

    target.request_handler = respond
    answer, fields, _ = caller.call("/pay/1", "POST", b"1")
    assert (answer, len(target.requests)) == (502, 1)
    assert "x-response-signature" not in fields


def test_payment_that_no_worker_ran_is_refused(mesh):
    """Guards against a payment that may be sent again and is answered with 502."""
    caller, target = mesh.add("front"), add_worker(mesh, 503, NOT_EXECUTED)
    mesh.settle()
    answer, fields, _ = caller.call("/pay/1", "POST", b"1")
    assert (answer, len(target.requests)) == (503, 1)
    assert "x-response-signature" not in fields


@pytest.mark.parametrize("status", STATUSES)
def test_response_of_an_idempotent_request_is_unchanged(mesh, status):
    """Guards against an error of the node in place of what the worker answered."""
    caller = mesh.add("front")
    add_worker(mesh, status)
    mesh.settle()
    answer, fields, _ = caller.call("/read/1")
    assert answer == status and fields["x-response-signature"] == "s-a1"
