"""Immediate writes."""

from twisted.internet.testing import StringTransport

from bamboocove.transport.sending import send


class Socket:
    """A TCP transport whose socket takes a limited number of bytes."""

    def __init__(self, room, queued=b""):
        self.room = room
        self.dataBuffer = queued
        self._tempDataBuffer = []
        self.connected = 1
        self.disconnecting = 0
        self.sent = b""
        self.queued = queued

    def writeSomeData(self, data):
        if isinstance(self.room, Exception):
            return self.room
        taken = bytes(data[: self.room])
        self.sent += taken
        return len(taken)

    def write(self, data):
        self.queued += data


def test_sends_at_once_and_queues_the_rest():
    """Guards against bytes lost or sent twice when the socket is full."""
    for room in (0, 3, 5):
        held = Socket(room)
        send(held, b"hello")
        assert (held.sent, held.queued) == (b"hello"[:room], b"hello"[room:])


def test_does_not_overtake_queued_data():
    """Guards against bytes out of order."""
    held = Socket(9, queued=b"first ")
    send(held, b"second")
    assert (held.sent, held.queued) == (b"", b"first second")
    held = Socket(9)
    held._tempDataBuffer = [b"first"]
    send(held, b"second")
    assert (held.sent, held.queued) == (b"", b"second")


def test_leaves_errors_and_closes_to_the_transport():
    """Guards against a lost connection that nobody notices."""
    held = Socket(OSError())
    send(held, b"hello")
    assert held.queued == b"hello"
    held = Socket(9)
    held.disconnecting = 1
    send(held, b"hello")
    assert held.sent == b""
    plain = StringTransport()
    send(plain, b"hello")
    assert plain.value() == b"hello"
