"""Load, refusals and open requests of a worker, as its node reports them."""

from collections.abc import Iterable

from bamboocove.coordination.worker_queue import WorkerQueue
from bamboocove.protocol.mesh_messages import BodyOffer, Forward
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.inbound_request import InboundRequest
from bamboocove.sidecar.logs import log
from bamboocove.state.mesh import MeshWorker
from bamboocove.transport.framing import get_header

# Number of priorities whose expected waits are reported, starting at -1.
REPORTED_PRIORITIES = 4
# Weight of the latest request in the moving average of failures.
FAILURE_EWMA_WEIGHT = 0.1


def update_average(average: float, is_failure: bool) -> float:
    """Return the moving average of failures after another request."""
    return average + FAILURE_EWMA_WEIGHT * (is_failure - average)


def make_load(queue: WorkerQueue, failure_average: float, now: float) -> list[int]:
    """Return the load of the worker in the form of ``Reply.load``.

    Parameters
    ----------
    queue : WorkerQueue
        Requests that wait or run.
    failure_average : float
        Fraction of recent requests that failed.
    now : float
        Seconds of the local clock.
    """
    waits = [
        int(queue.predict_reported_wait(index - 1, now) * 1000)
        for index in range(REPORTED_PRIORITIES)
    ]
    while len(waits) > 1 and waits[-1] == waits[-2]:
        waits.pop()
    return [
        len(queue.running),
        queue.count_usable_slots(),
        int(failure_average * 1000),
        *waits,
    ]


def get_attempt_id(message: Forward | BodyOffer, dialect: Dialect) -> bytes | None:
    """Return the identifier of an attempt, if its caller sent one."""
    if isinstance(message, BodyOffer):
        return message.attempt_id
    return get_header(message.headers, dialect.attempt_id)


def log_refusal(
    attempt_id: bytes | None,
    message: Forward | BodyOffer,
    left_s: float,
    reason: str,
    queue: WorkerQueue,
    worker: MeshWorker | None,
    now: float,
) -> None:
    """Log that a request was turned away, and the state of the worker and its queue.

    Parameters
    ----------
    attempt_id : bytes or None
        Identifier of the attempt, if its caller sent one.
    message : Forward or BodyOffer
        The request.
    left_s : float
        Time until its deadline, in seconds.
    reason : str
        Why it was turned away.
    queue : WorkerQueue
        Requests that wait or run.
    worker : MeshWorker or None
        The worker.
    now : float
        Seconds of the local clock.
    """
    log(
        "request.turned-away",
        id=attempt_id,
        reason=reason,
        rank=message.priority,
        left_s=round(left_s, 3),
        wait_s=round(queue.predict_wait(message.priority, now), 3),
        service_s=round(queue.service_times.get(message.route), 3),
        running=len(queue.running),
        waiting=len(queue.waiting),
        worker=worker.worker_id if worker else "",
        state=worker.state if worker else "",
    )


def log_open_at_stop(
    requests: Iterable[InboundRequest], dialect: Dialect, now: float
) -> None:
    """Log the requests that wait or run, because the node stops."""
    for request in requests:
        log(
            "request.open-at-stop",
            id=get_attempt_id(request.forward, dialect),
            is_running=request.is_sent,
            held_s=round(now - request.submitted_at, 3),
            left_s=round(request.deadline - now, 3),
        )
