"""Starts stand-ins and nodes as processes, for the demo and for tests."""

import json
import signal
import sys
from collections.abc import Mapping
from typing import Any

from attrs import define, field
from twisted.internet.defer import Deferred, DeferredList
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

READY_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
HOST = "127.0.0.1"


class ChildProcess(ProcessProtocol):
    """One child, known to be ready by its first line of output.

    Parameters
    ----------
    log : list of str
        Lines of the child's standard error, the newest last.
    """

    LOG_LINES = 400

    def __init__(self):
        self.ready: Deferred = Deferred()
        self.ended: Deferred = Deferred()
        self.log: list[str] = []
        self.pid = 0
        self.is_alive = True
        self._output = b""

    def connectionMade(self) -> None:
        """Note the process id; named by Twisted."""
        self.pid = self.transport.pid

    def outReceived(self, data: bytes) -> None:
        """Look for the line that says the child is ready; named by Twisted."""
        self._output += data
        line, newline, _ = self._output.partition(b"\n")
        if newline and not self.ready.called:
            self.ready.callback(line.decode())

    def errReceived(self, data: bytes) -> None:
        """Keep the newest log lines; named by Twisted."""
        self.log += data.decode("utf-8", "replace").splitlines()
        del self.log[: -self.LOG_LINES]

    def processEnded(self, reason: Failure) -> None:
        """Report the end; named by Twisted."""
        self.is_alive = False
        if not self.ready.called:
            text = "\n".join(self.log[-20:])
            self.ready.errback(RuntimeError(f"process ended before ready:\n{text}"))
        self.ended.callback(None)

    def send_signal(self, number: int) -> None:
        """Send a signal if the child still runs."""
        if not self.is_alive:
            return
        try:
            self.transport.signalProcess(number)
        except ProcessExitedAlready:
            self.is_alive = False


@define
class NodeProcess:
    """A node and the ports that it reported."""

    node_id: str
    zone: str
    process: ChildProcess
    ports_by_name: dict[str, int]

    @property
    def call_url(self) -> str:
        """Where callers send calls."""
        return f"http://{HOST}:{self.ports_by_name['call']}"

    @property
    def admin_url(self) -> str:
        """Where operators and workers connect."""
        return f"http://{HOST}:{self.ports_by_name['admin']}"


@define
class WorkerProcess:
    """A worker stand-in beside a node."""

    service: str
    version: str
    port: int
    node: NodeProcess
    process: ChildProcess


@define(eq=False)
class Fleet:
    """All child processes of a demo or test.

    Parameters
    ----------
    reactor : reactor
        Twisted reactor.
    settings_by_key : dict of (str, str) to str
        Settings that every node gets.
    """

    reactor: Any
    settings_by_key: Mapping[tuple[str, str], str] = field(factory=dict)
    platform_url: str = ""
    nodes_by_id: dict[str, NodeProcess] = field(factory=dict)
    workers: list[WorkerProcess] = field(factory=list)
    children: list[ChildProcess] = field(factory=list)

    async def start_platform(self) -> ChildProcess:
        """Start the stand-in of the table service and the object store."""
        child, line = await self._start("bamboocove.standin", "platform")
        self.platform_url = json.loads(line)["table_url"]
        return child

    async def start_node(
        self, node_id: str, zone: str, **overrides: str
    ) -> NodeProcess:
        """Start a node.

        Parameters
        ----------
        node_id, zone : str
            Settings of the section ``node``.
        **overrides : str
            Further settings, as ``section__name``.
        """
        texts = {
            ("node", "id"): node_id,
            ("node", "zone"): zone,
            ("platform", "table_url"): self.platform_url,
            ("platform", "object_url"): self.platform_url,
            **self.settings_by_key,
        }
        for key, value in overrides.items():
            section, _, name = key.partition("__")
            texts[section, name] = value
        options = [
            word
            for (section, name), value in texts.items()
            for word in ("--set", f"{section}.{name}={value}")
        ]
        child, line = await self._start("bamboocove.node", *options)
        words = (word.partition("=") for word in line.split()[1:])
        ports = {name: int(port) for name, _, port in words}
        node = NodeProcess(node_id, zone, child, ports)
        self.nodes_by_id[node_id] = node
        return node

    async def start_worker(
        self, node: NodeProcess, service: str, version: str, *options: str
    ) -> WorkerProcess:
        """Start a worker stand-in that announces itself to a node."""
        child, line = await self._start(
            "bamboocove.standin",
            "worker",
            "--service",
            service,
            "--service-version",
            version,
            "--admin-url",
            node.admin_url,
            *options,
        )
        port = json.loads(line)["port"]
        worker = WorkerProcess(service, version, port, node, child)
        self.workers.append(worker)
        return worker

    async def stop(self) -> None:
        """End all children: SIGTERM to all, then SIGKILL to those that stay."""
        for child in self.children:
            child.send_signal(signal.SIGTERM)
        ended = DeferredList([child.ended for child in self.children])
        ended.addTimeout(STOP_TIMEOUT_S, self.reactor)
        try:
            await ended
        except TimeoutError:
            self.kill()

    def kill(self) -> None:
        """End all children at once."""
        for child in self.children:
            child.send_signal(signal.SIGKILL)

    async def _start(self, module: str, *words: str) -> tuple[ChildProcess, str]:
        child = ChildProcess()
        self.reactor.spawnProcess(
            child, sys.executable, [sys.executable, "-m", module, *words], env=None
        )
        self.children.append(child)
        child.ready.addTimeout(READY_TIMEOUT_S, self.reactor)
        return child, await child.ready
