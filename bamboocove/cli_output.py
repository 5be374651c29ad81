"""What the operator tool prints for people."""

from collections.abc import Iterable, Mapping
from datetime import UTC, datetime
from typing import Any

from bamboocove.events import EVENTS_BY_NUMBER
from bamboocove.protocol.text_document import TextDocument
from bamboocove.protocol.text_source import TextProblem
from bamboocove.protocol.text_values import format_time


def format_problems(path: str, problems: Iterable[TextProblem]) -> list[str]:
    """Return a line for each problem of a file."""
    return [f"{path}:{problem}" for problem in problems]


def format_document(document: TextDocument) -> list[str]:
    """Return what a text means."""
    services = document.services_by_name
    lines = [f"tenant {document.tenant}, {len(services)} services"]
    for service in services.values():
        depends = ", ".join(service.depends_on) or "nothing"
        lines.append(f"service {service.name} {service.version} depends on {depends}")
        own = document.route_dependencies_by_service[service.name]
        for route in service.routes:
            calls = ", ".join(entry.word for entry in own.get(route.name, ()))
            repeat = "idempotent" if route.idempotent else "at most once"
            lines.append(
                f"  {route.name}: {' '.join(route.methods)} {route.path}, "
                f"{route.request_class}, {repeat}, {route.timeout_s:g} s"
                + (f", calls {calls}" if calls else "")
            )
    lines += [
        f"move {move.move_id}: {move.service} to {move.to_version} "
        f"by {format_time(move.deadline)}"
        for move in document.moves
    ]
    return lines


def _format_at(seconds: Any) -> str:
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
    """Return the status of a node; lists and mappings take a line per entry."""
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
    """Return a line for each move."""
    lines = [
        f"{move['move_id']}: {move['service']} {move['from_version']} -> "
        f"{move['to_version']}, {move['phase']}, share {move['share']:.0%}, "
        f"by {_format_at(move['deadline'])}"
        + (f", {move['reason']}" if move.get("reason") else "")
        for move in moves
    ]
    return lines or ["no moves"]


def format_history(records: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return a line for each revision and an indented one for each event."""
    lines = []
    for record in records:
        at = _format_at(record["at"])
        author, summary = record["author"], record["summary"]
        lines.append(f"{record['revision']} {at} {author}: {summary}")
        lines += [f"    {event}" for event in record["events"]]
    return lines or ["no revisions"]


def format_move_events(events: Iterable[Mapping[str, Any]]) -> list[str]:
    """Return a line for each event of a move, in order."""
    return [
        f"{_format_at(event['at'])} revision {event['revision']} "
        f"{event['author']}: {event['text']}"
        for event in events
    ]


def format_event_entry(number: int) -> list[str]:
    """Return an entry of the catalogue of events."""
    event = EVENTS_BY_NUMBER[number]
    return [
        f"BC{number} {event.level}",
        f"message: {event.message}",
        f"what to do: {event.action}",
    ]


def format_events() -> list[str]:
    """Return the catalogue of events, a line for each."""
    return [
        f"BC{event.number} {event.level:<8}{event.message}"
        for event in EVENTS_BY_NUMBER.values()
    ]


def format_applied(applied: Mapping[str, Any]) -> list[str]:
    """Return what an accepted text changed."""
    difference = applied["difference"]
    lines = [f"text is in force as revision {applied['revision']}"]
    lines += [f"  {line}" for line in difference] or ["  it changes nothing"]
    lines += [f"warning: {line}" for line in applied["warnings"]]
    return lines


def format_conflict(conflict: Mapping[str, Any]) -> list[str]:
    """Return why a text lost a race, and what it would change now."""
    revision, author = conflict["revision"], conflict["author"]
    lines = [
        f"not applied: {author} changed the text at revision {revision}",
        "your text would now change:",
    ]
    lines += [f"  {line}" for line in conflict["difference"]] or ["  nothing"]
    lines.append(f"edit it to keep their change, then apply with --base {revision}")
    return lines


def format_call(call: Mapping[str, Any]) -> list[str]:
    """Return status and error of a call, and its body."""
    lines = [f"status {call['status']}"]
    if call["error"]:
        lines.append(f"error {call['error']}, run {call['run'] or 'unknown'}")
    if call["retryable"] is not None:
        after = f" after {call['retry_after']} s" if call["retry_after"] else ""
        may = f"may be sent again{after}" if call["retryable"] else "do not repeat it"
        lines.append(may)
    return [*lines, *call["body"].splitlines()]
