"""The read-only commands: status, moves, history, explain and events."""

from urllib.parse import quote

from attrs import asdict
from cleo.helpers import argument, option

from bamboocove.cli_base import JSON_OPTION, NODE_OPTION, OperatorCommand, UsageError
from bamboocove.cli_output import (
    format_event_entry,
    format_events,
    format_history,
    format_move_events,
    format_moves,
    format_status,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import EVENTS_BY_NUMBER


class StatusCommand(OperatorCommand):
    """Prints the status of a node."""

    name = "status"
    description = "Show a node: revision, members, workers, store, metrics"
    options = [NODE_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        return self.print_from_node("/status", format_status)


class MovesCommand(OperatorCommand):
    """Prints the open moves and the last ended move of each service."""

    name = "moves"
    description = "Show open moves and the last ended one of each service"
    options = [NODE_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        return self.print_from_node("/moves", format_moves)


class HistoryCommand(OperatorCommand):
    """Prints configuration revisions with their authors and events."""

    name = "history"
    description = "Show revisions: who made them, and the events that explain them"
    options = [
        option("after", description="show revisions after this one", flag=False),
        NODE_OPTION,
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        after = self.option("after") or "0"
        if not (after.isascii() and after.isdigit()):
            raise UsageError(f"--after {after!r} is not a revision")
        return self.print_from_node("/history", format_history, {"after": after})


class ExplainCommand(OperatorCommand):
    """Prints the events of a move, or the catalogue entry of an event number."""

    name = "explain"
    description = "Show the events of a move, or what an event number means"
    arguments = [argument("subject", "identifier of a move, or an event number")]
    options = [NODE_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        subject = self.argument("subject")
        number = subject.upper().removeprefix("BC")
        if not (number.isascii() and number.isdigit()):
            path = f"/explain/{quote(subject, safe='')}"
            return self.print_from_node(path, format_move_events)
        event = EVENTS_BY_NUMBER.get(int(number))
        if event is None:
            reason = f"no event {number}; see bamboocove events"
            return self.fail(ErrorResult(ErrorKind.NOT_FOUND, reason))
        return self.print_result(
            asdict(event), lambda: format_event_entry(event.number)
        )


class EventsCommand(OperatorCommand):
    """Prints the catalogue of numbered events."""

    name = "events"
    description = "Show the catalogue of numbered events"
    options = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        body = [asdict(event) for event in EVENTS_BY_NUMBER.values()]
        return self.print_result(body, format_events)
