"""Follows a request, or all that changed beliefs, through the logs of several nodes."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult

# Events that say what a node believed when it decided about a request.
CONTEXT = ("config.applied", "host.record", "worker.state", "link.down", "link.suspect")
# Changes of belief that are shown before the first line of a request, in seconds.
CONTEXT_S = 5.0


@frozen
class LogLine:
    """One line of a node's log.

    Parameters
    ----------
    source : str
        File that it stands in.
    time : float
        Unix time of the node, in seconds.
    event : str
        Name of the event.
    fields : dict
        All other fields.
    """

    source: str
    time: float
    event: str
    fields: dict[str, Any]


def parse_log(source: str, text: str) -> list[LogLine]:
    """Return the lines of a log that are events; others are passed over.

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
            # A line that was cut off; the next one is whole again.
            continue
    return lines


def read_logs(paths: Iterable[str]) -> list[LogLine] | ErrorResult:
    """Read the logs of several nodes.

    Returns
    -------
    lines : list of LogLine or ErrorResult
        In order of time; ``NOT_FOUND`` if a file cannot be read.
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
    """Return the lines of a request, and what its nodes had come to believe."""
    lines = list(lines)
    own = [line for line in lines if line.fields.get("id") == request_id]
    if not own:
        return []
    start, end = own[0].time - CONTEXT_S, own[-1].time
    sources = {line.source for line in own}
    hosts = {line.fields.get("host") for line in own} - {None, ""}
    context = [
        line
        for line in lines
        if line.event in CONTEXT
        and start <= line.time <= end
        and line.source in sources
        and line.fields.get("host", "") in {*hosts, ""}
    ]
    return sorted([*own, *context], key=lambda line: line.time)


def explain_request(lines: Iterable[LogLine], request_id: str) -> str:
    """Return the cause of how a request ended, in one sentence."""
    own = [line for line in lines if line.fields.get("id") == request_id]
    ends = [
        line
        for line in own
        if line.event in ("request.failed", "request.refused", "request.answered")
    ]
    if not own:
        return f"no line about {request_id}"
    if not ends:
        return "no end in these logs: it was left out, or the node was lost"
    end = ends[-1]
    fields = end.fields
    if end.event == "request.refused":
        return (
            f"refused with {fields['status']} before it was routed: {fields['reason']}"
        )
    if end.event == "request.answered":
        return f"answered with {fields['status']} by the worker on {fields['host']}"
    ran = "it was not run" if fields["status"] == 503 else "it may have run"
    text = f"ended with {fields['status']} after {fields['held_s']} s, {ran}"
    return f"{text}: {fields['reason']} ({fields['kind']}, host {fields['host']})"


def format_trace(lines: Iterable[LogLine]) -> str:
    """Return lines as text, with times relative to the first one."""
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
