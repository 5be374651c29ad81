"""Parts ``store`` and ``convergence``: fleets of whole nodes of several sizes."""

import json
import math
import statistics
import time
from typing import Any

from attrs import define, field

from bamboocove.store_reader import REGISTRATION_INTERVAL_S
from bench.control import get_quantile
from bench.processes import (
    Child,
    NodeChild,
    Processes,
    fetch,
    open_processes,
    wait_until,
)

SIZES = (10, 30, 60, 120)
QUICK_SIZES = (4, 12)
ZONES = 3
SERVICES = 370
IDLE_S = 10.0
QUICK_IDLE_S = 3.0
# 20 changes within a minute, the planned burst of 100 being checked by
# extrapolation; a quick run sends them faster.
BURST_CHANGES = 20
BURST_INTERVAL_S = 1.0
QUICK_BURST_CHANGES = 6
QUICK_BURST_INTERVAL_S = 0.5
# Time for the last change of a burst to reach all nodes.
BURST_TAIL_S = 3.0
START_TIMEOUT_S = 60.0
RESTART_LIMIT_S = 60.0
RESTART_TAIL_S = 2.0

DESIGN_NODES = 5500
DESIGN_ZONES = 9
READS_BOUND = 2000
# "Several hundred" in the brief.
WRITES_BOUND = 300
CONVERGENCE_BOUND_S = 14.0


def _read_counts(processes: Processes) -> dict[str, float]:
    counts = fetch(f"{processes.platform_url}/counters")
    return {**counts, "at": time.monotonic()}


def _get_rates(before: dict[str, float], after: dict[str, float]) -> dict[str, float]:
    seconds = after["at"] - before["at"]
    return {
        f"{name}_per_s": (after[name] - before[name]) / seconds
        for name in ("reads", "writes")
    }


def _start_nodes(processes: Processes, count: int) -> list[NodeChild]:
    nodes = [
        processes.start_node(f"n{index}", f"z{index % ZONES}") for index in range(count)
    ]
    for node in nodes:
        node.read_ready()
    return nodes


def _is_everywhere(nodes: list[NodeChild], revision: int) -> bool:
    return all(revision in node.read_applied() for node in nodes)


def _wait_for_revision(nodes: list[NodeChild], revision: int) -> float:
    what = f"revision {revision} on {len(nodes)} nodes"
    return wait_until(lambda: _is_everywhere(nodes, revision), what, START_TIMEOUT_S)


def _measure_burst(
    processes: Processes, nodes: list[NodeChild], publisher: Child, is_quick: bool
) -> dict[str, Any]:
    changes = QUICK_BURST_CHANGES if is_quick else BURST_CHANGES
    interval_s = QUICK_BURST_INTERVAL_S if is_quick else BURST_INTERVAL_S
    before = _read_counts(processes)
    publisher.send(f"publish {changes} {interval_s}")
    published = {
        int(revision): at
        for revision, at in json.loads(publisher.process.stdout.readline()).items()
    }
    after = _read_counts(processes)
    time.sleep(BURST_TAIL_S)
    delays, worst_by_change, skipped, missing = [], [], 0, 0
    last = max(published)
    applied_by_node = [node.read_applied() for node in nodes]
    missing = sum(last not in applied for applied in applied_by_node)
    for revision, at in published.items():
        # A node that skipped a revision has a later one in force.
        reached = []
        for applied in applied_by_node:
            later = [when for key, when in applied.items() if key >= revision]
            skipped += revision not in applied
            if later:
                reached.append(max(0.0, min(later) - at))
        delays += reached
        worst_by_change.append(max(reached, default=math.inf))
    return {
        "changes": changes,
        "interval_s": interval_s,
        **_get_rates(before, after),
        "p50_s": statistics.median(delays),
        "p99_s": get_quantile(delays, 0.99),
        "worst_s": max(delays),
        "worst_of_change_p50_s": statistics.median(worst_by_change),
        "skipped": skipped,
        "missing": missing,
    }


def _measure_restart(processes: Processes, nodes: list[NodeChild]) -> dict[str, Any]:
    """End all nodes at once without a drain and start them again."""
    count = len(nodes)
    revision = max(nodes[0].read_applied())
    for node in nodes:
        node.process.kill()
    for node in nodes:
        processes.stop(node)
    before = previous = _read_counts(processes)
    began = time.monotonic()
    started = [
        processes.start_node(f"n{index}", f"z{index % ZONES}") for index in range(count)
    ]
    peak = {"reads_per_s": 0.0, "writes_per_s": 0.0}
    ends_at = began + RESTART_LIMIT_S
    while time.monotonic() < ends_at:
        time.sleep(1.0)
        if ends_at == began + RESTART_LIMIT_S and _is_everywhere(started, revision):
            # Registrations follow the configuration.
            ends_at = time.monotonic() + RESTART_TAIL_S
        current = _read_counts(processes)
        for name, rate in _get_rates(previous, current).items():
            peak[name] = max(peak[name], rate)
        previous = current
    # Loading Python takes longer than the bootstrap when many processes start
    # on a machine, so the time counts from the start of each node itself.
    waits = [
        item[revision] - node.read_started()
        for node in started
        if revision in (item := node.read_applied())
    ]
    return {
        "peak_reads_per_s": peak["reads_per_s"],
        "peak_writes_per_s": peak["writes_per_s"],
        "reads_per_node": (previous["reads"] - before["reads"]) / count,
        "writes_per_node": (previous["writes"] - before["writes"]) / count,
        "serving": len(waits),
        "slowest_s": max(waits, default=math.inf),
    }


def measure_fleet(count: int, is_quick: bool, with_restart: bool) -> dict[str, Any]:
    """Run one fleet and return its figures."""
    with open_processes() as processes:
        processes.start_platform()
        publisher = processes.start_driver(
            "publisher", "--url", processes.platform_url, "--services", str(SERVICES)
        )
        nodes = _start_nodes(processes, count)
        _wait_for_revision(nodes, 1)
        time.sleep(QUICK_IDLE_S)
        before = _read_counts(processes)
        time.sleep(QUICK_IDLE_S if is_quick else IDLE_S)
        idle = _get_rates(before, _read_counts(processes))
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
    """Fleets that both parts read, so that each size runs once.

    Parameters
    ----------
    with_restart : bool
        Whether part ``store`` was chosen, which restarts the fleets.
    """

    with_restart: bool = True
    results: list[dict[str, Any]] = field(factory=list)

    def get(self, is_quick: bool) -> list[dict[str, Any]]:
        """Return the figures of all sizes."""
        if not self.results:
            sizes = QUICK_SIZES if is_quick else SIZES
            self.results = [
                measure_fleet(count, is_quick, self.with_restart) for count in sizes
            ]
        return self.results


def fit(xs: list[float], ys: list[float], at: float) -> dict[str, float]:
    """Return the least-squares slope, the residual and the value at a size."""
    slope, intercept = statistics.linear_regression(xs, ys)
    squares = [(y - intercept - slope * x) ** 2 for x, y in zip(xs, ys)]
    return {
        "slope": slope,
        "residual": statistics.mean(squares) ** 0.5,
        "at_design": intercept + slope * at,
    }


def summarize_store(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the load on the platform, with what it would be at the design scale.

    Readers poll for each zone, so that reads at rest grow with zones and not
    with nodes; the fit over nodes is there to show that.
    """
    sizes = [result["nodes"] for result in results]
    fits = {
        f"{phase}_{name}": fit(
            sizes, [result[phase][name] for result in results], DESIGN_NODES
        )
        for phase in ("idle", "burst")
        for name in ("reads_per_s", "writes_per_s")
    }
    largest = results[-1]
    by_zone = DESIGN_ZONES / ZONES
    restart = largest.get("restart")
    design = {
        "idle_reads_per_s_by_zone": largest["idle"]["reads_per_s"] * by_zone,
        "burst_reads_per_s_by_zone": largest["burst"]["reads_per_s"] * by_zone,
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
            "fleet_restart_reads_s": reads * DESIGN_NODES / READS_BOUND,
            "fleet_restart_writes_s": writes * DESIGN_NODES / WRITES_BOUND,
        }
    rows = [
        {name: result.get(name) for name in ("nodes", "idle", "burst", "restart")}
        for result in results
    ]
    return {
        "zones": ZONES,
        "reads_bound_per_s": READS_BOUND,
        "writes_bound_per_s": WRITES_BOUND,
        "rows": rows,
        "fits": fits,
        "design": design,
    }


def summarize_convergence(results: list[dict[str, Any]]) -> dict[str, Any]:
    """Return the times until a change was in force.

    Times count from the answer of the store to the write and include the poll
    interval of the readers. Hops grow with the logarithm of the zone's size,
    so the fit is over that.
    """
    xs = [math.log2(result["nodes"] / ZONES) for result in results]
    at = math.log2(DESIGN_NODES / DESIGN_ZONES)
    names = ("p50_s", "p99_s", "worst_s")
    return {
        "bound_s": CONVERGENCE_BOUND_S,
        "rows": [{"nodes": item["nodes"], **item["burst"]} for item in results],
        "fits": {
            name: fit(xs, [item["burst"][name] for item in results], at)
            for name in names
        },
    }


def print_store(result: dict[str, Any]) -> None:
    """Print the load on the platform."""
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
    """Print the times until a change was in force."""
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
