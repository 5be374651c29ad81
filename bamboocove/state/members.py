"""Membership table: records of nodes and their workers, and how records merge."""

import functools
import hashlib
import operator
import zlib

from attrs import define, field, frozen

# Among records of equal incarnation and sequence, the state that is later in
# this order wins, so a failure report is not lost to an "alive" record that
# arrives after it.
MEMBER_STATES = ("alive", "suspect", "down", "left")
LIVE_STATES = ("alive", "suspect")
WORKER_STATES = ("starting", "ready", "draining", "down")
LIVE_STATES = ("alive", "suspect")
# Anti-entropy compares differing tables bucket by bucket, so repairing one lost
# record among 5,500 sends about 43 ages instead of all.
MEMBER_BUCKETS = 128


@frozen
class WorkerRecord:
    """A worker as it announced itself to the node on its host.

    Parameters
    ----------
    service, version : str
        Service and version that it runs.
    host : str
        IP address.
    port : int
        TCP port for calls.
    slots : int
        Number of calls that it runs concurrently.
    connections : int
        Maximum number of TCP connections that it accepts.
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
    """Membership record of one node and its workers.

    Parameters
    ----------
    node_id : str
        Stable name of the node, from its settings.
    incarnation : int
        Unix time in milliseconds at which the process started.
    sequence : int
        Incremented by the member itself at each change, and to refute a false
        report that it is down.
    zone, region : str
        Availability zone and region.
    host : str
        IP address.
    peer_port : int
        TCP port for links between nodes.
    state : {"alive", "suspect", "down", "left"}
        Liveness as seen by failure detection.
    workers : tuple of WorkerRecord
        Workers on this host; usually one, and two while a new version starts
        beside the old one.
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
        """Sort key by which the newest record of a member supersedes the others."""
        return (self.incarnation, self.sequence, MEMBER_STATES.index(self.state))


def get_bucket(node_id: str) -> int:
    """Return the bucket of a member, from 0 to ``MEMBER_BUCKETS`` - 1."""
    return zlib.crc32(node_id.encode()) % MEMBER_BUCKETS


def _hash_record(member: Member) -> int:
    # Members that are down or have left are excluded, because nodes remove them
    # from their tables at different times.
    if member.state not in LIVE_STATES:
        return 0
    text = f"{member.node_id}\0{member.age_key}"
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


@define
class MemberTable:
    """All members known to one node, with checksums for anti-entropy.

    Parameters
    ----------
    members_by_id : dict of str to Member
        Newest record of each member; modified only by ``merge`` and ``forget``.

    Attributes
    ----------
    bucket_digests : list of int
        Checksum of the live records of each bucket, 64 bits.
    changes : int
        Number of changes so far; results derived from the table stay valid
        while it is the same.
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
        stored = self.members_by_id.pop(node_id, None)
        if stored is not None:
            self.bucket_digests[bucket] ^= _hash_record(stored)
        if member is not None:
            self.bucket_digests[bucket] ^= _hash_record(member)
            self.members_by_id[node_id] = member
        self.changes += 1

    def merge(self, member: Member) -> bool:
        """Store a record if it supersedes the stored one.

        Returns
        -------
        changed : bool
            Whether the table changed and the record should be gossiped on.
        """
        stored = self.members_by_id.get(member.node_id)
        if stored is not None and stored.age_key >= member.age_key:
            return False
        self._replace(member.node_id, member)
        return True

    def forget(self, node_id: str) -> None:
        """Remove the record of a member."""
        if node_id in self.members_by_id:
            self._replace(node_id, None)

    def get_live(self, zone: str | None = None) -> list[Member]:
        """Return the members of one zone, or of all, that are alive or suspect."""
        return [
            member
            for member in self.members_by_id.values()
            if member.state in LIVE_STATES and (zone is None or member.zone == zone)
        ]

    def get_workers(self, service: str) -> list[tuple[Member, WorkerRecord]]:
        """Return the workers of a service on live members, each with its member."""
        return [
            (member, worker)
            for member in self.get_live()
            for worker in member.workers
            if worker.service == service
        ]
