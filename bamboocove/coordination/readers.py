"""Selection of the nodes that read the store on behalf of their availability zone.

Load pattern: many nodes, a configuration that changes several times a second,
and a store whose calls are limited and cost money. If every node watched the
store, each change would cost one call per node. Instead two nodes of each zone
watch it and forward changes over the existing links. When their signals stop, two
others take over, and then any node that receives none watches the store itself. No
election is therefore needed, and a zone that is partitioned, or whose readers are
refused by the store, continues on its own.
"""

from collections.abc import Collection, Mapping
from enum import Enum, auto
from zlib import crc32

from attrs import define, field

# Readers per zone: with two, the loss of one has no effect on the other nodes.
READERS_PER_ZONE = 2
# Hosts that come next in the order. They replace readers that stop together, and send
# what they read to the zone; a host that then read for itself would need the time to
# transfer the whole configuration over its own link.
STANDBYS_PER_ZONE = 2
# Time in seconds without a signal from any reader after which a standby, and any other
# node, watches the store itself. Readers send a signal every 0.5 s; a configuration
# must be in force after 2 s.
STANDBY_TIMEOUT_S = 0.8
READER_TIMEOUT_S = 1.2
# Longest time in seconds between two looks at the duty that counts as silence, for a
# standby, which looks every 0.1 s, and for any other node, which looks every 0.3 s. If
# a node did not run for longer, signals wait to be received.
STANDBY_MAX_STEP_S = 0.2
MAX_STEP_S = 0.4


def choose_readers(
    host_ids: Collection[str],
    count: int = READERS_PER_ZONE,
    rates_by_id: Mapping[str, int] | None = None,
) -> list[str]:
    """Return the hosts that read the store; all nodes choose the same ones.

    Hosts with faster network links come first: each change crosses the link of a
    reader as the whole configuration before any other host can have it.

    Parameters
    ----------
    host_ids : collection of str
        Hosts of an availability zone.
    count : int
        Number of hosts to choose.
    rates_by_id : mapping of str to int, optional
        Rates of their network links in bytes per second; 0 or missing if unknown.

    Examples
    --------
    >>> choose_readers(["h1", "h2", "h3"]) == choose_readers(["h3", "h2", "h1"])
    True
    >>> choose_readers(["h1", "h2", "h3"], 1, {"h2": 12_500_000, "h3": 625_000})
    ['h2']
    """
    rates = rates_by_id or {}
    order = sorted(host_ids, key=lambda i: (-rates.get(i, 0), crc32(i.encode())))
    return order[:count]


class Duty(Enum):
    """What a node does for the configuration of its zone."""

    NONE = auto()
    # Reads nothing, but replaces the readers soon after their last signal.
    STANDBY = auto()
    # Reads the store for itself only: if all nodes of a zone sent what they read to
    # all others, their links would be saturated.
    SUBSTITUTE = auto()
    # Reads the store, and sends its changes to the zone.
    READER = auto()


@define
class ReaderRole:
    """The duty of a node, from the signals of the hosts that read the store.

    Parameters
    ----------
    own_id : str
        This host.
    heard_at_by_id : dict of str to float
        Time of the last signal from each host that receives data from the store, in
        seconds of the local clock. Times in which this process did not run are added
        to it.
    """

    own_id: str
    heard_at_by_id: dict[str, float] = field(factory=dict)
    _looked_at: float | None = None

    def record_reader_signal(self, host_id: str, now: float) -> None:
        """Record a signal from a host of the zone that the store responds to."""
        self.heard_at_by_id[host_id] = now

    def get_duty(self, rates_by_id: Mapping[str, int], now: float) -> Duty:
        """Return the duty of this node.

        Only signals of hosts ahead of this one in the order count. Otherwise two that
        replace the readers would hear each other, and both stop.

        Parameters
        ----------
        rates_by_id : mapping of str to int
            Rates of the network links of this host and of the reachable ones of its
            zone, see ``choose_readers``.
        now : float
            Current time in seconds of the local clock.
        """
        order = choose_readers(rates_by_id, len(rates_by_id), rates_by_id)
        position = order.index(self.own_id)
        is_standby = position < READERS_PER_ZONE + STANDBYS_PER_ZONE
        self._exclude_pause(now, STANDBY_MAX_STEP_S if is_standby else MAX_STEP_S)
        if position < READERS_PER_ZONE:
            return Duty.READER
        behind = order[position:]
        heard = [t for i, t in self.heard_at_by_id.items() if i not in behind]
        silence_s = now - max(heard, default=float("-inf"))
        if is_standby:
            return Duty.READER if silence_s > STANDBY_TIMEOUT_S else Duty.STANDBY
        return Duty.SUBSTITUTE if silence_s > READER_TIMEOUT_S else Duty.NONE

    def _exclude_pause(self, now: float, max_step_s: float) -> None:
        looked_at, self._looked_at = self._looked_at, now
        pause_s = 0.0 if looked_at is None else now - looked_at - max_step_s
        if pause_s > 0.0:
            for host_id, heard_at in self.heard_at_by_id.items():
                self.heard_at_by_id[host_id] = min(now, heard_at + pause_s)
