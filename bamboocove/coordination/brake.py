"""Local brake: a circuit breaker that sets a node's share of a new version to 0.

It acts at once, on the node's own outcomes, also while no coordinator can
publish a revision.
"""

import math

from attrs import define, evolve, field, frozen

from bamboocove.coordination.analysis import (
    INDICATORS,
    RouteKey,
    estimate_rate,
    get_indicator_counts,
)
from bamboocove.coordination.sequential import (
    ODDS_RATIOS,
    EProcess,
    compare_windows,
    compare_with_rate,
    start_e_process,
    update_e_process,
)
from bamboocove.state.config import Move
from bamboocove.state.evidence import BrakeReport, Evidence, OutcomeCounts

# False alarm probability of the brake of one node during a whole step. It is
# smaller than that of the coordinator, because every node runs this test.
BRAKE_ALPHA = 0.001
# Closed windows with bad calls that the brake needs at least. The coordinator
# needs three.
BRAKE_WINDOWS = 2
# A node has few calls, so it pools fewer than the coordinator. At a share of 100%
# windows are compared with a rate and are not pooled, so that a version which fails
# only then is braked within a few windows.
BRAKE_POOL_CALLS = 10
BRAKE_POOL_MAX_S = 5.0


@frozen
class BrakeTest:
    """State of the comparison on one route and class, from this node's calls.

    Parameters
    ----------
    old_pool, new_pool : OutcomeCounts
        Windows that are not yet closed.
    pool_since : float
        Unix time in seconds of the first window in the pool.
    last_window : float
        Start of the newest window added, Unix time in seconds.
    old_total : OutcomeCounts
        All outcomes of the old version during the move.
    e_processes_by_indicator : dict of str to EProcess
        Evidence that the new version has more bad calls than the old one.
    """

    old_pool: OutcomeCounts = OutcomeCounts()
    new_pool: OutcomeCounts = OutcomeCounts()
    pool_since: float = -math.inf
    last_window: float = -math.inf
    old_total: OutcomeCounts = OutcomeCounts()
    e_processes_by_indicator: dict[str, EProcess] = field(
        factory=lambda: {
            indicator: start_e_process(len(ODDS_RATIOS)) for indicator in INDICATORS
        }
    )


@define
class MoveBrake:
    """State of the brake for one move on this node; updated in place.

    Parameters
    ----------
    step : int
        Step of the move.
    changed_at : float
        When the step began, Unix time in seconds.
    share : float
        Published share of the new version.
    first_revision, last_revision : int
        Revisions at which the move has had this step.
    route_count : int
        Routes of the service, over which ``BRAKE_ALPHA`` is divided.
    tests_by_route : dict of (str, str) to BrakeTest
        Comparison on each route and class that had calls.
    report : BrakeReport or None
        Why the brake is set; None while it is not.
    """

    step: int
    changed_at: float
    share: float
    first_revision: int
    last_revision: int
    route_count: int = 1
    tests_by_route: dict[RouteKey, BrakeTest] = field(factory=dict)
    report: BrakeReport | None = None


@define
class Brake:
    """Brakes of one node for all open moves.

    Parameters
    ----------
    node_id : str
        This node.
    brakes_by_move : dict of str to MoveBrake
        State of each open move.
    """

    node_id: str
    brakes_by_move: dict[str, MoveBrake] = field(factory=dict)


def update_moves(
    brake: Brake,
    moves: list[Move],
    revision: int,
    route_counts_by_service: dict[str, int] | None = None,
) -> Brake:
    """Apply the moves of a revision.

    A brake is released only by a new decision of the coordinator, which changes
    ``step``, ``share`` or ``changed_at`` of the move. An edit of the deadline or
    of another move does not release it.
    """
    counts = route_counts_by_service or {}
    states = {}
    for move in moves:
        state = brake.brakes_by_move.get(move.move_id)
        if state is not None and _is_same_step(state, move):
            state.last_revision = max(state.last_revision, revision)
            states[move.move_id] = state
            continue
        new_state = MoveBrake(
            move.step,
            move.changed_at,
            move.share,
            revision,
            revision,
            counts.get(move.service, 1),
        )
        if state is not None:
            # The old version's rate is the reference at a share of 100%.
            for key, test in state.tests_by_route.items():
                new_state.tests_by_route[key] = BrakeTest(
                    old_total=test.old_total, last_window=test.last_window
                )
        states[move.move_id] = new_state
    brake.brakes_by_move = states
    return brake


def _is_same_step(state: MoveBrake, move: Move) -> bool:
    return (state.step, state.changed_at, state.share) == (
        move.step,
        move.changed_at,
        move.share,
    )


def update_brake(brake: Brake, evidence: Evidence) -> Brake:
    """Add this node's outcomes of one window and set the brake if they are bad.

    Evidence of another node or revision is ignored, and so are windows that are
    not newer than the last one added.
    """
    state = brake.brakes_by_move.get(evidence.move_id)
    if state is None or evidence.node_id != brake.node_id:
        return brake
    if not state.first_revision <= evidence.revision <= state.last_revision:
        return brake
    key = (evidence.route, evidence.request_class)
    test = state.tests_by_route.get(key) or BrakeTest()
    if evidence.window_start <= test.last_window:
        return brake
    is_empty = not test.old_pool.calls + test.new_pool.calls
    test = evolve(
        test,
        old_pool=test.old_pool + evidence.old,
        new_pool=test.new_pool + evidence.new,
        pool_since=evidence.window_start if is_empty else test.pool_since,
        last_window=evidence.window_start,
        old_total=test.old_total + evidence.old,
    )
    age = evidence.window_start + evidence.window_s - test.pool_since
    calls = test.old_pool.calls + test.new_pool.calls
    is_large = calls >= BRAKE_POOL_CALLS or age >= BRAKE_POOL_MAX_S
    if calls and (is_large or state.share >= 1.0):
        test = _close_pool(state, test)
        if state.report is None:
            state.report = _make_report_if_bad(brake.node_id, state, evidence, test)
    state.tests_by_route[key] = test
    return brake


def _get_log_threshold(state: MoveBrake) -> float:
    routes = max(1, state.route_count, len(state.tests_by_route))
    return math.log(routes * len(INDICATORS) / BRAKE_ALPHA)


def _close_pool(state: MoveBrake, test: BrakeTest) -> BrakeTest:
    log_cap = _get_log_threshold(state) / BRAKE_WINDOWS
    e_processes = dict(test.e_processes_by_indicator)
    for indicator, e_process in e_processes.items():
        new_calls, new_bad = get_indicator_counts(test.new_pool, indicator)
        old_calls, old_bad = get_indicator_counts(test.old_pool, indicator)
        factors = compare_windows(new_calls, new_bad, old_calls, old_bad)
        if state.share >= 1.0:
            rate = estimate_rate(test.old_total, indicator)
            factors = compare_with_rate(new_calls, new_bad, rate)
        e_processes[indicator] = update_e_process(e_process, factors, log_cap)
    return evolve(
        test,
        old_pool=OutcomeCounts(),
        new_pool=OutcomeCounts(),
        e_processes_by_indicator=e_processes,
    )


def _make_report_if_bad(
    node_id: str, state: MoveBrake, evidence: Evidence, test: BrakeTest
) -> BrakeReport | None:
    for indicator, e_process in test.e_processes_by_indicator.items():
        if e_process.log_value >= _get_log_threshold(state):
            return BrakeReport(
                evidence.move_id,
                node_id,
                evidence.revision,
                evidence.route,
                evidence.request_class,
                f"{indicator} on route {evidence.route} ({evidence.request_class})",
            )
    return None


def is_set(brake: Brake, move_id: str) -> bool:
    """Return whether this node sends no calls to the new version of a move."""
    state = brake.brakes_by_move.get(move_id)
    return state is not None and state.report is not None


def get_local_share(brake: Brake, move: Move) -> float:
    """Return the share on this node: 0 if the brake is set, else the published one."""
    return 0.0 if is_set(brake, move.move_id) else move.share


def get_brake_reports(brake: Brake) -> tuple[BrakeReport, ...]:
    """Return a report for each brake that is set, to send with the evidence."""
    return tuple(
        state.report
        for state in brake.brakes_by_move.values()
        if state.report is not None
    )
