"""How the connections of callers end."""

from collections.abc import Callable
from typing import Any

from attrs import frozen

from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.sending import DeliveryProgress

# Lingering close: after the last response the connection is half closed, and what the
# caller still sends is read and discarded until the caller closes, or for this time
# after its host has the response. A close with unread data resets the connection, and
# the reset can destroy the response before the caller reads it.
LINGER_TIME_S = 1.0
# Longest lingering close of a connection on which the rest of a request still arrives.
# Many callers read only when they have sent all.
MAX_LINGER_TIME_S = 15.0
# A caller that receives nothing of a response for this time is cut.
STALL_TIMEOUT_S = 30.0
CALLER_CLOSED = "caller"


@frozen
class IncompleteClose:
    """A connection that ended before all of its responses were sent.

    Parameters
    ----------
    reason : str
        Why it ended: "caller" if the caller closed it or the network failed, else why
        this server closed it.
    unanswered : tuple of Exchange
        Requests that were read, at least in part, and have no complete response.
    unsent_bytes : int
        Bytes of responses that were not passed to the kernel.
    unacknowledged_bytes : int
        Bytes in the kernel that the caller's host had not acknowledged when this
        server cut the connection; 0 if it ended in another way.
    is_head_incomplete : bool
        Whether a part of a request head was read.
    """

    reason: str
    unanswered: tuple[Exchange, ...]
    unsent_bytes: int
    unacknowledged_bytes: int
    is_head_incomplete: bool


def describe_incomplete(
    reason: str,
    dropped: list[Exchange],
    unsent_bytes: int,
    unacknowledged_bytes: int,
    is_head_incomplete: bool,
) -> IncompleteClose | None:
    """Return what was left to do on a connection that has ended; None for nothing.

    Parameters
    ----------
    reason, unsent_bytes, unacknowledged_bytes, is_head_incomplete
        See ``IncompleteClose``.
    dropped : list of Exchange
        Requests that were open when it ended.
    """
    unanswered = tuple(e for e in dropped if e.is_cut or not e.is_finished)
    if reason == CALLER_CLOSED:
        # The handler of a request that was started has its on_closed callback.
        unanswered = tuple(e for e in unanswered if not e.is_started)
    if not (unanswered or unsent_bytes or unacknowledged_bytes or is_head_incomplete):
        return None
    return IncompleteClose(
        reason, unanswered, unsent_bytes, unacknowledged_bytes, is_head_incomplete
    )


class LingeringClose:
    """Closes a connection some time after the peer's host has received everything.

    Parameters
    ----------
    transport : ITransport
        The connection; nothing more is written to it.
    progress : DeliveryProgress
        Progress of that connection.
    clock : reactor
        Source of time and timers.
    on_stalled : callable
        Called once if the peer receives nothing for ``STALL_TIMEOUT_S``.
    is_arriving : callable
        Returns whether a part of a request has arrived since the last call, and more
        of it is to come.
    """

    def __init__(
        self,
        transport: Any,
        progress: DeliveryProgress,
        clock: Any,
        on_stalled: Callable[[], None],
        is_arriving: Callable[[], bool],
    ):
        self._transport = transport
        self._progress = progress
        self._clock = clock
        self._on_stalled = on_stalled
        self._is_arriving = is_arriving
        self._started_at = clock.seconds()
        progress.update(self._started_at)
        self._timer = clock.callLater(LINGER_TIME_S, self._check)

    def _check(self) -> None:
        self._timer = None
        now = self._clock.seconds()
        progress = self._progress
        progress.update(now)
        still_s = now - max(progress.changed_at, self._started_at)
        is_late = now - self._started_at >= MAX_LINGER_TIME_S
        if self._is_arriving() and not is_late:
            self._timer = self._clock.callLater(LINGER_TIME_S, self._check)
        elif not progress.pending and still_s >= LINGER_TIME_S:
            self._transport.loseConnection()
        elif progress.pending and still_s >= STALL_TIMEOUT_S:
            self._on_stalled()
        else:
            self._timer = self._clock.callLater(LINGER_TIME_S, self._check)

    def cancel(self) -> None:
        """Stop, because the connection was lost."""
        timer, self._timer = self._timer, None
        if timer is not None:
            timer.cancel()
