"""Spreading of member records over links, and repair of tables that differ."""

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

# Records in one message; encoding them takes about a millisecond.
MAX_RECORDS = 64
# Age of a record that the sender does not have; any real record is newer.
UNKNOWN_AGE = (0, 0, 0)


@define
class Gossip:
    """Records that wait to be sent to each linked peer.

    Parameters
    ----------
    table : MemberTable
        Table of this node.
    pending_by_peer : dict of str to dict of str to None
        Members whose record is to be sent, in order. The newest record is
        read when it is sent, so the memory is bounded by the table.
    """

    table: MemberTable
    pending_by_peer: dict[str, dict[str, None]] = field(factory=dict)


def queue_record(gossip: Gossip, node_id: str, source: str | None = None) -> None:
    """Queue the record of a member for all peers but its source."""
    for peer, pending in gossip.pending_by_peer.items():
        if peer != source:
            pending[node_id] = None


def take_records(
    gossip: Gossip, records: Iterable[Member], source: str | None, own_id: str
) -> list[tuple[Member | None, Member]]:
    """Merge records and queue those that were news.

    A record of this node is left out, see ``peering.refute``. So is one of an
    unknown member that is down or left, which would return a forgotten one.

    Returns
    -------
    changes : list of (Member or None, Member)
        Record before and after, for each that changed.
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
    # The source has the record. Without this a starting node, which learns the
    # whole table from several peers at once, sends it back to each of them.
    pending = gossip.pending_by_peer.get(source)
    if pending and held is not None and held.age_key <= record.age_key:
        pending.pop(record.node_id, None)


def take_batch(gossip: Gossip, peer: str) -> MemberUpdate | None:
    """Return the next records for a peer, or None if none are waiting."""
    pending = gossip.pending_by_peer.get(peer)
    if not pending:
        return None
    names = list(pending)[:MAX_RECORDS]
    for name in names:
        del pending[name]
    members_by_id = gossip.table.members_by_id
    return MemberUpdate(
        tuple(members_by_id[name] for name in names if name in members_by_id)
    )


def make_digests(table: MemberTable) -> MemberDigests:
    """Return the checksums by bucket that start a repair."""
    return MemberDigests(tuple(table.bucket_digests))


def answer_digests(table: MemberTable, message: MemberDigests) -> MemberAges | None:
    """Return the ages of the buckets that differ from the sender's."""
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
    """Queue what the sender lacks and ask for what this node lacks.

    Returns
    -------
    wanted : MemberAges or None
        Ages at this node of the records that are newer at the sender, without
        buckets; the sender answers with the records.
    """
    members_by_id = gossip.table.members_by_id
    pending = gossip.pending_by_peer.get(peer)
    if pending is None:
        return None
    wanted = {}
    for node_id, (incarnation, sequence, state) in message.ages_by_id.items():
        held = members_by_id.get(node_id)
        theirs = (incarnation, sequence, state)
        if held is None:
            live = 0 <= state < len(LIVE_STATES) and theirs != UNKNOWN_AGE
            if live:
                wanted[node_id] = UNKNOWN_AGE
        elif held.age_key < theirs:
            wanted[node_id] = held.age_key
        elif held.age_key > theirs and (
            theirs != UNKNOWN_AGE or held.state in LIVE_STATES
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
