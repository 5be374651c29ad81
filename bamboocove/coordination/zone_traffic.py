"""Traffic between availability zones: which requests leave the zone of their caller.

Load pattern: bodies of 300 bytes to 60 KB, zones with more callers than their workers
can serve, and reports of other zones that are 0.4 s old. Traffic between zones is
billed by the byte, so a request leaves only if its caller saves more time than its
bytes cost. If all nodes sent every such request as soon as a report shows a faster
worker elsewhere, the load would swing between zones. The share of such requests that
leave therefore rises over about a second and falls over several.
"""

from collections.abc import Callable

from attrs import define, field

# Caller time in seconds that one byte between zones is worth: 0.03 s for a request and
# an answer of 6 KB together.
COST_S_PER_BYTE = 0.03 / 6000
# Bytes of a request with its answer, assumed before the first answer of a route.
INITIAL_BYTES = 6000
# Callers hardly notice a smaller part of the objective, so a smaller saving is not
# worth a detour, however small the bodies are.
MIN_SAVING_FRACTION = 0.05
# A larger part of the objective often decides whether a request is in time, so such a
# saving is worth a detour, however large the bodies are.
MAX_SAVING_FRACTION = 0.25
# Weight of the newest sample in the moving averages of the bytes.
BYTES_WEIGHT = 0.1
# The share rises if the saving is this multiple of the cost, and falls if it is below
# the cost. Between the two it stays, so that it settles.
CLEAR_SAVING = 2.0
# Rise of the share per second. Reports of other zones are up to 0.5 s old; a full rise
# takes longer, so that a node sees the effect of what it sends before it sends more.
RISE_PER_S = 1.5
# Rise while the own zone misses the objective: callers are then late until it rises.
MISSED_RISE_PER_S = 4.0
# Fall of the share per second, slow compared with bursts of load.
FALL_PER_S = 0.2
# Longest time that one request makes the share rise for, in seconds. A route that had
# no requests for longer has seen nothing in that time.
MAX_RISE_STEP_S = 0.25
# Fraction of a far worker's slots that is left to the callers of its own zone.
HEADROOM_FRACTION = 0.15
# A request that the own zone has refused may also go to a far worker with a wait of up
# to this fraction of the objective, which the callers there hardly notice.
MAX_FAR_WAIT_FRACTION = 0.1
# Routes that are remembered; the configuration has at most some thousand.
MAX_ROUTES = 4096

# Why a request left its zone.
NO_WORKER = "no-worker"
REFUSED_IN_ZONE = "refused"
OBJECTIVE = "objective"
FASTER = "faster"


@define(eq=False)
class RouteTraffic:
    """Traffic between zones of one route to one service.

    Parameters
    ----------
    mean_bytes : float
        Moving average of the bytes of a request and its answer.
    share : float
        Share of the requests that may leave, if they save more than they cost.
    reason : str
        Why the latest request left the zone; empty if it stayed.
    requests_by_reason : dict of str to int
        Requests that left the zone.
    bytes_left : int
        Bytes of the bodies of these requests and of their answers.
    """

    mean_bytes: float = INITIAL_BYTES
    share: float = 0.0
    reason: str = ""
    requests_by_reason: dict[str, int] = field(factory=dict)
    bytes_left: int = 0
    _updated_at: float = float("-inf")
    _has_samples: bool = False

    def record_reply(self, size: int, has_left: bool, is_answered: bool) -> None:
        """Count the bytes of a request and the reply to it.

        Parameters
        ----------
        size : int
            Bytes of the bodies that were sent.
        has_left : bool
            Whether the host is in another zone.
        is_answered : bool
            Whether the reply is the answer of a worker. Refusals say nothing about the
            usual size.
        """
        if has_left:
            self.bytes_left += size
        if not is_answered:
            return
        if not self._has_samples:
            self._has_samples = True
            self.mean_bytes = size
        else:
            self.mean_bytes += BYTES_WEIGHT * (size - self.mean_bytes)

    def count_left(self) -> None:
        """Count a request that was sent to another zone, for the latest reason."""
        self.requests_by_reason[self.reason] = (
            self.requests_by_reason.get(self.reason, 0) + 1
        )

    def update_share(
        self, near_s: float, far_s: float, target_s: float, now: float
    ) -> None:
        """Adapt the share to the expected response times in and outside the zone.

        Parameters
        ----------
        near_s, far_s : float
            Best expected response time in the own zone and elsewhere, in seconds.
        target_s : float
            Latency objective of the route, in seconds.
        now : float
            Seconds of the local clock.
        """
        elapsed_s = now - self._updated_at
        self._updated_at = now
        cost_s = compute_cost(self.mean_bytes, target_s)
        saving_s = near_s - far_s
        if saving_s > cost_s and near_s > target_s:
            rise = MISSED_RISE_PER_S
        elif saving_s > CLEAR_SAVING * cost_s:
            rise = RISE_PER_S
        elif saving_s > cost_s:
            return
        else:
            self.share = max(0.0, self.share - FALL_PER_S * elapsed_s)
            return
        self.share = min(1.0, self.share + rise * min(elapsed_s, MAX_RISE_STEP_S))

    def may_leave(
        self,
        near_s: float,
        far_s: float,
        free_fraction: float,
        target_s: float,
        is_refused: bool,
        random: Callable[[], float],
    ) -> bool:
        """Return whether a request leaves the zone, and note why.

        Parameters
        ----------
        near_s, far_s, target_s
            As for ``update_share``.
        free_fraction : float
            Fraction of the far zone's workers that have room.
        is_refused : bool
            Whether a host has refused or failed the request. Such a request has lost
            time already and may fail altogether, so neither its bytes nor the share
            hold it back.
        random : callable
            Returns a float from 0 to 1.
        """
        cost_s = compute_cost(0 if is_refused else self.mean_bytes, target_s)
        if near_s - far_s <= cost_s:
            return False
        if not is_refused and random() >= self.share * free_fraction:
            return False
        self.reason = OBJECTIVE if near_s > target_s else FASTER
        return True


@define
class ZoneTraffic:
    """Traffic between zones of all routes of this node."""

    routes_by_key: dict[tuple[str, str], RouteTraffic] = field(factory=dict)

    def get(self, service: str, route: str) -> RouteTraffic:
        """Return the traffic of a route to a service."""
        traffic = self.routes_by_key.get((service, route))
        if traffic is None:
            if len(self.routes_by_key) >= MAX_ROUTES:
                del self.routes_by_key[next(iter(self.routes_by_key))]
            traffic = self.routes_by_key[service, route] = RouteTraffic()
        return traffic


def compute_cost(size: float, target_s: float) -> float:
    """Return the least saving that justifies sending bytes to another zone.

    Parameters
    ----------
    size : float
        Bytes of the request and its answer.
    target_s : float
        Latency objective, in seconds.

    Returns
    -------
    cost_s : float
        Caller time in seconds.

    Examples
    --------
    >>> [round(compute_cost(size, 1.8), 4) for size in (300, 60000, 600000)]
    [0.09, 0.3, 0.45]
    """
    cost_s = max(COST_S_PER_BYTE * size, MIN_SAVING_FRACTION * target_s)
    return min(cost_s, MAX_SAVING_FRACTION * target_s)
