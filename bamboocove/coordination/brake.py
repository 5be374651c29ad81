"""Local brake: a node stops its own share of a new version at once."""

import math

from attrs import define, evolve, field, frozen

from bamboocove.coordination.analysis import (
    STREAMS,
    RouteKey,
    estimate_rate,
    get_stream,
)
from bamboocove.coordination.sequential import (
    ODDS_RATIOS,
    Wager,
    compare_windows,
    compare_with_rate,
    open_wager,
    place_bet,
)
from bamboocove.state.config import Move
from bamboocove.state.evidence import BrakeReport, Evidence, OutcomeCounts

# Probability of setting the brake of one node for a version that is not bad.
# Smaller than that of the coordinator, because every node runs this test.
BRAKE_ALPHA = 0.001
# A brake needs bad events in at least two closed windows, where the coordinator
# needs three.
BRAKE_WINDOWS = 2
# A node sees few calls, so it pools fewer than the coordinator. At 100% windows
# are compared with a rate and need no pooling; pooled by 20 calls, a version that
# failed 30% of its calls at 100% during a store outage got 1,066 of them.
BRAKE_POOL_CALLS = 10
BRAKE_POOL_MAX_S = 5.0


@frozen
class BrakeTest:
    """Wagers on one route and class of one move."""

    old_pool: OutcomeCounts = OutcomeCounts()
    new_pool: OutcomeCounts = OutcomeCounts()
    pool_since: float = -math.inf
    last_window: float = -math.inf
    old_total: OutcomeCounts = OutcomeCounts()
    wagers_by_stream: dict[str, Wager] = field(
        factory=lambda: {stream: open_wager(len(ODDS_RATIOS)) for stream in STREAMS}
    )


@define
class MoveBrake:
    """Brake of one move on this node; updated in place.

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
        Routes of the service, over which alpha is divided.
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
    """Brakes of one node.

    Parameters
    ----------
    node_id : str
        This node.
    brakes_by_move : dict of str to MoveBrake
        State of each open move.
    """

    node_id: str
    brakes_by_move: dict[str, MoveBrake] = field(factory=dict)


def follow_moves(
    brake: Brake,
    moves: list[Move],
    revision: int,
    route_counts_by_service: dict[str, int] | None = None,
) -> Brake:
    """Take note of the moves of a revision.

    A brake is released only when the share, step or phase of its move was
    changed, that is, after the coordinator decided anew. An edit of the
    deadline or of another move does not release it.
    """
    counts = route_counts_by_service or {}
    followed = {}
    for move in moves:
        held = brake.brakes_by_move.get(move.move_id)
        if held is not None and _is_same_step(held, move):
            held.last_revision = max(held.last_revision, revision)
            followed[move.move_id] = held
            continue
        fresh = MoveBrake(
            move.step,
            move.changed_at,
            move.share,
            revision,
            revision,
            counts.get(move.service, 1),
        )
        if held is not None:
            # The old version's rate is still needed at 100%.
            for key, test in held.tests_by_route.items():
                fresh.tests_by_route[key] = BrakeTest(
                    old_total=test.old_total, last_window=test.last_window
                )
        followed[move.move_id] = fresh
    brake.brakes_by_move = followed
    return brake


def _is_same_step(held: MoveBrake, move: Move) -> bool:
    return (held.step, held.changed_at, held.share) == (
        move.step,
        move.changed_at,
        move.share,
    )


def update_brake(brake: Brake, evidence: Evidence) -> Brake:
    """Add this node's own outcomes of one window and set the brake if bad.

    Evidence of another node or revision and windows seen before are ignored.
    """
    held = brake.brakes_by_move.get(evidence.move_id)
    if held is None or evidence.node_id != brake.node_id:
        return brake
    if not held.first_revision <= evidence.revision <= held.last_revision:
        return brake
    key = (evidence.route, evidence.request_class)
    test = held.tests_by_route.get(key) or BrakeTest()
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
    if calls and (is_large or held.share >= 1.0):
        test = _close_pool(held, test)
        if held.report is None:
            held.report = _find_bad(brake.node_id, held, evidence, test)
    held.tests_by_route[key] = test
    return brake


def _get_log_threshold(held: MoveBrake) -> float:
    routes = max(1, held.route_count, len(held.tests_by_route))
    return math.log(routes * len(STREAMS) / BRAKE_ALPHA)


def _close_pool(held: MoveBrake, test: BrakeTest) -> BrakeTest:
    log_cap = _get_log_threshold(held) / BRAKE_WINDOWS
    wagers = dict(test.wagers_by_stream)
    for stream, wager in wagers.items():
        new_calls, new_bad = get_stream(test.new_pool, stream)
        old_calls, old_bad = get_stream(test.old_pool, stream)
        factors = compare_windows(new_calls, new_bad, old_calls, old_bad)
        if held.share >= 1.0:
            rate = estimate_rate(test.old_total, stream)
            factors = compare_with_rate(new_calls, new_bad, rate)
        wagers[stream] = place_bet(wager, factors, log_cap)
    return evolve(
        test,
        old_pool=OutcomeCounts(),
        new_pool=OutcomeCounts(),
        wagers_by_stream=wagers,
    )


def _find_bad(
    node_id: str, held: MoveBrake, evidence: Evidence, test: BrakeTest
) -> BrakeReport | None:
    for stream, wager in test.wagers_by_stream.items():
        if wager.log_value >= _get_log_threshold(held):
            return BrakeReport(
                evidence.move_id,
                node_id,
                evidence.revision,
                evidence.route,
                evidence.request_class,
                f"{stream} on route {evidence.route} ({evidence.request_class})",
            )
    return None


def is_set(brake: Brake, move_id: str) -> bool:
    """Return whether this node sends nothing to the new version of a move."""
    held = brake.brakes_by_move.get(move_id)
    return held is not None and held.report is not None


def get_local_share(brake: Brake, move: Move) -> float:
    """Return the share on this node: the published one or 0, never more."""
    return 0.0 if is_set(brake, move.move_id) else move.share


def get_brake_reports(brake: Brake) -> tuple[BrakeReport, ...]:
    """Return the brakes that are set, to be sent with each evidence report."""
    return tuple(
        held.report for held in brake.brakes_by_move.values() if held.report is not None
    )
