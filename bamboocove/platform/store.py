"""Client of the platform's store: rows in tables, read, changed and watched."""

import base64
import binascii
import json
from typing import Any
from urllib.parse import quote, urlencode

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.documents import (
    decode_config,
    decode_order,
    encode_move_status,
)
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.state.codec import decode, encode
from bamboocove.state.mesh import HostRecord, MoveOrder, VersionRule
from bamboocove.transport.clients import Address, ConnectionPool
from bamboocove.transport.fetching import Fetch, Response, format_request

JSON = [(b"content-type", b"application/json")]
# The store answers in about 4 ms; a slow one takes up to 60 times as long.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
# Longest wait of one call for changes, and the time that its answer may take on
# top. A store that has fallen silent is noticed after their sum; only the readers
# of each zone make this call, so that it may be short.
WATCH_S = 2.0
WATCH_SLACK_S = 0.8
PAGE_ROWS = 500
# The operator writes this table; only the status of moves is ours to write.
OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
HOSTS_TABLE = "bamboocove-hosts"
RULES_TABLE = "bamboocove-rules"
CONFIG_KEY = "config"
# Keys of orders to move a service; the platform calls them rollouts.
ORDER_PREFIX = "rollout/"

OK = 200
CONFLICT = 412
GONE = 410


@frozen
class _Row:
    """One row; ``value`` is None if it was removed."""

    key: str
    value: bytes | None
    revision: int


class PlatformStore:
    """The platform's store as the tasks of a node use it.

    All methods return an ErrorResult instead of their result if the store
    cannot be used: ``STORE_UNAVAILABLE`` if nothing was done, and
    ``STORE_UNKNOWN`` if a write may have been done.

    Parameters
    ----------
    address : (str, int)
        Where the store listens.
    clock : reactor
        Source of time and connections.
    """

    def __init__(self, address: Address, clock: Any):
        self._address = address
        self._pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
        self.calls = 0

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._pool.sweep(now)

    async def read_operator(self) -> OperatorUpdate | ErrorResult:
        """Read what the operator wrote: the configuration and all orders."""
        result = await self._read_table(OPERATOR_TABLE)
        if isinstance(result, ErrorResult):
            return result
        return _to_news(*result, is_whole=True)

    async def watch_operator(self, revision: int) -> OperatorUpdate | ErrorResult:
        """Wait for what the operator writes after a revision.

        Returns
        -------
        news : OperatorNews or ErrorResult
            ``STALE`` if the store no longer has the history.
        """
        query = {
            "table": OPERATOR_TABLE,
            "after": revision,
            "waitMs": int(WATCH_S * 1000),
        }
        target = "/api/rows-feed?" + urlencode(query)
        document = await self._call(b"GET", target, b"", WATCH_S + WATCH_SLACK_S)
        if isinstance(document, ErrorResult):
            return document
        return _to_news(
            _read_rows(document), int(document.get("ver", revision)), is_whole=False
        )

    async def read_hosts(self) -> list[HostRecord] | ErrorResult:
        """Read the records of all hosts."""
        return await self._read_records(HOSTS_TABLE, HostRecord)

    async def write_host(self, record: HostRecord) -> int | ErrorResult:
        """Write the record of this host."""
        row = (HOSTS_TABLE, record.host_id, encode(record))
        return await self._write([], [row], [])

    async def remove_host(self, host_id: str) -> int | ErrorResult:
        """Remove the record of a host that is gone."""
        return await self._write([], [], [(HOSTS_TABLE, host_id)])

    async def read_rules(self) -> list[VersionRule] | ErrorResult:
        """Read which versions of services may run requests."""
        return await self._read_records(RULES_TABLE, VersionRule)

    async def write_rule(self, rule: VersionRule) -> VersionRule | ErrorResult:
        """Write a rule and the status of its order, unless a newer one is there.

        Returns
        -------
        rule : VersionRule or ErrorResult
            The rule that is in the store afterwards.
        """
        result = await self._read_table(RULES_TABLE, rule.service)
        if isinstance(result, ErrorResult):
            return result
        expected = 0
        for row in result[0]:
            held = decode(VersionRule, row.value or b"")
            if isinstance(held, ErrorResult):
                log("store.row-unreadable", key=row.key, reason=held.reason)
            elif held.age_key >= rule.age_key:
                return held
            expected = row.revision
        written = await self._write(
            [(RULES_TABLE, rule.service, expected)],
            [
                (RULES_TABLE, rule.service, encode(rule)),
                (STATUS_TABLE, ORDER_PREFIX + rule.service, encode_move_status(rule)),
            ],
            [],
        )
        return rule if not isinstance(written, ErrorResult) else written

    async def _read_records(self, table: str, cls: type) -> Any:
        result = await self._read_table(table)
        if isinstance(result, ErrorResult):
            return result
        records = []
        for row in result[0]:
            record = decode(cls, row.value or b"")
            if isinstance(record, ErrorResult):
                log("store.row-unreadable", key=row.key, reason=record.reason)
            else:
                records.append(record)
        return records

    async def _read_table(
        self, table: str, key: str | None = None
    ) -> tuple[list[_Row], int] | ErrorResult:
        rows: list[_Row] = []
        query: dict[str, Any] = {"table": table, "part": "", "limit": PAGE_ROWS}
        if key is not None:
            query.update({"from": key, "to": key + "\0"})
        while True:
            target = "/api/rows-get?" + urlencode(query, quote_via=quote)
            document = await self._call(b"GET", target, b"", CALL_TIMEOUT_S)
            if isinstance(document, ErrorResult):
                return document
            page = _read_rows(document)
            rows += page
            if not document.get("hasMore") or not page:
                return rows, int(document.get("ver", 0))
            query["from"] = page[-1].key + "\0"

    async def _write(
        self,
        expected: list[tuple[str, str, int]],
        writes: list[tuple[str, str, bytes]],
        removed: list[tuple[str, str]],
    ) -> int | ErrorResult:
        body = {
            "expectedRev": [
                {"table": table, "part": "", "key": key, "ver": revision}
                for table, key, revision in expected
            ],
            "writes": [
                {
                    "table": table,
                    "part": "",
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                }
                for table, key, value in writes
            ],
            "remove": [
                {"table": table, "part": "", "key": key} for table, key in removed
            ],
        }
        data = json.dumps(body, separators=(",", ":")).encode()
        document = await self._call(b"POST", "/api/rows-tx", data, CALL_TIMEOUT_S)
        if isinstance(document, ErrorResult):
            return document
        return int(document.get("ver", 0))

    async def _call(
        self, method: bytes, target: str, body: bytes, timeout_s: float
    ) -> dict | ErrorResult:
        self.calls += 1
        headers = JSON if body else []
        data = format_request(method, target.encode(), self._address, headers, body)
        result = await Fetch(self._pool, self._address, data).start(timeout_s)
        if isinstance(result, ErrorResult):
            kind = ErrorKind.STORE_UNAVAILABLE
            if method == b"POST" and result.kind is ErrorKind.UPSTREAM_LOST:
                kind = ErrorKind.STORE_UNKNOWN
            return ErrorResult(kind, result.reason)
        return _read_answer(result)


def _read_answer(response: Response) -> dict | ErrorResult:
    if response.status == GONE:
        return ErrorResult(ErrorKind.STALE, "the store dropped its history")
    if response.status == CONFLICT:
        return ErrorResult(ErrorKind.CONFLICT, "a row has changed")
    if response.status != OK:
        reason = f"the store answered {response.status}"
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, reason)
    try:
        document = json.loads(response.body)
    except ValueError as error:
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, f"not JSON: {error}")
    if not isinstance(document, dict):
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, "not an object")
    return document


def _read_rows(document: dict) -> list[_Row]:
    rows = []
    for row in document.get("rows") or ():
        try:
            value = None
            if not row.get("deleted"):
                value = base64.b64decode(row["value"])
            rows.append(_Row(row["key"], value, int(row.get("ver", 0))))
        except (KeyError, TypeError, AttributeError, binascii.Error) as error:
            log("store.row-unreadable", reason=f"{type(error).__name__}: {error}")
    return rows


def _to_news(rows: list[_Row], revision: int, is_whole: bool) -> OperatorUpdate:
    config = None
    orders: list[MoveOrder] = []
    for row in rows:
        if row.value is None:
            continue
        if row.key == CONFIG_KEY:
            config = decode_config(row.value)
        elif row.key.startswith(ORDER_PREFIX):
            order = decode_order(row.value, row.revision)
            if isinstance(order, ErrorResult):
                log("store.row-unreadable", key=row.key, reason=order.reason)
            else:
                orders.append(order)
    if isinstance(config, ErrorResult):
        log("store.row-unreadable", key=CONFIG_KEY, reason=config.reason)
        config = None
    return OperatorUpdate(config, tuple(orders), revision, is_whole)
