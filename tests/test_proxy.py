"""Suspect requests and the life cycle of the task."""

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
    """Guards against a request that crashes one worker after the other."""
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
    assert mesh.notices[0].ttl_s == suspects.DOUBT_S
    assert mesh.notices[1].ttl_s == suspects.SUSPECT_S
    assert mesh.notices[1].crashes == 2
    assert sum(len(worker.exchanges) for worker in workers) == 2
    for worker in workers:
        worker.answer = worker.echo
    assert mesh.call(make_request("PUT", body=b"well")).startswith(b"HTTP/1.1 200 ")


def test_copies_of_a_poison_request_share_one_trial(mesh):
    """Guards against one more worker lost for each copy in flight."""
    workers = [mesh.add_worker() for _ in range(6)]
    for worker in workers:
        worker.answer = worker.wait
    mesh.start()
    callers = [mesh.open(make_request()) for _ in range(3)]
    run_reactor_until(lambda: sum(len(worker.exchanges) for worker in workers) == 3)
    held = [exchange for worker in workers for exchange in worker.exchanges]
    for worker in workers:
        worker.answer = worker.crash
    for exchange in held:
        exchange.abort()
    for caller in callers:
        assert b" 502 " in caller.read_until(lambda data: b"\r\n\r\n" in data)
    assert sum(len(worker.exchanges) for worker in workers) == 4


def test_idempotent_call_survives_the_crash_of_a_worker(mesh):
    """Guards against errors for all calls that a crashing worker was running."""
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
    """Guards against "not run" for a request that the lost worker may have run."""
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


def test_lost_connection_of_a_live_worker_blocks_briefly(mesh, monkeypatch):
    """Guards against healthy requests refused because a worker closed once."""
    monkeypatch.setattr(suspects, "DOUBT_S", 0.05)
    worker = mesh.add_worker()
    worker.answer = worker.lose
    mesh.start()
    assert mesh.call(make_request()).startswith(b"HTTP/1.1 502 ")
    worker.answer = worker.echo
    run_reactor_until(lambda: mesh.notices)
    assert mesh.notices[0].ttl_s == 0.05
    run_reactor_until(lambda: mesh.call(make_request()).startswith(b"HTTP/1.1 200 "))


def test_notice_of_a_peer_blocks(mesh):
    """Guards against a crash on each node that a poison request reaches."""
    worker = mesh.add_worker()
    mesh.start()
    subject = ("orders", b"GET", b"/orders/1", b"")
    fingerprint = suspects.make_fingerprint(subject)
    mesh.proxy.post(SuspectNotice(fingerprint, "orders", 60.0, 1))
    assert b"suspect_request" in mesh.call(make_request())
    assert not worker.exchanges
    assert mesh.call(make_request(path="/orders/2")).startswith(b"HTTP/1.1 200 ")


def test_drain_waits_for_calls_in_flight(mesh):
    """Guards against a planned stop that interrupts a request."""
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


def test_serves_nothing_without_a_configuration(mesh):
    """Guards against routing from an empty configuration after a start."""
    mesh.start()
    mesh.proxy._active.current = compile_snapshot(make_config(revision=0))
    assert b"not_ready" in mesh.call(make_request())
