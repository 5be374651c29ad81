"""Formats results of the command-line tool as lines of text."""

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import Any

from bamboocove.events import EVENTS_BY_NUMBER
from bamboocove.protocol.text_document import TextDocument
from bamboocove.protocol.text_source import TextProblem
from bamboocove.protocol.text_values import format_time


def format_problems(path: str, problems: Iterable[TextProblem]) -> list[str]:
    """Return one ``path:problem`` line for each problem in a file."""
    return [f"{path}:{problem}" for problem in problems]


def format_text_summary(document: TextDocument) -> list[str]:
    """Return a summary of the services, routes and moves in a configuration text."""
    services = document.services_by_name
    lines = [f"tenant {document.tenant}, {len(services)} services"]
    for service in services.values():
        depends = ", ".join(service.depends_on) or "nothing"
        lines.append(f"service {service.name} {service.version} depends on {depends}")
        dependencies_by_route = document.route_dependencies_by_service[service.name]
        for route in service.routes:
            calls = ", ".join(
                entry.word for entry in dependencies_by_route.get(route.name, ())
            )
            delivery = "idempotent" if route.idempotent else "at most once"
            lines.append(
                f"  {route.name}: {' '.join(route.methods)} {route.path}, "
                f"{route.request_class}, {delivery}, {route.timeout_s:g} s"
                + (f", calls {calls}" if calls else "")
            )
    lines += [
        f"move {move.move_id}: {move.service} to {move.to_version} "
        f"by {format_time(move.deadline)}"
        for move in document.moves
    ]
    return lines


def _format_timestamp(seconds: Any) -> str:
    try:
        return datetime.fromtimestamp(seconds, UTC).strftime("%Y-%m-%dT%H:%M:%SZ")
    except (TypeError, ValueError, OverflowError, OSError):
        return str(seconds)


def _format_fields(fields: Mapping[str, Any]) -> str:
    return " ".join(
        f"{name}={value:g}" if isinstance(value, float) else f"{name}={value}"
        for name, value in fields.items()
    )


def format_status(status: Mapping[str, Any]) -> list[str]:
    """Return a node's status, with one line per entry of a list or mapping."""
    lines = []
    for name, value in status.items():
        if isinstance(value, Mapping):
            lines.append(f"{name}:")
            lines += [
                f"  {key}: "
                + (_format_fields(entry) if isinstance(entry, Mapping) else str(entry))
                for key, entry in value.items()
            ]
        elif isinstance(value, list):
            lines.append(f"{name}: {len(value)}")
            lines += [
                "  "
                + (_format_fields(entry) if isinstance(entry, Mapping) else f"{entry}")
                for entry in value
            ]
        else:
            lines.append(f"{name}: {value}")
    return lines


def format_moves(moves: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return one line for each move, with its phase, traffic share and deadline."""
    lines = [
        f"{move['move_id']}: {move['service']} {move['from_version']} -> "
        f"{move['to_version']}, {move['phase']}, share {move['share']:.0%}, "
        f"by {_format_timestamp(move['deadline'])}"
        + (f", {move['reason']}" if move.get("reason") else "")
        for move in moves
    ]
    return lines or ["no moves"]


def format_history(records: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return one line for each revision, followed by its indented events."""
    lines = []
    for record in records:
        timestamp = _format_timestamp(record["at"])
        author, summary = record["author"], record["summary"]
        lines.append(f"{record['revision']} {timestamp} {author}: {summary}")
        lines += [f"    {event}" for event in record["events"]]
    return lines or ["no revisions"]


def format_move_events(events: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return one line for each event of a move, in the given order."""
    return [
        f"{_format_timestamp(event['at'])} revision {event['revision']} "
        f"{event['author']}: {event['text']}"
        for event in events
    ]


def format_event_entry(number: int) -> list[str]:
    """Return the catalogue entry of an event: level, message and remedy."""
    event = EVENTS_BY_NUMBER[number]
    return [
        f"BC{number} {event.level}",
        f"message: {event.message}",
        f"what to do: {event.action}",
    ]


def format_events() -> list[str]:
    """Return one line for each event in the catalogue."""
    return [
        f"BC{event.number} {event.level:<8}{event.message}"
        for event in EVENTS_BY_NUMBER.values()
    ]


def format_apply_result(applied: Mapping[str, Any]) -> list[str]:
    """Return the revision, changes and warnings of an accepted configuration text."""
    difference = applied["difference"]
    lines = [f"text is in force as revision {applied['revision']}"]
    lines += [f"  {line}" for line in difference] or ["  it changes nothing"]
    lines += [f"warning: {line}" for line in applied["warnings"]]
    return lines


def format_conflict(conflict: Mapping[str, Any]) -> list[str]:
    """Return the conflicting revision and what the text would change on top of it.

    A conflict arises when another author changed the configuration text after the
    base revision of this one.
    """
    revision, author = conflict["revision"], conflict["author"]
    lines = [
        f"not applied: {author} changed the text at revision {revision}",
        "your text would now change:",
    ]
    lines += [f"  {line}" for line in conflict["difference"]] or ["  nothing"]
    lines.append(f"edit it to keep their change, then apply with --base {revision}")
    return lines


def format_call(call: Mapping[str, Any]) -> list[str]:
    """Return the status and error of a call, retry advice and the response body."""
    lines = [f"status {call['status']}"]
    if call["error"]:
        lines.append(f"error {call['error']}, run {call['run'] or 'unknown'}")
    if call["retryable"] is not None:
        delay = f" after {call['retry_after']} s" if call["retry_after"] else ""
        advice = (
            f"may be sent again{delay}" if call["retryable"] else "do not repeat it"
        )
        lines.append(advice)
    return [*lines, *call["body"].splitlines()]
