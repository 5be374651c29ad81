"""Limits on retries: the budget of all nodes, and requests that crash workers."""

from bamboocove.coordination import retry_limits
from bamboocove.coordination.kept_suspects import MAX_KEPT, KeptSuspects
from bamboocove.coordination.retry_limits import (
    BLOCK_FACTOR,
    BLOCK_S,
    SUSPECT_TTL_S,
    CrashTable,
    RetryBudgets,
    compute_keep_s,
    may_retry,
)


def test_all_nodes_together_stay_within_the_allowance():
    """Guards against each node using the retry allowance of all nodes."""
    nodes = [RetryBudgets() for _ in range(12)]
    retries = requests = 0
    for budgets in nodes:
        budgets.configure(0.2, 60, len(nodes))
        for _ in range(200):
            requests += 1
            budgets.earn("s")
            while budgets.spend("s"):
                retries += 1
    assert retries <= 0.2 * requests + 60


def test_services_have_separate_budgets():
    budgets = RetryBudgets(0.1, 1.0)
    assert budgets.spend("s") and not budgets.spend("s")
    assert budgets.spend("t")


def test_request_is_blocked_after_two_lost_workers():
    """Guards against a request that crashes one worker after another."""
    crashes = CrashTable()
    crashes.record("x", "h1", 0.0)
    assert not crashes.is_blocked("x", 0.1)
    crashes.record("x", "h2", 0.2)
    assert crashes.is_blocked("x", 0.3)
    assert crashes.is_blocked("x", BLOCK_S)
    assert not crashes.is_blocked("x", BLOCK_S + 0.3)


def test_completed_request_is_no_longer_suspect():
    crashes = CrashTable()
    crashes.record("x", "h1", 0.0)
    assert crashes.has_suspects(0.1)
    crashes.clear("x", 0.1)
    assert not crashes.has_suspects(0.1)


def test_suspects_expire():
    """Guards against requests that are hashed forever after one crash."""
    crashes = CrashTable()
    crashes.record("x", "h1", 0.0)
    crashes.record("y", "h1", 30.0)
    assert crashes.has_suspects(SUSPECT_TTL_S + 1.0)
    assert not crashes.has_suspects(SUSPECT_TTL_S + 31.0)


def test_request_that_returns_after_a_minute_is_still_blocked():
    """Guards against a request that crashes more workers in a day than is allowed."""
    crashes = CrashTable()
    count = 0
    for number in range(86400 // 62):
        now = 62.0 * number
        if not crashes.is_blocked("x", now):
            crashes.record("x", f"h{number}", now)
            count += 1
    # Three retries after the third crash.
    assert count - 3 <= 3


def test_each_crash_after_a_block_prolongs_it():
    """Guards against a table that forgets a request at the end of its block."""
    crashes = CrashTable()
    crashes.record("x", "h1", 0.0)
    crashes.record("x", "h2", 5.0)
    now = 5.0 + BLOCK_S + 1.0
    assert not crashes.is_blocked("x", now)
    crashes.record("x", "h1", now)
    assert crashes.is_blocked("x", now + BLOCK_FACTOR * BLOCK_S)
    assert not crashes.is_blocked("x", now + BLOCK_FACTOR * BLOCK_S + 1.0)
    assert not crashes.has_suspects(now + compute_keep_s(3) + 1.0)


def test_known_crashes_of_another_node_are_merged():
    """Guards against a node that starts later and knows no blocked request."""
    crashes = CrashTable()
    crashes.merge("x", 2, 30.0, 100.0)
    assert crashes.is_blocked("x", 69.0 + BLOCK_S)
    assert not crashes.is_blocked("x", 71.0 + BLOCK_S)
    crashes.merge("y", 2, compute_keep_s(2) + 1.0, 5000.0)
    assert crashes.get_crashes("y") == 0


def test_crashes_from_before_a_completion_are_not_merged():
    """Guards against an innocent request that an old record blocks again."""
    crashes = CrashTable()
    crashes.record("x", "h1", 90.0)
    crashes.clear("x", 100.0)
    crashes.merge("x", 2, 12.0, 110.0)
    assert crashes.get_crashes("x") == 0
    crashes.merge("x", 2, 2.0, 110.0)
    assert crashes.is_blocked("x", 110.0)


def test_many_single_crashes_do_not_displace_a_blocked_request(monkeypatch):
    """Guards against the loss of many workers that makes room for a request."""
    monkeypatch.setattr(retry_limits, "MAX_SUSPECTS", 20)
    crashes = CrashTable()
    crashes.merge("x", 2, 0.0, 0.0)
    for number in range(100):
        crashes.record(f"f{number}", "h1", 1.0)
    assert crashes.is_blocked("x", 2.0)
    assert sum(bool(crashes.get_crashes(f"f{number}")) for number in range(100)) <= 20


def test_kept_requests_are_bounded():
    """Guards against records of hosts that grow with each blocked request."""
    kept = KeptSuspects()
    for number in range(MAX_KEPT + 3):
        kept.keep(f"f{number}", 2, number)
    assert list(kept.get(0)) == [f"f{number}" for number in range(3, MAX_KEPT + 3)]
    assert not kept.merge({"f5": (2, 5)}) and kept.merge({"g": (2, 5)})
    assert kept.drop("g") and not kept.drop("g")


def test_retry_needs_an_attempt_and_time_left():
    assert may_retry(1, 2, 0.5, 0.02)
    assert not may_retry(2, 2, 0.5, 0.02)
    assert not may_retry(1, 2, 0.01, 0.02)
