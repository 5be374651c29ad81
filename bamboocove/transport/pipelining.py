"""Limits on the requests that one connection of a caller buffers."""

from collections.abc import Sequence
from itertools import islice

from bamboocove.transport.exchanges import Exchange

# Request bytes that one connection buffers behind what its receiver has taken; beyond
# this it stops reading.
MAX_HELD_BYTES = 64 * 1024
# Requests that one connection buffers behind the one in progress.
MAX_HELD_REQUESTS = 8


def holds_enough(queue: Sequence[Exchange]) -> bool:
    """Return whether to read no more until a request has ended or takes its body.

    Within the limits a connection is read on, because that is how the server notices
    at once that the caller has left. A request of which a part was read is read to its
    end if its body has room: what is left unread when the server wants to close the
    connection would have no answer.

    Parameters
    ----------
    queue : sequence of Exchange
        The request in progress and those that were read behind it.
    """
    if len(queue) > MAX_HELD_REQUESTS:
        return True
    held = sum(exchange.held_bytes for exchange in queue)
    held += sum(exchange.head_bytes for exchange in islice(queue, 1, None))
    return held > MAX_HELD_BYTES
