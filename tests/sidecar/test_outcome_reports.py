"""Outcomes that a node reports during a move, with fakes of its other tasks."""

from types import SimpleNamespace

import pytest

from bamboocove.coordination.version_comparison import Tally
from bamboocove.sidecar.moves import OUTCOMES_INTERVAL_S, MoveController
from bamboocove.sidecar.rules import RuleTable
from bamboocove.state.mesh import MoveOrder


class FakeStore:
    """A store that accepts each rule."""

    async def write_rule(self, rule):
        return rule


class Collector:
    """Receives the reports of a node; ``is_new`` until it has received one."""

    def __init__(self):
        self.is_new = False
        self.routes = []

    def receive(self, outcomes):
        self.routes.append([tally[0] for tally in outcomes.tallies])
        was_new, self.is_new = self.is_new, False
        return was_new


@pytest.fixture
def collector():
    return Collector()


@pytest.fixture
def inbound():
    worker = SimpleNamespace(service="orders", version="v1")
    return SimpleNamespace(worker=worker, tallies_by_route={})


@pytest.fixture
def controller(collector, inbound):
    fleet = SimpleNamespace(
        records_by_id={},
        get_oldest_version=lambda service: "v1",
        get_views=lambda service: [],
        count_ready=lambda service, versions: 0,
    )
    controller = MoveController(
        RuleTable(),
        FakeStore(),
        fleet,
        lambda message: None,
        collector.receive,
        inbound,
        SimpleNamespace(seconds=lambda: 0.0),
        "h1",
        7,
    )
    controller.apply_order(MoveOrder("orders", "v2", 60.0, 12), 0.0)
    for route in ("read", "pay"):
        inbound.tallies_by_route[route] = Tally()
        inbound.tallies_by_route[route].record(False, 0.1)
    controller.tick(10.0)
    return controller


def test_only_routes_with_new_outcomes_are_reported(controller, collector, inbound):
    assert collector.routes == [["read", "pay"]]
    controller.tick(10.0 + OUTCOMES_INTERVAL_S)
    inbound.tallies_by_route["pay"].record(True, 0.1)
    controller.tick(10.0 + 2 * OUTCOMES_INTERVAL_S)
    assert collector.routes[1:] == [["pay"]]


def test_new_collector_gets_the_outcomes_of_all_routes(controller, collector, inbound):
    """Guards against sums that lack what hosts reported to another node before."""
    collector.is_new = True
    inbound.tallies_by_route["pay"].record(True, 0.1)
    controller.tick(10.0 + OUTCOMES_INTERVAL_S)
    controller.tick(10.0 + 2 * OUTCOMES_INTERVAL_S)
    controller.tick(10.0 + 3 * OUTCOMES_INTERVAL_S)
    assert collector.routes[1:] == [["pay"], ["read", "pay"]]
