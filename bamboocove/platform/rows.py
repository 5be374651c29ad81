"""Rows, transactions and documents of the platform's store as it transmits them."""

import base64
import json
import math
from collections.abc import Callable
from typing import Any

from attrs import frozen

from bamboocove.coordination.order_numbers import make_order_number
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.documents import decode_config, decode_move_order
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.state.codec import decode
from bamboocove.state.evacuation import EvacuationChange
from bamboocove.state.mesh import MoveOrder
from bamboocove.transport.fetching import Response

CONFIG_KEY = "config"
# Prefix of the keys of move orders, which the platform calls rollouts.
ORDER_PREFIX = "rollout/"
# Prefix of the keys of orders to evacuate an availability zone.
EVACUATION_PREFIX = "evacuate/"

HTTP_OK = 200
HTTP_PRECONDITION_FAILED = 412
HTTP_GONE = 410


@frozen
class Row:
    """A row of a table; ``value`` is None if the row was removed."""

    key: str
    value: bytes | None
    revision: int


def format_transaction(
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


def decode_records(
    rows: list[Row], cls: type, get_key: Callable[[Any], str]
) -> list[Any]:
    """Return the records of some rows, without those that cannot be read."""
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


def parse_response(response: Response) -> dict | ErrorResult:
    """Return the document of a successful response.

    Returns
    -------
    document : dict or ErrorResult
        ``STALE`` if the history was dropped, ``CONFLICT`` if a precondition does not
        hold, ``STORE_UNAVAILABLE`` for any other response.
    """
    if response.status == HTTP_GONE:
        return ErrorResult(
            ErrorKind.STALE, "the store no longer holds the changes since the revision"
        )
    if response.status == HTTP_PRECONDITION_FAILED:
        return ErrorResult(ErrorKind.CONFLICT, "a row has changed since it was read")
    if response.status != HTTP_OK:
        reason = f"the store responded with status {response.status}"
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, reason)
    return parse_document(response.body)


def parse_document(data: bytes) -> dict | ErrorResult:
    """Return a JSON object, or ``STORE_UNAVAILABLE`` for other data."""
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


def get_revision(document: dict, default: int) -> int:
    """Return the newest revision that a document names, or the default."""
    revision = document.get("ver", default)
    if isinstance(revision, bool) or not isinstance(revision, int):
        log("store.row-unreadable", key="ver", reason=f"not a revision: {revision!r}")
        return default
    return revision


def get_store_time(document: dict) -> float | None:
    """Return the time of the store in seconds, or None if a document names none."""
    seconds = document.get("nowS")
    if seconds is None:
        return None
    is_number = isinstance(seconds, int | float) and not isinstance(seconds, bool)
    if not is_number or not math.isfinite(seconds):
        log("store.row-unreadable", key="nowS", reason=f"not a time: {seconds!r}")
        return None
    return float(seconds)


def parse_rows(document: dict) -> list[Row]:
    """Return the rows of a document, without those that cannot be read."""
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
                value = _read_value(row)
            rows.append(Row(row["key"], value, int(row.get("ver", 0))))
        except (
            KeyError,
            TypeError,
            AttributeError,
            ValueError,
            OverflowError,
        ) as error:
            log("store.row-unreadable", reason=f"{type(error).__name__}: {error}")
    return rows


def _read_value(row: dict) -> bytes:
    if row["key"].startswith(EVACUATION_PREFIX):
        # Its key says all. Without the row, a full read would end the evacuation.
        return b""
    return base64.b64decode(row["value"])


def make_update(
    rows: list[Row],
    revision: int,
    is_full_read: bool,
    era: int = 0,
    store_time_s: float | None = None,
    asked_at: float = 0.0,
) -> OperatorUpdate:
    """Return the configuration and the orders among the rows of the operator.

    Of several configurations the last valid one counts: an invalid one leaves the one
    before it in force.
    """
    config = None
    orders: list[MoveOrder] = []
    for row in rows:
        if row.value is None:
            continue
        if row.key == CONFIG_KEY:
            decoded = decode_config(row.value)
            if isinstance(decoded, ErrorResult):
                log("store.row-unreadable", key=CONFIG_KEY, reason=decoded.reason)
            else:
                config = decoded
        elif row.key.startswith(ORDER_PREFIX):
            order = decode_move_order(row.value, make_order_number(era, row.revision))
            if isinstance(order, ErrorResult):
                log("store.row-unreadable", key=row.key, reason=order.reason)
            else:
                orders.append(order)
    return OperatorUpdate(
        config,
        tuple(orders),
        revision,
        is_full_read,
        era,
        evacuations=_find_evacuations(rows),
        store_time_s=store_time_s,
        asked_at=asked_at,
    )


def _find_evacuations(rows: list[Row]) -> tuple[EvacuationChange, ...]:
    found = [row for row in rows if row.key.startswith(EVACUATION_PREFIX)]
    # A change may list a row more than once; the newest one counts.
    found.sort(key=lambda row: row.revision)
    return tuple(
        EvacuationChange(row.key.removeprefix(EVACUATION_PREFIX), row.value is not None)
        for row in found
    )
