"""Workers that send an earlier response again on a connection in use."""

import pytest

from tests.sidecar.hosts import HostMesh, make_config

# A connection is used again only if it has hardly been idle, which a busy machine may
# prevent a few times.
MAX_CALLS = 60


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


def repeat_on_used_connections(hosts, response):
    """Have workers send a response once more before those on used connections.

    Returns the list of the attempts before whose response it was sent.
    """
    used = set()
    repeated = []

    def handle_for(host):
        def handle(exchange):
            if exchange.connection in used:
                repeated.append(dict(exchange.headers)[b"x-attempt-id"])
                exchange.connection.write(response)
            used.add(exchange.connection)
            host.respond(exchange)

        return handle

    for host in hosts:
        host.request_handler = handle_for(host)
    return repeated


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
    old = b"old" if is_echoed else None
    repeated = repeat_on_used_connections(targets, format_response(status, old, field))
    for number in range(MAX_CALLS):
        ran_before = sum(len(host.requests) for host in targets)
        code, _, _ = caller.call(path, "POST", b"1", attempt=f"a{number}")
        ran = sum(len(host.requests) for host in targets) - ran_before
        if path == "/pay/1":
            assert ran == 1
            assert code in ((200,) if is_echoed else (200, 502))
        assert code not in (408, 421, 429, 503)
        if repeated:
            break
    assert repeated


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
    repeated = repeat_on_used_connections(targets, format_response(status, None))
    for number in range(MAX_CALLS):
        code, _, _ = caller.call("/pay/1", "POST", b"1", attempt=f"a{number}")
        # 502 if the request was sent on a used connection: it may have run.
        assert code in (200, 502)
        if repeated:
            break
    assert repeated
