"""Selection of the nodes that a node keeps links to (subsetting).

Load pattern: hundreds of hosts that all start within 0.3 s. If each node dialled all
others, the handshakes, their bytes between zones and the pings on idle links would
grow with the square of the hosts. A node therefore links to all hosts of its zone, but
in each other zone only to those that read the store and to a few workers of each
service. The choice is rendezvous hashing: it differs between nodes, so that the load
of a zone that needs workers elsewhere is spread, and it hardly changes when a host
joins or leaves.
"""

from collections.abc import Collection, Iterable
from zlib import crc32

from attrs import define, field, frozen

from bamboocove.coordination.readers import READERS_PER_ZONE, choose_readers

# Workers of each service and version in other zones that a node can send requests to,
# at least, if there are so many. They replace the workers of its own zone.
MIN_REMOTE_WORKERS = 12
# Workers of each service and version in each other zone: with fewer, two lost hosts
# would cut a node off from the service there.
MIN_WORKERS_PER_ZONE = 3
# Time for which a link is kept after its host is no longer chosen, in seconds. A worker
# that goes down and up by turns would otherwise cost a handshake each time.
LINGER_S = 10.0


@frozen
class LinkCandidate:
    """A host to which a node may keep a link.

    Parameters
    ----------
    host_id, zone : str
        The host and its availability zone.
    service, version : str
        What its worker runs; both empty unless the worker is ready.
    is_leaving : bool
        Whether its node is about to stop.
    link_bytes_per_s : int
        Rate of its network link; 0 if unknown.
    """

    host_id: str
    zone: str
    service: str = ""
    version: str = ""
    is_leaving: bool = False
    link_bytes_per_s: int = 0


@frozen
class LinkChoice:
    """The hosts that a node keeps links to.

    Parameters
    ----------
    link_ids : set of str
        All of them.
    target_ids : set of str
        Those to which the node sends requests. Hosts that are linked only because
        they relay messages in their zone would get requests of all nodes.
    """

    link_ids: set[str]
    target_ids: set[str]


def choose_links(
    own_id: str,
    own_zone: str,
    candidates: Iterable[LinkCandidate],
    lost_ids: Collection[str] = (),
    moving_versions: Collection[tuple[str, str]] = (),
) -> LinkChoice:
    """Return the hosts that a node keeps links to.

    Parameters
    ----------
    own_id, own_zone : str
        The node's host and its availability zone.
    candidates : iterable of LinkCandidate
        All other known hosts.
    lost_ids : collection of str
        Hosts that have not been reached for some time. They are dialled further, and
        replaced by others meanwhile.
    moving_versions : collection of (str, str)
        Services and the versions that their traffic moves to. All nodes send a
        small share to the same few workers of such a version, so each node links to
        all of them.

    Examples
    --------
    >>> hosts = [LinkCandidate(f"h{n}", "b", "orders", "v1") for n in range(40)]
    >>> len(choose_links("h", "a", hosts).link_ids)
    14
    >>> len(choose_links("h", "b", hosts).link_ids)
    40
    """
    relay_ids: set[str] = set()
    target_ids: set[str] = set()
    groups: dict[tuple[str, str, str], list[str]] = {}
    rates_by_zone: dict[str, dict[str, int]] = {}
    zones = {own_zone}
    for host in candidates:
        zones.add(host.zone)
        if host.zone == own_zone or (host.service, host.version) in moving_versions:
            target_ids.add(host.host_id)
            continue
        if not host.is_leaving:
            rates_by_id = rates_by_zone.setdefault(host.zone, {})
            rates_by_id[host.host_id] = host.link_bytes_per_s
        if host.service:
            key = (host.zone, host.service, host.version)
            groups.setdefault(key, []).append(host.host_id)
    other_zones = max(1, len(zones) - 1)
    count = max(MIN_WORKERS_PER_ZONE, -(-MIN_REMOTE_WORKERS // other_zones))
    for rates_by_id in rates_by_zone.values():
        order = choose_readers(rates_by_id, len(rates_by_id), rates_by_id)
        relay_ids.update(_take(order, READERS_PER_ZONE, lost_ids))
    for host_ids in groups.values():
        host_ids.sort(key=lambda host_id: crc32(f"{own_id}/{host_id}".encode()))
        target_ids.update(_take(host_ids, count, lost_ids))
    return LinkChoice(relay_ids | target_ids, target_ids)


def _take(order: list[str], count: int, lost_ids: Collection[str]) -> list[str]:
    """Return the first hosts of an order until ``count`` of them are not lost.

    At most ``count`` lost ones are among them.
    """
    taken: list[str] = []
    reached = 0
    for host_id in order:
        is_lost = host_id in lost_ids
        if is_lost and len(taken) - reached >= count:
            continue
        taken.append(host_id)
        reached += not is_lost
        if reached == count:
            break
    return taken


@define
class LinkSelector:
    """Chooses the links of a node, and keeps them for a time after the last choice.

    Parameters
    ----------
    own_id, own_zone : str
        The node's host and its availability zone.
    """

    own_id: str
    own_zone: str
    _linked_at_by_id: dict[str, float] = field(factory=dict)
    _targeted_at_by_id: dict[str, float] = field(factory=dict)

    def select(
        self,
        candidates: Collection[LinkCandidate],
        lost_ids: Collection[str],
        moving_versions: Collection[tuple[str, str]],
        now: float,
    ) -> LinkChoice:
        """Return the hosts to keep links to, see ``choose_links``.

        ``now`` is in seconds of the local clock.
        """
        choice = choose_links(
            self.own_id, self.own_zone, candidates, lost_ids, moving_versions
        )
        known_ids = {host.host_id for host in candidates}
        return LinkChoice(
            _linger(self._linked_at_by_id, choice.link_ids, known_ids, now),
            _linger(self._targeted_at_by_id, choice.target_ids, known_ids, now),
        )


def _linger(
    chosen_at_by_id: dict[str, float],
    chosen_ids: set[str],
    known_ids: set[str],
    now: float,
) -> set[str]:
    """Record a choice; return it with the known hosts chosen within ``LINGER_S``."""
    chosen_at_by_id.update(dict.fromkeys(chosen_ids, now))
    for host_id, chosen_at in list(chosen_at_by_id.items()):
        if host_id not in known_ids or now - chosen_at >= LINGER_S:
            del chosen_at_by_id[host_id]
    return set(chosen_at_by_id)
