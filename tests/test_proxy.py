"""Tests of suspect requests, draining and startup of the proxy."""

import pytest
from twisted.internet.defer import Deferred

from bamboocove.coordination import suspects
from bamboocove.protocol.messages import SuspectNotice
from bamboocove.state.snapshot import compile_snapshot
from tests.callpath import (
    make_config,
    make_request,
    run_mesh,
    run_reactor_until,
)


@pytest.fixture(name="mesh")
def make_mesh():
    yield from run_mesh()


def test_poison_request_is_stopped(mesh):
    """Guards against sending a request that crashes workers to more than two."""
    workers = [mesh.add_worker() for _ in range(4)]
    for worker in workers:
        worker.answer = worker.crash
    mesh.start()
    data = mesh.call(make_request("PUT", body=b"poison"))
    assert data.startswith(b"HTTP/1.1 502 ")
    assert b"bamboocove-run: unknown" in data
    for _ in range(5):
        data = mesh.call(make_request("PUT", body=b"poison"))
        assert data.startswith(b"HTTP/1.1 422 ")
    run_reactor_until(lambda: len(mesh.notices) == 2)
    assert mesh.notices[0].ttl_s == suspects.UNCONFIRMED_TTL_S
    assert mesh.notices[1].ttl_s == suspects.SUSPECT_TTL_S
    assert mesh.notices[1].crashes == 2
    assert sum(len(worker.exchanges) for worker in workers) == 2
    for worker in workers:
        worker.answer = worker.echo
    assert mesh.call(make_request("PUT", body=b"well")).startswith(b"HTTP/1.1 200 ")


def test_copies_of_a_poison_request_share_one_retry(mesh):
    """Guards against losing one more worker for each copy of a poison request."""
    workers = [mesh.add_worker() for _ in range(6)]
    for worker in workers:
        worker.answer = worker.wait
    mesh.start()
    callers = [mesh.open(make_request()) for _ in range(3)]
    run_reactor_until(lambda: sum(len(worker.exchanges) for worker in workers) == 3)
    exchanges = [exchange for worker in workers for exchange in worker.exchanges]
    for worker in workers:
        worker.answer = worker.crash
    for exchange in exchanges:
        exchange.abort()
    for caller in callers:
        assert b" 502 " in caller.read_until(lambda data: b"\r\n\r\n" in data)
    assert sum(len(worker.exchanges) for worker in workers) == 4


def test_idempotent_call_survives_the_crash_of_a_worker(mesh):
    """An idempotent call is retried on another worker when its worker crashes."""
    workers = [mesh.add_worker() for _ in range(2)]
    for worker in workers:
        worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(make_request("PUT", body=b"a"))
    run_reactor_until(lambda: any(worker.exchanges for worker in workers))
    lost, other = sorted(workers, key=lambda worker: not worker.exchanges)
    other.answer = other.echo
    lost.crash(lost.exchanges[0])
    data = caller.read_until(lambda data: data.endswith(b"a"))
    assert data.startswith(b"HTTP/1.1 200 ")
    assert mesh.call(make_request("PUT", body=b"a")).startswith(b"HTTP/1.1 200 ")


def test_call_that_is_refused_after_a_loss_may_have_run(mesh):
    """Guards against "not run" if the first worker was lost and the second refuses."""
    workers = [mesh.add_worker() for _ in range(2)]
    for worker in workers:
        worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(make_request())
    run_reactor_until(lambda: any(worker.exchanges for worker in workers))
    lost, other = sorted(workers, key=lambda worker: not worker.exchanges)
    other.answer = other.shed
    lost.crash(lost.exchanges[0])
    data = caller.read_until(lambda data: b"\r\n\r\n" in data)
    assert data.startswith(b"HTTP/1.1 502 ")
    assert b"bamboocove-run: unknown" in data


def test_lost_connection_of_a_running_worker_blocks_briefly(mesh, monkeypatch):
    """Guards against blocking a harmless request for long after one lost connection.

    The worker still accepts connections, so it did not crash.
    """
    monkeypatch.setattr(suspects, "UNCONFIRMED_TTL_S", 0.05)
    worker = mesh.add_worker()
    worker.answer = worker.lose
    mesh.start()
    assert mesh.call(make_request()).startswith(b"HTTP/1.1 502 ")
    worker.answer = worker.echo
    run_reactor_until(lambda: mesh.notices)
    assert mesh.notices[0].ttl_s == 0.05
    run_reactor_until(lambda: mesh.call(make_request()).startswith(b"HTTP/1.1 200 "))


def test_suspect_notice_of_a_peer_blocks_the_request(mesh):
    """Guards against a poison request that crashes one worker per node."""
    worker = mesh.add_worker()
    mesh.start()
    subject = ("orders", b"GET", b"/orders/1", b"")
    fingerprint = suspects.make_fingerprint(subject)
    mesh.proxy.post(SuspectNotice(fingerprint, "orders", 60.0, 1))
    assert b"suspect_request" in mesh.call(make_request())
    assert not worker.exchanges
    assert mesh.call(make_request(path="/orders/2")).startswith(b"HTTP/1.1 200 ")


def test_drain_waits_for_calls_in_flight(mesh):
    """Guards against a planned shutdown that interrupts a running request."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(make_request())
    run_reactor_until(lambda: worker.exchanges)
    drained = []
    draining, mesh.proxy = mesh.proxy, None
    Deferred.fromCoroutine(draining.drain()).addCallback(drained.append)
    assert not drained
    data = mesh.call(make_request())
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"draining" in data
    worker.exchanges[0].respond(200, [], b"done")
    assert caller.read_until(lambda data: False).endswith(b"done")
    run_reactor_until(lambda: drained)


def test_refuses_calls_without_a_configuration(mesh):
    """Guards against routing calls before a configuration was received."""
    mesh.start()
    mesh.proxy._active.current = compile_snapshot(make_config(revision=0))
    assert b"not_ready" in mesh.call(make_request())
