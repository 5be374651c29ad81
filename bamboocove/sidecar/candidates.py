"""Hosts that may run a request: those whose worker has a version that may."""

from collections.abc import Callable

from attrs import define, field

from bamboocove.coordination.placement import HostView
from bamboocove.coordination.route_table import VersionSplitter
from bamboocove.coordination.short_moves import count_workers_used
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.flows import Flow
from bamboocove.sidecar.rules import RuleBook
from bamboocove.state.mesh import VersionRule


@define
class Candidates:
    """Chooses the version of each request, and the hosts that have it.

    Parameters
    ----------
    fleet : Fleet
        The hosts.
    rules : RuleBook
        Versions that may run requests, and their shares.
    random : callable
        Returns a float from 0 to 1.
    """

    fleet: Fleet
    rules: RuleBook
    random: Callable[[], float]
    _versions: VersionSplitter = field(factory=VersionSplitter)

    def get(self, flow: Flow) -> list[HostView]:
        """Return the hosts that may run a request."""
        views = self.fleet.get_views(flow.service)
        rule = self.rules.get(flow.service)
        if rule is None:
            current = self.fleet.get_oldest_version(flow.service)
            return [view for view in views if view.version == current]
        allowed = [view for view in views if rule.allows(view.version)]
        if rule.state != "running":
            return allowed
        return self._get_in_move(flow, rule, allowed)

    def _get_in_move(
        self, flow: Flow, rule: VersionRule, allowed: list[HostView]
    ) -> list[HostView]:
        new = [view for view in allowed if view.version == rule.to_version]
        old = [view for view in allowed if view.version != rule.to_version]
        share = self.rules.get_share(flow.service)
        if flow.asked == 0:
            flow.is_new_version = bool(new) and self._versions.is_new(
                flow.service, share, self.random
            )
        if share >= 1.0 and new:
            return new if flow.asked < 2 or not old else old
        if flow.is_new_version and share > 0.0 and flow.asked == 0:
            new.sort(key=lambda view: view.host_id)
            return new[: count_workers_used(share, len(old))]
        return old
