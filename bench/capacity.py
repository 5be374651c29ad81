"""Measures the figures of docs/CAPACITY.md on processes over loopback.

    python bench/capacity.py                     # all parts, below 8 minutes
    python bench/capacity.py --quick             # all parts, below 90 s
    python bench/capacity.py calls control --json figures.json

Every process is started here and ended by its id; a part that fails is
reported, and the others still run.
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
from bench.processes import Processes, open_processes  # noqa: E402

# A run that takes longer is ended, with all of its processes.
LIMIT_S = 600
QUICK_LIMIT_S = 240

Measure = Callable[[Processes, bool], dict[str, Any]]
Print = Callable[[dict[str, Any]], None]

_fleets = FleetRuns()


def measure_store(processes: Processes, is_quick: bool) -> dict[str, Any]:
    """Return the load on the platform."""
    return summarize_store(_fleets.get(is_quick))


def measure_convergence(processes: Processes, is_quick: bool) -> dict[str, Any]:
    """Return the times until a change was in force."""
    return summarize_convergence(_fleets.get(is_quick))


PARTS_BY_NAME: dict[str, tuple[Measure, Print]] = {
    "calls": (measure_calls, print_calls),
    "control": (measure_control, print_control),
    "store": (measure_store, print_store),
    "convergence": (measure_convergence, print_convergence),
}


def _end(number: int, frame: Any) -> None:
    # Not an Exception, which would let the next part start.
    raise SystemExit(f"ended by {signal.Signals(number).name}")


def run_part(name: str, is_quick: bool) -> dict[str, Any]:
    """Run one part, print its table and return its figures."""
    measure, show = PARTS_BY_NAME[name]
    began = time.monotonic()
    load = os.getloadavg()[0]
    with open_processes() as processes:
        figures = measure(processes, is_quick)
    figures["load_average_before"] = load
    figures["took_s"] = round(time.monotonic() - began, 1)
    show(figures)
    print(f"{name} took {figures['took_s']} s\n", flush=True)
    return figures


def main() -> int:
    """Run the parts that the command line names; return the exit status."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument(
        "parts", nargs="*", metavar="PART", help=", ".join(PARTS_BY_NAME)
    )
    parser.add_argument("--quick", action="store_true", help="short and small")
    parser.add_argument("--json", metavar="FILE", help="write the figures to a file")
    args = parser.parse_args()
    # Roles of bench/hop.py must not import an installed copy of the package.
    os.environ["PYTHONPATH"] = str(ROOT)
    unknown = sorted(set(args.parts) - set(PARTS_BY_NAME))
    if unknown:
        parser.error(
            f"unknown part {', '.join(unknown)}; there are {', '.join(PARTS_BY_NAME)}"
        )
    signal.signal(signal.SIGALRM, _end)
    signal.signal(signal.SIGTERM, _end)
    signal.alarm(QUICK_LIMIT_S if args.quick else LIMIT_S)
    report: dict[str, Any] = {
        "at": time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime()),
        "python": platform.python_version(),
        "cores": os.cpu_count(),
        "is_quick": args.quick,
        "parts": {},
        "failed": {},
    }
    names = args.parts or list(PARTS_BY_NAME)
    _fleets.with_restart = "store" in names
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
