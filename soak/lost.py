"""Requests that ended without an answer of a worker around planned work."""

from collections.abc import Iterator

from soak.records import ClientRequest, Journal

# Limits from the users' requirements, in seconds.
RECONNECT_S = 3.0
CONFIG_APPLY_S = 2.0
LOSS_SLACK_S = 0.2
GRACE_S = 6.0
# Requests sent until then after SIGTERM may be cut in the last sixth of GRACE_S.
LONG_RUN_SENT_S = 3.0
# What a timer may lag behind the time-out of a route.
TIMER_LAG_S = 0.1
# Statuses with which a node gives up on a request that a worker may have run.
GIVEN_UP_STATUSES = (502, 504)


def _is_cut_by_plan(journal: Journal, request: ClientRequest) -> bool:
    """Return whether planned work of the host or the operator met a request."""
    spans_by_kind = {
        "stop": GRACE_S + 1.0,
        "hang_up": CONFIG_APPLY_S,
        "change_config": CONFIG_APPLY_S + 1.0,
    }
    return any(
        disruption.kind in spans_by_kind
        and disruption.subject in (request.host_id, "operator")
        and disruption.start <= request.ended_at
        and request.sent_at <= disruption.start + spans_by_kind[disruption.kind]
        for disruption in journal.disruptions
    )


def _is_disturbed(journal: Journal, request: ClientRequest) -> bool:
    return any(
        not disruption.is_planned
        and disruption.start < request.ended_at
        and disruption.end + RECONNECT_S > request.sent_at
        for disruption in journal.disruptions
    )


def find_stop(journal: Journal, request: ClientRequest) -> float:
    """Return when the host of a request was last told to stop, or minus infinity."""
    return max(
        (
            disruption.start
            for disruption in journal.disruptions
            if disruption.kind == "stop"
            and disruption.subject == request.host_id
            and disruption.start <= request.ended_at
            and request.sent_at <= disruption.start + GRACE_S + 1.0
        ),
        default=float("-inf"),
    )


def find_unanswered(journal: Journal) -> Iterator[tuple[ClientRequest, str]]:
    """Yield requests that planned work cut before their time was over, and how.

    A client cannot see whether a node has read a request. One that reached no worker
    counts as read if its connection lasted LOSS_SLACK_S longer.
    """
    run_ids = {arrival.attempt_id for arrival in journal.arrivals if arrival.has_run}
    for request in journal.requests:
        has_run = request.attempt_id in run_ids
        lasted_s = request.ended_at - request.sent_at
        if not request.is_sent or lasted_s > request.timeout_s - TIMER_LAG_S:
            continue
        if request.status == 0 and (has_run or lasted_s > LOSS_SLACK_S):
            how = f"no answer ({request.problem})"
        elif (
            request.status in GIVEN_UP_STATUSES and not request.is_signed and has_run
        ) and find_stop(journal, request) > float("-inf"):
            how = f"status {request.status} of the node itself"
        else:
            continue
        if _is_cut_by_plan(journal, request) and not _is_disturbed(journal, request):
            yield request, how + (", a worker had it" if has_run else ", unsent")


def is_exempt(journal: Journal, request: ClientRequest) -> bool:
    """Return whether a request was still at work in the last sixth of a stop."""
    stopped_at = find_stop(journal, request)
    return (
        request.sent_at <= stopped_at + LONG_RUN_SENT_S
        and request.ended_at >= stopped_at + GRACE_S * 5 / 6
    )


def check_unanswered(journal: Journal) -> list[str]:
    """Check that planned work ends no request without the answer of its worker."""
    violations = []
    for request, how in find_unanswered(journal):
        if is_exempt(journal, request):
            continue
        stopped_at = find_stop(journal, request)
        when = f"after {request.ended_at - request.sent_at:.2f} s"
        if stopped_at > float("-inf"):
            when += f", {request.ended_at - stopped_at:.2f} s after SIGTERM,"
        violations.append(
            f"{request.attempt_id} of {request.host_id} got, {when} {how}"
        )
    return violations
