"""Writes a large response body to a caller as fast as the caller reads it."""

from socket import SO_SNDBUF, SOL_SOCKET
from typing import Any

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from bamboocove.coordination.body_queue import PIECE_BYTES
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.errors import ErrorResult
from bamboocove.transport.exchanges import Exchange

# Kernel's buffer of a connection whose caller gets a large body. Left to the kernel it
# grows to some megabytes while the caller reads slowly. Callers are on the same host.
SEND_BUFFER_BYTES = 128 * 1024
# Rate in bytes per second at which a caller must read a large body on average, after a
# time in seconds in which it may read nothing.
MIN_BYTES_PER_S = 64 * 1024
READ_GRACE_S = 10.0
CHECK_INTERVAL_S = 1.0


@implementer(IPushProducer)
class BodyWriter:
    """Source of a response body, which keeps no second copy of it in a buffer.

    Its bytes count against the budget until the caller has read them or has left. A
    caller is disconnected if it has read less than ``MIN_BYTES_PER_S`` times the time
    that it had beyond ``READ_GRACE_S``.

    Parameters
    ----------
    exchange : Exchange
        Request whose response was prepared with ``start``.
    body : bytes
        The whole body.
    budget : ByteBudget
        Bodies that the node holds.
    clock : reactor
        Source of timers.
    """

    def __init__(self, exchange: Exchange, body: bytes, budget: ByteBudget, clock: Any):
        self._exchange = exchange
        self._body = body
        self._budget = budget
        self._clock = clock
        self._offset = 0
        self._is_paused = False
        self._is_ended = False
        self._waited_s = 0.0
        self._timer: Any = None
        budget.add_unread(len(body))

    def start(self) -> None:
        """Write until the caller's connection takes no more, and go on later."""
        self._exchange.on_closed = self._on_closed
        self._exchange.is_answered = True
        self._timer = self._clock.callLater(CHECK_INTERVAL_S, self._check_rate)
        connection = self._exchange.connection
        handle = connection.transport.getHandle()
        handle.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)
        connection.register_producer(self)
        self.resumeProducing()

    def resumeProducing(self) -> None:
        """Write the next parts of the body."""
        if self._is_ended:
            return
        self._is_paused = False
        while not self._is_paused and not self._is_ended:
            part = self._body[self._offset : self._offset + PIECE_BYTES]
            self._offset += len(part)
            if self._offset < len(self._body):
                self._exchange.write(part)
                continue
            exchange = self._exchange
            exchange.connection.unregister_producer()
            self._end()
            exchange.finish(part)

    def pauseProducing(self) -> None:
        """Write no more until the connection has sent what it got."""
        self._is_paused = True

    def stopProducing(self) -> None:
        """Forget the body, because the connection was lost."""
        self._end()

    def _on_closed(self, error: ErrorResult) -> None:
        self._end()

    def _check_rate(self) -> None:
        # Counts checks, so that time for which this process stood still is left out.
        self._waited_s += CHECK_INTERVAL_S
        if self._offset < (self._waited_s - READ_GRACE_S) * MIN_BYTES_PER_S:
            self._end()
            self._exchange.abort()
        else:
            self._timer = self._clock.callLater(CHECK_INTERVAL_S, self._check_rate)

    def _end(self) -> None:
        if self._is_ended:
            return
        self._is_ended = True
        if self._timer.active():
            self._timer.cancel()
        size, self._body = len(self._body), b""
        self._exchange.on_closed = None
        self._budget.release_unread(size)


def send_body(exchange: Exchange, body: bytes, budget: ByteBudget, clock: Any) -> None:
    """Complete a response that was prepared with ``start`` with its body.

    Parameters
    ----------
    exchange, body, budget, clock
        See ``BodyWriter``.
    """
    if exchange.method == b"HEAD":
        exchange.finish()
    elif len(body) <= PIECE_BYTES or exchange.is_closed:
        exchange.finish(body)
    else:
        BodyWriter(exchange, body, budget, clock).start()
