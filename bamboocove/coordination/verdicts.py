"""Verdicts on the step of a move, from the state of its analysis."""

import math

from attrs import frozen

from bamboocove.coordination.analysis import (
    CONFIDENCE,
    OLD_RATE_ALPHA,
    MoveAnalysis,
    RouteTest,
    get_indicator_counts,
)

# Calls to the new version on a step below which a route has no evidence.
NEW_CALLS_MIN = 5
# E-value above which a version is suspect: the next step waits although the
# version is not shown to be bad.
SUSPECT_E_VALUE = 10.0
# Time for which nodes must report no calls before a service counts as without
# traffic. Missing reports don't count: a coordinator that is new or partitioned
# gets none either.
NO_TRAFFIC_S = 60.0


@frozen
class Verdict:
    """Result of the analysis of one step.

    Parameters
    ----------
    kind : {"bad", "good", "no_evidence", "undecided"}
        ``no_evidence`` means too few calls to tell, ``undecided`` that more
        evidence is needed.
    reason : str
        Explanation for operators.
    route, request_class : str
        The route that determined the verdict; empty if none did.
    is_suspect : bool
        Whether there is evidence, short of a verdict, that the version is bad.
    has_no_traffic : bool
        Whether nodes have reported no calls at all for ``NO_TRAFFIC_S`` seconds.
    """

    kind: str
    reason: str
    route: str = ""
    request_class: str = ""
    is_suspect: bool = False
    has_no_traffic: bool = False


def _evaluate_route(test: RouteTest, log_threshold: float) -> tuple[str, str, bool]:
    """Return kind, reason and whether the route is suspect."""
    is_suspect = False
    is_good = True
    log_limit = -math.log(OLD_RATE_ALPHA)
    for indicator, tests in test.tests_by_indicator.items():
        log_value = tests.worse.log_value
        if log_value >= log_threshold:
            return "bad", f"{indicator}: {_format_counts(test, indicator)}", True
        is_suspect = is_suspect or log_value >= math.log(SUSPECT_E_VALUE)
        is_suspect = is_suspect or tests.above_old_rate.log_value >= log_limit
        is_good = is_good and tests.not_worse.log_value >= -math.log(1.0 - CONFIDENCE)
    calls = test.new_step.calls
    if calls < NEW_CALLS_MIN:
        return "no_evidence", f"{calls} calls to the new version", is_suspect
    if is_good:
        return "good", f"{calls} calls to the new version", is_suspect
    return "undecided", f"{calls} calls to the new version", is_suspect


def _format_counts(test: RouteTest, indicator: str) -> str:
    new_calls, new_bad = get_indicator_counts(test.new_total, indicator)
    old_calls, old_bad = get_indicator_counts(test.old_total, indicator)
    return f"{new_bad} of {new_calls} new calls, {old_bad} of {old_calls} old calls"


def get_verdict(analysis: MoveAnalysis, step: int) -> Verdict:
    """Return the verdict on a step from the evidence collected on it.

    One bad route makes the verdict bad. A good one needs every route on which
    the old version has calls to be good.
    """
    compared_routes = {
        key: test
        for key, test in sorted(analysis.tests_by_route.items())
        if test.old_total.calls
    }
    if step != analysis.step:
        return Verdict("no_evidence", f"no evidence of step {step}")
    if not any(
        test.old_total.calls + test.new_total.calls
        for test in analysis.tests_by_route.values()
    ):
        has_no_traffic = analysis.elapsed_s >= NO_TRAFFIC_S
        reason = "no calls on any route" if has_no_traffic else "no calls reported yet"
        return Verdict("no_evidence", reason, has_no_traffic=has_no_traffic)
    results = {
        key: _evaluate_route(test, analysis.log_threshold)
        for key, test in analysis.tests_by_route.items()
    }
    is_suspect = any(suspect for _, _, suspect in results.values())
    for kind in ("bad", "undecided", "no_evidence"):
        for key in results if kind == "bad" else compared_routes:
            if results[key][0] == kind:
                reason = f"{kind} on route {key[0]} ({key[1]}): {results[key][1]}"
                return Verdict(kind, reason, *key, is_suspect)
    if not compared_routes:
        return Verdict(
            "no_evidence", "no calls to the old version", is_suspect=is_suspect
        )
    reason = f"not worse on {len(compared_routes)} routes"
    return Verdict("good", reason, "", "", is_suspect)
