"""The store task: follows the operator's data, version rules and host records."""

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import deferLater

from bamboocove.coordination.departures import DepartedHosts
from bamboocove.coordination.readers import Duty
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import run_logged
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.store import OperatorUpdate, Store
from bamboocove.state.mesh import HostRecord, VersionRule

# Exponential back-off after failed calls, in seconds, with half of each delay
# random. With the longest delay a configuration is still in force in the time
# required after the store has recovered.
MIN_RETRY_DELAY_S = 0.1
MAX_RETRY_DELAY_S = 0.8
# Interval between reads of the host records, in seconds. Hosts that started together
# may miss each other while the store rejects some calls; a later read finds them.
HOSTS_READ_INTERVAL_S = 10.0
# Interval at which a node that does not watch the store checks whether it has to,
# in seconds, and the same for a standby.
DUTY_POLL_INTERVAL_S = 0.3
STANDBY_POLL_INTERVAL_S = 0.1
# Time after the first read of the host records in which a node that has read the
# configuration does not watch for changes, in seconds. Links open and a reader is
# heard meanwhile; otherwise each node of a zone would make watch calls after a start
# of all of them.
WATCH_DELAY_S = 1.2
# Time for which a node waits for the first report of its worker before it writes its
# record, in seconds, if the whole system starts for the first time. Workers report
# every 1.5 s, first up to 2.9 s after the nodes start.
FIRST_REPORT_TIMEOUT_S = 3.0
# Delay of the write of a record whose worker is down, in seconds: after a restart a
# worker is probed and ready within it, so that one write holds both changes. Other
# nodes are told at once over the links.
DOWN_WRITE_DELAY_S = 0.3
DOWN_WAIT_STEP_S = 0.05
# Time over which all nodes spread the writes of their records after a restore of the
# store, in seconds.
REWRITE_S = 1.0
# The store answers a watch call after 2 s at the latest. Without an answer for this
# time, in seconds, changes may no longer be reaching this node.
WATCH_TIMEOUT_S = 2.6


class StoreWatch:
    """Reads and watches the store, and keeps the record of this host there current.

    Parameters
    ----------
    store : Store
        The platform's store.
    clock : reactor
        Source of time.
    random : callable
        Returns a float from 0 to 1.
    on_operator_update : callable
        Called with the configuration and the orders that were read.
    on_hosts, on_rules : callable
        Called with the records of hosts, and with the version rules.
    get_record : callable
        Returns the record of this host.
    get_duty : callable
        Returns the Duty of this node. Unless it has to watch the store, other nodes
        send it the operator's data.
    get_config_version : callable
        Returns the version of the configuration in force, from the store or from
        another node.
    is_first_start : bool
        Whether no process ran on this host before, so that the store has no record.
    on_created : callable, optional
        Called without arguments once the store holds a record of this host, after
        ``on_hosts`` was called with that of the process before, if there was one.
    may_wait : callable, optional
        Returns whether the next watch call may wait for changes.

    Attributes
    ----------
    is_reading : bool
        Whether this node watches the store.
    watch_answered_at : float
        When a watch call last succeeded or received a part of its response, in seconds
        of the local clock.
    unavailable_since : float or None
        Since when the store does not answer; None if it does.
    has_read_hosts : bool
        Whether the records of all hosts have been read since the start.
    """

    def __init__(
        self,
        store: Store,
        clock: Any,
        random: Callable[[], float],
        on_operator_update: Callable[[OperatorUpdate], None],
        on_hosts: Callable[[list[HostRecord]], None],
        on_rules: Callable[[list[VersionRule]], None],
        get_record: Callable[[], HostRecord],
        get_duty: Callable[[], Duty],
        get_config_version: Callable[[], int],
        is_first_start: bool = False,
        on_created: Callable[[], None] = lambda: None,
        may_wait: Callable[[], bool] = lambda: True,
    ):
        self._store = store
        self._clock = clock
        self._random = random
        self._on_operator_update = on_operator_update
        self._on_hosts = on_hosts
        self._on_rules = on_rules
        self._get_record = get_record
        self._get_duty = get_duty
        self._get_config_version = get_config_version
        self._read_version = 0
        self._duty = Duty.NONE
        self._is_first_start = is_first_start
        self._on_created = on_created
        self._may_wait = may_wait
        self._watch_from = 0.0
        self._is_running = False
        self._written_age_key: tuple[int, int] | None = None
        self._wakeup: Deferred | None = None
        self._age_keys_by_waiter: dict[Deferred, tuple[int, int]] = {}
        self._departed_hosts = DepartedHosts()
        self.is_reading = False
        self.watch_answered_at = float("-inf")
        self.unavailable_since: float | None = None
        self.has_read_hosts = False

    def start(self) -> None:
        """Start to read and write."""
        self._is_running = True
        self.unavailable_since = self._clock.seconds()
        # If the host records cannot be read, the node watches all the same.
        longest_s = FIRST_REPORT_TIMEOUT_S + WATCH_DELAY_S
        self._watch_from = self._clock.seconds() + longest_s
        for task in (self._follow_operator, self._follow_hosts, self._read_rules):
            run_logged(self._supervise(task))

    async def _supervise(self, task: Callable[[], Any]) -> None:
        """Run a task, and again after a delay if an unexpected exception ends it."""
        failures = 0
        while self._is_running:
            try:
                return await task()
            except Exception as error:
                name = task.__name__.lstrip("_")
                reason = f"{type(error).__name__}: {error}"
                log("store.task-failed", task=name, reason=reason)
                await self._back_off(failures)
                failures += 1

    def stop(self) -> None:
        """Stop once the calls in progress have returned."""
        self._is_running = False
        self.publish()

    def publish(self) -> None:
        """Wake the task so that it writes the changed record of this host."""
        wakeup, self._wakeup = self._wakeup, None
        if wakeup is not None:
            wakeup.callback(None)

    def write_again(self) -> None:
        """Write the record again, within a second, as the store may have lost it."""
        self._written_age_key = None
        self._clock.callLater(REWRITE_S * self._random(), self.publish)

    def wait_until_written(self, age_key: tuple[int, int]) -> Deferred:
        """Wait until the store holds the record of this host, or a newer one.

        Parameters
        ----------
        age_key : (int, int)
            ``age_key`` of the record.

        Returns
        -------
        written : Deferred
            Fires with None. It may be cancelled.
        """
        written = self._written_age_key
        if written is not None and written >= age_key:
            return succeed(None)
        waiter = Deferred(lambda waiter: self._age_keys_by_waiter.pop(waiter, None))
        self._age_keys_by_waiter[waiter] = age_key
        return waiter

    def _set_written(self, record: HostRecord) -> None:
        self._written_age_key = record.age_key
        for waiter, age_key in list(self._age_keys_by_waiter.items()):
            if age_key <= record.age_key:
                del self._age_keys_by_waiter[waiter]
                waiter.callback(None)

    def _track_availability(self, result: Any) -> bool:
        """Update and log the availability of the store; return whether it answered."""
        is_failure = isinstance(result, ErrorResult) and result.kind in (
            ErrorKind.STORE_UNAVAILABLE,
            ErrorKind.STORE_UNKNOWN,
        )
        now = self._clock.seconds()
        if is_failure and self.unavailable_since is None:
            self.unavailable_since = now
            log("store.lost", reason=result.reason)
        elif not is_failure and self.unavailable_since is not None:
            log("store.regained", seconds=round(now - self.unavailable_since, 3))
            self.unavailable_since = None
        return not is_failure

    async def _back_off(self, failures: int) -> None:
        max_delay_s = min(MAX_RETRY_DELAY_S, MIN_RETRY_DELAY_S * 2**failures)
        await deferLater(self._clock, max_delay_s * (0.5 + 0.5 * self._random()))

    def is_receiving_changes(self, now: float) -> bool:
        """Return whether the watch delivers changes to this node promptly."""
        return now - self.watch_answered_at < WATCH_TIMEOUT_S

    def _record_progress(self) -> None:
        self.watch_answered_at = self._clock.seconds()

    def _update_duty(self) -> None:
        duty = self._get_duty()
        if duty is not self._duty:
            self._duty = duty
            self.is_reading = duty in (Duty.READER, Duty.SUBSTITUTE)
            log("store.reading", is_reading=self.is_reading, duty=duty.name.lower())

    async def _follow_operator(self) -> None:
        # A revision has a meaning only within its era of the store.
        revision, era = -1, 0
        failures = 0
        is_confirmed = False
        while self._is_running:
            delay_s = self._watch_from - self._clock.seconds()
            if revision >= 0 and delay_s > 0.0:
                await deferLater(self._clock, min(DUTY_POLL_INTERVAL_S, delay_s))
                continue
            self._update_duty()
            if not self.is_reading:
                is_confirmed = False
                is_standby = self._duty is Duty.STANDBY
                poll_s = STANDBY_POLL_INTERVAL_S if is_standby else DUTY_POLL_INTERVAL_S
                await deferLater(self._clock, poll_s)
                continue
            if revision >= 0 and era != (self._store.era or 0):
                revision = -1
                await deferLater(self._clock, MIN_RETRY_DELAY_S * self._random())
                continue
            if revision < 0 or self._is_behind():
                self._read_version = self._get_config_version()
                result = await self._store.read_operator()
            else:
                # The first call returns at once, so that the zone soon hears a reader.
                result = await self._store.watch_operator(
                    revision,
                    is_confirmed and self._may_wait(),
                    self._record_progress,
                )
            if not self._is_running:
                return
            if not self._track_availability(result):
                self.watch_answered_at = float("-inf")
                await self._back_off(failures)
                failures += 1
                continue
            failures = 0
            is_confirmed = True
            self._record_progress()
            if isinstance(result, ErrorResult):
                log("store.history-lost", revision=revision, reason=result.reason)
                revision = -1
                # All nodes lose the history at the same time; the random delay
                # spreads their reads.
                await deferLater(self._clock, MIN_RETRY_DELAY_S * self._random())
                continue
            revision, era = result.revision, result.era
            if result.config is not None:
                version = result.config.version
                self._read_version = max(self._read_version, version)
            self._on_operator_update(result)

    def _is_behind(self) -> bool:
        """Return whether several versions may follow the revision that was read last.

        A watch call returns each of them in full, which a slow network link does not
        carry in time; a read returns only the newest.
        """
        if self._get_config_version() > self._read_version:
            return True
        unavailable_since = self.unavailable_since
        return (
            unavailable_since is not None
            and self._clock.seconds() - unavailable_since > WATCH_TIMEOUT_S
            and self._get_duty() is Duty.READER
        )

    async def _read_rules(self) -> None:
        rules = await self._call_until_success(self._store.read_rules)
        if rules is not None:
            self._on_rules(rules)

    async def _follow_hosts(self) -> None:
        if self._is_first_start:
            await self._wait_for_record_change(FIRST_REPORT_TIMEOUT_S)
        # Of two nodes that start together at least one sees the other, because each
        # reads after it has written.
        await self._create_record()
        await self._read_hosts()
        self._watch_from = min(self._watch_from, self._clock.seconds() + WATCH_DELAY_S)
        next_read_at = self._clock.seconds() + self._draw_read_interval()
        while self._is_running:
            if not self._is_record_written():
                await self._write_record()
            if self._clock.seconds() >= next_read_at:
                if self._get_duty() in (Duty.READER, Duty.SUBSTITUTE):
                    await self._remove_departed(await self._read_hosts())
                next_read_at = self._clock.seconds() + self._draw_read_interval()
            if self._is_record_written():
                await self._wait_for_record_change(
                    max(0.0, next_read_at - self._clock.seconds())
                )

    def _is_record_written(self) -> bool:
        # Reports of the worker that change nothing leave the age of the record.
        return self._get_record().age_key == self._written_age_key

    def _draw_read_interval(self) -> float:
        return HOSTS_READ_INTERVAL_S * (0.75 + 0.5 * self._random())

    async def _create_record(self) -> None:
        """Write the first record, or take over that of the previous process."""
        failures = 0
        while self._is_running:
            record = self._get_record()
            stored = await self._store.create_host(record)
            self._track_availability(stored)
            if isinstance(stored, ErrorResult):
                await self._back_off(failures)
                failures += 1
                continue
            if stored is None:
                self._set_written(record)
            else:
                self._on_hosts([stored])
            self._on_created()
            return

    async def _write_record(self) -> None:
        await self._wait_while_worker_is_down()
        record = self._get_record()
        written = await self._call_until_success(
            partial(self._store.write_host, record)
        )
        if isinstance(written, HostRecord):
            self._on_hosts([written])
        elif written is not None:
            self._set_written(record)

    async def _wait_while_worker_is_down(self) -> None:
        """Wait until the worker is up, at most for ``DOWN_WRITE_DELAY_S``.

        A node that was suspended meanwhile has yet to read the answers to its health
        checks, so of a late wake-up only ``DOWN_WAIT_STEP_S`` counts.
        """
        left_s = DOWN_WRITE_DELAY_S
        while left_s > 0.0 and _has_worker_down(self._get_record()):
            started_at = self._clock.seconds()
            step_s = min(left_s, DOWN_WAIT_STEP_S)
            await self._wait_for_record_change(step_s)
            left_s -= min(step_s, self._clock.seconds() - started_at)

    async def _read_hosts(self) -> list[HostRecord]:
        records = await self._call_until_success(self._store.read_hosts)
        if records is not None:
            self._on_hosts(records)
            self.has_read_hosts = True
        return records or []

    async def _remove_departed(self, records: list[HostRecord]) -> None:
        now = self._clock.seconds()
        for record in self._departed_hosts.find_expired(records, now):
            # Another reader may remove it at the same time; the next read shows what
            # is left.
            await self._store.remove_host(record)

    async def _call_until_success(self, call: Callable[[], Any]) -> Any:
        """Retry a call until it succeeds; return None if the task stops before."""
        failures = 0
        while self._is_running:
            result = await call()
            self._track_availability(result)
            if not isinstance(result, ErrorResult):
                return result
            await self._back_off(failures)
            failures += 1
        return None

    async def _wait_for_record_change(self, seconds: float) -> None:
        """Wait until the record has changed, at most for some seconds."""
        self._wakeup = wakeup = Deferred()
        timer = self._clock.callLater(seconds, self.publish)
        await wakeup
        if timer.active():
            timer.cancel()


def _has_worker_down(record: HostRecord) -> bool:
    return record.worker is not None and record.worker.state == "down"
