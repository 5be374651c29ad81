"""Gossip of member records over links, with anti-entropy repair of the tables."""

from collections.abc import Iterable

from attrs import define, field

from bamboocove.protocol.messages import MemberAges, MemberDigests, MemberUpdate
from bamboocove.state.members import (
    LIVE_STATES,
    MEMBER_BUCKETS,
    MEMBER_STATES,
    Member,
    MemberTable,
    get_bucket,
)

# Encoding this many records takes about a millisecond.
MAX_RECORDS_PER_MESSAGE = 64
# Age sent for a record that the sender lacks; every existing record is newer.
UNKNOWN_AGE = (0, 0, 0)


@define
class Gossip:
    """Member table of a node and the records to be sent to each linked peer.

    Parameters
    ----------
    table : MemberTable
        Member table of this node.
    pending_by_peer : dict of str to dict of str to None
        Members whose record is to be sent, in order. The record is read from
        the table when it is sent, so that the newest one is sent and memory is
        bounded by the size of the table.
    """

    table: MemberTable
    pending_by_peer: dict[str, dict[str, None]] = field(factory=dict)


def queue_record(gossip: Gossip, node_id: str, source: str | None = None) -> None:
    """Queue the record of a member for all peers except its source."""
    for peer, pending in gossip.pending_by_peer.items():
        if peer != source:
            pending[node_id] = None


def merge_records(
    gossip: Gossip, records: Iterable[Member], source: str | None, own_id: str
) -> list[tuple[Member | None, Member]]:
    """Merge received records into the table and queue those that changed it.

    A record of this node is skipped, see ``peering.refute``. So is that of an
    unknown member that is down or left: it would restore a member that was
    removed from the table.

    Returns
    -------
    changes : list of (Member or None, Member)
        Old and new record of each member whose record changed.
    """
    changes = []
    for record in records:
        held = gossip.table.members_by_id.get(record.node_id)
        if record.node_id == own_id:
            continue
        _drop_pending(gossip, record, held, source)
        if held is None and record.state not in LIVE_STATES:
            continue
        if gossip.table.merge(record):
            queue_record(gossip, record.node_id, source)
            changes.append((held, record))
    return changes


def _drop_pending(
    gossip: Gossip, record: Member, held: Member | None, source: str | None
) -> None:
    # The source already has the record. Otherwise a starting node, which receives
    # the whole table from several peers at once, would send it back to each.
    pending = gossip.pending_by_peer.get(source)
    if pending and held is not None and held.age_key <= record.age_key:
        pending.pop(record.node_id, None)


def pop_batch(gossip: Gossip, peer: str) -> MemberUpdate | None:
    """Remove and return the next records for a peer, or None if none are queued."""
    pending = gossip.pending_by_peer.get(peer)
    if not pending:
        return None
    node_ids = list(pending)[:MAX_RECORDS_PER_MESSAGE]
    for node_id in node_ids:
        del pending[node_id]
    members_by_id = gossip.table.members_by_id
    return MemberUpdate(
        tuple(
            members_by_id[node_id] for node_id in node_ids if node_id in members_by_id
        )
    )


def make_digests(table: MemberTable) -> MemberDigests:
    """Return the digest of each bucket of the table, which starts a repair."""
    return MemberDigests(tuple(table.bucket_digests))


def answer_digests(table: MemberTable, message: MemberDigests) -> MemberAges | None:
    """Return the record ages in the buckets whose digest differs from the sender's."""
    if len(message.digests) != MEMBER_BUCKETS:
        return None
    differing = {
        bucket
        for bucket, digest in enumerate(message.digests)
        if digest != table.bucket_digests[bucket]
    }
    if not differing:
        return None
    ages = {
        node_id: member.age_key
        for node_id, member in table.members_by_id.items()
        if get_bucket(node_id) in differing
    }
    return MemberAges(ages, tuple(sorted(differing)))


def answer_ages(gossip: Gossip, peer: str, message: MemberAges) -> MemberAges | None:
    """Queue records that the sender lacks and request those that this node lacks.

    Returns
    -------
    wanted : MemberAges or None
        Ages at this node of the records that are newer at the sender, without
        buckets. The sender answers with these records.
    """
    members_by_id = gossip.table.members_by_id
    pending = gossip.pending_by_peer.get(peer)
    if pending is None:
        return None
    wanted = {}
    for node_id, (incarnation, sequence, state) in message.ages_by_id.items():
        held = members_by_id.get(node_id)
        remote_age = (incarnation, sequence, state)
        if held is None:
            live = 0 <= state < len(LIVE_STATES) and remote_age != UNKNOWN_AGE
            if live:
                wanted[node_id] = UNKNOWN_AGE
        elif held.age_key < remote_age:
            wanted[node_id] = held.age_key
        elif held.age_key > remote_age and (
            remote_age != UNKNOWN_AGE or held.state in LIVE_STATES
        ):
            pending[node_id] = None
    buckets = set(message.buckets)
    if buckets:
        for node_id, member in members_by_id.items():
            if (
                node_id not in message.ages_by_id
                and member.state in LIVE_STATES
                and get_bucket(node_id) in buckets
            ):
                pending[node_id] = None
    return MemberAges(wanted) if wanted else None


assert MEMBER_STATES[: len(LIVE_STATES)] == LIVE_STATES
