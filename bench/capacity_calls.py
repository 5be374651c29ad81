"""Part ``calls``: latency that a complete node adds to a call.

The scenarios are ``alone`` (calls only), ``churn`` (configuration changes during
the calls) and ``storm`` (peers that connect and disconnect during the calls).
"""

import os
import time
from typing import Any

from bench.hop import Target, run_load, start_role, summarize
from bench.processes import (
    HOST,
    ChildProcess,
    NodeProcess,
    ProcessGroup,
    fetch_json,
    wait_until,
)

# 300,000 calls/s at depth 1 are 55 calls/s for each of 5,500 nodes.
CALLS_PER_S = 300.0
DURATION_S = 20.0
QUICK_DURATION_S = 3.0
SETTLE_S = 2.0
SERVICE_COUNT = 370
# 4,300 changes a day are 0.05/s; the benchmark publishes ten times as many.
CHURN_INTERVAL_S = 2.0
STORM_LINKS = 40
ADDED_P99_BOUND_MS = 1.3


def _measure_scenario(
    node: NodeProcess, worker_port_and_pid: tuple[int, int], duration_s: float
) -> dict[str, Any]:
    targets = [
        Target("direct", worker_port_and_pid[0], worker_port_and_pid[1]),
        Target("node", node.get_port("call"), node.process.pid),
    ]
    stalled_share = run_load(targets, CALLS_PER_S, duration_s)
    summary = summarize(targets, CALLS_PER_S, duration_s, stalled_share)
    for target in targets:
        for connection in target.idle:
            connection.close()
    return summary


def _run_scenarios(
    processes: ProcessGroup,
    node: NodeProcess,
    publisher: ChildProcess,
    worker_port_and_pid: tuple[int, int],
    duration_s: float,
) -> dict[str, Any]:
    results = {"alone": _measure_scenario(node, worker_port_and_pid, duration_s)}
    # The load includes a warm-up of two seconds that is not measured.
    changes = int((duration_s + 2.0) / CHURN_INTERVAL_S)
    publisher.send(f"publish {changes} {CHURN_INTERVAL_S}")
    results["churn"] = _measure_scenario(node, worker_port_and_pid, duration_s)
    # The publisher answers with the publish times once all changes are published.
    publisher.process.stdout.readline()
    results["churn"]["changes"] = changes
    port = str(node.get_port("peer"))
    storm_driver = processes.start_driver(
        "storm", "--port", port, "--links", str(STORM_LINKS), "--zone", node.zone
    )
    results["storm"] = _measure_scenario(node, worker_port_and_pid, duration_s)
    results["storm"]["links"] = storm_driver.ask("count")
    processes.stop(storm_driver)
    return results


def measure_calls(processes: ProcessGroup, is_quick: bool) -> dict[str, Any]:
    """Return the latencies and resource use of the three scenarios.

    One open-loop load generator sends direct calls and calls through the node in
    turn, see ``bench/hop.py``. Added latency is the difference between the same
    percentiles of both.
    """
    duration_s = QUICK_DURATION_S if is_quick else DURATION_S
    processes.start_platform()
    publisher = processes.start_driver(
        "publisher", "--url", processes.platform_url, "--services", str(SERVICE_COUNT)
    )
    node = processes.start_node("node-a", "a")
    worker, worker_port = start_role("worker")
    try:
        admin_url = f"http://{HOST}:{node.get_port('admin')}"
        processes.start_driver(
            "announcer", "--url", admin_url, "--port", str(worker_port)
        )
        wait_until(
            lambda: _is_serving(node), "the node to serve and to know the worker"
        )
        time.sleep(SETTLE_S)
        cpu_s, started_at = node.read_cpu_s(), time.monotonic()
        time.sleep(SETTLE_S)
        idle_cpu = (node.read_cpu_s() - cpu_s) / (time.monotonic() - started_at)
        worker_port_and_pid = (worker_port, worker.pid)
        scenarios = _run_scenarios(
            processes, node, publisher, worker_port_and_pid, duration_s
        )
    finally:
        worker.terminate()
        worker.wait()
        worker.stdout.close()
    return {
        "rate_per_s": CALLS_PER_S,
        "services": SERVICE_COUNT,
        "idle_cpu": idle_cpu,
        "bound_added_p99_ms": ADDED_P99_BOUND_MS,
        "scenarios": scenarios,
    }


def _is_serving(node: NodeProcess) -> bool:
    status = fetch_json(f"http://{HOST}:{node.get_port('admin')}/status")
    return status["state"] == "serving" and bool(status["workers"])


def print_calls(result: dict[str, Any]) -> None:
    """Print the figures of all scenarios as a table."""
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
