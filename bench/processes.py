"""Starts, queries and stops the processes of the capacity benchmark.

Processes are terminated by process id only.
"""

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
# The benchmark may use at most half of the machine's memory; this leaves a margin.
MAX_MEMORY_SHARE = 0.45
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 15.0
HTTP_TIMEOUT_S = 10.0


def read_total_memory_mb() -> float:
    """Return the physical memory of the machine in megabytes."""
    return os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 1e6


def fetch_json(url: str, data: bytes | None = None) -> Any:
    """Send an HTTP request, POST if there is data, and return the decoded JSON."""
    request = urllib.request.Request(url, data)
    if data is not None:
        request.add_header("Content-Type", "application/json")
    # Ignore proxies of the environment, which do not serve loopback addresses.
    opener = urllib.request.build_opener(urllib.request.ProxyHandler({}))
    with opener.open(request, timeout=HTTP_TIMEOUT_S) as response:
        return json.loads(response.read())


def wait_until(
    condition: Callable[[], bool], description: str, timeout_s: float = READY_TIMEOUT_S
) -> float:
    """Poll a condition until it is true and return the seconds it took.

    Connection errors count as false. Raises TimeoutError after ``timeout_s``.
    """
    started_at = time.monotonic()
    while True:
        with contextlib.suppress(urllib.error.URLError, ConnectionError):
            if condition():
                return time.monotonic() - started_at
        if time.monotonic() - started_at > timeout_s:
            raise TimeoutError(
                f"timed out after {timeout_s:g} s waiting for {description}"
            )
        time.sleep(0.1)


@define(eq=False)
class ChildProcess:
    """A process started by the benchmark.

    Parameters
    ----------
    name : str
        Name of the process in error messages and in the name of its log file.
    process : Popen
        The process, with pipes for its input and output.
    log_path : Path
        File that receives its standard error.
    ready_line : str
        First line of its output, which it prints when it is ready; empty until
        it was read.
    """

    name: str
    process: subprocess.Popen
    log_path: Path
    ready_line: str = ""

    def read_ready(self) -> str:
        """Return the ready line; raise RuntimeError if the output ends before it."""
        if not self.ready_line:
            self.ready_line = self.process.stdout.readline().strip()
        if not self.ready_line:
            tail = self.log_path.read_text()[-2000:]
            raise RuntimeError(f"{self.name} did not start:\n{tail}")
        return self.ready_line

    def send(self, line: str) -> None:
        """Send a line to the standard input of the process."""
        self.process.stdin.write(line + "\n")
        self.process.stdin.flush()

    def ask(self, line: str) -> Any:
        """Send a line and return the decoded line of JSON that answers it."""
        self.send(line)
        return json.loads(self.process.stdout.readline())

    def read_cpu_s(self) -> float:
        """Return the processor time used so far in seconds."""
        return read_cpu_s(self.process.pid)

    def read_memory_mb(self) -> float:
        """Return the resident memory in megabytes."""
        return read_memory_mb(self.process.pid)


@define(eq=False)
class NodeProcess(ChildProcess):
    """A process that runs a complete node."""

    node_id: str = ""
    zone: str = ""

    def get_port(self, name: str) -> int:
        """Return the port called ``call``, ``peer`` or ``admin`` in the ready line."""
        words = (word.partition("=") for word in self.read_ready().split()[1:])
        return int({key: port for key, _, port in words}[name])

    def get_status(self) -> dict[str, Any]:
        """Return the status that the admin interface reports."""
        return fetch_json(f"http://{HOST}:{self.get_port('admin')}/status")

    def read_applied_times(self) -> dict[int, float]:
        """Return the Unix time at which each revision was applied.

        The times are those of event 201, which the node logs right after it
        swapped the snapshot.
        """
        applied: dict[int, float] = {}
        for at, words in self._read_events("BC201"):
            applied.setdefault(int(words[1]), at)
        return applied

    def read_start_time(self) -> float:
        """Return the Unix time of event 101, logged after the process was loaded."""
        return next(at for at, _ in self._read_events("BC101"))

    def _read_events(self, number: str) -> Iterator[tuple[float, list[str]]]:
        for line in self.log_path.read_text().splitlines():
            words = line.split()
            if len(words) > 4 and words[2] == number:
                at = datetime.fromisoformat(words[0]).replace(tzinfo=UTC)
                yield at.timestamp(), words[3:]


@define(eq=False)
class ProcessGroup:
    """The processes of one measurement.

    Parameters
    ----------
    directory : Path
        Directory for the log files of the processes.
    children : list of ChildProcess
        Processes that have not been stopped.
    platform_url : str
        Base URL of the platform stand-in; empty until it was started.
    """

    directory: Path
    children: list[ChildProcess] = field(factory=list)
    platform_url: str = ""

    def start_platform(self) -> ChildProcess:
        """Start the stand-in for the table service and the object store."""
        child = self._start(
            "platform", ["-m", "bench.child", "bamboocove.standin", "platform"]
        )
        self.platform_url = json.loads(child.read_ready())["table_url"]
        return child

    def start_node(
        self, node_id: str, zone: str, table_url: str = "", **overrides: str
    ) -> NodeProcess:
        """Start a node without waiting until it is ready.

        Parameters
        ----------
        node_id, zone : str
            Settings of the section ``node``.
        table_url : str
            Base URL of the platform; the started stand-in by default.
        **overrides : str
            Further settings, as ``section__name``.
        """
        url = table_url or self.platform_url
        settings = {
            "node.id": node_id,
            "node.zone": zone,
            "platform.table_url": url,
            "platform.object_url": url,
        }
        for key, value in overrides.items():
            settings[key.replace("__", ".", 1)] = value
        arguments = ["-m", "bench.child", "bamboocove.node"]
        for key, value in settings.items():
            arguments += ["--set", f"{key}={value}"]
        child = self._start(node_id, arguments, NodeProcess)
        child.node_id, child.zone = node_id, zone
        return child

    def start_driver(self, role: str, *arguments: str) -> ChildProcess:
        """Start a role of ``bench/drivers.py`` and wait until it is ready."""
        child = self._start(role, ["-m", "bench.drivers", role, *arguments])
        child.read_ready()
        return child

    def start_module(self, name: str, arguments: list[str]) -> ChildProcess:
        """Start Python with these arguments without waiting until it is ready."""
        return self._start(name, arguments)

    def stop(self, child: ChildProcess) -> None:
        """Terminate one process by its id and wait for its exit."""
        self.children.remove(child)
        _terminate([child])

    def stop_all(self) -> None:
        """Terminate all processes by their ids and wait for their exit."""
        _terminate(self.children)
        self.children.clear()

    def check_memory(self) -> float:
        """Return the resident memory of all processes in megabytes.

        Raises MemoryError if it exceeds ``MAX_MEMORY_SHARE`` of the machine.
        """
        used = read_memory_mb(os.getpid())
        for child in self.children:
            with contextlib.suppress(OSError):
                used += child.read_memory_mb()
        if used > MAX_MEMORY_SHARE * read_total_memory_mb():
            raise MemoryError(
                f"processes use {used:.0f} MB, more than {MAX_MEMORY_SHARE:.0%} of RAM"
            )
        return used

    def _start(
        self, name: str, arguments: list[str], child_class: type = ChildProcess
    ) -> Any:
        if len(self.children) >= MAX_PROCESSES:
            raise RuntimeError(f"limit of {MAX_PROCESSES} processes reached")
        path = self.directory / f"{name}-{len(os.listdir(self.directory))}.log"
        environment = {**os.environ, "PYTHONPATH": str(ROOT)}
        with open(path, "wb") as log:
            process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE,
                stderr=log,
                env=environment,
                cwd=ROOT,
                text=True,
            )
        child = child_class(name, process, path)
        self.children.append(child)
        return child


def _terminate(children: list[ChildProcess]) -> None:
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
def open_process_group() -> Iterator[ProcessGroup]:
    """Yield a process group whose processes are terminated when the block exits.

    The directory of their logs is removed as well.
    """
    directory = Path(tempfile.mkdtemp(prefix="bamboocove-bench-"))
    processes = ProcessGroup(directory)
    try:
        yield processes
    finally:
        processes.stop_all()
        shutil.rmtree(directory, ignore_errors=True)
