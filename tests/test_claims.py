"""End-to-end tests of idempotency keys."""

import pytest

from bamboocove import claims
from tests.callpath import (
    make_confirm_request,
    make_request,
    run_mesh,
    run_reactor_until,
)


@pytest.fixture(name="mesh")
def make_mesh():
    yield from run_mesh()


def test_key_is_required_and_runs_once(mesh):
    """Guards against running a non-idempotent request twice."""
    worker = mesh.add_worker()
    mesh.start()
    data = mesh.call(make_request("POST", "/confirmations", b"x"))
    assert data.startswith(b"HTTP/1.1 400 ")
    assert b"key_required" in data
    first = mesh.call(make_confirm_request())
    run_reactor_until(lambda: not mesh.proxy.in_flight)
    assert mesh.call(make_confirm_request()) == first
    assert b"key_reused" in mesh.call(make_confirm_request(body=b"order 2"))
    assert len(worker.exchanges) == 1


def test_key_stays_blocked_while_the_outcome_is_unknown(mesh):
    """Guards against a second run while the outcome of the first is unknown."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(make_confirm_request())
    run_reactor_until(lambda: worker.exchanges)
    assert b"key_in_progress" in mesh.call(make_confirm_request())
    caller.close()
    run_reactor_until(lambda: not mesh.proxy.in_flight)
    assert b"bamboocove-run: unknown" in mesh.call(make_confirm_request())
    assert len(worker.exchanges) == 1


@pytest.mark.parametrize("answers", [["unavailable"], ["dropped"]])
def test_request_without_a_claim_is_not_run(mesh, answers, monkeypatch):
    """Guards against running a request whose claim the store did not confirm."""
    monkeypatch.setattr(claims, "MIN_ABSENT_READS", 2)
    worker = mesh.add_worker()
    mesh.start()
    mesh.table.answers = answers
    data = mesh.call(make_confirm_request())
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"bamboocove-run: not-run" in data
    assert not worker.exchanges


def test_unknown_claim_is_removed_later(mesh):
    """Guards against a key that stays blocked after its claim was unconfirmed.

    The write succeeds but its response is lost, so the claim is withdrawn later.
    """
    worker = mesh.add_worker()
    mesh.start()
    mesh.table.answers, mesh.table.read_answers = (
        ["lost"],
        ["unavailable", "unavailable"],
    )
    assert b"store_unknown" in mesh.call(make_confirm_request())
    assert not worker.exchanges
    run_reactor_until(
        lambda: mesh.get_claim_states() == ["released"] and not mesh.proxy.in_flight
    )
    assert mesh.call(make_confirm_request()).startswith(b"HTTP/1.1 200 ")
