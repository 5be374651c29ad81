"""Tests of worker selection, retries, deadlines and queueing."""

import pytest
from twisted.internet import reactor
from twisted.internet.task import deferLater

from bamboocove import dispatcher, proxy
from bamboocove.state.config import Move
from tests.callpath import (
    get_refusing_port,
    make_confirm_request,
    make_member,
    make_request,
    run_mesh,
    run_reactor_until,
)

MOVE = Move("m", "orders", "v1", "v2", 1e12, "stepping", 0.5, 2)


@pytest.fixture(name="mesh")
def make_mesh():
    yield from run_mesh()


def test_refused_connection_is_retried(mesh):
    """A call must not fail if a worker refused the connection and another is up."""
    worker = mesh.add_worker()
    unreachable = [make_member(index, get_refusing_port()) for index in (1, 2)]
    mesh.start(*unreachable, make_member(3, worker.port))
    for index in range(3):
        assert mesh.call(make_confirm_request(f"k{index}")).startswith(b"HTTP/1.1 200 ")
    assert len(worker.exchanges) == 3


def test_only_a_proven_refusal_is_retried(mesh):
    """Guards against running a request twice.

    Only a 503 with "bamboocove-run: not-run" proves that the worker did not run
    it. A plain 503, a 500 with that header and a lost connection do not.
    """
    first, second = mesh.add_worker(), mesh.add_worker()
    first.answer = first.shed
    mesh.start()
    for _ in range(6):
        assert mesh.call(make_request()).startswith(b"HTTP/1.1 200 ")
    assert first.exchanges
    for number, answer in enumerate(
        (
            lambda exchange: exchange.respond(503, [], b"plain"),
            lambda exchange: exchange.respond(500, [(b"bamboocove-run", b"not-run")]),
            lambda exchange: exchange.abort(),
        )
    ):
        first.answer = second.answer = answer
        runs_before = len(first.exchanges) + len(second.exchanges)
        data = mesh.call(make_confirm_request(f"k{number}"))
        assert data[9:10] == b"5"
        assert b"bamboocove-run: not-run" not in data
        assert len(first.exchanges) + len(second.exchanges) == runs_before + 1


def test_shed_deferrable_call_is_not_retried(mesh):
    """Guards against retries of deferrable calls while workers shed load."""
    first, second = mesh.add_worker(), mesh.add_worker()
    first.answer, second.answer = first.shed, second.shed
    mesh.start()
    data = mesh.call(make_request(path="/reports"))
    assert data.startswith(b"HTTP/1.1 503 ")
    assert len(first.exchanges) + len(second.exchanges) == 1


def test_keyed_call_opens_a_new_connection(mesh, monkeypatch):
    """Guards against an unknown outcome of a call that must not run twice.

    The worker may close an idle connection just as the request is written to it.
    """
    monkeypatch.setattr(dispatcher, "KEYED_MAX_IDLE_S", 0.0)
    worker = mesh.add_worker()
    mesh.start()
    mesh.call(make_request())
    mesh.call(make_request())
    mesh.call(make_confirm_request())
    first, second, third = (exchange.connection for exchange in worker.exchanges)
    assert first is second
    assert third is not second
    run_reactor_until(lambda: len(worker.server.connections) == 1)


def test_refusal_by_all_workers_is_passed_on(mesh):
    """Guards against "unknown" for a request that no worker ran.

    The claim is released slowly; the response must wait for the release.
    """
    worker = mesh.add_worker()
    worker.answer = worker.shed
    mesh.start()
    transact = mesh.table.transact

    async def transact_slowly(transaction):
        if transaction.writes[0].value is None:
            await deferLater(reactor, 0.1)
        return await transact(transaction)

    mesh.table.transact = transact_slowly
    data = mesh.call(make_confirm_request())
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"bamboocove-run: not-run" in data
    assert mesh.get_claim_states() == ["released"], "the key can be reused"


def test_deadline_header_is_lowered_and_enforced(mesh):
    """Guards against a worker running a request after the caller's deadline."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    data = mesh.call(make_request(bamboocove_deadline_ms=80))
    assert data.startswith(b"HTTP/1.1 504 ")
    assert b"deadline_after_dispatch" in data
    assert b"bamboocove-run: unknown" in data
    deadline_ms = dict(worker.exchanges[0].headers)[b"bamboocove-deadline-ms"]
    assert 0 < int(deadline_ms) < 80
    run_reactor_until(lambda: worker.closed)
    data = mesh.call(make_request(bamboocove_deadline_ms=0))
    assert b"bamboocove-run: not-run" in data
    assert len(worker.exchanges) == 1


def test_call_that_expires_in_the_queue_is_not_run(mesh):
    """Guards against "unknown" for a call that expired before it was dispatched."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start(make_member(1, worker.port, connections=1))
    mesh.open(make_request())
    run_reactor_until(lambda: worker.exchanges)
    data = mesh.call(make_request(bamboocove_deadline_ms=50))
    assert b"deadline_before_dispatch" in data
    assert b"bamboocove-run: not-run" in data


def test_calls_wait_for_a_free_connection(mesh, monkeypatch):
    """Guards against exceeding a worker's connection limit, and stuck queued calls."""
    monkeypatch.setattr(proxy, "SWEEP_INTERVAL_S", 60.0)
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start(make_member(1, worker.port, connections=1))
    first = mesh.open(make_request(path="/orders/1"))
    run_reactor_until(lambda: worker.exchanges)
    second = mesh.open(make_request(path="/orders/2"))
    run_reactor_until(lambda: mesh.proxy.in_flight == 2)
    assert len(worker.exchanges) == 1
    worker.answer = worker.echo
    worker.exchanges[0].respond(200, [], b"first")
    assert first.read_until(lambda data: b"first" in data)
    assert b"/orders/2" in second.read_until(lambda data: b"x-path" in data)


def test_braked_move_sends_no_calls_to_the_new_version(mesh):
    """Guards against calls to a new version whose brake this node has set."""
    old, new = mesh.add_worker(), mesh.add_worker()
    braked = []
    members = make_member(1, old.port), make_member(2, new.port, "v2")
    mesh.start(*members, moves=(MOVE,), is_braked=braked.__contains__)
    for _ in range(20):
        mesh.call(make_request())
    assert old.exchanges and new.exchanges
    calls_before = len(new.exchanges)
    braked.append("m")
    for _ in range(10):
        mesh.call(make_request())
    assert len(new.exchanges) == calls_before


def test_old_version_takes_calls_without_workers_of_the_new_one(mesh):
    """Guards against errors while the new version has no ready worker."""
    old = mesh.add_worker()
    mesh.start(make_member(1, old.port), moves=(MOVE,))
    for _ in range(10):
        assert mesh.call(make_request()).startswith(b"HTTP/1.1 200 ")


def test_call_outcomes_are_counted_as_evidence_of_a_move(mesh):
    """Guards against call outcomes that are missing from the evidence of a move."""
    old, new = mesh.add_worker(), mesh.add_worker()
    new.answer = lambda exchange: exchange.respond(500, [])
    members = make_member(1, old.port), make_member(2, new.port, "v2")
    mesh.start(*members, moves=(MOVE,))
    for _ in range(20):
        mesh.call(make_request())
    evidence = mesh.proxy.take_evidence(reactor.seconds() + 1.0)
    assert sum(item.old.calls for item in evidence) == len(old.exchanges)
    assert sum(item.new.failures for item in evidence) == len(new.exchanges) > 0
    assert {item.revision for item in evidence} == {1}


def test_draining_worker_gets_no_calls(mesh):
    """Guards against new calls to a worker that is draining."""
    first, second = mesh.add_worker(), mesh.add_worker()
    draining = make_member(1, first.port, state="draining")
    mesh.start(draining, make_member(2, second.port))
    for _ in range(6):
        assert mesh.call(make_request()).startswith(b"HTTP/1.1 200 ")
    assert not first.exchanges


def test_repeated_refusal_is_no_proof_for_the_next_request(mesh):
    """Guards against a payment that runs at two workers.

    A worker sent its refusal of an earlier request once more on the kept connection,
    while the next request there was running.
    """
    first, second = mesh.add_worker(), mesh.add_worker()
    refusal = b"HTTP/1.1 503 X\r\nbamboocove-run: not-run\r\ncontent-length: 0\r\n\r\n"
    refused_on = set()
    ran = []

    def refuse_once(exchange):
        connection = exchange.connection
        if connection not in refused_on:
            refused_on.add(connection)
            first.shed(exchange)
            return
        connection.write(refusal)
        ran.append(exchange.target)
        first.echo(exchange)

    def run_it(exchange):
        ran.append(exchange.target)
        second.echo(exchange)

    first.answer, second.answer = refuse_once, run_it
    mesh.start()
    for number in range(8):
        before = len(ran)
        data = mesh.call(make_confirm_request(f"k{number}"))
        assert data.startswith(b"HTTP/1.1 200 ")
        assert len(ran) == before + 1
    assert refused_on
