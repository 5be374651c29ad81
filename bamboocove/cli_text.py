"""The ``check`` and ``apply`` commands, which work on a configuration text."""

import getpass
import time
from typing import Any

from cleo.helpers import argument, option

from bamboocove.cli_base import (
    EXIT_ERROR,
    EXIT_USAGE_ERROR,
    JSON_OPTION,
    NODE_OPTION,
    OperatorCommand,
    UsageError,
    read_file,
)
from bamboocove.cli_client import NodeClient, note_unknown_outcome, parse_error
from bamboocove.cli_output import (
    format_apply_result,
    format_conflict,
    format_text_summary,
)
from bamboocove.coordination.differences import describe_difference
from bamboocove.coordination.edits import plan_edit
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.text import parse_text
from bamboocove.protocol.text_checks import (
    find_non_idempotent_reads,
    find_past_deadlines,
)
from bamboocove.protocol.text_document import TextDocument
from bamboocove.protocol.text_source import TextProblem
from bamboocove.state.codec import from_plain
from bamboocove.state.config import Config


class CheckCommand(OperatorCommand):
    """Validates a configuration text, alone or against a node's configuration."""

    name = "check"
    description = "Check a text; with a node, against the configuration in force"
    arguments = [argument("file", "the text, or - for standard input")]
    options = [NODE_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Check the text and return the exit status."""
        path = self.argument("file")
        data = read_file(path)
        if isinstance(data, ErrorResult):
            return self.fail(data)
        if isinstance(data, TextProblem):
            return self.fail_with_problems(path, [data])
        document = parse_text(data)
        if isinstance(document, list):
            return self.fail_with_problems(path, document)
        if self.option("node"):
            return self.run_with_client(
                lambda client: self.check_against_node(client, path, document)
            )
        # Which moves have ended is only known to a node. A text may keep ended moves,
        # so a past deadline is a warning here and not a problem.
        past = find_past_deadlines(document.moves, time.time())
        warnings = [f"{p.message}; refused unless the move has ended" for p in past]
        return self.print_summary(document, None, warnings)

    async def check_against_node(
        self, client: NodeClient, path: str, document: TextDocument
    ) -> int:
        """Print what applying the text would change, without applying it."""
        body = await client.get_json("/config")
        if isinstance(body, ErrorResult):
            return self.fail(body)
        config = from_plain(Config, body)
        if isinstance(config, ErrorResult):
            return self.fail(config)
        new_config = plan_edit(config, document, time.time())
        if isinstance(new_config, list):
            return self.fail_with_problems(path, new_config)
        return self.print_summary(document, describe_difference(config, new_config), [])

    def print_summary(
        self, document: TextDocument, difference: list[str] | None, warnings: list[str]
    ) -> int:
        """Print the summary or the difference of a valid text, and its warnings."""
        warnings = warnings + find_non_idempotent_reads(document)
        summary = format_text_summary(document)

        def make_lines() -> list[str]:
            lines = summary if difference is None else difference or ["no change"]
            return [*lines, *(f"warning: {warning}" for warning in warnings)]

        body = {"ok": True, "meaning": summary, "warnings": warnings}
        if difference is not None:
            body["difference"] = difference
        return self.print_result(body, make_lines)


class ApplyCommand(OperatorCommand):
    """Submits a configuration text to a node, which publishes it."""

    name = "apply"
    description = "Apply a text that was made from the text revision given as base"
    arguments = [argument("file", "the text, or - for standard input")]
    options = [
        option("base", description="text revision that it was made from", flag=False),
        option("author", description="who applies it; default: the user", flag=False),
        NODE_OPTION,
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Apply the text and return the exit status."""
        path, base = self.argument("file"), self.option("base")
        if base is not None and not (base.isascii() and base.isdigit()):
            raise UsageError(f"--base {base!r} is not a revision")
        author = self.get_author()
        data = read_file(path)
        if isinstance(data, ErrorResult):
            return self.fail(data)
        if isinstance(data, TextProblem):
            return self.fail_with_problems(path, [data])
        return self.run_with_client(
            lambda client: self.apply(client, path, data, base, author)
        )

    def get_author(self) -> str:
        """Return the author from ``--author``, or the name of the current user."""
        try:
            return self.option("author") or getpass.getuser()
        except (KeyError, OSError):
            raise UsageError("the user has no name; use --author") from None

    async def apply(
        self, client: NodeClient, path: str, data: bytes, base: str | None, author: str
    ) -> int:
        """Submit the text, or print the current base revision if none is given."""
        if base is None:
            return await self.refuse_without_base(client)
        reply = await client.send(
            "POST", "/config", {"base": base, "author": author}, data
        )
        if isinstance(reply, ErrorResult):
            return self.fail(note_unknown_outcome(reply))
        body = reply.parse_json()
        if isinstance(body, ErrorResult):
            return self.fail(body)
        if reply.status == 200:
            return self.print_result(body, lambda: format_apply_result(body))
        if "difference" in body:
            self.print_result(body, lambda: format_conflict(body))
            return EXIT_ERROR
        if "problems" in body:
            problems = [from_plain(TextProblem, fields) for fields in body["problems"]]
            return self.fail_with_problems(path, problems)
        return self.fail_apply(parse_error(reply, body), body)

    def fail_apply(self, error: ErrorResult, body: dict[str, Any]) -> int:
        """Print an error, with a note if the text may be in force despite it."""
        if body.get("run") != "not-run":
            advice = "it may be in force: look at status before you apply it again"
            return self.fail(ErrorResult(error.kind, f"{error.reason}; {advice}"))
        return self.fail(error)

    async def refuse_without_base(self, client: NodeClient) -> int:
        """Print the current text revision and refuse to apply the text.

        Using the current revision as the base without comparing the texts would
        silently revert edits that others made in the meantime.
        """
        status = await client.get_json("/status")
        if isinstance(status, ErrorResult):
            return self.fail(status)
        revision = status.get("text_revision")
        reason = (
            f"not applied: the text revision is {revision}; compare your text with it "
            f"(check FILE --node URL), then apply with --base {revision}"
        )
        return self.fail(ErrorResult(ErrorKind.BAD_REQUEST, reason), EXIT_USAGE_ERROR)
