"""Command line of the soak test: run one seed, or several in parallel."""

import json
import signal
import subprocess
import sys
import time
from pathlib import Path
from tempfile import mkdtemp
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option

from soak.report import summarize, write_plot
from soak.run import RunOptions, run_seed


class RunCommand(Command):
    """Runs the soak test for one seed."""

    name = "run"
    description = "run real nodes under faults generated from a seed"
    options = [
        option(
            "seed",
            None,
            "seed of the faults and the load; the time if missing",
            flag=False,
        ),
        option(
            "duration",
            None,
            "seconds during which faults are injected",
            flag=False,
            default="20",
        ),
        option("hosts", None, "hosts at the start", flag=False, default="9"),
        option("rate", None, "requests/s on each host", flag=False, default="8"),
        option(
            "network",
            None,
            "use addresses in 127.NETWORK.0.0/16",
            flag=False,
            default="20",
        ),
        option("folder", None, "directory for logs and the report", flag=False),
        option("series", None, "also repeat faults in quick succession", flag=True),
        option("planned", None, "only stops, signals and changes", flag=True),
        option("plot", None, "also write a plot (needs matplotlib)", flag=True),
    ]

    def handle(self) -> int:
        """Run the seed; return exit status 1 if a check failed."""
        seed = int(self.option("seed") or time.time())
        folder = Path(self.option("folder") or mkdtemp(prefix=f"soak-{seed}-"))
        folder.mkdir(parents=True, exist_ok=True)
        options = RunOptions(
            seed,
            float(self.option("duration")),
            int(self.option("hosts")),
            float(self.option("rate")),
            int(self.option("network")),
            folder,
            bool(self.option("series")),
            bool(self.option("planned")),
        )
        journal = run_seed(options)
        report = summarize(journal)
        text = json.dumps(report, indent=1)
        (folder / "report.json").write_text(text, encoding="utf-8")
        if self.option("plot"):
            write_plot(journal, folder / "report.png")
        self.line(json.dumps({**report, "folder": str(folder)}))
        return 1 if report["broken"] else 0


class ManyCommand(Command):
    """Runs several seeds in parallel processes."""

    name = "many"
    description = "run several seeds, with series of faults, in parallel"
    options = [
        option("first", None, "first seed; the time if missing", flag=False),
        option("count", None, "number of seeds", flag=False, default="10"),
        option(
            "jobs", None, "maximum number of parallel runs", flag=False, default="3"
        ),
        option(
            "duration",
            None,
            "seconds during which faults are injected",
            flag=False,
            default="20",
        ),
        option("hosts", None, "hosts at the start", flag=False, default="9"),
        option("rate", None, "requests/s on each host", flag=False, default="8"),
        option("folder", None, "directory for logs and reports", flag=False),
        option("planned", None, "only stops, signals and changes", flag=True),
    ]

    def handle(self) -> int:
        """Run the seeds; return exit status 1 if any run failed."""
        first = int(self.option("first") or time.time())
        folder = Path(self.option("folder") or mkdtemp(prefix="soak-"))
        seeds = list(range(first, first + int(self.option("count"))))
        jobs = int(self.option("jobs"))
        running: dict[int, Any] = {}
        signal.signal(signal.SIGTERM, lambda number, frame: sys.exit(1))
        try:
            failed = self._run_seeds(seeds, jobs, folder, running)
        finally:
            for process in running.values():
                process.terminate()
        self.line(f"{failed} of {self.option('count')} runs failed")
        return 1 if failed else 0

    def _run_seeds(
        self, seeds: list[int], jobs: int, folder: Path, running: dict[int, Any]
    ) -> int:
        failed = 0
        while seeds or running:
            while seeds and len(running) < jobs:
                seed = seeds.pop(0)
                network = next(n for n in range(20, 20 + jobs) if n not in running)
                running[network] = self._start(seed, network, folder / str(seed))
            time.sleep(0.2)
            for network, process in list(running.items()):
                if process.poll() is not None:
                    output, _ = process.communicate()
                    self.line(output.strip() or f"no report from {process.args}")
                    failed += process.returncode != 0
                    del running[network]
        return failed

    def _start(self, seed: int, network: int, folder: Path) -> Any:
        command = [sys.executable, "-m", "soak", "run", "--seed", str(seed)]
        command += ["--network", str(network), "--folder", str(folder)]
        for name in ("duration", "hosts", "rate"):
            command += [f"--{name}", self.option(name)]
        command.append("--planned" if self.option("planned") else "--series")
        return subprocess.Popen(command, stdout=subprocess.PIPE, text=True)


def main() -> None:
    """Run the command line application."""
    application = Application("soak")
    application.add(RunCommand())
    application.add(ManyCommand())
    application.run()


if __name__ == "__main__":
    main()
