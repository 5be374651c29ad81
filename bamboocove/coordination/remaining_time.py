"""Estimates when a move can finish, from the observed rate of calls."""

import math

from bamboocove.coordination.analysis import (
    CONFIDENCE,
    POOL_MAX_S,
    RATE_MAX,
    STEP_SHARES,
    STREAMS,
    Judgement,
    RouteKey,
    compute_step_margin,
    estimate_rate,
)
from bamboocove.coordination.sequential import compute_divergence


def estimate_remaining_s(judgement: Judgement) -> float:
    """Estimate the seconds until 100% from the observed rate of calls.

    Steps up to 10% can be taken without evidence and are not counted.
    """
    if judgement.elapsed_s < POOL_MAX_S:
        return 0.0
    first = max(judgement.step, STEP_SHARES.index(0.10))
    return sum(
        max(
            (
                _estimate_step_s(judgement, key, step)
                for key, test in judgement.tests_by_route.items()
                if test.old_total.calls
            ),
            default=0.0,
        )
        for step in range(first, len(STEP_SHARES) - 1)
    )


def _estimate_step_s(judgement: Judgement, key: RouteKey, step: int) -> float:
    test = judgement.tests_by_route[key]
    margin = compute_step_margin(judgement, key, STEP_SHARES[step + 1])
    calls = (test.old_total.calls + test.new_total.calls) / judgement.elapsed_s
    seconds = 0.0
    for stream in STREAMS:
        missing = -math.log(1.0 - CONFIDENCE) + math.log(2.0)
        if step == judgement.step:
            wealth = test.tests_by_stream[stream].earned.log_value
            missing = -math.log(1.0 - CONFIDENCE) - max(wealth, -math.log(2.0))
        rate = min(estimate_rate(test.old_total, stream), RATE_MAX - margin)
        gain = compute_divergence(rate, rate + margin)
        seconds = max(seconds, missing / (gain * calls * STEP_SHARES[step]))
    return seconds
