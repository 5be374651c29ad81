"""Permission to send large request bodies to a host (receiver-driven flow control).

Load pattern: a service that few hosts run receives uploads of 60 KB on links of 6.5
Mbit/s, together with small calls of other workers. Nodes that send each body at once
fill the link of the receiving host: small calls and pings wait half a second behind
bodies, hosts look dead to each other, and the callers of the small calls keep their
slots meanwhile. A node therefore offers a large body first. The receiver lets few
bodies be on their way at a time, the most urgent first, and refuses one at once that
could not arrive in time, before any of its bytes were sent.
"""

from collections import Counter
from typing import Any

from attrs import define, field, frozen

# Bodies of this size in bytes and larger ones are offered first. Smaller ones take no
# longer than the round trip of an offer.
MIN_OFFERED_BYTES = 16 * 1024
# Fraction of the link's rate at which bodies are expected to arrive: small messages
# share the link.
BODY_RATE_FRACTION = 0.7
# Bodies on their way to a host at a time, in seconds of its link's rate; at least one.
# Small messages wait behind them for as long. A sender may be slower than the link,
# so one body alone would leave it idle.
IN_TRANSFER_S = 0.2
# Bytes of bodies on their way from one sender at a time; at least one body. A sender
# closes a link on which more than 5 MiB wait.
MAX_BYTES_PER_SENDER = 4 * 1024 * 1024


@frozen
class _Offer:
    size: int
    deadline: float
    priority: float = 0.0
    sender: Any = None


@define
class BodyGrants:
    """Bodies that are on their way to this host or wait for permission.

    Parameters
    ----------
    bytes_per_s : float
        Rate of this host's link; 0 if unknown, which grants all offers at once.
    """

    bytes_per_s: float
    _granted_by_key: dict[Any, _Offer] = field(factory=dict)
    _waiting_by_key: dict[Any, _Offer] = field(factory=dict)

    def predict_wait(self, priority: float) -> float:
        """Return the time until a new offer would be granted, in seconds.

        Lower priorities are more urgent; offers of the same one are granted in order
        of arrival.
        """
        if not self.bytes_per_s:
            return 0.0
        ahead = sum(
            offer.size
            for offer in self._waiting_by_key.values()
            if offer.priority <= priority
        )
        in_transfer = sum(offer.size for offer in self._granted_by_key.values())
        ahead += in_transfer - IN_TRANSFER_S * self.bytes_per_s
        return max(0.0, ahead) / (BODY_RATE_FRACTION * self.bytes_per_s)

    def predict_transfer(self, size: int) -> float:
        """Return the time that a granted body takes to arrive, in seconds."""
        if not self.bytes_per_s:
            return 0.0
        return size / (BODY_RATE_FRACTION * self.bytes_per_s)

    def add(
        self,
        key: Any,
        size: int,
        deadline: float,
        priority: float = 0.0,
        sender: Any = None,
    ) -> None:
        """Add an offer that waits for permission.

        Parameters
        ----------
        key : hashable
            Identifies the offer.
        size : int
            Size of the body in bytes.
        deadline : float
            Time after which the sender no longer sends it, in seconds of the local
            clock.
        priority : float
            Lower values are granted first.
        sender : hashable
            Identifies the link on which the body will arrive; None if unknown.
        """
        self._waiting_by_key[key] = _Offer(size, deadline, priority, sender)

    def remove(self, key: Any) -> None:
        """Remove an offer: its body has arrived or will not be sent."""
        self._waiting_by_key.pop(key, None)
        self._granted_by_key.pop(key, None)

    def take_waiting(self) -> list[Any]:
        """Remove the offers that wait for permission; return their keys."""
        keys = list(self._waiting_by_key)
        self._waiting_by_key.clear()
        return keys

    def take_granted(self, now: float) -> list[Any]:
        """Grant the offers for which there is room; return their keys.

        Examples
        --------
        >>> grants = BodyGrants(bytes_per_s=1e6)
        >>> for key in "abc":
        ...     grants.add(key, 150_000, deadline=9.0)
        >>> grants.take_granted(0.0)
        ['a']
        >>> grants.remove("a")
        >>> grants.take_granted(0.1)
        ['b']
        """
        for offers in (self._waiting_by_key, self._granted_by_key):
            for key in [key for key, offer in offers.items() if offer.deadline <= now]:
                del offers[key]
        granted = []
        room = IN_TRANSFER_S * self.bytes_per_s
        room -= sum(offer.size for offer in self._granted_by_key.values())
        bytes_by_sender: Counter[Any] = Counter()
        for offer in self._granted_by_key.values():
            bytes_by_sender[offer.sender] += offer.size
        by_urgency = sorted(
            self._waiting_by_key.items(), key=lambda item: item[1].priority
        )
        for key, offer in by_urgency:
            if self.bytes_per_s and self._granted_by_key and offer.size > room:
                break
            size = bytes_by_sender[offer.sender] + offer.size
            if offer.sender is not None and MAX_BYTES_PER_SENDER < size > offer.size:
                continue
            bytes_by_sender[offer.sender] = size
            del self._waiting_by_key[key]
            self._granted_by_key[key] = offer
            room -= offer.size
            granted.append(key)
        return granted
