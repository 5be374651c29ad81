"""Commands for the operators' text: check and apply."""

import getpass
import time
from typing import Any

from cleo.helpers import argument, option

from bamboocove.cli_base import (
    EXIT_ERROR,
    EXIT_MISUSE,
    JSON_OPTION,
    NODE_OPTION,
    MisuseError,
    OperatorCommand,
    read_file,
)
from bamboocove.cli_client import NodeClient, add_outcome, read_error
from bamboocove.cli_output import format_applied, format_conflict, format_document
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
    """Checks a text, alone or against the configuration in force."""

    name = "check"
    description = "Check a text; with a node, against the configuration in force"
    arguments = [argument("file", "the text, or - for standard input")]
    options = [NODE_OPTION, JSON_OPTION]

    def handle(self) -> int:
        """Run the command."""
        path = self.argument("file")
        data = read_file(path)
        if isinstance(data, ErrorResult):
            return self.fail(data)
        if isinstance(data, TextProblem):
            return self.fail_text(path, [data])
        document = parse_text(data)
        if isinstance(document, list):
            return self.fail_text(path, document)
        if self.option("node"):
            return self.run_with_client(
                lambda client: self.check_against(client, path, document)
            )
        # Without a node it is not known which moves have ended, and a text may
        # keep those.
        past = find_past_deadlines(document.moves, time.time())
        warnings = [f"{p.message}; refused unless the move has ended" for p in past]
        return self.print_meaning(document, None, warnings)

    async def check_against(
        self, client: NodeClient, path: str, document: TextDocument
    ) -> int:
        """Plan the edit without applying it."""
        body = await client.get_json("/config")
        if isinstance(body, ErrorResult):
            return self.fail(body)
        config = from_plain(Config, body)
        if isinstance(config, ErrorResult):
            return self.fail(config)
        planned = plan_edit(config, document, time.time())
        if isinstance(planned, list):
            return self.fail_text(path, planned)
        return self.print_meaning(document, describe_difference(config, planned), [])

    def print_meaning(
        self, document: TextDocument, difference: list[str] | None, warnings: list[str]
    ) -> int:
        """Print what a text without problems means."""
        warnings = warnings + find_non_idempotent_reads(document)
        meaning = format_document(document)

        def make_lines() -> list[str]:
            lines = meaning if difference is None else difference or ["no change"]
            return [*lines, *(f"warning: {warning}" for warning in warnings)]

        body = {"ok": True, "meaning": meaning, "warnings": warnings}
        if difference is not None:
            body["difference"] = difference
        return self.print_result(body, make_lines)


class ApplyCommand(OperatorCommand):
    """Applies a text."""

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
        """Run the command."""
        path, base = self.argument("file"), self.option("base")
        if base is not None and not (base.isascii() and base.isdigit()):
            raise MisuseError(f"--base {base!r} is not a revision")
        author = self.get_author()
        data = read_file(path)
        if isinstance(data, ErrorResult):
            return self.fail(data)
        if isinstance(data, TextProblem):
            return self.fail_text(path, [data])
        return self.run_with_client(
            lambda client: self.apply(client, path, data, base, author)
        )

    def get_author(self) -> str:
        """Return who applies the text."""
        try:
            return self.option("author") or getpass.getuser()
        except (KeyError, OSError):
            raise MisuseError("the user has no name; use --author") from None

    async def apply(
        self, client: NodeClient, path: str, data: bytes, base: str | None, author: str
    ) -> int:
        """Send the text, or say which base there is now."""
        if base is None:
            return await self.refuse_without_base(client)
        reply = await client.send(
            "POST", "/config", {"base": base, "author": author}, data
        )
        if isinstance(reply, ErrorResult):
            return self.fail(add_outcome(reply))
        body = reply.read_json()
        if isinstance(body, ErrorResult):
            return self.fail(body)
        if reply.status == 200:
            return self.print_result(body, lambda: format_applied(body))
        if "difference" in body:
            self.print_result(body, lambda: format_conflict(body))
            return EXIT_ERROR
        if "problems" in body:
            problems = [from_plain(TextProblem, fields) for fields in body["problems"]]
            return self.fail_text(path, problems)
        return self.fail_apply(read_error(reply, body), body)

    def fail_apply(self, error: ErrorResult, body: dict[str, Any]) -> int:
        """Print an error and whether the text may be in force all the same."""
        if body.get("run") != "not-run":
            advice = "it may be in force: look at status before you apply it again"
            return self.fail(ErrorResult(error.kind, f"{error.reason}; {advice}"))
        return self.fail(error)

    async def refuse_without_base(self, client: NodeClient) -> int:
        """Print the current base; taking it unseen would undo others' edits."""
        status = await client.get_json("/status")
        if isinstance(status, ErrorResult):
            return self.fail(status)
        revision = status.get("text_revision")
        reason = (
            f"not applied: the text revision is {revision}; compare your text with it "
            f"(check FILE --node URL), then apply with --base {revision}"
        )
        return self.fail(ErrorResult(ErrorKind.BAD_REQUEST, reason), EXIT_MISUSE)
