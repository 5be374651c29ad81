"""Tests of leases: takeover, fencing and lost answers."""

import pytest

from bamboocove.coordination.lease import acquire_lease, release_lease, renew_lease
from bamboocove.errors import ErrorKind
from bamboocove.memory_platform import MemoryTable
from bamboocove.protocol.rows import LeaseRecord
from bamboocove.state.codec import from_plain
from tests.fakes import run

KEY = "lease/test"
LEASE_S = 10.0


@pytest.fixture
def table():
    return MemoryTable()


def make_record(holder, now):
    return LeaseRecord(holder, "127.0.0.1", 7000, 0, now + LEASE_S)


def acquire(table, holder, now):
    return run(acquire_lease(table, KEY, make_record(holder, now), now))


def renew(table, held, holder, now):
    return run(renew_lease(table, held, make_record(holder, now), now))


def read_record(table):
    return from_plain(LeaseRecord, table.state.rows_by_key[KEY].value)


def test_lease_is_exclusive_until_it_expires(table):
    first = acquire(table, "a", 0.0)
    assert (first.token, first.row_version, first.expires_at) == (1, 1, 10.0)
    assert acquire(table, "b", 9.9).kind == ErrorKind.CONFLICT
    second = acquire(table, "b", 10.0)
    assert (second.token, second.row_version) == (2, 2)
    assert read_record(table).holder == "b"


def test_renewal_keeps_the_token_and_extends_the_lease(table):
    held = acquire(table, "a", 0.0)
    renewed = renew(table, held, "a", 5.0)
    assert (renewed.token, renewed.expires_at) == (1, 15.0)
    assert acquire(table, "b", 14.0).kind == ErrorKind.CONFLICT


def test_paused_holder_cannot_renew_after_a_takeover(table):
    """Guards against a renewal after a takeover when the holder's clock lags."""
    held = acquire(table, "a", 0.0)
    acquire(table, "b", 11.0)
    assert renew(table, held, "a", 9.0).kind == ErrorKind.FENCED
    assert read_record(table).holder == "b"


def test_expired_lease_is_not_renewed_even_if_it_is_free(table):
    """Guards against use of evidence that is older than a pause of the process."""
    held = acquire(table, "a", 0.0)
    assert renew(table, held, "a", 10.0).kind == ErrorKind.FENCED
    assert acquire(table, "a", 10.0).token == 2


def test_two_nodes_that_race_for_a_free_lease_yield_one_holder(table):
    """Guards against two holders after both nodes read the lease as free."""
    rival = MemoryTable()
    rival.state = table.state
    won = []

    def let_rival_win(transaction):
        table.before_transact = None
        won.append(acquire(rival, "b", 0.0))

    table.before_transact = let_rival_win
    assert acquire(table, "a", 0.0).kind == ErrorKind.CONFLICT
    assert won[0].token == 1
    assert read_record(table).holder == "b"


def test_lost_answer_of_an_acquisition_is_read_back(table):
    """Guards against a lease that its holder does not know of until it expires."""
    table.lost_answers = 1
    held = acquire(table, "a", 0.0)
    assert held.row_version == 1
    assert table.writes == 1


def test_delayed_acquisition_has_no_effect_after_a_takeover(table):
    """Guards against a delayed write of a former holder."""
    table.delayed_writes = 1
    acquire(table, "a", 0.0)
    acquire(table, "b", 11.0)
    assert [item.kind for item in table.deliver_delayed()] == [ErrorKind.CONFLICT]
    assert read_record(table).holder == "b"


def test_renewal_succeeds_after_one_with_an_unknown_outcome(table):
    """Guards against mistaking one's own renewal for that of another holder."""
    held = acquire(table, "a", 0.0)
    table.lost_answers = 1

    def fail(key):
        table.is_down = True

    table.before_get = fail
    assert renew(table, held, "a", 3.0).kind == ErrorKind.STORE_UNKNOWN
    table.before_get = None
    table.is_down = False
    renewed = renew(table, held, "a", 6.0)
    assert (renewed.token, renewed.row_version) == (1, 3)
    assert renewed.expires_at == 16.0


def test_lease_can_be_renewed_after_an_outage(table):
    held = acquire(table, "a", 0.0)
    table.is_down = True
    assert renew(table, held, "a", 3.0).kind == ErrorKind.STORE_UNAVAILABLE
    table.is_down = False
    assert renew(table, held, "a", 6.0).expires_at == 16.0


def test_new_process_of_the_same_node_fences_the_old_one(table):
    """Guards against a lease held by both a paused process and its successor."""
    old = acquire(table, "a", 0.0)
    new = acquire(table, "a", 1.0)
    assert new.token == 2
    assert renew(table, old, "a", 2.0).kind == ErrorKind.FENCED


def test_released_lease_is_free_and_its_token_keeps_increasing(table):
    """Guards against tokens that restart at 1 and repeat those of older holders."""
    held = acquire(table, "a", 0.0)
    released = run(release_lease(table, held))
    assert released.expires_at == 0.0
    assert acquire(table, "b", 1.0).token == 2
    assert run(release_lease(table, held)).kind == ErrorKind.FENCED
    assert read_record(table).holder == "b"
