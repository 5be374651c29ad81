"""Selection of the hosts whose worker runs a version that a request may go to."""

from collections.abc import Callable

from attrs import define, field

from bamboocove.coordination.placement import HostView, pick_host
from bamboocove.coordination.route_table import VersionSplitter
from bamboocove.coordination.short_moves import count_workers_used
from bamboocove.coordination.zone_traffic import RouteTraffic
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.outbound_request import OutboundRequest
from bamboocove.sidecar.rules import RuleTable
from bamboocove.state.mesh import VersionRule

# Hosts that a request is offered to before its caller gets an error; after a
# failed attempt the count starts again at 1.
MAX_HOSTS_TRIED = 4


@define
class CandidateSelector:
    """Selects the version for each request, and the hosts that run it.

    Parameters
    ----------
    fleet : Fleet
        Known hosts and the state of their workers.
    rules : RuleTable
        Versions that may run requests, and their traffic shares.
    random : callable
        Returns a float from 0 to 1.
    """

    fleet: Fleet
    rules: RuleTable
    random: Callable[[], float]
    _splitter: VersionSplitter = field(factory=VersionSplitter)

    def select(self, request: OutboundRequest) -> list[HostView]:
        """Return the hosts with a link that may run a request.

        During a move, the first call for a request also decides whether it counts
        towards the traffic share of the new version.
        """
        allowed = self.get_allowed(request.service)
        rule = self.rules.get(request.service)
        if rule is None or rule.state != "running":
            return allowed
        return self._select_during_move(request, rule, allowed)

    def get_allowed(self, service: str) -> list[HostView]:
        """Return the hosts with a link whose version may run requests of a service."""
        views = self.fleet.get_linked_views(service)
        rule = self.rules.get(service)
        if rule is None:
            current = self.fleet.get_oldest_version(service)
            return [view for view in views if view.version == current]
        return [view for view in views if rule.allows(view.version)]

    def pick(
        self,
        request: OutboundRequest,
        views: list[HostView],
        zone: str,
        traffic: RouteTraffic,
        now: float,
    ) -> HostView | None:
        """Return the best of the selected hosts for a request of this zone, or None.

        A request that a host of another zone was lost with goes to hosts of the own
        zone, as long as there are any. Otherwise the last host that is asked is in
        another zone if one has room: in a zone that is being stopped, all hosts may
        refuse before their records tell it.

        A request of an account is offered to at least one host. Those that have just
        refused one of another account may take it, since they share among accounts.
        """
        excluded = request.excluded_host_ids
        choices = [(views, excluded, False)]
        if request.account is not None and request.hosts_tried == 0:
            choices.append((views, excluded, True))
        if request.stays_in_zone:
            near = [view for view in views if view.zone == zone]
            choices.insert(0, (near, excluded, False))
        elif request.hosts_tried == MAX_HOSTS_TRIED - 1:
            near_ids = {view.host_id for view in views if view.zone == zone}
            choices.insert(0, (views, excluded | near_ids, False))
        for choice, excluded_ids, asks_busy in choices:
            view = pick_host(
                choice,
                request.route.name,
                request.priority,
                request.route.target_s,
                zone,
                now,
                self.random,
                excluded_ids,
                traffic,
                asks_busy,
            )
            if view is not None:
                return view
        return None

    def _count_old(self, rule: VersionRule) -> int:
        """Count the workers of all hosts, linked or not, that the move replaces."""
        return sum(
            view.version != rule.to_version and rule.allows(view.version)
            for view in self.fleet.get_views(rule.service)
        )

    def _select_during_move(
        self, request: OutboundRequest, rule: VersionRule, allowed: list[HostView]
    ) -> list[HostView]:
        new = [view for view in allowed if view.version == rule.to_version]
        old = [view for view in allowed if view.version != rule.to_version]
        share = self.rules.get_share(request.service)
        if request.hosts_tried == 0:
            request.is_new_version = bool(new) and self._splitter.is_new(
                request.service, share, self.random
            )
        if share >= 1.0 and new:
            return new if request.hosts_tried < 2 or not old else old
        if request.is_new_version and share > 0.0 and request.hosts_tried == 0:
            new.sort(key=lambda view: view.host_id)
            return new[: count_workers_used(share, self._count_old(rule))]
        return old
