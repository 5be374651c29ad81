"""Waiting requests that another host can be expected to start much sooner.

Load pattern: a machine becomes slow for some hundred milliseconds after requests were
sent to its worker, while other workers of the zone are idle. The node beside the worker
hands such a request back, and the node that placed it chooses again. Only a request
that was not sent to the worker may go elsewhere, and it does so only once: otherwise
requests would go round while the load changes.
"""

from collections.abc import Iterable

from bamboocove.coordination.placement import HostView, has_room
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue

# The wait must exceed this multiple of the mean service time. On its way a request
# loses a tick of the node and two trips, and its slot here may become free meanwhile.
MIN_WAIT_FRACTION = 0.5
# It must also exceed this time in seconds, which the way back and the second placement
# take.
MIN_WAIT_S = 0.1
# A larger body would cost more to send again than the wait.
MAX_BODY_BYTES = 16 * 1024
# Reason of the refusal, which the node that placed the request recognizes.
HANDED_BACK = "another host can start it sooner"


def pick_hand_back(
    queue: WorkerQueue, views: Iterable[HostView], own_id: str, zone: str, now: float
) -> QueuedRequest | None:
    """Return the waiting request to hand back now, if any.

    It is the last one that may go, since that waits longest. One at a time, because
    all nodes see the same idle workers.

    Parameters
    ----------
    queue : WorkerQueue
        Requests of the worker on this host.
    views : iterable of HostView
        Hosts that run the same version of the same service.
    own_id, zone : str
        This host and its zone. Others are asked for only there, since their state is
        known best.
    now : float
        Seconds of the local clock.
    """
    if not queue.waiting:
        return None
    min_wait_s = max(MIN_WAIT_S, MIN_WAIT_FRACTION * queue.service_times.mean_s)
    for request in reversed(queue.waiting):
        if not request.may_hand_back:
            continue
        if queue.predict_wait(request.priority, now) <= min_wait_s:
            return None
        priority = int(request.base_priority)
        is_room_elsewhere = any(
            view.host_id != own_id
            and view.zone == zone
            and view.suspended_until <= now
            and not (view.busy_until > now and priority >= view.busy_priority)
            and has_room(view, priority, now)
            for view in views
        )
        return request if is_room_elsewhere else None
    return None
