"""Workers that have left, and hosts that have left and are removed from the store.

A report of a worker may arrive long after the worker has deregistered. The record of
its host is what tells the next process there that this start of the worker is over, so
it outlives the process by far longer than a report can be late.
"""

from collections.abc import Mapping

from attrs import define, field

from bamboocove.state.mesh import HostRecord, MeshWorker

# Time for which a record stays after its host has left, in seconds. Reports are at
# most some seconds late.
KEEP_S = 60.0
# States that a start of a worker never leaves again, but for "gone" after "draining".
LEAVING_STATES = ("draining", "gone")
# Departed workers that a host remembers, the latest ones.
MAX_DEPARTED_WORKERS = 16


@define
class DepartedStarts:
    """Starts of workers that have announced that they leave.

    A sign-off names the worker but not its start, so all starts up to it are over. A
    worker may start again under its identifier afterwards.

    Parameters
    ----------
    last_born_by_id : dict of str to int
        Unix time up to which the starts of a worker are over, in milliseconds.
    capacity : int
        Number of workers that are remembered, the latest ones.
    """

    last_born_by_id: dict[str, int] = field(factory=dict)
    capacity: int = MAX_DEPARTED_WORKERS

    def add(self, worker_id: str, born_ms: int) -> bool:
        """Remember that the starts up to a time are over; return whether it is new.

        Examples
        --------
        >>> departed = DepartedStarts()
        >>> departed.add("i-1", 5), departed.add("i-1", 4), departed.add("i-1", 6)
        (True, False, True)
        """
        if born_ms <= self.last_born_by_id.get(worker_id, -1):
            return False
        self.last_born_by_id.pop(worker_id, None)
        self.last_born_by_id[worker_id] = born_ms
        if len(self.last_born_by_id) > self.capacity:
            del self.last_born_by_id[next(iter(self.last_born_by_id))]
        return True

    def merge(self, last_born_by_id: Mapping[str, int]) -> bool:
        """Add what another process has remembered; return whether any of it is new."""
        added = [self.add(*item) for item in last_born_by_id.items()]
        return any(added)

    def covers(self, worker: MeshWorker) -> bool:
        """Return whether this start of a worker is over."""
        return worker.born_ms <= self.last_born_by_id.get(worker.worker_id, -1)


@define
class DepartedHosts:
    """Records of hosts that have left, with the time at which each was first seen."""

    _seen_by_id: dict[str, tuple[tuple[int, int], float]] = field(factory=dict)

    def find_expired(self, records: list[HostRecord], now: float) -> list[HostRecord]:
        """Return the records to remove.

        Parameters
        ----------
        records : list of HostRecord
            All records in the store.
        now : float
            Seconds of the local clock.
        """
        seen_by_id = {}
        expired = []
        for record in records:
            if not has_left(record):
                continue
            age_key, since = self._seen_by_id.get(record.host_id, (None, now))
            if age_key != record.age_key:
                since = now
            seen_by_id[record.host_id] = record.age_key, since
            if now - since >= KEEP_S:
                expired.append(record)
        self._seen_by_id = seen_by_id
        return expired


def has_left(record: HostRecord) -> bool:
    """Return whether the node has stopped after its worker has deregistered."""
    if not record.is_leaving:
        return False
    if record.worker is None:
        return bool(record.departed_by_id)
    return record.worker.state == "gone"
