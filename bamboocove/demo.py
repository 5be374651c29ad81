"""Demo of two moves: a good version that is rolled out and a bad one reverted."""

import json
import sys
from collections import Counter
from datetime import UTC, datetime
from itertools import count
from random import Random
from typing import Any

import treq
from attrs import define, field
from cleo.commands.command import Command
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import ConnectError, ConnectionLost
from twisted.internet.task import LoopingCall, deferLater, react
from twisted.web.client import ResponseFailed

from bamboocove.commands import run_single_command
from bamboocove.fleet import Fleet, NodeProcess
from bamboocove.state.config import ENDED_PHASES

ZONES = ("ljubljana-1", "ljubljana-2", "ljubljana-3")
WORKERS_BY_SERVICE = {"orders": 5, "rounds": 4, "ledger": 3}
# Shorter than the defaults, so that the demo ends within a minute.
NODE_SETTINGS = {
    ("moves", "step_s"): "1",
    ("moves", "watch_s"): "5",
    ("moves", "window_s"): "0.5",
}
CALL_INTERVAL_S = 0.003
CALL_TIMEOUT_S = 5.0
CALLS_PER_PAYMENT = 50
POLL_INTERVAL_S = 0.25
WAIT_TIMEOUT_S = 130.0
# More than the move needs on an idle machine. On a busy one latencies vary, and
# comparing the versions takes longer.
MOVE_DEADLINE_S = 90.0

CONFIG_TEXT = """\
tenant: kozje-mleko
services:
  orders:
    version: v1
    depends_on: [ledger]
    routes:
      read-order: {path: /orders, class: prompt, timeout: 2s}
      browse: {path: /cheeses, timeout: 2s}
  rounds:
    version: v1
    depends_on: [orders]
    routes:
      read-round: {path: /rounds, class: prompt, timeout: 2s}
      list-stops: {path: /stops, timeout: 2s}
  ledger:
    version: v1
    routes:
      read-account: {path: /accounts, class: deferrable, timeout: 2s}
      pay: {path: /payments, methods: [POST], idempotent: false, timeout: 5s}
"""
MOVE_ENTRY = """\
  - service: {service}
    to: {version}
    by: {deadline}
"""
# The duration of a call exceeds the scheduling delays of a busy machine, which
# would otherwise dominate its latency.
WORKER_OPTIONS = ("--work", "0.015", "--drain", "0.5")
READ_PATHS = (
    ("orders", "/orders/17"),
    ("orders", "/cheeses"),
    ("rounds", "/rounds/4"),
    ("rounds", "/stops"),
    ("ledger", "/accounts/9"),
)


@define
class CallLog:
    """Outcomes of the calls that the demo sends.

    Parameters
    ----------
    statuses : Counter
        Number of calls by service and status.
    payments : int
        Number of payments sent, each with a unique idempotency key.
    """

    statuses: Counter = field(factory=Counter)
    payments: int = 0


def print_progress(text: str) -> None:
    """Print a line with the current time in UTC."""
    now = datetime.now(UTC)
    print(f"{now:%H:%M:%S} {text}", flush=True)


def make_config_text(moves: tuple[tuple[str, str, float], ...]) -> str:
    """Return the configuration text with moves (service, version, deadline)."""
    if not moves:
        return CONFIG_TEXT
    lines = ["moves:\n"]
    for service, version, deadline in moves:
        by = datetime.fromtimestamp(deadline, UTC).isoformat(timespec="seconds")
        lines.append(MOVE_ENTRY.format(service=service, version=version, deadline=by))
    return CONFIG_TEXT + "".join(lines)


@define(eq=False)
class Demo:
    """Fleet, callers and steps of one demo run.

    Parameters
    ----------
    reactor : reactor
        Twisted reactor.
    fleet : Fleet
        Node, worker and platform processes.
    """

    reactor: Any
    fleet: Fleet
    random: Random = field(factory=lambda: Random(1))
    log: CallLog = field(factory=CallLog)
    in_flight: set[Deferred] = field(factory=set)

    @property
    def nodes(self) -> list[NodeProcess]:
        """All nodes in the order in which they became ready."""
        return list(self.fleet.nodes_by_id.values())

    async def fetch(self, node: NodeProcess, path: str) -> Any:
        """Return the JSON response of a node's admin interface."""
        response = await treq.get(node.admin_url + path, timeout=CALL_TIMEOUT_S)
        return await response.json()

    async def start(self) -> None:
        """Start the platform, the nodes and their workers."""
        await self.fleet.start_platform()
        print_progress("platform stand-in is up")
        hosts = [
            (service, index)
            for service, workers in WORKERS_BY_SERVICE.items()
            for index in range(workers)
        ]
        starts = [
            Deferred.fromCoroutine(
                self.fleet.start_node(
                    f"{service}-{index}", ZONES[position % len(ZONES)]
                )
            )
            for position, (service, index) in enumerate(hosts)
        ]
        await DeferredList(starts, fireOnOneErrback=True)
        print_progress(f"{len(hosts)} nodes are up in {len(ZONES)} availability zones")
        await self.start_all_workers(
            *((service, "v1") for service in WORKERS_BY_SERVICE)
        )

    async def start_all_workers(self, *arguments: tuple[str, ...]) -> None:
        """Start the workers of several versions concurrently."""
        starts = [
            Deferred.fromCoroutine(self.start_workers(*words)) for words in arguments
        ]
        await DeferredList(starts, fireOnOneErrback=True)

    async def start_workers(self, service: str, version: str, *options: str) -> None:
        """Start one worker beside each node of a service."""
        starts = [
            Deferred.fromCoroutine(
                self.fleet.start_worker(
                    node, service, version, *WORKER_OPTIONS, *options
                )
            )
            for node in self.nodes
            if node.node_id.startswith(service)
        ]
        await DeferredList(starts, fireOnOneErrback=True)
        print_progress(f"{len(starts)} workers of {service} {version} are up")

    async def apply(self, text: str) -> int:
        """Apply a text, wait until all nodes have its revision, and return that."""
        base = (await self.fetch(self.nodes[0], "/status"))["text_revision"]
        started_at = self.reactor.seconds()
        response = await treq.post(
            f"{self.nodes[0].admin_url}/config?base={base}&author=demo",
            data=text.encode(),
        )
        answer = await response.json()
        if response.code != 200:
            raise RuntimeError(f"the text was refused: {answer}")
        revision = answer["revision"]
        await self.wait_for_revision(revision)
        elapsed_s = self.reactor.seconds() - started_at
        print_progress(
            f"text accepted as revision {revision}, in force on all nodes after "
            f"{elapsed_s:.1f} s"
        )
        return revision

    async def wait_for_revision(self, revision: int) -> None:
        """Wait until every node has applied a revision or a newer one."""
        deadline = self.reactor.seconds() + WAIT_TIMEOUT_S
        while self.reactor.seconds() < deadline:
            revisions = [
                (await self.fetch(node, "/status"))["revision"] for node in self.nodes
            ]
            if min(revisions) >= revision:
                return
            await deferLater(self.reactor, POLL_INTERVAL_S)
        raise RuntimeError(f"not all nodes have revision {revision}: {revisions}")

    async def wait_for_moves(self, services: tuple[str, ...]) -> dict[str, str]:
        """Print the steps of moves until all have ended; return phases by service."""
        seen: dict[str, tuple[str, float]] = {}
        deadline = self.reactor.seconds() + WAIT_TIMEOUT_S
        while self.reactor.seconds() < deadline:
            moves = [
                move
                for move in await self.fetch(self.nodes[0], "/moves")
                if move["service"] in services
            ]
            for move in moves:
                self._report_move(move, seen)
            if all(move["phase"] in ENDED_PHASES for move in moves):
                return {move["service"]: move["phase"] for move in moves}
            await deferLater(self.reactor, POLL_INTERVAL_S)
        raise RuntimeError(f"a move did not end: {seen}")

    def _report_move(self, move: dict[str, Any], seen: dict[str, Any]) -> None:
        state = (move["phase"], move["share"])
        if seen.get(move["move_id"]) == state:
            return
        seen[move["move_id"]] = state
        print_progress(
            f"  {move['move_id']}: {move['phase']}, share {move['share']:.0%},"
            f" {move['reason']}"
        )

    async def explain(self) -> None:
        """Print the events of each move, as ``bamboocove explain`` does."""
        for move in await self.fetch(self.nodes[0], "/moves"):
            print_progress(
                f"ANSWER {move['move_id']} is {move['phase']}: {move['reason']}"
            )
            events = await self.fetch(self.nodes[0], f"/explain/{move['move_id']}")
            for event in events:
                print_progress(f"  revision {event['revision']}: {event['text']}")

    # Callers and their counts.

    def start_calls(self) -> LoopingCall:
        """Start sending calls to random nodes at a fixed rate; return the loop."""
        numbers = count()
        loop = LoopingCall(lambda: self._send_call(next(numbers)))
        loop.start(CALL_INTERVAL_S, now=False)
        return loop

    def _send_call(self, number: int) -> None:
        call = Deferred.fromCoroutine(self._call(number))
        self.in_flight.add(call)
        call.addBoth(lambda _: self.in_flight.discard(call))

    async def _call(self, number: int) -> None:
        node = self.random.choice(self.nodes)
        service, path = READ_PATHS[number % len(READ_PATHS)]
        method = "GET"
        headers = {"bamboocove-service": service}
        if number % CALLS_PER_PAYMENT == 0:
            service, path, method = "ledger", "/payments", "POST"
            headers = {
                "bamboocove-service": service,
                "idempotency-key": f"pay-{number}",
            }
            self.log.payments += 1
        try:
            response = await treq.request(
                method, node.call_url + path, headers=headers, timeout=CALL_TIMEOUT_S
            )
            await response.content()
            status = str(response.code)
        except (ConnectError, ConnectionLost, ResponseFailed, TimeoutError) as error:
            status = type(error).__name__
        self.log.statuses[service, status] += 1

    async def count_runs(self) -> Counter:
        """Return the runs of each idempotency key, summed over all workers."""
        runs: Counter = Counter()
        for worker in self.fleet.workers:
            response = await treq.get(f"http://127.0.0.1:{worker.port}/counters")
            counters = await response.json()
            runs.update(counters.get("runs_by_key", {}))
        return runs


async def run_demo(demo: Demo) -> int:
    """Run all steps of the demo and return the exit status."""
    await demo.start()
    await demo.apply(make_config_text(()))
    calls = demo.start_calls()
    print_progress("callers send 330 calls a second, one in 50 a payment")
    print_progress(
        "a good version, orders v2, and a bad one, rounds v2, which fails on one route"
    )
    faults = json.dumps({"failing_route": "/stops"})
    await demo.start_all_workers(("orders", "v2"), ("rounds", "v2", "--faults", faults))
    by = demo.reactor.seconds() + MOVE_DEADLINE_S
    moves = (("orders", "v2", by), ("rounds", "v2", by))
    await demo.apply(make_config_text(moves))
    phases = await demo.wait_for_moves(("orders", "rounds"))
    calls.stop()
    await DeferredList(list(demo.in_flight))
    await demo.explain()
    return await summarize(demo, phases["orders"], phases["rounds"])


async def summarize(demo: Demo, good: str, bad: str) -> int:
    """Print a summary and return 0 if moves and payments ended as expected."""
    for (service, status), calls in sorted(demo.log.statuses.items()):
        print_progress(f"calls to {service} with status {status}: {calls}")
    runs = await demo.count_runs()
    repeats = [key for key, number in runs.items() if number > 1]
    print_progress(
        f"payments: {demo.log.payments} sent, {len(runs)} run, {len(repeats)} run twice"
    )
    succeeded = good == "done" and bad == "reverted" and not repeats
    print_progress("demo finished as expected" if succeeded else "DEMO FAILED")
    return 0 if succeeded else 1


async def run_fleet(reactor: Any, statuses: list[int]) -> None:
    """Run the demo and stop its processes, also after a failure."""
    fleet = Fleet(reactor, NODE_SETTINGS)
    reactor.addSystemEventTrigger("before", "shutdown", fleet.kill)
    started_at = reactor.seconds()
    try:
        statuses.append(await run_demo(Demo(reactor, fleet)))
    finally:
        print_progress("stopping all processes")
        await fleet.stop()
        print_progress(f"took {reactor.seconds() - started_at:.0f} s")


class DemoCommand(Command):
    """Runs the demo."""

    name = "run"
    description = "start stand-ins and nodes, show a good and a bad move"

    def handle(self) -> int:  # noqa: D102
        statuses: list[int] = []
        try:
            react(
                lambda reactor: Deferred.fromCoroutine(run_fleet(reactor, statuses)), ()
            )
        except SystemExit as error:
            if error.code:
                return int(error.code)
        return statuses[0] if statuses else 130


def main() -> None:
    """Run the command line."""
    run_single_command("bamboocove-demo", DemoCommand())


if __name__ == "__main__":
    sys.exit(main())
