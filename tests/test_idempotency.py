"""Tests of claims of idempotency keys, also when the store loses answers."""

import pytest
from twisted.internet.defer import Deferred

from bamboocove.coordination.idempotency import (
    Claim,
    ClaimRecord,
    Outcome,
    check_key,
    claim_key,
    digest_request,
    record_outcome,
    release_claim,
    retry_write,
    withdraw_claim,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.memory_platform import MemoryTable

RECORD = ClaimRecord(b"digest", "n1", 10.0)
ROW = "idempotency/orders/k"


def result_of(coroutine):
    results = []
    Deferred.fromCoroutine(coroutine).addCallback(results.append)
    return results[0]


def claim(table, record=RECORD, operation_id="op1", now=0.0):
    return result_of(claim_key(table, "orders", "k", record, operation_id, now))


def test_second_request_with_a_key_gets_the_recorded_outcome():
    """Guards against a request that is executed twice, such as a payment."""
    table = MemoryTable()
    held = claim(table)
    assert isinstance(held, Claim)
    assert claim(table, operation_id="op2").kind is ErrorKind.KEY_IN_PROGRESS
    outcome = Outcome(201, ((b"x", b"y"),), b"done")
    assert result_of(record_outcome(table, held, outcome, "op3")) is None
    assert claim(table, operation_id="op4") == outcome


def test_claim_of_a_lost_node_is_unknown():
    """Guards against a key that stays "in progress" after its node has crashed."""
    table = MemoryTable()
    claim(table)
    assert claim(table, operation_id="op2", now=10.0).kind is ErrorKind.UPSTREAM_LOST


def test_unknown_outcome_is_recorded():
    """Guards against a second execution after the first response was lost."""
    table = MemoryTable()
    result_of(record_outcome(table, claim(table), None, "op2"))
    assert claim(table, operation_id="op3").kind is ErrorKind.UPSTREAM_LOST


def test_large_body_is_not_returned_in_part():
    """Guards against an incomplete response to a second request."""
    table = MemoryTable()
    result_of(record_outcome(table, claim(table), Outcome(200, (), None), "op2"))
    result = claim(table, operation_id="op3")
    assert result.kind is ErrorKind.UPSTREAM_LOST
    assert "200" in result.reason


def test_reused_key_is_refused():
    """Guards against returning the outcome of a different request."""
    table = MemoryTable()
    claim(table)
    other = ClaimRecord(b"other", "n1", 10.0)
    assert claim(table, other, "op2").kind is ErrorKind.KEY_REUSED
    assert digest_request(b"POST", b"/a", 1, b"b") != digest_request(
        b"POST", b"/a", 1, b"c"
    )


def test_lost_answer_is_read_back():
    """Guards against a refused or repeated claim after the write took effect."""
    table = MemoryTable()
    table.answers = ["lost"]
    held = claim(table)
    assert isinstance(held, Claim)
    assert result_of(release_claim(table, held, "op2")) is None
    assert isinstance(claim(table, operation_id="op3"), Claim)


@pytest.mark.parametrize("remove", ["release", "withdraw"])
def test_late_copy_of_a_removal_keeps_the_claim_of_another_node(remove):
    """Guards against a second execution after a late copy of a removal.

    A table service may restart row versions from 1 after a deletion.
    """
    table = MemoryTable()
    held = claim(table)

    def remove_claim():
        if remove == "release":
            return release_claim(table, held, "op2")
        return withdraw_claim(table, ROW, "op1", "op2")

    result_of(remove_claim())
    removal = table.transactions[-1]
    assert isinstance(claim(table, operation_id="op3"), Claim)
    result_of(table.transact(removal))
    assert claim(table, operation_id="op4").kind is ErrorKind.KEY_IN_PROGRESS


@pytest.mark.parametrize(
    ("answers", "reads", "kind"),
    [
        (["unavailable"], [], ErrorKind.STORE_UNAVAILABLE),
        (["dropped"], [], ErrorKind.STORE_UNKNOWN),
        (["lost"], ["unavailable"], ErrorKind.STORE_UNKNOWN),
    ],
)
def test_unconfirmed_write_yields_no_claim(answers, reads, kind):
    """Guards against dispatching a request without a claim."""
    table = MemoryTable()
    table.answers, table.read_answers = answers, reads
    assert claim(table).kind is kind


def test_withdraws_only_the_claim_of_its_operation():
    """Guards against a claim left in place, and against removing another one."""
    table = MemoryTable()
    withdraw = withdraw_claim(table, ROW, "op1", "op2")
    assert result_of(withdraw).kind is ErrorKind.NOT_FOUND
    claim(table)
    assert result_of(withdraw_claim(table, ROW, "op9", "op3")) is None
    assert ROW in table.state.rows_by_key
    assert result_of(withdraw_claim(table, ROW, "op1", "op4")) is None
    assert isinstance(claim(table, operation_id="op5"), Claim)


def test_store_write_is_retried_until_it_succeeds():
    """Guards against an outcome that is not recorded after one store fault."""
    table = MemoryTable()
    held = claim(table)
    table.answers = ["unavailable", "lost"]
    slept = []

    async def sleep(seconds):
        slept.append(seconds)

    def attempt():
        return record_outcome(table, held, Outcome(200, (), b""), "op2")

    assert result_of(retry_write(attempt, sleep)) is None
    assert len(slept) == 2
    assert isinstance(claim(table, operation_id="op3"), Outcome)

    async def fail():
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, "fault")

    assert (
        result_of(retry_write(fail, sleep, (0.1,))).kind is ErrorKind.STORE_UNAVAILABLE
    )


@pytest.mark.parametrize("key", [b"a b", b"\xff", b"x" * 201, b"a\x7f"])
def test_refuses_malformed_keys(key):
    """Guards against keys that are not valid in a row key or a log line."""
    assert check_key(key).kind is ErrorKind.BAD_REQUEST
    assert check_key(None).kind is check_key(b"").kind is ErrorKind.KEY_REQUIRED
    assert check_key(b"order-1/a") is None
