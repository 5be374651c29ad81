"""Hosts that a node offers a request to."""

from types import SimpleNamespace

import pytest

from bamboocove.coordination.placement import HostView
from bamboocove.coordination.zone_traffic import RouteTraffic
from bamboocove.sidecar.candidates import CandidateSelector


@pytest.mark.parametrize(
    ("account", "hosts_tried", "is_asked"),
    [("small", 0, True), ("small", 1, False), (None, 0, False)],
)
def test_account_is_not_refused_for_the_refusal_of_another(
    account, hosts_tried, is_asked
):
    """Guards against a surge that keeps other accounts from the worker's fair queue."""
    view = HostView("h", "a", "s", "v1", 3)
    view.record_refusal(1, 10.05, 10.0)
    request = SimpleNamespace(
        account=account,
        hosts_tried=hosts_tried,
        excluded_host_ids=set(),
        stays_in_zone=False,
        priority=1,
        route=SimpleNamespace(name="r", target_s=0.6),
    )
    selector = CandidateSelector(None, None, lambda: 0.5)
    picked = selector.pick(request, [view], "a", RouteTraffic(), 10.01)
    assert (picked is view) == is_asked
