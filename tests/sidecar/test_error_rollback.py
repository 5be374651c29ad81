"""A move that a node judges by the reports of zones, with fakes of its other tasks."""

from types import SimpleNamespace

import pytest

from bamboocove.protocol.mesh_messages import OutcomeReport
from bamboocove.sidecar.moves import OUTCOMES_INTERVAL_S, MoveController
from bamboocove.sidecar.rules import RuleTable
from bamboocove.state.mesh import MoveOrder


class FakeStore:
    """A store that accepts each rule."""

    async def write_rule(self, rule):
        return rule


def make_controller():
    controller = MoveController(
        RuleTable(),
        FakeStore(),
        SimpleNamespace(
            records_by_id={},
            get_oldest_version=lambda service: "v1",
            get_views=lambda service: [],
            count_ready=lambda service, versions: 5,
        ),
        lambda message: None,
        lambda outcomes: False,
        SimpleNamespace(worker=None, tallies_by_route={}),
        SimpleNamespace(seconds=lambda: 0.0),
        "h1",
        7,
    )
    return controller


def run_move(
    old_failed_per_s,
    new_failed_per_s,
    status_is_error=True,
    controller=None,
    revision=12,
    start_s=0.0,
):
    """Return the state of a move after 12 s with 330 old and 40 new calls a second."""
    controller = controller or make_controller()
    controller.apply_order(MoveOrder("orders", "v2", 16.0, revision), start_s)
    for turn in range(48):
        now = turn * OUTCOMES_INTERVAL_S
        for version, calls_per_s, failed_per_s in (
            ("v1", 330, old_failed_per_s),
            ("v2", 40, new_failed_per_s),
        ):
            calls, failed = int(calls_per_s * now), int(failed_per_s * now)
            errors = failed if status_is_error else 0
            buckets = [calls - failed] + [0] * 18
            tally = ["view", calls, failed, 100 * calls, buckets, 0, errors]
            controller.record_outcomes(
                OutcomeReport("a", 0, "orders", version, revision, [tally])
            )
        controller.tick(start_s + now)
    return controller.rule_table.get("orders").state


@pytest.mark.parametrize("percent", [2, 3, 5])
def test_few_errors_of_the_new_version_only_end_the_move(percent):
    """Guards against a failure rate below which no number of failures counts."""
    assert run_move(0.0, 40 * percent / 100) == "rolled_back"


def test_few_errors_of_both_versions_do_not_end_the_move():
    """Guards against a rollback because of failures that the version did not cause."""
    assert run_move(330 * 0.03, 40 * 0.03) == "succeeded"


def test_few_failures_without_an_error_status_do_not_end_the_move():
    """Guards against time-outs on a slow host and lost answers taken for errors."""
    assert run_move(0.0, 40 * 0.03, status_is_error=False) == "succeeded"


def test_evidence_of_an_earlier_order_does_not_count():
    """Guards against a second move of a service that starts with old evidence."""
    controller = make_controller()
    assert run_move(0.0, 2.0, controller=controller) == "rolled_back"
    state = run_move(0.0, 0.0, controller=controller, revision=13, start_s=20.0)
    assert state == "succeeded"
