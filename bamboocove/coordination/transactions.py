"""Transactions that are retried safely when a response is lost."""

from typing import Any

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import log_event
from bamboocove.protocol.rows import Committed, Transaction

# Each attempt and each read-back may take as long as the timeout of the store.
MAX_ATTEMPTS = 3
# A conflict is ambiguous: a caller may retry an operation whose outcome was
# unknown, and the second copy then conflicts with the first.
_AMBIGUOUS_KINDS = (ErrorKind.CONFLICT, ErrorKind.STORE_UNKNOWN)


async def transact_once(
    table: Any, transaction: Transaction, readback_key: str
) -> Committed | ErrorResult:
    """Run a transaction at most once and determine its outcome.

    If a response is lost, a row that the transaction writes is read back. If it
    carries the operation id, the transaction took effect. If it does not, a
    delayed request may still arrive, so the transaction is sent again. Both
    copies check the same row versions and raise them, so that at most one of
    them takes effect.

    Parameters
    ----------
    table : TableClient
        The table service.
    transaction : Transaction
        Each row that it writes must be checked as well: the check makes it
        safe to send the transaction twice and determines the version after the
        write. It must not delete rows.
    readback_key : str
        Key of the row that is read back; the transaction must write it.

    Returns
    -------
    committed : Committed or ErrorResult
        ``CONFLICT`` or ``STORE_UNAVAILABLE`` if the transaction did not take
        effect and cannot do so later, ``STORE_UNKNOWN`` if the outcome could
        not be determined.
    """
    versions_by_key = _get_versions_after(transaction)
    for attempt in range(MAX_ATTEMPTS):
        result = await table.transact(transaction)
        if isinstance(result, Committed):
            return result
        if attempt == 0 and result.kind not in _AMBIGUOUS_KINDS:
            return result
        if result.kind == ErrorKind.STORE_UNKNOWN:
            log_event(603, operation_id=transaction.operation_id)
        row = await table.get(readback_key)
        if isinstance(row, ErrorResult):
            continue
        if row is not None and row.operation_id == transaction.operation_id:
            return Committed(versions_by_key)
        if result.kind == ErrorKind.CONFLICT:
            return result
    reason = f"outcome of {transaction.operation_id} is unknown: {result.reason}"
    return ErrorResult(ErrorKind.STORE_UNKNOWN, reason)


def _get_versions_after(transaction: Transaction) -> dict[str, int]:
    checked = {check.key: check.version for check in transaction.checks}
    return {write.key: checked[write.key] + 1 for write in transaction.writes}
