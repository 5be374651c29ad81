"""Operations of the admin interface, their results, and worker announcements."""

import json
from collections.abc import Awaitable, Callable
from typing import Any

from attrs import field, frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import HistoryRecord
from bamboocove.protocol.text_source import TextProblem
from bamboocove.protocol.text_values import InvalidValue, check_name, check_version
from bamboocove.state.config import Config
from bamboocove.state.members import WORKER_STATES, WorkerRecord

MAX_SLOTS = 10_000


@frozen
class AppliedText:
    """Result of an accepted configuration text.

    Parameters
    ----------
    revision : int
        Revision that the text created, or the current one if nothing changed.
    difference, warnings : list of str
        Changes that the text made, and warnings about them.
    """

    revision: int
    difference: list[str] = field(factory=list)
    warnings: list[str] = field(factory=list)


@frozen
class TextConflict:
    """Result of a text that was refused because its base revision is outdated.

    Parameters
    ----------
    revision : int
        Current text revision, to be used as the base of another attempt.
    author : str
        Author of the current text revision.
    difference : list of str
        Changes that the refused text would make to the current revision.
    """

    revision: int
    author: str
    difference: list[str]


@frozen
class MoveEvent:
    """One event in the history of a move.

    Parameters
    ----------
    revision : int
        Configuration revision that recorded the event.
    at : float
        Unix time in seconds.
    author : str
        Operator or node that caused the event.
    text : str
        Event number and message.
    """

    revision: int
    at: float
    author: str
    text: str


ApplyResult = AppliedText | TextConflict | list[TextProblem] | ErrorResult


@frozen
class AdminOperations:
    """Callbacks that implement the admin interface, supplied by the node.

    Parameters
    ----------
    announce_worker : callable
        Takes a ``WorkerRecord``; may return an ``ErrorResult``.
    get_status : callable
        Returns a mapping that can be encoded as JSON.
    get_config : callable
        Returns the current ``Config``.
    apply_text : callable
        Takes text, base text revision and author; returns an awaitable
        ``ApplyResult``.
    read_history : callable
        Takes a revision; returns an awaitable list of the ``HistoryRecord``
        after it, or ``ErrorResult``.
    explain_move : callable
        Takes a move identifier; returns an awaitable list of ``MoveEvent`` in
        order, or ``ErrorResult``.
    drain : callable
        Starts a graceful shutdown.
    """

    announce_worker: Callable[[WorkerRecord], ErrorResult | None]
    get_status: Callable[[], dict[str, Any]]
    get_config: Callable[[], Config]
    apply_text: Callable[[bytes, int, str], Awaitable[ApplyResult]]
    read_history: Callable[[int], Awaitable[list[HistoryRecord] | ErrorResult]]
    explain_move: Callable[[str], Awaitable[list[MoveEvent] | ErrorResult]]
    drain: Callable[[], None]


def parse_announcement(data: bytes, host: str) -> WorkerRecord | ErrorResult:
    """Parse and validate the announcement of a worker.

    Parameters
    ----------
    data : bytes
        JSON object with service, version, port, slots, connections and state.
    host : str
        IP address of this host.

    Returns
    -------
    worker : WorkerRecord or ErrorResult
        ``BAD_REQUEST`` that names every invalid field.
    """
    try:
        fields = json.loads(data)
    except (ValueError, RecursionError) as error:
        return ErrorResult(ErrorKind.BAD_REQUEST, f"not JSON: {error}")
    if not isinstance(fields, dict):
        return ErrorResult(ErrorKind.BAD_REQUEST, "not a JSON object")
    problems = []
    for name, check in (("service", check_name), ("version", check_version)):
        value = fields.get(name)
        checked = (
            check(value) if isinstance(value, str) else InvalidValue("no text", "")
        )
        if isinstance(checked, InvalidValue):
            problems.append(f"{name}: {checked.message}")
    for name, maximum in (
        ("port", 65535),
        ("slots", MAX_SLOTS),
        ("connections", MAX_SLOTS),
    ):
        value = fields.get(name)
        if type(value) is not int or not 1 <= value <= maximum:
            problems.append(f"{name}: not a number from 1 to {maximum}")
    state = fields.get("state", "ready")
    if state not in WORKER_STATES:
        problems.append(f"state: not one of {', '.join(WORKER_STATES)}")
    if problems:
        return ErrorResult(ErrorKind.BAD_REQUEST, "; ".join(problems))
    return WorkerRecord(
        service=fields["service"],
        version=fields["version"],
        host=host,
        port=fields["port"],
        slots=fields["slots"],
        connections=fields["connections"],
        state=state,
    )
