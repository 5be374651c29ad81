"""The ``where`` command: where a request would go now, and why."""

from pathlib import Path
from typing import Any

from cleo.helpers import argument, option

from bamboocove.cli_base import (
    EXIT_OK,
    JSON_OPTION,
    NODE_OPTION,
    OperatorCommand,
    UsageError,
)
from bamboocove.coordination.accounts import digest_key
from bamboocove.errors import ErrorKind, ErrorResult

EXIT_REFUSED = 3
MAX_KEY_BYTES = 4096


class WhereCommand(OperatorCommand):
    """Explains where a node beside a worker would send a request, without sending it.

    Exit statuses: 0 if the request would be placed, 3 if it would be refused, 1 if no
    node answers or the node is of a release without this command.
    """

    name = "where"
    description = "Explain where a node would send a request now, without sending it"
    arguments = [
        argument("hostname", description="host name of the request"),
        argument("path", description="path of the request"),
    ]
    options = [
        option(
            "key-file",
            description="file with the key of the client account; only its digest is "
            "sent to the node",
            flag=False,
        ),
        NODE_OPTION,
        JSON_OPTION,
    ]

    def handle(self) -> int:
        """Run the command and return the exit status."""
        query = {"hostname": self.argument("hostname"), "path": self.argument("path")}
        if not query["path"].startswith("/"):
            raise UsageError(f"path {query['path']!r} does not begin with a slash")
        if self.option("key-file"):
            query["key_digest"] = digest_key(self._read_key(self.option("key-file")))

        async def fetch(client: Any) -> int:
            body = await client.get_json("/explain", query)
            if isinstance(body, ErrorResult):
                return self.fail(body)
            try:
                lines = format_explanation(body)
                is_placed = body["outcome"]["status"] == 0
            except (KeyError, TypeError, AttributeError) as error:
                reason = f"the answer of the node is not as expected: {error!r}"
                return self.fail(ErrorResult(ErrorKind.INVALID_MESSAGE, reason))
            self.print_result(body, lambda: lines)
            return EXIT_OK if is_placed else EXIT_REFUSED

        return self.run_with_client(fetch)

    def _read_key(self, path: str) -> bytes:
        try:
            key = Path(path).read_bytes()[:MAX_KEY_BYTES].strip()
        except OSError as error:
            raise UsageError(f"{path}: {error.strerror or error}") from None
        if not key:
            raise UsageError(f"{path} holds no key")
        return key


def format_explanation(body: dict[str, Any]) -> list[str]:
    """Return the lines of an explanation, the outcome first."""
    outcome = body["outcome"]
    verdict = f"refused with {outcome['status']}" if outcome["status"] else "placed"
    lines = [
        f"{verdict}{' on ' + outcome['host'] if outcome['host'] else ''}: "
        f"{outcome['reason']}",
        f"node {body['node']} in zone {body['zone']}, configuration {body['config']}",
    ]
    for name in ("route", "account"):
        if name in body:
            fields = " ".join(f"{key}={value}" for key, value in body[name].items())
            lines.append(f"{name} {fields}")
    for service in body.get("services", ()):
        lines.append(
            f"service {service['service']}: {service['host'] or 'none'} of "
            f"{service['hosts']} hosts, zone_share={service['zone_share']} "
            f"mean_bytes={service['mean_bytes']}"
        )
        for candidate in service["candidates"]:
            lines.append(
                "  " + " ".join(f"{key}={value}" for key, value in candidate.items())
            )
    return lines
