"""Route lookup by host name and path prefix, and weighted choice of a service."""

from collections.abc import Callable, Mapping

from attrs import define, field

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.mesh import HostRoute, MeshConfig, ServiceShare

PrefixTable = dict[str, dict[str, HostRoute]]

# Number of positions in the cycle of a weighted round robin from which a node draws
# its first one.
START_POSITIONS = 100


def compile_routes(config: MeshConfig) -> PrefixTable | ErrorResult:
    """Return the routes of a configuration by host name and path prefix.

    Returns
    -------
    table : dict or ErrorResult
        ``INVALID_CONFIG`` if a route refers to a service that does not exist in
        the configuration.
    """
    table: PrefixTable = {}
    for route in config.routes_by_name.values():
        for share in route.shares:
            if share.service not in config.services_by_name:
                reason = f"route {route.name} refers to no service {share.service}"
                return ErrorResult(ErrorKind.INVALID_CONFIG, reason)
        table.setdefault(route.host, {})[route.prefix] = route
    return table


def find_route(
    table: Mapping[str, Mapping[str, HostRoute]], host: str, path: str
) -> HostRoute | None:
    """Return the route with the longest prefix that matches a path.

    A port in ``host`` is ignored unless a route names it. Prefixes match whole
    path segments.

    Examples
    --------
    >>> from bamboocove.state.mesh import ServiceShare
    >>> share = (ServiceShare("s", 1),)
    >>> short = HostRoute("a", "h", "/a/", share, True, 1.0, 1.0)
    >>> long = HostRoute("b", "h", "/a/b/", share, True, 1.0, 1.0)
    >>> table = {"h": {"/a/": short, "/a/b/": long}}
    >>> find_route(table, "h:80", "/a/b/c").name
    'b'
    """
    routes = table.get(host) or table.get(host.partition(":")[0].lower())
    if not routes:
        return None
    end = len(path)
    while (end := path.rfind("/", 0, end)) >= 0:
        route = routes.get(path[: end + 1])
        if route is not None:
            return route
    return None


@define
class WeightedRoundRobin:
    """Smooth weighted round robin over the services of each route.

    Unlike a random choice, it keeps the shares exact over few requests: in 300
    random choices, a share of 10% would often be off by 5%. It starts at a random
    point of its cycle. Otherwise the first requests of all nodes would go to the
    service with the largest weight, and many nodes with few requests each would
    together miss the shares.

    Parameters
    ----------
    random : callable
        Returns a float from 0 to 1.
    """

    _random: Callable[[], float]
    _credits_by_route: dict[str, dict[str, float]] = field(factory=dict)
    _shares_by_route: dict[str, tuple[ServiceShare, ...]] = field(factory=dict)

    def pick(self, route: HostRoute) -> str:
        """Return the service that gets the next request of a route."""
        if len(route.shares) == 1:
            return route.shares[0].service
        if self._shares_by_route.get(route.name) != route.shares:
            self._start_cycle(route)
        return _advance(self._credits_by_route[route.name], route)

    def _start_cycle(self, route: HostRoute) -> None:
        # Credit under other weights could exceed the new ones, and a service whose
        # weight is now 0 would still get a request.
        self._shares_by_route[route.name] = route.shares
        credits = {share.service: 0.0 for share in route.shares}
        self._credits_by_route[route.name] = credits
        for _ in range(int(self._random() * START_POSITIONS)):
            _advance(credits, route)


def _advance(credits: dict[str, float], route: HostRoute) -> str:
    total = 0.0
    for share in route.shares:
        credits[share.service] += share.weight
        total += share.weight
    best = max(credits, key=credits.__getitem__)
    credits[best] -= total
    return best


@define
class VersionSplitter:
    """Sends an exact share of a service's requests to its new version."""

    _credit_by_service: dict[str, float] = field(factory=dict)

    def is_new(self, service: str, share: float, random: Callable[[], float]) -> bool:
        """Return whether the next request of a service goes to the new version.

        Parameters
        ----------
        service : str
            Name of the service.
        share : float
            Share of requests for the new version, from 0 to 1.
        random : callable
            Returns a float from 0 to 1. It sets the initial credit, so that
            nodes don't all send their first request to the new version at the
            same moment.
        """
        if share <= 0.0:
            return False
        credit = self._credit_by_service.get(service)
        if credit is None:
            credit = random()
        credit += share
        is_new = credit >= 1.0
        self._credit_by_service[service] = credit - 1.0 if is_new else credit
        return is_new
