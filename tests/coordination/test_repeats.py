"""Repeats of requests: the allowance of the fleet, and crashing requests."""

from bamboocove.coordination.repeats import CrashTable, RepeatBudgets, may_repeat


def test_all_nodes_together_stay_within_the_allowance():
    """Guards against each node using the allowance of the whole fleet."""
    nodes = [RepeatBudgets() for _ in range(12)]
    repeats = requests = 0
    for budgets in nodes:
        budgets.configure(0.2, 60, len(nodes))
        for _ in range(200):
            requests += 1
            budgets.earn("s")
            while budgets.spend("s"):
                repeats += 1
    assert repeats <= 0.2 * requests + 60


def test_budget_is_kept_by_service():
    budgets = RepeatBudgets(0.1, 1.0)
    assert budgets.spend("s") and not budgets.spend("s")
    assert budgets.spend("t")


def test_request_is_blocked_after_two_lost_workers():
    """Guards against a request that is handed from worker to worker."""
    crashes = CrashTable()
    crashes.record("x", 0.0)
    assert not crashes.is_blocked("x", 0.1)
    crashes.record("x", 0.2)
    assert crashes.is_blocked("x", 0.3)
    assert not crashes.is_blocked("x", 100.0)


def test_completed_request_is_no_longer_suspect():
    crashes = CrashTable()
    crashes.record("x", 0.0)
    crashes.clear("x")
    assert not crashes.has_suspects


def test_attempts_bound_the_workers():
    assert may_repeat(1, 2, 0.5, 0.02)
    assert not may_repeat(2, 2, 0.5, 0.02)
    assert not may_repeat(1, 2, 0.01, 0.02)
