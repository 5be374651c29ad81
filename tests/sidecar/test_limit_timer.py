"""The timer of a request that waits for the rate limit of a worker."""

from twisted.internet.task import Clock

from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from bamboocove.sidecar.limit_timer import LimitTimer


def test_raised_limit_ends_the_wait_for_the_low_one():
    """Guards against a request that waits 4 s for a worker that takes 10 a second."""
    clock, starts = Clock(), []
    queue = WorkerQueue(4)
    timer = LimitTimer(clock, starts.append)
    queue.waiting.append(QueuedRequest("r", 0, 9.0, 9.0, None))
    queue.limiter.set_limit(0.1, 0.0)
    timer.wait(queue, 0.0)
    queue.limiter.set_limit(10.0, 0.0)
    timer.wait(queue, 0.0)
    clock.advance(0.2)
    assert starts == [0.2]
