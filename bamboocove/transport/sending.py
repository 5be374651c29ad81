"""Sends at once what a socket takes."""

from typing import Any


def send(transport: Any, data: bytes) -> None:
    """Write to a transport without waiting for the next turn of the reactor.

    ``transport.write`` only queues: the data is sent after two changes of the
    poll set and one more turn of the reactor, which is a large part of the
    time that a hop adds. If nothing is queued, the socket is tried first and
    the transport gets what is left. Errors are left to the transport, which
    meets them again when it writes.

    Parameters
    ----------
    transport : ITransport
        A TCP connection, or any other transport, which is then just written to.
    data : bytes
        What to send.
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
