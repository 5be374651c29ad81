"""Claims idempotency keys for a node's calls and records their outcomes."""

import uuid
from collections.abc import Callable, Coroutine
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.logger import Logger

from bamboocove.coordination.idempotency import (
    CLAIM_MARGIN_S,
    Claim,
    ClaimRecord,
    Outcome,
    claim_key,
    digest_request,
    record_outcome,
    release_claim,
    retry_write,
    withdraw_claim,
)
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import log_event
from bamboocove.protocol.rows import idempotency_key

logger = Logger()

# Number of reads that must find no row before an unconfirmed claim is taken as
# never written. With the delays between them they span several store calls, so
# that a write that is still in progress is found.
MIN_ABSENT_READS = 4


class ClaimManager:
    """Claims keys, and records or releases the claims in the background.

    Parameters
    ----------
    table : TableClient
        Table service that stores the claims.
    node_id : str
        Identifier of this node, which is stored in each claim.
    clock : reactor
        Provides the time and timers.
    on_settled : callable
        Called when ``pending`` drops to 0.

    Attributes
    ----------
    pending : int
        Number of background operations in progress.
    """

    def __init__(
        self, table: Any, node_id: str, clock: Any, on_settled: Callable[[], None]
    ):
        self._table = table
        self._node_id = node_id
        self._clock = clock
        self._on_settled = on_settled
        self.pending = 0

    def run_in_background(self, coroutine: Coroutine) -> Deferred:
        """Start a coroutine, log its exceptions and count it in ``pending``."""
        self.pending += 1
        running = Deferred.fromCoroutine(coroutine)
        running.addErrback(lambda failure: logger.failure("claim failed", failure))
        return running.addBoth(self._on_finished)

    def _on_finished(self, result: Any) -> Any:
        self.pending -= 1
        if not self.pending:
            self._on_settled()
        return result

    def _sleep(self, seconds: float) -> Deferred:
        return deferLater(self._clock, seconds)

    async def claim(
        self, service: str, key: str, request: tuple, timeout_s: float
    ) -> Claim | Outcome | ErrorResult:
        """Claim a key, or return the recorded outcome or the error of ``claim_key``.

        A claim whose write is unconfirmed is withdrawn in the background.

        Parameters
        ----------
        service, key : str
            Service and idempotency key.
        request : (bytes, bytes, int, bytes)
            Arguments of ``digest_request``.
        timeout_s : float
            Remaining time of the call; the claim expires ``CLAIM_MARGIN_S`` later.
        """
        now = self._clock.seconds()
        expires_at = now + timeout_s + CLAIM_MARGIN_S
        record = ClaimRecord(digest_request(*request), self._node_id, expires_at)
        operation_id = uuid.uuid4().hex
        result = await claim_key(self._table, service, key, record, operation_id, now)
        if isinstance(result, ErrorResult) and result.kind is ErrorKind.STORE_UNKNOWN:
            self.run_in_background(
                self._withdraw(idempotency_key(service, key), operation_id)
            )
        return result

    async def _withdraw(self, row_key: str, claim_operation_id: str) -> None:
        operation_id = uuid.uuid4().hex

        absent_reads = 0

        async def attempt() -> ErrorResult | None:
            nonlocal absent_reads
            error = await withdraw_claim(
                self._table, row_key, claim_operation_id, operation_id
            )
            if error is not None and error.kind is ErrorKind.NOT_FOUND:
                absent_reads += 1
                return error if absent_reads < MIN_ABSENT_READS else None
            return error

        await retry_write(attempt, self._sleep)

    async def release(self, claim: Claim) -> None:
        """Release the claim of a request that was not run, so the key can be reused."""
        operation_id = uuid.uuid4().hex
        await retry_write(
            lambda: release_claim(self._table, claim, operation_id), self._sleep
        )

    async def record(self, claim: Claim, outcome: Outcome | None) -> None:
        """Record the outcome of a request; None records it as unknown."""
        if outcome is None:
            _, service, key = claim.key.split("/", 2)
            log_event(404, key=key, service=service)
        operation_id = uuid.uuid4().hex
        await retry_write(
            lambda: record_outcome(self._table, claim, outcome, operation_id),
            self._sleep,
        )
