"""Command line of ``bamboocove-replay``, which replays and generates traces."""

from pathlib import Path

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import argument, option
from logbook import NullHandler

from bamboocove.errors import ErrorResult
from bamboocove.measures import (
    FAULTS,
    VERSIONS,
    Case,
    format_summary,
    format_table,
    make_cases,
    make_trace,
    run_cases,
)
from bamboocove.simulation import Outcome, replay_trace
from bamboocove.traces import Expected, read_trace, write_trace


def compare_outcome(expected: Expected, outcome: Outcome) -> list[str]:
    """Return the differences between the expected and the actual outcome."""
    differences = []
    if outcome.phase != expected.phase:
        differences.append(f"phase {outcome.phase}, not {expected.phase}")
    if outcome.in_time != expected.in_time:
        differences.append(f"in time {outcome.in_time}, not {expected.in_time}")
    if outcome.share_max > expected.share_max:
        differences.append(f"share {outcome.share_max}, above {expected.share_max}")
    if expected.reason not in outcome.reason:
        differences.append(f"reason {outcome.reason!r} lacks {expected.reason!r}")
    return differences


def replay_file(path: Path) -> tuple[Outcome | None, list[str]]:
    """Replay a recorded trace and compare its outcome with the expected one.

    Returns
    -------
    outcome : Outcome or None
        None if the file is not a valid trace.
    differences : list of str
        Reasons why the file is invalid, or differences from the expected
        outcome; empty if the trace passed.
    """
    records = read_trace(path)
    if isinstance(records, ErrorResult):
        return None, [records.reason]
    outcome = replay_trace(records)
    expected = [record for record in records if isinstance(record, Expected)]
    if not expected:
        return outcome, ["no stated outcome"]
    return outcome, compare_outcome(expected[-1], outcome)


class TracesCommand(Command):
    """Replays trace files and compares the outcomes with the expected ones."""

    name = "traces"
    description = "Replay recorded traces and compare with expected outcomes."
    arguments = [argument("paths", "trace files", multiple=True)]

    def handle(self) -> int:
        """Return 1 if any trace is invalid or differs, else 0."""
        failed = 0
        for name in self.argument("paths"):
            with NullHandler():
                outcome, differences = replay_file(Path(name))
            failed += bool(differences)
            self.line(f"{'FAILED' if differences else 'passed'} {name}")
            for difference in differences:
                self.line(f"  {difference}")
            if outcome is not None:
                self.line(f"  {outcome.phase} at {outcome.ended_at:.0f} s")
                self.line(f"  {outcome.reason}")
        return int(failed > 0)


class MeasureCommand(Command):
    """Replays generated traces of both deployments and prints the results."""

    name = "measure"
    description = "Compare policy and baseline on generated traces."
    options = [
        option("seeds", "s", "seeds per case", flag=False, default="20"),
        option("processes", "p", "processes in the pool", flag=False, default="4"),
        option(
            "kinds", None, "kinds of versions", flag=False, default=",".join(VERSIONS)
        ),
        option("faults", None, "kinds of faults", flag=False, default=",".join(FAULTS)),
    ]

    def handle(self) -> int:
        """Print the summary and the table of all cases."""
        cases = make_cases(
            int(self.option("seeds")),
            tuple(self.option("kinds").split(",")),
            tuple(self.option("faults").split(",")),
        )
        results = run_cases(cases, int(self.option("processes")))
        self.line(format_summary(results) + "\n")
        self.line(format_table(results))
        return 0


class RecordCommand(Command):
    """Writes a generated trace to a file."""

    name = "record"
    description = "Write a generated trace."
    arguments = [
        argument("tenant", "deployment"),
        argument("version", ", ".join(VERSIONS)),
        argument("fault", ", ".join(FAULTS)),
        argument("seed", "seed"),
        argument("path", "file to write"),
    ]

    def handle(self) -> int:
        """Generate the trace and write the file."""
        case = Case(
            self.argument("tenant"),
            self.argument("version"),
            self.argument("fault"),
            int(self.argument("seed")),
        )
        write_trace(Path(self.argument("path")), make_trace(case))
        return 0


def main() -> int:
    """Run the command line."""
    application = Application("bamboocove-replay")
    for command in (TracesCommand, MeasureCommand, RecordCommand):
        application.add(command())
    return application.run()


if __name__ == "__main__":
    raise SystemExit(main())
