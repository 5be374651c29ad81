"""Which host runs a request.

Load pattern: workers of one service that differ in speed by a factor of two or
three, some of them cold, slow or failing, while most are busy. Every answer
carries the state of the far queue, so that a host is chosen by the time that
the request would take there; a host that refused is not asked again at once.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

from attrs import define, field

# Time by which an answer from another availability zone must be faster to be
# worth the traffic between zones, in seconds.
ZONE_PENALTY_S = 0.03
# Part of the objective below which an earlier answer is worth little: a request
# then stays in its zone, even if a worker in another one is faster.
FAST_ENOUGH_PART = 0.4
# What remains of the difference between two such times.
FAST_ENOUGH_WEIGHT = 0.15
# A report older than this says nothing about the queue of a host, in seconds.
REPORT_S = 0.5
# Service time that is assumed for a host before its first answer, in seconds.
FIRST_SERVICE_S = 0.05
SERVICE_TIME_WEIGHT = 0.2
# Growth of the service time of a worker from idle to all slots in use.
CROWDING = 0.25
# Time that a certain failure is worth, as a multiple of the objective.
FAILURE_COST = 3.0
# Failures are forgotten with this time constant, so that a host that gets no
# requests is tried again, in seconds.
FAILURE_MEMORY_S = 2.0
# Random part of a score: nodes with the same reports do not all pick one host.
NOISE = 0.15
# A cold worker takes about twice as long.
COLD_FACTOR = 2.0
# Callers honour a time to come back up to this part of the time they have left.
PATIENT_PART = 0.33
RETURN_SPREAD = 0.45
SHORTEST_RETURN_S = 0.05


@define(frozen=True)
class QueueReport:
    """State of the queue beside a worker.

    Parameters
    ----------
    running, slots : int
        Requests that the worker runs, and may run.
    failure_permille : int
        Moving average of failed requests, in thousandths.
    waits_ms : tuple of int
        Expected wait by rank, the most urgent first; the last one holds for
        all further ranks.
    """

    running: int = 0
    slots: int = 1
    failure_permille: int = 0
    waits_ms: tuple[int, ...] = (0,)

    def get_wait(self, priority: int) -> float:
        """Return the expected wait of a request in seconds; ranks start at -1."""
        waits = self.waits_ms
        if not waits:
            return 0.0
        return waits[min(priority + 1, len(waits) - 1)] / 1000


@define(eq=False)
class HostView:
    """What this node knows about the worker of one host.

    Parameters
    ----------
    host_id, zone, service, version : str
        The host, and what its worker runs.
    slots : int
        Slots of the worker.
    in_flight : int
        Requests of this node that are there.
    report : QueueReport
        Last report, with ``reported_at`` in seconds of the local clock.
    busy_until, busy_priority : float, int
        Until when requests of this rank and less urgent ones are not sent
        there, because it refused one.
    suspended_until : float
        Until when it is passed over, because it does not answer.
    cold_until : float
        Until when the worker is slow after its start.
    """

    host_id: str
    zone: str
    service: str
    version: str
    slots: int
    in_flight: int = 0
    report: QueueReport = field(factory=QueueReport)
    reported_at: float = -1e9
    sent_since_report: int = 0
    busy_until: float = 0.0
    busy_priority: int = 0
    suspended_until: float = 0.0
    cold_until: float = 0.0
    service_s_by_route: dict[str, float] = field(factory=dict)

    def take_report(self, report: QueueReport, now: float) -> None:
        """Take the state of the far queue."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0

    def take_refusal(self, priority: int, until: float, now: float) -> None:
        """Pass over the host for requests of a rank and less urgent ones."""
        if self.busy_until > now:
            priority = min(priority, self.busy_priority)
        self.busy_until = until
        self.busy_priority = priority

    def record_service_time(self, route: str, seconds: float) -> None:
        """Take the time of one answer, without the time in the queue."""
        held = self.service_s_by_route.get(route, seconds)
        held += SERVICE_TIME_WEIGHT * (seconds - held)
        self.service_s_by_route[route] = held


def estimate_wait(view: HostView, priority: int, now: float) -> float:
    """Return the expected time in the queue of a host, in seconds."""
    age = now - view.reported_at
    if age > REPORT_S:
        free = view.slots - view.in_flight
        wait_s = 0.0
    else:
        report = view.report
        free = report.slots - report.running - view.sent_since_report
        wait_s = report.get_wait(priority)
        if wait_s:
            free = -view.sent_since_report
    if free <= 0:
        wait_s += (1 - free) * FIRST_SERVICE_S / max(1, view.slots)
    return wait_s


def estimate_time(
    view: HostView, route: str, priority: int, default_s: float, now: float
) -> float:
    """Return the expected time until the answer of a host, in seconds."""
    service_s = view.service_s_by_route.get(route, default_s)
    if view.cold_until > now:
        service_s = max(service_s, default_s) * COLD_FACTOR
    running = view.in_flight
    if now - view.reported_at <= REPORT_S:
        running = view.report.running + view.sent_since_report
    crowding = min(1.0, running / max(1, view.slots))
    service_s *= 1.0 + CROWDING * crowding * crowding
    return estimate_wait(view, priority, now) + service_s


def estimate_failure(view: HostView, now: float) -> float:
    """Return the expected share of failures of a host, from 0 to 1."""
    age = now - view.reported_at
    memory = max(0.0, 1.0 - age / FAILURE_MEMORY_S)
    return memory * view.report.failure_permille / 1000


def get_default_time(views: Iterable[HostView], route: str) -> float:
    """Return the mean service time of a route over the hosts that had some."""
    known = [
        view.service_s_by_route[route]
        for view in views
        if route in view.service_s_by_route
    ]
    return sum(known) / len(known) if known else FIRST_SERVICE_S


def pick_host(
    views: Sequence[HostView],
    route: str,
    priority: int,
    target_s: float,
    zone: str,
    now: float,
    random: Callable[[], float],
    excluded: Collection[str] = (),
) -> HostView | None:
    """Choose the host of a request.

    Parameters
    ----------
    views : sequence of HostView
        Hosts whose worker may run it.
    route : str
        Name of the route.
    priority : int
        Rank of the request.
    target_s : float
        Latency objective of the route, in seconds.
    zone : str
        Availability zone of this node.
    now : float
        Seconds of the local clock.
    random : callable
        Returns a float from 0 to 1.
    excluded : collection of str
        Hosts that refused or failed this request already.

    Returns
    -------
    view : HostView or None
        None if no host may be asked.
    """
    best = None
    best_score = 0.0
    default_s = get_default_time(views, route)
    # A call of a worker holds a slot of the worker that waits for it.
    fast_enough_s = FAST_ENOUGH_PART * target_s if priority >= 0 else 0.0
    for view in views:
        if view.suspended_until > now or view.host_id in excluded:
            continue
        if view.busy_until > now and priority >= view.busy_priority:
            continue
        score = estimate_time(view, route, priority, default_s, now)
        if score < fast_enough_s:
            score = fast_enough_s - FAST_ENOUGH_WEIGHT * (fast_enough_s - score)
        score += estimate_failure(view, now) * FAILURE_COST * target_s
        score *= 1.0 + NOISE * random()
        if view.zone != zone:
            score += ZONE_PENALTY_S
        if best is None or score < best_score:
            best = view
            best_score = score
    return best


def plan_return(left_s: float, random: Callable[[], float]) -> float:
    """Return when a refused caller should come back, in seconds.

    It can no longer be answered in time, so it comes back as late as callers
    honour, when a burst may be over; spread, so that callers that were refused
    together do not come back together. An early return would take a slot from
    a request that can still be answered in time.
    """
    longest_s = max(SHORTEST_RETURN_S, left_s * PATIENT_PART)
    return longest_s * (1.0 - RETURN_SPREAD * random())
