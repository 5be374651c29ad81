"""When the callers of bodies without room return."""

import random

import pytest

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.request_bodies import (
    RESPONSE_ROOM_BYTES,
    count_missing,
    reserve_body,
)
from bamboocove.coordination.retry_after import (
    MIN_RETRY_AFTER_S,
)
from bamboocove.coordination.room_forecast import JITTER, WINDOW_S, RoomForecast

LIMIT = 10_000_000
LONGEST_S = 5.0


def replay(sizes, hold_s, wait):
    """Return how often each body was refused, and when the last one got room.

    All bodies arrive at once, a refused one returns after ``wait(forecast, size,
    missing, now)``, and each body holds its room for ``hold_s``.
    """
    budget, forecast = ByteBudget(LIMIT), RoomForecast()
    for step in range(20):
        budget.reserve(500_000)
        budget.release(500_000)
        forecast.record(budget.drained, step * hold_s / 8)
    now = start = 20 * hold_s / 8
    events = [(now, number, True) for number in range(len(sizes))]
    refusals = [0] * len(sizes)
    last_at = now
    while events:
        events.sort()
        now, number, is_arrival = events.pop(0)
        size = sizes[number]
        if not is_arrival:
            budget.release(size)
            forecast.record(budget.drained, now)
        elif reserve_body(budget, size):
            last_at = now
            events.append((now + hold_s * (0.5 + number % 5 / 4), number, False))
        else:
            refusals[number] += 1
            missing = count_missing(budget, size)
            delay_s = wait(forecast, size, missing, now)
            events.append((now + delay_s, number, True))
    assert budget.held == 0
    return refusals, last_at - start


@pytest.mark.parametrize("hold_s", [0.1, 0.4])
@pytest.mark.parametrize("seed", range(5))
def test_refused_callers_return_when_there_is_room(hold_s, seed):
    """Guards against delays that have nothing to do with the room.

    Callers that return together are mostly refused again.
    """
    source = random.Random(seed)
    sizes = [source.randrange(500_000, 1_500_000) for _ in range(30)]

    def wait(forecast, size, missing, now):
        return forecast.schedule_return(size, missing, LONGEST_S, source.random, now)

    refusals, seconds = replay(sizes, hold_s, wait)
    assert sum(refusals) <= len(sizes)
    # Time in which the node can release as much.
    least_s = sum(sizes) / (LIMIT - RESPONSE_ROOM_BYTES) * hold_s
    assert seconds < 2.5 * least_s
    soon, _ = replay(sizes, hold_s, lambda *_: MIN_RETRY_AFTER_S)
    assert sum(soon) > 3 * sum(refusals)
    longest, longest_s = replay(sizes, hold_s, lambda *_: LONGEST_S / 3)
    assert sum(longest) > sum(refusals) and longest_s > seconds


def test_delay_is_that_of_the_missing_bytes_and_of_those_before():
    forecast = RoomForecast()
    for step in range(11):
        forecast.record(step * 100_000, step * 0.1)
    rate = forecast.compute_rate(1.0)
    assert rate == pytest.approx(1_000_000, rel=0.15)
    first = forecast.schedule_return(300_000, 500_000, LONGEST_S, lambda: 0.0, 1.0)
    assert first == pytest.approx(500_000 / rate)
    second = forecast.schedule_return(300_000, 500_000, LONGEST_S, lambda: 1.0, 1.0)
    assert second == pytest.approx((1 + JITTER) * 800_000 / rate)
    # Those that were to return by now have got their room or were refused again.
    later = 1.0 + second
    assert forecast.predict_wait(1000, later) == 1000 / forecast.compute_rate(later)


def test_delay_is_bounded():
    forecast = RoomForecast()
    unknown = forecast.schedule_return(1, 1, LONGEST_S, lambda: 0.5, 1.0)
    assert unknown == LONGEST_S
    soon = RoomForecast()
    soon.record(1_000_000_000, 1.0)
    assert soon.schedule_return(1, 1, LONGEST_S, lambda: 0.0, 1.0) == MIN_RETRY_AFTER_S
    assert soon.schedule_return(10**12, 1, 0.3, lambda: 0.0, 1.0) == 0.3
    assert soon.compute_rate(1.0 + WINDOW_S + 0.1) == 0.0


def test_bytes_that_pass_to_another_holder_are_not_counted_as_released():
    """Guards against a rate that is too high, and callers that return too soon."""
    budget = ByteBudget(LIMIT)
    budget.reserve(1000)
    budget.pass_on(1000)
    budget.release(1000)
    assert (budget.held, budget.drained) == (1000, 0)
    budget.add_unread(1000)
    budget.release(1000)
    budget.release_unread(1000)
    assert (budget.held, budget.drained) == (0, 1000)


def test_refused_bodies_are_forgotten_while_nothing_is_released():
    """Guards against memory that grows with the refusals of a node that is stuck."""
    forecast = RoomForecast()
    for number in range(1000):
        forecast.schedule_return(1, 1, LONGEST_S, lambda: 0.0, float(number))
    assert len(forecast._returns) <= LONGEST_S + 1
