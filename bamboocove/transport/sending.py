"""Writes to a TCP transport that bypass the reactor's queue, and their progress."""

import struct
from fcntl import ioctl
from select import POLLRDHUP, poll
from termios import FIONREAD, TIOCOUTQ
from typing import Any

_NO_COUNT = bytes(struct.calcsize("i"))


def write_immediately(transport: Any, data: bytes) -> None:
    """Write to a transport without waiting for the next reactor iteration.

    ``transport.write`` only queues the data: it is sent after two changes of
    the poll set and one more reactor iteration, which is a large part of the
    latency that a hop adds. If nothing is queued, this function writes to the
    socket first and passes only the rest to the transport. Errors are not
    handled here, because the transport encounters them again when it writes.

    Parameters
    ----------
    transport : ITransport
        A TCP connection. For any other transport its ``write`` is called.
    data : bytes
        Data to send.
    """
    if (
        getattr(transport, "_tempDataBuffer", True)
        or transport.dataBuffer
        or transport.disconnecting
        or not transport.connected
    ):
        transport.write(data)
        return
    sent = transport.writeSomeData(data)
    if not isinstance(sent, int) or sent < 0:
        transport.write(data)
    elif sent < len(data):
        transport.write(data[sent:])


def count_unsent(transport: Any) -> int:
    """Return the bytes that a TCP transport has not passed to the kernel.

    It is 0 for other transports.
    """
    if not hasattr(transport, "_tempDataLen"):
        return 0
    return len(transport.dataBuffer) - transport.offset + transport._tempDataLen


def count_unacknowledged(transport: Any) -> int:
    """Return the bytes in the kernel that the peer's host has not acknowledged.

    It is 0 if the connection was lost, and for other transports than TCP. The end of
    a connection that was half closed counts as one byte.
    """
    return _count_in_kernel(transport, TIOCOUTQ)


def count_unread(transport: Any) -> int:
    """Return the bytes that a TCP transport has received and not read yet.

    It is 0 if the connection was lost, and for other transports than TCP.
    """
    return _count_in_kernel(transport, FIONREAD)


def is_closed_by_peer(transport: Any) -> bool:
    """Return whether the peer has closed a TCP connection, or its sending half.

    It is detected although the transport does not read, but only once the kernel has
    received all that the peer has sent before. It is False for other transports.
    """
    socket = getattr(transport, "socket", None)
    if socket is None or socket.fileno() < 0:
        return False
    poller = poll()
    poller.register(socket, POLLRDHUP)
    return bool(poller.poll(0))


def _count_in_kernel(transport: Any, request: int) -> int:
    socket = getattr(transport, "socket", None)
    if socket is None:
        return 0
    try:
        return struct.unpack("i", ioctl(socket, request, _NO_COUNT))[0]
    except OSError:
        return 0


class DeliveryProgress:
    """Tracks whether the peer of a TCP transport receives what was written to it.

    Parameters
    ----------
    transport : ITransport
        The connection.

    Attributes
    ----------
    pending : int
        Bytes that the peer's host had not acknowledged at the last update.
    changed_at : float
        Time of the last update that found another number, in seconds.
    """

    __slots__ = ("_transport", "changed_at", "pending")

    def __init__(self, transport: Any):
        self._transport = transport
        self.pending = 0
        self.changed_at = 0.0

    def update(self, now: float) -> None:
        """Count the pending bytes; the time is in seconds."""
        transport = self._transport
        pending = count_unsent(transport) + count_unacknowledged(transport)
        if pending != self.pending:
            self.pending = pending
            self.changed_at = now
