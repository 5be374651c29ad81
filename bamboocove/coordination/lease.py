"""A lease on a row of the table service, with a fencing token."""

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

RELEASED = 0.0


@frozen
class HeldLease:
    """A lease as its holder knows it.

    Parameters
    ----------
    key : str
        Key of the row.
    token : int
        Fencing token, raised at each acquisition.
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

    A lease of the same holder comes from an earlier process of that node or
    from a renewal whose outcome is unknown. It is taken with a new token.

    Parameters
    ----------
    table : TableClient
        The table service.
    key : str
        Key of the row.
    record : LeaseRecord
        What to write; its token is ignored.
    now : float
        Unix time in seconds.

    Returns
    -------
    held : HeldLease or ErrorResult
        ``CONFLICT`` if another holder has it or was faster,
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
    wanted = evolve(record, token=current.token + 1)
    return await _write_lease(table, key, row.version, wanted)


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
        What to write; its token is ignored.
    now : float
        Unix time in seconds.

    Returns
    -------
    held : HeldLease or ErrorResult
        ``FENCED`` if it has expired or another holder has it; it must then be
        acquired anew. After ``STORE_UNAVAILABLE`` or ``STORE_UNKNOWN`` it may
        be renewed again.
    """
    if now >= held.expires_at:
        reason = f"{held.key} with token {held.token} has expired"
        return ErrorResult(ErrorKind.FENCED, reason)
    wanted = evolve(record, token=held.token)
    return await _rewrite_lease(table, held, wanted)


async def release_lease(table: Any, held: HeldLease) -> HeldLease | ErrorResult:
    """Give up a lease; the row stays, so that the token goes on rising.

    Returns
    -------
    held : HeldLease or ErrorResult
        The lease as expired; errors as for ``renew_lease``.
    """
    row = await table.get(held.key)
    if isinstance(row, ErrorResult):
        return row
    record = _read_own_record(held, row)
    if isinstance(record, ErrorResult):
        return record
    return await _rewrite_lease(table, held, evolve(record, expires_at=RELEASED))


async def _rewrite_lease(
    table: Any, held: HeldLease, record: LeaseRecord
) -> HeldLease | ErrorResult:
    result = await _write_lease(table, held.key, held.row_version, record)
    if isinstance(result, HeldLease) or result.kind != ErrorKind.CONFLICT:
        return result
    # An earlier renewal whose outcome stayed unknown raises the version too.
    # The token tells it from the write of another holder.
    row = await table.get(held.key)
    if isinstance(row, ErrorResult):
        return row
    current = _read_own_record(held, row)
    if isinstance(current, ErrorResult):
        return current
    result = await _write_lease(table, held.key, row.version, record)
    if isinstance(result, ErrorResult) and result.kind == ErrorKind.CONFLICT:
        return ErrorResult(ErrorKind.FENCED, result.reason)
    return result


def _read_own_record(held: HeldLease, row: Row | None) -> LeaseRecord | ErrorResult:
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
    # A random operation id also tells two processes of one node apart.
    transaction = Transaction(
        operation_id=uuid.uuid4().hex,
        checks=(Check(key, version),),
        writes=(Write(key, to_plain(record)),),
    )
    result = await transact_once(table, transaction, witness=key)
    if isinstance(result, ErrorResult):
        return result
    return HeldLease(key, record.token, result.versions_by_key[key], record.expires_at)
