"""The ``call`` command, which sends one service call through a node."""

import re
from typing import Any
from urllib.parse import urlsplit

from cleo.helpers import argument, option

from bamboocove.cli_base import (
    EXIT_ERROR,
    EXIT_OK,
    JSON_OPTION,
    NODE_OPTION,
    OperatorCommand,
    UsageError,
    read_file,
)
from bamboocove.cli_client import (
    REPLY_TIMEOUT_S,
    NodeClient,
    Reply,
    check_node_url,
    note_unknown_outcome,
    run_on_reactor,
)
from bamboocove.cli_output import format_call
from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult

_METHOD_PATTERN = re.compile(r"[A-Z]{1,20}")
_VISIBLE_ASCII_PATTERN = re.compile(r"[!-~]{1,255}")
# Added to the deadline, because a node may answer at the deadline and the answer
# still has to travel back.
DEADLINE_MARGIN_S = 2.0


def describe_call(reply: Reply) -> dict[str, Any]:
    """Return a call's status, error kind, body and whether a retry is safe."""
    error_name = reply.headers.get("bamboocove-error")
    kind = next((kind for kind in ErrorKind if kind.value == error_name), None)
    answer = ERROR_RESPONSES.get(kind)
    return {
        "status": reply.status,
        "error": error_name,
        "run": reply.headers.get("bamboocove-run"),
        "retryable": answer.retryable if answer else None,
        "retry_after": reply.headers.get("retry-after"),
        "body": reply.body.decode("utf-8", "replace"),
    }


class CallCommand(OperatorCommand):
    """Sends one call and prints the reply; a failed call is never retried."""

    name = "call"
    description = "Make one call through a node and show status and error kind"
    arguments = [
        argument("service", "service to call"),
        argument("path", "path, with a query if needed"),
    ]
    options = [
        option("method", description="HTTP method", flag=False, default="GET"),
        option("body", description="body, or @FILE to read it", flag=False),
        option("key", description="idempotency key", flag=False),
        option("deadline-ms", description="time budget of the call", flag=False),
        option("via", description="URL of a node's call port", flag=False),
        NODE_OPTION,
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Send the call and return the exit status."""
        headers = self.make_headers()
        method, path = self.option("method").upper(), self.argument("path")
        if not _METHOD_PATTERN.fullmatch(method):
            raise UsageError(f"--method {method!r} is not a method")
        if not path.startswith("/"):
            raise UsageError(f"path {path!r} does not start with /")
        body = self.read_body()
        if isinstance(body, ErrorResult):
            return self.fail(body)
        via = self.option("via")
        nodes = [] if via else self.get_nodes()
        if via and isinstance(check_node_url(via), ErrorResult):
            raise UsageError(check_node_url(via).reason)

        async def send_and_print(reactor: Any) -> int:
            url = via or await self.find_call_url(NodeClient(nodes, reactor))
            if isinstance(url, ErrorResult):
                return self.fail(url)
            client = NodeClient([check_node_url(url)], reactor, self.get_timeout())
            reply = await client.send(method, path, body=body, headers=headers)
            if isinstance(reply, ErrorResult):
                return self.fail(note_unknown_outcome(reply))
            call = describe_call(reply)
            self.print_result(call, lambda: format_call(call))
            return EXIT_OK if reply.status < 400 else EXIT_ERROR

        return run_on_reactor(send_and_print)

    def make_headers(self) -> dict[str, str]:
        """Return the request headers of the call; raises UsageError for bad options."""
        service, key = self.argument("service"), self.option("key")
        deadline = self.option("deadline-ms")
        if not _VISIBLE_ASCII_PATTERN.fullmatch(service):
            raise UsageError(f"{service!r} is not the name of a service")
        headers = {"bamboocove-service": service}
        if key is not None:
            if not _VISIBLE_ASCII_PATTERN.fullmatch(key):
                raise UsageError(f"--key {key!r} has other characters than ! to ~")
            headers["Idempotency-Key"] = key
        if deadline is not None:
            if not (deadline.isascii() and deadline.isdigit() and int(deadline)):
                raise UsageError(f"--deadline-ms {deadline!r} is not a number of ms")
            headers["bamboocove-deadline-ms"] = deadline
        return headers

    def get_timeout(self) -> float:
        """Return the reply timeout in seconds."""
        deadline = self.option("deadline-ms")
        if deadline is None:
            return REPLY_TIMEOUT_S
        return int(deadline) / 1000 + DEADLINE_MARGIN_S

    def read_body(self) -> bytes | ErrorResult:
        """Return the request body, read from a file if the option starts with ``@``."""
        value = self.option("body") or ""
        if not value.startswith("@"):
            return value.encode()
        data = read_file(value[1:])
        if isinstance(data, bytes | ErrorResult):
            return data
        return ErrorResult(ErrorKind.TOO_LARGE, data.message)

    async def find_call_url(self, client: NodeClient) -> str | ErrorResult:
        """Return the call URL of the first node that can be reached."""
        reply = await client.send("GET", "/status")
        if isinstance(reply, ErrorResult):
            return reply
        status = reply.parse_json()
        if isinstance(status, ErrorResult):
            return status
        port = status.get("call_port")
        if not isinstance(port, int):
            reason = f"{reply.node} does not name its call port; use --via URL"
            return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
        host = urlsplit(reply.node).hostname
        return f"http://[{host}]:{port}" if ":" in host else f"http://{host}:{port}"
