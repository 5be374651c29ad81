"""HTTP interface for operators and for announcements of workers."""

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
    read_announcement,
)

MAX_ANNOUNCEMENT_BYTES = 16 * 1024
# A longer body is read and dropped, so that the sender gets its answer; beyond
# this the connection is closed.
MAX_DROPPED_BYTES = 64 * 1024 * 1024
IDLE_TIMEOUT_S = 30
MAX_AUTHOR = 63


class LimitedRequest(Request):
    """A request that holds its body in memory, up to a limit.

    The base class writes bodies of 100 kB and more to a temporary file, and
    hosts have no disks.
    """

    body_bytes = 0

    def gotLength(self, length: int | None) -> None:
        """Prepare for the body; named by Twisted."""
        self.content = BytesIO()

    def handleContentChunk(self, data: bytes) -> None:
        """Keep a part of the body, or drop it; named by Twisted."""
        self.body_bytes += len(data)
        if self.body_bytes <= MAX_TEXT_BYTES:
            self.content.write(data)
        elif self.body_bytes > MAX_DROPPED_BYTES:
            self.channel.transport.abortConnection()


def answer_json(request: Request, status: int, body: Any) -> bytes:
    """Set the status and return a JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"content-type", b"application/json")
    data = json.dumps(body, indent=1).encode() + b"\n"
    request.setHeader(b"content-length", b"%d" % len(data))
    return data


def answer_error(
    request: Request,
    error: ErrorResult,
    run: RunState | None = None,
    **fields: Any,
) -> bytes:
    """Answer an error as ``ERROR_RESPONSES`` says.

    Parameters
    ----------
    request : Request
        What is answered.
    error : ErrorResult
        The error.
    run : {"not-run", "unknown"}, optional
        Whether the operation took effect, where the table does not know.
    **fields : object
        Further fields of the JSON body.
    """
    answer = ERROR_RESPONSES[error.kind]
    run = run or answer.run
    request.setHeader(b"bamboocove-error", error.kind.value.encode())
    request.setHeader(b"bamboocove-run", run.encode())
    if answer.retry_after_s:
        request.setHeader(b"retry-after", b"%d" % answer.retry_after_s)
    body = {"error": error.kind.value, "reason": error.reason, "run": run, **fields}
    return answer_json(request, answer.status, body)


def _read_body(request: Request, limit: int) -> bytes | ErrorResult:
    if request.body_bytes > limit:
        reason = f"body has {request.body_bytes} bytes, more than {limit}"
        return ErrorResult(ErrorKind.TOO_LARGE, reason)
    return request.content.read()


def _read_argument(request: Request, name: str) -> str:
    values = request.args.get(name.encode(), [])
    return values[0].decode("utf-8", "replace") if len(values) == 1 else ""


def _read_revision(request: Request, name: str) -> int | ErrorResult:
    word = _read_argument(request, name)
    if not (word.isascii() and word.isdigit() and len(word) <= 15):
        reason = f"{name}=REV must be given once, as a number"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    return int(word)


def _read_author(request: Request) -> str | ErrorResult:
    author = _read_argument(request, "author").strip()
    if not author or len(author) > MAX_AUTHOR or not author.isprintable():
        reason = f"author=NAME must be given, at most {MAX_AUTHOR} characters"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    return author


def _shield(awaitable: Awaitable[Any]) -> Deferred:
    """Return a Deferred whose cancellation leaves the operation running.

    Klein cancels a handler when the client disconnects. A publication must go
    on: it may have been written already, and reads back its own outcome.
    """
    outer = Deferred(canceller=lambda _: None)

    async def run() -> Any:
        return await awaitable

    def finish(result: Any) -> None:
        if not outer.called:
            outer.callback(result)

    Deferred.fromCoroutine(run()).addBoth(finish)
    return outer


def _log_apply(author: str, result: ApplyResult) -> None:
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


def _answer_apply(request: Request, result: ApplyResult) -> bytes:
    if isinstance(result, AppliedText):
        return answer_json(request, 200, asdict(result))
    if isinstance(result, TextConflict):
        reason = f"text revision is {result.revision}, made by {result.author}"
        error = ErrorResult(ErrorKind.CONFLICT, reason)
        return answer_error(request, error, **asdict(result))
    if isinstance(result, list):
        error = ErrorResult(ErrorKind.INVALID_TEXT, f"{len(result)} problems")
        problems = [asdict(problem) for problem in result]
        return answer_error(request, error, problems=problems)
    # The table answers calls, which a store error always precedes. Here the
    # store itself is written.
    run = "unknown" if result.kind is ErrorKind.STORE_UNKNOWN else None
    return answer_error(request, result, run)


def _describe_record(record: HistoryRecord) -> dict[str, Any]:
    return {
        "revision": record.revision,
        "author": record.author,
        "at": record.at,
        "summary": record.summary,
        "events": list(record.events),
    }


def _add_reads(app: Klein, operations: AdminOperations) -> None:
    @app.route("/status", methods=["GET"])
    def get_status(request: Request) -> bytes:
        config = operations.get_config()
        status = {
            "tenant": config.tenant,
            "revision": config.revision,
            "text_revision": config.text_revision,
            **operations.get_status(),
        }
        return answer_json(request, 200, status)

    @app.route("/config", methods=["GET"])
    def get_config(request: Request) -> bytes:
        return answer_json(request, 200, to_plain(operations.get_config()))

    @app.route("/moves", methods=["GET"])
    def get_moves(request: Request) -> bytes:
        moves = operations.get_config().moves_by_id.values()
        ordered = sorted(moves, key=lambda move: (move.is_ended, move.move_id))
        return answer_json(request, 200, [to_plain(move) for move in ordered])

    @app.route("/history", methods=["GET"])
    async def get_history(request: Request) -> bytes:
        after = _read_revision(request, "after") if b"after" in request.args else 0
        if isinstance(after, ErrorResult):
            return answer_error(request, after)
        records = await operations.read_history(after)
        if isinstance(records, ErrorResult):
            return answer_error(request, records)
        body = [_describe_record(record) for record in records]
        return answer_json(request, 200, body)

    @app.route("/explain/<move_id>", methods=["GET"])
    async def explain(request: Request, move_id: str) -> bytes:
        events = await operations.explain_move(move_id)
        if isinstance(events, ErrorResult):
            return answer_error(request, events)
        if not events:
            error = ErrorResult(ErrorKind.NOT_FOUND, f"no move {move_id!r}")
            return answer_error(request, error)
        return answer_json(request, 200, [asdict(event) for event in events])


def _add_changes(app: Klein, operations: AdminOperations, host: str) -> None:
    @app.route("/workers", methods=["POST"])
    def announce(request: Request) -> bytes:
        data = _read_body(request, MAX_ANNOUNCEMENT_BYTES)
        if isinstance(data, ErrorResult):
            return answer_error(request, data)
        worker = read_announcement(data, host)
        if isinstance(worker, WorkerRecord):
            worker = operations.announce_worker(worker)
        if isinstance(worker, ErrorResult):
            return answer_error(request, worker)
        return answer_json(request, 200, {})

    @app.route("/config", methods=["POST"])
    async def apply_text(request: Request) -> bytes:
        data = _read_body(request, MAX_TEXT_BYTES)
        base = _read_revision(request, "base")
        author = _read_author(request)
        for checked in (data, base, author):
            if isinstance(checked, ErrorResult):
                return answer_error(request, checked)
        result = await _shield(operations.apply_text(data, base, author))
        _log_apply(author, result)
        return _answer_apply(request, result)

    @app.route("/drain", methods=["POST"])
    def drain(request: Request) -> bytes:
        operations.drain()
        return answer_json(request, 202, {"draining": True})


def _add_errors(app: Klein) -> None:
    @app.handle_errors(HTTPException)
    def answer_http_error(request: Request, failure: Any) -> bytes:
        kind = ErrorKind.BAD_REQUEST
        if isinstance(failure.value, NotFound):
            kind = ErrorKind.NOT_FOUND
        method = request.method.decode("ascii", "replace")
        path = request.path.decode("utf-8", "replace")
        error = ErrorResult(kind, f"{failure.value.name}: {method} {path}")
        return answer_error(request, error)

    @app.handle_errors(Exception)
    def answer_fault(request: Request, failure: Any) -> bytes:
        logger.error("admin interface: {}", failure.getTraceback())
        request.setHeader(b"bamboocove-run", b"unknown")
        return answer_json(request, 500, {"reason": "internal error, see the log"})


def make_admin_resource(operations: AdminOperations, host: str) -> Resource:
    """Return the resource of the admin interface.

    Parameters
    ----------
    operations : AdminOperations
        What it does.
    host : str
        IP number of this host, for the records of its workers.
    """
    app = Klein()
    _add_reads(app, operations)
    _add_changes(app, operations, host)
    _add_errors(app)
    return app.resource()


@define
class AdminServer:
    """The task that listens for operators and workers.

    Parameters
    ----------
    operations : AdminOperations
        What it does.
    host : str
        IP number to listen on.
    port : int
        TCP port; 0 for any.
    clock : IReactorTCP
        The reactor.
    """

    operations: AdminOperations
    host: str
    port: int
    clock: Any
    _listener: Any = None

    def make_site(self) -> Site:
        """Return the HTTP server of the interface."""
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
        """Listen and return the port."""
        site = self.make_site()
        self._listener = self.clock.listenTCP(self.port, site, interface=self.host)
        return self._listener.getHost().port

    async def stop(self) -> None:
        """Stop listening; requests in progress are answered."""
        if self._listener is not None:
            await self._listener.stopListening()
            self._listener = None
