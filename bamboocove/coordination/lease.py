"""Leases with fencing tokens, each stored in a row of the table service."""

import uuid
from typing import Any

from attrs import evolve, frozen

from bamboocove.coordination.transactions import transact_once
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import (
    ABSENT,
    Check,
    LeaseRecord,
    Row,
    Transaction,
    Write,
)
from bamboocove.state.codec import from_plain, to_plain

# Unix time in seconds that marks a released lease as expired.
RELEASED_EXPIRES_AT = 0.0


@frozen
class HeldLease:
    """A lease held by this process, as of its last acquisition or renewal.

    Parameters
    ----------
    key : str
        Key of the row.
    token : int
        Fencing token, incremented at each acquisition.
    row_version : int
        Version of the row after the last write; a transaction that checks it
        fails once another holder has taken the lease.
    expires_at : float
        Unix time in seconds.
    """

    key: str
    token: int
    row_version: int
    expires_at: float


async def acquire_lease(
    table: Any, key: str, record: LeaseRecord, now: float
) -> HeldLease | ErrorResult:
    """Acquire a lease that is free, expired or held by the same holder.

    A lease of the same holder was acquired by an earlier process of that node,
    or by a renewal whose outcome is unknown. It is acquired with a new token.

    Parameters
    ----------
    table : TableClient
        The table service.
    key : str
        Key of the row.
    record : LeaseRecord
        Value to write; its token is replaced.
    now : float
        Unix time in seconds.

    Returns
    -------
    held : HeldLease or ErrorResult
        ``CONFLICT`` if another holder has the lease or acquired it first,
        ``STORE_UNAVAILABLE`` or ``STORE_UNKNOWN`` as for a transaction.
    """
    row = await table.get(key)
    if isinstance(row, ErrorResult):
        return row
    if row is None:
        return await _write_lease(table, key, ABSENT, evolve(record, token=1))
    current = from_plain(LeaseRecord, row.value)
    if isinstance(current, ErrorResult):
        return current
    if current.holder != record.holder and now < current.expires_at:
        reason = f"{key} is held by {current.holder} with token {current.token}"
        return ErrorResult(ErrorKind.CONFLICT, reason)
    new_record = evolve(record, token=current.token + 1)
    return await _write_lease(table, key, row.version, new_record)


async def renew_lease(
    table: Any, held: HeldLease, record: LeaseRecord, now: float
) -> HeldLease | ErrorResult:
    """Extend a lease that has not expired.

    Parameters
    ----------
    table : TableClient
        The table service.
    held : HeldLease
        The result of the last acquisition or renewal.
    record : LeaseRecord
        Value to write; its token is replaced.
    now : float
        Unix time in seconds.

    Returns
    -------
    held : HeldLease or ErrorResult
        ``FENCED`` if the lease has expired or another holder has it; it must
        then be acquired again. After ``STORE_UNAVAILABLE`` or
        ``STORE_UNKNOWN`` the renewal may be retried.
    """
    if now >= held.expires_at:
        reason = f"{held.key} with token {held.token} has expired"
        return ErrorResult(ErrorKind.FENCED, reason)
    new_record = evolve(record, token=held.token)
    return await _update_lease(table, held, new_record)


async def release_lease(table: Any, held: HeldLease) -> HeldLease | ErrorResult:
    """Release a lease and keep its row, so that the token keeps increasing.

    Returns
    -------
    held : HeldLease or ErrorResult
        The lease, marked as expired; errors as for ``renew_lease``.
    """
    row = await table.get(held.key)
    if isinstance(row, ErrorResult):
        return row
    record = _decode_own_record(held, row)
    if isinstance(record, ErrorResult):
        return record
    return await _update_lease(
        table, held, evolve(record, expires_at=RELEASED_EXPIRES_AT)
    )


async def _update_lease(
    table: Any, held: HeldLease, record: LeaseRecord
) -> HeldLease | ErrorResult:
    result = await _write_lease(table, held.key, held.row_version, record)
    if isinstance(result, HeldLease) or result.kind != ErrorKind.CONFLICT:
        return result
    # An earlier renewal whose outcome stayed unknown also raises the row version.
    # The token distinguishes it from a write of another holder.
    row = await table.get(held.key)
    if isinstance(row, ErrorResult):
        return row
    current = _decode_own_record(held, row)
    if isinstance(current, ErrorResult):
        return current
    result = await _write_lease(table, held.key, row.version, record)
    if isinstance(result, ErrorResult) and result.kind == ErrorKind.CONFLICT:
        return ErrorResult(ErrorKind.FENCED, result.reason)
    return result


def _decode_own_record(held: HeldLease, row: Row | None) -> LeaseRecord | ErrorResult:
    if row is None:
        return ErrorResult(ErrorKind.FENCED, f"{held.key} does not exist")
    record = from_plain(LeaseRecord, row.value)
    if isinstance(record, LeaseRecord) and record.token != held.token:
        reason = f"{held.key} is held by {record.holder} with token {record.token}"
        return ErrorResult(ErrorKind.FENCED, reason)
    return record


async def _write_lease(
    table: Any, key: str, version: int, record: LeaseRecord
) -> HeldLease | ErrorResult:
    # A random operation id also distinguishes two processes of one node.
    transaction = Transaction(
        operation_id=uuid.uuid4().hex,
        checks=(Check(key, version),),
        writes=(Write(key, to_plain(record)),),
    )
    result = await transact_once(table, transaction, readback_key=key)
    if isinstance(result, ErrorResult):
        return result
    return HeldLease(key, record.token, result.versions_by_key[key], record.expires_at)
