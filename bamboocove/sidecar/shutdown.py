"""Graceful shutdown of a node, which lets requests in flight complete."""

from typing import Any

from twisted.internet.task import deferLater

from bamboocove.sidecar.logs import log
from bamboocove.sidecar.outbound_request import DrainWindow

# Interval at which the drain checks for requests in flight, in seconds.
POLL_INTERVAL_S = 0.05
# Callers stop sending after two failed readiness checks, which they make once a
# second.
CALLER_DRAIN_S = 2.3
# Time from the signal until the node tells the others that it accepts no more
# requests for its worker, in seconds. Requests that are then running complete
# while callers are still being drained.
WORKER_DRAIN_DELAY_S = 1.9
# Fraction of the grace period for which a shutdown waits for requests in flight, and
# fraction after which it no longer waits until callers have read their answers.
GRACE_FRACTION = 0.9
FLUSH_FRACTION = 0.97


async def drain(application: Any) -> None:
    """Shut a node down: drain callers and worker, then close ports and links.

    Requests that are still open at the end get an error response, which tells whether
    a worker may have run them.

    Parameters
    ----------
    application : SidecarApplication
        The node to shut down.
    """
    clock, outbound, inbound = (
        application.clock,
        application.outbound,
        application.inbound,
    )
    started_at = clock.seconds()
    log("node.draining", in_flight=outbound.in_flight + inbound.in_flight)
    grace_s = application.settings.bounds.grace_s
    ends_at = started_at + GRACE_FRACTION * grace_s
    flushed_by = started_at + FLUSH_FRACTION * grace_s
    outbound.router.drain_window = DrainWindow(started_at + CALLER_DRAIN_S, ends_at)
    # The worker keeps serving other hosts while callers on this host are drained.
    await deferLater(clock, WORKER_DRAIN_DELAY_S)
    inbound.is_draining = True
    application.hosts.publish()
    while clock.seconds() < ends_at:
        await deferLater(clock, POLL_INTERVAL_S)
        is_idle = not outbound.in_flight and not inbound.in_flight
        if is_idle and clock.seconds() - started_at >= CALLER_DRAIN_S:
            break
    now = clock.seconds()
    outbound.router.drain_window = DrainWindow(now, now)
    log(
        "node.drained",
        seconds=round(now - started_at, 3),
        outbound=outbound.in_flight,
        inbound=inbound.in_flight,
        connections=len(application.connections),
        unsent_bytes=sum(c.unsent_bytes for c in application.connections),
    )
    inbound.log_open_at_stop()
    # Outbound first: it knows which of its requests the worker on this host has not
    # got, and would offer them to other hosts if the queue refused them.
    outbound.end_requests()
    inbound.refuse_waiting("node is stopping")
    application.close_ports()
    application.watch.stop()
    await deferLater(clock, POLL_INTERVAL_S)
    while application.has_callers() and clock.seconds() < flushed_by:
        await deferLater(clock, POLL_INTERVAL_S)
    await application.hub.stop()
    application.finish()
