"""Refusals of the node beside a worker that hold for other workers, too."""

from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.outbound_request import OutboundRequest

STOPPING_REASON = "the node beside the worker stops too soon"
EVACUATED_REASON = "the zone of the worker is evacuated"
COLD_REASON = "the worker is cold"
SUSPECT_REASON = "workers were lost while they ran this request"


def exclude_alike(request: OutboundRequest, fleet: Fleet) -> None:
    """Leave out the hosts that would refuse a request for its latest reason.

    A request that a cold worker has refused goes to no other one: while a whole zone is
    cold, it would be refused at one host after the other. An origin that has not heard
    of an evacuation tries no other host of that zone.
    """
    if request.last_reason == COLD_REASON:
        request.excluded_host_ids.update(fleet.get_cold_ids())
    elif request.last_reason == EVACUATED_REASON:
        request.excluded_host_ids.update(fleet.get_zone_ids(request.view.zone))
        request.hosts_tried = 1
