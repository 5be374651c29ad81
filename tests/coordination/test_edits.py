"""Tests of edits of the text: their effect on moves, and refused edits."""

import pytest
from attrs import evolve

from bamboocove.coordination.differences import describe_difference, find_warnings
from bamboocove.coordination.edits import (
    PlannedEdit,
    StaleEdit,
    plan_edit,
    prepare_edit,
)
from bamboocove.protocol.text import parse_text
from bamboocove.protocol.text_values import parse_timestamp
from bamboocove.state.config import Config

NOW = parse_timestamp("2026-12-04T12:00:00Z")
MOVE_ID = "orders-v2-20261205T0500"
MOVE = "{service: orders, to: v2, by: 2026-12-05T05:00:00Z}"
LATER_MOVE = "{service: orders, to: v2, by: 2026-12-05T07:00:00Z}"


def make_text(moves="", version="v1", ledger="v1", tenant="t", depends="[ledger]"):
    services = f"  orders: {{version: {version}, depends_on: {depends}}}\n"
    if ledger:
        services += f"  ledger: {{version: {ledger}}}\n"
    return f"tenant: {tenant}\nservices:\n{services}moves: [{moves}]\n".encode()


def plan(config, *args, now=NOW, **kwargs):
    document = parse_text(make_text(*args, **kwargs))
    assert not isinstance(document, list), document
    return plan_edit(config, document, now)


def end_move(config, phase, now=NOW + 60):
    """Return the configuration after the coordinator has ended the open move."""
    move = evolve(config.get_open_moves()[0], phase=phase, changed_at=now)
    services = dict(config.services_by_name)
    if phase == "done":
        service = services[move.service]
        services[move.service] = evolve(service, version=move.to_version)
    return evolve(
        config,
        revision=config.revision + 1,
        services_by_name=services,
        moves_by_id={**config.moves_by_id, move.move_id: move},
    )


BASE = plan(Config())
MOVING = plan(BASE, MOVE)
DONE = end_move(MOVING, "done")
REVERTED = end_move(MOVING, "reverted")


def refuse(config, *args, **kwargs):
    """Return the only problem of an edit that is expected to be refused."""
    problems = plan(config, *args, **kwargs)
    assert isinstance(problems, list), problems
    (problem,) = problems
    return problem


def test_edit_makes_the_next_revision():
    assert (BASE.revision, BASE.text_revision, BASE.tenant) == (1, 1, "t")
    config = evolve(BASE, revision=9)
    assert plan(config, depends="[]").revision == 10
    assert plan(config, depends="[]").text_revision == 10


def test_text_that_changes_nothing_makes_no_revision():
    assert plan(MOVING, MOVE) is MOVING


def test_listed_move_is_added_in_the_first_phase():
    move = MOVING.moves_by_id[MOVE_ID]
    assert (move.from_version, move.to_version, move.phase) == ("v1", "v2", "waiting")
    assert (move.share, move.step, move.started_at) == (0.0, -1, NOW)


def test_open_move_keeps_its_share_when_something_else_is_edited():
    stepping = evolve(MOVING.moves_by_id[MOVE_ID], phase="stepping", share=0.05, step=1)
    config = evolve(MOVING, moves_by_id={MOVE_ID: stepping})
    planned = plan(config, MOVE, depends="[]")
    assert planned.moves_by_id[MOVE_ID] == stepping


def test_new_deadline_changes_the_move_and_keeps_its_identifier():
    """Guards against a new identifier, which would restart the move at 1%.

    The evidence of the move would be discarded with the old identifier.
    """
    planned = plan(MOVING, LATER_MOVE)
    (move,) = planned.moves_by_id.values()
    assert move.move_id == MOVE_ID
    assert move.deadline == parse_timestamp("2026-12-05T07:00:00Z")


def test_move_that_is_no_longer_listed_is_reverted():
    planned = plan(MOVING, "")
    move = planned.moves_by_id[MOVE_ID]
    assert (move.phase, move.share, move.reason) == ("reverted", 0.0, "withdrawn")
    assert planned.services_by_name["orders"].version == "v1"


def test_new_target_version_withdraws_the_move_and_adds_another():
    other = MOVE.replace("v2", "v3")
    planned = plan(MOVING, other)
    assert planned.moves_by_id[MOVE_ID].phase == "reverted"
    assert planned.get_open_move("orders").to_version == "v3"
    assert len(planned.get_open_moves()) == 1


@pytest.mark.parametrize("ended", [DONE, REVERTED, end_move(MOVING, "expired")])
def test_ended_move_that_is_still_listed_has_no_effect(ended):
    """Guards against a text that becomes invalid once the deadline has passed."""
    assert plan(ended, MOVE, now=NOW + 1e6) is ended


def test_text_may_name_the_new_version_once_the_move_is_done():
    assert plan(DONE, "", version="v2") is DONE


@pytest.mark.parametrize("phase", ["reverted", "done"])
def test_extended_move_that_ended_is_not_started_again(phase):
    """Guards against traffic to a reverted version when a text is applied again."""
    ended = end_move(plan(MOVING, LATER_MOVE), phase)
    assert plan(ended, LATER_MOVE) is ended
    assert plan(ended, MOVE) is ended


def test_new_deadline_starts_a_reverted_move_again():
    planned = plan(REVERTED, LATER_MOVE)
    assert planned.get_open_move("orders").move_id == "orders-v2-20261205T0700"
    assert planned.moves_by_id[MOVE_ID].phase == "reverted"


def test_open_move_may_take_the_deadline_of_an_ended_one():
    again = plan(REVERTED, LATER_MOVE)
    planned = plan(again, MOVE)
    assert planned.get_open_move("orders").deadline == parse_timestamp(
        "2026-12-05T05:00:00Z"
    )


def test_open_move_cannot_take_the_past_deadline_of_an_ended_one():
    again = plan(REVERTED, LATER_MOVE)
    after_first_deadline = parse_timestamp("2026-12-05T06:00:00Z")
    assert "in the past" in refuse(again, MOVE, now=after_first_deadline).message


def test_only_the_last_ended_move_of_a_service_is_kept():
    second = plan(REVERTED, LATER_MOVE)
    withdrawn = plan(second, "", now=NOW + 120)
    assert list(withdrawn.moves_by_id) == ["orders-v2-20261205T0700"]


def test_version_change_without_a_move_is_refused():
    problem = refuse(BASE, version="v2")
    assert (problem.line, problem.column, problem.word) == (3, 21, "v2")
    assert "from v1 to v2 without a move" in problem.message
    assert "list a move to v2" in problem.remedy


def test_old_version_without_the_finished_move_is_refused():
    """Guards against a silent rollback of the service to the previous version."""
    assert "from v2 to v1 without a move" in refuse(DONE, version="v1").message


def test_old_version_after_another_finished_move_is_refused():
    third = "{service: orders, to: v3, by: 2026-12-06T05:00:00Z}"
    assert "without a move" in refuse(DONE, third, version="v1").message


def test_new_version_is_refused_while_its_move_is_open():
    config = MOVING
    document = parse_text(make_text(version="v2"))
    (problem,) = plan_edit(config, document, NOW)
    assert "is not done" in problem.message


def test_move_to_the_version_already_running_is_refused():
    problem = refuse(DONE, LATER_MOVE, version="v1")
    assert "orders already runs v2" in problem.message
    assert "write version: v2" in problem.remedy


def test_finished_move_may_be_followed_by_a_move_back():
    back = "{service: orders, to: v1, by: 2026-12-06T05:00:00Z}"
    move = plan(DONE, back, version="v2").get_open_move("orders")
    assert (move.from_version, move.to_version) == ("v2", "v1")


def test_new_move_with_a_past_deadline_is_refused():
    problem = refuse(BASE, MOVE, now=NOW + 1e6)
    assert "in the past" in problem.message


def test_deadline_of_an_open_move_cannot_be_set_in_the_past():
    problem = refuse(MOVING, MOVE.replace("12-05", "12-03"))
    assert "in the past" in problem.message


def test_open_move_past_its_deadline_does_not_block_other_edits():
    """Guards against refused edits until the coordinator has expired the move."""
    planned = plan(MOVING, MOVE, depends="[]", now=NOW + 1e6)
    assert planned.get_open_move("orders") is not None


def test_removing_a_service_with_an_open_move_is_refused():
    text = b"tenant: t\nservices:\n  ledger: {version: v1}\n"
    (problem,) = plan_edit(MOVING, parse_text(text), NOW)
    assert "removed while it moves" in problem.message


def test_removing_a_service_that_others_depend_on_is_refused():
    (problem,) = parse_text(make_text(ledger=""))
    assert "unknown service 'ledger'" in problem.message
    document = parse_text(make_text())
    del document.services_by_name["ledger"]
    (problem,) = plan_edit(BASE, document, NOW)
    assert "removed but orders depend on it" in problem.message


def test_removing_an_unused_service_removes_its_ended_move():
    text = b"tenant: t\nservices:\n  ledger: {version: v1}\n"
    planned = plan_edit(REVERTED, parse_text(text), NOW)
    assert list(planned.services_by_name) == ["ledger"]
    assert dict(planned.moves_by_id) == {}


def test_text_of_another_tenant_is_refused():
    problem = refuse(BASE, tenant="u")
    assert (problem.line, problem.word) == (1, "u")


def test_move_identifier_used_by_another_service_is_refused():
    """Guards against a move that overwrites that of another service.

    Moves are stored by identifier.
    """
    text = (
        "tenant: t\nservices: {a: {version: v1}, a-b: {version: v1}}\n"
        "moves: [{service: %s, to: %s, by: 2026-12-05T05:00:00Z}]\n"
    )
    first = plan_edit(Config(), parse_text((text % ("a", "b-c")).encode()), NOW)
    document = parse_text((text % ("a-b", "c")).encode())
    (problem,) = plan_edit(first, document, NOW)
    assert "belongs to a move of a" in problem.message


def test_dependency_on_a_missing_service_is_refused():
    document = parse_text(make_text())
    del document.services_by_name["ledger"]
    (problem,) = plan_edit(Config(), document, NOW)
    assert "ledger, which does not exist" in problem.message


def test_difference_names_every_change():
    old = parse_text(
        b"tenant: t\nservices:\n  a: {version: v1, routes: {r: {path: /r}, "
        b"gone: {path: /gone}}}\n  b: {version: v1}\n"
    )
    new = parse_text(
        b"tenant: t\nservices:\n  a: {version: v1, depends_on: [c], routes: "
        b"{r: {path: /s, methods: [GET, PUT], class: prompt, timeout: 1s, "
        b"idempotent: false}, new: {path: /new}}}\n  c: {version: v1}\n"
        b"moves: [{service: a, to: v2, by: 2026-12-05T05:00:00Z}]\n"
    )
    before = plan_edit(Config(), old, NOW)
    after = plan_edit(before, new, NOW)
    assert describe_difference(before, after) == [
        "service a: depends_on +c",
        "route a/r: methods +PUT, path /r -> /s, class normal -> prompt, "
        "idempotent True -> False, timeout_s 5.0 -> 1.0",
        "route a/new added: GET /new",
        "route a/gone removed",
        "service c added: version v1, routes 0",
        "service b removed",
        "move a-v2-20261205T0500 added: a v1 -> v2 by 2026-12-05T05:00:00Z",
    ]
    assert describe_difference(after, after) == []


def test_difference_of_withdrawn_and_extended_moves():
    assert describe_difference(MOVING, plan(MOVING, "")) == [
        f"move {MOVE_ID}: waiting -> reverted (withdrawn)"
    ]
    assert describe_difference(MOVING, plan(MOVING, LATER_MOVE)) == [
        f"move {MOVE_ID}: deadline 2026-12-05T05:00:00Z -> 2026-12-05T07:00:00Z"
    ]


def test_warnings_name_versions_that_no_worker_announces():
    document = parse_text(make_text(MOVE))
    announced = {"orders": {"v1"}, "ledger": {"v1"}}
    (warning,) = find_warnings(document, MOVING, announced)
    assert "no worker announces orders v2 yet" in warning
    announced["orders"].add("v2")
    assert find_warnings(document, MOVING, announced) == []


def test_warning_of_a_listed_move_that_has_ended_without_success():
    document = parse_text(make_text(MOVE))
    announced = {"orders": {"v1", "v2"}, "ledger": {"v1"}}
    (warning,) = find_warnings(document, REVERTED, announced)
    assert "has ended and has no effect" in warning
    assert find_warnings(document, DONE, announced) == []


def test_second_of_two_concurrent_edits_is_stale():
    """Guards against a lost update: both edits are based on text revision 1."""
    announced = {"orders": {"v1", "v2"}, "ledger": {"v1"}}
    won = prepare_edit(BASE, make_text(MOVE), 1, NOW, announced)
    assert isinstance(won, PlannedEdit)
    assert won.warnings == []
    lost = prepare_edit(won.config, make_text(depends="[]"), 1, NOW, announced)
    assert lost == StaleEdit(
        2,
        [
            "service orders: depends_on -ledger",
            f"move {MOVE_ID}: waiting -> reverted (withdrawn)",
        ],
    )


def test_move_steps_do_not_make_an_edit_stale():
    """Guards against edits refused because a move steps every few seconds."""
    stepped = evolve(BASE, revision=7)
    edit = prepare_edit(stepped, make_text(depends="[]"), 1, NOW, {})
    assert isinstance(edit, PlannedEdit)
    assert edit.config.revision == 8


def test_invalid_text_is_refused_even_if_its_base_is_stale():
    assert isinstance(prepare_edit(BASE, b"", 99, NOW, {}), list)
