"""Measures the latency that one hop through a node adds to a call.

One open-loop load generator sends calls in turn to a worker directly, through a
``Proxy`` in its own process and through a minimal klein and treq forwarder, so
that all three are measured under the same machine load. A call is sent at its
scheduled time regardless of the calls before it, and its latency counts from that
time. All processes use loopback and stop by themselves::

    PYTHONPATH=. python bench/hop.py --rate 300 --seconds 10 --json
"""

import argparse
import json
import os
import random
import select
import socket
import statistics
import subprocess
import sys
import time
from collections import deque

from hdrh.histogram import HdrHistogram

BODY = b"x" * 512
MAX_DURATION_S = 120
MAX_CALLS_PER_S = 5000
WARM_UP_S = 2.0
LATE_RESPONSE_TIMEOUT_S = 5.0
# An iteration of the load loop takes tens of microseconds; a longer gap means that
# the process was not scheduled.
STALL_S = 0.0005
ROLE_LIFETIME_S = MAX_DURATION_S + 60


def run_worker(port: int) -> None:
    """Run a worker that answers every call with ``BODY``."""
    from twisted.internet import reactor

    from bamboocove.transport.calls import CallServer

    server = CallServer(lambda exchange: exchange.respond(200, [], BODY), 1, reactor)
    run_role(reactor, reactor.listenTCP(0, server, 1024, "127.0.0.1").getHost().port)


def run_proxy(port: int) -> None:
    """Run a ``Proxy`` whose only worker listens on ``port``."""
    from twisted.internet import reactor
    from twisted.internet.defer import Deferred

    from bamboocove.metrics import Metrics
    from bamboocove.proxy import Proxy
    from bamboocove.settings import check_settings
    from bamboocove.state.config import Config, Route, Service
    from bamboocove.state.members import Member, MemberTable, WorkerRecord
    from bamboocove.state.snapshot import ActiveSnapshot, compile_snapshot

    settings = check_settings(
        {
            ("node", "id"): "n1",
            ("node", "zone"): "a",
            ("platform", "table_url"): "http://127.0.0.1:1",
            ("platform", "object_url"): "http://127.0.0.1:1",
        }
    )
    service = Service("bench", "v1", (), (Route("all", "/"),))
    active = ActiveSnapshot()
    active.swap(compile_snapshot(Config(1, "bench", 1, {"bench": service})))
    members = MemberTable()
    worker = WorkerRecord("bench", "v1", "127.0.0.1", port, 1000, 1000)
    member = Member("n1", 1, 1, "a", "r", "127.0.0.1", 1, "alive", (worker,))
    members.merge(member)
    proxy = Proxy(
        settings,
        active,
        members,
        None,
        Metrics("bench"),
        reactor,
        random.Random(1),
        lambda notice: None,
    )
    Deferred.fromCoroutine(proxy.start()).addCallback(
        lambda proxy_port: run_role(reactor, proxy_port, is_running=True)
    )
    reactor.run()


def run_forwarder(port: int) -> None:
    """Run a minimal klein and treq forwarder to the worker on ``port``."""
    import treq
    from klein import Klein
    from twisted.internet import reactor
    from twisted.web.client import HTTPConnectionPool
    from twisted.web.server import Site

    app = Klein()
    pool = HTTPConnectionPool(reactor)
    pool.maxPersistentPerHost = 100

    @app.route("/", branch=True)
    async def forward(request):
        response = await treq.request(
            request.method.decode(),
            f"http://127.0.0.1:{port}{request.uri.decode()}",
            headers={"bamboocove-service": "bench"},
            pool=pool,
        )
        body = await response.content()
        request.setResponseCode(response.code)
        request.setHeader("content-length", str(len(body)))
        return body

    site = Site(app.resource())
    run_role(reactor, reactor.listenTCP(0, site, 1024, "127.0.0.1").getHost().port)


def run_role(reactor: object, port: int, is_running: bool = False) -> None:
    """Print the port and run until the parent exits or the lifetime ends.

    The lifetime is ``ROLE_LIFETIME_S``. If ``is_running`` is true, the caller
    runs the reactor.
    """
    print(port, flush=True)
    parent = os.getppid()

    def check_parent() -> None:
        if os.getppid() != parent:
            reactor.stop()
        reactor.callLater(1.0, check_parent)

    reactor.callLater(1.0, check_parent)
    reactor.callLater(ROLE_LIFETIME_S, reactor.stop)
    if not is_running:
        reactor.run()


TARGETS = ("proxy", "forwarder")
ROLES = {"worker": run_worker, "proxy": run_proxy, "forwarder": run_forwarder}


def start_role(name: str, port: int = 0) -> tuple[subprocess.Popen, int]:
    """Start a role in its own process; return the process and its port."""
    arguments = [sys.executable, __file__, "--role", name, "--port", str(port)]
    process = subprocess.Popen(arguments, stdout=subprocess.PIPE)
    return process, int(process.stdout.readline())


def read_cpu_s(pid: int) -> float:
    """Return the processor time of a process in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        fields = file.read().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def read_memory_mb(pid: int) -> float:
    """Return the resident memory of a process in megabytes."""
    with open(f"/proc/{pid}/statm") as file:
        pages = int(file.read().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


class Target:
    """One route to the worker, with its idle connections and measurements."""

    def __init__(self, name: str, port: int, pid: int):
        self.name = name
        self.port = port
        self.pid = pid
        self.idle: deque[socket.socket] = deque()
        self.histogram = HdrHistogram(1, 60_000_000, 3)
        self.errors = 0
        self.calls = 0
        self.cpu_s = 0.0
        self.latencies_by_second: dict[int, list[float]] = {}

    def get_median_p99_ms(self) -> float:
        """Return the median over all seconds of each second's 99th percentile.

        On a machine that runs other work or has processor time stolen, this is
        more representative of a target than the percentile of the whole run.
        """
        values = [
            sorted(latencies)[int(0.99 * (len(latencies) - 1))]
            for latencies in self.latencies_by_second.values()
        ]
        return statistics.median(values) * 1e3 if values else 0.0

    def take_connection(self) -> socket.socket:
        """Return an idle connection, or open a new one."""
        if self.idle:
            return self.idle.pop()
        connection = socket.create_connection(("127.0.0.1", self.port))
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.setblocking(False)
        return connection


REQUEST = (
    b"GET /orders/17?full=1 HTTP/1.1\r\nHost: bench\r\nbamboocove-service: bench\r\n"
    b"User-Agent: bench\r\nAccept: */*\r\nbamboocove-deadline-ms: 5000\r\n\r\n"
)


def run_load(targets: list[Target], rate: float, seconds: float) -> float:
    """Send ``rate`` calls/s to each target on schedule, in turn.

    Measurements start after ``WARM_UP_S`` and are stored in the targets.

    Returns
    -------
    stalled : float
        Share of the time in which this process was not scheduled, although it
        never sleeps.
    """
    poller = select.epoll()
    calls: dict[int, tuple[Target, socket.socket, float, list[bytes]]] = {}
    period = 1.0 / (rate * len(targets))
    start = time.perf_counter()
    measured_from = start + WARM_UP_S
    end = measured_from + seconds
    next_at = start
    index = 0
    is_measuring = False
    now = start
    stalled = 0.0
    while True:
        previous, now = now, time.perf_counter()
        if now - previous > STALL_S:
            stalled += now - previous
        if not is_measuring and now >= measured_from:
            is_measuring = True
            for target in targets:
                target.cpu_s = read_cpu_s(target.pid)
        if next_at >= end and (not calls or now > end + LATE_RESPONSE_TIMEOUT_S):
            break
        while next_at <= now and next_at < end:
            target = targets[index % len(targets)]
            connection = target.take_connection()
            connection.send(REQUEST)
            poller.register(connection.fileno(), select.EPOLLIN)
            calls[connection.fileno()] = (target, connection, next_at, [])
            index += 1
            next_at = start + index * period
        # Busy polling, since a timer would be up to a millisecond late.
        for descriptor, _ in poller.poll(0):
            target, connection, sent_at, chunks = calls[descriptor]
            try:
                data = connection.recv(65536)
            except ConnectionError:
                data = b""
            chunks.append(data)
            if data and not data.endswith(BODY[:64]):
                continue
            poller.unregister(descriptor)
            del calls[descriptor]
            is_ok = chunks[0].startswith(b"HTTP/1.1 200")
            if sent_at >= measured_from:
                latency = time.perf_counter() - sent_at
                target.calls += 1
                target.errors += not is_ok
                target.histogram.record_value(max(1, int(latency * 1e6)))
                second = int(sent_at - measured_from)
                target.latencies_by_second.setdefault(second, []).append(latency)
            if data:
                target.idle.append(connection)
            else:
                connection.close()
    for target in targets:
        target.cpu_s = read_cpu_s(target.pid) - target.cpu_s
    for target, _, sent_at, _ in calls.values():
        target.errors += sent_at >= measured_from
    return stalled / (now - start)


def summarize(
    targets: list[Target], rate: float, seconds: float, stalled: float
) -> dict:
    """Return latencies, errors and resource use of each target.

    Added latencies are relative to the first target, the direct one.
    """
    direct = targets[0].histogram
    rows = []
    for target in targets:
        row = {"target": target.name, "calls": target.calls, "errors": target.errors}
        for percentile in (50, 99, 99.9):
            value = target.histogram.get_value_at_percentile(percentile) / 1e3
            direct_value = direct.get_value_at_percentile(percentile) / 1e3
            row[f"p{percentile:g}_ms"] = round(value, 3)
            row[f"added_p{percentile:g}_ms"] = round(value - direct_value, 3)
        row["p99_by_second_ms"] = round(target.get_median_p99_ms(), 3)
        row["cpu_us_per_call"] = round(target.cpu_s / max(1, target.calls) * 1e6)
        row["memory_mb"] = round(read_memory_mb(target.pid), 1)
        rows.append(row)
    return {
        "rate": rate,
        "seconds": seconds,
        "load": round(os.getloadavg()[0], 1),
        "stalled": round(stalled, 4),
        "rows": rows,
    }


def print_table(summary: dict) -> None:
    """Print the summary of a run as a table."""
    print(
        f"{summary['rate']:g} calls/s to each target for {summary['seconds']:g} s, "
        f"load {summary['load']}, load process stalled {summary['stalled']:.2%}"
    )
    names = list(summary["rows"][0])
    rows = [names] + [[str(row[name]) for name in names] for row in summary["rows"]]
    widths = [max(len(row[column]) for row in rows) for column in range(len(names))]
    for row in rows:
        cells = zip(row, widths, strict=True)
        print("  ".join(cell.rjust(width) for cell, width in cells))


def main() -> None:
    """Run the benchmark, or the role given by ``--role``."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--rate", type=float, default=300, help="calls/s per target")
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--json", action="store_true")
    parser.add_argument(
        "--targets", nargs="*", choices=TARGETS, default=TARGETS, help="besides direct"
    )
    parser.add_argument("--role", choices=ROLES, help=argparse.SUPPRESS)
    parser.add_argument("--port", type=int, default=0, help=argparse.SUPPRESS)
    options = parser.parse_args()
    if options.role:
        ROLES[options.role](options.port)
        return
    rate = min(options.rate, MAX_CALLS_PER_S)
    seconds = min(options.seconds, MAX_DURATION_S)
    processes = []
    try:
        worker, port = start_role("worker")
        processes.append(worker)
        targets = [Target("direct", port, worker.pid)]
        for name in options.targets:
            process, target_port = start_role(name, port)
            processes.append(process)
            targets.append(Target(name, target_port, process.pid))
        stalled = run_load(targets, rate, seconds)
        summary = summarize(targets, rate, seconds, stalled)
    finally:
        for process in processes:
            process.terminate()
            process.wait()
    if options.json:
        print(json.dumps(summary))
    else:
        print_table(summary)


if __name__ == "__main__":
    main()
