"""Invariants of a run, checked on what its clients and workers observed."""

from collections import defaultdict
from collections.abc import Iterable

from soak.lost import CONFIG_APPLY_S, LOSS_SLACK_S, RECONNECT_S, check_unanswered
from soak.records import ClientRequest, ConfigChange, Journal

# Limits from the users' requirements, in seconds.
REGRESSION_SLACK_S = 0.25
DRAIN_TIMEOUT_S = 2.0
ROLLBACK_TIMEOUT_S = 5.0
RECOVERY_S = 15.0
# Memory of a node on the smallest hosts, in KiB.
MEMORY_LIMIT_KIB = 128 * 1024
# Error responses of a faulty version after which ROLLBACK_TIMEOUT_S begins.
ROLLBACK_MIN_ERRORS = 50
# Times of a rate limit that a worker names: how soon it holds, the windows in which
# it is counted, and what a worker may get in one beyond half more than the rate.
LIMIT_WINDOW_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Disruptions of a host that end or pause no process.
HARMLESS_KINDS = (
    "cut_links",
    "reset_links",
    "delay_links",
    "hang_up",
    "cut_store",
    "fail_store",
    "slow_store",
    "forget_history",
)
# The requirement is a quarter; once all faults have ended, nothing prevents more.
MIN_RECOVERED_RATIO = 0.9
# Statuses that guarantee that the request has not run and never will.
NOT_RUN_STATUSES = (408, 421, 429, 503)


def is_undisturbed(
    journal: Journal,
    host_id: str,
    start: float,
    end: float,
    settle_s: float = RECONNECT_S,
    ignored: Iterable[str] = (),
) -> bool:
    """Return whether no disruption affected a host during an interval.

    Disruptions of the host itself, of the store and of all hosts count. Each one
    still counts for ``settle_s`` seconds after its end; kinds in ``ignored`` do
    not count.
    """
    return not any(
        disruption.subject in (host_id, "store", "*")
        and disruption.kind not in ignored
        and disruption.start < end
        and disruption.end + settle_s > start
        for disruption in journal.disruptions
    )


def check_at_most_once(journal: Journal) -> list[str]:
    """Check that no non-repeatable request ran more than once."""
    runs = defaultdict(int)
    for arrival in journal.arrivals:
        runs[arrival.attempt_id] += arrival.has_run
    return [
        f"{request.attempt_id} ran {runs[request.attempt_id]} times"
        for request in journal.requests
        if request.kind == "pay" and runs[request.attempt_id] > 1
    ]


def check_refusals(journal: Journal) -> list[str]:
    """Check that no non-repeatable request ran that was refused as not run."""
    run_ids = {arrival.attempt_id for arrival in journal.arrivals if arrival.has_run}
    return [
        f"{request.attempt_id} was refused with {request.status} and ran"
        for request in journal.requests
        if request.kind == "pay"
        and request.status in NOT_RUN_STATUSES
        and request.attempt_id in run_ids
    ]


def check_responses(journal: Journal) -> list[str]:
    """Check that each successful response is complete and matches its request."""
    return [
        f"{request.attempt_id} got {request.status}: {request.problem}"
        for request in journal.requests
        if 200 <= request.status < 300 and request.problem
    ]


def check_spurious_requests(journal: Journal) -> list[str]:
    """Check that workers receive only requests that clients sent, unmodified."""
    sent_by_id = {
        request.attempt_id: (request.target, request.digest)
        for request in journal.requests
    }
    return [
        f"{arrival.worker_id} got {arrival.attempt_id} {arrival.target}"
        for arrival in journal.arrivals
        if sent_by_id.get(arrival.attempt_id) != (arrival.target, arrival.digest)
    ]


def check_drain(journal: Journal) -> list[str]:
    """Check that no requests arrive DRAIN_TIMEOUT_S after an acknowledged drain."""
    acknowledged_at = {
        drain.worker_id: drain.acknowledged_at for drain in journal.drains
    }
    return [
        f"{arrival.worker_id} got {arrival.attempt_id} "
        f"{arrival.at - acknowledged_at[arrival.worker_id]:.2f} s after "
        "its drain was acknowledged"
        for arrival in journal.arrivals
        if arrival.worker_id in acknowledged_at
        and arrival.at > acknowledged_at[arrival.worker_id] + DRAIN_TIMEOUT_S
    ]


def check_limits(journal: Journal) -> list[str]:
    """Check that no worker gets far more requests than the rate that it names."""
    violations = []
    for limit in journal.limits:
        times = [
            arrival.at
            for arrival in journal.arrivals
            if arrival.worker_id == limit.worker_id
            and arrival.has_run
            and limit.start + RECONNECT_S <= arrival.at <= limit.end
        ]
        allowed = LIMIT_FACTOR * limit.limit_per_s * LIMIT_WINDOW_S + LIMIT_SLACK
        for start in times:
            count = sum(start <= at <= start + LIMIT_WINDOW_S for at in times)
            end = start + LIMIT_WINDOW_S
            if count > allowed and is_undisturbed(
                journal, limit.host_id, start, end, ignored=HARMLESS_KINDS
            ):
                violations.append(
                    f"{limit.worker_id} got {count} requests in {LIMIT_WINDOW_S:g} s, "
                    f"{allowed:.1f} allowed"
                )
    return violations


def _needs_older_version(
    request: ClientRequest, version: int, removals_by_route: dict[int, ConfigChange]
) -> bool:
    """Return whether only a configuration before ``version`` explains a response.

    Each configuration is identified by the number of the route that it adds. A
    removed route may be gone as soon as its removal was written.
    """
    removal = removals_by_route.get(request.route)
    if request.status == 200:
        return removal is not None and removal.added_route <= version
    is_removed = removal is not None and removal.acknowledged_at <= request.ended_at
    return request.status == 404 and request.route <= version and not is_removed


def _index_removals(journal: Journal) -> dict[int, ConfigChange]:
    return {
        change.removed_route: change
        for change in journal.changes
        if change.removed_route
    }


def check_config_applied(journal: Journal) -> list[str]:
    """Check that undisturbed hosts apply acknowledged configurations in time."""
    removals_by_route = _index_removals(journal)
    acknowledged_at = {
        change.added_route: change.acknowledged_at for change in journal.changes
    }
    return [
        f"{request.host_id} answered 404 for route {request.route} "
        f"{request.sent_at - acknowledged_at[request.route]:.2f} s after "
        "its configuration was acknowledged"
        for request in journal.requests
        if request.route
        and request.status == 404
        and request.sent_at > acknowledged_at[request.route] + CONFIG_APPLY_S
        and _needs_older_version(request, request.route, removals_by_route)
        and is_undisturbed(
            journal, request.host_id, request.sent_at - CONFIG_APPLY_S, request.ended_at
        )
    ]


def check_config_regression(journal: Journal) -> list[str]:
    """Check that no node process reverts to an older configuration.

    A process has applied at least the version that added a route which it served,
    or that removed a route which it lacks although it has applied the version that
    added it.
    """
    removals_by_route = _index_removals(journal)
    newest_versions: dict[tuple[str, int], tuple[int, float]] = {}
    violations = []
    for request in sorted(journal.requests, key=lambda item: item.ended_at):
        if not request.route or request.status not in (200, 404):
            continue
        process = (request.host_id, request.start_number)
        newest, at = newest_versions.get(process, (0, 0.0))
        if _needs_older_version(request, newest, removals_by_route):
            if request.sent_at > at + REGRESSION_SLACK_S:
                violations.append(
                    f"{request.host_id} answered {request.status} for route "
                    f"{request.route} after it had applied version {newest}"
                )
            continue
        shown = request.route if request.status == 200 else 0
        if request.status == 404 and request.route <= newest:
            shown = removals_by_route[request.route].added_route
        if shown > newest:
            newest_versions[process] = (shown, request.ended_at)
    return violations


def check_removed_routes(journal: Journal) -> list[str]:
    """Check that undisturbed hosts stop serving removed routes in time."""
    removed_at = {
        change.removed_route: change.acknowledged_at
        for change in journal.changes
        if change.removed_route
    }
    return [
        f"{request.host_id} served route {request.route} "
        f"{request.sent_at - removed_at[request.route]:.2f} s after its removal"
        for request in journal.requests
        if request.route in removed_at
        and request.status == 200
        and request.sent_at > removed_at[request.route] + CONFIG_APPLY_S
        and is_undisturbed(
            journal, request.host_id, request.sent_at - CONFIG_APPLY_S, request.ended_at
        )
    ]


def check_planned_stop(journal: Journal) -> list[str]:
    """Check that a planned stop aborts no request that a worker has received.

    Stops during an unplanned disruption, or during RECONNECT_S plus LOSS_SLACK_S
    after one, are skipped.
    """
    received_ids = {arrival.attempt_id for arrival in journal.arrivals}
    violations = []
    for stop in journal.disruptions:
        if stop.kind != "stop":
            continue
        unplanned = [
            disruption
            for disruption in journal.disruptions
            if disruption is not stop and not disruption.is_planned
        ]
        if any(
            disruption.start < stop.end
            and disruption.end + RECONNECT_S + LOSS_SLACK_S > stop.start
            for disruption in unplanned
        ):
            continue
        violations += [
            f"{request.attempt_id} was aborted by the stop of {request.host_id}: "
            f"{request.problem}"
            for request in journal.requests
            if request.host_id == stop.subject
            and request.attempt_id in received_ids
            and not request.status
            and stop.start - 2.0 < request.sent_at < stop.end
            and request.ended_at > stop.start
            and request.problem != "no answer in time"
        ]
    return violations


def check_rollback(journal: Journal) -> list[str]:
    """Check that a faulty version gets no requests once it must be rolled back.

    The limit is ROLLBACK_TIMEOUT_S after its ROLLBACK_MIN_ERRORS-th error response,
    or after the nodes had RECONNECT_S to recover from the last disruption of the
    store or of all hosts, whichever is later.
    """
    service, version = journal.faulty_version
    if len(journal.errors_at) < ROLLBACK_MIN_ERRORS:
        return []
    detectable_at = journal.errors_at[ROLLBACK_MIN_ERRORS - 1]
    stable_at = max(
        [
            disruption.end
            for disruption in journal.disruptions
            if disruption.subject in ("store", "*")
        ],
        default=0.0,
    )
    limit = max(detectable_at, stable_at + RECONNECT_S) + ROLLBACK_TIMEOUT_S
    requests_by_id: dict[str, ClientRequest] = {
        request.attempt_id: request for request in journal.requests
    }
    return [
        f"{arrival.worker_id} of faulty {version} got {arrival.attempt_id} "
        f"{arrival.at - detectable_at:.1f} s after {ROLLBACK_MIN_ERRORS} errors"
        for arrival in journal.arrivals
        if (arrival.service, arrival.version) == (service, version)
        and arrival.attempt_id in requests_by_id
        and requests_by_id[arrival.attempt_id].sent_at > limit
        and is_undisturbed(
            journal,
            requests_by_id[arrival.attempt_id].host_id,
            requests_by_id[arrival.attempt_id].sent_at,
            arrival.at,
        )
    ]


def check_recovery(journal: Journal) -> list[str]:
    """Check that requests are served again after the recovery time."""
    after_recovery = [
        request
        for request in journal.requests
        if request.kind != "probe" and request.sent_at > journal.recovery_deadline
    ]
    served = sum(request.status == 200 for request in after_recovery)
    if after_recovery and served >= MIN_RECOVERED_RATIO * len(after_recovery):
        return []
    return [
        f"{served} of {len(after_recovery)} requests were served after the recovery"
    ]


def check_unexpected_exits(journal: Journal) -> list[str]:
    """Check that no node process exited without SIGTERM or SIGKILL from the soak."""
    return list(journal.unexpected_exits)


def check_memory(journal: Journal) -> list[str]:
    """Check that no node process needed more memory than the smallest hosts have."""
    return [
        f"{host_id} used {peak_kib} KiB"
        for host_id, peak_kib in journal.peak_kib_by_host.items()
        if peak_kib > MEMORY_LIMIT_KIB
    ]


def check_program_errors(journal: Journal) -> list[str]:
    """Check that no task of a node ended with an exception."""
    return list(journal.program_errors)


CHECKS_BY_NAME = {
    "at most once": check_at_most_once,
    "true refusals": check_refusals,
    "whole answers": check_responses,
    "nothing unasked": check_spurious_requests,
    "drain": check_drain,
    "configuration in force": check_config_applied,
    "no older configuration": check_config_regression,
    "removed routes": check_removed_routes,
    "planned stop": check_planned_stop,
    "answers around planned work": check_unanswered,
    "exposure": check_rollback,
    "recovery": check_recovery,
    "own ends": check_unexpected_exits,
    "memory": check_memory,
    "rate limits": check_limits,
    "program errors": check_program_errors,
}


def run_checks(journal: Journal) -> dict[str, list[str]]:
    """Return the violations of each failed check, by the name of the check."""
    violations_by_name = {
        name: check(journal) for name, check in CHECKS_BY_NAME.items()
    }
    return {
        name: violations
        for name, violations in violations_by_name.items()
        if violations
    }
