"""Times of a planned stop, and the requests that a stopping node takes."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboocove.coordination.drain_window import (
    MEMORY_S,
    DrainWindow,
    SlowestResponses,
    StopSchedule,
    estimate_lag,
)


@given(
    started_at=st.floats(0, 1e6),
    grace_s=st.floats(0.5, 60),
    lag_s=st.floats(0, 100),
)
def test_planned_stop_ends_in_order_and_before_the_process_is_killed(
    started_at, grace_s, lag_s
):
    """Guards against answers that are not written when the process is killed."""
    schedule = StopSchedule(started_at, grace_s)
    end_at = schedule.get_end(lag_s)
    killed_at = started_at + grace_s
    assert started_at < schedule.last_answer_at <= end_at < killed_at
    assert end_at <= schedule.get_flushed_by(lag_s) < killed_at


def test_node_that_runs_on_time_ends_requests_late_in_the_grace_period():
    """Guards against time of the grace period that is given away."""
    schedule = StopSchedule(10.0, 6.0)
    assert schedule.get_end(0.0) == pytest.approx(15.76)
    assert schedule.get_end(0.1) == pytest.approx(15.66)
    assert schedule.get_end(3.0) == schedule.last_answer_at == pytest.approx(15.4)
    assert schedule.get_flushed_by(0.0) == pytest.approx(15.9)
    assert schedule.get_flushed_by(0.2) == pytest.approx(15.7)
    assert schedule.get_flushed_by(3.0) == schedule.last_answer_at


@pytest.mark.parametrize(
    "sent_s, handled_s", [(0.02, 0.02), (0.02, 1.5), (0.09, 0.8), (0.05, 0.1)]
)
def test_signal_is_dated_to_when_a_held_up_process_last_ran(sent_s, handled_s):
    """Guards against a stop that counts its grace period from too late a time."""
    # The last timer before the signal ran at 8.0; on waking, the next one may run
    # before the signal is handled.
    for ticks in ((7.9, 8.0), (8.0, 8.0 + handled_s)):
        now = 8.0 + handled_s
        started_at = now - estimate_lag(now, ticks, 0.1)
        assert started_at <= 8.0 + sent_s + 0.1


def test_window_takes_what_can_end_before_it_closes():
    window = DrainWindow(2.0, 5.0)
    assert window.is_open(1.9, 9.0)
    assert window.is_open(4.0, 5.0)
    assert not window.is_open(4.0, 5.1)
    assert window.is_open(4.0, 9.0, 0.9)
    assert not window.is_open(4.0, 9.0, 1.1)


def test_slowest_response_of_a_route_is_remembered_for_a_while():
    slowest = SlowestResponses()
    assert slowest.get("read", 0.3) == 0.3
    slowest.record("read", 0.2, 1000.0)
    slowest.record("read", 0.1, 1001.0)
    slowest.record("pay", 0.9, 1002.0)
    assert slowest.get("read", 0.3) == 0.2
    slowest.record("read", 0.1, 1001.0 + MEMORY_S)
    assert slowest.get("read", 0.3) == 0.2
    slowest.record("read", 0.1, 1002.0 + 2 * MEMORY_S)
    assert slowest.get("read", 0.3) == 0.1
    # Nothing was recorded for long.
    slowest.record("pay", 0.1, 2000.0)
    assert slowest.get("read", 0.3) == 0.3
