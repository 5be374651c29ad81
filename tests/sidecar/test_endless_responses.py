"""Responses that never end: in the head, in the body, or between responses."""

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from bamboocove.errors import ErrorKind
from bamboocove.protocol.mesh_messages import MAX_FORWARDED_BODY_BYTES
from bamboocove.transport.clients import ConnectionPool
from bamboocove.transport.fetching import Fetch, format_request
from bamboocove.transport.framing import MAX_HEAD_BYTES
from tests.callpath import Worker, run, run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response

TIMEOUT_S = 20.0
# The node must end a request long before its time-out.
MAX_HELD_S = 3.0
PIECE_BYTES = 16 * 1024
# Data on its way in the socket buffers of both sides.
SOCKET_BYTES = 8 * 1024 * 1024
BODY_LIMIT = MAX_FORWARDED_BODY_BYTES + SOCKET_BYTES
HEAD_LIMIT = MAX_HEAD_BYTES + SOCKET_BYTES

OK = b"HTTP/1.1 200 OK\r\n"
ATTEMPT = b"X-Attempt-Id: a1\r\nX-Response-Signature: s\r\n"
OTHER_ATTEMPT = b"X-Attempt-Id: other\r\nX-Response-Signature: s\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
FILLER = b"x" * PIECE_BYTES
CHUNK = b"%x\r\n%b\r\n" % (PIECE_BYTES, FILLER)

# Start of the response, the piece that is repeated, and the limit in bytes.
RESPONSES_BY_NAME = {
    "no status line": (b"", FILLER, HEAD_LIMIT),
    "reason phrase": (b"HTTP/1.1 200 ", FILLER, HEAD_LIMIT),
    "header field": (OK + b"X: ", FILLER, HEAD_LIMIT),
    "header fields": (OK, b"X-A: 1\r\n" * 512, HEAD_LIMIT),
    "interim responses": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 64, HEAD_LIMIT),
    "chunks": (OK + ATTEMPT + CHUNKED, CHUNK, BODY_LIMIT),
    "small chunks": (OK + ATTEMPT + CHUNKED, b"1\r\nx\r\n" * 512, BODY_LIMIT),
    "chunk extension": (OK + ATTEMPT + CHUNKED + b"1;", FILLER, HEAD_LIMIT),
    "trailers": (OK + ATTEMPT + CHUNKED + b"0\r\n", b"X: 1\r\n" * 512, HEAD_LIMIT),
    "no length": (OK + ATTEMPT + b"\r\n", FILLER, BODY_LIMIT),
    "length": (OK + ATTEMPT + b"Content-Length: %d\r\n\r\n" % 2**40, FILLER, 0),
    "response to another attempt": (OK + OTHER_ATTEMPT + CHUNKED, CHUNK, BODY_LIMIT),
    "responses to other attempts": (
        b"",
        (OK + OTHER_ATTEMPT + b"Content-Length: 1\r\n\r\nx") * 128,
        BODY_LIMIT,
    ),
}


@implementer(IPullProducer)
class EndlessResponse:
    """Writes a response to a connection until the other side closes it."""

    def __init__(self, transport, start, piece):
        self._transport = transport
        self._piece = piece
        self.sent_bytes = 0
        self.is_closed = False
        transport.write(start)
        transport.registerProducer(self, False)

    def resumeProducing(self):
        self._transport.write(self._piece)
        self.sent_bytes += len(self._piece)

    def stopProducing(self):
        self.is_closed = True


@pytest.fixture
def mesh():
    mesh = HostMesh()
    routes = {"read": {"orders": 1}, "pay": {"orders": 1}, "list": {"orders": 1}}
    mesh.store.put_config(make_config(2, timeout_s=TIMEOUT_S, **routes))
    yield mesh
    mesh.close()


def make_endless(responses, name, path=b"/"):
    """Return a request handler that responds to requests on a path without an end."""

    def handle(exchange):
        if not exchange.target.startswith(path):
            exchange.respond(
                200,
                [
                    (b"x-attempt-id", dict(exchange.headers)[b"x-attempt-id"]),
                    (b"x-response-signature", b"s"),
                ],
            )
            return
        start, piece, _ = RESPONSES_BY_NAME[name]
        transport = exchange.connection.transport
        responses.append(EndlessResponse(transport, start, piece))

    return handle


@pytest.mark.parametrize("name", RESPONSES_BY_NAME)
def test_endless_response_is_ended_with_a_clear_error(mesh, name):
    """Guards against a node that reads a worker's bytes until its memory is full."""
    responses = []
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.request_handler = make_endless(responses, name, b"/pay/")
    left_ms = int(TIMEOUT_S * 1000)
    started_at = reactor.seconds()
    caller = front.open(format_call("/pay/1", "POST", b"7", left_ms))
    run_reactor_until(lambda: responses)
    # Another request to the same worker is served meanwhile.
    assert front.call("/list/1", attempt="a2")[0] == 200
    status, _, body = read_response(caller)
    caller.close()
    assert status == 502
    assert b"response" in body
    assert reactor.seconds() - started_at < MAX_HELD_S
    (response,) = responses
    run_reactor_until(lambda: response.is_closed)
    assert response.sent_bytes < (RESPONSES_BY_NAME[name][2] or HEAD_LIMIT)


def test_idempotent_request_is_retried_after_an_endless_response(mesh):
    responses = []
    front, bad, good = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    bad.request_handler = make_endless(responses, "chunks")
    for number in range(6):
        assert front.call("/read/1", attempt=f"a{number}", left_ms=15_000)[0] == 200
        if responses:
            break
    assert responses and len(good.requests) >= 1


@pytest.mark.parametrize("name", ["header fields", "interim responses", "chunks"])
def test_fetch_ends_an_endless_response(name):
    """Guards against a store or health check that fills the memory of a node."""
    worker = Worker()
    responses = []
    worker.answer = make_endless(responses, name)
    pool = ConnectionPool(reactor, 1.0)
    address = ("127.0.0.1", worker.port)
    data = format_request(b"GET", b"/", address, [], b"")

    async def fetch():
        done: Deferred = Fetch(pool, address, data, max_bytes=1 << 20).start(10.0)
        return await done

    result = run(fetch())
    assert result.kind is ErrorKind.UPSTREAM_LOST
    assert "too large" in result.reason
    (response,) = responses
    run_reactor_until(lambda: response.is_closed)
    assert response.sent_bytes < (1 << 20) + SOCKET_BYTES
    worker.close()
