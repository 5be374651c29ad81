"""Reconstructs the path of a request from the logs of several nodes."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult

# Events that record the state on which a node based its routing decisions.
CONTEXT_EVENTS = (
    "config.applied",
    "keys.stale",
    "keys.fresh",
    "host.record",
    "worker.state",
    "link.down",
    "link.suspect",
)
# Context events are shown from this long before the first line of a request.
CONTEXT_WINDOW_S = 5.0
# Statuses with which a node says that a request has not run.
NOT_RUN_STATUSES = (401, 413, 429, 503)


@frozen
class LogLine:
    """One event in the log of a node.

    Parameters
    ----------
    source : str
        Name of the log file.
    time : float
        Unix time on the node's clock, in seconds.
    event : str
        Name of the event.
    fields : dict
        All other fields of the event, by name.
    """

    source: str
    time: float
    event: str
    fields: dict[str, Any]


def parse_log(source: str, text: str) -> list[LogLine]:
    """Return the events in a log; lines in any other format are skipped.

    Examples
    --------
    >>> parse_log("a", '{"t":1.5,"event":"link.up","host":"b"}')[0].event
    'link.up'
    """
    lines = []
    for line in text.splitlines():
        start = line.find('{"t":')
        if start < 0:
            continue
        try:
            fields = json.loads(line[start:])
            lines.append(
                LogLine(source, float(fields.pop("t")), fields.pop("event"), fields)
            )
        except (ValueError, KeyError, TypeError):
            # A truncated line; parsing resumes with the next one.
            continue
    return lines


def read_logs(paths: Iterable[str]) -> list[LogLine] | ErrorResult:
    """Read and merge the logs of several nodes.

    Returns
    -------
    lines : list of LogLine or ErrorResult
        Sorted by time; ``NOT_FOUND`` if a file cannot be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            text = Path(path).read_text(encoding="utf-8", errors="replace")
        except OSError as error:
            return ErrorResult(ErrorKind.NOT_FOUND, str(error))
        lines += parse_log(Path(path).name, text)
    return sorted(lines, key=lambda line: line.time)


def trace_request(lines: Iterable[LogLine], request_id: str) -> list[LogLine]:
    """Return the lines of a request, with context events, sorted by time.

    Context events are those of the nodes that logged the request, as far as they
    concern a host that the request's lines name or no host at all. They range
    from ``CONTEXT_WINDOW_S`` seconds before the first line of the request to its
    last line.
    """
    lines = list(lines)
    request_lines = [line for line in lines if line.fields.get("id") == request_id]
    if not request_lines:
        return []
    start, end = request_lines[0].time - CONTEXT_WINDOW_S, request_lines[-1].time
    sources = {line.source for line in request_lines}
    hosts = {line.fields.get("host") for line in request_lines} - {None, ""}
    context = [
        line
        for line in lines
        if line.event in CONTEXT_EVENTS
        and start <= line.time <= end
        and line.source in sources
        and line.fields.get("host", "") in {*hosts, ""}
    ]
    return sorted([*request_lines, *context], key=lambda line: line.time)


def explain_request(lines: Iterable[LogLine], request_id: str) -> str:
    """Return one sentence on how a request ended and why."""
    request_lines = [line for line in lines if line.fields.get("id") == request_id]
    final_lines = [
        line
        for line in request_lines
        if line.event in ("request.failed", "request.refused", "request.answered")
    ]
    if not request_lines:
        return f"no line about {request_id}"
    if not final_lines:
        return "no end in these logs: it was left out, or the node was lost"
    final = final_lines[-1]
    fields = final.fields
    if final.event == "request.refused":
        return (
            f"refused with {fields['status']} before it was routed: {fields['reason']}"
        )
    if final.event == "request.answered":
        return f"answered with {fields['status']} by the worker on {fields['host']}"
    has_run = fields["status"] not in NOT_RUN_STATUSES
    execution = "it may have run" if has_run else "it was not run"
    text = f"ended with {fields['status']} after {fields['held_s']} s, {execution}"
    return f"{text}: {fields['reason']} ({fields['kind']}, host {fields['host']})"


def format_trace(lines: Iterable[LogLine]) -> str:
    """Return log lines as text, with times in seconds since the first line."""
    lines = list(lines)
    if not lines:
        return ""
    start = lines[0].time
    width = max(len(line.source) for line in lines)
    return "\n".join(
        f"{line.time - start:9.4f}  {line.source:{width}}  {line.event}  "
        + " ".join(f"{key}={value}" for key, value in line.fields.items())
        for line in lines
    )
