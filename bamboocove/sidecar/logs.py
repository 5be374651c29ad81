"""Structured log lines on standard output, bounded in rate and never blocking."""

import json
import os
import time
from collections.abc import Callable
from traceback import format_exc
from typing import Any

from attrs import define, field

from bamboocove.sidecar.catalogue import EVENTS_BY_NAME

# Rate limit per event; lines beyond it are only counted. Without it, logging would
# use up the processor time during a storm of failures.
MAX_LINES_PER_EVENT_PER_S = 20
STDOUT = 1
# Maximum length of a text in a line. Reasons may quote what another process sent.
MAX_TEXT_LENGTH = 400


@define
class LogWriter:
    """Writes the log lines of one process as JSON, limited in rate per event.

    Parameters
    ----------
    write : callable
        Writes bytes without blocking; an OSError drops the line.
    clock : callable
        Returns Unix time in seconds, for time stamps and the rate limit.
    dropped_lines : int
        Lines that could not be written.
    second : int
        Unix time in seconds to which ``counts_by_event`` refers.
    counts_by_event : dict of str to int
        Lines of each event in this second, including those beyond the limit.
    """

    write: Callable[[bytes], Any]
    clock: Callable[[], float] = time.time
    dropped_lines: int = 0
    second: int = 0
    counts_by_event: dict[str, int] = field(factory=dict)

    def log(self, event: str, fields: dict[str, Any]) -> None:
        """Write one line unless the event has reached its rate limit."""
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
            suppressed_count = count - MAX_LINES_PER_EVENT_PER_S
            if suppressed_count > 0:
                name = "log.left-out"
                number = EVENTS_BY_NAME[name].number
                self._write(
                    {
                        "t": second,
                        "n": number,
                        "event": name,
                        "of": event,
                        "lines": suppressed_count,
                    }
                )
        self.second = second
        self.counts_by_event = {}

    def _write(self, record: dict[str, Any]) -> None:
        record = {key: _truncate(value) for key, value in record.items()}
        data = json.dumps(record, separators=(",", ":"), default=_to_text)
        try:
            self.write(data.encode() + b"\n")
        except OSError:
            self.dropped_lines += 1


def _truncate(value: Any) -> Any:
    if isinstance(value, str | bytes) and len(value) > MAX_TEXT_LENGTH:
        return value[:MAX_TEXT_LENGTH]
    return value


def _to_text(value: Any) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)


def _write_stdout(data: bytes) -> None:
    # A line that does not fit into the pipe is truncated. Each line starts with its
    # own time stamp, so that a reader can resume at the next one.
    os.write(STDOUT, data)


WRITER = LogWriter(_write_stdout)


def setup_log() -> None:
    """Make standard output non-blocking."""
    os.set_blocking(STDOUT, False)


def log(event: str, **fields: Any) -> None:
    """Log an event of the catalogue (docs/OPERATIONS.md) with its fields."""
    WRITER.log(event, fields)


def log_program_error(event: str, **fields: Any) -> None:
    """Log an event with the traceback of the exception that is being handled."""
    # The last lines say where.
    log(event, **fields, traceback=format_exc()[-MAX_TEXT_LENGTH:])
