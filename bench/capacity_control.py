"""Part ``control``: what control costs one node as the mesh grows."""

import json
import statistics
import time
from typing import Any

from attrs import define, evolve, frozen

from bench.control import HEADER_BYTES, SEGMENT_BYTES
from bench.processes import Child, NodeChild, Processes

SETTLE_S = 15.0
WINDOW_S = 40.0
QUICK_SETTLE_S = 7.0
QUICK_WINDOW_S = 7.0
LINKED_TIMEOUT_S = 60.0

CHANGES_PER_S = 4300 / 86_400
# 25 failures and 1,200 replacements, each of which changes a record about
# three times: down or left, alive, workers announced.
RECORDS_PER_S = 3 * 1225 / 86_400
BOUNDS = {"cpu": 0.017, "rss_mb": 128.0, "bytes_per_s": 3000.0}
FIGURES = ("cpu", "rss_mb", "payload_per_s", "bytes_per_s")


@frozen
class Cell:
    """One node in one surrounding.

    Parameters
    ----------
    series : str
        What grows, or ``design``.
    x : float
        Its size.
    services, members, workers : int
        Services of the configuration; other members; workers on them.
    changes_per_s, records_per_s : float
        Changes of the configuration and of member records.
    role : {"node", "reader", "coordinator"}
        What the node does besides.
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
    """One dimension and the size that the design needs."""

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


def make_cells() -> list[Cell]:
    """Return the cells of all series and those of the design scale."""
    cells = [
        Cell("services", count, services=count, changes_per_s=0.2)
        for count in (50, 150, 250, 400)
    ]
    # 3, 10, 30 and 60 workers for each of 40 services.
    cells += [Cell("workers", count, workers=count) for count in (120, 400, 1200, 2400)]
    cells += [
        Cell("members", count, members=count, workers=count)
        for count in (100, 700, 2000, 5500)
    ]
    cells += [
        Cell("changes", rate, services=370, changes_per_s=rate)
        for rate in (0.05, 0.2, 0.5, 1.0)
    ]
    cells += [
        Cell("records", rate, members=600, workers=600, records_per_s=rate)
        for rate in (0.1, 1.0, 5.0, 20.0)
    ]
    design = Cell(
        "design",
        5500,
        services=370,
        members=5500,
        workers=5500,
        records_per_s=RECORDS_PER_S,
    )
    return cells + [
        evolve(design, role=role) for role in ("node", "reader", "coordinator")
    ]


@define(eq=False)
class _Running:
    cell: Cell
    peer: Child
    node: NodeChild
    before: dict[str, Any] = None


def _start(processes: Processes, cell: Cell) -> Child:
    words = ["-m", "bench.fleet_peer", "--role", cell.role]
    for name in ("services", "members", "workers"):
        words += [f"--{name}", str(getattr(cell, name))]
    return processes.start_module(f"fleet-{cell.series}", words)


def _take_sample(running: _Running) -> dict[str, Any]:
    status = running.node.get_status()
    return {
        "traffic_at": time.monotonic(),
        "traffic": status["traffic"],
        "is_reader": status["is_reader"],
        "members": sum(
            counts.get("alive", 0) for counts in status["members_by_zone"].values()
        ),
        "peer": running.peer.ask("counts"),
        # After the request for the status, whose cost is not control's.
        "cpu_at": time.monotonic(),
        "cpu_s": running.node.read_cpu_s(),
    }


def _finish(running: _Running) -> dict[str, Any]:
    node, before = running.node, running.before
    cpu_s, cpu_at = node.read_cpu_s(), time.monotonic()
    after = _take_sample(running)
    seconds = after["traffic_at"] - before["traffic_at"]
    rates = {
        name: (after["traffic"].get(name, 0) - before["traffic"].get(name, 0)) / seconds
        for name in ("bytes_sent", "bytes_received", "writes", "reads")
    }
    peers = after["peer"], before["peer"]
    store_seconds = peers[0]["at"] - peers[1]["at"]
    store_bytes, transfers = (
        (peers[0][name] - peers[1][name]) / store_seconds
        for name in ("store_bytes", "store_transfers")
    )
    payload = rates["bytes_sent"] + rates["bytes_received"] + store_bytes
    segments = max(rates["writes"], rates["bytes_sent"] / SEGMENT_BYTES)
    segments += max(rates["reads"], rates["bytes_received"] / SEGMENT_BYTES)
    segments += max(transfers, store_bytes / SEGMENT_BYTES)
    cell = running.cell
    return {
        "series": cell.series,
        "x": cell.x,
        "role": cell.role,
        "services": cell.services,
        "members": after["members"],
        "workers": cell.workers,
        "links": after["peer"]["links"],
        "changes_per_s": (peers[0]["revision"] - peers[1]["revision"]) / store_seconds,
        "records_per_s": cell.records_per_s,
        "is_reader": after["is_reader"],
        "cpu": (cpu_s - before["cpu_s"]) / (cpu_at - before["cpu_at"]),
        "rss_mb": node.read_memory_mb(),
        "payload_per_s": payload,
        "store_bytes_per_s": store_bytes,
        "bytes_per_s": payload + 2 * HEADER_BYTES * segments,
        "messages_per_s": rates["writes"] + rates["reads"],
    }


def fit_series(cells: list[dict[str, Any]], series: Series) -> dict[str, Any]:
    """Return slope, residual and value at the design scale of each figure."""
    rows = [cell for cell in cells if cell["series"] == series.name]
    xs = [row["x"] for row in rows]
    fits = {}
    for name in FIGURES:
        ys = [row[name] for row in rows]
        slope, intercept = statistics.linear_regression(xs, ys)
        squares = [(y - intercept - slope * x) ** 2 for x, y in zip(xs, ys)]
        fits[name] = {
            "slope": slope,
            "residual": statistics.mean(squares) ** 0.5,
            "at_design": intercept + slope * series.design_x,
        }
    return {"unit": series.unit, "design_x": series.design_x, "fits": fits}


def measure_control(processes: Processes, is_quick: bool) -> dict[str, Any]:
    """Return the figures of all cells, which run at the same time.

    Processor time is that of each process, so that cells only disturb each
    other through caches; times of messages are not measured here.
    """
    settle_s = QUICK_SETTLE_S if is_quick else SETTLE_S
    window_s = QUICK_WINDOW_S if is_quick else WINDOW_S
    cells = make_cells()
    if is_quick:
        # Two sizes of each series and the design scale.
        cells = [
            cell
            for index, cell in enumerate(cells)
            if cell.series == "design" or index % 4 in (0, 3)
        ]
    peers = [_start(processes, cell) for cell in cells]
    all_running = []
    for cell, peer in zip(cells, peers):
        told = json.loads(peer.read_ready())
        node = processes.start_node(told["node_id"], "z0", told["url"])
        all_running.append(_Running(cell, peer, node))
    for running in all_running:
        running.peer.send(f"dial {running.node.get_port('peer')}")
    time.sleep(settle_s)
    for running in all_running:
        running.before = _take_sample(running)
        cell = running.cell
        running.peer.send(f"change {cell.changes_per_s} {window_s}")
        if cell.records_per_s:
            running.peer.send(f"touch {cell.records_per_s} {window_s}")
    time.sleep(window_s)
    results = [_finish(running) for running in all_running]
    memory_mb = processes.check_memory()
    return {
        "bounds": BOUNDS,
        "window_s": window_s,
        "memory_of_all_mb": memory_mb,
        "cells": results,
        "fits": {series.name: fit_series(results, series) for series in SERIES},
    }


def print_control(result: dict[str, Any]) -> None:
    """Print the figures as two tables."""
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
    for cell in result["cells"]:
        print(
            f"{cell['series']:>9} {cell['x']:>7g} {cell['role']:>11} "
            f"{cell['members']:>7} {cell['links']:>5} {cell['changes_per_s']:>6.2f} "
            f"{cell['cpu']:>6.2%} {cell['rss_mb']:>6.1f} {cell['payload_per_s']:>9.0f} "
            f"{cell['store_bytes_per_s']:>8.0f} {cell['bytes_per_s']:>8.0f} "
            f"{cell['messages_per_s']:>6.1f}"
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
