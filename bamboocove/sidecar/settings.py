"""Settings of a sidecar node, which forwards requests for the worker on its host."""

from collections.abc import Mapping

from attrs import field, frozen

Address = tuple[str, int]


@frozen
class Bounds:
    """Limits that the deployment sets.

    Parameters
    ----------
    grace_s : float
        Time from the stop signal to the end of the process, in seconds.
    retry_ratio, retry_slack : float
        Retry budget of a service, for all nodes together in any 10 s: a ratio of
        its requests, and a number of retries in addition.
    is_revocation_strict : bool
        Whether a withdrawn key may be used no longer than ``revocation_s``, by nodes
        without the store, too.
    revocation_s : float
        Time for which a withdrawn key may still be used, in seconds.
    quota_window_s, quota_tolerance, quota_slack : float
        In any window, in seconds, an account may get its quota and this fraction of it
        more, and a number of requests in addition.
    cold_tolerance, cold_slack : float
        A cold worker may get this multiple of its rate in any second, and a number of
        requests in addition.
    evacuation_s : float
        Time after which no request may reach an evacuated zone, in seconds.
    """

    grace_s: float = 6.0
    retry_ratio: float = 0.2
    retry_slack: float = 60.0
    is_revocation_strict: bool = False
    revocation_s: float = 5.0
    quota_window_s: float = 5.0
    quota_tolerance: float = 0.1
    quota_slack: float = 20.0
    cold_tolerance: float = 1.5
    cold_slack: float = 8.0
    evacuation_s: float = 5.0


@frozen
class HostSettings:
    """Identity of a node and the addresses that it listens on and connects to.

    Parameters
    ----------
    host_id, zone, ip : str
        Name, availability zone and IP number of the host.
    service : str
        Service of the worker on the host.
    worker_address : (str, int)
        Where the worker accepts requests.
    caller_address, link_address, readiness_address, heartbeat_address : (str, int)
        Where the node listens for callers, for links of other nodes, for readiness
        checks, and for reports of its worker.
    store_address : (str, int)
        The platform's store.
    advertised_address : (str, int) or None
        Where other nodes reach this one, if not at ``link_address``: for example
        behind a proxy or network address translation.
    bounds : Bounds
        Limits that the deployment sets.
    link_bytes_per_s : int
        Rate of the host's network link; 0 if unknown.
    memory_bytes : int
        Memory that the process may use; 0 if unknown.
    is_first_start : bool
        Whether the whole system starts for the first time, so that no process ran
        on this host before.
    regions_by_zone : mapping of str to str
        All availability zones of the deployment, and the region of each; empty if
        unknown.
    """

    host_id: str
    zone: str
    ip: str
    service: str
    worker_address: Address
    caller_address: Address
    link_address: Address
    readiness_address: Address
    heartbeat_address: Address
    store_address: Address
    advertised_address: Address | None = None
    bounds: Bounds = Bounds()
    link_bytes_per_s: int = 0
    memory_bytes: int = 0
    is_first_start: bool = False
    regions_by_zone: Mapping[str, str] = field(factory=dict)
