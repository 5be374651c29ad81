"""Verdicts on the step of a move, from the state of its judgement."""

import math

from attrs import frozen

from bamboocove.coordination.analysis import (
    CONFIDENCE,
    REFERENCE_ALPHA,
    Judgement,
    RouteTest,
    get_stream,
)

# With fewer calls on the new version a route has no evidence.
CALLS_MIN = 5
# Wealth at which no step is taken although the version is not shown to be bad.
SUSPECT_E_VALUE = 10.0
# Reports of no calls must span this time before a service counts as silent. A
# coordinator that hears nothing, because it is new or cut off, knows nothing.
SILENCE_S = 60.0


@frozen
class Verdict:
    """What the evidence of one step says.

    Parameters
    ----------
    kind : {"bad", "good", "no_evidence", "undecided"}
        ``no_evidence`` means too few calls to tell.
    reason : str
        For a person.
    route, request_class : str
        The route that decided; empty if none did.
    is_suspect : bool
        Whether there are signs, short of proof, that the version is bad.
    is_silent : bool
        Whether nodes reported for a while that there were no calls at all.
    """

    kind: str
    reason: str
    route: str = ""
    request_class: str = ""
    is_suspect: bool = False
    is_silent: bool = False


def _judge_route(test: RouteTest, log_threshold: float) -> tuple[str, str, bool]:
    """Return kind, reason and whether the route is suspect."""
    suspect = False
    earned = True
    log_reference = -math.log(REFERENCE_ALPHA)
    for stream, wagers in test.tests_by_stream.items():
        log_value = wagers.bad.log_value
        if log_value >= log_threshold:
            return "bad", f"{stream}: {_describe(test, stream)}", True
        suspect = suspect or log_value >= math.log(SUSPECT_E_VALUE)
        suspect = suspect or wagers.reference.log_value >= log_reference
        earned = earned and wagers.earned.log_value >= -math.log(1.0 - CONFIDENCE)
    calls = test.new_step.calls
    if calls < CALLS_MIN:
        return "no_evidence", f"{calls} calls to the new version", suspect
    if earned:
        return "good", f"{calls} calls to the new version", suspect
    return "undecided", f"{calls} calls to the new version", suspect


def _describe(test: RouteTest, stream: str) -> str:
    new_calls, new_bad = get_stream(test.new_total, stream)
    old_calls, old_bad = get_stream(test.old_total, stream)
    return f"{new_bad} of {new_calls} new calls, {old_bad} of {old_calls} old calls"


def get_verdict(judgement: Judgement, step: int) -> Verdict:
    """Judge one step by the evidence collected on it."""
    required = {
        key: test
        for key, test in sorted(judgement.tests_by_route.items())
        if test.old_total.calls
    }
    if step != judgement.step:
        return Verdict("no_evidence", f"no evidence of step {step}")
    if not any(
        test.old_total.calls + test.new_total.calls
        for test in judgement.tests_by_route.values()
    ):
        is_silent = judgement.elapsed_s >= SILENCE_S
        reason = "no calls on any route" if is_silent else "no calls reported yet"
        return Verdict("no_evidence", reason, is_silent=is_silent)
    found = {
        key: _judge_route(test, judgement.log_threshold)
        for key, test in judgement.tests_by_route.items()
    }
    is_suspect = any(suspect for _, _, suspect in found.values())
    for kind in ("bad", "undecided", "no_evidence"):
        for key in found if kind == "bad" else required:
            if found[key][0] == kind:
                reason = f"{kind} on route {key[0]} ({key[1]}): {found[key][1]}"
                return Verdict(kind, reason, *key, is_suspect)
    if not required:
        return Verdict(
            "no_evidence", "no calls to the old version", is_suspect=is_suspect
        )
    reason = f"not worse on {len(required)} routes"
    return Verdict("good", reason, "", "", is_suspect)
