"""The delay after which a caller whose request was refused should return."""

from collections.abc import Callable

# Callers honour a retry delay up to this fraction of their remaining time.
MAX_RETRY_AFTER_FRACTION = 0.33
# Relative random part of a retry delay.
RETRY_AFTER_JITTER = 0.45
MIN_RETRY_AFTER_S = 0.05
# Mean delay for a caller whose request was turned away by a worker that has room. Such
# a worker fails at random, and the caller can still be answered in time.
ROOM_RETRY_AFTER_S = 0.04


def compute_retry_after(
    left_s: float, random: Callable[[], float], has_room: bool = False
) -> float:
    """Return the delay after which a refused caller should retry, in seconds.

    After a refusal because of load the caller can no longer be answered within its
    objective, so the delay is the longest that callers honour: a burst may be over
    by then, and an earlier retry would take a slot from a request that can still meet
    its objective. Jitter keeps callers that were refused together from retrying
    together.

    Parameters
    ----------
    left_s : float
        Time that the caller goes on waiting, in seconds.
    random : callable
        Returns a float from 0 to 1.
    has_room : bool
        Whether the worker that refused has free slots.
    """
    if has_room:
        return ROOM_RETRY_AFTER_S * (0.5 + random())
    max_s = max(MIN_RETRY_AFTER_S, left_s * MAX_RETRY_AFTER_FRACTION)
    return max_s * (1.0 - RETRY_AFTER_JITTER * random())
