"""HTTP server that stands in for the table service and the object store."""

import bisect
import json
from collections.abc import Callable
from typing import Any

import cbor2
from attrs import define, evolve, field
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.web.server import Request, Site

from bamboocove.errors import ErrorResult
from bamboocove.protocol.rows import ABSENT, Committed, Conflict, Row, Transaction
from bamboocove.standin_faults import PlatformFaults, RateLimit, update_faults
from bamboocove.state.codec import from_plain, to_plain

CBOR_TYPE = "application/cbor"
MAX_LIST_ROWS = 10_000


@define
class TableState:
    """In-memory rows with optimistic transactions.

    Parameters
    ----------
    rows_by_key : dict of str to Row
        Rows by key.
    keys : list of str
        Keys of all rows in ascending order.
    """

    rows_by_key: dict[str, Row] = field(factory=dict)
    keys: list[str] = field(factory=list)

    def list_rows(self, prefix: str, after: str, limit: int) -> list[Row]:
        """Return rows with a prefix and a key above ``after``, in key order."""
        start = max(
            bisect.bisect_left(self.keys, prefix),
            bisect.bisect_right(self.keys, after),
        )
        rows = []
        for key in self.keys[start : start + limit]:
            if not key.startswith(prefix):
                break
            rows.append(self.rows_by_key[key])
        return rows

    def transact(self, transaction: Transaction) -> Committed | Conflict:
        """Apply all writes of a transaction, or none if a version check fails."""
        for check in transaction.checks:
            version = self._get_version(check.key)
            if version != check.version:
                return Conflict.of(check.key, version)
        versions_by_key = {}
        for write in transaction.writes:
            if write.value is None:
                self._delete(write.key)
                versions_by_key[write.key] = ABSENT
                continue
            version = self._get_version(write.key) + 1
            if version == ABSENT + 1:
                bisect.insort(self.keys, write.key)
            self.rows_by_key[write.key] = Row(
                write.key, version, transaction.operation_id, write.value
            )
            versions_by_key[write.key] = version
        return Committed(versions_by_key)

    def _get_version(self, key: str) -> int:
        row = self.rows_by_key.get(key)
        return ABSENT if row is None else row.version

    def _delete(self, key: str) -> None:
        if self.rows_by_key.pop(key, None) is not None:
            self.keys.pop(bisect.bisect_left(self.keys, key))


Operation = Callable[[], tuple[int, bytes]]


class PlatformStandin:
    """HTTP server with in-memory storage and injected faults.

    Parameters
    ----------
    clock : IReactorTime and IReactorTCP
        The reactor.
    """

    app = Klein()

    def __init__(self, clock: Any):
        self.table = TableState()
        self.objects_by_name: dict[str, bytes] = {}
        self.faults = PlatformFaults()
        self.counts_by_name = dict.fromkeys(
            ("reads", "writes", "refused", "conflicts", "lost_answers"), 0
        )
        self._clock = clock
        self._read_limit = RateLimit()
        self._write_limit = RateLimit()
        self._port = None

    def start(self, host: str, port: int) -> int:
        """Listen and return the port."""
        site = Site(self.app.resource(), reactor=self._clock)
        self._port = self._clock.listenTCP(port, site, interface=host)
        return self._port.getHost().port

    async def stop(self) -> None:
        """Stop listening."""
        if self._port is not None:
            await self._port.stopListening()

    @app.route("/table/rows", methods=["GET"])
    async def list_rows(self, request: Request) -> bytes:
        """Respond with the rows of a key range."""
        try:
            prefix = _get_argument(request, b"prefix", "")
            after = _get_argument(request, b"after", "")
            limit = int(_get_argument(request, b"limit", "1000"))
        except ValueError as error:
            return _refuse(request, 400, str(error))
        limit = max(1, min(limit, MAX_LIST_ROWS))

        def operation():
            rows = self.table.list_rows(prefix, after, limit)
            return 200, cbor2.dumps(to_plain(rows))

        return await self._serve(request, operation, is_write=False)

    @app.route("/table/rows/<path:key>", methods=["GET"])
    async def get_row(self, request: Request, key: str) -> bytes:
        """Respond with one row, or with 404."""

        def operation():
            row = self.table.rows_by_key.get(key)
            return (404, b"") if row is None else (200, cbor2.dumps(to_plain(row)))

        return await self._serve(request, operation, is_write=False)

    @app.route("/table/transactions", methods=["POST"])
    async def transact(self, request: Request) -> bytes:
        """Run a transaction and respond with the new versions, or 409 on conflict."""
        try:
            transaction = from_plain(Transaction, cbor2.loads(request.content.read()))
        except (cbor2.CBORDecodeError, ValueError) as error:
            return _refuse(request, 400, str(error))
        if isinstance(transaction, ErrorResult):
            return _refuse(request, 400, transaction.reason)

        def operation():
            result = self.table.transact(transaction)
            if isinstance(result, Conflict):
                self.counts_by_name["conflicts"] += 1
                plain = {"key": result.key, "version": result.version}
                return 409, cbor2.dumps(plain)
            return 200, cbor2.dumps({"versions": result.versions_by_key})

        return await self._serve(request, operation, is_write=True)

    @app.route("/objects/<path:name>", methods=["PUT"])
    async def put_object(self, request: Request, name: str) -> bytes:
        """Store an object."""
        data = request.content.read()

        def operation():
            self.objects_by_name[name] = data
            return 200, b""

        return await self._serve(request, operation, is_write=True)

    @app.route("/objects/<path:name>", methods=["GET"])
    async def get_object(self, request: Request, name: str) -> bytes:
        """Respond with an object, or with 404."""

        def operation():
            data = self.objects_by_name.get(name)
            return (404, b"") if data is None else (200, data)

        return await self._serve(request, operation, is_write=False)

    @app.route("/faults", methods=["GET", "POST"])
    def change_faults(self, request: Request) -> bytes:
        """Change the faults given in a JSON object and respond with all faults."""
        if request.method == b"POST":
            try:
                changes = json.loads(request.content.read())
                self.faults = update_faults(self.faults, changes)
            except ValueError as error:
                return _refuse(request, 400, str(error))
        return _answer_json(request, to_plain(self.faults))

    @app.route("/counters", methods=["GET"])
    def get_counters(self, request: Request) -> bytes:
        """Respond with the counters."""
        return _answer_json(request, self.counts_by_name)

    async def _serve(
        self, request: Request, operation: Operation, is_write: bool
    ) -> bytes:
        if self.faults.silent:
            await Deferred()
        if self.faults.outage:
            self.counts_by_name["refused"] += 1
            return _refuse(request, 503, "outage")
        limit = self._write_limit if is_write else self._read_limit
        rate = self.faults.writes_per_s if is_write else self.faults.reads_per_s
        if not limit.admit(rate, self._clock.seconds()):
            self.counts_by_name["refused"] += 1
            return _refuse(request, 429, "rate limit")
        status, body = await self._run_after_delay(operation, is_write)
        if is_write and status == 200 and self._consume_lost_answer():
            request.transport.abortConnection()
            await Deferred()
        request.setResponseCode(status)
        request.setHeader("Content-Type", CBOR_TYPE)
        return body

    def _run_after_delay(self, operation: Operation, is_write: bool) -> Deferred:
        # klein cancels the handler when the client disconnects; a delayed write
        # takes effect nevertheless, so the operation does not depend on the handler.
        done = Deferred()

        def run():
            self.counts_by_name["writes" if is_write else "reads"] += 1
            result = operation()
            if not done.called:
                done.callback(result)

        if self.faults.delay_s > 0:
            self._clock.callLater(self.faults.delay_s, run)
        else:
            run()
        return done

    def _consume_lost_answer(self) -> bool:
        left = self.faults.lost_answers
        if left == 0:
            return False
        if left > 0:
            self.faults = evolve(self.faults, lost_answers=left - 1)
        self.counts_by_name["lost_answers"] += 1
        return True


def _get_argument(request: Request, name: bytes, default: str) -> str:
    values = request.args.get(name)
    return default if not values else values[0].decode("utf-8")


def _refuse(request: Request, status: int, reason: str) -> bytes:
    request.setResponseCode(status)
    request.setHeader("Content-Type", "text/plain; charset=utf-8")
    return reason.encode()


def _answer_json(request: Request, value: Any) -> bytes:
    request.setHeader("Content-Type", "application/json")
    return json.dumps(value).encode()
