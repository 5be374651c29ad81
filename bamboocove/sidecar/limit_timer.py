"""Wakes the queue of a worker when its rate limit lets the next request start."""

from collections.abc import Callable
from typing import Any

from attrs import define

from bamboocove.coordination.worker_queue import WorkerQueue


@define(eq=False)
class LimitTimer:
    """A timer for the request that waits for the limit.

    Parameters
    ----------
    clock : reactor
        Source of time.
    start_next : callable
        Starts what may start; called with the seconds of the local clock.
    """

    clock: Any
    start_next: Callable[[float], None]
    _timer: Any = None

    def wait(self, queue: WorkerQueue, now: float) -> None:
        """Start the next request as soon as the worker's limits let it."""
        wait_s = queue.predict_limit_wait(1, now)
        if not wait_s or not queue.waiting:
            return
        if self._timer is None:
            self._timer = self.clock.callLater(wait_s, self._on_over)
        elif self._timer.getTime() > now + wait_s:
            # The limit was lower when the timer was started.
            self._timer.reset(wait_s)

    def _on_over(self) -> None:
        self._timer = None
        self.start_next(self.clock.seconds())

    def restart(self) -> None:
        """Start what a changed limit lets start, and wait for the rest."""
        self.stop()
        self.start_next(self.clock.seconds())

    def stop(self) -> None:
        """Wait no more."""
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
