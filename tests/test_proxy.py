"""Calls end to end over loopback sockets."""

import pytest
from twisted.internet import reactor

from bamboocove.transport.calls import CallServer
from tests.callpath import Caller, make_config, make_member, make_proxy, make_table, run


def request(method="GET", path="/orders/1", body=b"", **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: a", "bamboocove-service: orders"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Worker:
    """A worker that echoes the body, or does what a test tells it to."""

    def __init__(self):
        self.exchanges = []
        self.answer = self.echo
        self.server = CallServer(self.on_request, 1 << 24, reactor)
        self.listener = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.port = self.listener.getHost().port

    def on_request(self, exchange):
        self.exchanges.append(exchange)
        self.answer(exchange)

    def echo(self, exchange):
        body = []
        exchange.receive(
            body.append,
            lambda: exchange.respond(
                200, [(b"x-path", exchange.target)], b"".join(body)
            ),
        )

    def close(self):
        self.listener.stopListening()
        for connection in list(self.server.connections):
            connection.abort()


@pytest.fixture
def worker():
    worker = Worker()
    yield worker
    worker.close()


def test_forwards_a_call_and_its_body(worker):
    """Guards against lost or altered requests and responses."""
    proxy = make_proxy(make_table(make_member(1, worker.port)), make_config())
    caller = Caller(run(proxy.start()))
    caller.send(request("PUT", "/orders/1?a=b", b"hello"))
    data = caller.read_until(lambda data: data.endswith(b"hello"))
    assert data.startswith(b"HTTP/1.1 200 OK\r\nx-path: /orders/1?a=b\r\n")
    assert data.endswith(b"\r\n\r\nhello")
    caller.close()
    run(proxy.drain())
