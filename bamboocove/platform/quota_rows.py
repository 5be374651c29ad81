"""Rows of the platform's store that hold the leases of the granters of quotas."""

from typing import Any, Protocol
from urllib.parse import quote, urlencode

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.rows import (
    HTTP_PRECONDITION_FAILED,
    format_transaction,
    get_revision,
    parse_document,
    parse_response,
    parse_rows,
)
from bamboocove.platform.store_era import StoreEra
from bamboocove.sidecar.logs import log
from bamboocove.state.codec import decode, encode
from bamboocove.state.quotas import QuotaLeaseRow, StoredQuotaLease
from bamboocove.transport.fetching import Response

QUOTAS_TABLE = "bamboocove-quotas"
# Shorter than for other calls: a holder whose call fails needs time for another one
# before its lease ends.
CALL_TIMEOUT_S = 1.2


class _Requester(Protocol):
    _era: StoreEra

    async def _request(
        self, method: bytes, target: str, body: bytes, timeout_s: float
    ) -> Response | ErrorResult:
        """Send a request to the store; the body is empty for reads."""


class QuotaRows:
    """Operations on the rows of leases, for a client that can send requests."""

    async def read_quota_lease(
        self: _Requester, zone: str
    ) -> StoredQuotaLease | ErrorResult:
        """Read the lease of an availability zone."""
        query = {
            "table": QUOTAS_TABLE,
            "part": "",
            "limit": 1,
            "from": zone,
            "to": zone + "\0",
        }
        target = "/api/rows-get?" + urlencode(query, quote_via=quote)
        response = await self._request(b"GET", target, b"", CALL_TIMEOUT_S)
        if isinstance(response, ErrorResult):
            return response
        error = self._era.check_read(response)
        document = parse_response(response) if error is None else error
        if isinstance(document, ErrorResult):
            return document
        return _make_stored(document, zone, self._era.number or 0)

    async def write_quota_lease(
        self: _Requester, zone: str, row: QuotaLeaseRow, version: int
    ) -> StoredQuotaLease | ErrorResult:
        """Write the lease of a zone if the store holds a version of its row.

        Parameters
        ----------
        version : int
            The version; 0 for no row.

        Returns
        -------
        stored : StoredQuotaLease or ErrorResult
            The written row, or the one that the store holds instead;
            ``STORE_UNKNOWN`` if the write may have been applied, and ``CONFLICT`` if
            it was not and the store does not say what it holds.
        """
        era = None if self._era.number is None else row.era
        error = self._era.check_conditions(era)
        if error is not None:
            return error
        data = format_transaction(
            [(QUOTAS_TABLE, zone, version)], [(QUOTAS_TABLE, zone, encode(row))], []
        )
        response = await self._request(b"POST", "/api/rows-tx", data, CALL_TIMEOUT_S)
        if isinstance(response, ErrorResult):
            return response
        error = self._era.check_write(response, era)
        if error is not None:
            return error
        if response.status == HTTP_PRECONDITION_FAILED:
            document = parse_document(response.body)
            if isinstance(document, ErrorResult) or not document.get("rows"):
                reason = f"the lease of {zone} was changed or removed"
                return ErrorResult(ErrorKind.CONFLICT, reason)
            return _make_stored(document, zone, self._era.number or 0)
        document = parse_response(response)
        if isinstance(document, ErrorResult):
            return document
        written_version = get_revision(document, 0)
        return StoredQuotaLease(row, written_version, row.era, True)


def _make_stored(document: dict, zone: str, era: int) -> StoredQuotaLease:
    for row in parse_rows(document):
        if row.key != zone or row.value is None:
            continue
        lease: Any = decode(QuotaLeaseRow, row.value)
        if isinstance(lease, ErrorResult):
            log("store.row-unreadable", key=zone, reason=lease.reason)
            # Nobody is known to have ended, so that its lease is waited for.
            lease = QuotaLeaseRow("?", 0, 0, era)
        return StoredQuotaLease(lease, row.revision, era)
    return StoredQuotaLease(None, 0, era)
