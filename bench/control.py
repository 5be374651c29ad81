"""Measures the control plane with one process for each node, on loopback.

Starts nodes that run the peer task only, lets one of them publish changes, and
reports convergence time, control bytes, processor share and resident memory.

    python bench/control.py --nodes 25,50,100 --changes 30 --interval 0.5

Bytes are those written to and read from TCP, WebSocket framing included. The
estimate of headers adds 52 bytes (IP 20, TCP 32 with timestamps) for each
segment and 52 for an acknowledgement of each, with at most 1,448 bytes in a
segment; acknowledgements that travel with data make the real figure lower.
"""

import argparse
import json
import math
import os
import random
import resource
import statistics
import subprocess
import sys
import time
from pathlib import Path
from typing import Any

from attrs import evolve, frozen

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

HEADER_BYTES = 52
SEGMENT_BYTES = 1448
# 57 MB each: a larger fleet would take more than half of a machine with 31 GB.
MAX_NODES = 250
CHANGES_PER_DAY = 4300
MAX_CHANGES = 1000
LINK_TIMEOUT_S = 120.0
# A node ends by itself after this time, also if the parent was killed.
NODE_LIFETIME_S = 900.0
BOUNDS = {"p100_s": 14.0, "bytes_per_s": 3000.0, "cpu": 0.017, "rss_mb": 128.0}


# One node.


def make_config(services: int) -> Any:
    """Return a configuration of the design scale: four routes each."""
    from bamboocove.state.config import Config, Route, Service

    names = [f"service-{index}" for index in range(services)]
    return Config(
        revision=1,
        tenant="bench",
        text_revision=1,
        services_by_name={
            name: Service(
                name,
                "v1",
                tuple(names[(index * step) % services] for step in (3, 7)),
                tuple(Route(f"route-{n}", f"/{name}/{n}") for n in range(4)),
            )
            for index, name in enumerate(names)
        },
    )


def run_node(args: argparse.Namespace) -> None:
    """Run one node until standard input ends."""
    from twisted.internet import reactor, stdio
    from twisted.internet.defer import Deferred
    from twisted.protocols.basic import LineReceiver

    from bamboocove.distributor import Distributor
    from bamboocove.settings import check_settings
    from bamboocove.state.members import Member, MemberTable, WorkerRecord

    applied: dict[int, float] = {}
    slowest_s = 0.0
    worker = WorkerRecord("service-0", "v1", "127.0.0.1", 1, 12, 120)
    # Members that have left take part in no link but fill the table as live
    # ones of the design scale would.
    table = MemberTable(
        {
            f"gone-{n}": Member(
                f"gone-{n}", 1, 1, "z", "r", "127.0.0.1", 1, "left", (worker,)
            )
            for n in range(args.table)
        }
    )

    def apply_config(config: Any) -> None:
        applied[config.revision] = time.time()

    settings = check_settings(
        {
            ("node", "id"): args.node,
            ("node", "zone"): args.zone,
            ("peers", "seeds"): args.seeds,
            ("platform", "table_url"): "http://127.0.0.1:1",
            ("platform", "object_url"): "http://127.0.0.1:1",
        }
    )
    distributor = Distributor(
        settings,
        table,
        reactor,
        random.Random(args.node),
        apply_config,
        {},
        incarnation=int(time.time() * 1000),
    )

    def publish(changes: int, interval_s: float) -> None:
        config = distributor.distribution.config
        if config.revision == 0:
            config = make_config(args.services)
        else:
            services = dict(config.services_by_name)
            name = f"service-{config.revision % len(services)}"
            version = f"v{config.revision}"
            services[name] = evolve(services[name], version=version)
            revision = config.revision + 1
            config = evolve(config, revision=revision, services_by_name=services)
        distributor.offer(config)
        if changes > 1:
            reactor.callLater(interval_s, publish, changes - 1, interval_s)

    def get_report() -> dict[str, Any]:
        usage = resource.getrusage(resource.RUSAGE_SELF)
        pages = int(Path("/proc/self/statm").read_text().split()[1])
        live = len(table.get_live())
        return {
            "now": time.time(),
            "live": live,
            "links": len(distributor.get_peer_revisions()),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_mb": pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
            "slowest_s": slowest_s,
            "applied": applied,
            **distributor.get_traffic(),
        }

    def watch_reactor(due_at: float) -> None:
        nonlocal slowest_s
        now = reactor.seconds()
        slowest_s = max(slowest_s, now - due_at)
        reactor.callLater(0.1, watch_reactor, now + 0.1)

    class Commands(LineReceiver):
        delimiter = b"\n"

        def lineReceived(self, line: bytes) -> None:
            nonlocal slowest_s
            command, *words = line.decode().split()
            if command == "publish":
                publish(int(words[0]), float(words[1]))
            elif command == "report":
                self.sendLine(json.dumps(get_report()).encode())
                slowest_s = 0.0

        def connectionLost(self, reason: Any = None) -> None:
            if reactor.running:
                reactor.stop()

    commands = Commands()
    stdio.StandardIO(commands)
    started = Deferred.fromCoroutine(distributor.start())
    started.addCallback(lambda port: commands.sendLine(str(port).encode()))
    watch_reactor(reactor.seconds())
    reactor.callLater(NODE_LIFETIME_S, reactor.stop)
    reactor.run()


# The parent.


class Node:
    """A node process that the parent started."""

    def __init__(self, index: int, args: argparse.Namespace, seeds: str):
        command = [sys.executable, __file__, "--node", f"n{index}"]
        command += ["--zone", f"z{index % args.zones}", "--seeds", seeds]
        command += ["--services", str(args.services), "--table", str(args.table)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def send(self, line: str) -> None:
        """Send a command."""
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def read(self) -> Any:
        """Read one line of JSON."""
        return json.loads(self.process.stdout.readline())

    def stop(self) -> None:
        """End the process by closing its input, then by its id."""
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def get_reports(nodes: list[Node]) -> list[dict[str, Any]]:
    """Ask all nodes for their counters."""
    for node in nodes:
        node.send("report")
    return [node.read() for node in nodes]


def wait_for(nodes: list[Node], condition: Any, what: str) -> float:
    """Poll until all reports meet a condition; returns the seconds it took."""
    began = time.time()
    while not all(condition(report) for report in get_reports(nodes)):
        if time.time() - began > LINK_TIMEOUT_S:
            raise SystemExit(f"not in time: {what}")
        time.sleep(0.5)
    return time.time() - began


@frozen
class Window:
    """Use of all nodes between two reports."""

    before: list[dict[str, Any]]
    after: list[dict[str, Any]]

    def get_rates(self, name: str) -> list[float]:
        """Return the increase of a counter per second, for each node."""
        return [
            (after[name] - before[name]) / (after["now"] - before["now"])
            for before, after in zip(self.before, self.after)
        ]

    def get_bytes(self) -> list[float]:
        """Return bytes per second of each node, sent and received, with headers."""
        totals = []
        for sent, received, writes, reads in zip(
            *map(self.get_rates, ("bytes_sent", "bytes_received", "writes", "reads"))
        ):
            segments = max(writes, sent / SEGMENT_BYTES)
            segments += max(reads, received / SEGMENT_BYTES)
            totals.append(sent + received + 2 * HEADER_BYTES * segments)
        return totals

    def get_payload(self) -> list[float]:
        """Return bytes per second of each node without the estimate of headers."""
        pairs = zip(self.get_rates("bytes_sent"), self.get_rates("bytes_received"))
        return [sent + received for sent, received in pairs]


def measure_window(nodes: list[Node], seconds: float) -> Window:
    """Let nodes run for a time between two reports."""
    before = get_reports(nodes)
    time.sleep(seconds)
    return Window(before, get_reports(nodes))


def get_quantile(values: list[float], share: float) -> float:
    """Return a quantile of unsorted values."""
    return sorted(values)[min(len(values) - 1, math.ceil(share * len(values)) - 1)]


def measure(count: int, args: argparse.Namespace) -> dict[str, Any]:
    """Run one fleet and return its figures."""
    nodes: list[Node] = []
    try:
        nodes.append(Node(0, args, ""))
        seeds = f"127.0.0.1:{nodes[0].read()}"
        nodes += [Node(index, args, seeds) for index in range(1, count)]
        for node in nodes[1:]:
            node.read()
        linked_s = wait_for(nodes, lambda item: item["live"] == count, "links")
        nodes[0].send("publish 1 0")
        wait_for(nodes, lambda item: "1" in item["applied"], "first configuration")
        time.sleep(args.settle)
        idle = measure_window(nodes, args.idle)
        nodes[0].send(f"publish {args.changes} {args.interval}")
        busy = measure_window(nodes, args.changes * args.interval + 2.0)
    finally:
        for node in nodes:
            node.process.stdin.close()
        for node in nodes:
            node.stop()
    delays = []
    worst_of_change = []
    missing = 0
    for revision in range(2, args.changes + 2):
        times = [report["applied"].get(str(revision)) for report in busy.after]
        reached = [at - times[0] for at in times[1:] if at is not None]
        # A node that skipped a revision has a newer one in force.
        missing += len(times) - 1 - len(reached)
        delays += reached
        worst_of_change.append(max(reached))
    figures = {
        "nodes": count,
        "linked_s": linked_s,
        "p50_s": statistics.median(delays),
        "p99_s": get_quantile(delays, 0.99),
        "p100_s": max(delays),
        "change_p50_s": statistics.median(worst_of_change),
        "skipped": missing,
        "links": statistics.mean(report["links"] for report in busy.after),
        "links_max": max(report["links"] for report in busy.after),
        "blocked_s": max(report["slowest_s"] for report in busy.after),
    }
    for name, window in (("idle", idle), ("busy", busy)):
        figures[f"{name}_payload_per_s"] = statistics.mean(window.get_payload())
        figures[f"{name}_bytes_per_s"] = statistics.mean(window.get_bytes())
        figures[f"{name}_bytes_max"] = max(window.get_bytes())
        figures[f"{name}_cpu"] = statistics.mean(window.get_rates("cpu_s"))
        figures[f"{name}_cpu_max"] = max(window.get_rates("cpu_s"))
    # At the design rate of changes, the cost of a change adds to that of rest.
    for name in ("bytes_per_s", "cpu"):
        idle_rate, busy_rate = figures[f"idle_{name}"], figures[f"busy_{name}"]
        share = CHANGES_PER_DAY / 86_400 * args.interval
        figures[f"design_{name}"] = idle_rate + share * (busy_rate - idle_rate)
    figures["design_bytes_max"] = max(
        idle_rate + share * (busy_rate - idle_rate)
        for idle_rate, busy_rate in zip(idle.get_bytes(), busy.get_bytes())
    )
    figures["rss_mb"] = statistics.mean(report["rss_mb"] for report in busy.after)
    figures["rss_max_mb"] = max(report["rss_mb"] for report in busy.after)
    return figures


def fit_slope(results: list[dict[str, Any]], name: str) -> float:
    """Return the least-squares slope of a figure per 100 nodes."""
    if len(results) < 2:
        return float("nan")
    counts = [result["nodes"] for result in results]
    values = [result[name] for result in results]
    return 100 * statistics.linear_regression(counts, values).slope


def main() -> None:
    """Measure fleets of several sizes and print a table."""
    parser = argparse.ArgumentParser(description=__doc__.splitlines()[0])
    parser.add_argument("--nodes", default="10,25,50", help="fleet sizes")
    parser.add_argument("--zones", type=int, default=3)
    parser.add_argument("--services", type=int, default=370)
    parser.add_argument("--table", type=int, default=0, help="members that have left")
    parser.add_argument("--changes", type=int, default=20)
    parser.add_argument("--interval", type=float, default=0.5, help="s per change")
    parser.add_argument("--idle", type=float, default=20.0, help="s without changes")
    parser.add_argument("--settle", type=float, default=12.0, help="s before measuring")
    parser.add_argument("--json", action="store_true", help="print JSON")
    parser.add_argument("--node", help=argparse.SUPPRESS)
    parser.add_argument("--zone", default="z0", help=argparse.SUPPRESS)
    parser.add_argument("--seeds", default="", help=argparse.SUPPRESS)
    args = parser.parse_args()
    if args.node:
        run_node(args)
        return
    counts = [int(word) for word in args.nodes.split(",")]
    if not all(2 <= count <= MAX_NODES for count in counts):
        raise SystemExit(f"--nodes must be from 2 to {MAX_NODES}")
    if not 1 <= args.changes <= MAX_CHANGES:
        raise SystemExit(f"--changes must be from 1 to {MAX_CHANGES}")
    results = [measure(count, args) for count in counts]
    names = list(results[0])[1:]
    slopes = {name: fit_slope(results, name) for name in names}
    if args.json:
        report = {"results": results, "slope_per_100_nodes": slopes, "bounds": BOUNDS}
        print(json.dumps(report, indent=1))
        return
    print(f"{'nodes':>20}", *(f"{result['nodes']:>10}" for result in results), "slope")
    for name in names:
        values = (f"{result[name]:>10.4g}" for result in results)
        print(f"{name:>20}", *values, f"{slopes[name]:.3g} per 100")


if __name__ == "__main__":
    main()
