"""Choice of the worker, retries, deadlines and waiting calls."""

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
    """Guards against an error for a call that no worker has seen."""
    worker = mesh.add_worker()
    dead = [make_member(index, get_refusing_port()) for index in (1, 2)]
    mesh.start(*dead, make_member(3, worker.port))
    for index in range(3):
        assert mesh.call(make_confirm_request(f"k{index}")).startswith(b"HTTP/1.1 200 ")
    assert len(worker.exchanges) == 3


def test_only_a_proven_refusal_is_retried(mesh):
    """Guards against a second run of a request that may have run."""
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
        ran = len(first.exchanges) + len(second.exchanges)
        data = mesh.call(make_confirm_request(f"k{number}"))
        assert data[9:10] == b"5"
        assert b"bamboocove-run: not-run" not in data
        assert len(first.exchanges) + len(second.exchanges) == ran + 1


def test_shed_deferrable_call_is_not_retried(mesh):
    """Guards against deferrable retries at workers that shed load."""
    first, second = mesh.add_worker(), mesh.add_worker()
    first.answer, second.answer = first.shed, second.shed
    mesh.start()
    data = mesh.call(make_request(path="/reports"))
    assert data.startswith(b"HTTP/1.1 503 ")
    assert len(first.exchanges) + len(second.exchanges) == 1


def test_keyed_call_avoids_idle_connections(mesh, monkeypatch):
    """Guards against an unknown outcome because the worker closed meanwhile."""
    monkeypatch.setattr(dispatcher, "KEYED_MAX_IDLE_S", 0.0)
    worker = mesh.add_worker()
    mesh.start()
    mesh.call(make_request())
    mesh.call(make_request())
    mesh.call(make_confirm_request())
    first, second, third = (held.connection for held in worker.exchanges)
    assert first is second
    assert third is not second
    run_reactor_until(lambda: len(worker.server.connections) == 1)


def test_refusal_by_all_workers_is_passed_on(mesh):
    """Guards against "unknown" for a request that was certainly not run."""
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
    assert mesh.get_claim_states() == ["released"], "the key can be used again"


def test_deadline_is_lowered_and_kept(mesh):
    """Guards against work for a caller whose time has passed."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    data = mesh.call(make_request(bamboocove_deadline_ms=80))
    assert data.startswith(b"HTTP/1.1 504 ")
    assert b"deadline_after_dispatch" in data
    assert b"bamboocove-run: unknown" in data
    passed = dict(worker.exchanges[0].headers)[b"bamboocove-deadline-ms"]
    assert 0 < int(passed) < 80
    run_reactor_until(lambda: worker.closed)
    data = mesh.call(make_request(bamboocove_deadline_ms=0))
    assert b"bamboocove-run: not-run" in data
    assert len(worker.exchanges) == 1


def test_deadline_in_the_queue_is_not_run(mesh):
    """Guards against "unknown" for a call that never left the node."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start(make_member(1, worker.port, connections=1))
    mesh.open(make_request())
    run_reactor_until(lambda: worker.exchanges)
    data = mesh.call(make_request(bamboocove_deadline_ms=50))
    assert b"deadline_before_dispatch" in data
    assert b"bamboocove-run: not-run" in data


def test_calls_wait_for_a_free_connection(mesh, monkeypatch):
    """Guards against connections above the worker's limit, and lost waiters."""
    monkeypatch.setattr(proxy, "SWEEP_S", 60.0)
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


def test_new_version_gets_no_calls_under_the_brake(mesh):
    """Guards against calls to a version that this node found bad."""
    old, new = mesh.add_worker(), mesh.add_worker()
    braked = []
    members = make_member(1, old.port), make_member(2, new.port, "v2")
    mesh.start(*members, moves=(MOVE,), is_braked=braked.__contains__)
    for _ in range(20):
        mesh.call(make_request())
    assert old.exchanges and new.exchanges
    seen = len(new.exchanges)
    braked.append("m")
    for _ in range(10):
        mesh.call(make_request())
    assert len(new.exchanges) == seen


def test_old_version_takes_what_the_new_one_cannot(mesh):
    """Guards against errors while no worker of the new version is ready."""
    old = mesh.add_worker()
    mesh.start(make_member(1, old.port), moves=(MOVE,))
    for _ in range(10):
        assert mesh.call(make_request()).startswith(b"HTTP/1.1 200 ")


def test_counts_evidence_of_a_move(mesh):
    """Guards against outcomes that the judgement never sees."""
    old, new = mesh.add_worker(), mesh.add_worker()
    new.answer = lambda exchange: exchange.respond(500, [])
    members = make_member(1, old.port), make_member(2, new.port, "v2")
    mesh.start(*members, moves=(MOVE,))
    for _ in range(20):
        mesh.call(make_request())
    evidence = mesh.proxy.take_evidence(reactor.seconds() + 1.0)
    assert sum(held.old.calls for held in evidence) == len(old.exchanges)
    assert sum(held.new.failures for held in evidence) == len(new.exchanges) > 0
    assert {held.revision for held in evidence} == {1}


def test_draining_worker_gets_no_calls(mesh):
    """Guards against new work for a worker that is leaving."""
    first, second = mesh.add_worker(), mesh.add_worker()
    draining = make_member(1, first.port, state="draining")
    mesh.start(draining, make_member(2, second.port))
    for _ in range(6):
        assert mesh.call(make_request()).startswith(b"HTTP/1.1 200 ")
    assert not first.exchanges
