"""Budget of the bytes of requests and responses that a node holds in memory.

Load pattern: a worker answers many requests at once with megabytes each, or callers
upload as much, to a host with 150 MB of memory. Each message is within its own limit,
but their sum is not: the process is ended, and all requests of the host with it.
"""

from collections.abc import Callable

from attrs import define, field

# Memory of a node without any bodies, in bytes: interpreter, libraries, links and
# records of a large fleet.
BASE_MEMORY_BYTES = 70_000_000
# Copies of a held body that may exist at a time, while it is encoded for a link and
# in the buffers of connections.
COPIES = 3
# Budget if the memory of the host is not known, and the least one, in bytes. It has
# room for at least two bodies of the maximum size.
MIN_BUDGET_BYTES = 10_000_000


def compute_budget(memory_bytes: int) -> int:
    """Return how many bytes of bodies a node may hold.

    Parameters
    ----------
    memory_bytes : int
        Memory that the process may use, in bytes; 0 if unknown.

    Examples
    --------
    >>> compute_budget(150_000_000), compute_budget(0)
    (26666666, 10000000)
    """
    return max(MIN_BUDGET_BYTES, (memory_bytes - BASE_MEMORY_BYTES) // COPIES)


@define
class ByteBudget:
    """Counts the bytes that are held against a limit.

    Parameters
    ----------
    limit : int
        Bytes that may be held.
    held : int
        Bytes that are held.
    offered : int
        Those of them that wait until another node has room.
    unread : int
        Those of them that go to callers on this host, who have not read them.
    drained : int
        Bytes that were released since the start and not passed on in the node.
    on_release : list of callable
        Called without arguments when bytes were given back.
    """

    limit: int
    held: int = 0
    offered: int = 0
    unread: int = 0
    drained: int = 0
    on_release: list[Callable[[], None]] = field(factory=list)

    @property
    def free(self) -> int:
        """Bytes that may still be reserved; 0 if more than the limit is held."""
        return max(0, self.limit - self.held)

    def reserve(self, size: int) -> bool:
        """Reserve bytes if there is room; return whether there was.

        Examples
        --------
        >>> budget = ByteBudget(limit=10)
        >>> budget.reserve(7), budget.reserve(7), budget.free
        (True, False, 3)
        """
        if size > self.free:
            return False
        self.held += size
        return True

    def add(self, size: int) -> None:
        """Count bytes that are held already, even beyond the limit."""
        self.held += size

    def pass_on(self, size: int) -> None:
        """Count bytes that another holder has counted and will release."""
        self.held += size
        self.drained -= size

    def add_unread(self, size: int) -> None:
        """Count bytes that pass to a caller on this host."""
        self.unread += size
        self.pass_on(size)

    def release_unread(self, size: int) -> None:
        """Give back bytes of a caller that has read them or has left."""
        self.unread -= size
        self.release(size)

    def release(self, size: int) -> None:
        """Give reserved bytes back."""
        self.held -= size
        self.drained += size
        for notify in self.on_release:
            notify()
