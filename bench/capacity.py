"""Measures the figures of docs/CAPACITY.md with real processes on loopback.

    python bench/capacity.py                     # all parts, below 8 minutes
    python bench/capacity.py --quick             # all parts, below 90 s
    python bench/capacity.py calls control --json figures.json

The benchmark starts every process itself and terminates it by process id. If a
part fails, the failure is reported and the remaining parts still run.
"""

import argparse
import json
import os
import platform
import signal
import sys
import time
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from bench.capacity_calls import measure_calls, print_calls  # noqa: E402
from bench.capacity_control import measure_control, print_control  # noqa: E402
from bench.capacity_fleet import (  # noqa: E402
    FleetRuns,
    print_convergence,
    print_store,
    summarize_convergence,
    summarize_store,
)
from bench.processes import ProcessGroup, open_process_group  # noqa: E402

# A run that takes longer is aborted and all of its processes are terminated.
TIMEOUT_S = 600
QUICK_TIMEOUT_S = 240

MeasureFunction = Callable[[ProcessGroup, bool], dict[str, Any]]
PrintFunction = Callable[[dict[str, Any]], None]

_fleet_runs = FleetRuns()


def measure_store(processes: ProcessGroup, is_quick: bool) -> dict[str, Any]:
    """Return the read and write load of fleets on the platform."""
    return summarize_store(_fleet_runs.get(is_quick))


def measure_convergence(processes: ProcessGroup, is_quick: bool) -> dict[str, Any]:
    """Return the times from publishing a change to its application on the nodes."""
    return summarize_convergence(_fleet_runs.get(is_quick))


PARTS_BY_NAME: dict[str, tuple[MeasureFunction, PrintFunction]] = {
    "calls": (measure_calls, print_calls),
    "control": (measure_control, print_control),
    "store": (measure_store, print_store),
    "convergence": (measure_convergence, print_convergence),
}


def _exit_on_signal(signum: int, frame: Any) -> None:
    # SystemExit is no subclass of Exception, so that `main` does not catch it and
    # go on with the next part.
    raise SystemExit(f"terminated by {signal.Signals(signum).name}")


def run_part(name: str, is_quick: bool) -> dict[str, Any]:
    """Run one part, print its table and return its figures."""
    measure, print_figures = PARTS_BY_NAME[name]
    started_at = time.monotonic()
    load_average = os.getloadavg()[0]
    with open_process_group() as processes:
        figures = measure(processes, is_quick)
    figures["load_average_before"] = load_average
    figures["took_s"] = round(time.monotonic() - started_at, 1)
    print_figures(figures)
    print(f"{name} took {figures['took_s']} s\n", flush=True)
    return figures


def main() -> int:
    """Run the parts named on the command line and return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument(
        "parts", nargs="*", metavar="PART", help=", ".join(PARTS_BY_NAME)
    )
    parser.add_argument(
        "--quick", action="store_true", help="shorter runs and smaller fleets"
    )
    parser.add_argument(
        "--json", metavar="FILE", help="also write the figures to a JSON file"
    )
    args = parser.parse_args()
    # Makes the roles of bench/hop.py import this source tree instead of an
    # installed copy of the package.
    os.environ["PYTHONPATH"] = str(ROOT)
    unknown_parts = sorted(set(args.parts) - set(PARTS_BY_NAME))
    if unknown_parts:
        parser.error(
            f"unknown part {', '.join(unknown_parts)}; "
            f"choose from {', '.join(PARTS_BY_NAME)}"
        )
    signal.signal(signal.SIGALRM, _exit_on_signal)
    signal.signal(signal.SIGTERM, _exit_on_signal)
    signal.alarm(QUICK_TIMEOUT_S if args.quick else TIMEOUT_S)
    report: dict[str, Any] = {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "is_quick": args.quick,
        "parts": {},
        "failed": {},
    }
    names = args.parts or list(PARTS_BY_NAME)
    _fleet_runs.with_restart = "store" in names
    for name in names:
        try:
            report["parts"][name] = run_part(name, args.quick)
        except Exception as error:
            traceback.print_exc()
            report["failed"][name] = f"{type(error).__name__}: {error}"
    if args.json:
        Path(args.json).write_text(json.dumps(report, indent=1) + "\n")
    return 1 if report["failed"] else 0


if __name__ == "__main__":
    sys.exit(main())
