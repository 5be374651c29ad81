"""Node processes of a soak run, restarted whenever they exit."""

import os
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from typing import Any

from attrs import define
from twisted.internet.error import ProcessExitedAlready
from twisted.internet.protocol import ProcessProtocol
from twisted.python.failure import Failure

from bamboocove.platform.host_settings import SETTINGS_VARIABLE

RESTART_DELAY_S = 0.3
# Events that tell of an exception in a task of a node, which then starts it again.
PROGRAM_ERRORS = ('"event":"node.tick-failed"', '"event":"store.task-failed"')

SETTINGS_TEMPLATE = """\
[self]
nodeName = "{host_id}"
zone = "{zone}"
ip = "{ip}"
service = "{service}"
appAddr = "{worker}"
[network]
advertised = "{advertised}"
[network.listen]
inbound = "{ip}:8300"
outbound = "{ip}:8304"
readiness = "{ip}:8302"
control = "{ip}:8306"
[platform.platform]
address = "{store}"
[terms.bounds]
gracePeriodS = 6
retryBudgetRatio = 0.2
budgetSlack = 60
"""


@define(eq=False, slots=False)
class NodeProcess(ProcessProtocol):
    """One node, restarted whenever its process exits.

    Parameters
    ----------
    host_id : str
        Host that the node runs for.
    folder : Path
        Directory of its settings and its log.
    clock : reactor
        Source of time and processes.
    on_unexpected_exit : callable
        Called with a reason if the process exits although the soak test sent it
        neither SIGTERM nor SIGKILL.

    Attributes
    ----------
    start_number : int
        Number of starts so far.
    is_enabled : bool
        Whether it may be started and is restarted after an exit.
    is_alive : bool
        Whether the process runs.
    is_stopping : bool
        Whether the process was sent SIGTERM or SIGKILL.
    peak_kib : int
        Largest resident memory recorded for any of its processes, in KiB.
    """

    host_id: str
    folder: Path
    clock: Any
    on_unexpected_exit: Callable[[str], None]
    start_number: int = 0
    is_enabled: bool = True
    is_alive: bool = False
    is_stopping: bool = False
    peak_kib: int = 0

    @property
    def log_path(self) -> Path:
        """File that receives the output of the process."""
        return self.folder / f"{self.host_id}.log"

    def write_settings(self, text: str) -> None:
        """Write the settings file."""
        path = self.folder / f"{self.host_id}.toml"
        path.write_text(text, encoding="utf-8")

    def start(self) -> None:
        """Start the process, unless it runs already or the node is disabled."""
        if not self.is_enabled or self.is_alive:
            return
        self.start_number += 1
        self.is_alive = True
        self.is_stopping = False
        environment = dict(os.environ)
        environment[SETTINGS_VARIABLE] = str(self.folder / f"{self.host_id}.toml")
        # As in deploy/system.toml: without the site module, which finds the packages
        # of a virtual environment, so that their folders must be named.
        environment["PYTHONPATH"] = os.pathsep.join(sys.path)
        command = [sys.executable, "-S", "-m", "bamboocove.platform"]
        log = os.open(self.log_path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)
        try:
            self.clock.spawnProcess(
                self,
                command[0],
                command,
                environment,
                childFDs={0: "w", 1: log, 2: log},
            )
        finally:
            os.close(log)

    def processEnded(self, reason: Failure) -> None:
        """Report an unexpected exit and schedule a restart (called by Twisted)."""
        self.is_alive = False
        if not self.is_stopping:
            self.on_unexpected_exit(f"{self.host_id}: {reason.getErrorMessage()}")
        self.clock.callLater(RESTART_DELAY_S, self.start)

    def send_signal(self, number: int) -> None:
        """Send a signal to the process, if it is alive."""
        if not self.is_alive:
            return
        if number in (signal.SIGTERM, signal.SIGKILL):
            self.record_peak_memory()
            self.is_stopping = True
        try:
            self.transport.signalProcess(number)
        except ProcessExitedAlready:
            self.is_alive = False

    def find_program_errors(self) -> list[str]:
        """Return the lines of the log that tell of an exception in a task."""
        lines = self.log_path.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if any(e in line for e in PROGRAM_ERRORS)]

    def record_peak_memory(self) -> None:
        """Update ``peak_kib`` from the peak resident memory of the process."""
        if not self.is_alive:
            return
        try:
            status = Path(f"/proc/{self.transport.pid}/status").read_text()
        except OSError:
            # The process has just exited.
            return
        for line in status.splitlines():
            if line.startswith("VmHWM:"):
                self.peak_kib = max(self.peak_kib, int(line.split()[1]))
