"""Loopback TCP proxies that delay, hold or reset the connections they forward."""

from collections import deque
from typing import Any

from attrs import define, field
from twisted.internet.protocol import ClientFactory, Factory, Protocol

from bamboocove.transport.clients import Address

CONNECT_TIMEOUT_S = 2.0
# As much as the nodes behind proxies have, see ``bamboocove.sidecar.application``.
LISTEN_BACKLOG = 1024


@define(eq=False, slots=False)
class FaultProxy:
    """Forwards connections to one address, with faults that can be switched on.

    Parameters
    ----------
    address, target : (str, int)
        Where it listens, and where it connects to.
    clock : reactor
        Source of time and connections.

    Attributes
    ----------
    delay_s : float
        Delay of all bytes in both directions, in seconds.
    is_inbound_held, is_outbound_held : bool
        Whether bytes to the target, or from it, are held back. They are delivered
        when the cut ends, as after a network partition.
    is_refusing : bool
        Whether new connections are reset.
    connections : set
        Forwarded connections that are open.
    """

    address: Address
    target: Address
    clock: Any
    delay_s: float = 0.0
    is_inbound_held: bool = False
    is_outbound_held: bool = False
    is_refusing: bool = False
    connections: set = field(factory=set)

    def __attrs_post_init__(self) -> None:
        factory = Factory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: _Endpoint(_ProxiedConnection(self))
        host, port = self.address
        self.port = self.clock.listenTCP(port, factory, LISTEN_BACKLOG, host)

    def cut(self, inbound: bool = True, outbound: bool = True) -> None:
        """Hold back all bytes to the target, from it, or both."""
        self.is_inbound_held, self.is_outbound_held = inbound, outbound
        self._update_connections()

    def reset(self, is_refusing: bool = False) -> None:
        """Reset all open connections, and later ones too if ``is_refusing``."""
        self.is_refusing = is_refusing
        for connection in list(self.connections):
            connection.abort()

    def heal(self) -> None:
        """Forward everything without faults again."""
        self.delay_s = 0.0
        self.is_refusing = False
        self.cut(False, False)

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self.port.stopListening()
        self.reset()

    def _update_connections(self) -> None:
        for connection in self.connections:
            connection.update_flow()


class _ProxiedConnection:
    """One accepted connection and its connection to the target."""

    def __init__(self, proxy: FaultProxy):
        self.proxy = proxy
        self.client_side: _Endpoint | None = None
        self.target_side: _Endpoint | None = None
        self._buffered: list[bytes] = []
        self._delayed: deque[tuple[_Endpoint, bytes | None]] = deque()

    def open(self, client_side: "_Endpoint") -> None:
        """Accept the client side and connect to the target."""
        proxy = self.proxy
        self.client_side = client_side
        if proxy.is_refusing:
            client_side.transport.abortConnection()
            return
        proxy.connections.add(self)
        factory = ClientFactory()
        factory.noisy = False
        factory.buildProtocol = lambda addr: _Endpoint(self, is_target_side=True)
        factory.clientConnectionFailed = lambda connector, reason: self.abort()
        proxy.clock.connectTCP(*proxy.target, factory, CONNECT_TIMEOUT_S)
        self.update_flow()

    def attach(self, target_side: "_Endpoint") -> None:
        """Attach the connected target side and send it the bytes received so far."""
        self.target_side = target_side
        if self not in self.proxy.connections:
            target_side.transport.abortConnection()
            return
        for data in self._buffered:
            target_side.transport.write(data)
        self._buffered = []
        self.update_flow()

    def update_flow(self) -> None:
        """Pause or resume reading on each side according to the cut."""
        for side, is_held in (
            (self.client_side, self.proxy.is_inbound_held),
            (self.target_side, self.proxy.is_outbound_held),
        ):
            if side is None or not side.transport.connected:
                continue
            if is_held:
                side.transport.pauseProducing()
            else:
                side.transport.resumeProducing()

    def forward(self, side: "_Endpoint", data: bytes | None) -> None:
        """Send bytes of one side to the other, or close it if ``data`` is None.

        Bytes keep their order while the delay changes.
        """
        if self.proxy.delay_s or self._delayed:
            self._delayed.append((side, data))
            self.proxy.clock.callLater(self.proxy.delay_s, self._forward_oldest)
        else:
            self._forward_now(side, data)

    def _forward_oldest(self) -> None:
        if self._delayed:
            self._forward_now(*self._delayed.popleft())

    def _forward_now(self, side: "_Endpoint", data: bytes | None) -> None:
        other = self.client_side if side is self.target_side else self.target_side
        if data is None:
            if other is not None:
                other.transport.loseConnection()
        elif other is None:
            self._buffered.append(data)
        else:
            other.transport.write(data)

    def on_closed(self, side: "_Endpoint") -> None:
        """Close the other side once all bytes for it are sent."""
        self.proxy.connections.discard(self)
        self.forward(side, None)

    def abort(self) -> None:
        """Reset both sides."""
        self.proxy.connections.discard(self)
        self._delayed.clear()
        for side in (self.client_side, self.target_side):
            if side is not None:
                side.transport.abortConnection()


class _Endpoint(Protocol):
    def __init__(self, connection: _ProxiedConnection, is_target_side: bool = False):
        self._connection = connection
        self._is_target_side = is_target_side

    def connectionMade(self) -> None:
        self.transport.setTcpNoDelay(True)
        (self._connection.attach if self._is_target_side else self._connection.open)(
            self
        )

    def dataReceived(self, data: bytes) -> None:
        self._connection.forward(self, data)

    def connectionLost(self, reason: Any = None) -> None:
        self._connection.on_closed(self)
