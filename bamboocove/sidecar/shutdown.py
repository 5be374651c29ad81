"""Graceful shutdown of a node, which lets requests in flight complete."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import maybeDeferred
from twisted.internet.task import deferLater

from bamboocove.coordination.drain_window import DrainWindow, StopSchedule
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log, log_program_error
from bamboocove.transport.peers import PeerLink

# Interval at which the drain checks for requests in flight, in seconds.
POLL_INTERVAL_S = 0.05
# Callers stop sending after two failed readiness checks, which they make once a
# second.
CALLER_DRAIN_S = 2.3
# Time from the signal until the node tells the others that it accepts no more
# requests for its worker, in seconds. Requests that are then running complete
# while callers are still being drained.
WORKER_DRAIN_DELAY_S = 1.9
# Time for which a stopping node waits for a peer to close its link, too, while nothing
# is received there, in seconds. A peer may be out of reach.
LINKS_CLOSE_S = 0.3
# Iterations of the reactor in which a node that will end reads what callers have sent:
# one accepts connections, the next reads from them. A process that stood still runs its
# timers before it reads anything, and would end with all of that unread.
READ_PASSES = 3
STOPPING_REASON = "the host stops before the answer has arrived"


async def drain(application: Any) -> None:
    """Shut a node down: drain callers and worker, then close ports and links.

    Requests that are still open at the end get an error response, which tells whether
    a worker may have run them. A step that raises an exception is logged, and does not
    keep the others from being taken.

    Parameters
    ----------
    application : SidecarApplication
        The node to shut down.
    """
    try:
        await _drain(application)
    finally:
        application.finish()


async def _drain(application: Any) -> None:
    clock, outbound, inbound = (
        application.clock,
        application.outbound,
        application.inbound,
    )
    lag_s = application.get_lag()
    # The signal may have waited for a process that did not run.
    schedule = StopSchedule(
        clock.seconds() - lag_s, application.settings.bounds.grace_s
    )
    started_at, last_answer_at = schedule.started_at, schedule.last_answer_at
    log(
        "node.draining",
        in_flight=outbound.in_flight + inbound.in_flight,
        lag_s=round(lag_s, 3),
    )
    callers_drained_at = started_at + CALLER_DRAIN_S
    worker_drain_at = started_at + WORKER_DRAIN_DELAY_S
    outbound.router.drain_window = DrainWindow(callers_drained_at, last_answer_at)
    inbound.drain_window = DrainWindow(started_at, last_answer_at)
    replies = application.forwarding.replies
    has_refused_waiting = False
    while (now := clock.seconds()) < schedule.get_end(lag_s):
        is_idle = not (outbound.in_flight or inbound.in_flight or replies.count)
        if is_idle and now >= callers_drained_at:
            break
        # The worker keeps serving other hosts while callers on this host are drained.
        if now >= worker_drain_at and not inbound.is_draining:
            inbound.is_draining = True
            await _take_step(application.hosts.publish)
        if now >= last_answer_at and not has_refused_waiting:
            has_refused_waiting = True
            await _take_step(outbound.refuse_unsent)
            await _take_step(inbound.refuse_waiting, "node is stopping")
        await deferLater(clock, POLL_INTERVAL_S)
        lag_s = max(lag_s, clock.seconds() - now - POLL_INTERVAL_S)
    now = clock.seconds()
    outbound.router.drain_window = DrainWindow(now, now)
    inbound.is_draining = True
    for _ in range(READ_PASSES):
        await deferLater(clock, 0)
    log(
        "node.drained",
        seconds=round(now - started_at, 3),
        lag_s=round(lag_s, 3),
        outbound=outbound.in_flight,
        inbound=inbound.in_flight,
        replies=replies.count,
        connections=len(application.connections),
        unsent_bytes=sum(c.unsent_bytes for c in application.connections),
    )
    await _take_step(inbound.log_open_at_stop)
    # Outbound first: it knows which of its requests the worker on this host has not
    # got, and would offer them to other hosts if the queue refused them.
    await _take_step(outbound.end_requests)
    # The links tell the other nodes that what has no reply by now was not read.
    await _take_step(application.forwarding.submit_pending)
    await _take_step(inbound.end_requests, STOPPING_REASON)
    await _take_step(replies.end_all, STOPPING_REASON)
    await _take_step(application.close_ports)
    await _take_step(application.watch.stop)
    await _take_step(application.hub.close_links)
    await _take_step(_flush, application, schedule.get_flushed_by(lag_s))
    await _take_step(application.hub.stop)


async def _take_step(step: Callable, *args: Any) -> None:
    """Call a function or coroutine function; log an exception that it raises."""
    try:
        await maybeDeferred(step, *args)
    except Exception:
        log_program_error("node.stop-step-failed", step=step.__name__)


async def _flush(application: Any, flushed_by: float) -> None:
    """Wait until callers and peers have what was sent to them, or until a time."""
    clock = application.clock
    are_links_moving = _watch_links(application.hub)
    while (now := clock.seconds()) < flushed_by and (
        are_links_moving(now) or application.has_callers()
    ):
        await deferLater(clock, POLL_INTERVAL_S)


def _watch_links(hub: LinkHub) -> Callable[[float], bool]:
    """Return a function that tells whether peers still receive what was sent to them.

    Large replies may be in the buffers of slow links. The function takes the time in
    seconds of the local clock.
    """
    pending_by_link: dict[PeerLink, int] = {}
    moved_at_by_link: dict[PeerLink, float] = {}

    def are_moving(now: float) -> bool:
        links = hub.get_links()
        for link in links:
            pending = link.pending_bytes
            if pending != pending_by_link.get(link):
                pending_by_link[link] = pending
                moved_at_by_link[link] = now
        return any(now < moved_at_by_link[link] + LINKS_CLOSE_S for link in links)

    return are_moving
