"""Rate limit that a worker in need names for all its requests together.

Load pattern: a service runs at its usual load, and most of its workers ask for half of
what they get. All nodes send them requests, so only the node beside a worker can hold
the limit exactly. Other nodes see the worker as busy from the named rate on and place
requests elsewhere. A request that finds no room elsewhere still gets a part of the
tolerance that the platform grants: with the named rate as a hard bound, callers were
turned away by workers that had free slots.
"""

from attrs import define, field

# Requests that may follow each other at once, as the time in seconds in which the limit
# allows as many, and at least.
BURST_S = 0.5
MIN_BURST = 2.0
# Rate beyond the named one for requests that other workers do not take, as a fraction
# of it. The platform tolerates half more than a worker names; a part of that is left as
# a margin.
RESERVE_FRACTION = 0.25
# Wait that other nodes expect in addition while the whole reserve is in use, in
# seconds.
RESERVE_WAIT_S = 0.2
# Lowest rate at which a worker is sent requests, in requests per second. A worker that
# names 0 says only in an answer that it takes requests again.
MIN_LIMIT_PER_S = 0.25
# Part of a token by which repeated additions may miss a whole one.
ROUNDING_ERROR = 1e-9


@define
class RateLimiter:
    """Token buckets for the requests of one worker: the named rate, and a reserve.

    Parameters
    ----------
    limit_per_s : float
        Requests per second; 0 if the worker names no limit.
    burst : float or None
        Requests that may follow each other at once; None for what the rate allows in
        ``BURST_S``.
    reserve_fraction : float
        Rate beyond the limit for requests that other workers do not take, as a fraction
        of it.
    min_per_s : float
        Rate at which the worker gets requests, however low the limit is.
    """

    limit_per_s: float = 0.0
    burst: float | None = field(default=None, kw_only=True)
    reserve_fraction: float = field(default=RESERVE_FRACTION, kw_only=True)
    min_per_s: float = field(default=MIN_LIMIT_PER_S, kw_only=True)
    _tokens: float = 0.0
    _reserve: float = 0.0
    _updated_at: float = 0.0

    def set_limit(self, limit_per_s: float, now: float) -> None:
        """Change the limit; 0 ends it.

        Parameters
        ----------
        limit_per_s : float
            Requests per second that the worker names; 0 if it names none.
        now : float
            Seconds of the local clock.
        """
        if limit_per_s == self.limit_per_s:
            return
        if self.limit_per_s:
            self._refill(now)
        else:
            # What the worker got before it named a limit is not known to be little.
            self._tokens = self._reserve = 0.0
            self._updated_at = now
        self.limit_per_s = limit_per_s
        if limit_per_s:
            self._bound()

    def _get_rate(self) -> float:
        return max(self.min_per_s, self.limit_per_s)

    def _get_burst(self) -> float:
        if self.burst is not None:
            return self.burst
        return max(MIN_BURST, BURST_S * self._get_rate())

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated_at)
        self._updated_at = now
        self._tokens += elapsed_s * self._get_rate()
        self._reserve += elapsed_s * self._get_rate() * self.reserve_fraction
        self._bound()

    def _get_reserve_size(self) -> float:
        if not self.reserve_fraction:
            return 0.0
        return max(1.0, self.reserve_fraction * self._get_rate())

    def _bound(self) -> None:
        self._tokens = min(self._get_burst(), self._tokens)
        self._reserve = min(self._get_reserve_size(), self._reserve)

    def predict_wait(self, position: int, now: float) -> float:
        """Return the time until a request may start, in seconds.

        Parameters
        ----------
        position : int
            Position of the request among those that wait; 1 for the next one.
        now : float
            Seconds of the local clock.
        """
        if not self.limit_per_s:
            return 0.0
        self._refill(now)
        missing = position - self._tokens - self._reserve
        rate = self._get_rate() * (1.0 + self.reserve_fraction)
        return missing / rate if missing > ROUNDING_ERROR else 0.0

    def predict_named_wait(self, position: int, now: float) -> float:
        """Return the wait for other nodes to expect, so that they spare the reserve.

        The parameters are those of ``predict_wait``.
        """
        if not self.limit_per_s:
            return 0.0
        self._refill(now)
        reserve_size = self._get_reserve_size()
        used = 1.0 - self._reserve / reserve_size if reserve_size else 0.0
        wait_s = max(0.0, position - self._tokens) / self._get_rate()
        return wait_s + used * RESERVE_WAIT_S

    def take(self, now: float) -> bool:
        """Count a request that starts; return False if it has to wait."""
        if not self.limit_per_s:
            return True
        if self.predict_wait(1, now):
            return False
        from_tokens = min(1.0, self._tokens)
        self._tokens -= from_tokens
        self._reserve -= 1.0 - from_tokens
        return True

    def count_slots(self, slots: int, service_s: float) -> int:
        """Return how many slots the named rate keeps in use, at least 1.

        Parameters
        ----------
        slots : int
            Number of requests that the worker runs concurrently.
        service_s : float
            Mean service time in seconds.
        """
        if not self.limit_per_s:
            return slots
        return max(1, min(slots, round(self._get_rate() * service_s)))
