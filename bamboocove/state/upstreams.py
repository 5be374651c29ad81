"""Per-node state of upstream workers: slow start and outlier ejection."""

from attrs import define, field

from bamboocove.state.members import Member, WorkerRecord

Address = tuple[str, int]

# Consecutive failed calls after which a worker is ejected for a limited time.
# A failed connect leaves no doubt and ejects the worker at once.
FAILURES_TO_EJECT = 5
INITIAL_EJECTION_S = 1.0
MAX_EJECTION_S = 30.0
# Time in which the weight of a new worker grows to that of the others.
SLOW_START_S = 10.0
MIN_WEIGHT = 0.1
# Smoothing factor of the moving average of outcomes: weight of the newest call.
OUTCOME_WEIGHT = 0.1


def format_address(address: Address) -> str:
    """Return an address as ``host:port``.

    Examples
    --------
    >>> format_address(("10.0.0.1", 80))
    '10.0.0.1:80'
    """
    host, port = address
    return f"{host}:{port}"


@define(eq=False)
class Upstream:
    """State that this node keeps about one worker.

    Parameters
    ----------
    address : (str, int)
        Host and port.
    service, version, zone : str
        Service and version that it runs, and its availability zone.
    slots, connections : int
        Concurrent calls and connections that it accepts from all nodes
        together.
    first_seen : float
        Start of its slow start, in seconds of the call path's clock.
    node_id : str
        Member that announced the worker.

    Attributes
    ----------
    state : str
        State of the worker's record.
    in_flight : int
        Calls that this node has dispatched or is about to dispatch.
    connection_share : int
        Number of connections that this node may open.
    success_average : float
        Exponential moving average of outcomes; 1.0 if all calls succeed.
    ejected_until, refused_until : float
        Times until which it gets no calls: because of its failures, or because
        it asked for a delay.
    ejections, consecutive_failures : int
        Numbers of ejections and failed calls since the last success.
    """

    address: Address
    service: str
    version: str
    zone: str
    slots: int
    connections: int
    first_seen: float
    node_id: str = ""
    state: str = "ready"
    in_flight: int = 0
    connection_share: int = 1
    success_average: float = 1.0
    ejected_until: float = 0.0
    refused_until: float = 0.0
    ejections: int = 0
    consecutive_failures: int = 0


def compute_weight(upstream: Upstream, now: float) -> float:
    """Return the load-balancing weight of a worker, below 1 in its slow start.

    Examples
    --------
    >>> new = Upstream(("127.0.0.1", 1), "s", "v1", "a", 1, 1, first_seen=100.0)
    >>> compute_weight(new, 100.0), compute_weight(new, 105.0)
    (0.1, 0.5)
    """
    age = now - upstream.first_seen
    if age >= SLOW_START_S:
        return 1.0
    return max(MIN_WEIGHT, age / SLOW_START_S)


def record_success(upstream: Upstream) -> None:
    """Record a call that the worker answered without a server error."""
    upstream.consecutive_failures = 0
    upstream.ejections = 0
    upstream.success_average += OUTCOME_WEIGHT * (1.0 - upstream.success_average)


def record_failure(upstream: Upstream, now: float) -> float:
    """Record a failed call, and eject the worker after too many in a row.

    Returns
    -------
    seconds : float
        Duration of the ejection; 0 if the worker is not ejected.
    """
    upstream.success_average -= OUTCOME_WEIGHT * upstream.success_average
    upstream.consecutive_failures += 1
    if upstream.consecutive_failures < FAILURES_TO_EJECT:
        return 0.0
    return eject(upstream, now)


def eject(upstream: Upstream, now: float) -> float:
    """Eject a worker, with exponential backoff.

    Returns
    -------
    seconds : float
        Duration of the ejection, twice that of the previous one. 0 if the
        worker is ejected already, so that failures of calls in flight do not
        prolong an ejection.
    """
    if now < upstream.ejected_until:
        return 0.0
    seconds = min(MAX_EJECTION_S, INITIAL_EJECTION_S * 2**upstream.ejections)
    upstream.ejections += 1
    upstream.consecutive_failures = 0
    upstream.ejected_until = now + seconds
    return seconds


@define
class UpstreamTable:
    """All workers known to one node, indexed by address and by service.

    Parameters
    ----------
    upstreams_by_address : dict of (str, int) to Upstream
        All announced workers.
    upstreams_by_service : dict of str to dict of (str, int) to Upstream
        The same workers by service and address.
    """

    upstreams_by_address: dict[Address, Upstream] = field(factory=dict)
    upstreams_by_service: dict[str, dict[Address, Upstream]] = field(factory=dict)

    def update(self, old: Member | None, new: Member | None, now: float) -> None:
        """Replace the workers of a member's old record by those of its new one.

        Parameters
        ----------
        old, new : Member or None
            Previous and current record; None if the member is not live.
        now : float
            Time in seconds of the call path's clock.
        """
        kept = set()
        if new is not None:
            for worker in new.workers:
                self._put(new, worker, now)
                kept.add(worker.address)
        if old is not None:
            for worker in old.workers:
                upstream = self.upstreams_by_address.get(worker.address)
                # Another member may have taken over the address.
                is_own = upstream is not None and upstream.node_id == old.node_id
                if is_own and worker.address not in kept:
                    self._remove(upstream)

    def _put(self, member: Member, worker: WorkerRecord, now: float) -> None:
        upstream = self.upstreams_by_address.get(worker.address)
        identity = (member.node_id, worker.service, worker.version)
        if upstream is not None and identity != (
            upstream.node_id,
            upstream.service,
            upstream.version,
        ):
            self._remove(upstream)
            upstream = None
        if upstream is None:
            upstream = Upstream(
                worker.address,
                worker.service,
                worker.version,
                member.zone,
                worker.slots,
                worker.connections,
                now,
                node_id=member.node_id,
            )
            self.upstreams_by_address[worker.address] = upstream
            by_address = self.upstreams_by_service.setdefault(worker.service, {})
            by_address[worker.address] = upstream
        elif upstream.state in ("starting", "down") and worker.state == "ready":
            upstream.first_seen = now
            upstream.ejected_until = 0.0
        upstream.state = worker.state
        upstream.slots = worker.slots
        upstream.connections = worker.connections

    def _remove(self, upstream: Upstream) -> None:
        del self.upstreams_by_address[upstream.address]
        del self.upstreams_by_service[upstream.service][upstream.address]
