"""Part ``control``: control-plane cost of one node as the mesh grows."""

import json
import statistics
import time
from typing import Any

from attrs import define, evolve, frozen

from bench.control import HEADER_BYTES, SEGMENT_BYTES
from bench.processes import ChildProcess, NodeProcess, ProcessGroup

SETTLE_S = 15.0
WINDOW_S = 40.0
QUICK_SETTLE_S = 7.0
QUICK_WINDOW_S = 7.0
LINKED_TIMEOUT_S = 60.0

CHANGES_PER_S = 4300 / 86_400
# 25 failures and 1,200 replacements a day, each of which changes a member record
# about three times: down or left, alive, workers announced.
RECORDS_PER_S = 3 * 1225 / 86_400
BOUNDS = {"cpu": 0.017, "rss_mb": 128.0, "bytes_per_s": 3000.0}
FITTED_FIGURES = ("cpu", "rss_mb", "payload_per_s", "bytes_per_s")


@frozen
class Scenario:
    """Mesh size, change rates and role for the measurement of one node.

    Parameters
    ----------
    series : str
        Name of the series that varies one dimension, or ``design`` for the
        design scale.
    x : float
        Value of the dimension that the series varies.
    services, members, workers : int
        Number of services in the configuration, of other members in the mesh
        and of workers on those members.
    changes_per_s, records_per_s : float
        Rates of configuration changes and of member record changes.
    role : {"node", "reader", "coordinator"}
        Role of the measured node; ``node`` has no additional role.
    """

    series: str
    x: float
    services: int = 40
    members: int = 60
    workers: int = 60
    changes_per_s: float = CHANGES_PER_S
    records_per_s: float = 0.0
    role: str = "node"


@frozen
class Series:
    """A varied dimension and its value at the design scale."""

    name: str
    unit: str
    design_x: float


SERIES = (
    Series("services", "services", 370),
    Series("workers", "workers in all", 5500),
    Series("members", "members", 5500),
    Series("changes", "changes/s", CHANGES_PER_S),
    Series("records", "member records/s", RECORDS_PER_S),
)


def make_scenarios() -> list[Scenario]:
    """Return the scenarios of all series and those at the design scale."""
    scenarios = [
        Scenario("services", count, services=count, changes_per_s=0.2)
        for count in (50, 150, 250, 400)
    ]
    # 3, 10, 30 and 60 workers for each of 40 services.
    scenarios += [
        Scenario("workers", count, workers=count) for count in (120, 400, 1200, 2400)
    ]
    scenarios += [
        Scenario("members", count, members=count, workers=count)
        for count in (100, 700, 2000, 5500)
    ]
    scenarios += [
        Scenario("changes", rate, services=370, changes_per_s=rate)
        for rate in (0.05, 0.2, 0.5, 1.0)
    ]
    scenarios += [
        Scenario("records", rate, members=600, workers=600, records_per_s=rate)
        for rate in (0.1, 1.0, 5.0, 20.0)
    ]
    design = Scenario(
        "design",
        5500,
        services=370,
        members=5500,
        workers=5500,
        records_per_s=RECORDS_PER_S,
    )
    return scenarios + [
        evolve(design, role=role) for role in ("node", "reader", "coordinator")
    ]


@define(eq=False)
class _ScenarioRun:
    scenario: Scenario
    fleet: ChildProcess
    node: NodeProcess
    before: dict[str, Any] = None


def _start_fleet(processes: ProcessGroup, scenario: Scenario) -> ChildProcess:
    arguments = ["-m", "bench.fleet_peer", "--role", scenario.role]
    for name in ("services", "members", "workers"):
        arguments += [f"--{name}", str(getattr(scenario, name))]
    return processes.start_module(f"fleet-{scenario.series}", arguments)


def _take_sample(run: _ScenarioRun) -> dict[str, Any]:
    status = run.node.get_status()
    return {
        "traffic_at": time.monotonic(),
        "traffic": status["traffic"],
        "is_reader": status["is_reader"],
        "members": sum(
            counts.get("alive", 0) for counts in status["members_by_zone"].values()
        ),
        "peer": run.fleet.ask("counts"),
        # Read after the status request, whose processor time is no control-plane
        # cost.
        "cpu_at": time.monotonic(),
        "cpu_s": run.node.read_cpu_s(),
    }


def _make_result(run: _ScenarioRun) -> dict[str, Any]:
    node, before = run.node, run.before
    cpu_s, cpu_at = node.read_cpu_s(), time.monotonic()
    after = _take_sample(run)
    seconds = after["traffic_at"] - before["traffic_at"]
    rates = {
        name: (after["traffic"].get(name, 0) - before["traffic"].get(name, 0)) / seconds
        for name in ("bytes_sent", "bytes_received", "writes", "reads")
    }
    counters = after["peer"], before["peer"]
    store_seconds = counters[0]["at"] - counters[1]["at"]
    store_bytes, transfers = (
        (counters[0][name] - counters[1][name]) / store_seconds
        for name in ("store_bytes", "store_transfers")
    )
    payload = rates["bytes_sent"] + rates["bytes_received"] + store_bytes
    segments = max(rates["writes"], rates["bytes_sent"] / SEGMENT_BYTES)
    segments += max(rates["reads"], rates["bytes_received"] / SEGMENT_BYTES)
    segments += max(transfers, store_bytes / SEGMENT_BYTES)
    scenario = run.scenario
    return {
        "series": scenario.series,
        "x": scenario.x,
        "role": scenario.role,
        "services": scenario.services,
        "members": after["members"],
        "workers": scenario.workers,
        "links": after["peer"]["links"],
        "changes_per_s": (counters[0]["revision"] - counters[1]["revision"])
        / store_seconds,
        "records_per_s": scenario.records_per_s,
        "is_reader": after["is_reader"],
        "cpu": (cpu_s - before["cpu_s"]) / (cpu_at - before["cpu_at"]),
        "rss_mb": node.read_memory_mb(),
        "payload_per_s": payload,
        "store_bytes_per_s": store_bytes,
        "bytes_per_s": payload + 2 * HEADER_BYTES * segments,
        "messages_per_s": rates["writes"] + rates["reads"],
    }


def fit_series(results: list[dict[str, Any]], series: Series) -> dict[str, Any]:
    """Fit a line to each figure of a series.

    Returns
    -------
    fit : dict
        Unit and design value of the dimension, and for each figure the
        least-squares slope, the root mean square residual and the extrapolated
        value at the design scale.
    """
    rows = [result for result in results if result["series"] == series.name]
    xs = [row["x"] for row in rows]
    fits = {}
    for name in FITTED_FIGURES:
        ys = [row[name] for row in rows]
        slope, intercept = statistics.linear_regression(xs, ys)
        squares = [(y - intercept - slope * x) ** 2 for x, y in zip(xs, ys)]
        fits[name] = {
            "slope": slope,
            "residual": statistics.mean(squares) ** 0.5,
            "at_design": intercept + slope * series.design_x,
        }
    return {"unit": series.unit, "design_x": series.design_x, "fits": fits}


def measure_control(processes: ProcessGroup, is_quick: bool) -> dict[str, Any]:
    """Return the figures of all scenarios, which run concurrently.

    Processor time is measured per process, so that concurrent scenarios affect
    each other only through caches. Message latencies are not measured here.
    """
    settle_s = QUICK_SETTLE_S if is_quick else SETTLE_S
    window_s = QUICK_WINDOW_S if is_quick else WINDOW_S
    scenarios = make_scenarios()
    if is_quick:
        # Keep two points of each series and all scenarios of the design scale.
        scenarios = [
            scenario
            for index, scenario in enumerate(scenarios)
            if scenario.series == "design" or index % 4 in (0, 3)
        ]
    fleets = [_start_fleet(processes, scenario) for scenario in scenarios]
    runs = []
    for scenario, fleet in zip(scenarios, fleets):
        fleet_info = json.loads(fleet.read_ready())
        node = processes.start_node(fleet_info["node_id"], "z0", fleet_info["url"])
        runs.append(_ScenarioRun(scenario, fleet, node))
    for run in runs:
        run.fleet.send(f"dial {run.node.get_port('peer')}")
    time.sleep(settle_s)
    for run in runs:
        run.before = _take_sample(run)
        scenario = run.scenario
        run.fleet.send(f"change {scenario.changes_per_s} {window_s}")
        if scenario.records_per_s:
            run.fleet.send(f"touch {scenario.records_per_s} {window_s}")
    time.sleep(window_s)
    results = [_make_result(run) for run in runs]
    memory_mb = processes.check_memory()
    return {
        "bounds": BOUNDS,
        "window_s": window_s,
        "memory_of_all_mb": memory_mb,
        "cells": results,
        "fits": {series.name: fit_series(results, series) for series in SERIES},
    }


def print_control(result: dict[str, Any]) -> None:
    """Print a table of all scenarios and a table of the fitted lines."""
    print(
        f"control of one node, window {result['window_s']:g} s; bounds 1.7% of a "
        "core, 128 MB, 3,000 bytes/s; bytes/s adds an estimate of headers and "
        "acknowledgements to payload/s"
    )
    print(
        f"{'series':>9} {'x':>7} {'role':>11} {'members':>7} {'links':>5} "
        f"{'chg/s':>6} {'cpu':>6} {'MB':>6} {'payload/s':>9} {'store/s':>8} "
        f"{'bytes/s':>8} {'msg/s':>6}"
    )
    for row in result["cells"]:
        print(
            f"{row['series']:>9} {row['x']:>7g} {row['role']:>11} "
            f"{row['members']:>7} {row['links']:>5} {row['changes_per_s']:>6.2f} "
            f"{row['cpu']:>6.2%} {row['rss_mb']:>6.1f} {row['payload_per_s']:>9.0f} "
            f"{row['store_bytes_per_s']:>8.0f} {row['bytes_per_s']:>8.0f} "
            f"{row['messages_per_s']:>6.1f}"
        )
    print(
        f"{'grows':>9} {'figure':>14} {'slope':>10} {'residual':>10} {'at design':>10}"
    )
    for name, fit in result["fits"].items():
        for figure, values in fit["fits"].items():
            print(
                f"{name:>9} {figure:>14} {values['slope']:>10.3g} "
                f"{values['residual']:>10.3g} {values['at_design']:>10.4g} "
                f"at {fit['design_x']:.4g} {fit['unit']}"
            )
