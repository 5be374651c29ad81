"""Records of hosts that have left, and when to remove them from the store.

A report of a worker may arrive long after the worker has deregistered. The record of
its host is what tells the next process there that this start of the worker is over, so
it outlives the process by far longer than a report can be late.
"""

from attrs import define, field

from bamboocove.state.mesh import HostRecord

# Time for which a record stays after its host has left, in seconds. Reports are at
# most some seconds late.
KEEP_S = 60.0


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
    worker = record.worker
    return record.is_leaving and worker is not None and worker.state == "gone"
