"""Links between nodes: WebSocket connections with one CBOR message per frame.

The library ``websockets`` is only used as a codec; Twisted runs the connections.
"""

import typing
from collections import deque
from collections.abc import Callable
from typing import Any

from automat import TypeMachineBuilder
from twisted.internet.error import CannotListenError
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import ClientFactory, Factory, Protocol
from websockets.client import ClientProtocol
from websockets.exceptions import InvalidState
from websockets.frames import CloseCode, Frame, Opcode
from websockets.http11 import Request
from websockets.protocol import State
from websockets.server import ServerProtocol
from websockets.uri import parse_uri
from zope.interface import implementer

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.transport.link_handlers import LinkHandlers
from bamboocove.transport.sending import count_unacknowledged, count_unsent

MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Room for one message of the maximum size and 1 MiB of small ones. The link to a
# peer that reads too slowly is closed at this limit, so that it cannot exhaust the
# node's memory.
MAX_BUFFERED_BYTES = MAX_MESSAGE_BYTES + 1024 * 1024
CONNECT_TIMEOUT_S = 3.0
HANDSHAKE_TIMEOUT_S = 5.0
# Time for which a link that is being closed may pass no bytes on, in seconds.
CLOSE_TIMEOUT_S = 2.0
# Limit of consecutive messages that cannot be decoded. A node of a newer release may
# send a few; a link on which nothing can be decoded is closed.
MAX_INVALID_MESSAGES = 16
LINK_PATH = "/peer"


class _LinkInputs(typing.Protocol):
    """Inputs of the state machine of a link."""

    def connected(self) -> None: ...
    def handshake_done(self) -> None: ...
    def close(self, reason: str) -> None: ...
    def lost(self, reason: str) -> None: ...


def _make_machine() -> Any:
    builder = TypeMachineBuilder(_LinkInputs, PeerLink)
    connecting = builder.state("connecting")
    handshaking = builder.state("handshaking")
    opened = builder.state("open")
    closing = builder.state("closing")
    closed = builder.state("closed")

    @connecting.upon(_LinkInputs.connected).to(handshaking)
    def start_handshake(inputs: _LinkInputs, link: PeerLink) -> None:
        link._enter_state("handshaking")

    @handshaking.upon(_LinkInputs.handshake_done).to(opened)
    def report_open(inputs: _LinkInputs, link: PeerLink) -> None:
        link._enter_state("open")

    @opened.upon(_LinkInputs.close).to(closing)
    def close_open(inputs: _LinkInputs, link: PeerLink, reason: str) -> None:
        link._enter_state("closing", reason)

    def close_unopened(inputs: _LinkInputs, link: PeerLink, reason: str) -> None:
        link._enter_state("closing", reason)
        link._abort()

    def report_closed(inputs: _LinkInputs, link: PeerLink, reason: str) -> None:
        link._enter_state("closed", reason)

    for state in (connecting, handshaking):
        state.upon(_LinkInputs.close).to(closing)(close_unopened)
    for state in (connecting, handshaking, opened, closing):
        state.upon(_LinkInputs.lost).to(closed)(report_closed)
    for state in (closing, closed):
        state.upon(_LinkInputs.close).loop().returns(None)
        state.upon(_LinkInputs.connected).loop().returns(None)
        state.upon(_LinkInputs.handshake_done).loop().returns(None)
    closed.upon(_LinkInputs.lost).loop().returns(None)
    return builder.build()


@implementer(IPushProducer)
class PeerLink(Protocol):
    """One WebSocket connection to a peer node.

    Parameters
    ----------
    clock : reactor
        Source of timers.
    websocket : ClientProtocol or ServerProtocol
        Protocol state of this side of the connection.
    address : str
        Address of the peer, for logs.
    handlers : LinkHandlers
        Callbacks of the link.
    outgoing : bool
        Whether this node opened the connection.

    Attributes
    ----------
    state : str
        "connecting", "handshaking", "open", "closing" or "closed".
    bytes_sent, bytes_received, writes, reads : int
        Traffic on the TCP connection, WebSocket framing included.
    has_lost_message : bool
        Whether a message was not sent, or was received and not understood.
    is_paused : bool
        Whether messages are kept back because the transport's buffer is full.
    on_drained : callable or None
        Called without arguments when messages are no longer kept back.
    """

    def __init__(self, clock, websocket, address, handlers, outgoing):
        self.address = address
        self.outgoing = outgoing
        self.state = "connecting"
        self.bytes_sent = self.bytes_received = 0
        self.writes = self.reads = 0
        self._clock = clock
        self._websocket = websocket
        self._handlers = handlers
        self._machine = _machine_factory(self)
        self._timer = None
        self._reason = ""
        self._invalid_messages = 0
        self.has_lost_message = False
        self._close_code = CloseCode.NORMAL_CLOSURE
        self.is_paused = False
        self.on_drained: Callable[[], None] | None = None
        self._notifications: deque[tuple[Callable[..., None], Any]] = deque()
        self._buffer: list[bytes] = []
        self._buffered_bytes = 0
        self._closing_bytes = 0

    @property
    def pending_bytes(self) -> int:
        """Bytes that the peer's host has not acknowledged."""
        in_transport = count_unsent(self.transport)
        in_transport += count_unacknowledged(self.transport)
        return self._buffered_bytes + in_transport

    def send(self, message: Any) -> bool:
        """Send a message; False if the link is not open or was just closed."""
        from bamboocove.protocol.messages import encode_message

        return self.send_encoded(encode_message(message))

    def send_encoded(self, data: bytes) -> bool:
        """Send a message that is encoded once for many links."""
        return self.state == "open" and self._send_frame(data)

    def close(self, reason: str) -> None:
        """Close the link after the data already sent has been flushed."""
        self._input(self._machine.close, reason)

    def close_after_all(self, reason: str) -> None:
        """Close the link of a node that stops and has replied to all that it has read.

        The peer learns that what it has sent since was not read. If a message was not
        sent, the link is closed without saying so.
        """
        if not self.has_lost_message:
            self._close_code = CloseCode.GOING_AWAY
        self.close(reason)

    @property
    def is_ended_by_peer(self) -> bool:
        """Whether the peer has closed the link with ``close_after_all``."""
        received = self._websocket.close_rcvd
        return (
            received is not None
            and received.code == CloseCode.GOING_AWAY
            and self._websocket.close_rcvd_then_sent is True
            and not self.has_lost_message
        )

    def drop(self, reason: str) -> None:
        """Abort the link at once; data already sent may be lost."""
        self._drop(reason)

    # Called by Twisted.

    def connectionMade(self) -> None:
        """Start the WebSocket handshake."""
        self.transport.setTcpNoDelay(True)
        self.transport.registerProducer(self, True)
        self._input(self._machine.connected)

    def dataReceived(self, data: bytes) -> None:
        """Feed the codec and handle the events that it returns."""
        self.bytes_received += len(data)
        self.reads += 1
        self._websocket.receive_data(data)
        for event in self._websocket.events_received():
            self._handle_event(event)
        self._flush()
        if self._websocket.parser_exc is not None:
            self._input(self._machine.close, str(self._websocket.parser_exc))

    def connectionLost(self, reason: Any) -> None:
        """Report the loss of the connection."""
        self._input(self._machine.lost, self._reason or reason.getErrorMessage())

    def pauseProducing(self) -> None:
        """Buffer data in the link while the transport's buffer is full."""
        self.is_paused = True

    def resumeProducing(self) -> None:
        """Write the buffered data to the transport."""
        self.is_paused = False
        data, self._buffer, self._buffered_bytes = self._buffer, [], 0
        if data:
            self.transport.write(b"".join(data))
        if not self.is_paused and self.on_drained is not None:
            self.on_drained()

    def stopProducing(self) -> None:
        """Do nothing; ``connectionLost`` follows."""

    # Inputs of the state machine, and the actions of its transitions.

    def _input(self, method: Callable[..., Any], *args: Any) -> None:
        # The state machine is not reentrant, and handlers may close, so they are
        # called after the transition is complete.
        method(*args)
        self._notify()

    def _notify(self) -> None:
        while self._notifications:
            function, arguments = self._notifications.popleft()
            function(*arguments)

    def _queue_notification(self, function: Callable[..., None], *args: Any) -> None:
        self._notifications.append((function, args))

    def _enter_state(self, state: str, reason: str = "") -> None:
        self.state = state
        self._reason = self._reason or reason
        self._set_timer(None)
        if state == "handshaking":
            self._set_timer(HANDSHAKE_TIMEOUT_S)
            if self.outgoing:
                self._websocket.send_request(self._websocket.connect())
                self._flush()
        elif state == "open":
            self._queue_notification(self._handlers.on_open, self)
        elif state == "closing":
            self._set_timer(CLOSE_TIMEOUT_S)
            self._start_close()
            self._closing_bytes = self.pending_bytes
        elif state == "closed":
            self._buffer = []
            self._queue_notification(self._handlers.on_closed, self, self._reason)

    def _send_frame(self, data: bytes) -> bool:
        # The codec has already processed a whole read. If the read ends with the
        # peer's close frame, the codec is closing while the link is still open.
        if self._websocket.state is not State.OPEN:
            return False
        if len(data) > MAX_MESSAGE_BYTES:
            self.has_lost_message = True
            return False
        if self._buffered_bytes + len(data) > MAX_BUFFERED_BYTES:
            self.has_lost_message = True
            self._clock.callLater(0, self._drop, "peer reads too slowly")
            return False
        self._websocket.send_binary(data)
        self._flush()
        return True

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abortConnection()

    def _drop(self, reason: str) -> None:
        self._input(self._machine.close, reason)
        self._abort()

    def _start_close(self) -> None:
        try:
            self._websocket.send_close(self._close_code)
        except InvalidState:
            pass
        self._flush()

    def _set_timer(self, delay_s: float | None) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None
        if delay_s is not None:
            self._timer = self._clock.callLater(delay_s, self._handle_timeout)

    def _handle_timeout(self) -> None:
        if self.state == "closing" and self.pending_bytes < self._closing_bytes:
            self._closing_bytes = self.pending_bytes
            self._set_timer(CLOSE_TIMEOUT_S)
            return
        self._drop(f"timeout while {self.state}")

    def _handle_event(self, event: Any) -> None:
        if isinstance(event, Request):
            response = self._websocket.accept(event)
            self._websocket.send_response(response)
            self._flush()
            if response.status_code == 101:
                self._input(self._machine.handshake_done)
            else:
                self._input(self._machine.close, "handshake refused")
        elif not isinstance(event, Frame):
            if self._websocket.handshake_exc is None:
                self._input(self._machine.handshake_done)
            else:
                self._input(
                    self._machine.close, f"handshake: {self._websocket.handshake_exc}"
                )
        elif event.opcode is Opcode.BINARY and event.fin:
            self._handle_data(event.data)
        elif event.opcode is Opcode.CLOSE:
            self._input(self._machine.close, "closed by peer")
        elif event.opcode not in (Opcode.PING, Opcode.PONG):
            self._input(self._machine.close, "a message must be one binary frame")

    def _handle_data(self, data: bytes) -> None:
        message = self._handlers.decode(bytes(data))
        if not isinstance(message, ErrorResult):
            self._invalid_messages = 0
            if self.state == "open":
                self._queue_notification(self._handlers.on_message, self, message)
                self._notify()
            return
        self.has_lost_message = True
        self._invalid_messages += 1
        if self._invalid_messages >= MAX_INVALID_MESSAGES:
            self._input(self._machine.close, message.reason)

    def _flush(self) -> None:
        for data in self._websocket.data_to_send():
            if not data:
                self.transport.loseConnection()
                continue
            self.bytes_sent += len(data)
            self.writes += 1
            if self.is_paused:
                self._buffer.append(data)
                self._buffered_bytes += len(data)
            else:
                self.transport.write(data)


_machine_factory = _make_machine()


def make_accepted_link(
    clock: Any, host: str, port: int, handlers: LinkHandlers
) -> PeerLink:
    """Return the link for a connection that was accepted from a peer."""
    websocket = ServerProtocol(max_size=MAX_MESSAGE_BYTES)
    return PeerLink(clock, websocket, f"{host}:{port}", handlers, outgoing=False)


def make_dialled_link(
    clock: Any, host: str, port: int, handlers: LinkHandlers
) -> PeerLink:
    """Return the link for a connection that this node opens to a peer."""
    name = f"[{host}]" if ":" in host else host
    uri = parse_uri(f"ws://{name}:{port}{LINK_PATH}")
    websocket = ClientProtocol(uri, max_size=MAX_MESSAGE_BYTES)
    return PeerLink(clock, websocket, f"{host}:{port}", handlers, outgoing=True)


class PeerNetwork:
    """Accepts and dials links over TCP.

    Parameters
    ----------
    clock : reactor
        Twisted reactor.
    """

    def __init__(self, clock):
        self._clock = clock
        self._port = None

    async def listen(
        self, host: str, port: int, handlers: LinkHandlers
    ) -> int | ErrorResult:
        """Start to accept links and return the TCP port.

        Returns
        -------
        port : int or ErrorResult
            ``INVALID_SETTINGS`` if listening on the address fails.
        """
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda address: make_accepted_link(
            self._clock, address.host, address.port, handlers
        )
        try:
            self._port = self._clock.listenTCP(port, factory, interface=host)
        except CannotListenError as error:
            return ErrorResult(ErrorKind.INVALID_SETTINGS, str(error))
        return self._port.getHost().port

    def dial(
        self,
        host: str,
        port: int,
        handlers: LinkHandlers,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> PeerLink:
        """Start to connect to a peer; the handlers of the link get the outcome."""
        link = make_dialled_link(self._clock, host, port, handlers)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda address: link
        factory.clientConnectionFailed = lambda connector, reason: link.connectionLost(
            reason
        )
        self._clock.connectTCP(host, port, factory, timeout=timeout_s)
        return link

    async def stop(self) -> None:
        """Stop accepting links; open ones are kept."""
        if self._port is not None:
            port, self._port = self._port, None
            await port.stopListening()
