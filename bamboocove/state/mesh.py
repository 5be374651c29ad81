"""Configuration and membership of the mesh of host proxies.

Every host runs a node, which forwards requests to and from its worker.
"""

from collections.abc import Mapping
from ipaddress import IPv4Address
from typing import Any

from attrs import Attribute, field, frozen
from attrs.validators import ge, le

# Largest integer that all implementations of JSON and CBOR keep exactly.
MAX_COUNT = 2**53
_IS_COUNT = [ge(0), le(MAX_COUNT)]


def _check_address(record: Any, attribute: Attribute, address: Any) -> None:
    """Raise ValueError unless one can connect to the address without a name lookup."""
    host, port = address
    IPv4Address(host)
    if not 0 < port < 65536:
        raise ValueError(f"not a port: {port}")


@frozen
class ServiceShare:
    """One service of a route's traffic split, with its weight.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Weight relative to the other shares of the route.
    """

    service: str
    weight: float


@frozen
class HostRoute:
    """A route, matched by host name and path prefix.

    Parameters
    ----------
    name : str
        Unique within the configuration.
    host : str
        Host name in lower case, without port.
    prefix : str
        Path prefix; begins and ends with a slash.
    shares : tuple of ServiceShare
        Services that receive the requests.
    is_idempotent : bool
        Whether a request may safely run more than once.
    timeout_s : float
        Maximum time that a request is kept waiting, in seconds.
    target_s : float
        Latency objective in seconds.
    attempts : int
        Maximum number of workers that one request is sent to.
    priority : int
        Priority under load; 0 is the most urgent.
    is_anonymous : bool
        Whether requests need no key of a client account.
    allowed_regions : tuple of str
        Regions in which requests may run; empty for all.
    """

    name: str
    host: str
    prefix: str
    shares: tuple[ServiceShare, ...]
    is_idempotent: bool
    timeout_s: float
    target_s: float
    attempts: int = 1
    priority: int = 0
    is_anonymous: bool = False
    allowed_regions: tuple[str, ...] = ()


@frozen
class ClientAccount:
    """An account whose clients authenticate their requests with a key.

    Parameters
    ----------
    name : str
        Unique within the configuration; workers get it with each request.
    key_digests : tuple of str
        Digests of the keys, see ``bamboocove.coordination.accounts``. No node knows
        the keys themselves.
    priority : int or None
        Priority under load, which takes precedence over that of the route; None if the
        account has none.
    rate_per_s, burst : float
        Requests per second that all nodes together may take, and how many more at once;
        a rate of 0 means no limit.
    allowed_regions : tuple of str
        Regions in which requests may run; empty for all.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    rate_per_s: float = field(default=0.0, validator=_IS_COUNT)
    burst: float = field(default=0.0, validator=_IS_COUNT)
    allowed_regions: tuple[str, ...] = ()


@frozen
class MeshService:
    """A service of the mesh and the settings of its workers.

    Parameters
    ----------
    name : str
        Unique within the configuration.
    health_path : str
        URL path of a worker's health check.
    max_connections : int
        Maximum number of connections that one worker accepts.
    cold_start_s : float
        Time for which a worker is cold after its start, in seconds.
    cold_per_s : float
        Requests per second that a cold worker takes; 0 for no limit.
    """

    name: str
    health_path: str
    max_connections: int
    cold_start_s: float = field(default=0.0, validator=_IS_COUNT)
    cold_per_s: float = field(default=0.0, validator=_IS_COUNT)


@frozen
class MeshConfig:
    """One version of the operators' configuration.

    Parameters
    ----------
    version : int
        Increases with each change; 0 is the empty configuration.
    routes_by_name : dict of str to HostRoute
        All routes.
    services_by_name : dict of str to MeshService
        All services.
    idle_timeout_s : float
        Maximum time that callers keep an idle connection open, in seconds.
    max_body_bytes : int or None
        Maximum size of the body of a request, in bytes; None if none is set.
    accounts_by_name : dict of str to ClientAccount
        All client accounts; without any, requests need no key.
    """

    version: int = 0
    routes_by_name: Mapping[str, HostRoute] = field(factory=dict)
    services_by_name: Mapping[str, MeshService] = field(factory=dict)
    idle_timeout_s: float = 60.0
    max_body_bytes: int | None = None
    accounts_by_name: Mapping[str, ClientAccount] = field(factory=dict)


@frozen
class MeshWorker:
    """State of a worker as it last reported it.

    Parameters
    ----------
    worker_id : str
        Identifies the worker; usually different after each start.
    service, version : str
        Service and version that it runs.
    slots : int
        Number of requests that it runs concurrently.
    state : {"ready", "draining", "gone", "down"}
        ``gone`` after it deregistered, ``down`` while it does not respond.
    cold_s : float
        Length of the slow phase after its start, in seconds.
    born_ms : int
        Unix time of its start, in milliseconds.
    sequence : int
        Increases with each report since its start.
    limit_per_s : float
        Requests per second that it takes from all hosts together, as its responses
        say or because it is cold; 0 if there is no limit.
    cold_per_s : float
        Requests per second that it takes because it is cold; 0 if it is not, or takes
        any number.
    """

    worker_id: str
    service: str
    version: str
    slots: int = field(validator=[ge(1), le(MAX_COUNT)])
    state: str = "ready"
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0
    limit_per_s: float = field(default=0.0, validator=[ge(0), le(MAX_COUNT)])
    cold_per_s: float = field(default=0.0, validator=_IS_COUNT)

    @property
    def incarnation(self) -> tuple[str, int]:
        """Identity of one start of the worker."""
        return (self.worker_id, self.born_ms)

    @property
    def age_key(self) -> tuple[int, int]:
        """Sort key by which the newest report of a worker supersedes the others."""
        return (self.born_ms, self.sequence)


@frozen
class HostRecord:
    """A host of the mesh, its node and its worker.

    Parameters
    ----------
    host_id : str
        Name of the host.
    incarnation : int
        Unix time in milliseconds at which the node process started.
    sequence : int
        Incremented by the node itself at each change of the record.
    address : (str, int)
        Host and port at which the node accepts links from other nodes.
    zone : str
        Availability zone.
    is_leaving : bool
        Whether the node process is about to stop.
    worker : MeshWorker or None
        Worker on the host; None until it has announced itself.
    link_bytes_per_s : int
        Rate of the host's network link. Its node takes offers of large bodies if this
        is not 0; nodes of earlier releases do not.
    departed_by_id : mapping of str to int
        Workers of this host that have left, the latest ones, each with the Unix time up
        to which its starts are over, in milliseconds.
    blocked_requests : mapping of str to (int, int)
        Requests that crash workers, by fingerprint, as far as this host took part in a
        crash: the number of crashes, and the Unix time of the last one in milliseconds.
    """

    host_id: str
    incarnation: int = field(validator=_IS_COUNT)
    sequence: int = field(validator=_IS_COUNT)
    address: tuple[str, int] = field(validator=_check_address)
    zone: str
    is_leaving: bool = False
    worker: MeshWorker | None = None
    link_bytes_per_s: int = field(default=0, validator=_IS_COUNT)
    departed_by_id: Mapping[str, int] = field(factory=dict)
    blocked_requests: Mapping[str, tuple[int, int]] = field(factory=dict)

    @property
    def age_key(self) -> tuple[int, int]:
        """Sort key by which the newest record of a host supersedes the others."""
        return (self.incarnation, self.sequence)


@frozen
class MoveOrder:
    """An operator's order to move the traffic of a service to a version.

    Parameters
    ----------
    service, to_version : str
        Service, and the version that is to receive its traffic.
    duration_s : float
        Time within which all traffic must reach the version, in seconds.
    revision : int
        Revision of the store at which the order was written.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int


@frozen
class VersionRule:
    """Rule that decides which versions of a service may receive requests.

    Parameters
    ----------
    service : str
        Name of the service.
    current : str
        Version that receives traffic; if empty, any version that is not banned.
    banned : tuple of str
        Versions that were rolled back.
    to_version : str
        Target version of the last order.
    order_revision : int
        Revision of the last order; 0 if there was none.
    state : {"", "running", "succeeded", "rolled_back"}
        Status of the last order; empty if there was none.
    """

    service: str
    current: str = ""
    banned: tuple[str, ...] = ()
    to_version: str = ""
    order_revision: int = 0
    state: str = ""

    @property
    def age_key(self) -> tuple[int, bool]:
        """Sort key by which the newest rule of a service supersedes the others."""
        return (self.order_revision, self.state in ("succeeded", "rolled_back"))

    def allows(self, version: str) -> bool:
        """Return whether a version may receive requests, whatever its share is."""
        if self.state == "running" and version == self.to_version:
            return True
        if version in self.banned:
            return False
        return not self.current or version == self.current
