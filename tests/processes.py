"""Small fleets of real processes, and callers that use them."""

import json
import time
from itertools import count, cycle, islice
from pathlib import Path
from typing import Any

import cbor2
from attrs import define, field, frozen
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.process import reapAllProcesses, reapProcessHandlers
from twisted.internet.task import LoopingCall, deferLater
from twisted.python.failure import Failure
from twisted.web.client import Agent, HTTPConnectionPool

import bamboocove
from bamboocove.fleet import Fleet, NodeProcess, WorkerProcess
from bamboocove.transport.platform import BytesProducer
from tests.fakes import run_with_reactor

WAIT_S = 30.0
TEST_LIMIT_S = 100.0
# Bounds that docs/design.md states: an accepted edit is in force everywhere, and
# a worker that leaves gets no new calls.
CONVERGENCE_S = 14.0
DRAIN_S = 5.0
LEASE_S = 3.0
POLL_S = 0.1
# Longer than nodes take to come back, so that their callers try again then.
PAYMENT_S = 10.0
ZONES = ("zone-1", "zone-2", "zone-3")
SETTINGS = {
    ("moves", "lease_s"): str(LEASE_S),
    ("moves", "step_s"): "1",
    ("moves", "window_s"): "0.5",
}
TEXT = """\
tenant: kozje-mleko
services:
  ledger:
    version: v1
    routes:
      read: {path: /accounts, timeout: 8s}
      pay: {path: /payments, methods: [POST], idempotent: false, timeout: 8s}
"""
ROUTE = "      extra-%d: {path: /extra-%d}\n"
MOVE = "moves:\n  - {service: ledger, to: v2, by: 2099-01-01T00:00:00+00:00}\n"


def make_text(extra=0, moves=""):
    """Return a text with routes ``/extra-1`` to ``/extra-<extra>``."""
    routes = "".join(ROUTE % (number, number) for number in range(1, extra + 1))
    return TEXT + routes + moves


@frozen
class Answer:
    """Response to a call; status 0 if the connection failed."""

    status: int
    run: str = ""
    body: bytes = b""


@define(eq=False)
class Mesh:
    """A fleet and its callers."""

    reactor: Any
    fleet: Fleet
    client: HTTPClient
    call_client: HTTPClient
    nodes: list[NodeProcess] = field(factory=list)
    payments: list[str] = field(factory=list)
    paid: set[str] = field(factory=set)
    is_paying: bool = True
    statuses: set[int] = field(factory=set)
    failures: list[Failure] = field(factory=list)

    async def start(self, nodes, workers, *options):
        """Start nodes in turn in each zone, and workers of ledger v1 beside them."""
        await self.fleet.start_platform()
        starts = [
            self.fleet.start_node(f"node-{number}", ZONES[number % len(ZONES)])
            for number in range(nodes)
        ]
        self.nodes = await gather(starts)
        await self.start_workers(workers, "v1", *options)
        await self.apply_everywhere(make_text())
        await gather([self.until(lambda n=n: self.serves(n)) for n in self.nodes])

    async def start_workers(self, number, version, *options) -> list[WorkerProcess]:
        beside = islice(cycle(self.nodes), number)
        start = self.fleet.start_worker
        return await gather(
            [start(node, "ledger", version, *options) for node in beside]
        )

    async def restart(self, node, seeds=()):
        """Start a node again with its identifier and ports."""
        await self.until(lambda: not node.process.is_alive)
        ports = {
            f"node__{name}_port": str(port) for name, port in node.ports_by_name.items()
        }
        addresses = [f"127.0.0.1:{peer.ports_by_name['peer']}" for peer in seeds]
        started = await self.fleet.start_node(
            node.node_id, node.zone, peers__seeds=" ".join(addresses), **ports
        )
        self.nodes[self.nodes.index(node)] = started
        return started

    async def request(
        self, method, url, data=None, headers=None, client=None
    ) -> Answer:
        try:
            response = await (client or self.client).request(
                method,
                url,
                data=None if data is None else BytesProducer(data),
                headers=headers,
                timeout=12,
                reactor=self.reactor,
            )
            body = await response.content()
        # Callers meet every kind of failure while processes die.
        except Exception:
            return Answer(0)
        run = response.headers.getRawHeaders("bamboocove-run", [""])[0]
        return Answer(response.code, run, body)

    async def call(self, node, path, method="GET", **headers) -> Answer:
        headers = {name.replace("_", "-"): value for name, value in headers.items()}
        return await self.request(
            method,
            node.call_url + path,
            headers={"bamboocove-service": "ledger"} | headers,
            client=self.call_client,
        )

    async def pay(self, node, key) -> Answer:
        return await self.call(node, "/payments", "POST", idempotency_key=key)

    async def serves(self, node) -> bool:
        return (await self.call(node, "/accounts")).status == 200

    async def fetch(self, node, path) -> Any:
        """Return the JSON answer of a node's admin interface; None for none."""
        answer = await self.request("GET", node.admin_url + path)
        return json.loads(answer.body) if answer.status == 200 else None

    async def get_revision(self, node) -> int:
        status = await self.fetch(node, "/status")
        return status["revision"] if status else 0

    async def has_revision(self, node, revision) -> bool:
        return await self.get_revision(node) >= revision

    async def get_history(self, node) -> list[dict]:
        """Return all records, after a check that no revision is missing."""
        history = await self.fetch(node, "/history?after=0")
        numbers = [record["revision"] for record in history]
        assert numbers == list(range(1, len(history) + 1))
        return history

    async def get_row(self, key) -> dict:
        url = f"{self.fleet.platform_url}/table/rows/{key}"
        answer = await self.request("GET", url)
        return cbor2.loads(answer.body)["value"] if answer.status == 200 else {}

    async def set_faults(self, **faults):
        url = f"{self.fleet.platform_url}/faults"
        answer = await self.request("POST", url, json.dumps(faults).encode())
        assert answer.status == 200

    async def apply(self, node, text, base, author="operator") -> Answer:
        url = f"{node.admin_url}/config?base={base}&author={author}"
        return await self.request("POST", url, text.encode())

    async def apply_everywhere(self, text, node=None) -> int:
        """Apply a text and wait, as long as is stated, until it is in force."""
        node = node or self.nodes[0]
        base = (await self.fetch(node, "/status"))["text_revision"]
        answer = await self.apply(node, text, base)
        assert answer.status == 200, answer
        revision = json.loads(answer.body)["revision"]
        await self.converge(revision)
        return revision

    async def make_step(self, node, number) -> str:
        """Start a move in place of the last one; return the author of its step.

        The first step needs no evidence, so that any node may take it.
        """
        if number:
            await self.apply_everywhere(make_text(), node)
        text = make_text(moves=MOVE.replace("2099", f"{2060 + number}"))
        revision = await self.apply_everywhere(text, node)
        await self.until(lambda: self.has_revision(node, revision + 1))
        return (await self.get_history(node))[revision]["author"]

    async def converge(self, revision, limit_s=CONVERGENCE_S):
        async def is_everywhere():
            revisions = await gather([self.get_revision(node) for node in self.nodes])
            return min(revisions) >= revision

        await self.until(is_everywhere, limit_s)

    async def until(self, condition, limit_s=WAIT_S):
        """Wait until a condition, a function or a coroutine function, holds."""
        deadline = self.reactor.seconds() + limit_s
        while True:
            result = condition()
            if not isinstance(result, bool):
                result = await result
            if result:
                return
            assert self.reactor.seconds() < deadline, f"not so after {limit_s} s"
            await self.sleep(POLL_S)

    def sleep(self, seconds) -> Deferred:
        return deferLater(self.reactor, seconds)

    def start_background(self, coroutine):
        """Run a coroutine until the end of the test; its failure fails the test."""
        Deferred.fromCoroutine(coroutine).addErrback(self.failures.append)

    def start_callers(self, nodes=None):
        """Call nodes until the end of the test."""

        async def call_always(node):
            while True:
                self.statuses.add((await self.call(node, "/accounts")).status)

        for node in (nodes or self.nodes) * 2:
            self.start_background(call_always(node))

    def start_payers(self, number) -> Deferred:
        """Make payments, one after the other by each payer, until ``is_paying``."""
        return gather([self._make_payments(f"payer-{n}") for n in range(number)])

    async def _make_payments(self, payer):
        number = 0
        while self.is_paying:
            number += 1
            await self._make_payment(f"{payer}-{number}", number)
            await self.sleep(POLL_S)

    async def _make_payment(self, key, first):
        self.payments.append(key)
        ends_at = self.reactor.seconds() + PAYMENT_S
        for attempt in count(first):
            answer = await self.pay(self.nodes[attempt % len(self.nodes)], key)
            if answer.status == 200:
                self.paid.add(key)
            if answer.status == 200 or self.reactor.seconds() > ends_at:
                return
            await self.sleep(0.3)

    async def count_runs(self) -> dict[str, int]:
        """Return the runs of each key over all workers."""
        runs = {}
        for worker in self.fleet.workers:
            for key, number in (await self.get_counters(worker))["runs_by_key"].items():
                runs[key] = runs.get(key, 0) + number
        return runs

    async def get_counters(self, worker) -> dict:
        answer = await self.request("GET", f"http://127.0.0.1:{worker.port}/counters")
        return json.loads(answer.body)

    async def check_payments(self):
        """Each key ran at most once, and each success that was told has a run."""
        runs = await self.count_runs()
        assert self.paid, "no payment succeeded"
        twice = [key for key, number in runs.items() if number > 1]
        assert not twice, f"ran more than once: {twice}"
        missing = self.paid - set(runs)
        assert not missing, f"told to have run, but did not: {missing}"


def gather(coroutines) -> Deferred:
    running = [Deferred.fromCoroutine(coroutine) for coroutine in coroutines]
    return gatherResults(running, consumeErrors=True)


def run_mesh(monkeypatch, test):
    """Run ``test(mesh)`` and end all processes that it started."""
    # The children run the package that the tests import.
    root = Path(bamboocove.__file__).parent.parent
    monkeypatch.setenv("PYTHONPATH", str(root))
    fleets = []

    async def run(reactor):
        # Calls use connections again, as the closed ones would use up the ports
        # of the machine; none is repeated, as that would hide one that was cut.
        pool = HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        clients = [
            HTTPClient(Agent(reactor, connectTimeout=2, pool=pool))
            for pool in (None, pool)
        ]
        fleets.append(Fleet(reactor, SETTINGS))
        # Without signal handlers the reactor does not learn of ended children.
        loop = LoopingCall(reapAllProcesses)
        loop.clock = reactor
        loop.start(POLL_S)
        mesh = Mesh(reactor, fleets[0], *clients)
        await test(mesh)
        for failure in mesh.failures:
            failure.raiseException()

    try:
        run_with_reactor(run, TEST_LIMIT_S)
    finally:
        for fleet in fleets:
            end_children(fleet)


def end_children(fleet):
    fleet.kill()
    deadline = time.monotonic() + WAIT_S
    while any(child.pid in reapProcessHandlers for child in fleet.children):
        reapAllProcesses()
        assert time.monotonic() < deadline, "children were not ended"
        time.sleep(0.02)
