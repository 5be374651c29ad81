"""Transactions whose answer may be lost."""

from typing import Any

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import log_event
from bamboocove.protocol.rows import Committed, Transaction

# Each attempt and each reading back may take the store's timeout.
ATTEMPTS = 3
# A conflict is ambiguous because a caller may repeat an operation whose outcome
# was unknown, which then conflicts with itself.
_AMBIGUOUS = (ErrorKind.CONFLICT, ErrorKind.STORE_UNKNOWN)


async def transact_once(
    table: Any, transaction: Transaction, witness: str
) -> Committed | ErrorResult:
    """Run a transaction exactly once or not at all, even if an answer is lost.

    After an unknown outcome the witness row is read back. If it carries the
    operation id, the transaction took effect. If it does not, a delayed
    request may still arrive, so the absence proves nothing; the transaction is
    sent again. Both copies check the same versions and raise them, so that at
    most one of them takes effect.

    Parameters
    ----------
    table : TableClient
        The table service.
    transaction : Transaction
        Each row that it writes must be checked as well; the check makes it
        safe to send twice and gives the version after the write. It deletes
        no row.
    witness : str
        Key of a row that it writes.

    Returns
    -------
    committed : Committed or ErrorResult
        ``CONFLICT`` or ``STORE_UNAVAILABLE`` if it has not taken effect and
        cannot do so any more, ``STORE_UNKNOWN`` if that could not be found
        out.
    """
    versions_by_key = _get_versions_after(transaction)
    for attempt in range(ATTEMPTS):
        result = await table.transact(transaction)
        if isinstance(result, Committed):
            return result
        if attempt == 0 and result.kind not in _AMBIGUOUS:
            return result
        if result.kind == ErrorKind.STORE_UNKNOWN:
            log_event(603, operation_id=transaction.operation_id)
        row = await table.get(witness)
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
