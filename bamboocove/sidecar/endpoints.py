"""HTTP endpoints of a node: readiness, and metrics and explanations for operators."""

import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qsl

from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.logs import MAX_TEXT_LENGTH, log
from bamboocove.sidecar.metrics import MeshMetrics
from bamboocove.transport.closing import IncompleteClose
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import get_header

Handler = Callable[[Exchange], None]
EXPLAIN_PATH = b"/explain"


def log_incomplete_close(dialect: Dialect, port: int, close: IncompleteClose) -> None:
    """Log a connection that ended before all of its responses were sent."""
    ids = [get_header(e.headers, dialect.attempt_id) for e in close.unanswered]
    log(
        "connection.incomplete",
        # One request is found by its identifier, like in the lines of other events.
        id=ids[0] if ids else None,
        port=port,
        reason=close.reason,
        unanswered=ids,
        received=sum(exchange.is_complete for exchange in close.unanswered),
        passed_on=sum(exchange.is_started for exchange in close.unanswered),
        unsent_bytes=close.unsent_bytes,
        unacknowledged_bytes=close.unacknowledged_bytes,
        is_head_incomplete=close.is_head_incomplete,
    )


def log_failed_handler(
    dialect: Dialect, port: int, exchange: Exchange, traceback: str
) -> None:
    """Log a program error in the handler of a request."""
    log(
        "request.handler-failed",
        id=get_header(exchange.headers, dialect.attempt_id),
        port=port,
        # The last lines say where.
        traceback=traceback[-MAX_TEXT_LENGTH:],
    )


def make_readiness_handler(dialect: Dialect, is_ready: Callable[[], bool]) -> Handler:
    """Return the handler of readiness checks: 200 if ready, else 503."""

    def handle(exchange: Exchange) -> None:
        if exchange.target.partition(b"?")[0] != dialect.readiness_path:
            exchange.respond(404, [])
            return
        exchange.respond(200 if is_ready() else 503, [])

    return handle


def make_operations_handler(
    dialect: Dialect,
    metrics: MeshMetrics,
    explain: Callable[[str, str, str], dict[str, Any]],
) -> Handler:
    """Return the handler of operators' requests.

    It serves the metrics in the Prometheus text format, and explanations of requests
    as JSON; ``explain`` takes the host name, the path and the digest of the key.
    """

    def handle(exchange: Exchange) -> None:
        path, _, query = exchange.target.partition(b"?")
        if path == dialect.metrics_path:
            headers = [(b"content-type", b"text/plain; version=0.0.4")]
            exchange.respond(200, headers, metrics.format())
        elif path == EXPLAIN_PATH:
            fields = dict(parse_qsl(query.decode("latin-1")))
            explanation = explain(
                fields.get("hostname", ""),
                fields.get("path", ""),
                fields.get("key_digest", ""),
            )
            headers = [(b"content-type", b"application/json")]
            exchange.respond(200, headers, json.dumps(explanation).encode())
        else:
            exchange.respond(404, [])

    return handle
