"""Retry budget, and delays before retries."""

from bamboocove.coordination.retries import (
    INITIAL_TOKENS,
    MAX_ATTEMPTS,
    MAX_DELAY_S,
    MAX_TOKENS,
    RetryBudget,
    plan_retry,
    read_retry_after,
)


def test_budget_bounds_retries():
    """Guards against retries that multiply the load of an outage."""
    budget = RetryBudget(0.1)
    for _ in range(10_000):
        budget.earn()
    assert budget.tokens == MAX_TOKENS
    retries = 0
    for _ in range(1000):
        budget.earn()
        retries += plan_retry(budget, 1, 1.0, False, lambda: 0.5) is not None
    assert retries <= MAX_TOKENS + 100


def test_refused_connection_is_tried_elsewhere_at_once():
    """Guards against a delay that reduces no load: the worker wasn't overloaded."""
    assert plan_retry(RetryBudget(0.1), 1, 1.0, False, lambda: 0.5) == 0.0


def test_shed_call_waits_with_full_jitter():
    """Guards against synchronized retries after workers shed load."""
    budget = RetryBudget(0.1)
    assert plan_retry(budget, 1, 1.0, True, lambda: 0.0) == 0.0
    first = plan_retry(budget, 1, 1.0, True, lambda: 1.0)
    assert first < plan_retry(budget, 2, 1.0, True, lambda: 1.0) <= MAX_DELAY_S


def test_no_retry_beyond_attempts_or_deadline():
    """Guards against unlimited retries; a call that is not retried takes no token."""
    budget = RetryBudget(0.1)
    assert plan_retry(budget, MAX_ATTEMPTS, 1.0, False, lambda: 0.5) is None
    assert plan_retry(budget, 1, 0.001, True, lambda: 1.0) is None
    assert budget.tokens == INITIAL_TOKENS


def test_server_delay_is_bounded():
    """Guards against a worker that excludes itself for hours by its Retry-After."""
    assert read_retry_after(b"999999") == 60.0
    assert read_retry_after(None) == read_retry_after(b"-1") == 0.0
