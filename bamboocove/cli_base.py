"""Shared base class, options and exit statuses of the command-line tool."""

import json
import os
import sys
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

from attrs import asdict
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from bamboocove.cli_client import NodeClient, check_node_url, run_on_reactor
from bamboocove.cli_output import format_problems
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.text_source import (
    MAX_TEXT_BYTES,
    TextProblem,
    make_size_problem,
)

EXIT_OK = 0
EXIT_ERROR = 1
EXIT_USAGE_ERROR = 2
NODES_VARIABLE = "BAMBOOCOVE_NODES"

NODE_OPTION = option(
    "node",
    description="URL of a node's admin port; may be given several times. "
    f"Default: the URLs in {NODES_VARIABLE}",
    flag=False,
    multiple=True,
)
JSON_OPTION = option("json", description="print JSON for programs")


class UsageError(Exception):
    """Raised when command-line arguments or options are missing or invalid."""


def read_file(path: str) -> bytes | TextProblem | ErrorResult:
    """Return the contents of a file, or of standard input for ``-``.

    At most ``MAX_TEXT_BYTES`` + 1 bytes are read: an oversized input is reported
    as a problem instead of being loaded into memory.
    """
    try:
        if path == "-":
            data, size = sys.stdin.buffer.read(MAX_TEXT_BYTES + 1), 0
        else:
            with Path(path).open("rb") as file:
                size = os.fstat(file.fileno()).st_size
                data = b"" if size > MAX_TEXT_BYTES else file.read(MAX_TEXT_BYTES + 1)
    except OSError as error:
        reason = f"{path}: {error.strerror or error}"
        return ErrorResult(ErrorKind.NOT_FOUND, reason)
    if max(size, len(data)) > MAX_TEXT_BYTES:
        return make_size_problem(max(size, len(data)))
    return data


class OperatorCommand(Command):
    """Base class of all commands: prints results and errors, and finds nodes."""

    def print_lines(self, lines: Sequence[str]) -> None:
        """Print lines verbatim, without interpreting Cleo's style tags."""
        for line in lines:
            self.io.output.write(line, new_line=True, type=Type.RAW)

    def print_result(self, body: Any, format_lines: Callable[[], Sequence[str]]) -> int:
        """Print a result as text, or as JSON with ``--json``; return ``EXIT_OK``.

        ``format_lines`` returns the lines of the text; it isn't called for JSON.
        """
        if self.option("json"):
            self.print_lines([json.dumps(body, indent=1)])
        else:
            self.print_lines(format_lines())
        return EXIT_OK

    def fail(self, error: ErrorResult, status: int = EXIT_ERROR) -> int:
        """Print an error and return the exit status."""
        if self.option("json"):
            body = {"error": error.kind.value, "reason": error.reason}
            self.print_lines([json.dumps(body, indent=1)])
        else:
            text = f"error: {error.reason} ({error.kind.value})"
            self.io.error_output.write(text, new_line=True, type=Type.RAW)
        return status

    def fail_with_problems(self, path: str, problems: Sequence[TextProblem]) -> int:
        """Print the problems of a configuration text and return the exit status."""
        body = {"ok": False, "problems": [asdict(problem) for problem in problems]}
        self.print_result(body, lambda: format_problems(path, problems))
        return EXIT_ERROR

    def get_nodes(self) -> list[str]:
        """Return the admin URLs of the nodes, in the order in which they are tried.

        The ``--node`` options take precedence over the environment variable.
        """
        urls = self.option("node") or os.environ.get(NODES_VARIABLE, "").split()
        if not urls:
            raise UsageError(f"no node given: use --node URL or set {NODES_VARIABLE}")
        nodes = [check_node_url(url) for url in urls]
        for node in nodes:
            if isinstance(node, ErrorResult):
                raise UsageError(node.reason)
        return nodes

    def run_with_client(self, main: Callable[[NodeClient], Awaitable[int]]) -> int:
        """Run a coroutine function with a client on the reactor; return its status."""
        nodes = self.get_nodes()
        return run_on_reactor(lambda reactor: main(NodeClient(nodes, reactor)))

    def print_from_node(
        self,
        path: str,
        format_lines: Callable[[Any], Sequence[str]],
        query: dict[str, Any] | None = None,
    ) -> int:
        """Print the JSON body that a node returns for a GET request."""

        async def fetch_and_print(client: NodeClient) -> int:
            body = await client.get_json(path, query)
            if isinstance(body, ErrorResult):
                return self.fail(body)
            try:
                return self.print_result(body, lambda: format_lines(body))
            except (AttributeError, KeyError, TypeError, ValueError) as error:
                reason = f"answer to {path} is not as expected: {error!r}"
                return self.fail(ErrorResult(ErrorKind.INVALID_MESSAGE, reason))

        return self.run_with_client(fetch_and_print)
