"""Limits on retries: per request, per service, and for requests that crash workers.

Load pattern: some workers fail or are lost while all are busy. Retries then add to
the overload, so all nodes together may add only a fixed fraction, and a request
that crashes its worker must not be sent to another one.
"""

import math

from attrs import define, field

# Fraction of the retry allowance of all nodes that is used. The allowance is
# measured over sliding windows, and nodes know only roughly how many they are.
ALLOWANCE_FRACTION = 0.5
# Number of lost workers after which a request is blocked.
CRASHES_TO_BLOCK = 2
# Time for which a single crash counts, in seconds: callers may return minutes later.
SUSPECT_TTL_S = 600.0
# Time for which a request is blocked after its second crash, in seconds; each further
# crash multiplies it.
BLOCK_S = 600.0
BLOCK_FACTOR = 4.0
MAX_BLOCK_S = 86400.0
MAX_BLOCK_STEPS = 10
MAX_SUSPECTS = 2000
PRUNE_INTERVAL_S = 1.0
# Clocks of hosts, by which a crash before a request was completed is told from a later
# one, differ by less than this, in seconds.
CLEARED_SLACK_S = 1.0
# Crashes at one host within this time, in seconds, are one: a worker takes longer to
# start again.
SAME_CRASH_WINDOW_S = 1.0
# Time for which the completion of a request shows that it is not a cause of crashes, in
# seconds.
COMPLETED_TTL_S = 60.0
MAX_COMPLETED = 1000
# Start of a body by which completed requests are compared, in bytes.
COMPARED_BODY_BYTES = 4096
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


def compute_block_s(crashes: int) -> float:
    """Return for how long a request is blocked after its last crash, in seconds.

    Examples
    --------
    >>> [compute_block_s(crashes) for crashes in (1, 2, 3, 4, 90)]
    [0.0, 600.0, 2400.0, 9600.0, 86400.0]
    """
    if crashes < CRASHES_TO_BLOCK:
        return 0.0
    steps = min(crashes - CRASHES_TO_BLOCK, MAX_BLOCK_STEPS)
    return min(MAX_BLOCK_S, BLOCK_S * BLOCK_FACTOR**steps)


def compute_keep_s(crashes: int) -> float:
    """Return for how long the crashes of a request count after the last one."""
    return max(SUSPECT_TTL_S, 2 * compute_block_s(crashes))


@define
class _Suspect:
    crashes: int = 0
    last_at: float = -math.inf
    last_at_by_host: dict[str, float] = field(factory=dict)


@define
class CrashTable:
    """Fingerprints of requests during which workers crashed."""

    _suspects_by_fingerprint: dict[str, _Suspect] = field(factory=dict)
    _cleared_at_by_fingerprint: dict[str, float] = field(factory=dict)
    _next_prune_at: float = -math.inf
    _may_block: bool = False

    def has_suspects(self, now: float) -> bool:
        """Return whether any request is suspected of crashing workers."""
        if self._suspects_by_fingerprint and now >= self._next_prune_at:
            self._prune(now)
        return bool(self._suspects_by_fingerprint)

    def has_blocked(self, now: float) -> bool:
        """Return whether any request may be blocked."""
        return self.has_suspects(now) and self._may_block

    def _prune(self, now: float) -> None:
        self._next_prune_at = now + PRUNE_INTERVAL_S
        suspects = self._suspects_by_fingerprint
        for fingerprint, suspect in list(suspects.items()):
            if now - suspect.last_at > compute_keep_s(suspect.crashes):
                del suspects[fingerprint]
        crashes = max((suspect.crashes for suspect in suspects.values()), default=0)
        self._may_block = crashes >= CRASHES_TO_BLOCK

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
        suspect = self._take(fingerprint, now)
        last_at = suspect.last_at_by_host.get(host_id, -math.inf)
        if now - last_at > SAME_CRASH_WINDOW_S:
            suspect.crashes += 1
        suspect.last_at = suspect.last_at_by_host[host_id] = now
        self._may_block |= suspect.crashes >= CRASHES_TO_BLOCK
        return suspect.crashes

    def merge(self, fingerprint: str, crashes: int, age_s: float, now: float) -> None:
        """Add what another node knows of a request, unless it was cleared since.

        Parameters
        ----------
        fingerprint : str
            Identifies the request.
        crashes : int
            Number of its crashes.
        age_s : float
            Time since the last of them, in seconds.
        now : float
            Seconds of the local clock.
        """
        last_at = now - max(0.0, age_s)
        cleared_at = self._cleared_at_by_fingerprint.get(fingerprint, -math.inf)
        if age_s > compute_keep_s(crashes) or last_at <= cleared_at + CLEARED_SLACK_S:
            return
        suspect = self._take(fingerprint, now)
        suspect.crashes = max(suspect.crashes, crashes)
        suspect.last_at = max(suspect.last_at, last_at)
        self._may_block |= suspect.crashes >= CRASHES_TO_BLOCK

    def _take(self, fingerprint: str, now: float) -> _Suspect:
        """Return the entry of a request, a new one if its crashes have expired."""
        suspects = self._suspects_by_fingerprint
        suspect = suspects.pop(fingerprint, None)
        if suspect is None or now - suspect.last_at > compute_keep_s(suspect.crashes):
            suspect = _Suspect()
        if len(suspects) >= MAX_SUSPECTS:
            # Crashes of many workers must not make room for one that is blocked.
            single = (f for f, s in suspects.items() if s.crashes < CRASHES_TO_BLOCK)
            del suspects[next(single, next(iter(suspects)))]
        suspects[fingerprint] = suspect
        return suspect

    def get_crashes(self, fingerprint: str) -> int:
        """Return the number of crashes of a request, also of one not blocked."""
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        return 0 if suspect is None else suspect.crashes

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request must not be sent to any worker.

        Each block is followed by as long a time in which a further crash prolongs it.
        """
        suspect = self._suspects_by_fingerprint.get(fingerprint)
        if suspect is None:
            return False
        return now - suspect.last_at <= compute_block_s(suspect.crashes)

    def clear(self, fingerprint: str, now: float) -> None:
        """Remove a request because a worker has completed it."""
        self._suspects_by_fingerprint.pop(fingerprint, None)
        cleared = self._cleared_at_by_fingerprint
        cleared.pop(fingerprint, None)
        cleared[fingerprint] = now
        if len(cleared) > MAX_SUSPECTS:
            del cleared[next(iter(cleared))]


def make_completed_key(identity: tuple, body: bytes) -> int:
    """Return the hash by which equal requests are compared on this host."""
    return hash((*identity, bytes(body[:COMPARED_BODY_BYTES])))


@define
class CompletedRequests:
    """Requests that workers have completed recently.

    If a worker crashes while it runs an equal one, that request is hardly the cause: it
    may have crashed for any reason, and common requests are always in flight.
    """

    _completed_at_by_key: dict[int, float] = field(factory=dict)

    def add(self, key: int, now: float) -> None:
        """Record that a worker has completed a request with this hash."""
        completed = self._completed_at_by_key
        completed.pop(key, None)
        completed[key] = now
        if len(completed) > MAX_COMPLETED:
            del completed[next(iter(completed))]

    def is_recent(self, key: int, now: float) -> bool:
        """Return whether an equal request was completed in ``COMPLETED_TTL_S``."""
        completed_at = self._completed_at_by_key.get(key)
        return completed_at is not None and now - completed_at <= COMPLETED_TTL_S
