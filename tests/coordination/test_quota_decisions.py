"""Rules on single tokens and on the lease of a granter."""

import itertools

from bamboocove.coordination.quota_buckets import PARTS_PER_TOKEN, QuotaBuckets
from bamboocove.coordination.quota_client import QuotaClient
from bamboocove.coordination.quota_granter import QuotaGranter
from bamboocove.coordination.quota_lease import (
    LEASE_S,
    TOKENS_PER_ERA,
    Call,
    QuotaLease,
)
from bamboocove.coordination.quota_stock import Admission, QuotaStock
from bamboocove.protocol.control_messages import QuotaGrant, QuotaHolder, QuotaRequest
from bamboocove.state.quotas import QuotaLeaseRow, StoredQuotaLease
from tests.quota_cluster import make_account

LIFE_S = 0.4
ACCOUNTS = {"big": make_account("big", 300.0, 300.0)}
OTHER = QuotaLeaseRow("h2", 1, 7)


def make_stock():
    stock = QuotaStock(LIFE_S)
    stock.use_limits(ACCOUNTS, 0.0)
    assert stock.arrive("big", 10.0) is Admission.UNKNOWN
    stock.set_waiting("big", 1)
    return stock, stock.plan(10.0)


def test_token_may_not_be_used_after_its_life():
    """Guards against a process that stood still and uses its old tokens."""
    stock, counts = make_stock()
    stock.on_answered(counts, {"big": 1}, {}, 10.0, 10.01)
    assert stock.take("big", 10.41) is None


def test_life_of_a_token_counts_from_when_it_was_asked_for():
    """Guards against grants that were late and are used with those of a later time."""
    stock, counts = make_stock()
    stock.on_answered(counts, {"big": 1}, {}, 10.0, 10.45)
    assert stock.take("big", 10.46) is None


def test_token_that_is_given_back_keeps_its_expiry():
    """Guards against a life that begins again with each refusal."""
    stock, counts = make_stock()
    stock.on_answered(counts, {"big": 1}, {}, 10.0, 10.01)
    expires_at = stock.take("big", 10.1)
    stock.give_back("big", expires_at, 10.3)
    assert stock.take("big", 10.39) == expires_at
    stock.give_back("big", expires_at, 10.41)
    assert stock.take("big", 10.41) is None


def test_grant_asked_for_under_an_earlier_limit_is_dropped():
    """Guards against tokens of a limit that was lowered meanwhile."""
    stock, counts = make_stock()
    stock.use_limits({"big": make_account("big", 2.0, 2.0)}, 10.005)
    stock.on_answered(counts, {"big": 1}, {}, 10.0, 10.01)
    assert stock.take("big", 10.02) is None


def test_account_that_a_granter_does_not_know_is_not_over_its_quota():
    """Guards against 429 while the granter still has an earlier configuration."""
    stock, counts = make_stock()
    assert stock.on_answered(counts, {}, {}, 10.0, 10.01) == []
    assert stock.arrive("big", 10.02) is Admission.UNKNOWN
    stock.set_waiting("big", 0)
    stock.on_answered(counts, {}, {"big": 0.3}, 10.0, 10.02)
    assert stock.arrive("big", 10.31) is Admission.DENIED


def test_gift_leaves_what_the_own_zone_needs():
    """Guards against zones that take each other's tokens by turns."""
    buckets = QuotaBuckets(3)
    buckets.use_limits(ACCOUNTS, 0.0)
    assert buckets.give("big", 200 * PARTS_PER_TOKEN, 1.0) == 100 * PARTS_PER_TOKEN
    for tick in range(20):
        buckets.record_demand("big", 5, 1.0 + tick * 0.05)
    assert buckets.give("big", 200 * PARTS_PER_TOKEN, 2.0) <= 60 * PARTS_PER_TOKEN
    assert buckets.grant("big", 40, 2.0) == 40


def test_grant_of_an_earlier_holder_is_dropped():
    """Guards against two nodes that both take themselves for the granter."""
    stock, _ = make_stock()
    stock.on_lost({"big": (1, 1)})
    client = QuotaClient("a", stock, iter(range(1, 9)).__next__, lambda host_id: True)
    client.on_holder(QuotaHolder("a", "h1", 7))
    [(host_id, request)] = client.ask(10.0)
    client.on_holder(QuotaHolder("a", "h2", 8))
    assert not client.on_holder(QuotaHolder("a", "h1", 7))
    grant = QuotaGrant(request.number, 7, {"big": 1}, {})
    assert not client.is_valid(host_id, grant)
    answer = client.on_grant(host_id, grant, 10.01)
    assert stock.take("big", 10.01) is None
    # The new granter is asked at once.
    assert [receiver for receiver, _ in answer.messages] == ["h2"]


def take_lease(now=100.0, row=None, version=0, **options):
    """Return the lease of a process, and what it may write at a time."""
    lease = QuotaLease("h1", 5, LIFE_S, **options)
    assert lease.decide(now, True) is Call.READ
    lease.on_result(now, StoredQuotaLease(row, version), now + 0.1)
    return lease


def write(lease, now, era=0, answer_s=0.1):
    assert lease.decide(now, True) is Call.WRITE
    row, version = lease.make_row()
    stored = StoredQuotaLease(row, version + 1, era, True)
    lease.on_result(now, stored, now + answer_s)
    return row


def test_lease_holds_from_before_the_write_was_sent():
    """Guards against two holders: a slow answer does not make the lease longer."""
    lease = take_lease()
    write(lease, 101.0, answer_s=1.5)
    assert not lease.may_grant(101.3) and lease.may_grant(104.9)
    assert not lease.may_grant(101.0 + LEASE_S)


def test_holder_that_was_frozen_reads_before_it_writes():
    """Guards against a write over the row of the next holder, after a long sleep."""
    lease = take_lease()
    write(lease, 101.0)
    assert lease.decide(200.0, True) is Call.READ
    lease.on_result(200.0, StoredQuotaLease(OTHER, 9), 200.1)
    assert lease.decide(200.2, True) is None and not lease.may_grant(200.2)


def test_lease_of_another_host_is_taken_after_its_full_length():
    """Guards against a takeover while the holder may still grant, or its tokens run."""
    lease = take_lease(row=OTHER, version=3)
    seen_at = 100.1
    for now in (102.2, 104.3):
        assert lease.decide(now, True) is Call.READ
        lease.on_result(now, StoredQuotaLease(OTHER, 3), now)
    assert lease.decide(seen_at + LEASE_S + LIFE_S - 0.01, True) is not Call.WRITE
    row = write(lease, seen_at + LEASE_S + LIFE_S + 0.01)
    assert row.fencing_token == 8


def test_lease_of_an_ended_process_is_taken_at_once():
    """Guards against seconds without quotas after a restart or a power cut."""
    own = take_lease(row=QuotaLeaseRow("h1", 4, 7), version=3)
    assert own.decide(100.2, True) is Call.WRITE
    restarted = take_lease(row=OTHER, version=3)
    assert restarted.decide(100.2, True, OTHER.incarnation) is None
    assert restarted.decide(100.3, True, OTHER.incarnation + 1) is Call.WRITE
    released = take_lease(row=QuotaLeaseRow("", 0, 7), version=3)
    assert write(released, 100.2).fencing_token == 8
    assert not released.may_grant(100.2 + LIFE_S - 0.01)


def test_answer_that_was_given_up_does_not_count():
    """Guards against a lease that an old answer makes longer than the store knows."""
    lease = take_lease()
    assert lease.decide(101.0, True) is Call.WRITE
    row, _ = lease.make_row()
    assert lease.decide(103.0, True) is None
    lease.on_result(101.0, StoredQuotaLease(row, 4, 0, True), 103.1)
    assert not lease.holds(103.1)
    # The write was applied all the same.
    assert lease.decide(103.6, True) is Call.READ
    lease.on_result(103.6, StoredQuotaLease(row, 4), 103.7)
    assert write(lease, 103.8).fencing_token > row.fencing_token


def test_lease_is_taken_again_in_a_new_era_with_a_higher_token():
    """Guards against fencing tokens that a restored store issues a second time."""
    lease = take_lease()
    write(lease, 101.0)
    assert lease.decide(102.3, True) is Call.WRITE
    lease.on_result(102.3, StoredQuotaLease(None, 0, 2), 102.4)
    assert lease.may_grant(102.4)
    row = write(lease, 102.5, era=2)
    assert (row.era, row.fencing_token) == (2, 2 * TOKENS_PER_ERA + 1)
    # Another candidate finds no row, but the lost one may still be held.
    other = QuotaLease("h3", 1, LIFE_S)
    assert other.decide(102.0, True) is Call.READ
    other.on_result(102.0, StoredQuotaLease(None, 0, 2), 102.1)
    assert other.decide(102.2, True) is None


def test_token_of_an_earlier_limit_is_not_taken_back():
    """Guards against refused requests that return tokens of a limit since lowered."""
    stock, counts = make_stock()
    stock.on_answered(counts, {"big": 1}, {}, 10.0, 10.01)
    expires_at = stock.take("big", 10.02)
    stock.use_limits({"big": make_account("big", 2.0, 2.0)}, 10.05)
    stock.give_back("big", expires_at, 10.1)
    assert stock.take("big", 10.11) is None


def test_zone_that_gave_all_it_was_asked_for_is_asked_again():
    """Guards against refusals while another zone holds tokens.

    A burst of a small account arrives one by one, and the first request alone says how
    much the first zone is asked for.
    """
    buckets = QuotaBuckets(3)
    buckets.use_limits({"small": make_account("small", 0.5, 10.0)}, 0.0)
    granter = QuotaGranter(buckets, 0.5, itertools.count(1).__next__)
    request = QuotaRequest(1, {"small": 1})
    first = granter.on_request("n", request, True, 1, ["y", "x"], 0.0)
    for number in range(2, 7):
        request = QuotaRequest(number, {"small": 1})
        granter.on_request("n", request, True, 1, ["y", "x"], 0.001)
    [(asked_id, gift)] = first
    grant = QuotaGrant(gift.number, 1, gift.counts_by_account, {})
    messages = granter.on_gift(asked_id, grant, 1, 0.003)
    [(asked_id, gift)] = [m for m in messages if m[0] != "n"]
    assert asked_id == "x"
    messages = granter.on_gift("x", QuotaGrant(gift.number, 1, {}, {}), 1, 0.006)
    [(asked_id, gift)] = messages
    assert asked_id == "y"
    # Not once more, as it has given less than that.
    messages = granter.on_gift("y", QuotaGrant(gift.number, 1, {}, {}), 1, 0.009)
    assert messages
    assert {host_id for host_id, _ in messages} == {"n"}
