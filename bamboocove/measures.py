"""Generates traces for the current deployments and tabulates their outcomes."""

import statistics
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from random import Random

from attrs import define, frozen
from logbook import NullHandler

from bamboocove.coordination.analysis import STEP_SHARES
from bamboocove.coordination.coordinator import Coordinator, CoordinatorPorts
from bamboocove.coordination.moves import LAST_STEP, Decision
from bamboocove.simulation import Outcome, replay_trace
from bamboocove.state.config import Move
from bamboocove.state.evidence import OutcomeCounts
from bamboocove.traces import (
    Announcement,
    Behaviour,
    Edit,
    Fault,
    Header,
    Record,
    RouteLoad,
)

# Number of workers of each service, as in docs/design.md section 2.
DEPLOYMENTS = {
    "kozje-mleko": {"orders": 5, "rounds": 4, "ledger": 3},
    "shutterbook": {"ledger-portal": 5, "payout-desk": 4, "billing-core": 3},
}
# 30 calls/s per service, an assumption about the current load.
ROUTES = (
    RouteLoad("read", "prompt", 20.0),
    RouteLoad("list", "normal", 8.0),
    RouteLoad("confirm", "normal", 1.5),
    RouteLoad("export", "deferrable", 0.5),
)
VERSIONS = ("good", "failing", "slow", "late", "load", "route")
FAULTS = ("quiet", "store", "partition", "restart", "race", "dependency")
MOVE_DEADLINE_S = 1800.0
TRACE_DURATION_S = 2700.0
BASELINE_STEP_S = 60.0
BASELINE_MAX_FAILURE_RATE = 0.05
BASELINE_MIN_CALLS = 20


@frozen
class Case:
    """Parameters from which a trace is generated."""

    tenant: str
    version: str
    fault: str
    seed: int


@frozen
class Result:
    """Outcomes of one case under the policy and under the baseline."""

    case: Case
    policy: Outcome
    baseline: Outcome


def make_behaviours(version: str, random: Random) -> list[Behaviour]:
    """Return the behaviour of a version; its severity is drawn at random."""
    if version == "failing":
        return [Behaviour(0.0, failing=random.uniform(0.05, 0.5))]
    if version == "slow":
        return [Behaviour(0.0, slow=random.uniform(0.15, 0.6))]
    if version == "late":
        at = random.uniform(60.0, 900.0)
        return [Behaviour(at, failing=random.uniform(0.1, 0.5))]
    if version == "load":
        return [Behaviour(0.0, random.uniform(0.1, 0.5), load_above=0.8)]
    if version == "route":
        route = random.choice(ROUTES).name
        return [Behaviour(0.0, failing=random.uniform(0.2, 1.0), route=route)]
    return []


def make_faults(fault: str, header: Header, random: Random) -> list[Record]:
    """Return the records of a fault outside the new version."""
    at = random.uniform(30.0, 400.0)
    until = at + random.uniform(60.0, 180.0)
    if fault == "store":
        return [Fault(at, until, "store")]
    if fault == "partition":
        return [Fault(at, until, "partition", random.randrange(header.zones))]
    if fault == "dependency":
        return [Fault(at, until, "dependency", failing=random.uniform(0.1, 0.6))]
    if fault == "restart":
        records = []
        for node in random.sample(range(header.nodes), header.nodes // 2):
            start = at + random.uniform(0.0, 10.0)
            end = start + random.uniform(5.0, 15.0)
            records.append(Fault(start, end, "restart", node))
        return records
    records = []
    while fault == "race" and at < MOVE_DEADLINE_S:
        kind = random.choice(("touch", "touch", "deadline"))
        deadline_s = MOVE_DEADLINE_S + random.uniform(0.0, 60.0)
        records.append(Edit(at, kind, deadline_s))
        at += random.uniform(5.0, 20.0)
    return records


def make_trace(case: Case) -> list[Record]:
    """Generate the trace of a case; the result depends on the case alone."""
    random = Random(f"{case.tenant} {case.version} {case.fault} {case.seed}")
    service, workers = random.choice(list(DEPLOYMENTS[case.tenant].items()))
    header = Header(
        f"{case.tenant}-{case.version}-{case.fault}-{case.seed}",
        random.randrange(2**31),
        case.tenant,
        service,
        "v1",
        "v2",
        3,
        sum(DEPLOYMENTS[case.tenant].values()),
        workers,
        MOVE_DEADLINE_S,
        TRACE_DURATION_S,
        ROUTES,
    )
    announcements = [
        Announcement(random.uniform(2.0, 20.0), node) for node in range(workers)
    ]
    return [
        header,
        *announcements,
        *make_behaviours(case.version, random),
        *make_faults(case.fault, header, random),
    ]


@define
class BaselineCoordinator(Coordinator):
    """Coordinator with timed steps and a threshold on the overall failure rate."""

    def _decide(self, move: Move, now: float) -> Decision:
        analysis = self.states_by_move[move.move_id].analysis
        counts = OutcomeCounts()
        for test in analysis.tests_by_route.values():
            counts += test.new_step + test.new_pool
        keep = Decision("keep", move.phase, move.step, move.share, move.reason)
        if counts.calls >= BASELINE_MIN_CALLS and (
            counts.failures > BASELINE_MAX_FAILURE_RATE * counts.calls
        ):
            reason = f"{counts.failures} of {counts.calls} calls failed"
            return Decision("revert", "reverted", move.step, 0.0, reason)
        if move.step < 0 and not self.ports.count_workers(move).new_ready:
            return keep
        if move.step >= 0 and now - move.changed_at < BASELINE_STEP_S:
            return keep
        if move.step == LAST_STEP:
            return Decision("finish", "done", LAST_STEP, 1.0, "all steps taken")
        step = move.step + 1
        phase = "finishing" if step == LAST_STEP else "stepping"
        return Decision("advance", phase, step, STEP_SHARES[step], "time on step")


def make_baseline(node_id: str, ports: CoordinatorPorts) -> BaselineCoordinator:
    """Build a coordinator that follows the baseline."""
    return BaselineCoordinator(node_id, "127.0.0.1", 1, ports)


def run_case(case: Case) -> Result:
    """Replay a case under the policy and under the baseline."""
    with NullHandler():
        trace = make_trace(case)
        return Result(
            case, replay_trace(trace), replay_trace(trace, make_baseline, False)
        )


def run_cases(cases: Iterable[Case], processes: int) -> list[Result]:
    """Replay cases in a process pool."""
    with ProcessPoolExecutor(max_workers=processes) as pool:
        return list(pool.map(run_case, cases, chunksize=4))


def make_cases(
    seeds: int,
    versions: tuple[str, ...] = VERSIONS,
    faults: tuple[str, ...] = FAULTS,
) -> list[Case]:
    """Return every combination of deployment, version, fault and seed."""
    return [
        Case(tenant, version, fault, seed)
        for tenant in DEPLOYMENTS
        for version in versions
        for fault in faults
        for seed in range(seeds)
    ]


def format_cells(is_good: bool, outcomes: list[Outcome]) -> list[str]:
    """Return the table cells of a group of runs.

    For a good version: runs done in time, and number of false alarms. For a bad
    one: runs reverted, of those in which it was bad before the move ended;
    maximum share while bad; and median and maximum number of calls while bad.
    """
    if is_good:
        in_time = sum(outcome.in_time for outcome in outcomes)
        alarms = sum(outcome.phase == "reverted" for outcome in outcomes)
        return [f"{in_time}/{len(outcomes)}", "", "", str(alarms)]
    exposed = [outcome for outcome in outcomes if outcome.became_bad]
    reverted = sum(outcome.phase == "reverted" for outcome in exposed)
    calls = [outcome.calls_bad for outcome in exposed] or [0]
    share = max((outcome.share_bad_max for outcome in exposed), default=0.0)
    exposure = f"{statistics.median(calls):.0f} / {max(calls)}"
    return [f"{reverted}/{len(exposed)}", f"{share:.0%}", exposure, ""]


def format_table(results: list[Result]) -> str:
    """Format outcomes as a Markdown table, one row per group of cases."""
    columns = ("in time or taken back", "share", "calls", "false alarms")
    names = ["deployment", "version", "fault", *columns, "calls above share"]
    names += [f"baseline: {column}" for column in columns]
    lines = ["| " + " | ".join(names) + " |", "|---" * len(names) + "|"]
    groups: dict[tuple[str, str, str], list[Result]] = {}
    for result in results:
        case = result.case
        key = (case.tenant, case.version, case.fault)
        groups.setdefault(key, []).append(result)
    for key, group in groups.items():
        is_good = key[1] == "good"
        max_calls_above = max(result.policy.calls_above for result in group)
        cells = [
            *key,
            *format_cells(is_good, [result.policy for result in group]),
            str(max_calls_above),
            *format_cells(is_good, [result.baseline for result in group]),
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)


def format_summary(results: list[Result]) -> str:
    """Format targets and results of policy and baseline as a Markdown table."""
    lines = ["| measure | target | policy | baseline |", "|---|---|---|---|"]
    good = [result for result in results if result.case.version == "good"]
    groups = (
        ("good in time, no faults", "99%", True),
        ("good in time, faults", "95%", False),
    )
    for name, target, is_quiet in groups:
        group = [item for item in good if (item.case.fault == "quiet") == is_quiet]
        cells = [
            format_cells(True, [item.policy for item in group])[0],
            format_cells(True, [item.baseline for item in group])[0],
        ]
        lines.append(f"| {name} | {target} | {cells[0]} | {cells[1]} |")
    bad = [result for result in results if result.case.version != "good"]
    for name, index in (("bad taken back", 0), ("calls, median / most", 2)):
        cells = [
            format_cells(False, [item.policy for item in bad])[index],
            format_cells(False, [item.baseline for item in bad])[index],
        ]
        target = "100%" if index == 0 else ""
        lines.append(f"| {name} | {target} | {cells[0]} | {cells[1]} |")
    cells = [
        format_cells(True, [item.policy for item in good])[3],
        format_cells(True, [item.baseline for item in good])[3],
    ]
    lines.append(f"| good reverted, of {len(good)} | | {cells[0]} | {cells[1]} |")
    return "\n".join(lines)
