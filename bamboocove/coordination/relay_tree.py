"""Relay tree for configurations, and when a node that lacks one requests it.

Load pattern: a configuration that grows by more than a thousand routes, in a zone
of thirty hosts with network links of 10 Mbit/s. A node that sent the change to all
others itself would occupy its link for seconds, and requests and pings would wait
behind it. Small changes go to all nodes directly, larger ones along a tree.
"""

from collections.abc import Sequence
from zlib import crc32

from attrs import define

# Bytes that a node may send at once to distribute a change to all nodes of its zone.
# A link of 10 Mbit/s transmits them in 50 ms.
MAX_DIRECT_BYTES = 64 * 1024
# Direct receivers of a larger change. Each one relays it to its part of the others;
# thirty nodes are reached in three hops.
RELAY_FANOUT = 4
# Time in seconds for which a node waits for a change that another node has offered,
# before it requests the whole configuration. The change is usually on its way.
CATCH_UP_DELAY_S = 0.3


def order_receivers(sender_id: str, host_ids: Sequence[str]) -> list[str]:
    """Return the hosts in an order that differs between senders.

    The trees of two senders then have different relays, so that the failure of one
    relay rarely affects both.
    """
    return sorted(
        host_ids, key=lambda host_id: crc32(f"{sender_id}/{host_id}".encode())
    )


def split_receivers(
    host_ids: Sequence[str], size: int
) -> list[tuple[str, tuple[str, ...]]]:
    """Return the direct receivers of a message, each with the hosts it relays to.

    Parameters
    ----------
    host_ids : sequence of str
        All receivers.
    size : int
        Size of the message in bytes.

    Examples
    --------
    >>> split_receivers(["a", "b"], 100)
    [('a', ()), ('b', ())]
    >>> split_receivers("abcdef", 1 << 20)
    [('a', ('e',)), ('b', ('f',)), ('c', ()), ('d', ())]
    """
    groups = len(host_ids)
    if size * groups > MAX_DIRECT_BYTES:
        groups = min(groups, RELAY_FANOUT)
    return [
        (host_ids[index], tuple(host_ids[index + groups :: groups]))
        for index in range(groups)
    ]


@define
class CatchUp:
    """Decides when a node requests a newer configuration that was offered to it.

    Parameters
    ----------
    version : int
        Version that the node had when it was last found to lack a newer one.
    behind_since : float
        Since when it has lacked it, or when it last requested it, in seconds of
        the local clock.
    """

    version: int = -1
    behind_since: float = 0.0

    def should_request(self, version: int, offered_version: int, now: float) -> bool:
        """Return whether to request the configuration from the node that offers it.

        Parameters
        ----------
        version : int
            Version of this node's configuration; 0 if it has none.
        offered_version : int
            Version that another node has.
        now : float
            Seconds of the local clock.
        """
        if offered_version <= version:
            return False
        if not version:
            return True
        if version != self.version:
            self.version = version
            self.behind_since = now
            return False
        if now - self.behind_since < CATCH_UP_DELAY_S:
            return False
        self.behind_since = now
        return True
