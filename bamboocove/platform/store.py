"""Client of the platform's store: reads, writes and watches rows in tables."""

from collections.abc import Callable
from typing import Any
from urllib.parse import quote, urlencode

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.call_log import log_call
from bamboocove.platform.quota_rows import QuotaRows
from bamboocove.platform.rows import (
    HTTP_PRECONDITION_FAILED,
    Row,
    decode_records,
    format_transaction,
    get_revision,
    get_store_time,
    make_update,
    parse_document,
    parse_response,
    parse_rows,
)
from bamboocove.platform.rule_rows import RULES_TABLE, make_writes, merge_stored
from bamboocove.platform.store_era import StoreEra
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.state.codec import decode, encode
from bamboocove.state.mesh import HostRecord, VersionRule
from bamboocove.transport.clients import Address, ConnectionPool
from bamboocove.transport.fetching import (
    Fetch,
    Response,
    TransferLimits,
    format_request,
)
from bamboocove.transport.monotonic_clock import read_boot_time

JSON_HEADERS = [(b"content-type", b"application/json")]
# A response takes about 4 ms to begin, and up to 60 times as long when the store is
# slow.
CALL_TIMEOUT_S = 1.5
# A configuration with thousands of routes takes a second and more over a link of
# 5 Mbit/s, and the limit in all allows for other traffic of the host.
TRANSFER_LIMITS = TransferLimits(silence_s=1.5, total_s=10.0)
CONNECT_TIMEOUT_S = 1.0
# Longest time that the store holds a long poll for changes, and the margin that the
# client adds for its response to begin. A store that no longer responds is detected
# after the sum of both. A short wait is affordable because only the readers of each
# zone poll.
WATCH_WAIT_S = 2.0
WATCH_TIMEOUT_MARGIN_S = 0.8
PAGE_SIZE = 500
# Only the operator writes OPERATOR_TABLE.
OPERATOR_TABLE = "op"
HOSTS_TABLE = "bamboocove-hosts"
TRANSACTION_PATH = "/api/rows-tx"
# Tries of a write whose row has another revision than expected.
MAX_CONFLICTS = 3


class PlatformStore(QuotaRows):
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
    watch_wait_s : float
        Longest time that the store holds a call for changes, in seconds.
    get_boot_time : callable
        Returns the time since the machine started, in seconds.
    """

    def __init__(
        self,
        address: Address,
        clock: Any,
        watch_wait_s: float = WATCH_WAIT_S,
        get_boot_time: Callable[[], float] = read_boot_time,
    ):
        self._address = address
        self._clock = clock
        self.watch_wait_s = watch_wait_s
        self._get_boot_time = get_boot_time
        self._pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
        self.calls = 0
        # Revisions of the rows of hosts that were written, or found in their place.
        self._revisions_by_host: dict[str, int] = {}
        self._era = StoreEra(self._revisions_by_host.clear)

    @property
    def era(self) -> int | None:
        """Newest known era of the store; None until it is known."""
        return self._era.number

    def learn_era(self, era: int) -> None:
        """Discard what was read in earlier eras, and answers of these that are late."""
        self._era.learn(era)

    def close(self) -> None:
        """Close idle connections."""
        self._pool.close()

    def sweep(self, now: float) -> None:
        """Close connections that have been idle for too long."""
        self._pool.sweep(now)

    async def read_operator(self) -> OperatorUpdate | ErrorResult:
        """Read all rows of the operator: the configuration and all move orders."""
        asked_at = self._get_boot_time()
        result = await self._read_table(OPERATOR_TABLE)
        if isinstance(result, ErrorResult):
            return result
        rows, page = result
        store_time_s = get_store_time(page)
        return make_update(
            rows,
            get_revision(page, 0),
            True,
            self.era or 0,
            store_time_s,
            asked_at,
        )

    async def watch_operator(
        self,
        revision: int,
        must_wait: bool = True,
        on_progress: Callable[[], None] | None = None,
    ) -> OperatorUpdate | ErrorResult:
        """Wait for changes that the operator makes after a revision.

        Parameters
        ----------
        revision : int
            Revision of the store.
        must_wait : bool
            Whether to wait if there are no changes yet.
        on_progress : callable, optional
            Called without arguments when a part of the response has arrived.

        Returns
        -------
        update : OperatorUpdate or ErrorResult
            The changes, none if the wait ended without any; ``STALE`` if the store
            does not hold the changes since the revision, or was restored.
        """
        era = self._era.number
        query = {
            "table": OPERATOR_TABLE,
            "after": revision,
            "waitMs": int(self.watch_wait_s * 1000) if must_wait else 0,
        }
        target = "/api/rows-feed?" + urlencode(query)
        timeout_s = self.watch_wait_s + WATCH_TIMEOUT_MARGIN_S
        asked_at = self._get_boot_time()
        document = await self._call(b"GET", target, b"", timeout_s, on_progress)
        if isinstance(document, ErrorResult):
            return document
        newest = get_revision(document, revision)
        if era not in (None, self._era.number) or newest < revision:
            reason = f"revision {revision} is not one of era {self.era} of the store"
            return ErrorResult(ErrorKind.STALE, reason)
        return make_update(
            parse_rows(document),
            newest,
            False,
            self.era or 0,
            get_store_time(document),
            asked_at,
        )

    async def read_hosts(self) -> list[HostRecord] | ErrorResult:
        """Read the records of all hosts."""
        return await self._read_records(HOSTS_TABLE, HostRecord, _get_host_id)

    async def write_host(self, record: HostRecord) -> int | HostRecord | ErrorResult:
        """Write the record of this host over the one that this process has seen.

        The store may perform a write whose response was lost after a later one; it has
        no effect then.

        Returns
        -------
        result : int or HostRecord or ErrorResult
            The new revision of the store; or the record of another process on this
            host, which was written meanwhile and stays.
        """
        for _ in range(MAX_CONFLICTS):
            revision = self._revisions_by_host.get(record.host_id, 0)
            result = await self._put_host(record, revision)
            if not isinstance(result, list):
                return result
            for stored in decode_records(result, HostRecord, _get_host_id):
                if stored.incarnation != record.incarnation:
                    return stored
                if stored.age_key >= record.age_key:
                    return self._revisions_by_host[record.host_id]
        return ErrorResult(ErrorKind.STORE_UNAVAILABLE, "the row changes all the time")

    async def create_host(self, record: HostRecord) -> HostRecord | None | ErrorResult:
        """Write the record of this host unless the store holds one.

        Returns
        -------
        stored : HostRecord or None or ErrorResult
            The record that the store holds instead, usually that of the previous
            process on this host; None if ``record`` was written.
        """
        result = await self._put_host(record, 0)
        if isinstance(result, ErrorResult):
            return result
        if not isinstance(result, list):
            return None
        records = decode_records(result, HostRecord, _get_host_id)
        if records:
            return records[0]
        # The row cannot be read, or was removed meanwhile.
        written = await self.write_host(record)
        return written if isinstance(written, HostRecord | ErrorResult) else None

    async def _put_host(
        self, record: HostRecord, revision: int
    ) -> int | list[Row] | ErrorResult:
        """Write a record if the store holds a revision of it, 0 for none.

        Returns
        -------
        result : int or list of Row or ErrorResult
            The new revision of the store, or the row that it holds instead, if any.
        """
        host_id = record.host_id
        data = format_transaction(
            [(HOSTS_TABLE, host_id, revision)],
            [(HOSTS_TABLE, host_id, encode(record))],
            [],
        )
        response = await self._transact(data, self._era.number)
        if isinstance(response, ErrorResult):
            return response
        if response.status != HTTP_PRECONDITION_FAILED:
            document = parse_response(response)
            if isinstance(document, ErrorResult):
                return document
            self._revisions_by_host[host_id] = get_revision(document, 0)
            return self._revisions_by_host[host_id]
        document = parse_document(response.body)
        rows = [] if isinstance(document, ErrorResult) else parse_rows(document)
        rows = [row for row in rows if row.key == host_id]
        if not rows:
            result = await self._read_table(HOSTS_TABLE, host_id)
            if isinstance(result, ErrorResult):
                return result
            rows = result[0]
        self._revisions_by_host[host_id] = rows[0].revision if rows else 0
        return rows

    async def remove_host(self, record: HostRecord) -> bool | ErrorResult:
        """Remove the record of a host that has left.

        Returns
        -------
        is_removed : bool or ErrorResult
            False if the store holds another record of the host, which stays;
            ``CONFLICT`` if it was written between the read and the removal.
        """
        result = await self._read_table(HOSTS_TABLE, record.host_id)
        if isinstance(result, ErrorResult):
            return result
        era = self._era.number
        for row in result[0]:
            stored = decode(HostRecord, row.value or b"")
            if isinstance(stored, ErrorResult) or stored.age_key != record.age_key:
                return False
            preconditions = [(HOSTS_TABLE, record.host_id, row.revision)]
            removals = [(HOSTS_TABLE, record.host_id)]
            removed = await self._write(preconditions, [], removals, era)
            return removed if isinstance(removed, ErrorResult) else True
        return False

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
        era = self._era.number
        rule, revision, is_stored = merge_stored(result[0], rule)
        if is_stored:
            return rule
        preconditions = [(RULES_TABLE, rule.service, revision)]
        write_result = await self._write(preconditions, make_writes(rule), [], era)
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
        return decode_records(result[0], cls, get_key)

    async def _read_table(
        self, table: str, key: str | None = None
    ) -> tuple[list[Row], dict] | ErrorResult:
        """Read the rows of a table, or one of them.

        Returns
        -------
        result : (list of Row, dict) or ErrorResult
            The rows, and the document of the first page. Rows that change while further
            pages are read are seen as of its revision and time, or later.
        """
        rows: list[Row] = []
        first_page: dict = {}
        era = None
        query: dict[str, Any] = {"table": table, "part": "", "limit": PAGE_SIZE}
        if key is not None:
            query.update({"from": key, "to": key + "\0"})
        while True:
            target = "/api/rows-get?" + urlencode(query, quote_via=quote)
            document = await self._call(b"GET", target, b"", CALL_TIMEOUT_S)
            if isinstance(document, ErrorResult):
                return document
            first_page = first_page or document
            page = parse_rows(document)
            if not rows:
                era = self._era.number
            elif era != self._era.number:
                return ErrorResult(ErrorKind.STALE, "the store was restored meanwhile")
            rows += page
            if not document.get("hasMore") or not page:
                return rows, first_page
            query["from"] = page[-1].key + "\0"

    async def _write(
        self,
        preconditions: list[tuple[str, str, int]],
        writes: list[tuple[str, str, bytes]],
        removals: list[tuple[str, str]],
        era: int | None,
    ) -> int | ErrorResult:
        """Apply a transaction whose preconditions were read in an era of the store."""
        data = format_transaction(preconditions, writes, removals)
        result = await self._transact(data, era)
        if not isinstance(result, ErrorResult):
            result = parse_response(result)
        return result if isinstance(result, ErrorResult) else get_revision(result, 0)

    async def _transact(self, data: bytes, era: int | None) -> Response | ErrorResult:
        error = self._era.check_conditions(era)
        if error is not None:
            return error
        response = await self._request(b"POST", TRANSACTION_PATH, data, CALL_TIMEOUT_S)
        if isinstance(response, ErrorResult):
            return response
        error = self._era.check_write(response, era)
        return response if error is None else error

    async def _call(
        self,
        method: bytes,
        target: str,
        body: bytes,
        timeout_s: float,
        on_progress: Callable[[], None] | None = None,
    ) -> dict | ErrorResult:
        response = await self._request(method, target, body, timeout_s, on_progress)
        if isinstance(response, ErrorResult):
            return response
        error = self._era.check_read(response)
        return parse_response(response) if error is None else error

    async def _request(
        self,
        method: bytes,
        target: str,
        body: bytes,
        timeout_s: float,
        on_progress: Callable[[], None] | None = None,
    ) -> Response | ErrorResult:
        self.calls += 1
        headers = JSON_HEADERS if body else []
        data = format_request(method, target.encode(), self._address, headers, body)
        started_at = self._clock.seconds()
        fetch = Fetch(
            self._pool,
            self._address,
            data,
            transfer=TRANSFER_LIMITS,
            on_progress=on_progress,
        )
        result = await fetch.start(timeout_s)
        log_call(target, result, self._clock.seconds() - started_at)
        if isinstance(result, ErrorResult):
            kind = ErrorKind.STORE_UNAVAILABLE
            if method == b"POST" and result.kind is ErrorKind.UPSTREAM_LOST:
                kind = ErrorKind.STORE_UNKNOWN
            return ErrorResult(kind, result.reason)
        return result


def _get_host_id(record: HostRecord) -> str:
    return record.host_id
