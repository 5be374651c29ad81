"""Explains where a request would go now, without sending it."""

from typing import Any

from bamboocove.coordination.placement import (
    HostView,
    compute_mean_service_time,
    estimate_failure_rate,
    estimate_response_time,
    estimate_wait,
    pick_host,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.sidecar.error_responses import get_status_code
from bamboocove.state.mesh import ClientAccount, HostRoute


def explain_request(
    application: Any, hostname: str, path: str, key_digest: str, now: float
) -> dict[str, Any]:
    """Return what this node would do with a request of a local caller.

    Nothing changes at the node. The placement leaves out chance, moves of versions and
    what a request has met already.

    Parameters
    ----------
    application : SidecarApplication
        The node.
    hostname, path : str
        From the request.
    key_digest : str
        Digest of the key that the request carries, see ``coordination.accounts``; empty
        for none.
    now : float
        Seconds of the local clock.

    Returns
    -------
    explanation : dict
        ``outcome`` with ``status`` (0 if the request would be placed), ``reason`` and
        ``host``; the route, the account, its quota at this node, and the candidates of
        each service. Times are in milliseconds.
    """
    router = application.outbound.router
    explanation: dict[str, Any] = {
        "node": application.settings.host_id,
        "zone": application.settings.zone,
        "config": application.config.version,
        "evacuated_zones": sorted(application.fleet.evacuated_zones),
    }
    if not application.config.version:
        error = ErrorResult(ErrorKind.NOT_READY, "no configuration yet")
        return explanation | _refuse(error)
    route = router.find_route(hostname, path)
    if route is None:
        reason = f"no route for {hostname!r} {path}"
        return explanation | _refuse(ErrorResult(ErrorKind.NO_ROUTE, reason))
    explanation["route"] = _describe_route(route)
    account = router.authenticate_digest(route, key_digest)
    if isinstance(account, ErrorResult):
        return explanation | _refuse(account)
    priority = route.priority
    if account is not None:
        if account.priority is not None:
            priority = account.priority
        explanation["account"] = _describe_account(application, account)
        error = _check_account(application, account, explanation["account"])
        if error is not None:
            return explanation | _refuse(error)
    explanation["priority"] = priority
    services = [
        _describe_service(application, route, share.service, priority, now)
        for share in route.shares
        if share.weight > 0.0
    ]
    explanation["services"] = services
    for service in services:
        if not service["host"]:
            kind = ErrorKind.OVERLOADED if service["hosts"] else ErrorKind.NO_UPSTREAM
            reason = f"no worker of {service['service']} may be asked"
            return explanation | _refuse(ErrorResult(kind, reason))
    hosts = ", ".join(service["host"] for service in services)
    reason = "the least expected time to a response, see candidates"
    return explanation | {"outcome": {"status": 0, "reason": reason, "host": hosts}}


def _refuse(error: ErrorResult) -> dict[str, Any]:
    status = get_status_code(error)
    return {"outcome": {"status": status, "reason": str(error), "host": ""}}


def _describe_route(route: HostRoute) -> dict[str, Any]:
    return {
        "name": route.name,
        "is_idempotent": route.is_idempotent,
        "is_anonymous": route.is_anonymous,
        "target_ms": round(route.target_s * 1000),
        "timeout_ms": round(route.timeout_s * 1000),
        "attempts": route.attempts,
        "weights": {share.service: share.weight for share in route.shares},
    }


def _describe_account(application: Any, account: ClientAccount) -> dict[str, Any]:
    is_checked = application.key_proofs.is_active
    return {
        "name": account.name,
        "key_proof_age_s": application.key_proofs.get_age() if is_checked else None,
        "rate_per_s": account.rate_per_s,
        "burst": account.burst,
        "tokens_here": application.quotas.count_tokens(account.name),
        "denied_for_ms": round(application.quotas.get_denial(account.name) * 1000),
    }


def _check_account(
    application: Any, account: ClientAccount, described: dict[str, Any]
) -> ErrorResult | None:
    if application.key_proofs.is_stale():
        reason = "the node does not know whether keys were withdrawn of late"
        return ErrorResult(ErrorKind.STALE_KEYS, reason)
    if described["denied_for_ms"] and not described["tokens_here"]:
        reason = f"the account {account.name} has used its quota"
        return ErrorResult(ErrorKind.QUOTA_EXCEEDED, reason)
    return None


def _describe_service(
    application: Any, route: HostRoute, service: str, priority: int, now: float
) -> dict[str, Any]:
    views = application.outbound.get_views(service)
    default_s = compute_mean_service_time(views, route.name, route.target_s)
    picked = pick_host(
        views,
        route.name,
        priority,
        route.target_s,
        application.settings.zone,
        now,
        lambda: 0.5,
    )
    candidates = [
        _describe_host(view, route.name, priority, default_s, now) for view in views
    ]
    candidates.sort(key=lambda item: (item["skipped"] != "", item["expected_ms"]))
    traffic = application.outbound.get_traffic(service, route.name)
    return {
        "service": service,
        "host": "" if picked is None else picked.host_id,
        "hosts": len(views),
        "zone_share": round(traffic.share, 3),
        "mean_bytes": round(traffic.mean_bytes),
        "candidates": candidates,
    }


def _describe_host(
    view: HostView, route: str, priority: int, default_s: float, now: float
) -> dict[str, Any]:
    skipped = ""
    if view.suspended_until > now:
        skipped = "does not answer"
    elif view.busy_until > now and priority >= view.busy_priority:
        skipped = "refused a request a moment ago"
    expected_s = estimate_response_time(view, route, priority, default_s, now)
    return {
        "host": view.host_id,
        "zone": view.zone,
        "version": view.version,
        "slots": view.slots,
        "in_flight": view.in_flight,
        "wait_ms": round(estimate_wait(view, priority, default_s, now) * 1000),
        "expected_ms": round(expected_s * 1000),
        "failure_rate": round(estimate_failure_rate(view, now), 3),
        "report_age_ms": round(min(now - view.reported_at, 1e6) * 1000),
        "is_cold": view.cold_until > now,
        "skipped": skipped,
    }
