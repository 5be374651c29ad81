"""Links between nodes, in memory and over loopback sockets."""

import pytest
from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from websockets.frames import Frame, Opcode

from bamboocove.errors import ErrorKind
from bamboocove.protocol.messages import (
    CoordinatorNotice,
    Goodbye,
    SuspectNotice,
    encode_message,
)
from bamboocove.transport import peers
from bamboocove.transport.peers import (
    LinkHandlers,
    PeerNetwork,
    make_accepted_link,
    make_dialled_link,
)
from tests.fakes import run_with_reactor


class Recorder:
    """Handlers that record what a link reports."""

    def __init__(self):
        self.opened = []
        self.messages = []
        self.closed = []
        self.handlers = LinkHandlers(
            self.opened.append,
            lambda link, message: self.messages.append(message),
            lambda link, reason: self.closed.append(reason),
        )


class Transport(StringTransport):
    """A transport with the additional methods of a TCP connection."""

    aborted = False

    def setTcpNoDelay(self, enabled):
        pass

    def abortConnection(self):
        self.aborted = True


def make_pair():
    """Return a clock and, for each end, a link with its transport and recorder."""
    clock = Clock()
    ends = []
    for make_link in (make_dialled_link, make_accepted_link):
        recorder = Recorder()
        link = make_link(clock, "127.0.0.1", 1, recorder.handlers)
        transport = Transport()
        link.makeConnection(transport)
        ends.append((link, transport, recorder))
    return clock, ends


def transfer(ends, size=None):
    """Transfer bytes between both ends until none are left, ``size`` at a time."""
    while any(transport.value() for _, transport, _ in ends):
        for (_, transport, _), (other, _, _) in zip(ends, reversed(ends)):
            data = transport.value()
            transport.clear()
            read_size = size or max(1, len(data))
            for start in range(0, len(data), read_size):
                other.dataReceived(data[start : start + read_size])


@pytest.fixture
def opened():
    clock, ends = make_pair()
    transfer(ends)
    assert [link.state for link, _, _ in ends] == ["open", "open"]
    return clock, ends


def test_messages_are_received_from_partial_reads(opened):
    """Guards against a codec that requires whole frames in one read."""
    clock, ends = opened
    (client, _, client_recorder), (server, _, server_recorder) = ends
    client.send(Goodbye(1.5))
    server.send(SuspectNotice("f", "s", 60.0))
    client.send(CoordinatorNotice("n", "127.0.0.1", 1, 2))
    transfer(ends, size=3)
    assert server_recorder.messages == [
        Goodbye(1.5),
        CoordinatorNotice("n", "127.0.0.1", 1, 2),
    ]
    assert client_recorder.messages == [SuspectNotice("f", "s", 60.0)]


def test_messages_are_sent_only_while_the_link_is_open():
    """Guards against frames during the handshake or after a close."""
    clock, ends = make_pair()
    client, transport, _ = ends[0]
    handshake = transport.value()
    assert client.send(Goodbye(1.0)) is False
    assert transport.value() == handshake
    transfer(ends)
    client.close("done")
    size = len(transport.value())
    assert client.send(Goodbye(1.0)) is False
    assert len(transport.value()) == size


def test_no_compression_is_offered():
    """Guards against the memory and time that compression costs per link."""
    _, ends = make_pair()
    assert b"sec-websocket-extensions" not in ends[0][1].value().lower()


def test_link_to_a_slow_peer_is_closed_at_the_buffer_limit(opened, monkeypatch):
    """Guards against a peer that does not read and exhausts the memory."""
    monkeypatch.setattr(peers, "MAX_BUFFERED_BYTES", 1000)
    clock, ends = opened
    client, transport, recorder = ends[0]
    client.pauseProducing()
    size = len(transport.value())
    data = encode_message(SuspectNotice("f" * 200, "s", 1.0))
    sent = [client.send_encoded(data) for _ in range(10)]
    assert True in sent and sent[-1] is False
    assert len(transport.value()) == size
    assert sum(map(len, client._buffer)) < 1000 + len(data)
    clock.advance(0)
    assert transport.aborted
    client.connectionLost(None)
    assert recorder.closed == ["peer reads too slowly"]


def test_buffered_data_is_sent_in_order_when_the_peer_reads_again(opened):
    """Guards against lost or reordered frames around a pause."""
    clock, ends = opened
    client = ends[0][0]
    client.pauseProducing()
    client.send(Goodbye(1.0))
    client.send(Goodbye(2.0))
    client.resumeProducing()
    client.send(Goodbye(3.0))
    transfer(ends)
    assert ends[1][2].messages == [Goodbye(1.0), Goodbye(2.0), Goodbye(3.0)]


def test_reply_to_a_message_in_the_same_read_as_the_close():
    """Guards against an exception when a handler replies after a close frame."""
    clock, ends = make_pair()
    transfer(ends)
    (client, transport, _), (server, _, _) = ends
    sent = []
    server._handlers = evolve(
        server._handlers,
        on_message=lambda link, message: sent.append(link.send(message)),
    )
    client.send(Goodbye(1.0))
    client.close("done")
    server.dataReceived(transport.value())
    assert sent == [False] and server.state == "closing"


def test_message_above_the_limit_is_not_sent(opened):
    """Guards against a message that makes every receiver close its link."""
    client = opened[1][0][0]
    assert client.send_encoded(bytes(peers.MAX_MESSAGE_BYTES + 1)) is False
    assert client.state == "open"


def test_received_message_above_the_limit_closes_the_link(opened):
    """Guards against a sender that exhausts the memory of this node."""
    clock, ends = opened
    server, transport, recorder = ends[1]
    frame = Frame(Opcode.BINARY, bytes(peers.MAX_MESSAGE_BYTES + 1))
    server.dataReceived(frame.serialize(mask=True)[:64])
    assert server.state == "closing"
    assert recorder.messages == []


@pytest.mark.parametrize(
    "frame", [Frame(Opcode.TEXT, b"x"), Frame(Opcode.BINARY, b"x", fin=False)]
)
def test_unsupported_frame_closes_the_link(opened, frame):
    """Guards against peers that use another protocol."""
    server = opened[1][1][0]
    server.dataReceived(frame.serialize(mask=True))
    assert server.state == "closing"


def test_invalid_messages_are_skipped_up_to_a_limit(opened):
    """Guards against a link to a newer release that is lost over a few new messages."""
    clock, ends = opened
    client, server, recorder = ends[0][0], ends[1][0], ends[1][2]
    for _ in range(peers.MAX_INVALID_MESSAGES - 1):
        client.send_encoded(b"\x82\x61X\xa0")
    client.send(Goodbye(1.0))
    transfer(ends)
    for _ in range(peers.MAX_INVALID_MESSAGES - 1):
        client.send_encoded(b"\x82\x61X\xa0")
    transfer(ends)
    assert recorder.messages == [Goodbye(1.0)] and server.state == "open"
    client.send_encoded(b"\x82\x61X\xa0")
    transfer(ends)
    assert server.state == "closing"


@pytest.mark.parametrize("side", [0, 1])
def test_handshake_and_close_have_a_time_limit(side):
    """Guards against connections that stay half-open indefinitely."""
    clock, ends = make_pair()
    link, transport, recorder = ends[side]
    clock.advance(peers.HANDSHAKE_TIMEOUT_S)
    assert transport.aborted and link.state == "closing"
    link.connectionLost(None)
    clock.advance(100)
    assert recorder.closed == ["timeout while handshaking"]
    clock, ends = make_pair()
    transfer(ends)
    link, transport, recorder = ends[side]
    link.close("done")
    assert not transport.aborted
    clock.advance(peers.CLOSE_TIMEOUT_S)
    assert transport.aborted


def test_close_is_reported_once_on_each_side(opened):
    """Guards against a link whose loss is counted twice or not at all."""
    clock, ends = opened
    ends[0][0].close("done")
    transfer(ends)
    assert ends[1][1].disconnecting
    for link, _, _ in ends:
        link.connectionLost(None)
        link.connectionLost(None)
    assert [recorder.closed for _, _, recorder in ends] == [
        ["done"],
        ["closed by peer"],
    ]


@pytest.mark.parametrize(
    "event, expected",
    [
        ("none", True),
        ("plain close", False),
        ("reply not sent", False),
        ("reply not read", False),
        ("peer closes, too", False),
    ],
)
def test_peer_learns_that_all_it_was_sent_is_all_there_is(opened, event, expected):
    """Guards against a request that ran and is taken for one that was not read."""
    clock, ends = opened
    (client, _, recorder), (server, _, _) = ends
    server.send(Goodbye(1.0))
    if event == "reply not sent":
        assert not server.send_encoded(bytes(peers.MAX_MESSAGE_BYTES + 1))
    elif event == "reply not read":
        server.send_encoded(b"unknown")
    elif event == "peer closes, too":
        client.close("done")
    if event == "plain close":
        server.close("done")
    else:
        server.close_after_all("done")
    transfer(ends)
    assert [link.state for link, _, _ in ends] == ["closing", "closing"]
    assert client.is_ended_by_peer is expected
    assert not server.is_ended_by_peer


def test_links_over_loopback_sockets():
    """Guards against links that work only with in-memory transports."""
    server, client = Recorder(), Recorder()

    def reply(link, message):
        link.send(message)
        link.close("replied")

    async def run(reactor):
        listening, dialling = PeerNetwork(reactor), PeerNetwork(reactor)
        handlers = LinkHandlers(lambda link: None, reply, server.handlers.on_closed)
        port = await listening.listen("127.0.0.1", 0, handlers)
        conflict = await dialling.listen("127.0.0.1", port, handlers)
        assert conflict.kind is ErrorKind.INVALID_SETTINGS
        done = Deferred()
        handlers = LinkHandlers(
            lambda link: link.send(SuspectNotice("f" * 100_000, "s", 1.0)),
            client.handlers.on_message,
            lambda link, reason: done.callback(reason),
        )
        dialling.dial("127.0.0.1", port, handlers)
        closed = await done
        await listening.stop()
        refused = Deferred()
        handlers = LinkHandlers(
            None, None, lambda link, reason: refused.callback(reason)
        )
        dialling.dial("127.0.0.1", port, handlers)
        return closed, await refused

    closed, refused = run_with_reactor(run)
    assert closed == "closed by peer" and "refused" in refused
    assert client.messages == [SuspectNotice("f" * 100_000, "s", 1.0)]
    assert server.closed == ["replied"]
