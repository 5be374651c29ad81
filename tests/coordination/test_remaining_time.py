"""Estimates when a move can finish."""

from bamboocove.coordination.analysis import (
    add_evidence,
    close_windows,
    start_judgement,
)
from bamboocove.coordination.remaining_time import estimate_remaining_s
from bamboocove.state.config import Move
from bamboocove.state.evidence import Evidence, OutcomeCounts


def make_judgement(calls, seconds):
    move = Move("m", "orders", "v1", "v2", 3600.0, "stepping", 0.1, 2)
    judgement = start_judgement(move, 5, 1)
    for second in range(seconds):
        old, new = OutcomeCounts(calls - calls // 10), OutcomeCounts(calls // 10)
        item = Evidence("m", "n1", 5, "read", "normal", float(second), 1.0, old, new)
        close_windows(add_evidence(judgement, item), second + 1.0)
    return judgement


def test_fewer_calls_need_more_time():
    # Guards against no early warning on a route with few calls.
    many = estimate_remaining_s(make_judgement(100, 60))
    few = estimate_remaining_s(make_judgement(10, 60))
    assert 0.0 < many < few
    assert few > 8 * (many - 1.0)


def test_nothing_is_estimated_from_a_short_time():
    # Guards against a warning from the first seconds of a move.
    assert estimate_remaining_s(make_judgement(10, 20)) == 0.0
