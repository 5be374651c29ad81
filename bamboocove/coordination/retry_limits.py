"""Limits on retries: per request, per service, and for requests that crash workers.

Load pattern: some workers fail or are lost while all are busy. Retries then add to
the overload, so all nodes together may add only a fixed fraction, and a request
that crashes its worker must not be sent to another one.
"""

from attrs import define, field

# Fraction of the retry allowance of all nodes that is used. The allowance is
# measured over sliding windows, and nodes know only roughly how many they are.
ALLOWANCE_FRACTION = 0.5
# Number of lost workers after which a request is blocked.
CRASHES_TO_BLOCK = 2
# Time after its last crash for which a request stays suspect, in seconds.
SUSPECT_TTL_S = 60.0
MAX_SUSPECTS = 2000
# Callers of one route use different timeouts: new requests of the users' sites
# had 0.85 to 1 times the longest one.
TIMEOUT_SPREAD = 0.15


def may_retry(sent: int, attempts: int, left_s: float, min_left_s: float) -> bool:
    """Return whether a request may be sent to another worker.

    Parameters
    ----------
    sent : int
        Number of workers that it was sent to.
    attempts : int
        Maximum number of workers that it may be sent to.
    left_s, min_left_s : float
        Time left until the deadline, and the minimum for another attempt, in
        seconds.
    """
    return sent < attempts and left_s > min_left_s


@define
class RetryBudgets:
    """Retry budgets of this node by service, as token buckets.

    Each is this node's share of the retries that all nodes may send.

    Parameters
    ----------
    ratio : float
        Retries earned per request of this node.
    max_tokens : float
        Maximum number of retries that can accumulate.
    """

    ratio: float = 0.1
    max_tokens: float = 2.0
    _tokens_by_service: dict[str, float] = field(factory=dict)

    def configure(self, ratio: float, slack: float, nodes: int) -> None:
        """Set the limits from the allowance of all nodes.

        Parameters
        ----------
        ratio, slack : float
            Retries that all nodes together may send in a window: a fraction of
            the requests, plus a fixed number.
        nodes : int
            Number of nodes that share the allowance.
        """
        self.ratio = ALLOWANCE_FRACTION * ratio
        self.max_tokens = max(1.0, ALLOWANCE_FRACTION * slack / max(1, nodes))

    def earn(self, service: str) -> None:
        """Add the tokens earned by one request."""
        tokens = self._tokens_by_service.get(service, self.max_tokens)
        self._tokens_by_service[service] = min(self.max_tokens, tokens + self.ratio)

    def spend(self, service: str) -> bool:
        """Take the token of one retry; return whether there was one."""
        tokens = self._tokens_by_service.get(service, self.max_tokens)
        if tokens < 1.0:
            return False
        self._tokens_by_service[service] = tokens - 1.0
        return True


@define
class CallerWaitEstimator:
    """Estimates how long a caller has already been waiting, by route.

    Callers send their remaining time with each attempt. A refused caller that
    retries sends less than the timeout of any new request; the difference is the
    least time that it has been waiting.
    """

    _longest_s_by_route: dict[str, float] = field(factory=dict)

    def estimate_waited(self, route: str, left_s: float) -> float:
        """Return the least time that a caller has been waiting, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        left_s : float
            Remaining time that the caller sent, in seconds.

        Examples
        --------
        >>> estimator = CallerWaitEstimator()
        >>> estimator.estimate_waited("r", 3.0)
        0.0
        >>> round(estimator.estimate_waited("r", 2.0), 3)
        0.55
        """
        longest_s = max(left_s, self._longest_s_by_route.get(route, 0.0))
        self._longest_s_by_route[route] = longest_s
        return max(0.0, (1.0 - TIMEOUT_SPREAD) * longest_s - left_s)


@define
class CrashTable:
    """Fingerprints of requests during which workers were lost."""

    _crashes_by_fingerprint: dict[str, tuple[int, float]] = field(factory=dict)

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspected of crashing workers."""
        return bool(self._crashes_by_fingerprint)

    def record(self, fingerprint: str, now: float, crashes: int = 1) -> int:
        """Count a lost worker; return the number of crashes of the request."""
        previous, _ = self._crashes_by_fingerprint.pop(fingerprint, (0, 0.0))
        if len(self._crashes_by_fingerprint) >= MAX_SUSPECTS:
            oldest = next(iter(self._crashes_by_fingerprint))
            del self._crashes_by_fingerprint[oldest]
        self._crashes_by_fingerprint[fingerprint] = (previous + crashes, now)
        return previous + crashes

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be sent to any worker."""
        crashes, last_at = self._crashes_by_fingerprint.get(fingerprint, (0, 0.0))
        if crashes and now - last_at > SUSPECT_TTL_S:
            del self._crashes_by_fingerprint[fingerprint]
            return False
        return crashes >= CRASHES_TO_BLOCK

    def clear(self, fingerprint: str) -> None:
        """Remove a request because a worker has completed it."""
        self._crashes_by_fingerprint.pop(fingerprint, None)
