"""HTTP admin interface for operators and for announcements of workers."""

import json
from collections.abc import Awaitable
from io import BytesIO
from typing import Any

from attrs import asdict, define
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import Request, Site
from werkzeug.exceptions import HTTPException, NotFound

from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult, RunState
from bamboocove.events import log_event, logger
from bamboocove.protocol.rows import HistoryRecord
from bamboocove.protocol.text_source import MAX_TEXT_BYTES
from bamboocove.state.codec import to_plain
from bamboocove.state.members import WorkerRecord
from bamboocove.transport.admin_operations import (
    AdminOperations,
    AppliedText,
    ApplyResult,
    TextConflict,
    parse_announcement,
)

MAX_ANNOUNCEMENT_BYTES = 16 * 1024
# A body over the size limit is read and discarded, so that the sender receives
# the error response. A connection that sends more than this is aborted.
MAX_DISCARDED_BYTES = 64 * 1024 * 1024
IDLE_TIMEOUT_S = 30
MAX_AUTHOR_CHARS = 63


class LimitedRequest(Request):
    """An HTTP request that keeps its body in memory, up to a size limit.

    The base class writes bodies of 100 kB and more to a temporary file, and
    hosts have no disks.
    """

    body_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Create the body buffer; overrides the Twisted method."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Store or discard a part of the body; overrides the Twisted method."""
        self.body_bytes += len(data)
        if self.body_bytes <= MAX_TEXT_BYTES:
            self.content.write(data)
        elif self.body_bytes > MAX_DISCARDED_BYTES:
            self.channel.transport.abortConnection()


def render_json(request: Request, status: int, body: Any) -> bytes:
    """Set status and header fields of a response and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    data = json.dumps(body, indent=1).encode() + b"\n"
    request.setHeader(b"content-length", b"%d" % len(data))
    return data


def render_error(
    request: Request,
    error: ErrorResult,
    run: RunState | None = None,
    **fields: Any,
) -> bytes:
    """Return an error response with status and header fields of ``ERROR_RESPONSES``.

    Parameters
    ----------
    request : Request
        Request to respond to.
    error : ErrorResult
        Selects the entry of ``ERROR_RESPONSES``; its reason goes into the body.
    run : {"not-run", "unknown"}, optional
        Whether the operation took effect, if it differs from ``ERROR_RESPONSES``.
    **fields : object
        Additional fields of the JSON body.
    """
    response = ERROR_RESPONSES[error.kind]
    run = run or response.run
    request.setHeader(b"bamboocove-error", error.kind.value.encode())
    request.setHeader(b"bamboocove-run", run.encode())
    if response.retry_after_s:
        request.setHeader(b"retry-after", b"%d" % response.retry_after_s)
    body = {"error": error.kind.value, "reason": error.reason, "run": run, **fields}
    return render_json(request, response.status, body)


def _read_body(request: Request, limit: int) -> bytes | ErrorResult:
    if request.body_bytes > limit:
        reason = f"body has {request.body_bytes} bytes, more than {limit}"
        return ErrorResult(ErrorKind.TOO_LARGE, reason)
    return request.content.read()


def _get_query_argument(request: Request, name: str) -> str:
    values = request.args.get(name.encode(), [])
    return values[0].decode("utf-8", "replace") if len(values) == 1 else ""


def _parse_revision(request: Request, name: str) -> int | ErrorResult:
    value = _get_query_argument(request, name)
    if not (value.isascii() and value.isdigit() and len(value) <= 15):
        reason = f"{name}=REV must be given once, as a number"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    return int(value)


def _parse_author(request: Request) -> str | ErrorResult:
    author = _get_query_argument(request, "author").strip()
    if not author or len(author) > MAX_AUTHOR_CHARS or not author.isprintable():
        reason = f"author=NAME must be given, at most {MAX_AUTHOR_CHARS} characters"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    return author


def _shield(awaitable: Awaitable[Any]) -> Deferred:
    """Return a Deferred whose cancellation leaves the operation running.

    Klein cancels a handler when the client disconnects. A publication must
    continue: its write may have been committed already, and it reads the store
    to learn its outcome.
    """
    outer = Deferred(canceller=lambda _: None)

    async def run() -> Any:
        return await awaitable

    def finish(result: Any) -> None:
        if not outer.called:
            outer.callback(result)

    Deferred.fromCoroutine(run()).addBoth(finish)
    return outer


def _log_apply_result(author: str, result: ApplyResult) -> None:
    if isinstance(result, AppliedText):
        if result.difference:
            log_event(701, author=author, revision=result.revision)
        return
    if isinstance(result, TextConflict):
        reason = f"{result.author} was first, at revision {result.revision}"
    elif isinstance(result, list):
        reason = f"{len(result)} problems, first {result[0]}"
    else:
        reason = str(result)
    log_event(702, author=author, reason=reason)


def _render_apply_result(request: Request, result: ApplyResult) -> bytes:
    if isinstance(result, AppliedText):
        return render_json(request, 200, asdict(result))
    if isinstance(result, TextConflict):
        reason = f"text revision is {result.revision}, made by {result.author}"
        error = ErrorResult(ErrorKind.CONFLICT, reason)
        return render_error(request, error, **asdict(result))
    if isinstance(result, list):
        error = ErrorResult(ErrorKind.INVALID_TEXT, f"{len(result)} problems")
        problems = [asdict(problem) for problem in result]
        return render_error(request, error, problems=problems)
    # ANSWERS describes calls, where a store error always occurs before the call
    # runs. This operation writes the store itself, so a write whose outcome is
    # unknown may have taken effect.
    run = "unknown" if result.kind is ErrorKind.STORE_UNKNOWN else None
    return render_error(request, result, run)


def _serialize_record(record: HistoryRecord) -> dict[str, Any]:
    return {
        "revision": record.revision,
        "author": record.author,
        "at": record.at,
        "summary": record.summary,
        "events": list(record.events),
    }


def _add_read_routes(app: Klein, operations: AdminOperations) -> None:
    @app.route("/status", methods=["GET"])
    def get_status(request: Request) -> bytes:
        config = operations.get_config()
        status = {
            "tenant": config.tenant,
            "revision": config.revision,
            "text_revision": config.text_revision,
            **operations.get_status(),
        }
        return render_json(request, 200, status)

    @app.route("/config", methods=["GET"])
    def get_config(request: Request) -> bytes:
        return render_json(request, 200, to_plain(operations.get_config()))

    @app.route("/moves", methods=["GET"])
    def get_moves(request: Request) -> bytes:
        moves = operations.get_config().moves_by_id.values()
        ordered = sorted(moves, key=lambda move: (move.is_ended, move.move_id))
        return render_json(request, 200, [to_plain(move) for move in ordered])

    @app.route("/history", methods=["GET"])
    async def get_history(request: Request) -> bytes:
        after = _parse_revision(request, "after") if b"after" in request.args else 0
        if isinstance(after, ErrorResult):
            return render_error(request, after)
        records = await operations.read_history(after)
        if isinstance(records, ErrorResult):
            return render_error(request, records)
        body = [_serialize_record(record) for record in records]
        return render_json(request, 200, body)

    @app.route("/explain/<move_id>", methods=["GET"])
    async def explain(request: Request, move_id: str) -> bytes:
        events = await operations.explain_move(move_id)
        if isinstance(events, ErrorResult):
            return render_error(request, events)
        if not events:
            error = ErrorResult(ErrorKind.NOT_FOUND, f"no move {move_id!r}")
            return render_error(request, error)
        return render_json(request, 200, [asdict(event) for event in events])


def _add_write_routes(app: Klein, operations: AdminOperations, host: str) -> None:
    @app.route("/workers", methods=["POST"])
    def announce(request: Request) -> bytes:
        data = _read_body(request, MAX_ANNOUNCEMENT_BYTES)
        if isinstance(data, ErrorResult):
            return render_error(request, data)
        worker = parse_announcement(data, host)
        if isinstance(worker, WorkerRecord):
            worker = operations.announce_worker(worker)
        if isinstance(worker, ErrorResult):
            return render_error(request, worker)
        return render_json(request, 200, {})

    @app.route("/config", methods=["POST"])
    async def apply_text(request: Request) -> bytes:
        data = _read_body(request, MAX_TEXT_BYTES)
        base = _parse_revision(request, "base")
        author = _parse_author(request)
        for value in (data, base, author):
            if isinstance(value, ErrorResult):
                return render_error(request, value)
        result = await _shield(operations.apply_text(data, base, author))
        _log_apply_result(author, result)
        return _render_apply_result(request, result)

    @app.route("/drain", methods=["POST"])
    def drain(request: Request) -> bytes:
        operations.drain()
        return render_json(request, 202, {"draining": True})


def _add_error_handlers(app: Klein) -> None:
    @app.handle_errors(HTTPException)
    def render_http_error(request: Request, failure: Any) -> bytes:
        kind = ErrorKind.BAD_REQUEST
        if isinstance(failure.value, NotFound):
            kind = ErrorKind.NOT_FOUND
        method = request.method.decode("ascii", "replace")
        path = request.path.decode("utf-8", "replace")
        error = ErrorResult(kind, f"{failure.value.name}: {method} {path}")
        return render_error(request, error)

    @app.handle_errors(Exception)
    def render_exception(request: Request, failure: Any) -> bytes:
        logger.error("admin interface: unhandled exception: {}", failure.getTraceback())
        request.setHeader(b"bamboocove-run", b"unknown")
        return render_json(request, 500, {"reason": "internal error, see the log"})


def make_admin_resource(operations: AdminOperations, host: str) -> Resource:
    """Return the Twisted resource that serves the admin interface.

    Parameters
    ----------
    operations : AdminOperations
        Operations that the routes call.
    host : str
        IP address of this host, stored in the records of its workers.
    """
    app = Klein()
    _add_read_routes(app, operations)
    _add_write_routes(app, operations, host)
    _add_error_handlers(app)
    return app.resource()


@define
class AdminServer:
    """HTTP server of the admin interface, used by operators and workers.

    Parameters
    ----------
    operations : AdminOperations
        Operations that the routes call.
    host : str
        IP address to listen on.
    port : int
        TCP port; 0 for any free port.
    clock : IReactorTCP
        Twisted reactor.
    """

    operations: AdminOperations
    host: str
    port: int
    clock: Any
    _listener: Any = None

    def make_site(self) -> Site:
        """Return the Twisted HTTP site of the interface."""
        site = Site(
            make_admin_resource(self.operations, self.host),
            requestFactory=LimitedRequest,
            parsePOSTFormSubmission=False,
            timeout=IDLE_TIMEOUT_S,
            reactor=self.clock,
        )
        site.noisy = False
        return site

    def start(self) -> int:
        """Start listening and return the TCP port."""
        site = self.make_site()
        self._listener = self.clock.listenTCP(self.port, site, interface=self.host)
        return self._listener.getHost().port

    async def stop(self) -> None:
        """Stop listening; requests in progress still get their responses."""
        if self._listener is not None:
            await self._listener.stopListening()
            self._listener = None
