"""Member records: nodes, the workers beside them, and how records merge."""

import functools
import hashlib
import operator
import zlib

from attrs import define, field, frozen

# A later state in this order wins between records of equal age, so that bad
# news about a member is not lost when records cross.
MEMBER_STATES = ("alive", "suspect", "down", "left")
LIVE_STATES = ("alive", "suspect")
WORKER_STATES = ("starting", "ready", "draining", "down")
LIVE_STATES = ("alive", "suspect")
# Tables that differ are compared bucket by bucket, so that a repair of one
# lost record among 5,500 sends about 43 ages instead of all.
MEMBER_BUCKETS = 128


@frozen
class WorkerRecord:
    """One worker as it announced itself to the node on its host.

    Parameters
    ----------
    service, version : str
        What it runs.
    host : str
        IP number.
    port : int
        TCP port for calls.
    slots : int
        Calls it runs at a time.
    connections : int
        TCP connections it accepts.
    state : {"starting", "ready", "draining", "down"}
        Only ready workers get new calls.
    """

    service: str
    version: str
    host: str
    port: int
    slots: int
    connections: int
    state: str = "ready"

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the worker."""
        return (self.host, self.port)


@frozen
class Member:
    """One node and its worker, as known to the fleet.

    Parameters
    ----------
    node_id : str
        Stable name of the node, from its settings.
    incarnation : int
        Unix time in milliseconds at which the process started.
    sequence : int
        Raised by the member itself at each change, and to refute a false
        report that it is down.
    zone, region : str
        Availability zone and region.
    host : str
        IP number.
    peer_port : int
        TCP port for links between nodes.
    state : {"alive", "suspect", "down", "left"}
        Liveness.
    workers : tuple of WorkerRecord
        Workers on this host; one per node as a rule, two while a new version
        starts beside the old one.
    """

    node_id: str
    incarnation: int
    sequence: int
    zone: str
    region: str
    host: str
    peer_port: int
    state: str = "alive"
    workers: tuple[WorkerRecord, ...] = ()

    @property
    def age_key(self) -> tuple[int, int, int]:
        """Order in which records of one member supersede each other."""
        return (self.incarnation, self.sequence, MEMBER_STATES.index(self.state))


def get_bucket(node_id: str) -> int:
    """Return the bucket of a member, from 0 to ``MEMBER_BUCKETS`` - 1."""
    return zlib.crc32(node_id.encode()) % MEMBER_BUCKETS


def _hash_record(member: Member) -> int:
    # Members that are down or left do not count, because tables forget them
    # at different times.
    if member.state not in LIVE_STATES:
        return 0
    text = f"{member.node_id}\0{member.age_key}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


@define
class MemberTable:
    """All members known to one node.

    Parameters
    ----------
    members_by_id : dict of str to Member
        Newest record of each member; changed through ``merge`` and ``forget``.

    Attributes
    ----------
    bucket_digests : list of int
        Checksum of the live records of each bucket, 64 bits.
    changes : int
        Number of changes, by which results derived from the table are reused.
    """

    members_by_id: dict[str, Member] = field(factory=dict)
    bucket_digests: list[int] = field(init=False)
    changes: int = field(init=False, default=0)

    def __attrs_post_init__(self) -> None:
        self.bucket_digests = [0] * MEMBER_BUCKETS
        for member in self.members_by_id.values():
            self.bucket_digests[get_bucket(member.node_id)] ^= _hash_record(member)

    @property
    def digest(self) -> int:
        """Checksum of all live records, 64 bits."""
        return functools.reduce(operator.xor, self.bucket_digests)

    def _replace(self, node_id: str, member: Member | None) -> None:
        bucket = get_bucket(node_id)
        held = self.members_by_id.pop(node_id, None)
        if held is not None:
            self.bucket_digests[bucket] ^= _hash_record(held)
        if member is not None:
            self.bucket_digests[bucket] ^= _hash_record(member)
            self.members_by_id[node_id] = member
        self.changes += 1

    def merge(self, member: Member) -> bool:
        """Take a record if it is newer than the one held.

        Returns
        -------
        changed : bool
            Whether the table changed, that is, whether to pass the record on.
        """
        held = self.members_by_id.get(member.node_id)
        if held is not None and held.age_key >= member.age_key:
            return False
        self._replace(member.node_id, member)
        return True

    def forget(self, node_id: str) -> None:
        """Remove the record of a member."""
        if node_id in self.members_by_id:
            self._replace(node_id, None)

    def get_live(self, zone: str | None = None) -> list[Member]:
        """Return members that are alive or suspect, in one zone or in all."""
        return [
            member
            for member in self.members_by_id.values()
            if member.state in LIVE_STATES and (zone is None or member.zone == zone)
        ]

    def get_workers(self, service: str) -> list[tuple[Member, WorkerRecord]]:
        """Return the workers of a service on live members, with the member."""
        return [
            (member, worker)
            for member in self.get_live()
            for worker in member.workers
            if worker.service == service
        ]
