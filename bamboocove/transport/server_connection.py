"""Server side of one HTTP/1.1 connection; bodies are streamed."""

from collections import deque
from collections.abc import Callable
from traceback import format_exc
from typing import Any

from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.main import CONNECTION_DONE
from twisted.internet.protocol import Protocol, connectionDone
from twisted.python import log
from twisted.python.failure import Failure
from zope.interface import implementer

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.transport.closing import (
    CALLER_CLOSED,
    STALL_TIMEOUT_S,
    IncompleteClose,
    LingeringClose,
    describe_incomplete,
)
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.pipelining import holds_enough
from bamboocove.transport.request_reader import RequestReader
from bamboocove.transport.sending import (
    DeliveryProgress,
    count_unacknowledged,
    count_unread,
    count_unsent,
    is_closed_by_peer,
    write_immediately,
)

# Idle timeout unless a server sets another one. Longer than that of the client, so
# that the client closes idle connections first.
IDLE_TIMEOUT_S = 60.0
# Time within which a request head must be complete.
HEAD_TIMEOUT_S = 10.0


@implementer(IHalfCloseableProtocol)
class ServerConnection(Protocol):
    """Server side of one connection from a caller.

    Requests are dispatched one at a time and in order. The connection is still
    read while a request is in progress, so that a disconnect of the caller is
    detected; requests that are pipelined meanwhile are buffered up to a limit, beyond
    which ``sweep`` detects it.

    Parameters
    ----------
    on_request : callable
        Called with each ``Exchange``; responds at once or later.
    max_body_bytes : int
        Maximum size of a request body.
    clock : reactor
        Source of time and timers.
    """

    def __init__(self, on_request: Callable, max_body_bytes: int, clock: Any):
        self._on_request = on_request
        self._clock = clock
        self._reader = RequestReader(
            self, max_body_bytes, self._on_head_begin, self._on_head
        )
        self._queue: deque[Exchange] = deque()
        self._is_processing = False
        self._is_paused = False
        self._is_closing = False
        self._discarded_bytes = self._checked_bytes = 0
        self._closes_when_idle = False
        self._is_read_closed = False
        self._close_reason = CALLER_CLOSED
        self._dropped: list[Exchange] = []
        self._unacknowledged_bytes = 0
        self._lingering: LingeringClose | None = None
        self._is_written = False
        self.waiting_since = 0.0
        self.on_lost: Callable[[ServerConnection], None] | None = None
        self.on_incomplete: Callable[[IncompleteClose], None] | None = None
        self.on_failed: Callable[[Exchange, str], None] | None = None

    def connectionMade(self) -> None:
        """Configure the socket and start the idle timeout."""
        self.transport.setTcpNoDelay(True)
        self._progress = DeliveryProgress(self.transport)
        self.waiting_since = self._clock.seconds()

    def dataReceived(self, data: bytes) -> None:
        """Parse the data, then process the queued requests."""
        if self._reader.error is not None or self._is_closing:
            self._discarded_bytes += len(data)
            return
        if self._queue and self._queue[0].is_last_response:
            return
        self._reader.feed(data)
        self._process_queue()
        if holds_enough(self._queue):
            self.pause()

    def _on_head_begin(self) -> None:
        self.waiting_since = self._clock.seconds()

    def _on_head(self, exchange: Exchange) -> None:
        self._queue.append(exchange)

    def _process_queue(self) -> None:
        if self._is_processing or self._is_closing:
            return
        self._is_processing = True
        try:
            while self._queue:
                exchange = self._queue[0]
                if not exchange.is_complete and self._reader.error is not None:
                    self._reject_incomplete(exchange)
                    break
                try:
                    if not exchange.is_started:
                        exchange.is_started = True
                        self._on_request(exchange)
                    elif not exchange.is_finished:
                        exchange.deliver()
                except Exception:
                    self.fail_exchange(exchange)
                if self._is_closing or not exchange.is_finished:
                    return
                self._queue.popleft()
                if not exchange.is_keep_alive:
                    self._close("connection: close")
                    break
                if self._closes_when_idle and self._is_idle():
                    self._close("server stops")
                    break
            if self._reader.error is not None and not self._is_closing:
                self._reject_unparsed()
        finally:
            self._is_processing = False

    def _reject_incomplete(self, exchange: Exchange) -> None:
        exchange.is_keep_alive = False
        self._queue.clear()
        self._end_exchange(exchange, self._reader.error)
        self._close("invalid request")

    def fail_exchange(self, exchange: Exchange) -> None:
        """Answer a request whose handler raised the exception that is being handled.

        The handler may have passed the request on before.
        """
        self._report_failure(exchange)
        if not exchange.is_finished:
            exchange.on_data = exchange.on_end = None
            error = ErrorResult(ErrorKind.UPSTREAM_LOST, "program error")
            self._end_exchange(exchange, error)

    def _end_exchange(self, exchange: Exchange, error: ErrorResult) -> None:
        self._notify_closed(exchange, error)
        if not exchange.is_finished:
            if exchange.is_response_started:
                exchange.abort()
            else:
                exchange.respond_with_error(error)

    def _notify_closed(self, exchange: Exchange, error: ErrorResult) -> None:
        if exchange.on_closed is None:
            return
        try:
            exchange.on_closed(error)
        except Exception:
            self._report_failure(exchange)

    def _report_failure(self, exchange: Exchange) -> None:
        if self.on_failed is None:
            log.err()
        else:
            self.on_failed(exchange, format_exc())

    def _reject_unparsed(self) -> None:
        exchange = Exchange(self, b"GET", b"/", [], None, False, False)
        exchange.respond_with_error(self._reader.error)
        self._close("invalid request")

    def finish_exchange(self, exchange: Exchange) -> None:
        """Process the next request after a response is complete."""
        self.waiting_since = self._clock.seconds()
        self.resume()
        if not self._is_processing:
            self._process_queue()

    def write(self, data: bytes) -> None:
        """Send data to the caller."""
        self._is_written = True
        write_immediately(self.transport, data)

    def register_producer(self, producer: Any) -> None:
        """Let the transport pause and resume the source of the response body."""
        self.transport.registerProducer(producer, True)

    def unregister_producer(self) -> None:
        """Undo ``register_producer``."""
        self.transport.unregisterProducer()

    def pause(self) -> None:
        """Stop reading from the connection."""
        if not self._is_paused:
            self._is_paused = True
            self.transport.pauseProducing()

    def resume(self) -> None:
        """Resume reading from the connection."""
        if self._is_paused and not self._is_read_closed:
            self._is_paused = False
            self.transport.resumeProducing()

    def _close(self, reason: str) -> None:
        if self._is_closing:
            return
        self._is_closing = True
        self._close_reason = CALLER_CLOSED if self._is_read_closed else reason
        self._dropped.extend(self._queue)
        self._queue.clear()
        self.resume()
        if self._is_read_closed:
            self.transport.loseConnection()
        else:
            self.transport.loseWriteConnection()
        self._linger()

    def _linger(self) -> None:
        if self._lingering is None:
            self._lingering = LingeringClose(
                self.transport,
                self._progress,
                self._clock,
                self._on_stalled,
                self._is_request_arriving,
            )

    def _is_request_arriving(self) -> bool:
        """Return whether a part of the last request arrived since the last call."""
        checked, self._checked_bytes = self._checked_bytes, self._discarded_bytes
        exchange = self._reader.incoming
        if exchange is None or self._discarded_bytes == checked:
            return False
        if exchange.length is None or exchange.length < 0:
            return True
        return exchange.received_bytes + self._discarded_bytes < exchange.length

    def _on_stalled(self) -> None:
        self.abort(f"{self._close_reason}, the caller does not read")

    def abort(self, reason: str = "response was cut") -> None:
        """Reset the connection."""
        self._is_closing = True
        self._close_reason = reason
        self._unacknowledged_bytes = count_unacknowledged(self.transport)
        self.transport.abortConnection()

    def sweep(self, now: float, idle_timeout_s: float = IDLE_TIMEOUT_S) -> None:
        """Abort the connection if its idle or request head timeout has expired.

        They count from when the caller has received the previous response. A caller
        that does not receive it is cut after ``STALL_TIMEOUT_S``. If a caller has left
        while reading is paused, its requests are cancelled.

        Parameters
        ----------
        now : float
            Seconds of the local clock.
        idle_timeout_s : float
            Time for which a connection may be idle, in seconds.
        """
        if self._is_closing:
            return
        if self._queue:
            if self._is_paused and is_closed_by_peer(self.transport):
                self._end_unread()
            return
        if self._is_written:
            progress = self._progress
            progress.update(now)
            if progress.pending:
                still_s = now - max(progress.changed_at, self.waiting_since)
                if still_s > STALL_TIMEOUT_S:
                    self.abort("the caller does not read")
                return
            self._is_written = False
            self.waiting_since = now
        limit = HEAD_TIMEOUT_S if self._reader.head_bytes else idle_timeout_s
        if now - self.waiting_since > limit:
            self.abort("head timeout" if self._reader.head_bytes else "idle timeout")

    def _end_unread(self) -> None:
        """Cancel the requests of a caller that has left, and discard what it sent."""
        if self._queue[0].is_answered:
            return
        is_cut = self._is_response_incomplete()
        self._cancel_requests()
        if is_cut:
            self.abort(CALLER_CLOSED)
        else:
            # The end that follows the unread data closes the connection. A close before
            # would be a reset, which destroys the answers that are on their way.
            self.resume()

    def _is_response_incomplete(self) -> bool:
        # The end of the connection may look like that of the response.
        return any(e.is_response_started and not e.is_finished for e in self._queue)

    def close_if_idle(self) -> None:
        """Close the connection now, or after the responses to requests read by then."""
        self._closes_when_idle = True
        if self._is_idle():
            self._close("server stops")

    def _is_idle(self) -> bool:
        # Bytes that were received and not read may be a whole request.
        return not self._queue and not count_unread(self.transport)

    def closes_after(self, exchange: Exchange) -> bool:
        """Return whether the response to a request is the last one.

        A request that was read in full is answered before a close. Of one that was
        read in part, the caller knows that it has not run.
        """
        return (
            self._closes_when_idle
            and not any(
                other.is_complete for other in self._queue if other is not exchange
            )
            and not count_unread(self.transport)
        )

    @property
    def unsent_bytes(self) -> int:
        """Bytes of responses that were not passed to the kernel yet."""
        return count_unsent(self.transport)

    @property
    def is_awaited(self) -> bool:
        """Whether the caller has not all responses to what it has sent.

        A caller that sends the rest of a request may only then read its response.
        """
        if not self._is_closing or self._reader.incoming is not None:
            return True
        return bool(self.unsent_bytes or count_unacknowledged(self.transport))

    def readConnectionLost(self) -> None:
        """Cancel the unfinished requests of the caller, and send it the rest.

        A caller that closes its sending half cannot be told from one that has left.
        """
        self._is_read_closed = True
        if self._queue and self._queue[0].is_answered:
            # No work depends on the rest of the response.
            self._queue[0].is_keep_alive = False
            return
        is_cut = self._is_response_incomplete()
        self._cancel_requests()
        if is_cut:
            self.abort(self._close_reason)
            return
        if not self.unsent_bytes:
            self.transport.connectionLost(Failure(CONNECTION_DONE))
            return
        self.transport.loseConnection()
        self._linger()

    def writeConnectionLost(self) -> None:
        """Do nothing: this server has closed its sending half."""

    def connectionLost(self, reason: Any = connectionDone) -> None:
        """Cancel the unfinished requests of the caller."""
        if self._lingering is not None:
            self._lingering.cancel()
        self._cancel_requests()
        report = describe_incomplete(
            self._close_reason,
            self._dropped,
            self.unsent_bytes,
            self._unacknowledged_bytes,
            self._reader.is_head_incomplete,
        )
        if report is not None and self.on_incomplete is not None:
            self.on_incomplete(report)
        if self.on_lost is not None:
            self.on_lost(self)

    def _cancel_requests(self) -> None:
        self._is_closing = True
        queue, self._queue = self._queue, deque()
        self._dropped.extend(queue)
        error = ErrorResult(ErrorKind.CANCELLED, "caller closed its connection")
        for exchange in queue:
            exchange.is_closed = True
            if not exchange.is_finished:
                self._notify_closed(exchange, error)
