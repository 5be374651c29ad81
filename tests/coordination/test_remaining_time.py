"""Estimates of the time until a move can finish."""

from bamboocove.coordination.analysis import (
    add_evidence,
    close_windows,
    start_analysis,
)
from bamboocove.coordination.remaining_time import estimate_remaining_s
from bamboocove.state.config import Move
from bamboocove.state.evidence import Evidence, OutcomeCounts


def make_analysis(calls, seconds):
    move = Move("m", "orders", "v1", "v2", 3600.0, "stepping", 0.1, 2)
    analysis = start_analysis(move, 5, 1)
    for second in range(seconds):
        old, new = OutcomeCounts(calls - calls // 10), OutcomeCounts(calls // 10)
        item = Evidence("m", "n1", 5, "read", "normal", float(second), 1.0, old, new)
        close_windows(add_evidence(analysis, item), second + 1.0)
    return analysis


def test_fewer_calls_need_more_time():
    # Guards against a deadline warning that comes late on a route with few calls.
    with_many_calls = estimate_remaining_s(make_analysis(100, 60))
    with_few_calls = estimate_remaining_s(make_analysis(10, 60))
    assert 0.0 < with_many_calls < with_few_calls
    assert with_few_calls > 8 * (with_many_calls - 1.0)


def test_nothing_is_estimated_from_a_short_time():
    # Guards against a deadline warning from the first seconds of a move.
    assert estimate_remaining_s(make_analysis(10, 20)) == 0.0
