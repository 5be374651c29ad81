"""Limits on retries: the budget of all nodes, and requests that crash workers."""

from bamboocove.coordination.retry_limits import CrashTable, RetryBudgets, may_retry


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
    assert not crashes.is_blocked("x", 100.0)


def test_completed_request_is_no_longer_suspect():
    crashes = CrashTable()
    crashes.record("x", "h1", 0.0)
    assert crashes.has_suspects(0.1)
    crashes.clear("x")
    assert not crashes.has_suspects(0.1)


def test_suspects_expire():
    """Guards against requests that are hashed forever after one crash."""
    crashes = CrashTable()
    crashes.record("x", "h1", 0.0)
    crashes.record("y", "h1", 30.0)
    assert crashes.has_suspects(61.0)
    assert not crashes.has_suspects(91.0)


def test_retry_needs_an_attempt_and_time_left():
    assert may_retry(1, 2, 0.5, 0.02)
    assert not may_retry(2, 2, 0.5, 0.02)
    assert not may_retry(1, 2, 0.01, 0.02)
