"""Selection of linked peers, store readers and probes; detection of failures."""

import functools
import hashlib
import itertools
from collections.abc import Mapping

from attrs import evolve

from bamboocove.state.members import LIVE_STATES, Member, MemberTable

READERS_PER_ZONE = 2
# A member is suspect after the silence in the settings and down after this many
# times as long, so that it has as much time again to refute the report.
DOWN_AFTER_FACTOR = 2
FORGET_AFTER_S = 3600.0
# Expected dials of a member that is down, from all nodes together, per probe
# interval. More would flood a host that returns; fewer would delay recovery from
# a partition in which each side considers the other down.
PROBES_PER_DOWN_MEMBER = 3
# Distances of the fingers along the ring, in eighths of it, in order of
# preference. The first finger is the successor, which keeps the ring connected.
FINGER_EIGHTHS = (0, 2, 4, 6, 1, 3, 5, 7)
# Fraction of the ring by which a current finger may be off its point before it is
# replaced. Without this tolerance one change of membership would change a link of
# most nodes.
FINGER_TOLERANCE = 1 / 16
RING_SIZE = 2**64


@functools.lru_cache(maxsize=16384)
def compute_ring_position(text: str) -> int:
    """Return the position of a text on the hash ring, an integer of 64 bits."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _compute_rank(own_id: str, other: str) -> int:
    pair = f"{own_id}\0{other}".encode()
    return int.from_bytes(hashlib.blake2b(pair, digest_size=8).digest())


def pick_fingers(
    own_id: str,
    members: list[Member],
    count: int,
    current: frozenset[str] = frozenset(),
) -> list[Member]:
    """Pick peers along the hash ring: the successor, then at a quarter, half etc.

    Distances are fractions of the number of members. With fractions of the hash
    space, some members would get several times as many links as others.

    Parameters
    ----------
    own_id : str
        This node; it need not be in ``members``.
    members : list of Member
        Live members of one availability zone.
    count : int
        Number of peers to pick; fewer are returned if the zone is small.
    current : frozenset of str
        Peers picked before, kept while they are within ``FINGER_TOLERANCE``.
    """
    start = compute_ring_position(own_id)
    ring = sorted(
        (member for member in members if member.node_id != own_id),
        key=lambda member: (compute_ring_position(member.node_id) - start) % RING_SIZE,
    )
    size = len(ring)
    picked: dict[str, Member] = {}
    for eighths in itertools.islice(itertools.cycle(FINGER_EIGHTHS), count):
        index = size * eighths // 8
        tolerance = int(size * FINGER_TOLERANCE) if eighths else 0
        nearby = range(max(0, index - tolerance), min(size, index + tolerance + 1))
        candidates = [
            *(
                member
                for member in map(ring.__getitem__, nearby)
                if member.node_id in current
            ),
            *ring[index:],
            *ring[:index],
        ]
        for member in candidates:
            if member.node_id not in picked:
                picked[member.node_id] = member
                break
    return list(picked.values())


def pick_remote_peer(
    own_id: str, members: list[Member], avoided_zones: frozenset[str]
) -> Member | None:
    """Pick one peer of another availability zone.

    Zone and peer are chosen by rendezvous hashing. This spreads the links
    evenly, makes them shortcuts across the ring and changes few of them when a
    member joins or leaves.

    Parameters
    ----------
    own_id : str
        This node.
    members : list of Member
        Live members of other zones.
    avoided_zones : frozenset of str
        Zones that could not be reached recently; chosen only if no other zone
        has members.
    """
    zones = {member.zone for member in members}
    if not zones:
        return None
    zone = min(
        zones - avoided_zones or zones, key=functools.partial(_compute_rank, own_id)
    )
    return min(
        (member for member in members if member.zone == zone),
        key=lambda member: _compute_rank(own_id, member.node_id),
    )


def pick_peers(
    table: MemberTable,
    own: Member,
    links: int,
    avoided_zones: frozenset[str] = frozenset(),
    current: frozenset[str] = frozenset(),
) -> list[Member]:
    """Pick the peers that a node links to: ``links`` in its zone and one remote.

    Parameters
    ----------
    table : MemberTable
        Member table of this node.
    own : Member
        This node.
    links : int
        Number of peers in the own zone.
    avoided_zones : frozenset of str
        See ``pick_remote_peer``.
    current : frozenset of str
        Peers picked before, see ``pick_fingers``.
    """
    live = table.get_live()
    local = [member for member in live if member.zone == own.zone]
    remote = [member for member in live if member.zone != own.zone]
    picked = pick_fingers(own.node_id, local, links, current)
    other = pick_remote_peer(own.node_id, remote, avoided_zones)
    return picked if other is None else [*picked, other]


def pick_readers(
    table: MemberTable, zone: str, count: int = READERS_PER_ZONE
) -> list[str]:
    """Return the members of a zone that read the store, by rendezvous hashing."""
    node_ids = [member.node_id for member in table.get_live(zone)]
    return sorted(
        node_ids, key=lambda node_id: compute_ring_position(f"reader\0{node_id}")
    )[:count]


def find_silent_peers(
    table: MemberTable,
    heard_at_by_id: Mapping[str, float],
    now: float,
    suspect_s: float,
) -> list[Member]:
    """Return records that report peers that have been silent for too long.

    Parameters
    ----------
    table : MemberTable
        Member table of this node.
    heard_at_by_id : mapping of str to float
        Time of the last message from each peer, or of the first attempt to
        reach it.
    now : float
        Current time in seconds.
    suspect_s : float
        Silence in seconds after which a peer is suspect.

    Returns
    -------
    records : list of Member
        Records with the state suspect or down. They keep the known incarnation
        and sequence, so that any newer record of the member takes precedence.
    """
    records = []
    for node_id, heard_at in heard_at_by_id.items():
        member = table.members_by_id.get(node_id)
        if member is None or now - heard_at < suspect_s:
            continue
        if now - heard_at >= DOWN_AFTER_FACTOR * suspect_s:
            state = "down"
        else:
            state = "suspect"
        if member.state == "alive" or (member.state, state) == ("suspect", "down"):
            records.append(evolve(member, state=state))
    return records


def refute(own: Member, record: Member) -> Member | None:
    """Return the own record, renewed so that it supersedes a report about it.

    Parameters
    ----------
    own : Member
        Record of this node.
    record : Member
        Record of this node as reported by another node.

    Returns
    -------
    renewed : Member or None
        None if the own record already supersedes the report. The incarnation
        is raised too if that of the report is higher, which happens if the
        clock went back between two starts.
    """
    if record.age_key <= own.age_key:
        return None
    if record.incarnation > own.incarnation:
        return evolve(own, incarnation=record.incarnation, sequence=record.sequence + 1)
    return evolve(own, sequence=record.sequence + 1)


def pick_probe_target(
    table: MemberTable, own_id: str, chance: float, fraction: float
) -> Member | None:
    """Pick a member that is down, to probe whether it is reachable again.

    Parameters
    ----------
    table : MemberTable
        Member table of this node.
    own_id : str
        This node.
    chance, fraction : float
        Random numbers from 0 to 1 that decide whether to probe, and which member.
    """
    down = [
        member
        for member in table.members_by_id.values()
        if member.state == "down" and member.node_id != own_id
    ]
    live = max(1, len(table.members_by_id) - len(down))
    if not down or chance * live >= PROBES_PER_DOWN_MEMBER * len(down):
        return None
    return down[min(int(fraction * len(down)), len(down) - 1)]


def update_dead_since(
    table: MemberTable, dead_since_by_id: dict[str, float], now: float
) -> list[str]:
    """Record since when members are down or left, and return the expired ones.

    Returns
    -------
    forgettable : list of str
        Members that have been down or left for ``FORGET_AFTER_S``.
    """
    dead = {
        node_id
        for node_id, member in table.members_by_id.items()
        if member.state not in LIVE_STATES
    }
    for node_id in [name for name in dead_since_by_id if name not in dead]:
        del dead_since_by_id[node_id]
    for node_id in dead:
        dead_since_by_id.setdefault(node_id, now)
    return [
        node_id
        for node_id, since in dead_since_by_id.items()
        if now - since >= FORGET_AFTER_S
    ]
