"""Order in which bodies that arrive in pieces take bytes of the node's budget.

Load pattern: a worker answers all of its requests at once, with megabytes each or with
bytes that never end. If each body took what it needs, the budget would be exceeded by
their sum. If each waited for room, half-received bodies could hold the whole budget and
wait for each other.
"""

from typing import Any

from attrs import define, field

from bamboocove.coordination.byte_budget import ByteBudget

# Size in bytes up to which a body never waits: what one read from a connection returns
# at most. Small answers pass while large ones wait.
PIECE_BYTES = 64 * 1024
# Bytes by which the budget may be exceeded before the body that may exceed it waits,
# too: one body of the maximum size. Bodies that were passed on and are not yet sent
# may have exceeded it already.
MAX_EXCESS_BYTES = 4 * 1024 * 1024


def may_keep(budget: ByteBudget, size: int) -> bool:
    """Return whether a response may be kept until another attempt has ended.

    Other nodes may have no room for that attempt, so it may not take room beyond the
    budget.
    """
    return size <= max(PIECE_BYTES, budget.free)


@define
class _Body:
    received: int = 0
    reserved: int = 0
    wanted: int = 0
    has_known_size: bool = False
    is_waiting: bool = False


@define
class BodyQueue:
    """Bodies that are being received, each of which has room reserved or waits for it.

    One body at a time may exceed the budget, so that there is always one that can be
    completed. It waits only for bodies that are complete and leave the node.

    Parameters
    ----------
    budget : ByteBudget
        Bodies that the node holds.
    comes_from_nodes : bool
        Whether the bodies come from other nodes. The one that may exceed the budget
        then waits only for what callers on this host have not read. All else that the
        node holds may wait for other nodes, directly or not: request bodies for their
        responses, responses of the worker for replies that other nodes have no room
        for. Each of two nodes might wait for the other.
    """

    budget: ByteBudget
    comes_from_nodes: bool = False
    _bodies_by_key: dict[Any, _Body] = field(factory=dict)
    _waiting_count: int = 0
    _favoured: Any = None

    def reserve(self, key: Any, size: int) -> bool:
        """Reserve room for a body of known size, in bytes.

        Parameters
        ----------
        key : hashable
            Identifies the body.
        size : int
            Size of the whole body in bytes.

        Returns
        -------
        may_continue : bool
            Whether it may be received now. Otherwise it waits until ``take_ready``
            returns its key.

        Examples
        --------
        >>> bodies = BodyQueue(ByteBudget(limit=1_000_000))
        >>> [bodies.reserve(key, 800_000) for key in "abc"]
        [True, True, False]
        >>> bodies.remove("a")
        >>> bodies.take_ready()
        []
        >>> bodies.remove("b")
        >>> bodies.take_ready()
        ['c']
        """
        body = self._bodies_by_key.setdefault(key, _Body())
        body.wanted = size
        body.has_known_size = True
        return self._reserve_wanted(key, body)

    def count(self, key: Any, size: int) -> bool:
        """Count bytes of a body that have arrived; return whether it may continue."""
        body = self._bodies_by_key.setdefault(key, _Body())
        body.received += size
        excess = body.received - body.reserved
        if excess > 0:
            self.budget.add(excess)
            body.reserved += excess
        if body.is_waiting:
            return False
        if body.has_known_size or body.received < PIECE_BYTES:
            return True
        if body.reserved - body.received >= PIECE_BYTES:
            return True
        body.wanted = body.received + PIECE_BYTES
        return self._reserve_wanted(key, body)

    def _reserve_wanted(self, key: Any, body: _Body) -> bool:
        needed = body.wanted - body.reserved
        if needed > 0 and not self.budget.reserve(needed):
            if self._favoured is None:
                self._favoured = key
            excess = self.budget.held - self.budget.limit
            if self.comes_from_nodes:
                excess = min(excess, self.budget.unread)
            if self._favoured != key or excess > MAX_EXCESS_BYTES:
                self._set_waiting(body, True)
                return False
            self.budget.add(needed)
        body.reserved = max(body.reserved, body.wanted)
        self._set_waiting(body, False)
        return True

    def _set_waiting(self, body: _Body, is_waiting: bool) -> None:
        self._waiting_count += is_waiting - body.is_waiting
        body.is_waiting = is_waiting

    def remove(self, key: Any) -> None:
        """Give back the bytes of a body that has ended or has been passed on."""
        body = self._bodies_by_key.pop(key, None)
        if body is None:
            return
        self._set_waiting(body, False)
        if self._favoured == key:
            self._favoured = None
        if body.reserved:
            self.budget.release(body.reserved)

    def take_ready(self) -> list[Any]:
        """Return the bodies that waited and may continue now, the smallest first."""
        if not self._waiting_count:
            return []
        waiting = [
            (key, body) for key, body in self._bodies_by_key.items() if body.is_waiting
        ]
        if self._favoured is None:
            self._favoured = waiting[0][0]
        waiting.sort(key=lambda item: item[1].wanted)
        return [key for key, body in waiting if self._reserve_wanted(key, body)]

    def is_waiting(self, key: Any) -> bool:
        """Return whether a body waits for room."""
        body = self._bodies_by_key.get(key)
        return body is not None and body.is_waiting
