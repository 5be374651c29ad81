"""Processes of the capacity benchmark: start, read, stop, all by process id."""

import contextlib
import json
import os
import shutil
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from datetime import UTC, datetime
from pathlib import Path
from typing import Any

from attrs import define, field

from bench.hop import read_cpu_s, read_memory_mb

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
MAX_PROCESSES = 240
# The rules of the machine allow half of its memory.
MEMORY_SHARE = 0.45
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
HTTP_TIMEOUT_S = 10.0


def read_total_memory_mb() -> float:
    """Return the memory of the machine in megabytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e6


def fetch(url: str, data: bytes | None = None) -> Any:
    """Send an HTTP request and return the JSON of the answer."""
    request = urllib.request.Request(url, data)
    if data is not None:
        request.add_header("Content-Type", "application/json")
    # The environment may name a proxy, which does not serve loopback addresses.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=HTTP_TIMEOUT_S) as response:
        return json.loads(response.read())


def wait_until(
    condition: Callable[[], bool], what: str, timeout_s: float = READY_TIMEOUT_S
) -> float:
    """Poll a condition; return the seconds it took or raise TimeoutError."""
    began = time.monotonic()
    while True:
        with contextlib.suppress(urllib.error.URLError, ConnectionError):
            if condition():
                return time.monotonic() - began
        if time.monotonic() - began > timeout_s:
            raise TimeoutError(f"not in time: {what}")
        time.sleep(0.1)


@define(eq=False)
class Child:
    """One process that the benchmark started.

    Parameters
    ----------
    name : str
        For messages, and the name of its log.
    process : Popen
        The process, with pipes for its input and output.
    log_path : Path
        File with its standard error.
    ready_line : str
        First line of its output, which says that it is ready.
    """

    name: str
    process: subprocess.Popen
    log_path: Path
    ready_line: str = ""

    def read_ready(self) -> str:
        """Wait for the first line of output."""
        if not self.ready_line:
            self.ready_line = self.process.stdout.readline().strip()
        if not self.ready_line:
            tail = self.log_path.read_text()[-2000:]
            raise RuntimeError(f"{self.name} did not start:\n{tail}")
        return self.ready_line

    def send(self, line: str) -> None:
        """Send a line to its input."""
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def ask(self, line: str) -> Any:
        """Send a line and read a line of JSON."""
        self.send(line)
        return json.loads(self.process.stdout.readline())

    def read_cpu_s(self) -> float:
        """Return the processor time so far in seconds."""
        return read_cpu_s(self.process.pid)

    def read_memory_mb(self) -> float:
        """Return the resident memory in megabytes."""
        return read_memory_mb(self.process.pid)


@define(eq=False)
class NodeChild(Child):
    """A whole node."""

    node_id: str = ""
    zone: str = ""

    def get_port(self, name: str) -> int:
        """Return the port ``call``, ``peer`` or ``admin``."""
        words = (word.partition("=") for word in self.read_ready().split()[1:])
        return int({key: port for key, _, port in words}[name])

    def get_status(self) -> dict[str, Any]:
        """Return the answer of the admin interface."""
        return fetch(f"http://{HOST}:{self.get_port('admin')}/status")

    def read_applied(self) -> dict[int, float]:
        """Return the Unix time at which each revision came into force.

        The times are those of event 201, which the node logs right after the
        snapshot was swapped.
        """
        applied: dict[int, float] = {}
        for at, words in self._read_events("BC201"):
            applied.setdefault(int(words[1]), at)
        return applied

    def read_started(self) -> float:
        """Return the Unix time of event 101, after the process was loaded."""
        return next(at for at, _ in self._read_events("BC101"))

    def _read_events(self, number: str) -> Iterator[tuple[float, list[str]]]:
        for line in self.log_path.read_text().splitlines():
            words = line.split()
            if len(words) > 4 and words[2] == number:
                at = datetime.fromisoformat(words[0]).replace(tzinfo=UTC)
                yield at.timestamp(), words[3:]


@define(eq=False)
class Processes:
    """All processes of one measurement.

    Parameters
    ----------
    directory : Path
        For their logs.
    """

    directory: Path
    children: list[Child] = field(factory=list)
    platform_url: str = ""

    def start_platform(self) -> Child:
        """Start the stand-in of the table service and the object store."""
        child = self._start(
            "platform", ["-m", "bench.child", "bamboocove.standin", "platform"]
        )
        self.platform_url = json.loads(child.read_ready())["table_url"]
        return child

    def start_node(
        self, node_id: str, zone: str, table_url: str = "", **overrides: str
    ) -> NodeChild:
        """Start a node, without waiting until it is ready.

        Parameters
        ----------
        node_id, zone : str
            Settings of the section ``node``.
        table_url : str
            Where it finds the platform; the stand-in by default.
        **overrides : str
            Further settings, as ``section__name``.
        """
        url = table_url or self.platform_url
        texts = {
            "node.id": node_id,
            "node.zone": zone,
            "platform.table_url": url,
            "platform.object_url": url,
        }
        for key, value in overrides.items():
            texts[key.replace("__", ".", 1)] = value
        words = ["-m", "bench.child", "bamboocove.node"]
        for key, value in texts.items():
            words += ["--set", f"{key}={value}"]
        child = self._start(node_id, words, NodeChild)
        child.node_id, child.zone = node_id, zone
        return child

    def start_driver(self, role: str, *words: str) -> Child:
        """Start a role of ``bench/drivers.py`` and wait until it is ready."""
        child = self._start(role, ["-m", "bench.drivers", role, *words])
        child.read_ready()
        return child

    def start_module(self, name: str, words: list[str]) -> Child:
        """Start Python with these words, without waiting until it is ready."""
        return self._start(name, words)

    def stop(self, child: Child) -> None:
        """End one process by its id and wait for it."""
        self.children.remove(child)
        _terminate([child])

    def stop_all(self) -> None:
        """End all processes by their ids and wait for them."""
        _terminate(self.children)
        self.children.clear()

    def check_memory(self) -> float:
        """Return the memory of all processes in MB; raise if it is too much."""
        used = read_memory_mb(os.getpid())
        for child in self.children:
            with contextlib.suppress(OSError):
                used += child.read_memory_mb()
        if used > MEMORY_SHARE * read_total_memory_mb():
            raise MemoryError(f"the processes use {used:.0f} MB")
        return used

    def _start(self, name: str, words: list[str], kind: type = Child) -> Any:
        if len(self.children) >= MAX_PROCESSES:
            raise RuntimeError(f"more than {MAX_PROCESSES} processes")
        path = self.directory / f"{name}-{len(os.listdir(self.directory))}.log"
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with open(path, "wb") as log:
            process = subprocess.Popen(
                [sys.executable, *words],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env=environment,
                cwd=ROOT,
                text=True,
            )
        child = kind(name, process, path)
        self.children.append(child)
        return child


def _terminate(children: list[Child]) -> None:
    for child in children:
        child.process.stdin.close()
        child.process.terminate()
    deadline = time.monotonic() + STOP_TIMEOUT_S
    for child in children:
        try:
            child.process.wait(max(0.1, deadline - time.monotonic()))
        except subprocess.TimeoutExpired:
            child.process.kill()
            child.process.wait()
        child.process.stdout.close()


@contextlib.contextmanager
def open_processes() -> Iterator[Processes]:
    """Give processes that are all ended at the end of the block."""
    directory = Path(tempfile.mkdtemp(prefix="bamboocove-bench-"))
    processes = Processes(directory)
    try:
        yield processes
    finally:
        processes.stop_all()
        shutil.rmtree(directory, ignore_errors=True)
