"""Workers that send an earlier response again on a connection in use."""

import pytest

from tests.sidecar.hosts import HostMesh, make_config


@pytest.fixture
def mesh():
    mesh = HostMesh()
    yield mesh
    mesh.close()


def make_hosts(mesh):
    """Return a calling host and two hosts that run requests."""
    mesh.store.put_config(make_config(pay={"orders": 1}, read={"orders": 1}))
    hosts = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    return hosts


def format_response(status, attempt, *fields):
    head = [b"HTTP/1.1 %d X" % status, b"content-length: 0", *fields]
    if attempt is not None:
        head.append(b"x-attempt-id: " + attempt)
    return b"\r\n".join([*head, b"", b""])


@pytest.mark.parametrize("path", ["/pay/1", "/read/1"])
@pytest.mark.parametrize("is_echoed", [True, False])
@pytest.mark.parametrize(
    ("status", "field"), [(503, b"x-not-executed: 1"), (421, b"x-other: 1")]
)
def test_repeated_refusal_is_no_proof_for_the_next_request(
    mesh, path, is_echoed, status, field
):
    """Guards against "not run, try again" for a request that runs.

    A worker sent an earlier refusal once more, while the next request on the kept
    connection was running. An unsafe request then ran at a second worker.
    """
    caller, *targets = make_hosts(mesh)
    refused = []

    def refuse_then_repeat(host):
        def handle(exchange):
            attempt = dict(exchange.headers)[b"x-attempt-id"]
            connection = exchange.connection
            if attempt == b"first":
                # Only the worker's own connection tells what was sent on it before.
                host.request_handler = handle
                host.respond(exchange)
                return
            refused.append(attempt)
            old = b"first" if is_echoed else None
            connection.write(format_response(status, old, field))
            host.respond(exchange)

        return handle

    for host in targets:
        host.request_handler = refuse_then_repeat(host)
    for _ in range(4):
        caller.call(path, "POST", b"1", attempt="first")
    ran_before = sum(len(host.requests) for host in targets)
    code, fields, _ = caller.call(path, "POST", b"1", attempt="second")
    ran = sum(len(host.requests) for host in targets) - ran_before
    assert refused
    if path == "/pay/1":
        assert ran == 1
        assert code in ((200,) if is_echoed else (200, 502))
    assert code not in (408, 421, 429, 503)


@pytest.mark.parametrize("is_echoed", [True, False])
def test_first_refusal_on_a_connection_is_tried_at_another_worker(mesh, is_echoed):
    """Guards against a request that fails though its worker has not run it."""
    caller, first, second = make_hosts(mesh)

    def refuse(exchange):
        attempt = dict(exchange.headers)[b"x-attempt-id"] if is_echoed else None
        exchange.connection.write(format_response(503, attempt, b"x-not-executed: 1"))

    first.request_handler = refuse
    codes = [caller.call("/pay/1", "POST", b"1", attempt=f"a{n}")[0] for n in range(8)]
    assert codes == [200] * 8
    assert first.requests


@pytest.mark.parametrize("status", [500, 504])
def test_repeated_failure_is_not_the_response_of_the_next_request(mesh, status):
    """Guards against a caller that gets the failure of another one."""
    caller, *targets = make_hosts(mesh)

    def handle_for(host):
        def handle(exchange):
            if dict(exchange.headers)[b"x-attempt-id"] == b"second":
                exchange.connection.write(format_response(status, None))
            host.respond(exchange)

        return handle

    for host in targets:
        host.request_handler = handle_for(host)
    for _ in range(4):
        assert caller.call("/pay/1", "POST", b"1", attempt="first")[0] == 200
    code, fields, _ = caller.call("/pay/1", "POST", b"1", attempt="second")
    # 502 if the request was sent on a used connection: it may have run.
    assert code in (200, 502)
