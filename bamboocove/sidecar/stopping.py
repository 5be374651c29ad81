"""The planned stop of a node, which cuts no request."""

from typing import Any

from twisted.internet.task import deferLater

from bamboocove.sidecar.flows import Closing
from bamboocove.sidecar.logs import log

POLL_S = 0.05
# Callers stop to send new requests after two questions, one a second, that
# were not answered with "ready".
LEAVE_S = 2.3
# When a node that stops tells the others that it takes no more requests for its
# worker, in seconds after the signal; those that run then end meanwhile.
HAND_OVER_S = 1.9
# Part of the grace period after which a stop no longer waits for requests.
GRACE_PART = 0.9


async def drain(application: Any) -> None:
    """Hand over the work of a node, then close its ports and links.

    Parameters
    ----------
    application : SidecarApplication
        The node that stops.
    """
    clock, origin, gate = application.clock, application.origin, application.gate
    started_at = clock.seconds()
    log("node.draining", in_flight=origin.in_flight + gate.in_flight)
    end = started_at + GRACE_PART * application.settings.bounds.grace_s
    origin.intake.closing = Closing(started_at + LEAVE_S, end)
    # The worker serves other hosts while the callers of this one leave.
    await deferLater(clock, HAND_OVER_S)
    gate.is_closing = True
    application.hosts.publish()
    while clock.seconds() < end:
        await deferLater(clock, POLL_S)
        is_idle = not origin.in_flight and not gate.in_flight
        if is_idle and clock.seconds() - started_at >= LEAVE_S:
            break
    application.close_ports()
    if gate.worker is not None and gate.worker.state == "gone":
        await application.store.remove_host(application.settings.host_id)
    application.watch.stop()
    await deferLater(clock, POLL_S)
    await application.hub.stop()
    application.finish()
