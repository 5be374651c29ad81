"""Local brake of a node."""

from random import Random

import pytest
from attrs import evolve

from bamboocove.coordination.brake import (
    BRAKE_ALPHA,
    Brake,
    get_brake_reports,
    get_local_share,
    is_set,
    update_brake,
    update_moves,
)
from bamboocove.state.config import Move
from bamboocove.state.evidence import Evidence, OutcomeCounts

MOVE = Move("m", "orders", "v1", "v2", 3600.0, "stepping", 0.25, 3)


def make_evidence(start, old, new, revision=5, node="n1"):
    counts = OutcomeCounts(*old), OutcomeCounts(*new)
    return Evidence("m", node, revision, "read", "normal", start, 1.0, *counts)


def make_brake(move=MOVE):
    return update_moves(Brake("n1"), [move], 5)


def make_brake_with_failures(start=0.0, revision=5, node="n1"):
    """Return a brake after five windows in which 8 of 10 new calls failed."""
    brake = make_brake()
    for second in range(5):
        item = make_evidence(start + second, (30, 0, 1), (10, 8, 0), revision, node)
        update_brake(brake, item)
    return brake


def test_bad_version_sets_the_brake_and_share_is_zero():
    # Guards against a node that continues to send calls to a bad version.
    brake = make_brake_with_failures()
    assert is_set(brake, "m")
    assert get_local_share(brake, MOVE) == 0.0
    assert get_brake_reports(brake)[0].route == "read"


def test_brake_needs_two_windows():
    # Guards against one second of lost connections setting the brake of each node.
    brake = make_brake()
    update_brake(brake, make_evidence(0.0, (300, 0, 9), (100, 100, 0)))
    assert not is_set(brake, "m")
    assert get_local_share(brake, MOVE) == MOVE.share


def test_dependency_outage_does_not_set_the_brake():
    # Guards against a brake set because of failures that affect both versions.
    brake = make_brake()
    for second in range(60):
        update_brake(brake, make_evidence(float(second), (30, 15, 1), (10, 5, 0)))
    assert not is_set(brake, "m")


@pytest.mark.parametrize(
    ("revision", "node"),
    [pytest.param(4, "n1", id="revision"), pytest.param(5, "n2", id="node")],
)
def test_evidence_of_another_revision_or_node_is_ignored(revision, node):
    # Guards against a brake set by outcomes of an earlier share or of another
    # node.
    assert not is_set(make_brake_with_failures(0.0, revision, node), "m")


def test_repeated_windows_are_ignored():
    # Guards against a repeated window counting as a second one.
    brake = make_brake()
    for _ in range(5):
        update_brake(brake, make_evidence(0.0, (30, 0, 1), (10, 10, 0)))
    assert not is_set(brake, "m")


@pytest.mark.parametrize(
    ("changes", "released"),
    [
        ({}, False),
        ({"deadline": 9999.0}, False),
        ({"phase": "holding", "reason": "brakes"}, False),
        ({"changed_at": 50.0}, True),
        ({"step": 0, "share": 0.01, "changed_at": 50.0}, True),
    ],
)
def test_only_a_new_decision_releases_the_brake(changes, released):
    # Guards against an edit of the deadline, a change of phase and reason alone
    # or an unrelated revision sending calls to a bad version again.
    brake = make_brake_with_failures()
    update_moves(brake, [evolve(MOVE, **changes)], 6)
    assert is_set(brake, "m") != released


def test_brake_at_full_share_compares_with_the_old_rate():
    # Guards against calls to a version with a late fault at 100% while the store
    # is down and no coordinator can publish a step back.
    brake = make_brake(evolve(MOVE, share=0.5, step=4))
    for second in range(30):
        update_brake(brake, make_evidence(float(second), (15, 0, 1), (15, 0, 1)))
    full = evolve(MOVE, share=1.0, step=5, phase="finishing", changed_at=30.0)
    update_moves(brake, [full], 6)
    for second in range(30, 60):
        item = make_evidence(float(second), (0, 0, 0), (30, 0, 1), 6)
        update_brake(brake, item)
    assert not is_set(brake, "m")
    for second in range(60, 70):
        item = make_evidence(float(second), (0, 0, 0), (30, 15, 1), 6)
        update_brake(brake, item)
    assert get_local_share(brake, full) == 0.0


def test_false_brakes_stay_within_alpha():
    # Guards against false alarms on equal versions. The probability of at least
    # one in 150 runs at alpha 0.001 is 0.14, that of three is below 0.001.
    runs, false_alarms = 150, 0
    assert BRAKE_ALPHA == 0.001
    for seed in range(runs):
        random, brake = Random(seed), make_brake()
        for second in range(200):
            old, new = (
                (calls, sum(random.random() < 0.02 for _ in range(calls)), 0)
                for calls in (9, 3)
            )
            update_brake(brake, make_evidence(float(second), old, new))
        false_alarms += is_set(brake, "m")
    assert false_alarms <= 2
