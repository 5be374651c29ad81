"""Sequential comparison of a new version with the old one, by route and class."""

import math

from attrs import define, evolve, field, frozen

from bamboocove.coordination.sequential import (
    ODDS_RATIOS,
    Wager,
    compare_windows,
    compare_with_rate,
    log_likelihood_ratio,
    open_wager,
    place_bet,
)
from bamboocove.state.config import Move
from bamboocove.state.evidence import BrakeReport, Evidence, OutcomeCounts

STEP_SHARES = (0.01, 0.05, 0.10, 0.25, 0.50, 1.0)
STREAMS = ("failures", "slow")

# Probability of ever calling a version bad that is not, for a whole move.
ALPHA = 0.01
# A verdict needs bad events in at least this many closed windows.
WINDOWS_FOR_BAD = 3
# Largest part of a service's calls that a step may put at risk of being newly
# bad. The margin on a route is this divided by the next share and by the
# route's part of the calls.
HARM_BUDGET = 0.02
# Largest excess of bad calls that a good verdict leaves possible on any route,
# so that a route with few calls is not passed unseen. With 0.2 a route of 0.5
# calls/s needed more than the 1,800 s until the deadline in 3 of 40 runs.
MARGIN_MAX = 0.3
CONFIDENCE = 0.95
# Wealth against the old version's earlier rate at which traffic goes back to
# 50% so that both versions can be compared in the same windows. As that is no
# verdict, two closed windows suffice.
REFERENCE_ALPHA = 0.01
# Windows are pooled until they hold this many calls, because a window with few
# calls of the old version says little, and for at most POOL_MAX_S.
POOL_CALLS = 50
POOL_S = 2.0
POOL_MAX_S = 30.0
# A window in which the old version has more bad calls than this multiple of its
# known rate, plus a few, is in an outage. Its rate is then too noisy for the
# margin; such windows once undid the evidence of 600 s.
OUTAGE_FACTOR = 3.0
OUTAGE_CALLS = 3
# Calls for which the old version's rate on the step counts in a window's rate.
RATE_PRIOR_CALLS = 50
# Assumed rates while few calls of the old version are known, by stream.
PRIOR_RATES = {"failures": 0.01, "slow": 0.06}
PRIOR_CALLS = 30
RATE_MIN = 0.002
RATE_MAX = 0.95


RouteKey = tuple[str, str]


@frozen
class StreamTest:
    """The wagers on one stream of bad events of one route."""

    bad: Wager = field(factory=lambda: open_wager(len(ODDS_RATIOS)))
    earned: Wager = field(factory=lambda: open_wager(1))
    reference: Wager = field(factory=lambda: open_wager(len(ODDS_RATIOS)))


@frozen
class RouteTest:
    """State of the comparison on one route and class.

    Parameters
    ----------
    old_pool, new_pool : OutcomeCounts
        Windows that are not yet closed.
    pool_since : float
        Unix time in seconds of the first window in the pool.
    old_step, new_step : OutcomeCounts
        Closed windows of the current step.
    old_total, new_total : OutcomeCounts
        All outcomes of the move.
    tests_by_stream : dict of str to StreamTest
        Wagers.
    """

    old_pool: OutcomeCounts = OutcomeCounts()
    new_pool: OutcomeCounts = OutcomeCounts()
    pool_since: float = 0.0
    old_step: OutcomeCounts = OutcomeCounts()
    new_step: OutcomeCounts = OutcomeCounts()
    old_total: OutcomeCounts = OutcomeCounts()
    new_total: OutcomeCounts = OutcomeCounts()
    tests_by_stream: dict[str, StreamTest] = field(
        factory=lambda: {stream: StreamTest() for stream in STREAMS}
    )


@define
class Judgement:
    """State of one move; updated in place, as it is fed every second.

    Parameters
    ----------
    move_id : str
        The move.
    step : int
        Step that evidence is collected for.
    changed_at : float
        When the step began, Unix time in seconds.
    first_revision, last_revision : int
        Revisions at which the move has had this step.
    route_count : int
        Routes of the service, over which alpha is divided.
    tests_by_route : dict of (str, str) to RouteTest
        Comparison on each route and class that was seen.
    last_window_by_source : dict of (str, str, str) to float
        Start of the newest window taken, by node, route and class.
    braked_nodes : set of str
        Nodes whose local brake is set. Their share differs from that of the
        others, so their calls are not compared.
    reporting_nodes : set of str
        Nodes that sent evidence of this step.
    elapsed_s : float
        Length of the time for which calls were counted.
    """

    move_id: str
    step: int
    changed_at: float
    first_revision: int
    last_revision: int
    route_count: int = 1
    tests_by_route: dict[RouteKey, RouteTest] = field(factory=dict)
    last_window_by_source: dict[tuple[str, str, str], float] = field(factory=dict)
    braked_nodes: set[str] = field(factory=set)
    reporting_nodes: set[str] = field(factory=set)
    elapsed_s: float = 0.0
    first_window: float = math.inf

    @property
    def log_threshold(self) -> float:
        """Log wealth at which one stream of one route is bad."""
        routes = max(1, self.route_count, len(self.tests_by_route))
        return math.log(routes * len(STREAMS) / ALPHA)


def start_judgement(move: Move, revision: int, route_count: int) -> Judgement:
    """Return the state of a move without evidence."""
    return Judgement(
        move.move_id, move.step, move.changed_at, revision, revision, route_count
    )


def follow_move(judgement: Judgement, move: Move, revision: int) -> Judgement:
    """Take note of a revision; a changed step begins without evidence."""
    if (move.step, move.changed_at) == (judgement.step, judgement.changed_at):
        judgement.last_revision = max(judgement.last_revision, revision)
        return judgement
    for key, test in judgement.tests_by_route.items():
        closed = _close_pool(judgement, key, test)
        judgement.tests_by_route[key] = _begin_step(closed)
    judgement.step = move.step
    judgement.changed_at = move.changed_at
    judgement.first_revision = judgement.last_revision = revision
    judgement.braked_nodes.clear()
    judgement.reporting_nodes.clear()
    return judgement


def add_evidence(judgement: Judgement, evidence: Evidence) -> Judgement:
    """Add the counts of one node.

    Evidence of another move or revision, and windows that are not newer than
    the newest one taken from that node, are ignored.
    """
    key = (evidence.route, evidence.request_class)
    source = (evidence.node_id, *key)
    known = judgement.first_revision <= evidence.revision <= judgement.last_revision
    last = judgement.last_window_by_source.get(source, -math.inf)
    if evidence.move_id != judgement.move_id or not known:
        return judgement
    if evidence.window_start <= last or not _is_consistent(evidence):
        return judgement
    judgement.last_window_by_source[source] = evidence.window_start
    judgement.reporting_nodes.add(evidence.node_id)
    judgement.first_window = min(judgement.first_window, evidence.window_start)
    end = evidence.window_start + evidence.window_s
    judgement.elapsed_s = max(judgement.elapsed_s, end - judgement.first_window)
    test = judgement.tests_by_route.get(key) or RouteTest()
    old_pool, new_pool, since = test.old_pool, test.new_pool, test.pool_since
    if evidence.node_id not in judgement.braked_nodes:
        if not old_pool.calls + new_pool.calls:
            since = evidence.window_start
        old_pool += evidence.old
        new_pool += evidence.new
    test = evolve(
        test,
        old_pool=old_pool,
        new_pool=new_pool,
        pool_since=since,
        old_total=test.old_total + evidence.old,
        new_total=test.new_total + evidence.new,
    )
    judgement.tests_by_route[key] = test
    return judgement


def add_brake(judgement: Judgement, report: BrakeReport) -> Judgement:
    """Take note of a node's brake, if it was set on the present step."""
    known = judgement.first_revision <= report.revision <= judgement.last_revision
    if report.move_id == judgement.move_id and known:
        judgement.braked_nodes.add(report.node_id)
        judgement.reporting_nodes.add(report.node_id)
    return judgement


def _is_consistent(evidence: Evidence) -> bool:
    return all(
        counts.failures >= 0
        and counts.slow >= 0
        and counts.failures + counts.slow <= counts.calls
        for counts in (evidence.old, evidence.new)
    )


def close_windows(judgement: Judgement, now: float) -> Judgement:
    """Bet on each pool that is large or old enough.

    Whether a pool is closed depends on its age and number of calls, never on
    their outcomes, so the wagers stay valid.
    """
    for key, test in judgement.tests_by_route.items():
        age = now - test.pool_since
        calls = test.old_pool.calls + test.new_pool.calls
        if calls and (age >= POOL_MAX_S or age >= POOL_S and calls >= POOL_CALLS):
            judgement.tests_by_route[key] = _close_pool(judgement, key, test)
    return judgement


def get_stream(counts: OutcomeCounts, stream: str) -> tuple[int, int]:
    """Return calls and bad calls of a stream; a failed call cannot be slow."""
    if stream == "failures":
        return counts.calls, counts.failures
    return counts.calls - counts.failures, counts.slow


def estimate_rate(counts: OutcomeCounts, stream: str) -> float:
    """Return the rate of bad calls, drawn to the prior while calls are few."""
    calls, bad = get_stream(counts, stream)
    rate = (bad + PRIOR_RATES[stream] * PRIOR_CALLS) / (calls + PRIOR_CALLS)
    return min(max(rate, RATE_MIN), RATE_MAX)


def compute_margin(judgement: Judgement, key: RouteKey) -> float:
    """Return the excess rate of bad calls that must be excluded on a route."""
    step = min(max(judgement.step, 0) + 1, len(STEP_SHARES) - 1)
    return compute_step_margin(judgement, key, STEP_SHARES[step])


def compute_step_margin(
    judgement: Judgement, key: RouteKey, next_share: float
) -> float:
    """Return the margin that a route must meet before a share."""
    tests = judgement.tests_by_route
    total = sum(t.old_total.calls + t.new_total.calls for t in tests.values())
    own = tests[key].old_total.calls + tests[key].new_total.calls
    part = max(own, 1) / max(total, 1)
    return min(MARGIN_MAX, HARM_BUDGET / (next_share * part))


def _close_pool(judgement: Judgement, key: RouteKey, test: RouteTest) -> RouteTest:
    margin = compute_margin(judgement, key)
    log_cap = judgement.log_threshold / WINDOWS_FOR_BAD
    tests = {
        stream: _bet_stream(test, stream, margin, log_cap, judgement.step)
        for stream in STREAMS
    }
    return evolve(
        test,
        old_pool=OutcomeCounts(),
        new_pool=OutcomeCounts(),
        old_step=test.old_step + test.old_pool,
        new_step=test.new_step + test.new_pool,
        tests_by_stream=tests,
    )


def _bet_stream(
    test: RouteTest, stream: str, margin: float, log_cap: float, step: int
) -> StreamTest:
    current = test.tests_by_stream[stream]
    new_calls, new_bad = get_stream(test.new_pool, stream)
    old_calls, old_bad = get_stream(test.old_pool, stream)
    if not new_calls:
        return current
    if not old_calls:
        if step < len(STEP_SHARES) - 1:
            return current
        rate = estimate_rate(test.old_total, stream)
        factors = compare_with_rate(new_calls, new_bad, rate)
        reference = place_bet(current.reference, factors, -math.log(REFERENCE_ALPHA))
        return evolve(current, reference=reference)
    factors = compare_windows(new_calls, new_bad, old_calls, old_bad)
    bad = place_bet(current.bad, factors, log_cap)
    known = estimate_rate(test.old_step, stream)
    if old_bad > OUTAGE_FACTOR * known * old_calls + OUTAGE_CALLS:
        return evolve(current, bad=bad)
    rate = (old_bad + RATE_PRIOR_CALLS * known) / (old_calls + RATE_PRIOR_CALLS)
    rate = min(max(rate, RATE_MIN), RATE_MAX - margin)
    factor = log_likelihood_ratio(new_calls, new_bad, rate, rate + margin)
    return evolve(current, bad=bad, earned=place_bet(current.earned, (factor,)))


def _begin_step(test: RouteTest) -> RouteTest:
    tests = {
        stream: StreamTest(bad=current.bad)
        for stream, current in test.tests_by_stream.items()
    }
    return evolve(
        test,
        old_step=OutcomeCounts(),
        new_step=OutcomeCounts(),
        tests_by_stream=tests,
    )
