"""Parts ``store`` and ``convergence``: fleets of complete nodes in several sizes.

Both parts summarize the same runs: ``store`` the load on the platform and
``convergence`` the time until a published change is applied on the nodes.
"""

import json
import math
import statistics
import time
from typing import Any

from attrs import define, field

from bamboocove.store_reader import REGISTRATION_INTERVAL_S
from bench.control import get_quantile
from bench.processes import (
    ChildProcess,
    NodeProcess,
    ProcessGroup,
    fetch_json,
    open_process_group,
    wait_until,
)

FLEET_SIZES = (10, 30, 60, 120)
QUICK_FLEET_SIZES = (4, 12)
ZONE_COUNT = 3
SERVICE_COUNT = 370
IDLE_WINDOW_S = 10.0
QUICK_IDLE_WINDOW_S = 3.0
# 20 changes within a minute; the planned burst of 100 is checked by extrapolation.
# A quick run publishes its changes at a shorter interval.
BURST_CHANGES = 20
BURST_INTERVAL_S = 1.0
QUICK_BURST_CHANGES = 6
QUICK_BURST_INTERVAL_S = 0.5
# Time for the last change of a burst to reach all nodes.
BURST_SETTLE_S = 3.0
START_TIMEOUT_S = 60.0
RESTART_TIMEOUT_S = 60.0
RESTART_SETTLE_S = 2.0

DESIGN_NODES = 5500
DESIGN_ZONES = 9
READS_PER_S_BOUND = 2000
# The requirements allow "several hundred" writes/s.
WRITES_PER_S_BOUND = 300
CONVERGENCE_BOUND_S = 14.0


def _read_counters(processes: ProcessGroup) -> dict[str, float]:
    counters = fetch_json(f"{processes.platform_url}/counters")
    return {**counters, "at": time.monotonic()}


def _compute_rates(
    before: dict[str, float], after: dict[str, float]
) -> dict[str, float]:
    seconds = after["at"] - before["at"]
    return {
        f"{name}_per_s": (after[name] - before[name]) / seconds
        for name in ("reads", "writes")
    }


def _start_nodes(processes: ProcessGroup, count: int) -> list[NodeProcess]:
    nodes = [
        processes.start_node(f"n{index}", f"z{index % ZONE_COUNT}")
        for index in range(count)
    ]
    for node in nodes:
        node.read_ready()
    return nodes


def _is_applied_by_all(nodes: list[NodeProcess], revision: int) -> bool:
    return all(revision in node.read_applied_times() for node in nodes)


def _wait_for_revision(nodes: list[NodeProcess], revision: int) -> float:
    description = f"revision {revision} on {len(nodes)} nodes"
    return wait_until(
        lambda: _is_applied_by_all(nodes, revision), description, START_TIMEOUT_S
    )


def _measure_burst(
    processes: ProcessGroup,
    nodes: list[NodeProcess],
    publisher: ChildProcess,
    is_quick: bool,
) -> dict[str, Any]:
    changes = QUICK_BURST_CHANGES if is_quick else BURST_CHANGES
    interval_s = QUICK_BURST_INTERVAL_S if is_quick else BURST_INTERVAL_S
    before = _read_counters(processes)
    publisher.send(f"publish {changes} {interval_s}")
    published = {
        int(revision): at
        for revision, at in json.loads(publisher.process.stdout.readline()).items()
    }
    after = _read_counters(processes)
    time.sleep(BURST_SETTLE_S)
    delays, worst_by_change, skipped, missing = [], [], 0, 0
    last_revision = max(published)
    applied_by_node = [node.read_applied_times() for node in nodes]
    missing = sum(last_revision not in applied for applied in applied_by_node)
    for revision, at in published.items():
        # A node that skipped this revision applied a later one, which contains
        # the change.
        change_delays = []
        for applied in applied_by_node:
            applied_at_or_after = [
                when for key, when in applied.items() if key >= revision
            ]
            skipped += revision not in applied
            if applied_at_or_after:
                change_delays.append(max(0.0, min(applied_at_or_after) - at))
        delays += change_delays
        worst_by_change.append(max(change_delays, default=math.inf))
    return {
        "changes": changes,
        "interval_s": interval_s,
        **_compute_rates(before, after),
        "p50_s": statistics.median(delays),
        "p99_s": get_quantile(delays, 0.99),
        "worst_s": max(delays),
        "worst_of_change_p50_s": statistics.median(worst_by_change),
        "skipped": skipped,
        "missing": missing,
    }


def _measure_restart(
    processes: ProcessGroup, nodes: list[NodeProcess]
) -> dict[str, Any]:
    """Kill all nodes at once, without a drain, start them again and return the load."""
    count = len(nodes)
    revision = max(nodes[0].read_applied_times())
    for node in nodes:
        node.process.kill()
    for node in nodes:
        processes.stop(node)
    before = previous = _read_counters(processes)
    started_at = time.monotonic()
    started = [
        processes.start_node(f"n{index}", f"z{index % ZONE_COUNT}")
        for index in range(count)
    ]
    peak = {"reads_per_s": 0.0, "writes_per_s": 0.0}
    ends_at = started_at + RESTART_TIMEOUT_S
    while time.monotonic() < ends_at:
        time.sleep(1.0)
        if ends_at == started_at + RESTART_TIMEOUT_S and _is_applied_by_all(
            started, revision
        ):
            # Nodes register after they applied the configuration.
            ends_at = time.monotonic() + RESTART_SETTLE_S
        current = _read_counters(processes)
        for name, rate in _compute_rates(previous, current).items():
            peak[name] = max(peak[name], rate)
        previous = current
    # When many processes start at once, loading Python takes longer than the
    # bootstrap, so the time counts from the started event of each node.
    startup_times_s = [
        item[revision] - node.read_start_time()
        for node in started
        if revision in (item := node.read_applied_times())
    ]
    return {
        "peak_reads_per_s": peak["reads_per_s"],
        "peak_writes_per_s": peak["writes_per_s"],
        "reads_per_node": (previous["reads"] - before["reads"]) / count,
        "writes_per_node": (previous["writes"] - before["writes"]) / count,
        "serving": len(startup_times_s),
        "slowest_s": max(startup_times_s, default=math.inf),
    }


def measure_fleet(count: int, is_quick: bool, with_restart: bool) -> dict[str, Any]:
    """Run a fleet of ``count`` nodes and return its load and convergence times."""
    with open_process_group() as processes:
        processes.start_platform()
        publisher = processes.start_driver(
            "publisher",
            "--url",
            processes.platform_url,
            "--services",
            str(SERVICE_COUNT),
        )
        nodes = _start_nodes(processes, count)
        _wait_for_revision(nodes, 1)
        time.sleep(QUICK_IDLE_WINDOW_S)
        before = _read_counters(processes)
        time.sleep(QUICK_IDLE_WINDOW_S if is_quick else IDLE_WINDOW_S)
        idle = _compute_rates(before, _read_counters(processes))
        result = {
            "nodes": count,
            "idle": idle,
            "burst": _measure_burst(processes, nodes, publisher, is_quick),
            "memory_of_all_mb": processes.check_memory(),
        }
        if with_restart:
            result["restart"] = _measure_restart(processes, nodes)
    return result


@define
class FleetRuns:
    """Caches the results of the fleets, so that both parts share one run per size.

    Parameters
    ----------
    with_restart : bool
        Whether the fleets are restarted, which only part ``store`` needs.
    results : list of dict
        Results by increasing fleet size; empty before the first run.
    """

    with_restart: bool = True
    results: list[dict[str, Any]] = field(factory=list)

    def get(self, is_quick: bool) -> list[dict[str, Any]]:
        """Return the results of all fleet sizes, running the fleets if necessary."""
        if not self.results:
            sizes = QUICK_FLEET_SIZES if is_quick else FLEET_SIZES
            self.results = [
                measure_fleet(count, is_quick, self.with_restart) for count in sizes
            ]
        return self.results


def fit_line(xs: list[float], ys: list[float], at: float) -> dict[str, float]:
    """Return the least-squares slope, the RMS residual and the value at ``at``."""
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in zip(xs, ys)]
    return {
        "slope": slope,
        "residual": statistics.mean(squares) ** 0.5,
        "at_design": intercept + slope * at,
    }


def summarize_store(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the load on the platform and its extrapolation to the design scale.

    The readers of each zone poll the store, so that idle reads grow with the
    number of zones and not of nodes. The fit over nodes verifies that.
    """
    sizes = [result["nodes"] for result in results]
    fits = {
        f"{phase}_{name}": fit_line(
            sizes, [result[phase][name] for result in results], DESIGN_NODES
        )
        for phase in ("idle", "burst")
        for name in ("reads_per_s", "writes_per_s")
    }
    largest = results[-1]
    zone_factor = DESIGN_ZONES / ZONE_COUNT
    restart = largest.get("restart")
    design = {
        "idle_reads_per_s_by_zone": largest["idle"]["reads_per_s"] * zone_factor,
        "burst_reads_per_s_by_zone": largest["burst"]["reads_per_s"] * zone_factor,
        # Each node refreshes its registration every 10 minutes.
        "registration_writes_per_s": DESIGN_NODES / REGISTRATION_INTERVAL_S,
    }
    if restart:
        zone_nodes = DESIGN_NODES / DESIGN_ZONES
        reads, writes = restart["reads_per_node"], restart["writes_per_node"]
        design |= {
            "zone_restart_reads": reads * zone_nodes,
            "zone_restart_writes": writes * zone_nodes,
            "fleet_restart_reads": reads * DESIGN_NODES,
            "fleet_restart_writes": writes * DESIGN_NODES,
            "fleet_restart_reads_s": reads * DESIGN_NODES / READS_PER_S_BOUND,
            "fleet_restart_writes_s": writes * DESIGN_NODES / WRITES_PER_S_BOUND,
        }
    rows = [
        {name: result.get(name) for name in ("nodes", "idle", "burst", "restart")}
        for result in results
    ]
    return {
        "zones": ZONE_COUNT,
        "reads_bound_per_s": READS_PER_S_BOUND,
        "writes_bound_per_s": WRITES_PER_S_BOUND,
        "rows": rows,
        "fits": fits,
        "design": design,
    }


def summarize_convergence(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the times until a change was applied, with their extrapolation.

    Times count from the store's answer to the write and include the poll interval
    of the readers. The number of hops grows with the logarithm of the number of
    nodes in a zone, so the lines are fitted over that logarithm.
    """
    xs = [math.log2(result["nodes"] / ZONE_COUNT) for result in results]
    at = math.log2(DESIGN_NODES / DESIGN_ZONES)
    names = ("p50_s", "p99_s", "worst_s")
    return {
        "bound_s": CONVERGENCE_BOUND_S,
        "rows": [{"nodes": item["nodes"], **item["burst"]} for item in results],
        "fits": {
            name: fit_line(xs, [item["burst"][name] for item in results], at)
            for name in names
        },
    }


def print_store(result: dict[str, Any]) -> None:
    """Print the load on the platform for each fleet size and its extrapolation."""
    print(
        f"store: {result['zones']} zones; bounds {result['reads_bound_per_s']} "
        f"reads/s, {result['writes_bound_per_s']} writes/s"
    )
    print(
        f"{'nodes':>6} {'idle r/s':>9} {'idle w/s':>9} {'burst r/s':>9} "
        f"{'burst w/s':>9} {'start r/s':>9} {'start w/s':>9} {'r/node':>7} "
        f"{'w/node':>7} {'serving':>7} {'slowest s':>9}"
    )
    for row in result["rows"]:
        cells = [
            row[phase][f"{name}_per_s"]
            for phase in ("idle", "burst")
            for name in ("reads", "writes")
        ]
        line = f"{row['nodes']:>6} " + " ".join(f"{cell:>9.2f}" for cell in cells)
        restart = row["restart"]
        if restart:
            line += (
                f" {restart['peak_reads_per_s']:>9.1f} "
                f"{restart['peak_writes_per_s']:>9.1f} "
                f"{restart['reads_per_node']:>7.2f} {restart['writes_per_node']:>7.2f} "
                f"{restart['serving']:>7} {restart['slowest_s']:>9.2f}"
            )
        print(line)
    for name, values in result["fits"].items():
        print(
            f"{name:>20}: slope {values['slope']:.3g} a node, residual "
            f"{values['residual']:.3g}"
        )
    for name, value in result["design"].items():
        print(f"{name:>26}: {value:.4g}")


def print_convergence(result: dict[str, Any]) -> None:
    """Print the convergence times of each fleet size and their extrapolation."""
    print(f"convergence: bound {result['bound_s']:g} s, from the store's answer")
    print(
        f"{'nodes':>6} {'changes':>7} {'p50 s':>7} {'p99 s':>7} {'worst s':>7} "
        f"{'skipped':>7} {'missing':>7}"
    )
    for row in result["rows"]:
        print(
            f"{row['nodes']:>6} {row['changes']:>7} {row['p50_s']:>7.3f} "
            f"{row['p99_s']:>7.3f} {row['worst_s']:>7.3f} {row['skipped']:>7} "
            f"{row['missing']:>7}"
        )
    for name, values in result["fits"].items():
        print(
            f"{name:>8}: slope {values['slope']:.3g} s for each doubling, residual "
            f"{values['residual']:.3g}, at the design scale {values['at_design']:.3g} s"
            + (" (no growth seen)" if values["slope"] <= 0 else "")
        )
