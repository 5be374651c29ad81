"""Priority queue with admission control in front of one worker.

Load pattern: for seconds at a time, more requests of several priorities arrive
than the worker can run, together with calls from other workers, whose own
requests fail if these calls fail. A long queue would make every response late,
so a request is refused immediately if its predicted response misses the latency
objective, and more urgent requests are served first; within a priority accounts get
their shares. Refused callers retry;
their retries can no longer meet the objective and get only the remaining
capacity. Otherwise the retries of an overload would make all responses late.
"""

from collections.abc import Callable

from attrs import define, field

from bamboocove.coordination.fair_shares import FairShares
from bamboocove.coordination.machine_load import MachineLoad
from bamboocove.coordination.queued_requests import QueuedRequest, ServiceTimes
from bamboocove.coordination.rate_limit import RateLimiter

# Priority of calls from other workers. Refusing one wastes the work already done
# on the request that depends on it.
INTERNAL_PRIORITY = -1
# Added to the priority of a late request, one that can no longer meet its
# objective. Higher values are less urgent.
LATE_PRIORITY_OFFSET = 100
# Fraction of its remaining time in which a late request must be predicted to
# finish, queueing included.
LATE_TIME_FRACTION = 0.4
# Fraction of the objective in which a request that has to wait must be predicted
# to finish. Service times vary: with the whole objective, a third of the
# responses were late in the replayed overload.
OBJECTIVE_FRACTION = 0.7
# Fraction of the objective that a request may always wait. If the service time
# alone is close to the objective, such a short wait hardly matters; without this
# allowance, late requests, which may wait longer, took the slots.
SHORT_WAIT_FRACTION = 0.15
# Priority of a request whose base priority is starved: ahead of the most urgent
# class, behind calls from workers.
STARVED_PRIORITY = -0.5
# A priority is starved if less than this fraction of its recent requests was
# admitted, and less than twice this fraction of the best admitted fraction among
# more urgent priorities.
MIN_ADMITTED_FRACTION = 0.4
# Weight of the newest request in the moving averages of the admitted fraction.
ADMITTED_WEIGHT = 0.05
# Fraction of the slots that late requests must leave free, so that other requests
# rarely wait for a late one.
LATE_RESERVE_FRACTION = 0.15
# A request is only started if at least this fraction of the mean service time of
# its route is left until its deadline.
MIN_REMAINING_FRACTION = 0.5


@define
class WorkerQueue:
    """Running and waiting requests of one worker.

    Parameters
    ----------
    slots : int
        Number of requests that the worker runs concurrently.
    service_times : ServiceTimes
        Measured service times of the worker.
    limiter : RateLimiter
        Rate of requests that the worker names.
    cold_limiter : RateLimiter
        Rate of requests that it takes while it is cold, a hard bound.
    shares : FairShares or None
        Order of the accounts within a priority; None if there are no accounts.
    machine_load : MachineLoad
        How slow the worker's machine is at this moment.
    running : set of QueuedRequest
        Requests that occupy a slot.
    waiting : list of QueuedRequest
        Waiting requests, most urgent first.
    """

    slots: int
    service_times: ServiceTimes = field(factory=ServiceTimes)
    limiter: RateLimiter = field(factory=RateLimiter)
    cold_limiter: RateLimiter = field(
        factory=lambda: RateLimiter(burst=1.0, reserve_fraction=0.0, min_per_s=0.0)
    )
    shares: FairShares | None = None
    machine_load: MachineLoad = field(factory=MachineLoad)
    running: set[QueuedRequest] = field(factory=set)
    waiting: list[QueuedRequest] = field(factory=list)
    _admitted_by_priority: dict[float, float] = field(factory=dict)

    def predict_wait(self, priority: float, now: float) -> float:
        """Return the predicted queueing time of a new request, in seconds."""
        ahead = sum(request.priority <= priority for request in self.waiting)
        return self._predict_wait_at(ahead, now)

    def _predict_wait_at(self, ahead: int, now: float) -> float:
        position = ahead + 1
        beyond_slots = position - (self.slots - len(self.running))
        service_s = self.service_times.mean_s * self.machine_load.get_slowdown(now)
        slot_wait_s = max(0, beyond_slots) * service_s
        return max(
            slot_wait_s / max(1, self.slots), self.predict_limit_wait(position, now)
        )

    def predict_limit_wait(self, position: int, now: float) -> float:
        """Return the time until both limits let a request start, in seconds.

        The parameters are those of ``RateLimiter.predict_wait``.
        """
        return max(
            self.limiter.predict_wait(position, now),
            self.cold_limiter.predict_wait(position, now),
        )

    def is_held_by_cold(self, now: float) -> bool:
        """Return whether a new request waits because the worker is cold."""
        position = len(self.waiting) + 1
        return self.cold_limiter.predict_wait(position, now) > 0.0

    def predict_reported_wait(self, priority: float, now: float) -> float:
        """Return the queueing time of a new request that other nodes are to expect.

        It includes what the request itself takes longer on a machine that is slow at
        this moment, since reports have no other field for that.
        """
        ahead = sum(request.priority <= priority for request in self.waiting)
        wait_s = max(
            self._predict_wait_at(ahead, now),
            self.limiter.predict_named_wait(ahead + 1, now),
            self.cold_limiter.predict_named_wait(ahead + 1, now),
        )
        slowdown = self.machine_load.get_slowdown(now)
        return wait_s + max(0.0, slowdown - 1.0) * self.service_times.mean_s

    def count_usable_slots(self) -> int:
        """Return the slots that can be in use at a time, below a rate limit too."""
        service_s = self.service_times.mean_s
        slots = self.limiter.count_slots(self.slots, service_s)
        return self.cold_limiter.count_slots(slots, service_s)

    def offer(
        self, request: QueuedRequest, now: float
    ) -> tuple[bool, list[QueuedRequest]]:
        """Admit a request to the queue or refuse it.

        A request that can no longer meet its objective is queued behind all
        requests that can.

        Returns
        -------
        is_admitted : bool
            Whether the request was queued.
        evicted : list of QueuedRequest
            Waiting requests removed from the queue because the new request
            would make them miss their time limit.
        """
        if request.base_priority != INTERNAL_PRIORITY:
            request.priority = self._compute_priority(request, now)
        self._set_start(request)
        wait_s = self._predict_own_wait(request, now)
        is_admitted = not wait_s or self._can_finish_in_time(request, wait_s, now)
        self._record_admission(request, is_admitted)
        if not is_admitted:
            return False, []
        self._count_share(request)
        index = self._find_place(request)
        self.waiting.insert(index, request)
        evicted = self._evict(index + 1, now)
        for other in evicted:
            self._record_admission(other, False)
            self._return_share(other)
        return True, evicted

    def _uses_shares(self, request: QueuedRequest) -> bool:
        return self.shares is not None and request.base_priority != INTERNAL_PRIORITY

    def use_shares(self, shares: FairShares | None) -> None:
        """Change the shares, and order the waiting requests by them.

        Virtual times of one ``FairShares`` mean nothing to another: new requests would
        all pass those that wait.
        """
        self.shares = shares
        for request in self.waiting:
            request.virtual_start = 0.0
            self._set_start(request)
            self._count_share(request)
        self.waiting.sort(key=lambda request: request.order)

    def _set_start(self, request: QueuedRequest) -> None:
        if not self._uses_shares(request):
            return
        request.service_s = self.service_times.get(request.route)
        if request.account is None:
            request.virtual_start = float("inf")
        else:
            request.virtual_start = self.shares.get_start(
                request.account, request.service_s
            )

    def _count_share(self, request: QueuedRequest) -> None:
        if self._uses_shares(request):
            self.shares.add(request.account, request.service_s)

    def _return_share(self, request: QueuedRequest) -> None:
        if self._uses_shares(request):
            self.shares.remove(request.account, request.service_s)

    def _find_place(self, request: QueuedRequest) -> int:
        index = len(self.waiting)
        while index and self.waiting[index - 1].order > request.order:
            index -= 1
        return index

    def _predict_own_wait(self, request: QueuedRequest, now: float) -> float:
        return self._predict_wait_at(self._find_place(request), now)

    def evict_late(self, now: float) -> list[QueuedRequest]:
        """Remove and return the requests that a new limit would make too late."""
        evicted = self._evict(0, now)
        for request in evicted:
            self._record_admission(request, False)
            self._return_share(request)
        return evicted

    def can_admit(
        self,
        request: QueuedRequest,
        predict_delay: Callable[[float], float],
        now: float,
    ) -> bool:
        """Return whether a request that arrives later would be admitted.

        Parameters
        ----------
        request : QueuedRequest
            The request; only its priority is changed.
        predict_delay : callable
            Takes a priority; returns the time until the request arrives, in seconds.
        now : float
            Seconds of the local clock.
        """
        if request.base_priority != INTERNAL_PRIORITY:
            request.priority = self._compute_priority(request, now)
        delay_s = predict_delay(request.priority)
        self._set_start(request)
        wait_s = max(delay_s, self._predict_own_wait(request, now))
        return not wait_s or self._can_finish_in_time(request, wait_s, now)

    def _compute_priority(self, request: QueuedRequest, now: float) -> float:
        priority = request.base_priority
        if request.target_at - now < self.service_times.get(request.route):
            return priority + LATE_PRIORITY_OFFSET
        admitted = self._admitted_by_priority.get(priority, 1.0)
        best = max(
            (
                fraction
                for other, fraction in self._admitted_by_priority.items()
                if other < priority
            ),
            default=0.0,
        )
        if (
            admitted < MIN_ADMITTED_FRACTION
            and admitted < MIN_ADMITTED_FRACTION * 2 * best
        ):
            return STARVED_PRIORITY
        return priority

    def _record_admission(self, request: QueuedRequest, is_admitted: bool) -> None:
        if request.priority >= LATE_PRIORITY_OFFSET or request.base_priority < 0:
            return
        average = self._admitted_by_priority.get(request.base_priority, 1.0)
        average += ADMITTED_WEIGHT * (is_admitted - average)
        self._admitted_by_priority[request.base_priority] = average

    def _can_finish_in_time(
        self, request: QueuedRequest, wait_s: float, now: float
    ) -> bool:
        service_s = self.service_times.get(request.route)
        objective_s = request.target_at - now
        left_s = max(
            objective_s * OBJECTIVE_FRACTION,
            service_s + objective_s * SHORT_WAIT_FRACTION,
        )
        if request.priority == INTERNAL_PRIORITY:
            # A late response delays the calling request; a refusal makes it
            # fail.
            left_s = request.deadline - now
        elif request.priority >= LATE_PRIORITY_OFFSET:
            left_s = (request.deadline - now) * LATE_TIME_FRACTION
        return wait_s + service_s <= left_s

    def _evict(self, index: int, now: float) -> list[QueuedRequest]:
        evicted = []
        while index < len(self.waiting):
            wait_s = self._predict_wait_at(index, now)
            request = self.waiting[index]
            if wait_s and not self._can_finish_in_time(request, wait_s, now):
                evicted.append(self.waiting.pop(index))
            else:
                index += 1
        return evicted

    def start_next(
        self, now: float
    ) -> tuple[QueuedRequest | None, list[QueuedRequest]]:
        """Remove and return the next request to start, if one may start now.

        Returns
        -------
        request : QueuedRequest or None
            The request, which now occupies a slot.
        expired : list of QueuedRequest
            Requests removed because too little time is left before their
            deadline.
        """
        expired = []
        reserve = int(self.slots * LATE_RESERVE_FRACTION)
        while self.waiting and len(self.running) < self.slots:
            is_late = self.waiting[0].priority >= LATE_PRIORITY_OFFSET
            if is_late and len(self.running) >= self.slots - reserve:
                break
            if self.predict_limit_wait(1, now):
                break
            request = self.waiting.pop(0)
            if self.shares is not None and request.priority >= 0:
                self.shares.advance(request.virtual_start)
            if request.deadline - now < self._compute_min_left(request):
                self._return_share(request)
                expired.append(request)
                continue
            self.limiter.take(now)
            self.cold_limiter.take(now)
            request.started_at = now
            self.running.add(request)
            return request, expired
        return None, expired

    def take_expired(self, min_s: float, now: float) -> list[QueuedRequest]:
        """Remove and return the waiting requests that can no longer be started.

        ``min_s`` is the least time until the deadline with which one may go on waiting,
        in seconds.
        """
        return self.take_waiting(
            lambda request: (
                request.deadline - now < self._compute_min_left(request, min_s)
            )
        )

    def _compute_min_left(self, request: QueuedRequest, min_s: float = 0.0) -> float:
        service_s = self.service_times.get(request.route)
        return max(min_s, MIN_REMAINING_FRACTION * service_s)

    def take_waiting(
        self, is_taken: Callable[[QueuedRequest], bool] = lambda request: True
    ) -> list[QueuedRequest]:
        """Remove the waiting requests that a function selects, and return them."""
        taken: list[QueuedRequest] = []
        kept: list[QueuedRequest] = []
        for request in self.waiting:
            (taken if is_taken(request) else kept).append(request)
        for request in taken:
            self._return_share(request)
        self.waiting = kept
        return taken

    def finish(self, request: QueuedRequest, now: float, is_timed: bool) -> None:
        """Free the slot of a request.

        Parameters
        ----------
        request : QueuedRequest
            A running request.
        now : float
            Seconds of the local clock.
        is_timed : bool
            Whether to count the elapsed time as a service time. Failed requests
            don't show how fast the worker is.
        """
        self.running.discard(request)
        if is_timed:
            self.service_times.record(request.route, now - request.started_at)

    def discard(self, request: QueuedRequest) -> bool:
        """Remove a waiting request; return whether it was in the queue."""
        if request in self.waiting:
            self.waiting.remove(request)
            self._return_share(request)
            return True
        return False
