"""When refused callers return, replayed for workers that turn requests away."""

import random

from bamboocove.coordination.retry_after import (
    compute_retry_after,
)

# Day scale-1 of szabo-offcuts-grown, from 13.0 s on: all workers of a service turn
# away 0.55 of their requests, and less than half of their slots are in use.
SHED_FRACTION = 0.55
SERVICE_S = 0.28
OBJECTIVE_S = 0.87
PATIENCE_S = 3.26


def replay(requests, has_room):
    """Return the fraction of callers answered within their objective.

    Each returns once after a refusal.
    """
    source = random.Random(3)
    in_time = 0
    for _ in range(requests):
        elapsed_s = 0.01
        for is_last in (False, True):
            if source.random() >= SHED_FRACTION:
                in_time += elapsed_s + SERVICE_S <= OBJECTIVE_S
                break
            if not is_last:
                left_s = PATIENCE_S - elapsed_s
                elapsed_s += compute_retry_after(left_s, source.random, has_room)
    return in_time / requests


def test_callers_turned_away_by_workers_with_room_return_in_time():
    """Guards against callers that are sent away until their objective has passed."""
    assert replay(4000, has_room=False) < 0.5
    assert replay(4000, has_room=True) > 0.65


def test_delay_of_callers_that_return_soon_is_spread():
    source = random.Random(5)
    delays = [compute_retry_after(3.0, source.random, True) for _ in range(200)]
    assert max(delays) < 0.07 and min(delays) > 0.01
    assert max(delays) > 2 * min(delays)
