"""What one node knows about each worker that it calls."""

from attrs import define, field

from bamboocove.state.members import Member, WorkerRecord

Address = tuple[str, int]

# Consecutive failed calls after which a worker is left out for a while. A
# failed connect is certain and ejects at once.
FAILURES_TO_EJECT = 5
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 30.0
# Time over which a new worker's share of calls grows to that of the others.
SLOW_START_S = 10.0
LEAST_WEIGHT = 0.1
# Weight of the newest call in the outcome average.
OUTCOME_WEIGHT = 0.1


def format_address(address: Address) -> str:
    """Return an address as it is written.

    Examples
    --------
    >>> format_address(("10.0.0.1", 80))
    '10.0.0.1:80'
    """
    host, port = address
    return f"{host}:{port}"


@define(eq=False)
class Upstream:
    """One worker as seen from this node.

    Parameters
    ----------
    address : (str, int)
        Host and port.
    service, version, zone : str
        What it runs and where.
    slots, connections : int
        Calls it runs and connections it accepts, from all nodes together.
    first_seen : float
        Seconds, by the clock of the call path.
    node_id : str
        Member that announced it.

    Attributes
    ----------
    state : str
        State of the worker's record.
    in_flight : int
        Calls of this node that are dispatched or about to be.
    connection_share : int
        Connections that this node may use.
    success_average : float
        Moving average of outcomes, 1.0 for all good.
    ejected_until, refused_until : float
        Until when it gets no calls because of its outcomes, or because it
        asked for a delay.
    ejections, consecutive_failures : int
        Reset by a success.
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
    """Return the share of calls of a worker in its slow start, up to 1.

    Examples
    --------
    >>> new = Upstream(("127.0.0.1", 1), "s", "v1", "a", 1, 1, first_seen=100.0)
    >>> compute_weight(new, 100.0), compute_weight(new, 105.0)
    (0.1, 0.5)
    """
    age = now - upstream.first_seen
    if age >= SLOW_START_S:
        return 1.0
    return max(LEAST_WEIGHT, age / SLOW_START_S)


def record_success(upstream: Upstream) -> None:
    """Count a call that the worker answered without a server error."""
    upstream.consecutive_failures = 0
    upstream.ejections = 0
    upstream.success_average += OUTCOME_WEIGHT * (1.0 - upstream.success_average)


def record_failure(upstream: Upstream, now: float) -> float:
    """Count a failed call.

    Returns
    -------
    seconds : float
        For how long the worker is ejected; 0 if it is not.
    """
    upstream.success_average -= OUTCOME_WEIGHT * upstream.success_average
    upstream.consecutive_failures += 1
    if upstream.consecutive_failures < FAILURES_TO_EJECT:
        return 0.0
    return eject(upstream, now)


def eject(upstream: Upstream, now: float) -> float:
    """Leave a worker out, each time for twice as long.

    Returns
    -------
    seconds : float
        For how long. Failures of calls that were in flight when it was
        ejected do not prolong it.
    """
    if now < upstream.ejected_until:
        return 0.0
    seconds = min(LONGEST_EJECTION_S, FIRST_EJECTION_S * 2**upstream.ejections)
    upstream.ejections += 1
    upstream.consecutive_failures = 0
    upstream.ejected_until = now + seconds
    return seconds


@define
class UpstreamTable:
    """All workers known to one node.

    Parameters
    ----------
    upstreams_by_address : dict of (str, int) to Upstream
        Kept while the worker is announced.
    upstreams_by_service : dict of str to dict of (str, int) to Upstream
        The same by service.
    """

    upstreams_by_address: dict[Address, Upstream] = field(factory=dict)
    upstreams_by_service: dict[str, dict[Address, Upstream]] = field(factory=dict)

    def update(self, old: Member | None, new: Member | None, now: float) -> None:
        """Take over the workers of one member in place of its former ones.

        Parameters
        ----------
        old, new : Member or None
            Former and present record; None for a member that is not live.
        now : float
            Seconds, by the clock of the call path.
        """
        kept = set()
        if new is not None:
            for worker in new.workers:
                self._put(new, worker, now)
                kept.add(worker.address)
        if old is not None:
            for worker in old.workers:
                held = self.upstreams_by_address.get(worker.address)
                # Another member may have taken over the address.
                is_own = held is not None and held.node_id == old.node_id
                if is_own and worker.address not in kept:
                    self._remove(held)

    def _put(self, member: Member, worker: WorkerRecord, now: float) -> None:
        held = self.upstreams_by_address.get(worker.address)
        identity = (member.node_id, worker.service, worker.version)
        if held is not None and identity != (
            held.node_id,
            held.service,
            held.version,
        ):
            self._remove(held)
            held = None
        if held is None:
            held = Upstream(
                worker.address,
                worker.service,
                worker.version,
                member.zone,
                worker.slots,
                worker.connections,
                now,
                node_id=member.node_id,
            )
            self.upstreams_by_address[worker.address] = held
            by_address = self.upstreams_by_service.setdefault(worker.service, {})
            by_address[worker.address] = held
        elif held.state in ("starting", "down") and worker.state == "ready":
            held.first_seen = now
            held.ejected_until = 0.0
        held.state = worker.state
        held.slots = worker.slots
        held.connections = worker.connections

    def _remove(self, upstream: Upstream) -> None:
        del self.upstreams_by_address[upstream.address]
        del self.upstreams_by_service[upstream.service][upstream.address]
