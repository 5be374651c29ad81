"""Which peers a node links to, who reads the store, and who is unreachable."""

import functools
import hashlib
import itertools
from collections.abc import Mapping

from attrs import evolve

from bamboocove.state.members import LIVE_STATES, Member, MemberTable

READERS_PER_ZONE = 2
# A member is suspect after the time in the settings and down after this many
# times as long, which leaves it one such time to refute the report.
DOWN_FACTOR = 2
FORGET_AFTER_S = 3600.0
# Dials of a member that is down, over all nodes and for each probe interval.
# More would flood a host that returns; fewer would delay the end of a
# partition in which each side holds the other for down.
PROBES_PER_DOWN_MEMBER = 3
# Eighths of the ring at which fingers point, in order of preference. The first
# is the successor, which keeps the ring connected.
FINGER_EIGHTHS = (0, 2, 4, 6, 1, 3, 5, 7)
# A finger stays where it is while it is this close to its point, as a part of
# the ring: otherwise one change of membership moves a link of most nodes.
FINGER_TOLERANCE = 1 / 16
RING_SIZE = 2**64


@functools.lru_cache(maxsize=16384)
def compute_position(text: str) -> int:
    """Return the position of a text on the hash ring, 64 bits."""
    return int.from_bytes(hashlib.blake2b(text.encode(), digest_size=8).digest())


def _rank(own_id: str, other: str) -> int:
    pair = f"{own_id}\0{other}".encode()
    return int.from_bytes(hashlib.blake2b(pair, digest_size=8).digest())


def pick_fingers(
    own_id: str,
    members: list[Member],
    count: int,
    current: frozenset[str] = frozenset(),
) -> list[Member]:
    """Pick peers over the hash ring: successor, quarter, half and so on.

    The points are fractions of the number of members. Fractions of the hash
    space would give some members several times as many links as others.

    Parameters
    ----------
    own_id : str
        This node, in ``members`` or not.
    members : list of Member
        Live members of one availability zone.
    count : int
        Peers to pick; fewer if the zone is small.
    current : frozenset of str
        Peers picked before.
    """
    start = compute_position(own_id)
    ring = sorted(
        (member for member in members if member.node_id != own_id),
        key=lambda member: (compute_position(member.node_id) - start) % RING_SIZE,
    )
    size = len(ring)
    picked: dict[str, Member] = {}
    for eighths in itertools.islice(itertools.cycle(FINGER_EIGHTHS), count):
        place = size * eighths // 8
        reach = int(size * FINGER_TOLERANCE) if eighths else 0
        near = range(max(0, place - reach), min(size, place + reach + 1))
        choices = [
            *(
                member
                for member in map(ring.__getitem__, near)
                if member.node_id in current
            ),
            *ring[place:],
            *ring[:place],
        ]
        for member in choices:
            if member.node_id not in picked:
                picked[member.node_id] = member
                break
    return list(picked.values())


def pick_remote(
    own_id: str, members: list[Member], avoided_zones: frozenset[str]
) -> Member | None:
    """Pick one peer outside the own availability zone.

    Zone and peer follow from hashes of both names, which spreads the links
    evenly, makes them shortcuts across the ring and moves few of them when a
    member comes or goes.

    Parameters
    ----------
    own_id : str
        This node.
    members : list of Member
        Live members of other zones.
    avoided_zones : frozenset of str
        Zones that could not be reached a moment ago; used only if no other
        zone has members.
    """
    zones = {member.zone for member in members}
    if not zones:
        return None
    zone = min(zones - avoided_zones or zones, key=functools.partial(_rank, own_id))
    return min(
        (member for member in members if member.zone == zone),
        key=lambda member: _rank(own_id, member.node_id),
    )


def pick_peers(
    table: MemberTable,
    own: Member,
    links: int,
    avoided_zones: frozenset[str] = frozenset(),
    current: frozenset[str] = frozenset(),
) -> list[Member]:
    """Pick the peers that a node links to: ``links`` in its zone, one outside.

    Parameters
    ----------
    table : MemberTable
        Table of this node.
    own : Member
        This node.
    links : int
        Peers in the own zone.
    avoided_zones : frozenset of str
        See ``pick_remote``.
    current : frozenset of str
        Peers picked before, see ``pick_fingers``.
    """
    live = table.get_live()
    local = [member for member in live if member.zone == own.zone]
    remote = [member for member in live if member.zone != own.zone]
    picked = pick_fingers(own.node_id, local, links, current)
    other = pick_remote(own.node_id, remote, avoided_zones)
    return picked if other is None else [*picked, other]


def pick_readers(
    table: MemberTable, zone: str, count: int = READERS_PER_ZONE
) -> list[str]:
    """Return the members of a zone that read the store, by rendezvous hash."""
    names = [member.node_id for member in table.get_live(zone)]
    return sorted(names, key=lambda name: compute_position(f"reader\0{name}"))[:count]


def find_silent(
    table: MemberTable,
    heard_at_by_id: Mapping[str, float],
    now: float,
    suspect_s: float,
) -> list[Member]:
    """Return records that report silent neighbours.

    Parameters
    ----------
    table : MemberTable
        Table of this node.
    heard_at_by_id : mapping of str to float
        Time of the last message of each neighbour, or of the first attempt to
        reach it.
    now : float
        Present time in seconds.
    suspect_s : float
        Silence after which a neighbour is suspect.

    Returns
    -------
    records : list of Member
        Suspect or down, with the incarnation and sequence that are held, so
        that anything newer from the member itself takes precedence.
    """
    records = []
    for node_id, heard_at in heard_at_by_id.items():
        member = table.members_by_id.get(node_id)
        if member is None or now - heard_at < suspect_s:
            continue
        if now - heard_at >= DOWN_FACTOR * suspect_s:
            state = "down"
        else:
            state = "suspect"
        if member.state == "alive" or (member.state, state) == ("suspect", "down"):
            records.append(evolve(member, state=state))
    return records


def refute(own: Member, record: Member) -> Member | None:
    """Return the own record, renewed so that it supersedes a report.

    Parameters
    ----------
    own : Member
        Record of this node.
    record : Member
        Record of this node as someone else holds it.

    Returns
    -------
    renewed : Member or None
        None if the own record already supersedes the report. The incarnation
        is raised too if the report has a higher one, as after a clock that
        went back between two starts.
    """
    if record.age_key <= own.age_key:
        return None
    if record.incarnation > own.incarnation:
        return evolve(own, incarnation=record.incarnation, sequence=record.sequence + 1)
    return evolve(own, sequence=record.sequence + 1)


def pick_probe(
    table: MemberTable, own_id: str, chance: float, fraction: float
) -> Member | None:
    """Pick a member that is down and may be reachable again.

    Parameters
    ----------
    table : MemberTable
        Table of this node.
    own_id : str
        This node.
    chance, fraction : float
        Random numbers from 0 to 1: whether to probe, and whom.
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
    """Note since when members are down or left.

    Returns
    -------
    forgettable : list of str
        Members that have been so for ``FORGET_AFTER_S``.
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
