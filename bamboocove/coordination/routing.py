"""Routing of calls: choice of the route, the version and the worker."""

import hashlib
import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Route, Service
from bamboocove.state.snapshot import Snapshot
from bamboocove.state.upstreams import Upstream, compute_weight

# Ejections are ignored while more than this fraction of the workers is ejected:
# the cause is then more likely the node's own network or the service as a whole
# than single workers, and the remaining workers would be overloaded.
PANIC_THRESHOLD = 0.5


@frozen
class RouteMatch:
    """A route that matches a request, and the service that owns it."""

    service: str
    route: Route


def match_route(
    snapshot: Snapshot, service: str | None, method: str, path: str
) -> RouteMatch | ErrorResult:
    """Return the route of a request: the longest matching path prefix.

    Parameters
    ----------
    snapshot : Snapshot
        Compiled configuration in force.
    service : str or None
        Value of the ``bamboocove-service`` header. Without it, exactly one
        service must have a matching route.
    method, path : str
        Method, and path without the query string.

    Returns
    -------
    match : RouteMatch or ErrorResult
        ``NO_ROUTE`` or, for a path with dot segments, ``BAD_REQUEST``: a worker
        that resolves dot segments would serve another route than the one whose
        rules were applied.
    """
    if "/." in path or "%" in path:
        if _has_dot_segment(path):
            return ErrorResult(ErrorKind.BAD_REQUEST, "path has dot segments")
    if service is not None:
        owner = snapshot.services_by_name.get(service)
        if owner is None:
            return ErrorResult(ErrorKind.NO_ROUTE, f"no service {service}")
        route = _find_route(owner, method, path)
        if route is None:
            reason = f"no route of {service} for {method} {path}"
            return ErrorResult(ErrorKind.NO_ROUTE, reason)
        return RouteMatch(service, route)
    matches = []
    for owner in snapshot.services_by_name.values():
        route = _find_route(owner, method, path)
        if route is not None:
            matches.append(RouteMatch(owner.name, route))
    if len(matches) == 1:
        return matches[0]
    if not matches:
        return ErrorResult(ErrorKind.NO_ROUTE, f"no route for {method} {path}")
    names = ", ".join(sorted(match.service for match in matches))
    reason = f"{method} {path} belongs to {names}; name one in bamboocove-service"
    return ErrorResult(ErrorKind.NO_ROUTE, reason)


def _has_dot_segment(path: str) -> bool:
    decoded = path.lower().replace("%2e", ".").replace("%2f", "/").replace("%5c", "/")
    return any(segment in (".", "..") for segment in decoded.split("/"))


def _find_route(service: Service, method: str, path: str) -> Route | None:
    best = None
    for route in service.routes:
        prefix = route.path
        if (
            path.startswith(prefix)
            and method in route.methods
            and (
                len(path) == len(prefix)
                or prefix.endswith("/")
                or path[len(prefix)] == "/"
            )
            and (best is None or len(prefix) > len(best.path))
        ):
            best = route
    return best


def pick_version(split: Mapping[str, float], fraction: float) -> str:
    """Return the version of a traffic split that a random fraction falls into.

    Parameters
    ----------
    split : mapping of str to float
        Share of calls by version; the shares add up to 1.
    fraction : float
        Uniformly distributed number from 0 to 1.

    Examples
    --------
    >>> pick_version({"v1": 0.9, "v2": 0.1}, 0.95)
    'v2'
    """
    total = 0.0
    version = ""
    for version, share in split.items():
        total += share
        if fraction < total:
            return version
    return version


def _rendezvous_hash(key: str, upstream: Upstream) -> bytes:
    host, port = upstream.address
    text = f"{key} {host}:{port}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def select_new_workers(
    new: Sequence[Upstream], old_count: int, share: float, key: str
) -> list[Upstream]:
    """Return the workers of a new version that get its share of calls.

    Their number is limited in proportion to the share. The choice is made by
    rendezvous hashing over the key and the addresses, so every node selects the
    same workers.

    Parameters
    ----------
    new : sequence of Upstream
        Ready workers of the new version.
    old_count : int
        Number of ready workers of the old version.
    share : float
        Share of calls that go to the new version, from 0 to 1.
    key : str
        Identifier of the move.
    """
    if share >= 1.0:
        return list(new)
    # 1e-9 offsets floating-point products just below a whole number.
    count = max(1, math.floor(share * old_count + 1e-9))
    return sorted(new, key=lambda upstream: _rendezvous_hash(key, upstream))[:count]


def compute_connection_share(connections: int, callers: int) -> int:
    """Return how many connections to one worker each calling node may use."""
    return max(1, connections // max(1, callers))


def count_callers(
    nodes_by_services: Mapping[frozenset[str], int],
    services_by_name: Mapping[str, Service],
    service: str,
) -> int:
    """Count the nodes that may call a service.

    These are the nodes whose workers depend on the service, and the nodes of its
    own workers, because callers without a worker may use any of those. A worker
    of a service that is missing from this node's configuration counts as a
    caller.

    Parameters
    ----------
    nodes_by_services : mapping of frozenset of str to int
        Number of nodes by the set of services that their workers run.
    services_by_name : mapping of str to Service
        Services in the configuration of this node.
    service : str
        Name of the called service.
    """

    def is_caller(name: str) -> bool:
        caller = services_by_name.get(name)
        return caller is None or name == service or service in caller.depends_on

    return sum(
        count
        for names, count in nodes_by_services.items()
        if any(is_caller(name) for name in names)
    )


@frozen
class Candidates:
    """Workers that may get calls to one version.

    Parameters
    ----------
    local, remote : tuple of Upstream
        Ready workers in the node's own availability zone, and in others.
    """

    local: tuple[Upstream, ...]
    remote: tuple[Upstream, ...]


def split_by_zone(upstreams: Iterable[Upstream], zone: str) -> Candidates:
    """Partition workers into those of an availability zone and the others."""
    local = []
    remote = []
    for upstream in upstreams:
        (local if upstream.zone == zone else remote).append(upstream)
    return Candidates(tuple(local), tuple(remote))


def pick_upstream(
    candidates: Candidates,
    now: float,
    random: Callable[[], float],
    excluded: Collection[Any] = (),
) -> Upstream | ErrorResult:
    """Return the worker for a call, by the power of two random choices.

    Workers in the node's own availability zone are preferred.

    Parameters
    ----------
    candidates : Candidates
        Ready workers of the version.
    now : float
        Seconds of the clock of the call path.
    random : callable
        Returns a float from 0 to 1.
    excluded : collection of Upstream
        Workers that already refused this call.

    Returns
    -------
    upstream : Upstream or ErrorResult
        ``NO_UPSTREAM`` if no worker is ready or accepts calls, ``OVERLOADED`` if
        all workers that accept calls are at their connection share.
    """
    total = len(candidates.local) + len(candidates.remote)
    if not total:
        return ErrorResult(ErrorKind.NO_UPSTREAM, "no worker is ready")
    is_panic = is_in_panic_mode(candidates, now)
    is_full = False
    for zone in (candidates.local, candidates.remote):
        usable = []
        for upstream in zone:
            if upstream.refused_until > now or upstream in excluded:
                continue
            if upstream.ejected_until > now and not is_panic:
                continue
            if upstream.in_flight >= upstream.connection_share:
                is_full = True
                continue
            usable.append(upstream)
        if usable:
            return _pick_of_two(usable, now, random)
    if is_full:
        return ErrorResult(ErrorKind.OVERLOADED, "all workers are at their limit")
    return ErrorResult(ErrorKind.NO_UPSTREAM, "no worker accepts calls")


def is_in_panic_mode(candidates: Candidates, now: float) -> bool:
    """Return whether so many workers are ejected that ejections are ignored."""
    total = len(candidates.local) + len(candidates.remote)
    ejected = 0
    for zone in (candidates.local, candidates.remote):
        for upstream in zone:
            if upstream.ejected_until > now:
                ejected += 1
    return ejected > PANIC_THRESHOLD * total


def _pick_of_two(
    usable: Sequence[Upstream], now: float, random: Callable[[], float]
) -> Upstream:
    if len(usable) == 1:
        return usable[0]
    count = len(usable)
    index = int(random() * count)
    first = usable[index]
    second = usable[(index + 1 + int(random() * (count - 1))) % count]
    # During slow start a worker is a candidate only with the probability of its
    # weight; otherwise it would be preferred for being idle.
    first_weight = compute_weight(first, now)
    second_weight = compute_weight(second, now)
    if first_weight != second_weight:
        if first_weight < second_weight and random() >= first_weight:
            return second
        if second_weight < first_weight and random() >= second_weight:
            return first
    return second if second.in_flight < first.in_flight else first
