"""Sequential analysis of a new version against the old one, and its verdicts."""

import math
from random import Random

import pytest

from bamboocove.coordination.analysis import (
    ALPHA,
    MARGIN_MAX,
    add_evidence,
    close_windows,
    start_analysis,
    update_move,
)
from bamboocove.coordination.verdicts import get_verdict
from bamboocove.state.config import Move
from bamboocove.state.evidence import Evidence, OutcomeCounts

ROUTES = {"read": 20.0, "write": 9.5, "rare": 0.5}
RUNS = 100


def make_move(step=2, share=0.1, changed_at=0.0):
    return Move(
        "m", "orders", "v1", "v2", 3600.0, "stepping", share, step, "", 0.0, changed_at
    )


def make_evidence(start, old, new, revision=5, node="n1", route="read"):
    return Evidence(
        "m",
        node,
        revision,
        route,
        "normal",
        start,
        1.0,
        OutcomeCounts(*old),
        OutcomeCounts(*new),
    )


def draw_counts(random, mean, failing, slow):
    calls = int(mean) + (random.random() < mean % 1)
    failures = sum(random.random() < failing for _ in range(calls))
    slow_calls = sum(random.random() < slow for _ in range(calls - failures))
    return calls, failures, slow_calls


def run_analysis(
    seed, seconds, share=0.1, step=2, base_rate=lambda t: 0.005, excess=None
):
    """Simulate an analysis second by second; return the verdict kind of each."""
    random = Random(seed)
    analysis = start_analysis(make_move(step, share), 5, len(ROUTES))
    excess = excess or (lambda route, second: (0.0, 0.0))
    kinds = []
    for second in range(seconds):
        for route, rate in ROUTES.items():
            failing, slow = excess(route, second)
            old = draw_counts(random, rate * (1 - share), base_rate(second), 0.05)
            new = draw_counts(
                random, rate * share, base_rate(second) + failing, 0.05 + slow
            )
            item = make_evidence(float(second), old, new, route=route)
            analysis = add_evidence(analysis, item)
        close_windows(analysis, second + 1.0)
        kinds.append(get_verdict(analysis, step).kind)
        if kinds[-1] == "bad":
            break
    return kinds


def find_bound(runs, alpha):
    """Return the count that Binomial(runs, alpha) exceeds less than once in 1000."""
    total = 0.0
    for count in range(runs + 1):
        total += math.comb(runs, count) * alpha**count * (1 - alpha) ** (runs - count)
        if total >= 0.999:
            return count
    return runs


@pytest.mark.parametrize("share", [0.1, 0.5])
def test_false_alarms_stay_within_alpha(share):
    # Guards against more false alarms on equal versions than ALPHA allows, with
    # a verdict every second and an outage that affects both versions.
    def base_rate(second):
        return 0.4 if 30 <= second < 60 else 0.005

    alarms = sum(
        run_analysis(seed, 120, share, 2, base_rate)[-1] == "bad"
        for seed in range(RUNS)
    )
    assert alarms <= find_bound(RUNS, ALPHA)


@pytest.mark.parametrize(
    "excess",
    [
        pytest.param(lambda route, second: (0.3, 0.0), id="failing"),
        pytest.param(lambda route, second: (0.0, 0.5), id="slow"),
        pytest.param(lambda route, second: (0.5 * (second > 200), 0.0), id="late"),
        pytest.param(lambda route, second: (0.5 * (route == "write"), 0.0), id="route"),
    ],
)
def test_bad_versions_are_detected(excess):
    # Guards against a version that is bad in one indicator, on one route or only
    # after a while and is not detected at a share of 10%.
    kinds = [run_analysis(seed, 400, excess=excess)[-1] for seed in range(25)]
    assert kinds == ["bad"] * 25


def test_bad_route_with_few_calls_is_detected():
    # Guards against a bad route hidden in an average over all routes: this route
    # has 1 call in 60.
    def excess(route, second):
        return (0.9 * (route == "rare"), 0.0)

    kinds = run_analysis(1, 900, excess=excess)
    assert "good" not in kinds
    assert kinds[-1] == "bad"


def test_version_beyond_the_margin_rarely_gets_a_good_verdict():
    # Guards against steps taken with a version that is worse than the margin
    # allows, which is MARGIN_MAX on every route before a share of 5%.
    def excess(route, second):
        return (MARGIN_MAX + 0.05, 0.0)

    runs = 100
    passed = sum(
        "good" in run_analysis(seed, 200, 0.01, 0, excess=excess)
        for seed in range(runs)
    )
    assert passed <= find_bound(runs, 0.05)


def add_and_close(analysis, items, now):
    for item in items:
        add_evidence(analysis, item)
    return close_windows(analysis, now)


def test_verdict_kind_depends_on_the_amount_of_evidence():
    # Guards against no traffic or few calls being taken for a good version.
    analysis = start_analysis(make_move(), 5, 1)
    assert get_verdict(analysis, 2).kind == "no_evidence"
    assert not get_verdict(analysis, 2).has_no_traffic
    add_and_close(analysis, [make_evidence(0.0, (60, 0, 3), (4, 0, 0))], 2.0)
    assert get_verdict(analysis, 2).kind == "no_evidence"
    add_and_close(analysis, [make_evidence(1.0, (60, 0, 3), (4, 0, 0))], 4.0)
    assert get_verdict(analysis, 2).kind == "undecided"
    add_and_close(analysis, [make_evidence(2.0, (6000, 30, 300), (900, 4, 44))], 9.0)
    assert get_verdict(analysis, 2).kind == "good"


def test_no_traffic_needs_a_minute_of_reports_without_calls():
    # Guards against missing reports or a short time without calls being taken
    # for a service without traffic.
    analysis = start_analysis(make_move(), 5, 1)
    for second in range(59):
        add_evidence(analysis, make_evidence(float(second), (0, 0, 0), (0, 0, 0)))
    assert not get_verdict(analysis, 2).has_no_traffic
    add_evidence(analysis, make_evidence(59.0, (0, 0, 0), (0, 0, 0)))
    assert get_verdict(analysis, 2).has_no_traffic
    add_evidence(analysis, make_evidence(60.0, (1, 0, 0), (0, 0, 0)))
    assert not get_verdict(analysis, 2).has_no_traffic


def test_route_without_evidence_blocks_a_good_verdict():
    # Guards against a step taken while the new version has had no calls on one
    # route.
    analysis = start_analysis(make_move(), 5, 2)
    items = [
        make_evidence(0.0, (6000, 30, 300), (900, 4, 44)),
        make_evidence(0.0, (50, 0, 0), (0, 0, 0), route="rare"),
    ]
    verdict = get_verdict(add_and_close(analysis, items, 9.0), 2)
    assert (verdict.kind, verdict.route) == ("no_evidence", "rare")


@pytest.mark.parametrize(
    "item",
    [
        pytest.param(make_evidence(0.0, (9, 0, 0), (9, 9, 0)), id="duplicate"),
        pytest.param(make_evidence(-1.0, (9, 0, 0), (9, 9, 0)), id="older"),
        pytest.param(make_evidence(1.0, (9, 0, 0), (9, 9, 0), 4), id="revision before"),
        pytest.param(make_evidence(1.0, (9, 0, 0), (9, 9, 0), 6), id="unknown"),
        pytest.param(make_evidence(1.0, (9, 0, 0), (9, 10, 0)), id="impossible"),
        pytest.param(make_evidence(1.0, (9, 0, 0), (9, -1, 0)), id="negative"),
    ],
)
def test_stale_evidence_is_ignored(item):
    # Guards against counts of another share, of a repeated report or of a faulty
    # node.
    analysis = start_analysis(make_move(), 5, 1)
    add_evidence(analysis, make_evidence(0.0, (9, 0, 0), (9, 0, 0)))
    before = dict(analysis.tests_by_route)
    add_evidence(analysis, item)
    assert analysis.tests_by_route == before


def test_evidence_of_another_revision_with_the_same_step_counts():
    # Guards against steps of one move, which are new revisions, discarding the
    # evidence of another move.
    analysis = start_analysis(make_move(), 5, 1)
    update_move(analysis, make_move(), 6)
    for start, revision in ((0.0, 5), (1.0, 6)):
        add_evidence(analysis, make_evidence(start, (9, 0, 0), (9, 0, 0), revision))
    assert analysis.tests_by_route["read", "normal"].new_total.calls == 18


def test_new_step_begins_without_evidence():
    # Guards against evidence from a lower share deciding on a later step.
    analysis = start_analysis(make_move(), 5, 1)
    add_and_close(analysis, [make_evidence(0.0, (6000, 30, 300), (900, 4, 44))], 9.0)
    assert get_verdict(analysis, 2).kind == "good"
    update_move(analysis, make_move(3, 0.25, 9.0), 6)
    assert get_verdict(analysis, 3).kind == "no_evidence"
    assert get_verdict(analysis, 2).kind == "no_evidence"


def test_failures_of_a_single_window_are_no_verdict():
    # Guards against a bad verdict after the crash of one worker's host, which
    # fails all calls of the new version until the worker is ejected.
    analysis = start_analysis(make_move(), 5, 1)
    add_and_close(analysis, [make_evidence(0.0, (200, 1, 9), (90, 90, 0))], 2.0)
    assert get_verdict(analysis, 2).kind == "undecided"


def test_outage_of_both_versions_does_not_cancel_good_evidence():
    # Guards against a step that waits for a long time for new evidence after a
    # dependency failed for both versions.
    analysis = start_analysis(make_move(4, 0.5), 5, 1)
    for second in range(0, 60, 2):
        item = make_evidence(float(second), (30, 0, 1), (30, 0, 1))
        add_and_close(analysis, [item], second + 2.0)
    assert get_verdict(analysis, 4).kind == "good"
    for second in range(60, 160, 2):
        item = make_evidence(float(second), (30, 5, 1), (30, 5, 1))
        add_and_close(analysis, [item], second + 2.0)
    assert get_verdict(analysis, 4).kind == "good"


def test_braked_nodes_are_not_compared():
    # Guards against outcomes of braked nodes, whose share is 0, being compared
    # with those of the other nodes.
    analysis = start_analysis(make_move(), 5, 1)
    analysis.braked_nodes.add("n1")
    add_evidence(analysis, make_evidence(0.0, (90, 0, 0), (0, 0, 0)))
    assert analysis.tests_by_route["read", "normal"].old_pool.calls == 0


def test_rate_above_that_of_the_old_version_at_full_share_is_suspect():
    # Guards against an undetected late fault at 100%, where no calls of the old
    # version are left to compare with.
    analysis = start_analysis(make_move(4, 0.5), 5, 1)
    add_and_close(analysis, [make_evidence(0.0, (2000, 10, 100), (2000, 10, 100))], 9.0)
    update_move(analysis, make_move(5, 1.0, 9.0), 6)
    for second in range(10, 20):
        item = make_evidence(float(second), (0, 0, 0), (60, 0, 3), 6)
        add_and_close(analysis, [item], second + 2.0)
    assert not get_verdict(analysis, 5).is_suspect
    for second in range(20, 30):
        item = make_evidence(float(second), (0, 0, 0), (60, 9, 3), 6)
        add_and_close(analysis, [item], second + 2.0)
    assert get_verdict(analysis, 5).is_suspect
