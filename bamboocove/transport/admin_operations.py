"""Operations of the admin interface, their results, and announcements."""

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
    """A text was accepted.

    Parameters
    ----------
    revision : int
        Revision that it made, or the one in force if it changed nothing.
    difference, warnings : list of str
        What it changed and what deserves attention.
    """

    revision: int
    difference: list[str] = field(factory=list)
    warnings: list[str] = field(factory=list)


@frozen
class TextConflict:
    """A text was refused because another one was accepted before it.

    Parameters
    ----------
    revision : int
        Text revision in force, the base for another attempt.
    author : str
        Who made it.
    difference : list of str
        What the refused text would change now.
    """

    revision: int
    author: str
    difference: list[str]


@frozen
class MoveEvent:
    """One event of a move.

    Parameters
    ----------
    revision : int
        Revision that it belongs to.
    at : float
        Unix time in seconds.
    author : str
        Operator or node.
    text : str
        The numbered event.
    """

    revision: int
    at: float
    author: str
    text: str


ApplyResult = AppliedText | TextConflict | list[TextProblem] | ErrorResult


@frozen
class AdminOperations:
    """What the interface does, supplied by the node.

    Parameters
    ----------
    announce_worker : callable
        Takes a ``WorkerRecord``; may return an ``ErrorResult``.
    get_status : callable
        Returns a mapping that JSON can hold.
    get_config : callable
        Returns the ``Config`` in force.
    apply_text : callable
        Takes text, base text revision and author; awaitable ``ApplyResult``.
    read_history : callable
        Takes a revision; awaitable list of ``HistoryRecord`` after it, or
        ``ErrorResult``.
    explain_move : callable
        Takes a move identifier; awaitable list of ``MoveEvent`` in order, or
        ``ErrorResult``.
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


def read_announcement(data: bytes, host: str) -> WorkerRecord | ErrorResult:
    """Read the announcement of a worker.

    Parameters
    ----------
    data : bytes
        JSON object with service, version, port, slots, connections and state.
    host : str
        IP number of this host.
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
    for name, highest in (
        ("port", 65535),
        ("slots", MAX_SLOTS),
        ("connections", MAX_SLOTS),
    ):
        value = fields.get(name)
        if type(value) is not int or not 1 <= value <= highest:
            problems.append(f"{name}: not a number from 1 to {highest}")
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
