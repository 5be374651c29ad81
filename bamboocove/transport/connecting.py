"""Connection attempts with a time limit that also holds after a pause of the process.

Load pattern: a node gets no processor for more than half a second while it connects to
its worker. It then runs its timers before it looks at its sockets. If a timer ended the
attempt at once, connections that were established long ago would count as failed, and
a healthy worker as unreachable.
"""

from collections.abc import Callable
from typing import Any

from twisted.internet.protocol import ClientFactory, Protocol

TIMEOUT_REASON = "no connection in time"


class _AttemptFactory(ClientFactory):
    noisy = False

    def __init__(
        self, make_protocol: Callable[[], Protocol], on_failed: Callable[[str], None]
    ):
        self._make_protocol = make_protocol
        self._on_failed = on_failed
        self._reason = ""
        self._is_done = False
        self.timer: Any = None

    def buildProtocol(self, addr: Any) -> Protocol:
        self._finish()
        return self._make_protocol()

    def clientConnectionFailed(self, connector: Any, reason: Any) -> None:
        self._finish()
        self._on_failed(self._reason or reason.getErrorMessage())

    def _finish(self) -> None:
        self._is_done = True
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def cancel(self, connector: Any) -> None:
        if not self._is_done:
            self._reason = TIMEOUT_REASON
            connector.stopConnecting()


def open_connection(
    clock: Any,
    address: tuple[str, int],
    make_protocol: Callable[[], Protocol],
    on_failed: Callable[[str], None],
    timeout_s: float,
) -> Any:
    """Open a connection.

    Parameters
    ----------
    clock : reactor
        Source of time and connections.
    address : (str, int)
        Address to connect to.
    make_protocol : callable
        Returns the protocol once the connection is established.
    on_failed : callable
        Called with the reason if the attempt fails, is cancelled, or has not succeeded
        when the sockets are looked at after ``timeout_s``.
    timeout_s : float
        Time limit in seconds.

    Returns
    -------
    connector : IConnector
        Its ``disconnect`` cancels the attempt.
    """
    factory = _AttemptFactory(make_protocol, on_failed)
    host, port = address
    connector = clock.connectTCP(host, port, factory, None)

    def expire() -> None:
        # The reactor looks at its sockets before it runs this.
        factory.timer = clock.callLater(0, factory.cancel, connector)

    factory.timer = clock.callLater(timeout_s, expire)
    return connector
