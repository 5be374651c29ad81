"""Load balancing: the choice of the host that runs a request.

Load pattern: workers of one service that differ in speed by a factor of two or
three, some of them cold, slow or failing, while most are busy. Every response
carries the state of the remote queue, so hosts are compared by the predicted
response time there. A host that refused a request is skipped for a short time.
"""

from collections.abc import Callable, Collection, Iterable, Sequence

from attrs import define, field

from bamboocove.coordination.zone_traffic import (
    HEADROOM_FRACTION,
    INITIAL_BYTES,
    MAX_FAR_WAIT_FRACTION,
    NO_WORKER,
    REFUSED_IN_ZONE,
    RouteTraffic,
    compute_cost,
)

# Fraction of the latency objective below which a faster response has little
# value: the request then stays in its zone even if a worker elsewhere is faster.
FAST_ENOUGH_FRACTION = 0.4
# Weight of differences between response times below that threshold.
FAST_ENOUGH_WEIGHT = 0.15
# Queue reports older than this are ignored, in seconds.
REPORT_MAX_AGE_S = 0.5
# Service time assumed until the first response of a service, as a fraction of the
# latency objective: objectives are a few times the usual service time.
INITIAL_SERVICE_FRACTION = 0.25
# Weight of the newest sample in the moving averages of the service time.
SERVICE_TIME_WEIGHT = 0.2
# Relative increase of a worker's service time from idle to all slots in use.
SATURATION_SLOWDOWN = 0.25
# Cost of a failure rate of 1, as a multiple of the latency objective.
FAILURE_COST = 3.0
# The weight of a reported failure rate falls linearly to 0 over this time, in
# seconds, so that a host that gets no requests is tried again.
FAILURE_DECAY_S = 2.0
# Relative random part of a score, so that nodes with the same reports don't all
# choose the same host.
SCORE_JITTER = 0.15
# Service time of a cold worker relative to a warm one.
COLD_FACTOR = 2.0


@define(frozen=True)
class QueueReport:
    """State of a worker's queue as reported by its node.

    Parameters
    ----------
    running, slots : int
        Requests that the worker runs, and the most that it runs concurrently.
    failure_permille : int
        Moving average of the failure rate, in thousandths.
    waits_ms : tuple of int
        Predicted queueing time by priority in milliseconds, from priority -1 on;
        the last one applies to all further priorities.
    """

    running: int = 0
    slots: int = 1
    failure_permille: int = 0
    waits_ms: tuple[int, ...] = (0,)

    def get_wait(self, priority: int) -> float:
        """Return the predicted queueing time in seconds; priorities start at -1."""
        waits = self.waits_ms
        if not waits:
            return 0.0
        return waits[min(priority + 1, len(waits) - 1)] / 1000


@define(eq=False)
class HostView:
    """State of one host's worker as known to this node.

    Parameters
    ----------
    host_id, zone, service, version : str
        The host, and the service and version that its worker runs.
    slots : int
        Number of requests that the worker runs concurrently.
    in_flight : int
        Requests of this node at the host.
    report : QueueReport
        Last report, received at ``reported_at``, in seconds of the local clock.
    sent_since_report : int
        Requests that this node has sent since then.
    busy_until, busy_priority : float, int
        Until ``busy_until``, no requests of this priority or a less urgent one
        are sent, because the host refused one.
    suspended_until : float
        Until then the host is skipped, because it does not respond.
    cold_until : float
        Until then the worker is slow because it has just started.
    cold_per_s : float
        Requests per second that the worker takes from all nodes while it is cold; 0 if
        it is not, or takes any number.
    service_s_by_route : dict of str to float
        Moving averages of the service time, in seconds.
    mean_service_s : float
        The same over all routes; 0 without samples. Requests of all of them wait in
        one queue.
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
    cold_per_s: float = 0.0
    service_s_by_route: dict[str, float] = field(factory=dict)
    mean_service_s: float = 0.0

    def update_report(self, report: QueueReport, now: float) -> None:
        """Store a new report of the host's queue."""
        self.report = report
        self.reported_at = now
        self.sent_since_report = 0

    def record_refusal(self, priority: int, until: float, now: float) -> None:
        """Skip the host for requests of a priority and less urgent ones."""
        if self.busy_until > now:
            priority = min(priority, self.busy_priority)
        self.busy_until = until
        self.busy_priority = priority

    def record_service_time(self, route: str, seconds: float) -> None:
        """Add the service time of one response, queueing time excluded."""
        mean_s = self.service_s_by_route.get(route, seconds)
        mean_s += SERVICE_TIME_WEIGHT * (seconds - mean_s)
        self.service_s_by_route[route] = mean_s
        mean_s = self.mean_service_s or seconds
        self.mean_service_s = mean_s + SERVICE_TIME_WEIGHT * (seconds - mean_s)


def estimate_wait(view: HostView, priority: int, default_s: float, now: float) -> float:
    """Return the predicted queueing time at a host, in seconds.

    ``default_s`` is the service time assumed for a host without samples.
    """
    slots = view.slots
    # Requests of this node are all at the host, whatever the last report says: it was
    # made before the latest ones arrived there.
    used = view.in_flight
    sent = view.in_flight
    wait_s = 0.0
    if now - view.reported_at <= REPORT_MAX_AGE_S:
        report = view.report
        slots = report.slots
        wait_s = report.get_wait(priority)
        sent = view.sent_since_report
        if wait_s:
            # The report counts all requests before these.
            wait_s += sent * (view.mean_service_s or default_s) / (1 + slots)
        elif report.running + sent > used:
            used = report.running + sent
    beyond_slots = used + 1 - slots
    if beyond_slots > 0:
        # Requests that run for some time already end evenly spread over a service time.
        own_s = beyond_slots * (view.mean_service_s or default_s) / (1 + slots)
        wait_s = max(wait_s, own_s)
    if view.cold_per_s:
        # The next one waits for the limit, however many slots are free.
        wait_s += sent / view.cold_per_s
    return wait_s


def estimate_response_time(
    view: HostView, route: str, priority: int, default_s: float, now: float
) -> float:
    """Return the predicted response time of a host, in seconds.

    ``default_s`` is the service time assumed for a host without samples.
    """
    service_s = view.service_s_by_route.get(route, default_s)
    if view.cold_until > now:
        service_s = max(service_s, default_s) * COLD_FACTOR
    running = view.in_flight
    if now - view.reported_at <= REPORT_MAX_AGE_S:
        running = view.report.running + view.sent_since_report
    utilization = min(1.0, running / max(1, view.slots))
    service_s *= 1.0 + SATURATION_SLOWDOWN * utilization * utilization
    return estimate_wait(view, priority, default_s, now) + service_s


def estimate_failure_rate(view: HostView, now: float) -> float:
    """Return the predicted failure rate of a host, from 0 to 1."""
    age = now - view.reported_at
    weight = max(0.0, 1.0 - age / FAILURE_DECAY_S)
    return weight * view.report.failure_permille / 1000


def compute_mean_service_time(
    views: Iterable[HostView], route: str, target_s: float
) -> float:
    """Return the mean service time of a route over the hosts with samples.

    Without samples of the route it is that of the service, or a fraction of the
    latency objective ``target_s``.
    """
    known = [
        view.service_s_by_route[route]
        for view in views
        if route in view.service_s_by_route
    ] or [view.mean_service_s for view in views if view.mean_service_s]
    return sum(known) / len(known) if known else INITIAL_SERVICE_FRACTION * target_s


@define
class _FarZone:
    """Best host of another zone that has room, and how many of its workers do."""

    workers: int = 0
    free: int = 0
    view: HostView | None = None
    score: float = float("inf")
    expected_s: float = float("inf")


def pick_host(
    views: Sequence[HostView],
    route: str,
    priority: int,
    target_s: float,
    zone: str,
    now: float,
    random: Callable[[], float],
    excluded: Collection[str] = (),
    traffic: RouteTraffic | None = None,
    asks_busy: bool = False,
) -> HostView | None:
    """Return the host with the best score for a request.

    Parameters
    ----------
    views : sequence of HostView
        Hosts whose worker may run the request.
    route : str
        Name of the route.
    priority : int
        Priority of the request; lower values are more urgent.
    target_s : float
        Latency objective of the route, in seconds.
    zone : str
        Availability zone of this node.
    now : float
        Seconds of the local clock.
    random : callable
        Returns a float from 0 to 1.
    excluded : collection of str
        Identifiers of hosts that already refused or failed this request.
    traffic : RouteTraffic or None
        Traffic between zones of the route; told why the request leaves the zone.
        Without it each request that saves enough leaves.
    asks_busy : bool
        Whether hosts that refused another request a moment ago may be asked.

    Returns
    -------
    view : HostView or None
        None if no host is eligible.
    """
    near = None
    near_score = near_s = float("inf")
    has_near_worker = False
    far_by_zone: dict[str, _FarZone] = {}
    # Best hosts of all other zones, whether they have room or not.
    any_far = short_far = None
    any_score = short_score = float("inf")
    max_wait_s = MAX_FAR_WAIT_FRACTION * target_s
    default_s = compute_mean_service_time(views, route, target_s)
    # While a worker waits for its own call, one of its slots stays occupied, so
    # for such calls every faster response counts.
    fast_enough_s = FAST_ENOUGH_FRACTION * target_s if priority >= 0 else 0.0
    for view in views:
        if view.suspended_until > now:
            continue
        is_near = view.zone == zone
        if is_near:
            has_near_worker = True
        else:
            far = far_by_zone.get(view.zone)
            if far is None:
                far = far_by_zone[view.zone] = _FarZone()
            far.workers += 1
        if view.host_id in excluded or (
            not asks_busy and view.busy_until > now and priority >= view.busy_priority
        ):
            continue
        expected_s = estimate_response_time(view, route, priority, default_s, now)
        if expected_s < fast_enough_s:
            expected_s = fast_enough_s - FAST_ENOUGH_WEIGHT * (
                fast_enough_s - expected_s
            )
        if view.report.failure_permille:
            expected_s += estimate_failure_rate(view, now) * FAILURE_COST * target_s
        score = expected_s * (1.0 + SCORE_JITTER * random())
        if is_near:
            if score < near_score:
                near, near_score = view, score
            if expected_s < near_s:
                near_s = expected_s
            continue
        if has_room(view, priority, now):
            far.free += 1
            if score < far.score:
                far.view, far.score, far.expected_s = view, score, expected_s
        if score < any_score:
            any_far, any_score = view, score
        if (
            score < short_score
            and estimate_wait(view, priority, default_s, now) <= max_wait_s
        ):
            short_far, short_score = view, score
    if traffic is not None:
        traffic.reason = ""
    if not far_by_zone:
        return near
    if near is not None:
        far = min(far_by_zone.values(), key=lambda item: item.score)
        is_better = _is_better(
            far, near_s, target_s, bool(excluded), now, random, traffic
        )
        return far.view if is_better else near
    far = min(far_by_zone.values(), key=lambda item: (item.view is None, item.score))
    if traffic is not None:
        traffic.reason = REFUSED_IN_ZONE if has_near_worker else NO_WORKER
    if far.view is not None:
        return far.view
    return short_far if has_near_worker and priority >= 0 else any_far


def has_room(view: HostView, priority: int, now: float) -> bool:
    """Return whether a worker has more free slots than its own zone may need soon."""
    if now - view.reported_at > REPORT_MAX_AGE_S:
        slots, used = view.slots, view.in_flight
    else:
        report = view.report
        if report.get_wait(priority):
            return False
        slots = report.slots
        used = max(report.running + view.sent_since_report, view.in_flight)
    return slots - used > HEADROOM_FRACTION * slots


def _is_better(
    far: _FarZone,
    near_s: float,
    target_s: float,
    is_refused: bool,
    now: float,
    random: Callable[[], float],
    traffic: RouteTraffic | None,
) -> bool:
    """Return whether a request that its own zone could take goes to another zone."""
    if traffic is None:
        return near_s - far.expected_s > compute_cost(INITIAL_BYTES, target_s)
    traffic.update_share(near_s, far.expected_s, target_s, now)
    return far.view is not None and traffic.may_leave(
        near_s, far.expected_s, far.free / far.workers, target_s, is_refused, random
    )
