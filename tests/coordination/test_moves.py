"""Steps of a move."""

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
SILENCE = Verdict("no_evidence", "no calls on any route", has_no_traffic=True)
UNHEARD = Verdict("no_evidence", "no calls reported yet")
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
    # Guards against a skipped step and against an end before the watch is over.
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
        (make_move(-1, "waiting"), SILENCE, 9.0, WorkerCounts(5, 0), "keep", 0.0),
        (make_move(-1, "waiting"), SILENCE, 9.0, WorkerCounts(5, 1), "advance", 0.01),
        (make_move(-1, "waiting"), SILENCE, 3600.0, WORKERS, "expire", 0.0),
        (make_move(2), GOOD, 4.9, WORKERS, "keep", 0.1),
        (make_move(2), GOOD, 5.0, WORKERS, "advance", 0.25),
        (make_move(3), GOOD, 9.0, WorkerCounts(5, 1), "hold", 0.25),
        (make_move(3), GOOD, 9.0, WorkerCounts(5, 2), "advance", 0.5),
        (make_move(0), UNDECIDED, 59.0, WORKERS, "keep", 0.01),
        (make_move(0), UNDECIDED, 60.0, WORKERS, "advance", 0.05),
        (make_move(2), UNDECIDED, 3000.0, WORKERS, "keep", 0.1),
        (make_move(2), NO_EVIDENCE, 3000.0, WORKERS, "hold", 0.1),
        (make_move(2), SILENCE, 3000.0, WORKERS, "hold", 0.1),
        (make_move(2), SILENCE, 3250.0, WORKERS, "advance", 0.25),
        (make_move(2), BAD, 9.0, WORKERS, "revert", 0.0),
        (make_move(5, "finishing"), BAD, 9.0, WORKERS, "revert", 0.0),
        (make_move(4, "finishing"), BAD, 9.0, WORKERS, "revert", 0.0),
        (make_move(3), GOOD, DEADLINE, WORKERS, "expire", 0.0),
        (make_move(5, "finishing"), SILENCE, WATCH_S - 1, WORKERS, "keep", 1.0),
        (make_move(5, "finishing"), SILENCE, WATCH_S, WORKERS, "finish", 1.0),
        (make_move(5, "finishing"), SILENCE, WATCH_S, WorkerCounts(5, 4), "keep", 1.0),
        (make_move(4, "finishing"), GOOD, 9.0, WORKERS, "advance", 1.0),
        (make_move(4, "finishing"), UNDECIDED, 4000.0, WORKERS, "expire", 0.0),
        (make_move(5, "done"), BAD, 9.0, WORKERS, "keep", 1.0),
    ],
)
def test_decisions(move, verdict, now, workers, kind, share):
    # Guards the rules of section 7 one by one.
    decision = plan_move(move, verdict, now, workers, REPORTS)
    assert (decision.kind, decision.share) == (kind, share)


@pytest.mark.parametrize(
    ("verdict", "reporting"),
    [pytest.param(UNHEARD, 12, id="new"), pytest.param(SILENCE, 11, id="cut off")],
)
def test_silence_must_be_reported_by_all_nodes(verdict, reporting):
    # Guards against a coordinator that is new or cut off from some nodes, hears
    # no calls and moves all traffic unseen as the deadline comes near.
    workers = WorkerCounts(5, 5, 12)
    brakes = BrakeCounts(reporting=reporting)
    decision = plan_move(make_move(2), verdict, 3590.0, workers, brakes)
    assert (decision.kind, decision.share) == ("hold", 0.1)


def test_suspect_version_does_not_advance():
    # Guards against a step taken while signs of harm are not yet proof. Good
    # evidence outweighs them only after a longer time on the step.
    unproven = evolve(UNDECIDED, is_suspect=True)
    assert plan_move(make_move(0), unproven, 900.0, WORKERS).kind == "hold"
    verdict = evolve(GOOD, is_suspect=True)
    now = SUSPECT_S - 1.0
    assert plan_move(make_move(2), verdict, now, WORKERS).kind == "hold"
    assert plan_move(make_move(2), verdict, SUSPECT_S, WORKERS).kind == "advance"


def test_suspicion_at_full_share_goes_back_to_compare():
    # Guards against a revert without comparison: a dependency outage at 100%
    # hits both versions.
    move = make_move(5, "finishing")
    decision = plan_move(move, evolve(SILENCE, is_suspect=True), 9.0, WORKERS)
    assert (decision.kind, decision.phase, decision.share) == (
        "step_back",
        "finishing",
        0.5,
    )


@pytest.mark.parametrize("phase", ["stepping", "finishing"])
def test_widespread_brakes_repeat_the_step_and_then_revert(phase):
    # Guards against a move that stays open with every brake set.
    move = make_move(3 if phase == "stepping" else 5, phase)
    kinds = [
        plan_move(move, UNDECIDED, 9.0, WORKERS, BrakeCounts(6, 12, repeats)).kind
        for repeats in range(REPEATS_MAX + 1)
    ]
    assert kinds == ["repeat"] * REPEATS_MAX + ["revert"]


def test_single_brake_holds_without_good_evidence():
    # Guards against one node's fault ending a move, and against ignoring it.
    brakes = BrakeCounts(1, 12, 0)
    assert plan_move(make_move(1), UNDECIDED, 99.0, WORKERS, brakes).kind == "hold"
    assert plan_move(make_move(1), GOOD, 99.0, WORKERS, brakes).kind == "advance"


def test_hold_is_published_once_and_resumed():
    # Guards against a revision per tick while a move holds.
    config = make_config(make_move(3))
    move = config.moves_by_id["m"]
    workers = WorkerCounts(5, 1)
    decision = plan_move(move, GOOD, 9.0, workers)
    held = apply_decision(config, move, decision, 9.0).moves_by_id["m"]
    assert held.phase == "holding"
    assert held.changed_at == move.changed_at
    assert plan_move(held, GOOD, 10.0, workers).kind == "keep"
    assert plan_move(held, UNDECIDED, 10.0, WORKERS).kind == "resume"


@pytest.mark.parametrize(
    ("move", "now", "remaining_s", "warns"),
    [
        (make_move(2), 600.0, 2999.0, False),
        (make_move(2), 600.0, 3001.0, True),
        (make_move(1), 3590.0, 0.0, True),
        (make_move(-1, "waiting"), 1700.0, 0.0, False),
        (make_move(-1, "waiting"), 1900.0, 0.0, True),
    ],
)
def test_deadline_warning_comes_early(move, now, remaining_s, warns):
    # Guards against operators learning of a missed deadline when it passes.
    decision = plan_move(
        move, NO_EVIDENCE, now, WorkerCounts(5, 0), remaining_s=remaining_s
    )
    assert bool(decision.warning) == warns


@settings(derandomize=True, max_examples=400)
@given(
    step=st.integers(-1, 5),
    phase=st.sampled_from(MOVE_PHASES),
    kind=st.sampled_from(["bad", "good", "no_evidence", "undecided"]),
    suspect=st.booleans(),
    silent=st.booleans(),
    now=st.floats(0, 2 * DEADLINE),
    old=st.integers(0, 8),
    ready=st.integers(0, 8),
    braked=st.integers(0, 12),
)
def test_share_rises_only_by_rule(
    step, phase, kind, suspect, silent, now, old, ready, braked
):
    # Guards against any combination of inputs that raises exposure by more
    # than a step, without workers, or above 10% without evidence.
    # Only these steps occur in these phases.
    if (phase == "waiting") != (step < 0) or (phase == "finishing" and step < 4):
        return
    if step == 5 and phase in ("stepping", "holding"):
        return
    # Before the first step no call has reached the new version.
    if step < 0 and suspect:
        return
    move = make_move(step, phase)
    verdict = Verdict(kind, "", "r", "normal", suspect, silent)
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
            assert kind == "good" or silent
        elif kind != "good" and step >= 0:
            assert now >= STEP_S_WITHOUT_EVIDENCE
    if kind == "bad" and not move.is_ended:
        assert decision.share == 0.0
    if decision.kind != "keep":
        config = apply_decision(make_config(move), move, decision, now)
        assert config.revision == 8


def test_apply_refuses_a_changed_move_and_a_wrong_phase():
    # Guards against a decision about a move that an operator has edited, and
    # against reopening an ended move.
    move = make_move(2)
    decision = plan_move(move, GOOD, 9.0, WORKERS)
    edited = make_config(evolve(move, deadline=9999.0))
    assert apply_decision(edited, move, decision, 9.0).kind == ErrorKind.STALE
    ended = make_move(2, "reverted")
    result = apply_decision(make_config(ended), ended, decision, 9.0)
    assert result.kind == ErrorKind.INVALID_CONFIG


def test_apply_keeps_the_last_ended_move_only():
    # Guards against a configuration that grows with each finished move.
    move = make_move(5, "finishing")
    earlier = evolve(make_move(2, "reverted"), move_id="earlier")
    other = evolve(earlier, move_id="other", service="ledger")
    config = evolve(
        make_config(move), moves_by_id={"m": move, "earlier": earlier, "other": other}
    )
    decision = plan_move(move, SILENCE, WATCH_S, WORKERS)
    result = apply_decision(config, move, decision, WATCH_S)
    assert set(result.moves_by_id) == {"m", "other"}
