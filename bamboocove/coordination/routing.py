"""Which route, version and worker a call goes to."""

import hashlib
import math
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Route, Service
from bamboocove.state.snapshot import Snapshot
from bamboocove.state.upstreams import Upstream, compute_weight

# With more than this share of the workers ejected, the cause is more likely
# the node's own network or the service as a whole than single workers, and
# the remaining ones would be overloaded.
PANIC_SHARE = 0.5


@frozen
class Match:
    """The route that a request belongs to."""

    service: str
    route: Route


def match_route(
    snapshot: Snapshot, service: str | None, method: str, path: str
) -> Match | ErrorResult:
    """Find the route of a request.

    Parameters
    ----------
    snapshot : Snapshot
        Routes in force.
    service : str or None
        Value of ``bamboocove-service``; without it one service must own the
        path.
    method, path : str
        Method and path without query.

    Returns
    -------
    match : Match or ErrorResult
        ``NO_ROUTE`` or, for a path with dot segments, ``BAD_REQUEST``: a
        worker that resolves them would serve another route than the one whose
        rules were applied.
    """
    if "/." in path or "%" in path:
        if _has_dot_segment(path):
            return ErrorResult(ErrorKind.BAD_REQUEST, "path has dot segments")
    if service is not None:
        held = snapshot.services_by_name.get(service)
        if held is None:
            return ErrorResult(ErrorKind.NO_ROUTE, f"no service {service}")
        route = _find_route(held, method, path)
        if route is None:
            reason = f"no route of {service} for {method} {path}"
            return ErrorResult(ErrorKind.NO_ROUTE, reason)
        return Match(service, route)
    found = []
    for held in snapshot.services_by_name.values():
        route = _find_route(held, method, path)
        if route is not None:
            found.append(Match(held.name, route))
    if len(found) == 1:
        return found[0]
    if not found:
        return ErrorResult(ErrorKind.NO_ROUTE, f"no route for {method} {path}")
    names = ", ".join(sorted(match.service for match in found))
    reason = f"{method} {path} belongs to {names}; name one in bamboocove-service"
    return ErrorResult(ErrorKind.NO_ROUTE, reason)


def _has_dot_segment(path: str) -> bool:
    plain = path.lower().replace("%2e", ".").replace("%2f", "/").replace("%5c", "/")
    return any(segment in (".", "..") for segment in plain.split("/"))


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
    """Return the version whose share a fraction from 0 to 1 falls into.

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


def _rank(key: str, upstream: Upstream) -> bytes:
    host, port = upstream.address
    text = f"{key} {host}:{port}"
    return hashlib.blake2b(text.encode(), digest_size=8).digest()


def limit_workers(
    new: Sequence[Upstream], old_count: int, share: float, key: str
) -> list[Upstream]:
    """Return the workers of a new version that get calls at a share.

    The result is the same on every node, because only the key and the
    addresses count.

    Parameters
    ----------
    new : sequence of Upstream
        Ready workers of the new version.
    old_count : int
        Ready workers of the old version.
    share : float
        Share of calls of the new version.
    key : str
        Identifier of the move.
    """
    if share >= 1.0:
        return list(new)
    # The product of a decimal share can fall just below the whole number.
    count = max(1, math.floor(share * old_count + 1e-9))
    return sorted(new, key=lambda upstream: _rank(key, upstream))[:count]


def share_connections(connections: int, callers: int) -> int:
    """Return the connections to one worker that each calling node may use."""
    return max(1, connections // max(1, callers))


def count_callers(
    nodes_by_services: Mapping[frozenset[str], int],
    services_by_name: Mapping[str, Service],
    service: str,
) -> int:
    """Count the nodes that call a service.

    These are the nodes whose workers depend on it and, because callers without
    a worker use any of them, the nodes of its own workers. A worker of a
    service that this node does not know counts as a caller.

    Parameters
    ----------
    nodes_by_services : mapping of frozenset of str to int
        Number of nodes by the services of their workers.
    services_by_name : mapping of str to Service
        Services that this node knows.
    service : str
        The service that is called.
    """

    def is_caller(name: str) -> bool:
        held = services_by_name.get(name)
        return held is None or name == service or service in held.depends_on

    return sum(
        count
        for names, count in nodes_by_services.items()
        if any(is_caller(name) for name in names)
    )


@frozen
class Candidates:
    """Workers that may get calls of one version.

    Parameters
    ----------
    near, far : tuple of Upstream
        Ready workers in the node's own availability zone, and in others.
    """

    near: tuple[Upstream, ...]
    far: tuple[Upstream, ...]


def split_zones(upstreams: Iterable[Upstream], zone: str) -> Candidates:
    """Sort workers by whether they are in a zone."""
    near = []
    far = []
    for upstream in upstreams:
        (near if upstream.zone == zone else far).append(upstream)
    return Candidates(tuple(near), tuple(far))


def pick_upstream(
    candidates: Candidates,
    now: float,
    random: Callable[[], float],
    excluded: Collection[Any] = (),
) -> Upstream | ErrorResult:
    """Choose the worker of a call.

    Parameters
    ----------
    candidates : Candidates
        Ready workers of the version.
    now : float
        Seconds, by the clock of the call path.
    random : callable
        Returns a float from 0 to 1.
    excluded : collection of Upstream
        Workers that refused this call already.

    Returns
    -------
    upstream : Upstream or ErrorResult
        ``NO_UPSTREAM`` if none is ready, ``OVERLOADED`` if all are at their
        connection share.
    """
    total = len(candidates.near) + len(candidates.far)
    if not total:
        return ErrorResult(ErrorKind.NO_UPSTREAM, "no worker is ready")
    is_panic = is_panicking(candidates, now)
    is_full = False
    for zone in (candidates.near, candidates.far):
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


def is_panicking(candidates: Candidates, now: float) -> bool:
    """Return whether so many workers are ejected that ejection is ignored."""
    total = len(candidates.near) + len(candidates.far)
    ejected = 0
    for zone in (candidates.near, candidates.far):
        for upstream in zone:
            if upstream.ejected_until > now:
                ejected += 1
    return ejected > PANIC_SHARE * total


def _pick_of_two(
    usable: Sequence[Upstream], now: float, random: Callable[[], float]
) -> Upstream:
    if len(usable) == 1:
        return usable[0]
    count = len(usable)
    index = int(random() * count)
    first = usable[index]
    second = usable[(index + 1 + int(random() * (count - 1))) % count]
    # A worker in its slow start takes part in a draw with the probability of
    # its weight, so that it is not favoured for being idle.
    first_weight = compute_weight(first, now)
    second_weight = compute_weight(second, now)
    if first_weight != second_weight:
        if first_weight < second_weight and random() >= first_weight:
            return second
        if second_weight < first_weight and random() >= second_weight:
            return first
    return second if second.in_flight < first.in_flight else first
