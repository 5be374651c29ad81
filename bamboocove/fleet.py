"""Runs nodes and stand-ins as child processes, for the demo and for tests."""

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
    """Child process that is ready once it has printed its first line.

    Parameters
    ----------
    log : list of str
        Last lines of the child's standard error.
    """

    MAX_LOG_LINES = 400

    def __init__(self):
        self.ready: Deferred = Deferred()
        self.ended: Deferred = Deferred()
        self.log: list[str] = []
        self.pid = 0
        self.is_alive = True
        self._output = b""

    def connectionMade(self) -> None:
        """Store the process id; called by Twisted."""
        self.pid = self.transport.pid

    def outReceived(self, data: bytes) -> None:
        """Fire ``ready`` with the first line of output; called by Twisted."""
        self._output += data
        line, newline, _ = self._output.partition(b"\n")
        if newline and not self.ready.called:
            self.ready.callback(line.decode())

    def errReceived(self, data: bytes) -> None:
        """Append log lines and drop the oldest ones; called by Twisted."""
        self.log += data.decode("utf-8", "replace").splitlines()
        del self.log[: -self.MAX_LOG_LINES]

    def processEnded(self, reason: Failure) -> None:
        """Fire ``ended``, and fail ``ready`` if it is pending; called by Twisted."""
        self.is_alive = False
        if not self.ready.called:
            text = "\n".join(self.log[-20:])
            self.ready.errback(RuntimeError(f"process ended before ready:\n{text}"))
        self.ended.callback(None)

    def send_signal(self, number: int) -> None:
        """Send a signal unless the child has exited."""
        if not self.is_alive:
            return
        try:
            self.transport.signalProcess(number)
        except ProcessExitedAlready:
            self.is_alive = False


@define
class NodeProcess:
    """A running node and the ports that it printed."""

    node_id: str
    zone: str
    process: ChildProcess
    ports_by_name: dict[str, int]

    @property
    def call_url(self) -> str:
        """URL to which callers send calls."""
        return f"http://{HOST}:{self.ports_by_name['call']}"

    @property
    def admin_url(self) -> str:
        """URL of the admin interface for operators and workers."""
        return f"http://{HOST}:{self.ports_by_name['admin']}"


@define
class WorkerProcess:
    """A running worker stand-in that announces itself to a node."""

    service: str
    version: str
    port: int
    node: NodeProcess
    process: ChildProcess


@define(eq=False)
class Fleet:
    """Starts and stops the child processes of a demo or test.

    Parameters
    ----------
    reactor : reactor
        Twisted reactor.
    settings_by_key : dict of (str, str) to str
        Settings that are passed to every node.
    """

    reactor: Any
    settings_by_key: Mapping[tuple[str, str], str] = field(factory=dict)
    platform_url: str = ""
    nodes_by_id: dict[str, NodeProcess] = field(factory=dict)
    workers: list[WorkerProcess] = field(factory=list)
    children: list[ChildProcess] = field(factory=list)

    async def start_platform(self) -> ChildProcess:
        """Start the stand-in of the table service and the object store."""
        child, line = await self._spawn("bamboocove.standin", "platform")
        self.platform_url = json.loads(line)["table_url"]
        return child

    async def start_node(
        self, node_id: str, zone: str, **overrides: str
    ) -> NodeProcess:
        """Start a node and wait until it is ready.

        Parameters
        ----------
        node_id, zone : str
            Settings ``id`` and ``zone`` of the section ``node``.
        **overrides : str
            Further settings, with keys of the form ``section__name``.
        """
        values_by_key = {
            ("node", "id"): node_id,
            ("node", "zone"): zone,
            ("platform", "table_url"): self.platform_url,
            ("platform", "object_url"): self.platform_url,
            **self.settings_by_key,
        }
        for key, value in overrides.items():
            section, _, name = key.partition("__")
            values_by_key[section, name] = value
        options = [
            word
            for (section, name), value in values_by_key.items()
            for word in ("--set", f"{section}.{name}={value}")
        ]
        child, line = await self._spawn("bamboocove.node", *options)
        pairs = (word.partition("=") for word in line.split()[1:])
        ports = {name: int(port) for name, _, port in pairs}
        node = NodeProcess(node_id, zone, child, ports)
        self.nodes_by_id[node_id] = node
        return node

    async def start_worker(
        self, node: NodeProcess, service: str, version: str, *options: str
    ) -> WorkerProcess:
        """Start a worker stand-in that announces itself to a node."""
        child, line = await self._spawn(
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
        """Send SIGTERM to all children, and SIGKILL to those left after the timeout."""
        for child in self.children:
            child.send_signal(signal.SIGTERM)
        ended = DeferredList([child.ended for child in self.children])
        ended.addTimeout(STOP_TIMEOUT_S, self.reactor)
        try:
            await ended
        except TimeoutError:
            self.kill()

    def kill(self) -> None:
        """Send SIGKILL to all children."""
        for child in self.children:
            child.send_signal(signal.SIGKILL)

    async def _spawn(self, module: str, *arguments: str) -> tuple[ChildProcess, str]:
        child = ChildProcess()
        self.reactor.spawnProcess(
            child, sys.executable, [sys.executable, "-m", module, *arguments], env=None
        )
        self.children.append(child)
        child.ready.addTimeout(READY_TIMEOUT_S, self.reactor)
        return child, await child.ready
