"""Fleets of node and worker processes for tests, with clients that call them."""

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

WAIT_TIMEOUT_S = 30.0
TEST_TIMEOUT_S = 100.0
# Limits stated in docs/design.md: until an accepted edit is applied on all nodes,
# and until a draining worker receives no new calls.
CONVERGENCE_LIMIT_S = 14.0
DRAIN_LIMIT_S = 5.0
LEASE_S = 3.0
POLL_INTERVAL_S = 0.1
# Longer than a node takes to restart, so that payers retry after a restart.
PAYMENT_TIMEOUT_S = 10.0
ZONES = ("zone-1", "zone-2", "zone-3")
NODE_SETTINGS = {
    ("moves", "lease_s"): str(LEASE_S),
    ("moves", "step_s"): "1",
    ("moves", "window_s"): "0.5",
}
CONFIG_TEXT = """\
tenant: kozje-mleko
services:
  ledger:
    version: v1
    routes:
      read: {path: /accounts, timeout: 8s}
      pay: {path: /payments, methods: [POST], idempotent: false, timeout: 8s}
"""
ROUTE_ENTRY = "      extra-%d: {path: /extra-%d}\n"
MOVE_ENTRY = "moves:\n  - {service: ledger, to: v2, by: 2099-01-01T00:00:00+00:00}\n"


def make_text(extra=0, moves=""):
    """Return a configuration text with ``extra`` additional routes.

    Their paths are ``/extra-1`` to ``/extra-<extra>``.
    """
    routes = "".join(ROUTE_ENTRY % (number, number) for number in range(1, extra + 1))
    return CONFIG_TEXT + routes + moves


@frozen
class Answer:
    """Response to a call; status 0 if the connection failed."""

    status: int
    run: str = ""
    body: bytes = b""


@define(eq=False)
class Mesh:
    """A fleet of processes with its callers and payers."""

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
        """Start nodes, spread over the zones, and workers of ledger v1 beside them."""
        await self.fleet.start_platform()
        starts = [
            self.fleet.start_node(f"node-{number}", ZONES[number % len(ZONES)])
            for number in range(nodes)
        ]
        self.nodes = await gather(starts)
        await self.start_workers(workers, "v1", *options)
        await self.apply_everywhere(make_text())
        await gather([self.wait_until(lambda n=n: self.serves(n)) for n in self.nodes])

    async def start_workers(self, number, version, *options) -> list[WorkerProcess]:
        beside = islice(cycle(self.nodes), number)
        start = self.fleet.start_worker
        return await gather(
            [start(node, "ledger", version, *options) for node in beside]
        )

    async def restart(self, node, seeds=()):
        """Restart an exited node with the same identifier and ports."""
        await self.wait_until(lambda: not node.process.is_alive)
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
        # Processes are killed during calls, so that any exception may occur.
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
        """Return the JSON response of a node's admin interface; None unless 200."""
        answer = await self.request("GET", node.admin_url + path)
        return json.loads(answer.body) if answer.status == 200 else None

    async def get_revision(self, node) -> int:
        status = await self.fetch(node, "/status")
        return status["revision"] if status else 0

    async def has_revision(self, node, revision) -> bool:
        return await self.get_revision(node) >= revision

    async def get_history(self, node) -> list[dict]:
        """Return the whole history; assert that no revision is missing."""
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
        """Apply a text and wait, within the stated limit, until all nodes have it."""
        node = node or self.nodes[0]
        base = (await self.fetch(node, "/status"))["text_revision"]
        answer = await self.apply(node, text, base)
        assert answer.status == 200, answer
        revision = json.loads(answer.body)["revision"]
        await self.wait_for_revision(revision)
        return revision

    async def make_step(self, node, number) -> str:
        """Replace the last move by a new one; return the author of its first step.

        The first step needs no evidence, so that any node may publish it.
        """
        if number:
            await self.apply_everywhere(make_text(), node)
        text = make_text(moves=MOVE_ENTRY.replace("2099", f"{2060 + number}"))
        revision = await self.apply_everywhere(text, node)
        await self.wait_until(lambda: self.has_revision(node, revision + 1))
        return (await self.get_history(node))[revision]["author"]

    async def wait_for_revision(self, revision, limit_s=CONVERGENCE_LIMIT_S):
        async def is_everywhere():
            revisions = await gather([self.get_revision(node) for node in self.nodes])
            return min(revisions) >= revision

        await self.wait_until(is_everywhere, limit_s)

    async def wait_until(self, condition, limit_s=WAIT_TIMEOUT_S):
        """Poll a function or coroutine function until it returns True."""
        deadline = self.reactor.seconds() + limit_s
        while True:
            result = condition()
            if not isinstance(result, bool):
                result = await result
            if result:
                return
            assert self.reactor.seconds() < deadline, (
                f"condition is not met after {limit_s} s"
            )
            await self.sleep(POLL_INTERVAL_S)

    def sleep(self, seconds) -> Deferred:
        return deferLater(self.reactor, seconds)

    def start_background(self, coroutine):
        """Start a coroutine whose failure fails the test at its end."""
        Deferred.fromCoroutine(coroutine).addErrback(self.failures.append)

    def start_callers(self, nodes=None):
        """Call nodes continuously until the end of the test and record statuses."""

        async def call_always(node):
            while True:
                self.statuses.add((await self.call(node, "/accounts")).status)

        for node in (nodes or self.nodes) * 2:
            self.start_background(call_always(node))

    def start_payers(self, number) -> Deferred:
        """Start payers that pay sequentially while ``is_paying`` is set."""
        return gather([self._make_payments(f"payer-{n}") for n in range(number)])

    async def _make_payments(self, payer):
        number = 0
        while self.is_paying:
            number += 1
            await self._make_payment(f"{payer}-{number}", number)
            await self.sleep(POLL_INTERVAL_S)

    async def _make_payment(self, key, first):
        self.payments.append(key)
        ends_at = self.reactor.seconds() + PAYMENT_TIMEOUT_S
        for attempt in count(first):
            answer = await self.pay(self.nodes[attempt % len(self.nodes)], key)
            if answer.status == 200:
                self.paid.add(key)
            if answer.status == 200 or self.reactor.seconds() > ends_at:
                return
            await self.sleep(0.3)

    async def count_runs(self) -> dict[str, int]:
        """Return the runs of each idempotency key, summed over all workers."""
        runs = {}
        for worker in self.fleet.workers:
            for key, number in (await self.get_counters(worker))["runs_by_key"].items():
                runs[key] = runs.get(key, 0) + number
        return runs

    async def get_counters(self, worker) -> dict:
        answer = await self.request("GET", f"http://127.0.0.1:{worker.port}/counters")
        return json.loads(answer.body)

    async def check_payments(self):
        """Assert that no key ran twice and that each reported success has a run."""
        runs = await self.count_runs()
        assert self.paid, "no payment succeeded"
        twice = [key for key, number in runs.items() if number > 1]
        assert not twice, f"ran more than once: {twice}"
        missing = self.paid - set(runs)
        assert not missing, f"reported as successful, but not run: {missing}"


def gather(coroutines) -> Deferred:
    running = [Deferred.fromCoroutine(coroutine) for coroutine in coroutines]
    return gatherResults(running, consumeErrors=True)


def run_mesh(monkeypatch, test):
    """Run ``test(mesh)`` and kill all processes that it started."""
    # Child processes import the same package as the tests.
    root = Path(bamboocove.__file__).parent.parent
    monkeypatch.setenv("PYTHONPATH", str(root))
    fleets = []

    async def run(reactor):
        # Calls reuse connections, since closed ones would exhaust the ports of the
        # machine. They are not retried, which would hide an interrupted call.
        pool = HTTPConnectionPool(reactor)
        pool.retryAutomatically = False
        clients = [
            HTTPClient(Agent(reactor, connectTimeout=2, pool=pool))
            for pool in (None, pool)
        ]
        fleets.append(Fleet(reactor, NODE_SETTINGS))
        # Without signal handlers the reactor does not notice children that exited.
        loop = LoopingCall(reapAllProcesses)
        loop.clock = reactor
        loop.start(POLL_INTERVAL_S)
        mesh = Mesh(reactor, fleets[0], *clients)
        await test(mesh)
        for failure in mesh.failures:
            failure.raiseException()

    try:
        run_with_reactor(run, TEST_TIMEOUT_S)
    finally:
        for fleet in fleets:
            end_children(fleet)


def end_children(fleet):
    fleet.kill()
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while any(child.pid in reapProcessHandlers for child in fleet.children):
        reapAllProcesses()
        assert time.monotonic() < deadline, "children have not exited"
        time.sleep(0.02)
