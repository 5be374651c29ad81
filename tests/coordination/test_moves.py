"""Decisions on the steps of a move."""

import pytest
from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.analysis import STEP_SHARES
from bamboocove.coordination.moves import (
    REPEATS_MAX,
    SHARE_MAX_WITHOUT_EVIDENCE,
    STEP_S_WITHOUT_EVIDENCE,
    SUSPECT_S,
    WATCH_S,
    BrakeCounts,
    WorkerCounts,
    apply_decision,
    count_workers_used,
    plan_move,
)
from bamboocove.coordination.verdicts import Verdict
from bamboocove.errors import ErrorKind
from bamboocove.state.config import MOVE_PHASES, Config, Move, Service

GOOD = Verdict("good", "not worse")
BAD = Verdict("bad", "failures", "read", "normal")
UNDECIDED = Verdict("undecided", "12 calls", "read", "normal")
NO_EVIDENCE = Verdict("no_evidence", "1 call", "read", "normal")
IDLE = Verdict("no_evidence", "no calls on any route", has_no_traffic=True)
NO_REPORTS = Verdict("no_evidence", "no calls reported yet")
REPORTS = BrakeCounts(reporting=12)
WORKERS = WorkerCounts(5, 5)
DEADLINE = 3600.0


def make_move(step=2, phase="stepping", changed_at=0.0):
    share = 0.0 if step < 0 else STEP_SHARES[step]
    return Move(
        "m",
        "orders",
        "v1",
        "v2",
        DEADLINE,
        phase,
        share,
        step,
        changed_at=changed_at,
    )


def make_config(move):
    return Config(7, "t", 1, {"orders": Service("orders", "v1")}, {"m": move})


def test_good_version_takes_every_step_and_is_done():
    # Guards against a skipped step, and against an end before the new version
    # has been watched at 100% for WATCH_S.
    config, now, shares = make_config(make_move(-1, "waiting")), 0.0, []
    while not config.moves_by_id["m"].is_ended:
        now += 1.0
        move = config.moves_by_id["m"]
        decision = plan_move(move, GOOD, now, WORKERS)
        if decision.kind != "keep":
            config = apply_decision(config, move, decision, now)
            shares.append(decision.share)
    assert shares == [*STEP_SHARES, 1.0]
    assert config.services_by_name["orders"].version == "v2"
    assert now >= WATCH_S
    assert config.revision == 7 + len(shares)


@pytest.mark.parametrize(
    ("move", "verdict", "now", "workers", "kind", "share"),
    [
        (make_move(-1, "waiting"), IDLE, 9.0, WorkerCounts(5, 0), "keep", 0.0),
        (make_move(-1, "waiting"), IDLE, 9.0, WorkerCounts(5, 1), "advance", 0.01),
        (make_move(-1, "waiting"), IDLE, 3600.0, WORKERS, "expire", 0.0),
        (make_move(2), GOOD, 4.9, WORKERS, "keep", 0.1),
        (make_move(2), GOOD, 5.0, WORKERS, "advance", 0.25),
        (make_move(3), GOOD, 9.0, WorkerCounts(5, 1), "hold", 0.25),
        (make_move(3), GOOD, 9.0, WorkerCounts(5, 2), "advance", 0.5),
        (make_move(0), UNDECIDED, 59.0, WORKERS, "keep", 0.01),
        (make_move(0), UNDECIDED, 60.0, WORKERS, "advance", 0.05),
        (make_move(2), UNDECIDED, 3000.0, WORKERS, "keep", 0.1),
        (make_move(2), NO_EVIDENCE, 3000.0, WORKERS, "hold", 0.1),
        (make_move(2), IDLE, 3000.0, WORKERS, "hold", 0.1),
        (make_move(2), IDLE, 3250.0, WORKERS, "advance", 0.25),
        (make_move(2), BAD, 9.0, WORKERS, "revert", 0.0),
        (make_move(5, "finishing"), BAD, 9.0, WORKERS, "revert", 0.0),
        (make_move(4, "finishing"), BAD, 9.0, WORKERS, "revert", 0.0),
        (make_move(3), GOOD, DEADLINE, WORKERS, "expire", 0.0),
        (make_move(5, "finishing"), IDLE, WATCH_S - 1, WORKERS, "keep", 1.0),
        (make_move(5, "finishing"), IDLE, WATCH_S, WORKERS, "finish", 1.0),
        (make_move(5, "finishing"), IDLE, WATCH_S, WorkerCounts(5, 4), "keep", 1.0),
        (make_move(4, "finishing"), GOOD, 9.0, WORKERS, "advance", 1.0),
        (make_move(4, "finishing"), UNDECIDED, 4000.0, WORKERS, "expire", 0.0),
        (make_move(5, "done"), BAD, 9.0, WORKERS, "keep", 1.0),
    ],
)
def test_each_rule_leads_to_its_decision(move, verdict, now, workers, kind, share):
    # Guards against a change of any single rule of plan_move (section 7).
    decision = plan_move(move, verdict, now, workers, REPORTS)
    assert (decision.kind, decision.share) == (kind, share)


@pytest.mark.parametrize(
    ("verdict", "reporting"),
    [
        pytest.param(NO_REPORTS, 12, id="new"),
        pytest.param(IDLE, 11, id="cut off"),
    ],
)
def test_no_traffic_must_be_reported_by_all_nodes(verdict, reporting):
    # Guards against a coordinator that gets no reports, because it is new or
    # partitioned from some nodes, and moves all traffic without evidence near the
    # deadline.
    workers = WorkerCounts(5, 5, 12)
    brakes = BrakeCounts(reporting=reporting)
    decision = plan_move(make_move(2), verdict, 3590.0, workers, brakes)
    assert (decision.kind, decision.share) == ("hold", 0.1)


def test_suspect_version_does_not_advance():
    # Guards against a step with a suspect version. A good verdict allows it only
    # after a longer time on the step.
    unproven = evolve(UNDECIDED, is_suspect=True)
    assert plan_move(make_move(0), unproven, 900.0, WORKERS).kind == "hold"
    verdict = evolve(GOOD, is_suspect=True)
    now = SUSPECT_S - 1.0
    assert plan_move(make_move(2), verdict, now, WORKERS).kind == "hold"
    assert plan_move(make_move(2), verdict, SUSPECT_S, WORKERS).kind == "advance"


def test_suspect_version_at_full_share_steps_back():
    # Guards against a revert without a comparison in the same windows: a
    # dependency outage at 100% would affect both versions.
    move = make_move(5, "finishing")
    decision = plan_move(move, evolve(IDLE, is_suspect=True), 9.0, WORKERS)
    assert (decision.kind, decision.phase, decision.share) == (
        "step_back",
        "finishing",
        0.5,
    )


@pytest.mark.parametrize("phase", ["stepping", "finishing"])
def test_widespread_brakes_repeat_the_step_and_then_revert(phase):
    # Guards against a move that stays open without progress while every brake is
    # set.
    move = make_move(3 if phase == "stepping" else 5, phase)
    kinds = [
        plan_move(move, UNDECIDED, 9.0, WORKERS, BrakeCounts(6, 12, repeats)).kind
        for repeats in range(REPEATS_MAX + 1)
    ]
    assert kinds == ["repeat"] * REPEATS_MAX + ["revert"]


def test_single_brake_holds_without_good_evidence():
    # Guards against the fault of a single node ending a move, and against a step
    # without evidence while a brake is set.
    brakes = BrakeCounts(1, 12, 0)
    assert plan_move(make_move(1), UNDECIDED, 99.0, WORKERS, brakes).kind == "hold"
    assert plan_move(make_move(1), GOOD, 99.0, WORKERS, brakes).kind == "advance"


def test_hold_is_published_once_and_resumed():
    # Guards against a new revision on each tick while a move is holding.
    config = make_config(make_move(3))
    move = config.moves_by_id["m"]
    workers = WorkerCounts(5, 1)
    decision = plan_move(move, GOOD, 9.0, workers)
    holding = apply_decision(config, move, decision, 9.0).moves_by_id["m"]
    assert holding.phase == "holding"
    assert holding.changed_at == move.changed_at
    assert plan_move(holding, GOOD, 10.0, workers).kind == "keep"
    assert plan_move(holding, UNDECIDED, 10.0, WORKERS).kind == "resume"


@pytest.mark.parametrize(
    ("move", "now", "remaining_s", "is_warned"),
    [
        (make_move(2), 600.0, 2999.0, False),
        (make_move(2), 600.0, 3001.0, True),
        (make_move(1), 3590.0, 0.0, True),
        (make_move(-1, "waiting"), 1700.0, 0.0, False),
        (make_move(-1, "waiting"), 1900.0, 0.0, True),
    ],
)
def test_deadline_warning_comes_early(move, now, remaining_s, is_warned):
    # Guards against operators learning of a missed deadline only when it passes.
    decision = plan_move(
        move, NO_EVIDENCE, now, WorkerCounts(5, 0), remaining_s=remaining_s
    )
    assert bool(decision.warning) == is_warned


@settings(derandomize=True, max_examples=400)
@given(
    step=st.integers(-1, 5),
    phase=st.sampled_from(MOVE_PHASES),
    kind=st.sampled_from(["bad", "good", "no_evidence", "undecided"]),
    suspect=st.booleans(),
    has_no_traffic=st.booleans(),
    now=st.floats(0, 2 * DEADLINE),
    old=st.integers(0, 8),
    ready=st.integers(0, 8),
    braked=st.integers(0, 12),
)
def test_share_rises_only_by_rule(
    step, phase, kind, suspect, has_no_traffic, now, old, ready, braked
):
    # Guards against any combination of inputs that increases the share by more
    # than one step, without ready workers, or above 10% without evidence.
    # Combinations of step and phase that don't occur are passed over.
    if (phase == "waiting") != (step < 0) or (phase == "finishing" and step < 4):
        return
    if step == 5 and phase in ("stepping", "holding"):
        return
    # Before the first step no call has reached the new version.
    if step < 0 and suspect:
        return
    move = make_move(step, phase)
    verdict = Verdict(kind, "", "r", "normal", suspect, has_no_traffic)
    decision = plan_move(
        move, verdict, now, WorkerCounts(old, ready), BrakeCounts(braked, 12)
    )
    if decision.share > move.share:
        assert decision.step == move.step + 1
        if suspect:
            assert kind == "good"
            assert now >= SUSPECT_S
            assert phase != "finishing"
        assert ready >= 1
        assert kind != "bad"
        if phase != "finishing":
            assert ready >= count_workers_used(decision.share, old)
        if decision.share > SHARE_MAX_WITHOUT_EVIDENCE:
            assert kind == "good" or has_no_traffic
        elif kind != "good" and step >= 0:
            assert now >= STEP_S_WITHOUT_EVIDENCE
    if kind == "bad" and not move.is_ended:
        assert decision.share == 0.0
    if decision.kind != "keep":
        config = apply_decision(make_config(move), move, decision, now)
        assert config.revision == 8


def test_apply_refuses_a_changed_move_and_a_wrong_phase():
    # Guards against applying a decision to a move that an operator has edited
    # since, and against reopening an ended move.
    move = make_move(2)
    decision = plan_move(move, GOOD, 9.0, WORKERS)
    edited = make_config(evolve(move, deadline=9999.0))
    assert apply_decision(edited, move, decision, 9.0).kind == ErrorKind.STALE
    ended = make_move(2, "reverted")
    result = apply_decision(make_config(ended), ended, decision, 9.0)
    assert result.kind == ErrorKind.INVALID_CONFIG


def test_apply_keeps_the_last_ended_move_only():
    # Guards against a configuration that grows with each ended move.
    move = make_move(5, "finishing")
    earlier = evolve(make_move(2, "reverted"), move_id="earlier")
    other = evolve(earlier, move_id="other", service="ledger")
    config = evolve(
        make_config(move), moves_by_id={"m": move, "earlier": earlier, "other": other}
    )
    decision = plan_move(move, IDLE, WATCH_S, WORKERS)
    result = apply_decision(config, move, decision, WATCH_S)
    assert set(result.moves_by_id) == {"m", "other"}
