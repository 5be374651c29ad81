"""Holds the rate of a cold worker on this host in front of its queue."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from bamboocove.coordination.cold_workers import ColdPhase, compute_burst
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import Bounds
from bamboocove.state.mesh import MeshService, MeshWorker


@define(eq=False)
class ColdWorker:
    """Sets the cold limit of the queue from what is known of the worker.

    Parameters
    ----------
    clock : reactor
        Source of time.
    get_queue : callable
        Returns the present queue of the worker.
    refuse : callable
        Called with each waiting request that a new limit would make too late.
    resume : callable
        Called without arguments when the limit has changed, to start requests.
    on_change : callable
        Called without arguments when the limit that other nodes are to expect has
        changed, unless the caller of the method learns it from the result.
    phase : ColdPhase
        The cold phase of the worker.
    limit_per_s : float
        Limit in force, in requests per second; 0 for none.
    """

    clock: Any
    get_queue: Callable[[], WorkerQueue]
    refuse: Callable[[QueuedRequest], None]
    resume: Callable[[], None]
    on_change: Callable[[], None]
    phase: ColdPhase = field(factory=ColdPhase)
    limit_per_s: float = 0.0
    _bounds: Bounds = field(factory=Bounds)

    def configure(self, service: MeshService | None, bounds: Bounds) -> None:
        """Apply the configuration of the worker's service."""
        self._bounds = bounds
        self.phase.configure(service)
        self.tick()

    def update(self, remaining_s: float | None) -> bool:
        """Apply what the worker says; return whether the limit has changed.

        ``remaining_s`` is that of ``ColdPhase.update``.
        """
        self.phase.update(remaining_s, self.clock.seconds())
        return self._refresh()

    def tick(self) -> None:
        """End the limit when the phase is over."""
        if self._refresh():
            self.on_change()

    def _refresh(self) -> bool:
        now = self.clock.seconds()
        before, self.limit_per_s = self.limit_per_s, self.phase.get_limit(now)
        queue = self.get_queue()
        queue.cold_limiter.burst = compute_burst(
            self.phase.per_s, self._bounds.cold_tolerance, self._bounds.cold_slack
        )
        # A worker that replaced another one has a new queue, without a limit.
        queue.cold_limiter.set_limit(self.limit_per_s, now)
        if self.limit_per_s == before:
            return False
        if self.limit_per_s:
            left_s = round(self.phase.until - now, 3)
            log("worker.cold", limit_per_s=self.limit_per_s, left_s=left_s)
            for request in queue.evict_late(now):
                self.refuse(request)
        else:
            log("worker.warm")
        self.resume()
        return True

    def describe(self, worker: MeshWorker | None) -> MeshWorker | None:
        """Return the worker with the limit that other nodes are to expect."""
        if worker is None or not self.limit_per_s:
            return worker
        named = worker.limit_per_s or self.limit_per_s
        return evolve(
            worker,
            limit_per_s=min(named, self.limit_per_s),
            cold_per_s=self.limit_per_s,
        )
