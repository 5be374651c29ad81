"""Requests that wait for a worker, and the service times by which it is planned."""

from typing import Any

from attrs import define, field

from bamboocove.coordination.fair_shares import SHARED

# Weight of the newest sample in the moving averages of the service time.
SERVICE_TIME_WEIGHT = 0.1
# Service time in seconds assumed before the first response. With a low value, a
# cold worker's queue fills up after a restart of all workers, and the queued
# requests are answered late.
INITIAL_SERVICE_S = 0.2


@define
class ServiceTimes:
    """Moving averages of a worker's service time, in seconds, by route."""

    mean_s: float = INITIAL_SERVICE_S
    _samples: int = 0
    _mean_by_route: dict[str, float] = field(factory=dict)

    def record(self, route: str, seconds: float) -> None:
        """Add the service time of one response."""
        self._samples += 1
        weight = max(SERVICE_TIME_WEIGHT, 1 / self._samples)
        self.mean_s += weight * (seconds - self.mean_s)
        mean = self._mean_by_route.get(route, seconds)
        self._mean_by_route[route] = mean + SERVICE_TIME_WEIGHT * (seconds - mean)

    def get(self, route: str) -> float:
        """Return the expected service time of a route.

        For a route without samples this is the average of all routes.
        """
        return self._mean_by_route.get(route, self.mean_s)


@define(eq=False)
class QueuedRequest:
    """A request that waits for a slot or runs on the worker.

    Parameters
    ----------
    route : str
        Name of its route.
    priority : float
        Lower values are served first. The queue changes the priority of late
        and starved requests; ``base_priority`` keeps the original value.
    target_at, deadline : float
        When the latency objective and the caller's timeout expire, in seconds of
        the local clock.
    payload : object
        Data that the owner of the queue needs to start the request.
    account : str or None
        Account that the request is queued for, see ``fair_shares``; None if it is not
        known yet.
    started_at : float
        When the request was sent to the worker; 0 while it waits.
    may_hand_back : bool
        Whether it may be placed on another host while it waits.
    virtual_start, service_s : float
        Place among the accounts of its priority, see ``fair_shares``, and the expected
        service time in seconds with which it was counted there.
    """

    route: str
    priority: float
    target_at: float
    deadline: float
    payload: Any
    account: str | None = SHARED
    started_at: float = 0.0
    may_hand_back: bool = False
    base_priority: float = field(init=False)
    virtual_start: float = field(init=False, default=0.0)
    service_s: float = field(init=False, default=0.0)

    def __attrs_post_init__(self) -> None:
        self.base_priority = self.priority

    @property
    def order(self) -> tuple[float, float]:
        """Sort key of waiting requests."""
        return (self.priority, self.virtual_start)
