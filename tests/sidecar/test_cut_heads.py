"""Workers and stores that close in the middle of the head of a response."""

import pytest
from twisted.internet import reactor

from bamboocove.errors import ErrorKind
from bamboocove.platform.store import PlatformStore
from bamboocove.transport.clients import ConnectionPool
from bamboocove.transport.fetching import Fetch, Response, format_request
from tests.callpath import Worker, run
from tests.sidecar.hosts import HostMesh, make_config

FRAMINGS = {
    "length": b"Content-Length: 12\r\n\r\nwhole answer",
    "chunks": b"Transfer-Encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n",
    "no length": b"Connection: close\r\n\r\nwhole answer",
    "no body": b"Content-Length: 0\r\n\r\n",
}
# Longer than the process of a test may be held up on a busy machine.
LEFT_MS = 6000
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"


def format_response(framing, attempt=b"a1", interim=b""):
    head = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %b\r\nX-Response-Signature: s\r\n"
    return interim + head % attempt + FRAMINGS[framing]


def count_head_bytes(whole, framing):
    """Return the number of bytes before the body."""
    tail = FRAMINGS[framing]
    return len(whole) - len(tail) + tail.index(b"\r\n\r\n") + 4


def send_part(exchange, data, how):
    """Send the start of a response, then close or reset the connection."""
    transport = exchange.connection.transport
    transport.write(data)
    if how == "close":
        transport.loseConnection()
    else:
        reactor.callLater(0.002, transport.abortConnection)


@pytest.fixture
def mesh():
    mesh = HostMesh()
    routes = {"pay": {"orders": 1}, "read": {"orders": 1}}
    mesh.store.put_config(make_config(2, timeout_s=6.1, **routes))
    yield mesh
    mesh.close()


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("interim", [b"", INTERIM], ids=["", "interim"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_response_cut_in_its_head_is_not_forwarded(mesh, framing, interim, how):
    """Guards against a 200 with an empty or short body that is framed as whole."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    whole = format_response(framing, interim=interim)
    for size in range(count_head_bytes(whole, framing)):
        # A kept connection for every second response that is cut.
        if size % 2:
            target.request_handler = None
            assert caller.call("/pay/1", "POST", b"1", LEFT_MS)[0] == 200
        target.request_handler = lambda exchange, size=size: send_part(
            exchange, whole[:size], how
        )
        ran_before = len(target.requests)
        status, _, body = caller.call("/pay/1", "POST", b"1", LEFT_MS)
        assert status == 502 and b"whole" not in body, whole[:size]
        assert len(target.requests) == ran_before + 1
        # Requests that may be repeated are, and end with an error, too.
        if size % 8 == 0:
            status, _, _ = caller.call("/read/1", left_ms=LEFT_MS)
            assert status in (502, 503), whole[:size]


@pytest.mark.parametrize("how", ["close", "reset"])
@pytest.mark.parametrize("framing", FRAMINGS)
def test_fetch_of_a_response_cut_in_its_head_fails(framing, how):
    """Guards against a read of the store that takes a cut response for an empty one."""
    server = Worker()
    whole = format_response(framing)
    pool = ConnectionPool(reactor, 1.0)
    address = ("127.0.0.1", server.port)
    data = format_request(b"GET", b"/", address, [], b"")
    results = []

    async def fetch():
        return await Fetch(pool, address, data).start(2.0)

    for size in range(count_head_bytes(whole, framing)):
        server.answer = lambda exchange, size=size: send_part(
            exchange, whole[:size], how
        )
        results.append(run(fetch()))
    server.answer = lambda exchange: send_part(exchange, whole, "close")
    assert run(fetch()).status == 200
    server.close()
    assert not [result for result in results if isinstance(result, Response)]
    assert {result.kind for result in results} == {ErrorKind.UPSTREAM_LOST}


def test_store_that_closes_in_the_head_of_a_response_is_unavailable():
    """Guards against a node that takes a cut response for a store without rows."""
    server = Worker()
    head = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
    server.answer = lambda exchange: send_part(exchange, head, "close")
    store = PlatformStore(("127.0.0.1", server.port), reactor)
    for read in (store.read_operator, store.read_hosts, store.read_rules):
        assert run(read()).kind is ErrorKind.STORE_UNAVAILABLE
    store.close()
    server.close()
