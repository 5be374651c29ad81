"""Command that follows a request through the logs of several nodes."""

import json

from attrs import asdict
from cleo.helpers import argument

from bamboocove.cli_base import EXIT_ERROR, JSON_OPTION, OperatorCommand
from bamboocove.errors import ErrorResult
from bamboocove.tracing import (
    explain_request,
    format_trace,
    read_logs,
    trace_request,
)


class TraceCommand(OperatorCommand):
    """Prints the life of a request and the cause of its end."""

    name = "trace"
    description = "Follow a request through the logs of several nodes"
    arguments = [
        argument("id", "identifier of the request's attempt"),
        argument("files", "logs of nodes", multiple=True),
    ]
    options = [JSON_OPTION]

    def handle(self) -> int:
        """Run the command."""
        request_id = self.argument("id")
        lines = read_logs(self.argument("files"))
        if isinstance(lines, ErrorResult):
            self.line_error(str(lines))
            return EXIT_ERROR
        found = trace_request(lines, request_id)
        cause = explain_request(lines, request_id)
        if self.option("json"):
            document = {"cause": cause, "lines": [asdict(line) for line in found]}
            self.line(json.dumps(document))
        else:
            if found:
                self.line(format_trace(found))
            self.line(cause)
        return 0 if found else EXIT_ERROR
