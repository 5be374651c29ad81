"""Client of the platform's store: reads, writes and watches rows in tables."""

import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.documents import (
    decode_config,
    decode_move_order,
    encode_move_status,
)
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.state.codec import decode, encode
from bamboocove.state.mesh import HostRecord, MoveOrder, VersionRule
from bamboocove.transport.clients import Address, ConnectionPool
from bamboocove.transport.fetching import Fetch, Response, format_request

JSON_HEADERS = [(b"content-type", b"application/json")]
# A response takes about 4 ms, and up to 60 times as long when the store is slow.
CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 1.0
# Longest time that the store holds a long poll for changes, and the margin that the
# client adds for its response. A store that no longer responds is detected after the
# sum of both. A short wait is affordable because only the readers of each zone poll.
WATCH_WAIT_S = 2.0
WATCH_TIMEOUT_MARGIN_S = 0.8
PAGE_SIZE = 500
# Only the operator writes OPERATOR_TABLE; nodes write the status of moves to
# STATUS_TABLE.
OPERATOR_TABLE = "op"
STATUS_TABLE = "status"
HOSTS_TABLE = "bamboocove-hosts"
RULES_TABLE = "bamboocove-rules"
CONFIG_KEY = "config"
# Prefix of the keys of move orders, which the platform calls rollouts.
ORDER_PREFIX = "rollout/"

TRANSACTION_PATH = "/api/rows-tx"

HTTP_OK = 200
HTTP_PRECONDITION_FAILED = 412
HTTP_GONE = 410


@frozen
class _Row:
    """A row of a table; ``value`` is None if the row was removed."""

    key: str
    value: bytes | None
    revision: int


class PlatformStore:
    """Client through which the tasks of a node use the platform's store.

    All asynchronous methods return an ErrorResult instead of their result if a
    request to the store fails: ``STORE_UNAVAILABLE`` if nothing was written, and
    ``STORE_UNKNOWN`` if a write may have been applied.

    Parameters
    ----------
    address : (str, int)
        Address of the store.
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
        """Read all rows of the operator: the configuration and all move orders."""
        result = await self._read_table(OPERATOR_TABLE)
        if isinstance(result, ErrorResult):
            return result
        return _make_update(*result, is_full_read=True)

    async def watch_operator(self, revision: int) -> OperatorUpdate | ErrorResult:
        """Wait for changes that the operator makes after a revision.

        Returns
        -------
        update : OperatorUpdate or ErrorResult
            The changes, none if the wait ended without any; ``STALE`` if the store
            no longer holds the changes since the revision.
        """
        query = {
            "table": OPERATOR_TABLE,
            "after": revision,
            "waitMs": int(WATCH_WAIT_S * 1000),
        }
        target = "/api/rows-feed?" + urlencode(query)
        document = await self._call(
            b"GET", target, b"", WATCH_WAIT_S + WATCH_TIMEOUT_MARGIN_S
        )
        if isinstance(document, ErrorResult):
            return document
        return _make_update(
            _parse_rows(document), _get_revision(document, revision), is_full_read=False
        )

    async def read_hosts(self) -> list[HostRecord] | ErrorResult:
        """Read the records of all hosts."""
        return await self._read_records(HOSTS_TABLE, HostRecord, _get_host_id)

    async def write_host(self, record: HostRecord) -> int | ErrorResult:
        """Write the record of this host; return the new revision of the store."""
        row = (HOSTS_TABLE, record.host_id, encode(record))
        return await self._write([], [row], [])

    async def create_host(self, record: HostRecord) -> HostRecord | None | ErrorResult:
        """Write the record of this host unless the store holds one.

        Returns
        -------
        stored : HostRecord or None or ErrorResult
            The record that the store holds instead, usually that of the previous
            process on this host; None if ``record`` was written.
        """
        row = (HOSTS_TABLE, record.host_id, encode(record))
        data = _format_transaction([(HOSTS_TABLE, record.host_id, 0)], [row], [])
        response = await self._request(b"POST", TRANSACTION_PATH, data, CALL_TIMEOUT_S)
        if isinstance(response, ErrorResult):
            return response
        if response.status != HTTP_PRECONDITION_FAILED:
            result = _parse_response(response)
            return result if isinstance(result, ErrorResult) else None
        document = _parse_document(response.body)
        rows = [] if isinstance(document, ErrorResult) else _parse_rows(document)
        records = _decode_records(rows, HostRecord, _get_host_id)
        if not records:
            records = await self._read_records(
                HOSTS_TABLE, HostRecord, _get_host_id, record.host_id
            )
            if isinstance(records, ErrorResult):
                return records
        if records:
            return records[0]
        # The row cannot be read, or was removed meanwhile.
        result = await self.write_host(record)
        return result if isinstance(result, ErrorResult) else None

    async def remove_host(self, host_id: str) -> int | ErrorResult:
        """Remove the record of a host that has left; return the new revision."""
        return await self._write([], [], [(HOSTS_TABLE, host_id)])

    async def read_rules(self) -> list[VersionRule] | ErrorResult:
        """Read the rules on which versions of each service may run requests."""
        return await self._read_records(
            RULES_TABLE, VersionRule, lambda rule: rule.service
        )

    async def write_rule(self, rule: VersionRule) -> VersionRule | ErrorResult:
        """Write a rule and its move status, unless the stored rule is as new.

        Returns
        -------
        rule : VersionRule or ErrorResult
            The rule that the store holds afterwards; ``CONFLICT`` if the row was
            changed between the read and the write.
        """
        result = await self._read_table(RULES_TABLE, rule.service)
        if isinstance(result, ErrorResult):
            return result
        expected_revision = 0
        for row in result[0]:
            stored = decode(VersionRule, row.value or b"")
            if isinstance(stored, ErrorResult):
                log("store.row-unreadable", key=row.key, reason=stored.reason)
            elif stored.age_key >= rule.age_key:
                return stored
            expected_revision = row.revision
        write_result = await self._write(
            [(RULES_TABLE, rule.service, expected_revision)],
            [
                (RULES_TABLE, rule.service, encode(rule)),
                (STATUS_TABLE, ORDER_PREFIX + rule.service, encode_move_status(rule)),
            ],
            [],
        )
        return rule if not isinstance(write_result, ErrorResult) else write_result

    async def _read_records(
        self,
        table: str,
        cls: type,
        get_key: Callable[[Any], str],
        key: str | None = None,
    ) -> Any:
        result = await self._read_table(table, key)
        if isinstance(result, ErrorResult):
            return result
        return _decode_records(result[0], cls, get_key)

    async def _read_table(
        self, table: str, key: str | None = None
    ) -> tuple[list[_Row], int] | ErrorResult:
        rows: list[_Row] = []
        query: dict[str, Any] = {"table": table, "part": "", "limit": PAGE_SIZE}
        if key is not None:
            query.update({"from": key, "to": key + "\0"})
        while True:
            target = "/api/rows-get?" + urlencode(query, quote_via=quote)
            document = await self._call(b"GET", target, b"", CALL_TIMEOUT_S)
            if isinstance(document, ErrorResult):
                return document
            page = _parse_rows(document)
            rows += page
            if not document.get("hasMore") or not page:
                return rows, _get_revision(document, 0)
            query["from"] = page[-1].key + "\0"

    async def _write(
        self,
        preconditions: list[tuple[str, str, int]],
        writes: list[tuple[str, str, bytes]],
        removals: list[tuple[str, str]],
    ) -> int | ErrorResult:
        data = _format_transaction(preconditions, writes, removals)
        document = await self._call(b"POST", TRANSACTION_PATH, data, CALL_TIMEOUT_S)
        if isinstance(document, ErrorResult):
            return document
        return _get_revision(document, 0)

    async def _call(
        self, method: bytes, target: str, body: bytes, timeout_s: float
    ) -> dict | ErrorResult:
        response = await self._request(method, target, body, timeout_s)
        if isinstance(response, ErrorResult):
            return response
        return _parse_response(response)

    async def _request(
        self, method: bytes, target: str, body: bytes, timeout_s: float
    ) -> Response | ErrorResult:
        self.calls += 1
        headers = JSON_HEADERS if body else []
        data = format_request(method, target.encode(), self._address, headers, body)
        result = await Fetch(self._pool, self._address, data).start(timeout_s)
        if isinstance(result, ErrorResult):
            kind = ErrorKind.STORE_UNAVAILABLE
            if method == b"POST" and result.kind is ErrorKind.UPSTREAM_LOST:
                kind = ErrorKind.STORE_UNKNOWN
            return ErrorResult(kind, result.reason)
        return result


def _format_transaction(
    preconditions: list[tuple[str, str, int]],
    writes: list[tuple[str, str, bytes]],
    removals: list[tuple[str, str]],
) -> bytes:
    """Format a transaction.

    Preconditions are tables and keys of rows with their expected revisions, writes
    are tables, keys and values.
    """
    body = {
        "expectedRev": [
            {"table": table, "part": "", "key": key, "ver": revision}
            for table, key, revision in preconditions
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
        "remove": [{"table": table, "part": "", "key": key} for table, key in removals],
    }
    return json.dumps(body, separators=(",", ":")).encode()


def _decode_records(
    rows: list[_Row], cls: type, get_key: Callable[[Any], str]
) -> list[Any]:
    records = []
    for row in rows:
        record = decode(cls, row.value or b"")
        if isinstance(record, ErrorResult):
            log("store.row-unreadable", key=row.key, reason=record.reason)
        elif get_key(record) != row.key:
            reason = f"the record is that of {get_key(record)!r}"
            log("store.row-unreadable", key=row.key, reason=reason)
        else:
            records.append(record)
    return records


def _get_host_id(record: HostRecord) -> str:
    return record.host_id


def _parse_response(response: Response) -> dict | ErrorResult:
    if response.status == HTTP_GONE:
        return ErrorResult(
            ErrorKind.STALE, "the store no longer holds the changes since the revision"
        )
    if response.status == HTTP_PRECONDITION_FAILED:
        return ErrorResult(ErrorKind.CONFLICT, "a row has changed since it was read")
    if response.status != HTTP_OK:
        reason = f"the store responded with status {response.status}"
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, reason)
    return _parse_document(response.body)


def _parse_document(data: bytes) -> dict | ErrorResult:
    try:
        document = json.loads(data)
    except (ValueError, RecursionError) as error:
        return ErrorResult(
            ErrorKind.STORE_UNAVAILABLE,
            f"the response of the store is not JSON: {error}",
        )
    if not isinstance(document, dict):
        return ErrorResult(
            ErrorKind.STORE_UNAVAILABLE,
            "the response of the store is not a JSON object",
        )
    return document


def _get_revision(document: dict, default: int) -> int:
    revision = document.get("ver", default)
    if isinstance(revision, bool) or not isinstance(revision, int):
        log("store.row-unreadable", key="ver", reason=f"not a revision: {revision!r}")
        return default
    return revision


def _parse_rows(document: dict) -> list[_Row]:
    rows = []
    listed = document.get("rows") or []
    if not isinstance(listed, list):
        log("store.row-unreadable", reason=f"not a list of rows: {type(listed)}")
        return []
    for row in listed:
        try:
            value = None
            if not isinstance(row["key"], str):
                raise TypeError(f"not a key: {row['key']!r}")
            if not row.get("deleted"):
                value = base64.b64decode(row["value"])
            rows.append(_Row(row["key"], value, int(row.get("ver", 0))))
        except (
            KeyError,
            TypeError,
            AttributeError,
            ValueError,
            OverflowError,
        ) as error:
            log("store.row-unreadable", reason=f"{type(error).__name__}: {error}")
    return rows


def _make_update(rows: list[_Row], revision: int, is_full_read: bool) -> OperatorUpdate:
    config = None
    orders: list[MoveOrder] = []
    for row in rows:
        if row.value is None:
            continue
        if row.key == CONFIG_KEY:
            config = decode_config(row.value)
        elif row.key.startswith(ORDER_PREFIX):
            order = decode_move_order(row.value, row.revision)
            if isinstance(order, ErrorResult):
                log("store.row-unreadable", key=row.key, reason=order.reason)
            else:
                orders.append(order)
    if isinstance(config, ErrorResult):
        log("store.row-unreadable", key=CONFIG_KEY, reason=config.reason)
        config = None
    return OperatorUpdate(config, tuple(orders), revision, is_full_read)
