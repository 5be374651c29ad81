"""Structured log lines on standard output, bounded in rate and never blocking."""

import json
import os
import time
from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.sidecar.catalogue import EVENTS_BY_NAME

# Lines of one event in one second; the rest is counted. A failure storm would
# otherwise spend the processor time on its own description.
MAX_LINES_PER_EVENT_PER_S = 20
STDOUT = 1


@define
class LogWriter:
    """Output of one process.

    Parameters
    ----------
    write : callable
        Takes bytes; must not block.
    clock : callable
        Returns Unix time in seconds, for the time stamp and the rate.
    """

    write: Callable[[bytes], Any]
    clock: Callable[[], float] = time.time
    dropped_lines: int = 0
    second: int = 0
    counts_by_event: dict[str, int] = field(factory=dict)

    def log(self, event: str, fields: dict[str, Any]) -> None:
        """Write one line unless the event's rate is used up."""
        now = self.clock()
        if int(now) != self.second:
            self._start_second(int(now))
        count = self.counts_by_event.get(event, 0) + 1
        self.counts_by_event[event] = count
        if count <= MAX_LINES_PER_EVENT_PER_S:
            number = EVENTS_BY_NAME[event].number
            self._write({"t": round(now, 4), "n": number, "event": event, **fields})

    def _start_second(self, second: int) -> None:
        for event, count in self.counts_by_event.items():
            left_out = count - MAX_LINES_PER_EVENT_PER_S
            if left_out > 0:
                name = "log.left-out"
                number = EVENTS_BY_NAME[name].number
                self._write(
                    {
                        "t": second,
                        "n": number,
                        "event": name,
                        "of": event,
                        "lines": left_out,
                    }
                )
        self.second = second
        self.counts_by_event = {}

    def _write(self, record: dict[str, Any]) -> None:
        data = json.dumps(record, separators=(",", ":"), default=_to_text)
        try:
            self.write(data.encode() + b"\n")
        except OSError:
            self.dropped_lines += 1


def _to_text(value: Any) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)


def _write_stdout(data: bytes) -> None:
    # A line that does not fit the pipe as a whole is cut; the next line starts
    # with its own time stamp, so that a reader can go on.
    os.write(STDOUT, data)


WRITER = LogWriter(_write_stdout)


def setup_log() -> None:
    """Make standard output non-blocking."""
    os.set_blocking(STDOUT, False)


def log(event: str, **fields: Any) -> None:
    """Write one line: an event of docs/OPERATIONS.md with its fields."""
    WRITER.log(event, fields)
