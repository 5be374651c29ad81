"""Catalogue of numbered log events, and functions that log them."""

import sys
from collections.abc import Coroutine
from typing import Any

from attrs import frozen
from logbook import Logger, StreamHandler, lookup_level
from twisted.internet.defer import Deferred

logger = Logger("bamboocove")


@frozen
class Event:
    """Entry of the event catalogue.

    Parameters
    ----------
    number : int
        Stable number: 1xx node, 2xx distribution, 3xx membership, 4xx calls,
        5xx moves, 6xx platform, 7xx operators.
    level : str
        Name of the Logbook level.
    message : str
        Format string with the names of the event's fields.
    action : str
        What an operator should do about the event.
    """

    number: int
    level: str
    message: str
    action: str = "none"


_EVENTS = (
    Event(101, "INFO", "node {node_id} started in zone {zone}"),
    Event(102, "INFO", "node {node_id} serves from revision {revision}"),
    Event(103, "INFO", "node {node_id} drains, {in_flight} calls in flight"),
    Event(104, "INFO", "node {node_id} stopped"),
    Event(
        105,
        "WARNING",
        "node {node_id} stopped with {in_flight} calls in flight",
        "raise [calls] drain_s",
    ),
    Event(201, "INFO", "revision {revision} applied"),
    Event(
        202,
        "ERROR",
        "revision {revision} refused: {reason}",
        "read the reason; apply a corrected text",
    ),
    Event(203, "INFO", "bootstrap floor is revision {revision}, from {source}"),
    Event(
        204,
        "WARNING",
        "revision {revision} refused by {node_id}: {reason}",
        "read the reason; apply a corrected text",
    ),
    Event(301, "INFO", "member {node_id} is {state}"),
    Event(302, "DEBUG", "link to {address} opened"),
    Event(303, "DEBUG", "link to {address} closed: {reason}"),
    Event(304, "INFO", "worker {address} of {service} {version} is {state}"),
    Event(
        305,
        "ERROR",
        "periodic work of the peer task failed: {reason}",
        "report the reason as a bug of this program",
    ),
    Event(
        401,
        "WARNING",
        "worker {address} of {service} ejected for {seconds} s: {reason}",
    ),
    Event(
        402,
        "ERROR",
        "request {fingerprint} lost its worker; refused for {seconds} s",
        "look at the request; it may crash workers",
    ),
    Event(
        403,
        "WARNING",
        "most workers of {service} look down; using all of them",
        "check the service",
    ),
    Event(
        404,
        "WARNING",
        "outcome of key {key} for {service} is unknown",
        "ask the service whether the request was executed",
    ),
    Event(501, "INFO", "move {move_id} of {service} to {version} accepted"),
    Event(502, "INFO", "move {move_id}: share is now {share}"),
    Event(503, "INFO", "move {move_id} holds: {reason}"),
    Event(504, "INFO", "move {move_id} done: all calls go to {version}"),
    Event(
        505,
        "ERROR",
        "move {move_id} reverted: {reason}",
        "fix the version and announce it under a new name",
    ),
    Event(
        506,
        "WARNING",
        "move {move_id} cannot finish by its deadline: {reason}",
        "extend the deadline or send more traffic",
    ),
    Event(
        507,
        "ERROR",
        "move {move_id}: local brake set the share to 0: {reason}",
        "wait for the coordinator's answer",
    ),
    Event(508, "INFO", "coordinator lease taken with token {token}"),
    Event(509, "WARNING", "coordinator lease lost: {reason}"),
    Event(510, "ERROR", "move {move_id} expired: {reason}", "apply a new move"),
    Event(
        511,
        "WARNING",
        "move {move_id}: share back to {share}: {reason}",
        "read the reason; no action while the versions are compared again",
    ),
    Event(601, "WARNING", "store unavailable: {reason}", "check the platform"),
    Event(602, "INFO", "store answers again after {seconds} s"),
    Event(603, "WARNING", "answer of store write {operation_id} lost; reading back"),
    Event(701, "INFO", "text of {author} accepted as revision {revision}"),
    Event(702, "WARNING", "text of {author} refused: {reason}", "edit and apply again"),
)

EVENTS_BY_NUMBER: dict[int, Event] = {event.number: event for event in _EVENTS}


def format_event(number: int, **fields: Any) -> str:
    """Return the log message of an event, prefixed with its number.

    Examples
    --------
    >>> format_event(201, revision=7)
    'BC201 revision 7 applied'
    """
    return f"BC{number} {EVENTS_BY_NUMBER[number].message.format(**fields)}"


def log_event(number: int, **fields: Any) -> None:
    """Log an event of the catalogue at its level."""
    level = lookup_level(EVENTS_BY_NUMBER[number].level)
    logger.log(level, "{}", format_event(number, **fields))


def run_logged(coroutine: Coroutine) -> None:
    """Start a coroutine that is not awaited, and log an exception that ends it."""
    Deferred.fromCoroutine(coroutine).addErrback(
        lambda failure: logger.error("{}", failure.getTraceback())
    )


def setup_logging(level: str = "INFO") -> None:
    """Write log records of at least ``level`` to standard error."""
    handler = StreamHandler(sys.stderr, level=lookup_level(level))
    handler.format_string = (
        "{record.time:%Y-%m-%dT%H:%M:%S.%f} {record.level_name} {record.message}"
    )
    handler.push_application()


def format_catalogue() -> str:
    """Return the catalogue as the Markdown table of ``docs/events.md``."""
    lines = ["| number | level | message | what to do |", "|---|---|---|---|"]
    lines += [
        f"| {event.number} | {event.level} | `{event.message}` | {event.action} |"
        for event in EVENTS_BY_NUMBER.values()
    ]
    return "\n".join(lines)
