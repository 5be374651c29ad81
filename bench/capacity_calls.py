"""Part ``calls``: what a whole node adds to a call, alone and under load."""

import os
import time
from typing import Any

from bench.hop import Target, run_load, start_role, summarize
from bench.processes import HOST, Child, NodeChild, Processes, fetch, wait_until

# 300,000 calls/s at depth 1 are 55 calls/s for each of 5,500 nodes.
RATE_PER_S = 300.0
SECONDS = 20.0
QUICK_SECONDS = 3.0
SETTLE_S = 2.0
SERVICES = 370
# 4,300 changes a day are 0.05/s; this is ten times as many.
CHURN_INTERVAL_S = 2.0
STORM_LINKS = 40
ADDED_P99_BOUND_MS = 1.3


def _measure(
    node: NodeChild, direct: tuple[int, int], seconds: float
) -> dict[str, Any]:
    targets = [
        Target("direct", direct[0], direct[1]),
        Target("node", node.get_port("call"), node.process.pid),
    ]
    stalled = run_load(targets, RATE_PER_S, seconds)
    summary = summarize(targets, RATE_PER_S, seconds, stalled)
    for target in targets:
        for held in target.idle:
            held.close()
    return summary


def _run_scenarios(
    processes: Processes,
    node: NodeChild,
    publisher: Child,
    direct: tuple[int, int],
    seconds: float,
) -> dict[str, Any]:
    results = {"alone": _measure(node, direct, seconds)}
    # The load runs two seconds longer than it is measured.
    changes = int((seconds + 2.0) / CHURN_INTERVAL_S)
    publisher.send(f"publish {changes} {CHURN_INTERVAL_S}")
    results["churn"] = _measure(node, direct, seconds)
    # The answer with the times, which also says that all were published.
    publisher.process.stdout.readline()
    results["churn"]["changes"] = changes
    port = str(node.get_port("peer"))
    storm = processes.start_driver(
        "storm", "--port", port, "--links", str(STORM_LINKS), "--zone", node.zone
    )
    results["storm"] = _measure(node, direct, seconds)
    results["storm"]["links"] = storm.ask("count")
    processes.stop(storm)
    return results


def measure_calls(processes: Processes, is_quick: bool) -> dict[str, Any]:
    """Return the figures of the three scenarios.

    Direct calls and calls through the node are sent in turn by one open-loop
    load, see ``bench/hop.py``; added latency is the difference between the
    same percentiles of both.
    """
    seconds = QUICK_SECONDS if is_quick else SECONDS
    processes.start_platform()
    publisher = processes.start_driver(
        "publisher", "--url", processes.platform_url, "--services", str(SERVICES)
    )
    node = processes.start_node("node-a", "a")
    worker, worker_port = start_role("worker")
    try:
        admin = f"http://{HOST}:{node.get_port('admin')}"
        processes.start_driver("announcer", "--url", admin, "--port", str(worker_port))
        wait_until(lambda: _is_serving(node), "the node routes to the worker")
        time.sleep(SETTLE_S)
        cpu_s, began = node.read_cpu_s(), time.monotonic()
        time.sleep(SETTLE_S)
        idle_cpu = (node.read_cpu_s() - cpu_s) / (time.monotonic() - began)
        direct = (worker_port, worker.pid)
        scenarios = _run_scenarios(processes, node, publisher, direct, seconds)
    finally:
        worker.terminate()
        worker.wait()
        worker.stdout.close()
    return {
        "rate_per_s": RATE_PER_S,
        "services": SERVICES,
        "idle_cpu": idle_cpu,
        "bound_added_p99_ms": ADDED_P99_BOUND_MS,
        "scenarios": scenarios,
    }


def _is_serving(node: NodeChild) -> bool:
    status = fetch(f"http://{HOST}:{node.get_port('admin')}/status")
    return status["state"] == "serving" and bool(status["workers"])


def print_calls(result: dict[str, Any]) -> None:
    """Print the figures as a table."""
    print(
        f"calls: {result['rate_per_s']:g}/s direct and through the node, "
        f"{result['services']} services, bound {result['bound_added_p99_ms']} ms "
        f"added at p99; idle node {result['idle_cpu']:.2%} of a core; "
        f"load average {os.getloadavg()[0]:.1f}"
    )
    print(
        f"{'scenario':>9} {'target':>7} {'calls':>6} {'errors':>6} {'p50 ms':>7} "
        f"{'p99 ms':>7} {'p99.9':>7} {'+p50':>7} {'+p99':>7} {'+p99.9':>7} "
        f"{'p99/s':>7} {'us/call':>7} {'MB':>6} {'stalled':>7}"
    )
    for name, summary in result["scenarios"].items():
        for row in summary["rows"]:
            print(
                f"{name:>9} {row['target']:>7} {row['calls']:>6} {row['errors']:>6} "
                f"{row['p50_ms']:>7} {row['p99_ms']:>7} {row['p99.9_ms']:>7} "
                f"{row['added_p50_ms']:>7} {row['added_p99_ms']:>7} "
                f"{row['added_p99.9_ms']:>7} {row['p99_by_second_ms']:>7} "
                f"{row['cpu_us_per_call']:>7} {row['memory_mb']:>6} "
                f"{summary['stalled']:>7.2%}"
            )
