"""One call: bodies and responses are streamed, cut ones are seen as cut."""

import pytest
from twisted.internet import reactor

from tests.callpath import (
    make_request,
    run_mesh,
    run_reactor_until,
)

MEGABYTE = b"x" * (1 << 20)


@pytest.fixture(name="mesh")
def make_mesh():
    yield from run_mesh()


def test_forwards_a_call_and_its_body(mesh):
    """Guards against lost or altered requests and responses."""
    worker = mesh.add_worker()
    mesh.start()
    data = mesh.call(make_request("PUT", "/orders/1?a=b", b"hello", x_a="1"))
    assert data.startswith(b"HTTP/1.1 200 OK\r\nx-path: /orders/1?a=b\r\n")
    assert data.endswith(b"\r\n\r\nhello")
    assert (b"x-a", b"1") in worker.exchanges[0].headers


def test_streams_large_bodies(mesh):
    """Guards against bodies cut, reordered or refused for their size."""
    mesh.add_worker()
    mesh.start()
    body = bytes(range(256)) * (5 << 12)
    caller = mesh.open()
    data = make_request("PUT", body=body)

    def send_and_read():
        nonlocal data
        try:
            data = data[caller.socket.send(data) :] if data else data
        except BlockingIOError:
            pass
        caller._read()
        return caller.data.endswith(body)

    run_reactor_until(send_and_read)


def test_slow_caller_pauses_the_worker(mesh):
    """Guards against a whole response held for a caller that does not read."""
    worker = mesh.add_worker()
    sent = []

    class Source:
        is_paused = False

        def pauseProducing(self):
            self.is_paused = True

        def resumeProducing(self):
            self.is_paused = False
            reactor.callLater(0, self.send)

        def stopProducing(self):
            self.is_paused = True

        def send(self):
            while not self.is_paused and len(sent) < 64:
                sent.append(1)
                worker.exchanges[0].write(MEGABYTE)

    def answer(exchange):
        exchange.start(200, [], 64 << 20)
        source = Source()
        exchange.connection.set_producer(source)
        source.send()

    worker.answer = answer
    mesh.start()
    mesh.open(make_request())
    ends = []
    reactor.callLater(0.5, ends.append, 1)
    run_reactor_until(lambda: ends)
    assert 0 < len(sent) < 40


def test_slow_worker_pauses_the_caller(mesh):
    """Guards against a whole request held for a worker that does not read."""
    worker = mesh.add_worker()
    worker.answer = lambda exchange: None
    mesh.start(calls__max_body_bytes=str(1 << 30))
    head = make_request("PUT", content_length=1 << 30)
    caller = mesh.open(head)
    sent = 0
    ends = []
    reactor.callLater(0.5, ends.append, 1)

    def send():
        nonlocal sent
        try:
            sent += caller.socket.send(MEGABYTE)
        except BlockingIOError:
            pass
        return ends

    run_reactor_until(send)
    assert (1 << 16) < sent < (40 << 20)


def test_head_is_passed_on_before_the_body(mesh):
    """Guards against a stream whose head waits for its first event."""
    worker = mesh.add_worker()

    def answer(exchange):
        exchange.start(200, [(b"x-stream", b"1")], -1)
        exchange.write(b"")

    worker.answer = answer
    mesh.start()
    caller = mesh.open(make_request())
    assert caller.read_until(lambda data: data.endswith(b"\r\n\r\n"))


def test_body_that_grows_too_large_may_have_run(mesh):
    """Guards against "not run" after a part of the request was dispatched."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start(calls__max_body_bytes="100000")
    caller = mesh.open(make_request("PUT", transfer_encoding="chunked"))
    caller.send(b"11170\r\n" + b"x" * 70000 + b"\r\n")
    run_reactor_until(lambda: worker.exchanges)
    caller.send(b"11170\r\n" + b"x" * 70000 + b"\r\n")
    data = caller.read_until(lambda data: False)
    assert data.startswith(b"HTTP/1.1 413 ")
    assert b"bamboocove-run: unknown" in data
    run_reactor_until(lambda: worker.closed)


def test_cut_response_is_seen_as_cut(mesh):
    """Guards against a partial response that looks complete."""
    worker = mesh.add_worker()

    def cut(exchange):
        exchange.start(200, [], -1)
        exchange.write(b"part")
        reactor.callLater(0.05, exchange.abort)

    worker.answer = cut
    mesh.start()
    caller = mesh.open(make_request())
    data = caller.read_until(lambda data: False)
    assert data.endswith(b"4\r\npart\r\n")
    assert caller.is_closed


def test_closed_caller_cancels_the_request(mesh):
    """Guards against work for a caller that is gone."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(make_request())
    run_reactor_until(lambda: worker.exchanges)
    caller.close()
    run_reactor_until(lambda: worker.closed and not mesh.proxy.in_flight)


def test_late_response_reaches_nobody(mesh):
    """Guards against a caller that gets the response to another request."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    assert b"504" in mesh.call(
        make_request(path="/orders/1", bamboocove_deadline_ms=30)
    )
    worker.exchanges[0].respond(200, [(b"x-path", b"late")])
    worker.answer = worker.echo
    for index in range(2, 5):
        data = mesh.call(make_request(path=f"/orders/{index}"))
        assert f"x-path: /orders/{index}\r\n".encode() in data
