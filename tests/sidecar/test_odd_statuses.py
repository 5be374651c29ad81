"""Responses of a worker whose status code is that of no final response."""

import pytest
from twisted.internet import reactor

from tests.sidecar.hosts import HostMesh, make_config

STATUSES = [b"000", b"099", b"104", b"199", b"600", b"999"]
LEFT_MS = 6000


@pytest.fixture
def mesh():
    mesh = HostMesh()
    routes = {"pay": {"orders": 1}, "read": {"orders": 1}}
    mesh.store.put_config(make_config(2, timeout_s=6.1, **routes))
    yield mesh
    mesh.close()


def respond_with(status, attempt):
    """Return a handler that answers with a status and keeps the connection."""
    head = b"HTTP/1.1 %b X\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s\r\n"
    data = head % (status, attempt) + b"Content-Length: 2\r\n\r\nno"
    return lambda exchange: exchange.connection.transport.write(data)


@pytest.mark.parametrize("status", STATUSES)
def test_odd_status_ends_an_unsafe_request_at_once(mesh, status):
    """Guards against status 600 as an answer, and a wait for what follows 000."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.request_handler = respond_with(status, b"a1")
    started_at = reactor.seconds()
    answer, _, body = caller.call("/pay/1", "POST", b"1", LEFT_MS)
    assert (answer, len(target.requests)) == (502, 1) and body != b"no"
    assert reactor.seconds() - started_at < 2.0
    assert not target.node.inbound.queue.running


@pytest.mark.parametrize("status", STATUSES)
def test_odd_status_is_retried_for_a_safe_request(mesh, status):
    """Guards against a safe request that waits on a worker in trouble."""
    caller = mesh.add("front")
    targets = [mesh.add("orders"), mesh.add("orders")]
    mesh.settle()

    def respond_badly_once(exchange):
        for target in targets:
            target.request_handler = None
        respond_with(status, b"a1")(exchange)

    for target in targets:
        target.request_handler = respond_badly_once
    answer, _, body = caller.call("/read/1", left_ms=LEFT_MS)
    assert answer == 200 and body != b"no"
    assert sum(len(target.requests) for target in targets) == 2
