"""Tests of streaming, back pressure, truncation and cancellation of one call."""

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
    """Guards against altered targets, headers or bodies of a forwarded call."""
    worker = mesh.add_worker()
    mesh.start()
    data = mesh.call(make_request("PUT", "/orders/1?a=b", b"hello", x_a="1"))
    assert data.startswith(b"HTTP/1.1 200 OK\r\nx-path: /orders/1?a=b\r\n")
    assert data.endswith(b"\r\n\r\nhello")
    assert (b"x-a", b"1") in worker.exchanges[0].headers


def test_streams_large_bodies(mesh):
    """Guards against large bodies that are truncated, reordered or refused."""
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
    """Guards against buffering a whole response for a caller that does not read.

    Back pressure must pause the worker before it has sent all 64 MB.
    """
    worker = mesh.add_worker()
    sent = []

    class Producer:
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
        producer = Producer()
        exchange.connection.register_producer(producer)
        producer.send()

    worker.answer = answer
    mesh.start()
    mesh.open(make_request())
    timeouts = []
    reactor.callLater(0.5, timeouts.append, 1)
    run_reactor_until(lambda: timeouts)
    assert 0 < len(sent) < 40


def test_slow_worker_pauses_the_caller(mesh):
    """Guards against buffering a whole request for a worker that does not read."""
    worker = mesh.add_worker()
    worker.answer = lambda exchange: None
    mesh.start(calls__max_body_bytes=str(1 << 30))
    head = make_request("PUT", content_length=1 << 30)
    caller = mesh.open(head)
    sent = 0
    timeouts = []
    reactor.callLater(0.5, timeouts.append, 1)

    def send():
        nonlocal sent
        try:
            sent += caller.socket.send(MEGABYTE)
        except BlockingIOError:
            pass
        return timeouts

    run_reactor_until(send)
    assert (1 << 16) < sent < (40 << 20)


def test_head_is_passed_on_before_the_body(mesh):
    """Guards against holding back a response head until the first body data."""
    worker = mesh.add_worker()

    def answer(exchange):
        exchange.start(200, [(b"x-stream", b"1")], -1)
        exchange.write(b"")

    worker.answer = answer
    mesh.start()
    caller = mesh.open(make_request())
    assert caller.read_until(lambda data: data.endswith(b"\r\n\r\n"))


def test_body_that_grows_too_large_may_have_run(mesh):
    """Guards against "not run" for a request that was partly sent to a worker.

    Its chunked body exceeds the size limit only after dispatch.
    """
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


def test_truncated_response_is_not_completed(mesh):
    """Guards against ending a truncated response as if it were complete."""
    worker = mesh.add_worker()

    def truncate(exchange):
        exchange.start(200, [], -1)
        exchange.write(b"part")
        reactor.callLater(0.05, exchange.abort)

    worker.answer = truncate
    mesh.start()
    caller = mesh.open(make_request())
    data = caller.read_until(lambda data: False)
    assert data.endswith(b"4\r\npart\r\n")
    assert caller.is_closed


def test_closed_caller_cancels_the_request(mesh):
    """Guards against a worker running a request after its caller disconnected."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(make_request())
    run_reactor_until(lambda: worker.exchanges)
    caller.close()
    run_reactor_until(lambda: worker.closed and not mesh.proxy.in_flight)


def test_late_response_is_discarded(mesh):
    """Guards against forwarding a late response to a different request."""
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


def test_refusal_with_an_endless_body_is_passed_on_at_once(mesh):
    """Guards against a refused call that waits for its deadline."""
    worker = mesh.add_worker()

    def refuse(exchange):
        exchange.start(503, [(b"bamboocove-run", b"not-run")], -1)
        exchange.write(b"busy")

        def go_on():
            if not exchange.is_closed:
                exchange.write(b"x" * 4096)
                reactor.callLater(0, go_on)

        go_on()

    worker.answer = refuse
    mesh.start()
    started_at = reactor.seconds()
    data = mesh.call(make_request(bamboocove_deadline_ms=4000))
    assert data.startswith(b"HTTP/1.1 503") and b"bamboocove-run: not-run" in data
    assert reactor.seconds() - started_at < 2.0
    run_reactor_until(lambda: worker.closed)
