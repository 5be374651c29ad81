"""Fake node with an in-memory configuration, for tests of the admin API and CLI.

Run as a program, it listens on loopback and prints its admin and call ports.
"""

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.resource import Resource
from twisted.web.server import Site

from bamboocove.coordination.edits import (
    PlannedEdit,
    StaleEdit,
    plan_edit,
    prepare_edit,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import HistoryRecord
from bamboocove.protocol.text import parse_text
from bamboocove.state.config import Config
from bamboocove.transport.admin import AdminServer, render_error
from bamboocove.transport.admin_operations import (
    AdminOperations,
    AppliedText,
    MoveEvent,
    TextConflict,
)

HOST = "127.0.0.1"
LIFETIME_S = 120
# Texts of this author are answered as if the response of the store were lost.
UNKNOWN_OUTCOME_AUTHOR = "lost"
NOW = 1796385600.0
TEXT = b"tenant: t\nservices: {a: {version: v1}}\n"
MOVE_TEXT = TEXT + b"moves: [{service: a, to: v2, by: 2099-12-05T05:00:00Z}]\n"


class FakeNode:
    """Node operations on a configuration in memory, which records its author."""

    def __init__(self):
        self.config = plan_edit(Config(), parse_text(TEXT), NOW)
        self.author = "ana"
        self.workers = []
        self.drained = False
        self.status = {"node": "n1"}
        self.result = None

    def announce_worker(self, worker):
        self.workers.append(worker)
        return self.result

    def get_status(self):
        return dict(self.status)

    def get_config(self):
        return self.config

    async def apply_text(self, data, base, author):
        if isinstance(self.result, Deferred):
            await self.result
            self.result = None
        if self.result is not None:
            return self.result
        if author == UNKNOWN_OUTCOME_AUTHOR:
            return ErrorResult(ErrorKind.STORE_UNKNOWN, "no answer")
        edit = prepare_edit(self.config, data, base, NOW, {})
        if isinstance(edit, StaleEdit):
            return TextConflict(edit.text_revision, self.author, edit.difference)
        if isinstance(edit, PlannedEdit):
            self.config, self.author = edit.config, author
            return AppliedText(edit.config.revision, edit.difference, edit.warnings)
        return edit

    async def read_history(self, after):
        if self.result is not None:
            return self.result
        return [HistoryRecord(after + 1, "ana", NOW, "first", ("BC701 x",), b"\xff")]

    async def explain_move(self, move_id):
        return [MoveEvent(2, NOW, "ana", "BC501 x")] if move_id == "m1" else []

    def drain(self):
        self.drained = True

    def make_operations(self):
        return AdminOperations(
            announce_worker=self.announce_worker,
            get_status=self.get_status,
            get_config=self.get_config,
            apply_text=self.apply_text,
            read_history=self.read_history,
            explain_move=self.explain_move,
            drain=self.drain,
        )


class CallResource(Resource):
    """Echoes the received request; a request for /none is answered with no route."""

    isLeaf = True

    def render(self, request):
        if request.path == b"/none":
            error = ErrorResult(ErrorKind.NO_ROUTE, "no route")
            return render_error(request, error)
        if request.path.startswith(b"/json"):
            return b'[{"a": 1}]'
        headers = ("bamboocove-service", "idempotency-key", "bamboocove-deadline-ms")
        received = [request.method.decode(), request.uri.decode()]
        received += [request.getHeader(name) or "-" for name in headers]
        received.append(request.content.read().decode())
        return " ".join(received).encode()


def main():
    """Print both ports and serve until terminated, ``LIFETIME_S`` at most."""
    node = FakeNode()
    admin = AdminServer(node.make_operations(), HOST, 0, reactor)
    calls = reactor.listenTCP(0, Site(CallResource()), interface=HOST)
    node.status["call_port"] = calls.getHost().port
    reactor.callLater(LIFETIME_S, reactor.stop)
    print(admin.start(), node.status["call_port"], flush=True)
    reactor.run()


if __name__ == "__main__":
    main()
