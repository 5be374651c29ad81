"""Admission control: which calls wait and which are refused under overload."""

from collections import deque
from typing import Any

from attrs import define, field

from bamboocove.coordination.routing import Candidates
from bamboocove.state.config import REQUEST_CLASSES

# Fraction of the connections to a service that must not be exceeded when a call of
# a class is dispatched, and fraction of the service's queue above which calls of
# the class no longer wait. Deferrable calls are refused first, which keeps capacity
# for the others.
CAPACITY_SHARE_BY_CLASS = {"prompt": 1.0, "normal": 1.0, "deferrable": 0.75}
QUEUE_SHARE_BY_CLASS = {"prompt": 1.0, "normal": 0.75, "deferrable": 0.25}


def is_admitted(request_class: str, in_flight: int, capacity: int) -> bool:
    """Return whether a call may be dispatched now.

    Parameters
    ----------
    request_class : str
        Request class of the call.
    in_flight : int
        Number of calls in flight from this node to the service.
    capacity : int
        Number of connections that this node may use to the service.

    Examples
    --------
    >>> is_admitted("deferrable", 9, 12), is_admitted("normal", 9, 12)
    (False, True)
    """
    return in_flight < max(1, int(CAPACITY_SHARE_BY_CLASS[request_class] * capacity))


def has_capacity(candidates: Candidates, request_class: str) -> bool:
    """Return whether the workers of a version have capacity for a request class."""
    in_flight = 0
    capacity = 0
    for zone in (candidates.local, candidates.remote):
        for upstream in zone:
            in_flight += upstream.in_flight
            capacity += upstream.connection_share
    return is_admitted(request_class, in_flight, capacity) or not capacity


@define
class CallQueue:
    """Bounded priority queue of calls to one service that wait for a worker.

    Parameters
    ----------
    limit : int
        Maximum number of waiting calls.
    """

    limit: int
    _waiting_by_class: dict[str, deque[Any]] = field(
        factory=lambda: {name: deque() for name in REQUEST_CLASSES}
    )

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting_by_class.values())

    def add(self, call: Any, request_class: str) -> Any | None:
        """Append a call to the queue of its class.

        Returns
        -------
        refused : object or None
            The call to refuse if the queue is full: the newest waiting call of
            the lowest class below its own, or else the call itself.
        """
        size = len(self)
        if size < max(1, int(self.limit * QUEUE_SHARE_BY_CLASS[request_class])):
            self._waiting_by_class[request_class].append(call)
            return None
        index = REQUEST_CLASSES.index(request_class)
        for lower in reversed(REQUEST_CLASSES[index + 1 :]):
            if self._waiting_by_class[lower]:
                refused = self._waiting_by_class[lower].pop()
                self._waiting_by_class[request_class].append(call)
                return refused
        return call

    def put_back(self, call: Any, request_class: str) -> None:
        """Put a call that was taken back at the head of its class."""
        self._waiting_by_class[request_class].appendleft(call)

    def take(self) -> Any | None:
        """Remove and return the oldest call of the highest class, if any."""
        for waiting in self._waiting_by_class.values():
            if waiting:
                return waiting.popleft()
        return None

    def discard(self, call: Any, request_class: str) -> None:
        """Remove a call that ended while waiting; do nothing if it isn't queued."""
        try:
            self._waiting_by_class[request_class].remove(call)
        except ValueError:
            pass
