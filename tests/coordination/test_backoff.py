"""Exponential backoff, and rate limiting of accepted connections."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.backoff import (
    MAX_DELAY_S,
    MAX_RETRY_AFTER_S,
    AcceptPacer,
    admit,
    compute_delay,
)


@settings(derandomize=True)
@given(st.integers(0, 10_000), st.floats(0, 1), st.floats(0, 60))
def test_delay_stays_between_the_server_delay_and_the_cap(attempt, fraction, server):
    """Guards against reconnecting too early, and against unbounded delays."""
    delay = compute_delay(attempt, fraction, server)
    assert server <= delay <= server + MAX_DELAY_S


def test_jitter_covers_the_whole_range():
    """Guards against clients that reconnect at the same moment."""
    assert compute_delay(3, 0.0) == 0.0
    assert compute_delay(3, 1.0) == 1.6
    assert compute_delay(3, 0.0, 5.0) != compute_delay(3, 1.0, 5.0)


def test_accepted_rate_is_bounded():
    """Guards against a reconnect storm that saturates a CPU core."""
    pacer = AcceptPacer(rate=50.0, burst=100.0)
    accepted = sum(admit(pacer, index / 1000) == 0.0 for index in range(10_000))
    assert 100 + 490 <= accepted <= 100 + 510


def test_refused_clients_are_spread_over_time():
    """Guards against refused clients that all reconnect after the same delay."""
    pacer = AcceptPacer(rate=50.0, burst=1.0)
    delays = [admit(pacer, 0.0) for _ in range(101)]
    assert delays[0] == 0.0
    assert delays[1:] == [index / 50 for index in range(1, 101)]
    assert max(admit(pacer, 0.0) for _ in range(5000)) == MAX_RETRY_AFTER_S


def test_clients_that_follow_the_delay_are_all_accepted():
    """Guards against a reconnect storm that sustains itself."""
    pacer = AcceptPacer(rate=50.0, burst=100.0)
    attempts = [(0.0, index, 0) for index in range(2000)]
    accepted_at = []
    while attempts:
        attempts.sort()
        now, index, attempt = attempts.pop(0)
        delay = admit(pacer, now)
        if delay == 0.0:
            accepted_at.append(now)
        else:
            fraction = (index * 7919 % 1000) / 1000
            wait = compute_delay(attempt + 1, fraction, delay)
            attempts.append((now + wait, index, attempt + 1))
    assert len(accepted_at) == 2000
    assert max(accepted_at) < 90.0
