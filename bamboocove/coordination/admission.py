"""Which calls wait and which are refused when all workers are busy."""

from collections import deque
from typing import Any

from attrs import define, field

from bamboocove.coordination.routing import Candidates
from bamboocove.state.config import REQUEST_CLASSES

# Share of the connections to a service up to which calls of a class are
# dispatched, and share of its queue that they may fill. Deferrable calls are
# refused first and leave room for the others.
CAPACITY_SHARE_BY_CLASS = {"prompt": 1.0, "normal": 1.0, "deferrable": 0.75}
QUEUE_SHARE_BY_CLASS = {"prompt": 1.0, "normal": 0.75, "deferrable": 0.25}


def is_admitted(request_class: str, in_flight: int, capacity: int) -> bool:
    """Return whether a call may be dispatched now.

    Parameters
    ----------
    request_class : str
        Class of the call.
    in_flight : int
        Calls of this node to the service.
    capacity : int
        Connections of this node to the service.

    Examples
    --------
    >>> is_admitted("deferrable", 9, 12), is_admitted("normal", 9, 12)
    (False, True)
    """
    return in_flight < max(1, int(CAPACITY_SHARE_BY_CLASS[request_class] * capacity))


def has_capacity(candidates: Candidates, request_class: str) -> bool:
    """Return whether the workers of a version may get a call of a class."""
    in_flight = 0
    capacity = 0
    for zone in (candidates.local, candidates.remote):
        for upstream in zone:
            in_flight += upstream.in_flight
            capacity += upstream.connection_share
    return is_admitted(request_class, in_flight, capacity) or not capacity


@define
class CallQueue:
    """Calls to one service that wait for a worker.

    Parameters
    ----------
    limit : int
        Most calls that wait.
    """

    limit: int
    _waiting_by_class: dict[str, deque[Any]] = field(
        factory=lambda: {name: deque() for name in REQUEST_CLASSES}
    )

    def __len__(self) -> int:
        return sum(len(waiting) for waiting in self._waiting_by_class.values())

    def add(self, call: Any, request_class: str) -> Any | None:
        """Let a call wait.

        Returns
        -------
        refused : object or None
            The call that is refused for it: the newest one of the lowest
            class below its own, or itself.
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
        """Return a call that was taken to the head of its class."""
        self._waiting_by_class[request_class].appendleft(call)

    def take(self) -> Any | None:
        """Remove the call that is next: the oldest of the highest class."""
        for waiting in self._waiting_by_class.values():
            if waiting:
                return waiting.popleft()
        return None

    def discard(self, call: Any, request_class: str) -> None:
        """Remove a call that ended while it waited."""
        try:
            self._waiting_by_class[request_class].remove(call)
        except ValueError:
            pass
