"""Exponential backoff for clients, and rate limiting of accepted connections."""

from attrs import define

BASE_DELAY_S = 0.2
MAX_DELAY_S = 10.0
# Bounds the exponent; 0.2 s * 2**10 is far above any cap.
MAX_DOUBLINGS = 10
MAX_RETRY_AFTER_S = 30.0


def compute_delay(
    attempt: int,
    fraction: float,
    server_delay_s: float = 0.0,
    base_s: float = BASE_DELAY_S,
    cap_s: float = MAX_DELAY_S,
) -> float:
    """Return the delay before the next attempt, in seconds, with full jitter.

    Parameters
    ----------
    attempt : int
        Number of attempts that failed so far, at least 1.
    fraction : float
        Random number from 0 to 1.
    server_delay_s : float
        Minimum delay requested by the server. The jitter is added to it, so that
        clients that were given the same delay don't reconnect together.
    base_s, cap_s : float
        Base of the exponential backoff, and upper bound of the jitter.

    Examples
    --------
    >>> compute_delay(3, 0.5)
    0.8
    >>> compute_delay(1, 0.5, server_delay_s=4.0)
    4.2
    """
    doublings = min(max(attempt, 0), MAX_DOUBLINGS)
    return max(server_delay_s, 0.0) + fraction * min(cap_s, base_s * 2**doublings)


@define
class AcceptPacer:
    """Token bucket for accepted connections that also spreads the refused ones.

    Parameters
    ----------
    rate : float
        Connections accepted per second.
    burst : float
        Maximum number of connections accepted in a burst.
    tokens : float
        Number of connections that can be accepted now.
    waiting : float
        Estimated number of refused clients that have not reconnected yet.
    changed_at : float
        Time of the last update, in seconds.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    waiting: float = 0.0
    changed_at: float = float("-inf")


def admit(pacer: AcceptPacer, now: float) -> float:
    """Accept or refuse one connection.

    Returns
    -------
    retry_after_s : float
        0 if the connection is accepted; otherwise the minimum delay before the
        client reconnects. It grows with the number of refused clients, so that
        they reconnect at about the accepted rate.
    """
    earned = max(0.0, now - pacer.changed_at) * pacer.rate
    pacer.tokens = min(pacer.burst, pacer.tokens + earned)
    pacer.waiting = max(0.0, pacer.waiting - earned)
    pacer.changed_at = now
    if pacer.tokens >= 1.0:
        pacer.tokens -= 1.0
        return 0.0
    pacer.waiting += 1.0
    return min(MAX_RETRY_AFTER_S, pacer.waiting / pacer.rate)
