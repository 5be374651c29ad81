"""Store task of a node: polls the head, registers the node, reads member rows."""

from collections.abc import Awaitable, Callable
from typing import Any

from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bamboocove.coordination.polling import (
    REGISTRATION_INTERVAL_S,
    PollState,
    check_head,
    compute_backoff,
    plan_poll,
    record_read_failure,
    record_read_success,
    select_members,
)
from bamboocove.coordination.publishing import (
    fetch_newer_config,
    read_head_record,
)
from bamboocove.errors import ErrorResult
from bamboocove.events import log_event
from bamboocove.protocol.rows import (
    ABSENT,
    NODE_PREFIX,
    Check,
    HeadRecord,
    NodeRecord,
    Row,
    Transaction,
    Write,
    node_key,
)
from bamboocove.settings import Settings
from bamboocove.state.codec import to_plain
from bamboocove.state.config import Config

MEMBERS_PAGE_SIZE = 1000
# Members read of one other zone. Gossip with them delivers the remaining records.
OTHER_ZONE_CONTACTS = 4
BOOTSTRAP_ATTEMPTS = 3


class StoreReader:
    """Store task of a node: configuration, registration and member rows.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    table, objects : TableClient, ObjectClient
        Clients of the platform.
    distributor : Distributor
        Receives new revisions and decides whether this node is a reader. Its
        member table ``members`` contains the record of this node.
    clock : IReactorTime
        Twisted reactor.
    random : random.Random
        Source of jitter.

    Attributes
    ----------
    floor : int
        Revision of the newest head that was read; 0 before the first read.
        The node never serves an older revision.
    """

    def __init__(
        self,
        settings: Settings,
        table: Any,
        objects: Any,
        distributor: Any,
        clock: Any,
        random: Any,
    ):
        self.floor = 0
        self._node_id = settings.get("node", "id")
        self._zone = settings.get("node", "zone")
        self._poll_s = settings.get("platform", "poll_s")
        self._table = table
        self._objects = objects
        self._distributor = distributor
        self._clock = clock
        self._random = random
        self._config = Config()
        self._state = PollState()
        self._refused_revision = None
        self._registration_version = ABSENT
        self._registration_failures = 0
        self._next_registration_at = float("-inf")
        self._is_running = False
        self._loops: list[Deferred] = []

    async def bootstrap(self) -> Config | ErrorResult:
        """Read the head and its configuration, register, and read member rows.

        Returns
        -------
        config : Config or ErrorResult
            The configuration of the head; revision 0 if nothing has been
            published. After an error, ``floor`` is set if the head could be
            read but not its object; if the head could not be read, the floor
            has to be computed from peers (``coordination.polling.compute_floor``).
        """
        for attempt in range(BOOTSTRAP_ATTEMPTS):
            if attempt > 0:
                await self._sleep(compute_backoff(attempt, self._random.random()))
            result = await self._read_store()
            if isinstance(result, Config):
                log_event(203, revision=result.revision, source="store")
                await self.refresh_registration()
                return result
        return result

    def start(self) -> None:
        """Start polling the head and refreshing the registration."""
        self._is_running = True
        self._loops = [
            self._start_loop(self.poll),
            self._start_loop(self.refresh_registration),
        ]

    async def stop(self) -> None:
        """Stop polling and remove the registration."""
        self._is_running = False
        for loop in self._loops:
            loop.cancel()
        for loop in self._loops:
            await loop
        self._loops = []
        await self._unregister()

    def record_config(self, config: Config) -> None:
        """Record a configuration that this node has, from the store or peers.

        Later polls fetch newer revisions only.
        """
        if config.revision > self._config.revision:
            self._config = config

    async def poll(self) -> None:
        """Read the head if a poll is due, and offer a newer revision."""
        now = self._clock.seconds()
        self._state, is_due = plan_poll(
            self._state,
            self._distributor.is_reader(now),
            self._distributor.get_store_age(now),
            now,
            self._random.random(),
        )
        if not is_due:
            return
        before = self._config.revision
        result = await self._read_store()
        if isinstance(result, Config) and result.revision > before:
            self._distributor.offer(result)

    async def refresh_registration(self) -> None:
        """Write the registration row and read the member rows, if due.

        Member rows are read at each refresh, not only at the start, when all rows
        may be stale and leave this node without a peer.
        """
        now = self._clock.seconds()
        if now < self._next_registration_at:
            return
        # The registration is written before the members are read, so that of two
        # nodes that start simultaneously the one that reads last finds the other.
        is_registered = await self._register(now)
        are_members_read = await self._read_members(now)
        fraction = self._random.random()
        if is_registered and are_members_read:
            self._registration_failures = 0
            self._next_registration_at = now + REGISTRATION_INTERVAL_S * (
                0.9 + 0.2 * fraction
            )
            return
        self._registration_failures += 1
        delay = compute_backoff(self._registration_failures, fraction)
        self._next_registration_at = now + delay

    async def _read_store(self) -> Config | ErrorResult:
        started_at = self._clock.seconds()
        result = await self._read_config()
        now = self._clock.seconds()
        if isinstance(result, ErrorResult):
            if self._state.failures == 0:
                log_event(601, reason=result.reason)
            self._state = record_read_failure(self._state, now, self._random.random())
            return result
        if self._state.failures:
            log_event(602, seconds=round(now - self._state.down_since, 1))
        self._state = record_read_success(self._state)
        # The age counts from the request: the head may have changed since.
        self._distributor.report_store_read(started_at)
        return result

    async def _read_config(self) -> Config | ErrorResult:
        head = await read_head_record(self._table)
        if isinstance(head, ErrorResult):
            return head
        error = check_head(head.record, self.floor)
        if error is not None:
            self._log_refusal(head.record.revision, error)
            return error
        self.floor = head.record.revision
        if head.record.revision <= self._config.revision:
            return self._config
        config = await self._fetch_config(head.record)
        if isinstance(config, Config):
            self.record_config(config)
        return config

    async def _fetch_config(self, head: HeadRecord) -> Config | ErrorResult:
        return await fetch_newer_config(self._table, self._objects, self._config, head)

    def _log_refusal(self, revision: int, error: ErrorResult) -> None:
        # Logged once for each head, as a reader polls every second.
        if self._refused_revision != revision:
            self._refused_revision = revision
            log_event(202, revision=revision, reason=error.reason)

    async def _read_members(self, now: float) -> bool:
        rows = await self._list_own_zone()
        if isinstance(rows, ErrorResult):
            return False
        rows += await self._list_other_zone()
        for member in select_members(rows, now):
            if member.node_id != self._node_id:
                self._distributor.members.merge(member)
        return True

    async def _list_own_zone(self) -> list[Row] | ErrorResult:
        rows = []
        after = ""
        while True:
            page = await self._table.list(
                f"{NODE_PREFIX}{self._zone}/", after, MEMBERS_PAGE_SIZE
            )
            if isinstance(page, ErrorResult):
                return page
            rows += page
            if len(page) < MEMBERS_PAGE_SIZE:
                return rows
            after = page[-1].key

    async def _list_other_zone(self) -> list[Row]:
        # The zones form a ring in the order of their keys. "0" follows "/" in
        # ASCII, so that the first row after "<zone>0" belongs to the next zone.
        first = await self._table.list(NODE_PREFIX, f"{NODE_PREFIX}{self._zone}0", 1)
        if not first and not isinstance(first, ErrorResult):
            first = await self._table.list(NODE_PREFIX, "", 1)
        if not first:
            return []
        prefix = "/".join(first[0].key.split("/")[:2]) + "/"
        if prefix == f"{NODE_PREFIX}{self._zone}/":
            return []
        # Listing from this node's identifier distributes the nodes of this zone
        # over the members of the other one.
        rows = await self._table.list(
            prefix, f"{prefix}{self._node_id}", OTHER_ZONE_CONTACTS
        )
        return rows or first

    async def _register(self, now: float) -> bool:
        member = self._distributor.members.members_by_id.get(self._node_id)
        if member is None:
            return False
        key = node_key(self._zone, self._node_id)
        transaction = Transaction(
            operation_id=f"register-{self._node_id}-{now}",
            checks=(),
            writes=(Write(key, to_plain(NodeRecord(member, now))),),
        )
        result = await self._table.transact(transaction)
        if isinstance(result, ErrorResult):
            # An unknown outcome is not read back: the next attempt overwrites the row.
            return False
        self._registration_version = result.versions_by_key[key]
        return True

    async def _unregister(self) -> None:
        if self._registration_version == ABSENT:
            return
        key = node_key(self._zone, self._node_id)
        # The check keeps the row of a successor process that registered already.
        transaction = Transaction(
            operation_id=f"unregister-{self._node_id}-{self._clock.seconds()}",
            checks=(Check(key, self._registration_version),),
            writes=(Write(key, None),),
        )
        await self._table.transact(transaction)
        self._registration_version = ABSENT

    def _start_loop(self, step: Callable[[], Awaitable[None]]) -> Deferred:
        async def loop():
            await self._sleep(self._poll_s * self._random.random())
            # The platform clients handle cancellation like a timeout and return,
            # so that the flag has to end the loop.
            while self._is_running:
                await _run_step(step)
                if self._is_running:
                    await self._sleep(self._poll_s)

        return Deferred.fromCoroutine(loop()).addErrback(_ignore_cancel)

    def _sleep(self, seconds: float) -> Deferred:
        return deferLater(self._clock, seconds, lambda: None)


async def _run_step(step: Callable[[], Awaitable[None]]) -> None:
    try:
        await step()
    except CancelledError:
        raise
    # An unexpected exception in one step must not end the loop.
    except Exception as error:
        log_event(601, reason=f"{type(error).__name__}: {error}")


def _ignore_cancel(failure: Failure) -> None:
    failure.trap(CancelledError)
