"""Estimates the time until a move can finish, from the observed rate of calls."""

import math

from bamboocove.coordination.analysis import (
    CONFIDENCE,
    INDICATORS,
    POOL_MAX_S,
    RATE_MAX,
    STEP_SHARES,
    MoveAnalysis,
    RouteKey,
    compute_step_margin,
    estimate_rate,
)
from bamboocove.coordination.sequential import compute_kl_divergence


def estimate_remaining_s(analysis: MoveAnalysis) -> float:
    """Return the estimated seconds until there is evidence for a share of 100%.

    Steps up to 10% can be taken without evidence and are not counted. The
    estimate is 0 until calls were counted for ``POOL_MAX_S`` seconds.
    """
    if analysis.elapsed_s < POOL_MAX_S:
        return 0.0
    first_step = max(analysis.step, STEP_SHARES.index(0.10))
    return sum(
        max(
            (
                _estimate_step_s(analysis, key, step)
                for key, test in analysis.tests_by_route.items()
                if test.old_total.calls
            ),
            default=0.0,
        )
        for step in range(first_step, len(STEP_SHARES) - 1)
    )


def _estimate_step_s(analysis: MoveAnalysis, key: RouteKey, step: int) -> float:
    """Return the estimated seconds until a route has the evidence for a step."""
    test = analysis.tests_by_route[key]
    margin = compute_step_margin(analysis, key, STEP_SHARES[step + 1])
    calls_per_s = (test.old_total.calls + test.new_total.calls) / analysis.elapsed_s
    seconds = 0.0
    for indicator in INDICATORS:
        missing_log_value = -math.log(1.0 - CONFIDENCE) + math.log(2.0)
        if step == analysis.step:
            log_value = test.tests_by_indicator[indicator].not_worse.log_value
            missing_log_value = -math.log(1.0 - CONFIDENCE) - max(
                log_value, -math.log(2.0)
            )
        rate = min(estimate_rate(test.old_total, indicator), RATE_MAX - margin)
        log_gain_per_call = compute_kl_divergence(rate, rate + margin)
        seconds = max(
            seconds,
            missing_log_value / (log_gain_per_call * calls_per_s * STEP_SHARES[step]),
        )
    return seconds
