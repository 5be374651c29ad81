"""Sequential analysis of a new version against the old one, by route and class."""

import math

from attrs import define, evolve, field, frozen

from bamboocove.coordination.sequential import (
    ODDS_RATIOS,
    EProcess,
    compare_windows,
    compare_with_rate,
    log_likelihood_ratio,
    start_e_process,
    update_e_process,
)
from bamboocove.state.config import Move
from bamboocove.state.evidence import BrakeReport, Evidence, OutcomeCounts

# Share of the new version on each step.
STEP_SHARES = (0.01, 0.05, 0.10, 0.25, 0.50, 1.0)
# Kinds of bad calls that are tested separately.
INDICATORS = ("failures", "slow")

# False alarm probability: that a version that is not bad is ever judged bad
# during the whole move.
ALPHA = 0.01
# Closed windows with bad calls that a verdict of "bad" needs at least.
BAD_WINDOWS_MIN = 3
# Largest part of a service's calls that may be bad because of the new version
# on the next step. The margin on a route is this divided by the next share and
# by the route's part of the calls.
EXCESS_BAD_RATE_MAX = 0.02
# Upper bound of the margin, so that a good verdict also needs evidence on routes
# with few calls. With 0.2 a route of 0.5 calls/s needed more than the 1,800 s
# until the deadline in 3 of 40 runs.
MARGIN_MAX = 0.3
# Confidence of a good verdict that the excess of bad calls is below the margin.
CONFIDENCE = 0.95
# False alarm probability of the test at a share of 100%, which compares with
# the old version's earlier rate. A rejection only returns traffic to 50%, where
# both versions are compared in the same windows. As that is no verdict, two
# closed windows suffice.
OLD_RATE_ALPHA = 0.01
# Windows are pooled until they hold this many calls, because a window with few
# calls of the old version has little power, but for at least POOL_MIN_S and at
# most POOL_MAX_S.
POOL_CALLS_MIN = 50
POOL_MIN_S = 2.0
POOL_MAX_S = 30.0
# A window counts as an outage if the old version has more bad calls than this
# multiple of its known rate, plus OUTAGE_EXTRA_CALLS. Its rate is then too noisy
# for the margin: without this rule an outage cancelled the evidence of 600 s.
OUTAGE_FACTOR = 3.0
OUTAGE_EXTRA_CALLS = 3
# Weight, in calls, of the old version's rate on the step in a window's rate.
RATE_PRIOR_CALLS = 50
# Prior rates of the old version by indicator, and their weight in calls.
PRIOR_RATES = {"failures": 0.01, "slow": 0.06}
PRIOR_CALLS = 30
# Bounds of estimated rates, which keep the likelihood ratios finite.
RATE_MIN = 0.002
RATE_MAX = 0.95


# Route and request class.
RouteKey = tuple[str, str]


@frozen
class IndicatorTest:
    """The tests of one indicator on one route.

    Parameters
    ----------
    worse : EProcess
        Evidence that the new version has more bad calls than the old one.
    not_worse : EProcess
        Evidence that the excess of bad calls on this step is below the margin.
    above_old_rate : EProcess
        Evidence at a share of 100% that bad calls are more frequent than they
        were on the old version.
    """

    worse: EProcess = field(factory=lambda: start_e_process(len(ODDS_RATIOS)))
    not_worse: EProcess = field(factory=lambda: start_e_process(1))
    above_old_rate: EProcess = field(factory=lambda: start_e_process(len(ODDS_RATIOS)))


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
    tests_by_indicator : dict of str to IndicatorTest
        State of the tests of each indicator.
    """

    old_pool: OutcomeCounts = OutcomeCounts()
    new_pool: OutcomeCounts = OutcomeCounts()
    pool_since: float = 0.0
    old_step: OutcomeCounts = OutcomeCounts()
    new_step: OutcomeCounts = OutcomeCounts()
    old_total: OutcomeCounts = OutcomeCounts()
    new_total: OutcomeCounts = OutcomeCounts()
    tests_by_indicator: dict[str, IndicatorTest] = field(
        factory=lambda: {indicator: IndicatorTest() for indicator in INDICATORS}
    )


@define
class MoveAnalysis:
    """State of the analysis of one move; updated in place every second.

    Parameters
    ----------
    move_id : str
        The move.
    step : int
        Current step; evidence for the next one is collected on it.
    changed_at : float
        When the step began, Unix time in seconds.
    first_revision, last_revision : int
        Revisions at which the move has had this step.
    route_count : int
        Routes of the service, over which ``ALPHA`` is divided.
    tests_by_route : dict of (str, str) to RouteTest
        Comparison on each route and class that had evidence.
    last_window_by_source : dict of (str, str, str) to float
        Start of the newest window added, by node, route and class; Unix time in
        seconds.
    braked_nodes : set of str
        Nodes whose local brake is set. Their share differs from that of the
        others, so their calls are not compared.
    reporting_nodes : set of str
        Nodes that sent evidence or a brake report of this step.
    elapsed_s : float
        Seconds from the start of the first window to the end of the last one.
    first_window_start : float
        Start of the first window, Unix time in seconds; infinite without one.
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
    first_window_start: float = math.inf

    @property
    def log_threshold(self) -> float:
        """Log value of an e-process at which one indicator of one route is bad."""
        routes = max(1, self.route_count, len(self.tests_by_route))
        return math.log(routes * len(INDICATORS) / ALPHA)


def start_analysis(move: Move, revision: int, route_count: int) -> MoveAnalysis:
    """Return the analysis of a move without evidence."""
    return MoveAnalysis(
        move.move_id, move.step, move.changed_at, revision, revision, route_count
    )


def update_move(analysis: MoveAnalysis, move: Move, revision: int) -> MoveAnalysis:
    """Apply a revision of the move; a changed step begins without evidence."""
    if (move.step, move.changed_at) == (analysis.step, analysis.changed_at):
        analysis.last_revision = max(analysis.last_revision, revision)
        return analysis
    for key, test in analysis.tests_by_route.items():
        closed = _close_pool(analysis, key, test)
        analysis.tests_by_route[key] = _begin_step(closed)
    analysis.step = move.step
    analysis.changed_at = move.changed_at
    analysis.first_revision = analysis.last_revision = revision
    analysis.braked_nodes.clear()
    analysis.reporting_nodes.clear()
    return analysis


def add_evidence(analysis: MoveAnalysis, evidence: Evidence) -> MoveAnalysis:
    """Add the outcomes that one node counted in one window.

    Evidence of another move or revision is ignored, and so are inconsistent
    counts and windows that are not newer than the newest one of that node.
    """
    key = (evidence.route, evidence.request_class)
    source = (evidence.node_id, *key)
    is_current = analysis.first_revision <= evidence.revision <= analysis.last_revision
    last_start = analysis.last_window_by_source.get(source, -math.inf)
    if evidence.move_id != analysis.move_id or not is_current:
        return analysis
    if evidence.window_start <= last_start or not _is_consistent(evidence):
        return analysis
    analysis.last_window_by_source[source] = evidence.window_start
    analysis.reporting_nodes.add(evidence.node_id)
    analysis.first_window_start = min(
        analysis.first_window_start, evidence.window_start
    )
    end = evidence.window_start + evidence.window_s
    analysis.elapsed_s = max(analysis.elapsed_s, end - analysis.first_window_start)
    test = analysis.tests_by_route.get(key) or RouteTest()
    old_pool, new_pool, since = test.old_pool, test.new_pool, test.pool_since
    if evidence.node_id not in analysis.braked_nodes:
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
    analysis.tests_by_route[key] = test
    return analysis


def add_brake_report(analysis: MoveAnalysis, report: BrakeReport) -> MoveAnalysis:
    """Exclude a node from the comparison if its brake was set on this step."""
    is_current = analysis.first_revision <= report.revision <= analysis.last_revision
    if report.move_id == analysis.move_id and is_current:
        analysis.braked_nodes.add(report.node_id)
        analysis.reporting_nodes.add(report.node_id)
    return analysis


def _is_consistent(evidence: Evidence) -> bool:
    return all(
        counts.failures >= 0
        and counts.slow >= 0
        and counts.failures + counts.slow <= counts.calls
        for counts in (evidence.old, evidence.new)
    )


def close_windows(analysis: MoveAnalysis, now: float) -> MoveAnalysis:
    """Update the tests with each pool of windows that is large or old enough.

    Whether a pool is closed depends on its age and number of calls, never on
    their outcomes, so that the tests stay valid.
    """
    for key, test in analysis.tests_by_route.items():
        age = now - test.pool_since
        calls = test.old_pool.calls + test.new_pool.calls
        if calls and (
            age >= POOL_MAX_S or age >= POOL_MIN_S and calls >= POOL_CALLS_MIN
        ):
            analysis.tests_by_route[key] = _close_pool(analysis, key, test)
    return analysis


def get_indicator_counts(counts: OutcomeCounts, indicator: str) -> tuple[int, int]:
    """Return calls and bad calls of an indicator; a failed call cannot be slow."""
    if indicator == "failures":
        return counts.calls, counts.failures
    return counts.calls - counts.failures, counts.slow


def estimate_rate(counts: OutcomeCounts, indicator: str) -> float:
    """Return the rate of bad calls, shrunk towards the prior while calls are few."""
    calls, bad = get_indicator_counts(counts, indicator)
    rate = (bad + PRIOR_RATES[indicator] * PRIOR_CALLS) / (calls + PRIOR_CALLS)
    return min(max(rate, RATE_MIN), RATE_MAX)


def compute_margin(analysis: MoveAnalysis, key: RouteKey) -> float:
    """Return the excess rate of bad calls that a route must exclude for the next step.

    A good verdict needs evidence that the excess is below it.
    """
    step = min(max(analysis.step, 0) + 1, len(STEP_SHARES) - 1)
    return compute_step_margin(analysis, key, STEP_SHARES[step])


def compute_step_margin(
    analysis: MoveAnalysis, key: RouteKey, next_share: float
) -> float:
    """Return the margin that a route must meet before ``next_share`` is taken."""
    tests = analysis.tests_by_route
    total_calls = sum(t.old_total.calls + t.new_total.calls for t in tests.values())
    route_calls = tests[key].old_total.calls + tests[key].new_total.calls
    route_fraction = max(route_calls, 1) / max(total_calls, 1)
    return min(MARGIN_MAX, EXCESS_BAD_RATE_MAX / (next_share * route_fraction))


def _close_pool(analysis: MoveAnalysis, key: RouteKey, test: RouteTest) -> RouteTest:
    margin = compute_margin(analysis, key)
    log_cap = analysis.log_threshold / BAD_WINDOWS_MIN
    tests = {
        indicator: _update_indicator_test(
            test, indicator, margin, log_cap, analysis.step
        )
        for indicator in INDICATORS
    }
    return evolve(
        test,
        old_pool=OutcomeCounts(),
        new_pool=OutcomeCounts(),
        old_step=test.old_step + test.old_pool,
        new_step=test.new_step + test.new_pool,
        tests_by_indicator=tests,
    )


def _update_indicator_test(
    test: RouteTest, indicator: str, margin: float, log_cap: float, step: int
) -> IndicatorTest:
    current = test.tests_by_indicator[indicator]
    new_calls, new_bad = get_indicator_counts(test.new_pool, indicator)
    old_calls, old_bad = get_indicator_counts(test.old_pool, indicator)
    if not new_calls:
        return current
    if not old_calls:
        if step < len(STEP_SHARES) - 1:
            return current
        rate = estimate_rate(test.old_total, indicator)
        factors = compare_with_rate(new_calls, new_bad, rate)
        above_old_rate = update_e_process(
            current.above_old_rate, factors, -math.log(OLD_RATE_ALPHA)
        )
        return evolve(current, above_old_rate=above_old_rate)
    factors = compare_windows(new_calls, new_bad, old_calls, old_bad)
    worse = update_e_process(current.worse, factors, log_cap)
    step_rate = estimate_rate(test.old_step, indicator)
    if old_bad > OUTAGE_FACTOR * step_rate * old_calls + OUTAGE_EXTRA_CALLS:
        return evolve(current, worse=worse)
    rate = (old_bad + RATE_PRIOR_CALLS * step_rate) / (old_calls + RATE_PRIOR_CALLS)
    rate = min(max(rate, RATE_MIN), RATE_MAX - margin)
    factor = log_likelihood_ratio(new_calls, new_bad, rate, rate + margin)
    return evolve(
        current, worse=worse, not_worse=update_e_process(current.not_worse, (factor,))
    )


def _begin_step(test: RouteTest) -> RouteTest:
    tests = {
        indicator: IndicatorTest(worse=current.worse)
        for indicator, current in test.tests_by_indicator.items()
    }
    return evolve(
        test,
        old_step=OutcomeCounts(),
        new_step=OutcomeCounts(),
        tests_by_indicator=tests,
    )
