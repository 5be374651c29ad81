"""Measures the control plane with one process for each node, on loopback.

Starts nodes that run the peer task only, makes one of them publish changes and
reports convergence time, control traffic, processor share and resident memory.

    python bench/control.py --nodes 25,50,100 --changes 30 --interval 0.5

Payload bytes are those written to and read from TCP, including WebSocket framing.
The estimate of headers adds 52 bytes (IP 20, TCP 32 with timestamps) for each
segment and 52 for its acknowledgement, with at most 1,448 bytes in a segment.
Acknowledgements piggybacked on data make the real figure lower.
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
# At 57 MB per node, a larger fleet would use more than half of a machine with 31 GB.
MAX_NODES = 250
CHANGES_PER_DAY = 4300
MAX_CHANGES = 1000
LINK_TIMEOUT_S = 120.0
# A node stops by itself after this time, even if it outlived its parent.
NODE_LIFETIME_S = 900.0
BOUNDS = {"p100_s": 14.0, "bytes_per_s": 3000.0, "cpu": 0.017, "rss_mb": 128.0}


# Code of the node processes.


def make_config(services: int) -> Any:
    """Return a configuration of ``services`` services with four routes each."""
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
    """Run one node until standard input ends.

    It prints its peer port when it has started. The command ``publish COUNT
    INTERVAL_S`` publishes changes; ``report`` is answered with the counters.
    """
    from twisted.internet import reactor, stdio
    from twisted.internet.defer import Deferred
    from twisted.protocols.basic import LineReceiver

    from bamboocove.distributor import Distributor
    from bamboocove.settings import check_settings
    from bamboocove.state.members import Member, MemberTable, WorkerRecord

    applied: dict[int, float] = {}
    max_delay_s = 0.0
    worker = WorkerRecord("service-0", "v1", "127.0.0.1", 1, 12, 120)
    # Members that have left open no links, but fill the member table like the live
    # members of the design scale.
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
        live_count = len(table.get_live())
        return {
            "now": time.time(),
            "live": live_count,
            "links": len(distributor.get_peer_revisions()),
            "cpu_s": usage.ru_utime + usage.ru_stime,
            "rss_mb": pages * os.sysconf("SC_PAGE_SIZE") / 1e6,
            "slowest_s": max_delay_s,
            "applied": applied,
            **distributor.get_traffic(),
        }

    def measure_reactor_delay(due_at: float) -> None:
        nonlocal max_delay_s
        now = reactor.seconds()
        max_delay_s = max(max_delay_s, now - due_at)
        reactor.callLater(0.1, measure_reactor_delay, now + 0.1)

    class Commands(LineReceiver):
        delimiter = b"\n"

        def lineReceived(self, line: bytes) -> None:
            nonlocal max_delay_s
            command, *arguments = line.decode().split()
            if command == "publish":
                publish(int(arguments[0]), float(arguments[1]))
            elif command == "report":
                self.sendLine(json.dumps(get_report()).encode())
                max_delay_s = 0.0

        def connectionLost(self, reason: Any = None) -> None:
            if reactor.running:
                reactor.stop()

    commands = Commands()
    stdio.StandardIO(commands)
    started = Deferred.fromCoroutine(distributor.start())
    started.addCallback(lambda port: commands.sendLine(str(port).encode()))
    measure_reactor_delay(reactor.seconds())
    reactor.callLater(NODE_LIFETIME_S, reactor.stop)
    reactor.run()


# Code of the parent process, which starts and measures the nodes.


class PeerNode:
    """A node process and the pipes to it."""

    def __init__(self, index: int, args: argparse.Namespace, seeds: str):
        command = [sys.executable, __file__, "--node", f"n{index}"]
        command += ["--zone", f"z{index % args.zones}", "--seeds", seeds]
        command += ["--services", str(args.services), "--table", str(args.table)]
        self.process = subprocess.Popen(
            command, stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )

    def send(self, line: str) -> None:
        """Send a command line to the node."""
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def read(self) -> Any:
        """Read one line of JSON from the node."""
        return json.loads(self.process.stdout.readline())

    def stop(self) -> None:
        """Close the input, which stops the node; kill it after 10 s."""
        self.process.stdin.close()
        try:
            self.process.wait(10)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()


def collect_reports(nodes: list[PeerNode]) -> list[dict[str, Any]]:
    """Return the counters of all nodes."""
    for node in nodes:
        node.send("report")
    return [node.read() for node in nodes]


def wait_for_all(nodes: list[PeerNode], condition: Any, description: str) -> float:
    """Poll until all reports meet a condition and return the seconds it took.

    Exits with ``description`` in the message if it takes over ``LINK_TIMEOUT_S``.
    """
    started_at = time.time()
    while not all(condition(report) for report in collect_reports(nodes)):
        if time.time() - started_at > LINK_TIMEOUT_S:
            raise SystemExit(
                f"timed out after {LINK_TIMEOUT_S:g} s waiting for {description}"
            )
        time.sleep(0.5)
    return time.time() - started_at


@frozen
class MeasurementWindow:
    """Reports of all nodes at the start and the end of a measurement."""

    before: list[dict[str, Any]]
    after: list[dict[str, Any]]

    def get_rates(self, name: str) -> list[float]:
        """Return the increase per second of a counter, for each node."""
        return [
            (after[name] - before[name]) / (after["now"] - before["now"])
            for before, after in zip(self.before, self.after)
        ]

    def get_bytes_per_s(self) -> list[float]:
        """Return bytes/s of each node, sent and received, with estimated headers."""
        totals = []
        for sent, received, writes, reads in zip(
            *map(self.get_rates, ("bytes_sent", "bytes_received", "writes", "reads"))
        ):
            segments = max(writes, sent / SEGMENT_BYTES)
            segments += max(reads, received / SEGMENT_BYTES)
            totals.append(sent + received + 2 * HEADER_BYTES * segments)
        return totals

    def get_payload_per_s(self) -> list[float]:
        """Return bytes/s of each node, sent and received, without headers."""
        rates = zip(self.get_rates("bytes_sent"), self.get_rates("bytes_received"))
        return [sent + received for sent, received in rates]


def measure_window(nodes: list[PeerNode], seconds: float) -> MeasurementWindow:
    """Collect reports of all nodes before and after ``seconds``."""
    before = collect_reports(nodes)
    time.sleep(seconds)
    return MeasurementWindow(before, collect_reports(nodes))


def get_quantile(values: list[float], share: float) -> float:
    """Return the quantile ``share`` (0 to 1) of unsorted values."""
    return sorted(values)[min(len(values) - 1, math.ceil(share * len(values)) - 1)]


def measure_fleet(count: int, args: argparse.Namespace) -> dict[str, Any]:
    """Run a fleet of ``count`` nodes and return its figures."""
    nodes: list[PeerNode] = []
    try:
        nodes.append(PeerNode(0, args, ""))
        seeds = f"127.0.0.1:{nodes[0].read()}"
        nodes += [PeerNode(index, args, seeds) for index in range(1, count)]
        for node in nodes[1:]:
            node.read()
        linked_s = wait_for_all(
            nodes, lambda item: item["live"] == count, "all members"
        )
        nodes[0].send("publish 1 0")
        wait_for_all(nodes, lambda item: "1" in item["applied"], "first revision")
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
    skipped = 0
    for revision in range(2, args.changes + 2):
        times = [report["applied"].get(str(revision)) for report in busy.after]
        change_delays = [at - times[0] for at in times[1:] if at is not None]
        # A node that skipped this revision applied a newer one instead.
        skipped += len(times) - 1 - len(change_delays)
        delays += change_delays
        worst_of_change.append(max(change_delays))
    figures = {
        "nodes": count,
        "linked_s": linked_s,
        "p50_s": statistics.median(delays),
        "p99_s": get_quantile(delays, 0.99),
        "p100_s": max(delays),
        "change_p50_s": statistics.median(worst_of_change),
        "skipped": skipped,
        "links": statistics.mean(report["links"] for report in busy.after),
        "links_max": max(report["links"] for report in busy.after),
        "blocked_s": max(report["slowest_s"] for report in busy.after),
    }
    for name, window in (("idle", idle), ("busy", busy)):
        figures[f"{name}_payload_per_s"] = statistics.mean(window.get_payload_per_s())
        figures[f"{name}_bytes_per_s"] = statistics.mean(window.get_bytes_per_s())
        figures[f"{name}_bytes_max"] = max(window.get_bytes_per_s())
        figures[f"{name}_cpu"] = statistics.mean(window.get_rates("cpu_s"))
        figures[f"{name}_cpu_max"] = max(window.get_rates("cpu_s"))
    # Interpolate between idle and busy cost to the change rate of the design.
    for name in ("bytes_per_s", "cpu"):
        idle_rate, busy_rate = figures[f"idle_{name}"], figures[f"busy_{name}"]
        share = CHANGES_PER_DAY / 86_400 * args.interval
        figures[f"design_{name}"] = idle_rate + share * (busy_rate - idle_rate)
    figures["design_bytes_max"] = max(
        idle_rate + share * (busy_rate - idle_rate)
        for idle_rate, busy_rate in zip(idle.get_bytes_per_s(), busy.get_bytes_per_s())
    )
    figures["rss_mb"] = statistics.mean(report["rss_mb"] for report in busy.after)
    figures["rss_max_mb"] = max(report["rss_mb"] for report in busy.after)
    return figures


def fit_slope(results: list[dict[str, Any]], name: str) -> float:
    """Return the least-squares slope of a figure per 100 nodes, NaN for one fleet."""
    if len(results) < 2:
        return float("nan")
    counts = [result["nodes"] for result in results]
    values = [result[name] for result in results]
    return 100 * statistics.linear_regression(counts, values).slope


def main() -> None:
    """Measure fleets of several sizes and print a table or JSON."""
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
    results = [measure_fleet(count, args) for count in counts]
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
