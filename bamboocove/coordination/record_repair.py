"""Repair of host records that a node has missed (anti-entropy).

Load pattern: hundreds of hosts whose records change every second during a release. A
node that misses a message, or a reader of the store that misses one, differs from
the others. If all nodes of a zone then requested all records of that reader, its link
would be full for a second.
"""

from collections.abc import Callable, Iterable, Mapping

from attrs import define

from bamboocove.state.mesh import HostRecord

# Time for which the checksums must differ before a node asks, in seconds, up to twice
# as long by a random draw. Changes reach all nodes in a fraction of it. The first
# answer usually ends the difference also for the others.
REPAIR_DELAY_S = 3.0

# Incarnation and sequence of records, by host.
Versions = Mapping[str, list[int]]


@define
class RecordRepair:
    """Decides when a node compares its host records with those of another one.

    Parameters
    ----------
    random : callable
        Returns a float from 0 to 1.
    ask_at : float or None
        When to ask if the checksums differ until then, in seconds of the local clock;
        None while they are equal.
    """

    random: Callable[[], float]
    ask_at: float | None = None

    def should_ask(self, own_digest: int, offered_digest: int, now: float) -> bool:
        """Return whether to ask the node that sent a checksum.

        Examples
        --------
        >>> repair = RecordRepair(lambda: 0.5)
        >>> [repair.should_ask(1, 2, now) for now in (0.0, 4.0, 5.0, 6.0)]
        [False, False, True, False]
        """
        if own_digest == offered_digest:
            self.ask_at = None
            return False
        if self.ask_at is not None and now < self.ask_at:
            return False
        is_due = self.ask_at is not None
        self.ask_at = now + REPAIR_DELAY_S * (1.0 + self.random())
        return is_due


def get_versions(records: Iterable[HostRecord]) -> dict[str, list[int]]:
    """Return the versions of records, by host."""
    return {record.host_id: list(record.age_key) for record in records}


def find_newer(
    records_by_id: Mapping[str, HostRecord], versions: Versions, only_listed: bool
) -> list[HostRecord]:
    """Return the records that are newer than the versions of another node.

    Parameters
    ----------
    records_by_id : mapping of str to HostRecord
        Records of this node.
    versions : mapping of str to list of int
        Versions of the other node.
    only_listed : bool
        Whether to leave out the hosts that ``versions`` does not name.
    """
    return [
        record
        for host_id, record in records_by_id.items()
        if (
            not only_listed
            if host_id not in versions
            else list(record.age_key) > list(versions[host_id])
        )
    ]


def find_older(
    records_by_id: Mapping[str, HostRecord], versions: Versions
) -> dict[str, list[int]]:
    """Return the own versions of records of which another node has newer ones.

    Hosts that this node does not know have a version that is older than any record.
    """
    older = {}
    for host_id, version in versions.items():
        record = records_by_id.get(host_id)
        own = list(record.age_key) if record is not None else [-1, -1]
        if own < list(version):
            older[host_id] = own
    return older
