"""Writes to a TCP transport that bypass the queue of the reactor."""

from typing import Any


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
