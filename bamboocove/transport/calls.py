"""HTTP/1.1 server for calls; request and response bodies are streamed."""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import Factory

from bamboocove.transport.closing import IncompleteClose
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.server_connection import IDLE_TIMEOUT_S, ServerConnection

SWEEP_INTERVAL_S = 1.0


class CallServer(Factory):
    """Factory that accepts the connections of callers.

    Parameters
    ----------
    on_request, max_body_bytes, clock
        See ``ServerConnection``.
    on_incomplete : callable, optional
        Called with an IncompleteClose for each connection that ended before all of its
        responses were sent.
    on_failed : callable, optional
        Called with the Exchange and the traceback if its handler raised an exception.
    """

    noisy = False

    def __init__(
        self,
        on_request: Callable,
        max_body_bytes: int,
        clock: Any,
        on_incomplete: Callable[[IncompleteClose], None] | None = None,
        on_failed: Callable[[Exchange, str], None] | None = None,
    ):
        self._on_incomplete = on_incomplete
        self._on_failed = on_failed
        self._on_request = on_request
        self._max_body_bytes = max_body_bytes
        self._clock = clock
        self.connections: set[ServerConnection] = set()
        self.idle_timeout_s = IDLE_TIMEOUT_S

    def buildProtocol(self, addr: Any) -> ServerConnection:
        """Create the protocol of an accepted connection."""
        connection = ServerConnection(
            self._on_request, self._max_body_bytes, self._clock
        )
        self.connections.add(connection)
        connection.on_lost = self.connections.discard
        connection.on_incomplete = self._on_incomplete
        connection.on_failed = self._on_failed
        return connection

    def sweep(self, now: float) -> None:
        """Abort connections whose idle or request head timeout has expired."""
        for connection in list(self.connections):
            connection.sweep(now, self.idle_timeout_s)

    def close_idle(self) -> None:
        """Close idle connections now and the others after their responses."""
        for connection in list(self.connections):
            connection.close_if_idle()
