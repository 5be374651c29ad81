"""Writes that bypass the queue of the reactor."""

from twisted.internet.testing import StringTransport

from bamboocove.transport.sending import write_immediately


class SocketTransport:
    """A TCP transport whose socket accepts a limited number of bytes."""

    def __init__(self, capacity, queued=b""):
        self.capacity = capacity
        self.dataBuffer = queued
        self._tempDataBuffer = []
        self.connected = 1
        self.disconnecting = 0
        self.sent = b""
        self.queued = queued

    def writeSomeData(self, data):
        if isinstance(self.capacity, Exception):
            return self.capacity
        accepted = bytes(data[: self.capacity])
        self.sent += accepted
        return len(accepted)

    def write(self, data):
        self.queued += data


def test_remainder_is_queued_after_a_partial_write():
    """Guards against bytes lost or sent twice when the socket is full."""
    for capacity in (0, 3, 5):
        transport = SocketTransport(capacity)
        write_immediately(transport, b"hello")
        assert (transport.sent, transport.queued) == (
            b"hello"[:capacity],
            b"hello"[capacity:],
        )


def test_data_is_queued_behind_earlier_data():
    """Guards against bytes that are sent out of order."""
    transport = SocketTransport(9, queued=b"first ")
    write_immediately(transport, b"second")
    assert (transport.sent, transport.queued) == (b"", b"first second")
    transport = SocketTransport(9)
    transport._tempDataBuffer = [b"first"]
    write_immediately(transport, b"second")
    assert (transport.sent, transport.queued) == (b"", b"second")


def test_errors_and_closes_are_left_to_the_transport():
    """Guards against the loss of a connection that goes undetected."""
    transport = SocketTransport(OSError())
    write_immediately(transport, b"hello")
    assert transport.queued == b"hello"
    transport = SocketTransport(9)
    transport.disconnecting = 1
    write_immediately(transport, b"hello")
    assert transport.sent == b""
    other = StringTransport()
    write_immediately(other, b"hello")
    assert other.value() == b"hello"
