"""Room for the bodies of requests, while they are received and while they are held.

Load pattern: many callers upload megabytes at once, each body within its limit. A node
that reads all of them exceeds its memory and is ended with all of its requests. One
that stops to read them holds their first bytes in the buffers of its sockets, which
count as its memory, too, and bodies that are read in part may wait for each other.

A body with a declared length therefore reserves all of it before it is read, and is
refused at once without room. A body in chunks reserves what has arrived and is refused
as soon as there is no room for more, which releases what it held, so that the others
can go on.
"""

from typing import Any

from attrs import define, field

from bamboocove.coordination.body_grants import MIN_OFFERED_BYTES
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.errors import ErrorKind
from bamboocove.protocol.mesh_messages import MAX_FORWARDED_BODY_BYTES

# Bodies up to this size in bytes may exceed the budget, so that small requests are
# served beside uploads that take all of it.
SMALL_BODY_BYTES = MIN_OFFERED_BYTES
# Bytes by which small bodies, and bodies of nodes that don't offer them, may exceed
# the budget.
SMALL_ROOM_BYTES = 4_000_000
# Bytes of the budget that larger request bodies leave free. They are held until the
# response has arrived, so it must find room beside them.
RESPONSE_ROOM_BYTES = MAX_FORWARDED_BODY_BYTES
# Time in seconds after which the rate at which a body arrives is judged.
MIN_JUDGED_AGE_S = 0.5
UNKNOWN_LENGTH = -1


def limit_body(max_bytes: int | None) -> int:
    """Return the maximum size of a body in bytes.

    Parameters
    ----------
    max_bytes : int or None
        Maximum that the configuration sets; None if it sets none. A link carries no
        more than ``MAX_FORWARDED_BODY_BYTES``.
    """
    if max_bytes is None:
        return MAX_FORWARDED_BODY_BYTES
    return min(max_bytes, MAX_FORWARDED_BODY_BYTES)


def reserve_body(budget: ByteBudget, size: int, reserved: int = 0) -> bool:
    """Reserve room for a request body; return whether there was room.

    Parameters
    ----------
    budget : ByteBudget
        Bytes of all bodies that the node holds.
    size : int
        Size of the body in bytes.
    reserved : int
        Bytes of it that are reserved already.

    Examples
    --------
    >>> budget = ByteBudget(limit=10_000_000)
    >>> [reserve_body(budget, size) for size in (4_000_000, 4_000_000, 1000)]
    [True, False, True]
    """
    if size <= SMALL_BODY_BYTES:
        return reserve_small(budget, size - reserved)
    more = size - reserved
    return more + RESPONSE_ROOM_BYTES <= budget.free and budget.reserve(more)


def count_missing(budget: ByteBudget, size: int, reserved: int = 0) -> int:
    """Return by how many bytes the room for a body is too small.

    Parameters
    ----------
    budget, size, reserved
        See ``reserve_body``.

    Examples
    --------
    >>> budget = ByteBudget(limit=10_000_000, held=8_000_000)
    >>> count_missing(budget, 1_000_000), count_missing(budget, 1000)
    (3063232, 0)
    """
    more = size - reserved
    if size <= SMALL_BODY_BYTES:
        missing = _count_excess(budget) + more - SMALL_ROOM_BYTES
    else:
        missing = more + RESPONSE_ROOM_BYTES + budget.held - budget.limit
    return max(0, missing)


def _count_excess(budget: ByteBudget) -> int:
    return min(budget.held - budget.limit, budget.held - budget.offered - budget.unread)


def reserve_small(budget: ByteBudget, size: int) -> bool:
    """Reserve room beyond the budget, for a body that is small or here already.

    Answers that wait for callers and other nodes may exceed the budget by far more, and
    for long. They take no part of this room.

    Examples
    --------
    >>> budget = ByteBudget(limit=10_000_000, held=10_000_000)
    >>> reserve_small(budget, 4_000_000), reserve_small(budget, 1)
    (True, False)
    """
    if not size:
        return True
    if _count_excess(budget) + size > SMALL_ROOM_BYTES:
        return False
    budget.add(size)
    return True


@define(eq=False)
class RequestBody:
    """A body that is received or was received from a caller.

    Parameters
    ----------
    owner : object
        The request.
    length : int
        Declared length in bytes; ``UNKNOWN_LENGTH`` for a body in chunks.
    started_at, deadline : float
        Arrival and deadline of the request, in seconds of the local clock.
    max_bytes : int
        Maximum size in bytes.
    data : bytes or bytearray
        What has arrived.
    reserved : int
        Bytes that it holds of the budget.
    """

    owner: Any
    length: int
    started_at: float
    deadline: float
    max_bytes: int = MAX_FORWARDED_BODY_BYTES
    data: bytes | bytearray = b""
    reserved: int = 0

    def is_late(self, now: float) -> bool:
        """Return whether it won't arrive by its deadline at its rate until now.

        Examples
        --------
        >>> body = RequestBody(None, 1000, 0.0, 4.0, data=bytes(250))
        >>> body.is_late(0.9), body.is_late(1.1)
        (False, True)
        """
        age_s = now - self.started_at
        if self.length == UNKNOWN_LENGTH or age_s < MIN_JUDGED_AGE_S:
            return False
        return self.length * age_s > len(self.data) * (self.deadline - self.started_at)


@define
class RequestBodies:
    """Bodies of the requests of callers on this host.

    Parameters
    ----------
    budget : ByteBudget
        Bytes of all bodies that the node holds.
    """

    budget: ByteBudget
    _incomplete: set[RequestBody] = field(factory=set)

    def start(
        self,
        owner: Any,
        length: int,
        now: float,
        deadline: float,
        max_bytes: int | None = None,
    ) -> RequestBody | ErrorKind:
        """Reserve room for a body before it is read.

        Parameters
        ----------
        owner, length, deadline
            See ``RequestBody``.
        now : float
            Seconds of the local clock.
        max_bytes : int, optional
            Maximum size that the configuration sets, in bytes.

        Returns
        -------
        body : RequestBody or ErrorKind
            ``TOO_LARGE`` if it can never be served, ``OVERLOADED`` if there is no
            room at present.
        """
        max_bytes = limit_body(max_bytes)
        if length > max_bytes:
            return ErrorKind.TOO_LARGE
        body = RequestBody(owner, length, now, deadline, max_bytes)
        if length != UNKNOWN_LENGTH:
            if not reserve_body(self.budget, length):
                return ErrorKind.OVERLOADED
            body.reserved = length
        self._incomplete.add(body)
        return body

    def receive(self, body: RequestBody, data: bytes) -> ErrorKind | None:
        """Append data to a body; one that was released stays empty.

        Returns
        -------
        error : ErrorKind or None
            ``TOO_LARGE`` or ``OVERLOADED``; the data was then not appended.
        """
        if body not in self._incomplete:
            return None
        size = len(body.data) + len(data)
        if size > body.max_bytes:
            return ErrorKind.TOO_LARGE
        if size > body.reserved:
            if not reserve_body(self.budget, size, body.reserved):
                return ErrorKind.OVERLOADED
            body.reserved = size
        if not body.data:
            body.data = data
            return None
        if isinstance(body.data, bytes):
            body.data = bytearray(body.data)
        body.data += data
        return None

    def complete(self, body: RequestBody) -> None:
        """Note that a body has arrived whole."""
        self._incomplete.discard(body)

    def release(self, body: RequestBody) -> None:
        """Drop a body, complete or not; a second call has no effect."""
        self._incomplete.discard(body)
        if body.reserved:
            self.budget.release(body.reserved)
        body.reserved = 0
        body.data = b""

    def find_late(self, now: float) -> list[RequestBody]:
        """Return the incomplete bodies that won't arrive by their deadlines.

        They hold room that they don't use, for example if their callers have declared
        a length and send nothing.
        """
        return [body for body in self._incomplete if body.is_late(now)]
