"""How requests wait for one worker, and which are refused.

Load pattern: arrivals above what the worker can run for seconds, in several
classes, beside calls of other workers whose requests fail without them. A long
queue would make every answer late, so a request is refused at once if its
predicted answer misses its objective, and the more urgent class goes first.
Refused callers come back; they can no longer be answered in time and get what
the others leave, or the returns of an overload would make all answers late.
"""

from typing import Any

from attrs import define, field

# Rank of calls that other workers make: refusing one wastes the work already
# done on the request that needs it.
INTERNAL_PRIORITY = -1
# Weight of the newest answer in the moving average of service times.
SERVICE_TIME_WEIGHT = 0.1
# Service time that is assumed before the first answer, in seconds. A low one
# fills the queue of a cold worker, after a restart of all, with requests that
# are then answered late.
FIRST_SERVICE_S = 0.2
# Added to the rank of a request that can no longer meet its objective.
LATE_RANKS = 100
# Part of the time left that a late request may wait, and be served, in.
LATE_PART = 0.4
# Part of the objective that may pass until the predicted answer of a request
# that has to wait. With the whole of it, a third of the answers came late in
# the replayed overload, because service times vary.
OBJECTIVE_PART = 0.7
# Part of the objective that a request may wait in any case. Where the service
# time alone comes near the objective, a wait this short changes little, and
# without it late requests, which may wait longer, took the slots.
SHORT_WAIT_PART = 0.15
# Rank of a request of a class of which hardly any was taken lately: before the
# most urgent class, behind calls of workers.
STARVED_RANK = -0.5
# Part of a class's requests below which that holds, also as a part of what a
# more urgent class gets, and the weight of the newest request in the averages.
LEAST_TAKEN_PART = 0.4
TAKEN_WEIGHT = 0.05
# Part of the slots that late requests leave free, so that one that is in time
# seldom has to wait for a late one.
LATE_RESERVE_PART = 0.15
# Least time that is worth starting with, as part of the mean service time.
LEAST_PART = 0.5


@define
class ServiceTimes:
    """Moving averages of the time that a worker takes, in seconds."""

    mean_s: float = FIRST_SERVICE_S
    _answers: int = 0
    _mean_by_route: dict[str, float] = field(factory=dict)

    def record(self, route: str, seconds: float) -> None:
        """Take the time of one answer."""
        self._answers += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self._answers)
        self.mean_s += weight * (seconds - self.mean_s)
        held = self._mean_by_route.get(route, seconds)
        self._mean_by_route[route] = held + SERVICE_TIME_WEIGHT * (seconds - held)

    def get(self, route: str) -> float:
        """Return the expected time of a request of a route."""
        return self._mean_by_route.get(route, self.mean_s)


@define(eq=False)
class WaitingRequest:
    """A request that waits for a slot, or runs.

    Parameters
    ----------
    route : str
        Name of its route.
    priority : float
        Rank; lower ones go first. The queue changes it for late and starved
        requests; ``base_rank`` keeps what the route says.
    target_at, deadline : float
        When its objective and its time end, in seconds of the local clock.
    payload : object
        Whatever the owner of the queue needs to start it.
    started_at : float
        When it was sent to the worker; 0 while it waits.
    """

    route: str
    priority: float
    target_at: float
    deadline: float
    payload: Any
    started_at: float = 0.0
    base_rank: float = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.base_rank = self.priority


@define
class WorkerQueue:
    """Requests of one worker that run or wait.

    Parameters
    ----------
    slots : int
        Requests that the worker runs at a time.
    times : ServiceTimes
        What it takes for a request.
    """

    slots: int
    times: ServiceTimes = field(factory=ServiceTimes)
    running: set[WaitingRequest] = field(factory=set)
    waiting: list[WaitingRequest] = field(factory=list)
    _taken_by_rank: dict[float, float] = field(factory=dict)

    def predict_wait(self, priority: float) -> float:
        """Return the expected time until a new request of a rank is started."""
        free = self.slots - len(self.running)
        ahead = sum(request.priority <= priority for request in self.waiting)
        if free > ahead:
            return 0.0
        return (ahead - free + 1) * self.times.mean_s / max(1, self.slots)

    def offer(
        self, request: WaitingRequest, now: float
    ) -> tuple[bool, list[WaitingRequest]]:
        """Take a request, or not.

        A request that cannot meet its objective any more goes behind all
        others.

        Returns
        -------
        is_taken : bool
            Whether the request runs or waits.
        evicted : list of WaitingRequest
            Requests that no longer fit because a more urgent one was taken.
        """
        if request.base_rank != INTERNAL_PRIORITY:
            request.priority = self._choose_rank(request, now)
        wait_s = self.predict_wait(request.priority)
        is_taken = not wait_s or self._fits(request, wait_s, now)
        self._note_taken(request, is_taken)
        if not is_taken:
            return False, []
        index = len(self.waiting)
        while index and self.waiting[index - 1].priority > request.priority:
            index -= 1
        self.waiting.insert(index, request)
        evicted = self._evict(index + 1, now)
        for other in evicted:
            self._note_taken(other, False)
        return True, evicted

    def _choose_rank(self, request: WaitingRequest, now: float) -> float:
        rank = request.base_rank
        if request.target_at - now < self.times.get(request.route):
            return rank + LATE_RANKS
        taken = self._taken_by_rank.get(rank, 1.0)
        best = max(
            (part for other, part in self._taken_by_rank.items() if other < rank),
            default=0.0,
        )
        if taken < LEAST_TAKEN_PART and taken < LEAST_TAKEN_PART * 2 * best:
            return STARVED_RANK
        return rank

    def _note_taken(self, request: WaitingRequest, is_taken: bool) -> None:
        if request.priority >= LATE_RANKS or request.base_rank < 0:
            return
        average = self._taken_by_rank.get(request.base_rank, 1.0)
        average += TAKEN_WEIGHT * (is_taken - average)
        self._taken_by_rank[request.base_rank] = average

    def _fits(self, request: WaitingRequest, wait_s: float, now: float) -> bool:
        service_s = self.times.get(request.route)
        objective_s = request.target_at - now
        left_s = max(
            objective_s * OBJECTIVE_PART, service_s + objective_s * SHORT_WAIT_PART
        )
        if request.priority == INTERNAL_PRIORITY:
            # The request that made the call pays for a late answer as well,
            # but loses everything without one.
            left_s = request.deadline - now
        elif request.priority >= LATE_RANKS:
            left_s = (request.deadline - now) * LATE_PART
        return wait_s + service_s <= left_s

    def _evict(self, index: int, now: float) -> list[WaitingRequest]:
        evicted = []
        while index < len(self.waiting):
            position = index - max(0, self.slots - len(self.running)) + 1
            wait_s = max(0, position) * self.times.mean_s / max(1, self.slots)
            request = self.waiting[index]
            if wait_s and not self._fits(request, wait_s, now):
                evicted.append(self.waiting.pop(index))
            else:
                index += 1
        return evicted

    def start_next(
        self, now: float
    ) -> tuple[WaitingRequest | None, list[WaitingRequest]]:
        """Return the request to start if there is a free slot.

        Returns
        -------
        request : WaitingRequest or None
            It counts as running from now on.
        expired : list of WaitingRequest
            Requests for which too little time is left.
        """
        expired = []
        reserve = int(self.slots * LATE_RESERVE_PART)
        while self.waiting and len(self.running) < self.slots:
            is_late = self.waiting[0].priority >= LATE_RANKS
            if is_late and len(self.running) >= self.slots - reserve:
                break
            request = self.waiting.pop(0)
            least_s = LEAST_PART * self.times.get(request.route)
            if request.deadline - now < least_s:
                expired.append(request)
                continue
            request.started_at = now
            self.running.add(request)
            return request, expired
        return None, expired

    def finish(self, request: WaitingRequest, now: float, is_timed: bool) -> None:
        """Free the slot of a request.

        Parameters
        ----------
        request : WaitingRequest
            A running request.
        now : float
            Seconds of the local clock.
        is_timed : bool
            Whether the time that it took tells how fast the worker is.
        """
        self.running.discard(request)
        if is_timed:
            self.times.record(request.route, now - request.started_at)

    def discard(self, request: WaitingRequest) -> bool:
        """Drop a request that waits; return whether it did."""
        if request in self.waiting:
            self.waiting.remove(request)
            return True
        return False
