"""Configuration and members of a mesh in which every host forwards for its worker."""

from collections.abc import Mapping

from attrs import field, frozen


@frozen
class ServiceShare:
    """Part of a route's requests that goes to one service.

    Parameters
    ----------
    service : str
        Name of the service.
    weight : float
        Part relative to the other shares of the route.
    """

    service: str
    weight: float


@frozen
class HostRoute:
    """One route, selected by host name and path prefix.

    Parameters
    ----------
    name : str
        Unique within the configuration.
    host : str
        Host name in lower case, without port.
    prefix : str
        Path prefix; begins and ends with a slash.
    shares : tuple of ServiceShare
        Where requests go.
    is_idempotent : bool
        Whether a request may run more than once.
    timeout_s : float
        Longest time that a request is kept waiting, in seconds.
    target_s : float
        Latency objective, in seconds.
    attempts : int
        Most workers that one request may be sent to.
    priority : int
        Rank under load; 0 is the most urgent.
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


@frozen
class MeshService:
    """One service of the mesh.

    Parameters
    ----------
    name : str
        Unique within the configuration.
    health_path : str
        Path of the worker's health check.
    max_connections : int
        Connections that one worker accepts.
    """

    name: str
    health_path: str
    max_connections: int


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
        Longest time that callers keep an idle connection, in seconds.
    """

    version: int = 0
    routes_by_name: Mapping[str, HostRoute] = field(factory=dict)
    services_by_name: Mapping[str, MeshService] = field(factory=dict)
    idle_timeout_s: float = 60.0


@frozen
class MeshWorker:
    """What a worker last said of itself.

    Parameters
    ----------
    worker_id : str
        Identifies one start of a worker, as a rule.
    service, version : str
        What it runs.
    slots : int
        Requests that it runs at a time.
    state : {"ready", "draining", "gone", "down"}
        ``gone`` after it signed off, ``down`` while it does not answer.
    cold_s : float
        Seconds for which it stays slow after its start.
    born_ms : int
        Unix time in milliseconds of its start.
    sequence : int
        Increases with each report of one start.
    """

    worker_id: str
    service: str
    version: str
    slots: int
    state: str = "ready"
    cold_s: float = 0.0
    born_ms: int = 0
    sequence: int = 0

    @property
    def age_key(self) -> tuple[int, int]:
        """Order in which reports supersede each other."""
        return (self.born_ms, self.sequence)


@frozen
class HostRecord:
    """One host of the mesh and the worker on it.

    Parameters
    ----------
    host_id : str
        Name of the host.
    incarnation : int
        Unix time in milliseconds at which the node process started.
    sequence : int
        Raised by the node itself at each change.
    address : (str, int)
        Where its node accepts links of other nodes.
    zone : str
        Availability zone.
    is_leaving : bool
        Whether the node process is about to stop.
    worker : MeshWorker or None
        The worker on the host, once it has announced itself.
    """

    host_id: str
    incarnation: int
    sequence: int
    address: tuple[str, int]
    zone: str
    is_leaving: bool = False
    worker: MeshWorker | None = None

    @property
    def age_key(self) -> tuple[int, int]:
        """Order in which records of one host supersede each other."""
        return (self.incarnation, self.sequence)


@frozen
class MoveOrder:
    """An operator's order to move a service to a version.

    Parameters
    ----------
    service, to_version : str
        What moves.
    duration_s : float
        Time in which traffic must have moved, in seconds.
    revision : int
        Revision of the store at which the order was written.
    """

    service: str
    to_version: str
    duration_s: float
    revision: int


@frozen
class VersionRule:
    """Which versions of a service may run requests.

    Parameters
    ----------
    service : str
        Name of the service.
    current : str
        Version that carries traffic; empty if any that is not banned may.
    banned : tuple of str
        Versions that were taken back.
    to_version : str
        Version of the last order.
    order_revision : int
        Revision of the last order; 0 without one.
    state : {"", "running", "succeeded", "rolled_back"}
        How the last order stands.
    """

    service: str
    current: str = ""
    banned: tuple[str, ...] = ()
    to_version: str = ""
    order_revision: int = 0
    state: str = ""

    @property
    def age_key(self) -> tuple[int, bool]:
        """Order in which rules of one service supersede each other."""
        return (self.order_revision, self.state in ("succeeded", "rolled_back"))

    def allows(self, version: str) -> bool:
        """Return whether a version may run requests, leaving shares aside."""
        if self.state == "running" and version == self.to_version:
            return True
        if version in self.banned:
            return False
        return not self.current or version == self.current
