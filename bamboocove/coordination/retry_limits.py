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
# Crashes at one host within this time, in seconds, are one: a worker takes longer to
# start again.
SAME_CRASH_WINDOW_S = 1.0
MAX_COMPLETED = 1000
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
class _Suspect:
    crashes: int = 0
    last_at: float = 0.0
    last_at_by_host: dict[str, float] = field(factory=dict)


@define
class CrashTable:
    """Fingerprints of requests during which workers crashed."""

    _suspects_by_fingerprint: dict[str, _Suspect] = field(factory=dict)

    def has_suspects(self, now: float) -> bool:
        """Return whether any request is suspected of crashing workers."""
        suspects = self._suspects_by_fingerprint
        # The suspects are in the order of their last crash.
        while suspects:
            oldest = next(iter(suspects))
            if now - suspects[oldest].last_at <= SUSPECT_TTL_S:
                return True
            del suspects[oldest]
        return False

    def record(self, fingerprint: str, host_id: str, now: float) -> int:
        """Count the crash of a worker; return the number of crashes of the request.

        Several copies of a request may run at a worker when it crashes, and each
        caller's node and the worker's own report the crash.

        Parameters
        ----------
        fingerprint : str
            Identifies the request.
        host_id : str
            Host of the worker.
        now : float
            Seconds of the local clock.

        Examples
        --------
        >>> table = CrashTable()
        >>> table.record("x", "h1", 0.0), table.record("x", "h1", 0.5)
        (1, 1)
        >>> table.record("x", "h1", 3.0), table.record("x", "h2", 3.1)
        (2, 3)
        """
        suspects = self._suspects_by_fingerprint
        suspect = suspects.pop(fingerprint, None)
        if suspect is None or now - suspect.last_at > SUSPECT_TTL_S:
            suspect = _Suspect()
        if len(suspects) >= MAX_SUSPECTS:
            del suspects[next(iter(suspects))]
        last_at = suspect.last_at_by_host.get(host_id, float("-inf"))
        if now - last_at > SAME_CRASH_WINDOW_S:
            suspect.crashes += 1
        suspect.last_at = suspect.last_at_by_host[host_id] = now
        suspects[fingerprint] = suspect
        return suspect.crashes

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be sent to any worker."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None or now - suspect.last_at > SUSPECT_TTL_S:
            return False
        return suspect.crashes >= CRASHES_TO_BLOCK

    def clear(self, fingerprint: str) -> None:
        """Remove a request because a worker has completed it."""
        self._suspects_by_fingerprint.pop(fingerprint, None)


@define
class CompletedRequests:
    """Requests that the worker on this host has completed recently.

    If it crashes while it runs an equal one, that request is hardly the cause: the
    worker may have crashed for any reason, and common requests are always in flight.
    """

    _completed_at_by_key: dict[int, float] = field(factory=dict)

    def add(self, key: int, now: float) -> None:
        """Record that the worker has completed a request with this hash."""
        completed = self._completed_at_by_key
        completed.pop(key, None)
        completed[key] = now
        if len(completed) > MAX_COMPLETED:
            del completed[next(iter(completed))]

    def is_recent(self, key: int, now: float) -> bool:
        """Return whether an equal request was completed in ``SUSPECT_TTL_S``."""
        completed_at = self._completed_at_by_key.get(key)
        return completed_at is not None and now - completed_at <= SUSPECT_TTL_S
