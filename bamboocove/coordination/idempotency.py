"""Idempotency keys: claims and recorded outcomes in rows of the table service."""

import hashlib
from collections.abc import Callable
from typing import Any

from attrs import evolve, frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import (
    ABSENT,
    Check,
    Committed,
    Row,
    Transaction,
    Write,
    idempotency_key,
)
from bamboocove.state.codec import from_plain, to_plain

MAX_KEY_BYTES = 200
# The row of a released key costs one more attempt. Further attempts fail only if
# other requests claim the same key first.
CLAIM_ATTEMPTS = 3
# Largest response body that is stored for later requests with the same key.
MAX_OUTCOME_BODY_BYTES = 4 * 1024
# A claim that has no outcome this long after the timeout of its call belongs to
# a node that was lost.
CLAIM_MARGIN_S = 5.0


@frozen
class Outcome:
    """A recorded response.

    Parameters
    ----------
    status : int
        Status code.
    headers : tuple of (bytes, bytes)
        Header fields, without those of the message framing.
    body : bytes or None
        Response body; None if it was larger than ``MAX_OUTCOME_BODY_BYTES``.
    """

    status: int
    headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None


@frozen
class ClaimRecord:
    """Value of a row ``idempotency/<service>/<key>``.

    Parameters
    ----------
    digest : bytes
        Digest of the request, to detect a key that is reused for another one.
    node_id : str
        Node that dispatches the request.
    expires_at : float
        Unix time in seconds after which the outcome counts as unknown if none
        is recorded.
    state : {"claimed", "done", "unknown", "released"}
        Progress of the request. A released claim keeps its row: the versions
        of a deleted row could start again from 1, and a late copy of the
        deletion would then delete the claim of another node.
    outcome : Outcome or None
        The recorded response; set in the state ``done``.
    """

    digest: bytes
    node_id: str
    expires_at: float
    state: str = "claimed"
    outcome: Outcome | None = None


@frozen
class Claim:
    """A claim held by this node.

    Parameters
    ----------
    key : str
        Key of the claim's row.
    version : int
        Version of the row.
    record : ClaimRecord
        Value of the row.
    """

    key: str
    version: int
    record: ClaimRecord


def check_key(key: bytes | None) -> ErrorResult | None:
    """Return an error if an idempotency key is missing or malformed."""
    if not key:
        reason = "the route needs the header Idempotency-Key"
        return ErrorResult(ErrorKind.KEY_REQUIRED, reason)
    if len(key) > MAX_KEY_BYTES or not all(0x21 <= byte <= 0x7E for byte in key):
        reason = f"Idempotency-Key is not 1 to {MAX_KEY_BYTES} visible ASCII characters"
        return ErrorResult(ErrorKind.BAD_REQUEST, reason)
    return None


def digest_request(method: bytes, target: bytes, length: int, body: bytes) -> bytes:
    """Return the SHA-256 digest by which a reused key is detected.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line.
    length : int
        Declared body length, -1 if it is not known.
    body : bytes
        First part of the request body.
    """
    text = b"%b %b %d\n%b" % (method, target, length, body)
    return hashlib.sha256(text).digest()


async def claim_key(
    table: Any,
    service: str,
    key: str,
    record: ClaimRecord,
    operation_id: str,
    now: float,
) -> Claim | Outcome | ErrorResult:
    """Claim a key before the request is dispatched.

    Parameters
    ----------
    table : TableClient
        The table service.
    service, key : str
        Service and idempotency key.
    record : ClaimRecord
        Value of the claim.
    operation_id : str
        Unique; identifies the claim on read-back after a lost response.
    now : float
        Unix time in seconds.

    Returns
    -------
    result : Claim, Outcome or ErrorResult
        The claim, or the outcome of an earlier request. ``KEY_REUSED``,
        ``KEY_IN_PROGRESS``, ``UPSTREAM_LOST`` if the earlier outcome is
        unknown or its body was not stored, ``STORE_UNAVAILABLE`` if no claim
        was written, ``STORE_UNKNOWN`` if one may have been written: the caller
        then removes it with ``withdraw_claim``.
    """
    row_key = idempotency_key(service, key)
    version = ABSENT
    for _ in range(CLAIM_ATTEMPTS):
        transaction = Transaction(
            operation_id,
            (Check(row_key, version),),
            (Write(row_key, to_plain(record)),),
        )
        result = await table.transact(transaction)
        if isinstance(result, Committed):
            return Claim(row_key, result.versions_by_key[row_key], record)
        if result.kind not in (ErrorKind.CONFLICT, ErrorKind.STORE_UNKNOWN):
            return ErrorResult(ErrorKind.STORE_UNAVAILABLE, result.reason)
        row = await table.get(row_key)
        if isinstance(row, ErrorResult):
            # After a conflict the row belongs to another request: no claim is left.
            kind = ErrorKind.STORE_UNAVAILABLE
            if result.kind is ErrorKind.STORE_UNKNOWN:
                kind = ErrorKind.STORE_UNKNOWN
            return ErrorResult(kind, row.reason)
        if row is None:
            return ErrorResult(ErrorKind.STORE_UNKNOWN, "claim cannot be read back")
        if row.operation_id == operation_id:
            return Claim(row_key, row.version, record)
        if not _is_released(row):
            return _resolve_existing_claim(row, record, now)
        if result.kind is ErrorKind.STORE_UNKNOWN:
            reason = "claim of a released key cannot be read back"
            return ErrorResult(ErrorKind.STORE_UNKNOWN, reason)
        version = row.version
    reason = "other requests with this key come and go"
    return ErrorResult(ErrorKind.KEY_IN_PROGRESS, reason)


def _is_released(row: Row) -> bool:
    current = from_plain(ClaimRecord, row.value)
    return isinstance(current, ClaimRecord) and current.state == "released"


def _resolve_existing_claim(
    row: Row, record: ClaimRecord, now: float
) -> Outcome | ErrorResult:
    current = from_plain(ClaimRecord, row.value)
    if isinstance(current, ErrorResult):
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, current.reason)
    if current.digest != record.digest:
        reason = "the key was used for another request"
        return ErrorResult(ErrorKind.KEY_REUSED, reason)
    if current.state == "done" and current.outcome is not None:
        if current.outcome.body is None:
            reason = (
                f"it ran with status {current.outcome.status}; the body was not kept"
            )
            return ErrorResult(ErrorKind.UPSTREAM_LOST, reason)
        return current.outcome
    if current.state == "claimed" and now < current.expires_at:
        reason = "a request with this key is in progress"
        return ErrorResult(ErrorKind.KEY_IN_PROGRESS, reason)
    reason = "the outcome of the request with this key is unknown"
    return ErrorResult(ErrorKind.UPSTREAM_LOST, reason)


async def _replace_claim_row(
    table: Any, claim: Claim, value: Any, operation_id: str
) -> ErrorResult | None:
    transaction = Transaction(
        operation_id,
        (Check(claim.key, claim.version),),
        (Write(claim.key, value),),
    )
    result = await table.transact(transaction)
    if isinstance(result, Committed):
        return None
    if result.kind is ErrorKind.CONFLICT:
        # Only the holder writes a claimed row, so the conflict means that an
        # earlier attempt took effect and its response was lost.
        return None
    return result


async def record_outcome(
    table: Any, claim: Claim, outcome: Outcome | None, operation_id: str
) -> ErrorResult | None:
    """Record the outcome of a claimed request.

    Parameters
    ----------
    table : TableClient
        The table service.
    claim : Claim
        The claim.
    outcome : Outcome or None
        The response; None if it is unknown whether the request was executed.
    operation_id : str
        Unique; the same for all attempts.

    Returns
    -------
    error : ErrorResult or None
        The call must be retried after an error.
    """
    record = ClaimRecord(
        claim.record.digest,
        claim.record.node_id,
        claim.record.expires_at,
        "unknown" if outcome is None else "done",
        outcome,
    )
    return await _replace_claim_row(table, claim, to_plain(record), operation_id)


async def release_claim(
    table: Any, claim: Claim, operation_id: str
) -> ErrorResult | None:
    """Release the key of a request that was not executed."""
    released = evolve(claim.record, state="released")
    return await _replace_claim_row(table, claim, to_plain(released), operation_id)


async def withdraw_claim(
    table: Any, row_key: str, claim_operation_id: str, operation_id: str
) -> ErrorResult | None:
    """Release a key if the unconfirmed claim of this operation holds it.

    Returns
    -------
    error : ErrorResult or None
        The call must be retried after an error. ``NOT_FOUND`` if there is no
        row, because a delayed write may still arrive.
    """
    row = await table.get(row_key)
    if isinstance(row, ErrorResult):
        return row
    if row is None:
        return ErrorResult(ErrorKind.NOT_FOUND, "no claim")
    if row.operation_id != claim_operation_id:
        return None
    record = from_plain(ClaimRecord, row.value)
    if isinstance(record, ErrorResult):
        return record
    return await release_claim(table, Claim(row_key, row.version, record), operation_id)


async def retry_write(
    attempt: Callable[[], Any],
    sleep: Callable[[float], Any],
    delays_s: tuple[float, ...] = (0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0),
) -> ErrorResult | None:
    """Retry a store write until it succeeds or all delays have been used.

    Parameters
    ----------
    attempt : callable
        Called for each attempt; returns an awaitable of None or an ErrorResult.
    sleep : callable
        Takes a delay in seconds and returns an awaitable.
    delays_s : tuple of float
        Delays in seconds before the second and later attempts.
    """
    error = await attempt()
    for delay_s in delays_s:
        if error is None:
            return None
        await sleep(delay_s)
        error = await attempt()
    return error
