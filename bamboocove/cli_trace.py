"""The ``trace`` command, which follows a request through the logs of nodes."""

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
    """Prints the log lines of a request and the cause of its outcome."""

    name = "trace"
    description = "Follow a request through the logs of several nodes"
    arguments = [
        argument("id", "identifier of the request's attempt"),
        argument("files", "logs of nodes", multiple=True),
    ]
    options = [JSON_OPTION]

    def handle(self) -> int:
        """Print the trace and return ``EXIT_ERROR`` if no line was found."""
        request_id = self.argument("id")
        lines = read_logs(self.argument("files"))
        if isinstance(lines, ErrorResult):
            self.line_error(str(lines))
            return EXIT_ERROR
        trace = trace_request(lines, request_id)
        cause = explain_request(lines, request_id)
        if self.option("json"):
            document = {"cause": cause, "lines": [asdict(line) for line in trace]}
            self.line(json.dumps(document))
        else:
            if trace:
                self.line(format_trace(trace))
            self.line(cause)
        return 0 if trace else EXIT_ERROR
