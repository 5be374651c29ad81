"""Delays between attempts, and the rate at which attempts are accepted."""

from attrs import define

BASE_DELAY_S = 0.2
MAX_DELAY_S = 10.0
# Doubling stops here; 0.2 s * 2**10 is far above any cap.
MAX_DOUBLINGS = 10
MAX_RETRY_AFTER_S = 30.0


def compute_delay(
    attempt: int,
    fraction: float,
    server_delay_s: float = 0.0,
    base_s: float = BASE_DELAY_S,
    cap_s: float = MAX_DELAY_S,
) -> float:
    """Return the delay before an attempt, in seconds, with full jitter.

    Parameters
    ----------
    attempt : int
        Attempts that failed so far, at least 1.
    fraction : float
        Random number from 0 to 1.
    server_delay_s : float
        Least delay that the server asked for; the jitter is added to it, so
        that clients that were told the same delay do not return together.

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
    """Bounds the rate of accepted connections and spreads the refused ones.

    Parameters
    ----------
    rate : float
        Connections per second.
    burst : float
        Connections that are accepted at once.
    tokens : float
        Connections that can be accepted now.
    waiting : float
        Estimate of the refused clients that have not come back.
    changed_at : float
        Time of the last call in seconds.
    """

    rate: float
    burst: float
    tokens: float = 0.0
    waiting: float = 0.0
    changed_at: float = float("-inf")


def admit(pacer: AcceptPacer, now: float) -> float:
    """Decide about one connection.

    Returns
    -------
    retry_after_s : float
        0 if the connection is accepted; otherwise the least delay before the
        client tries again. It grows with the number of refused clients, so
        that they come back at about the accepted rate.
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
