"""Token buckets of an availability zone, from which requests of accounts are granted.

Load pattern: clients of an account send to all nodes of all zones, and move from zone
to zone within a second. Each zone owns an equal part of every account's rate and burst,
so that zones that are cut off from each other need no agreement. A zone that needs more
takes tokens out of the buckets of the others.
"""

import math
from collections.abc import Mapping

from attrs import define, field

from bamboocove.state.mesh import ClientAccount

# Tokens between granters are counted in parts. With whole tokens, an account of two
# requests per second was refused while each zone held most of a token for it.
PARTS_PER_TOKEN = 1_000_000
# Time for which a zone keeps the tokens that it is expected to need, in seconds.
KEPT_S = 0.5
# Largest part of a bucket that is kept for the own zone.
MAX_KEPT_FRACTION = 0.5
# Buckets that hold fewer tokens keep none: a demand of a few requests cannot be
# estimated, and an account of 6.5 requests per second was refused while other zones
# kept two tokens.
MIN_KEPT_SIZE = 10.0
# Time constant of the estimate of demand, in seconds; demand moves between zones
# within a second.
DEMAND_DECAY_S = 0.3
# Smallest bucket, as the time in seconds whose rate it holds, and the part of the
# tolerated number of requests that all zones may use for it. Nodes ask at intervals: of
# 120 requests per second with a burst of 3, only 50 ran.
MIN_SIZE_S = 0.1
SLACK_FRACTION = 0.75
# Part of a token by which repeated additions may miss a whole one.
ROUNDING_ERROR = 1e-5


@define
class DemandRate:
    """Exponentially decaying rate of events, per second."""

    value: float = 0.0
    _updated_at: float = 0.0

    def add(self, count: float, now: float) -> None:
        """Count events at a time, in seconds."""
        self.value = self.get(now) + count / DEMAND_DECAY_S
        self._updated_at = max(now, self._updated_at)

    def get(self, now: float) -> float:
        """Return the rate at a time, in events per second."""
        elapsed_s = max(0.0, now - self._updated_at)
        return self.value * math.exp(-elapsed_s / DEMAND_DECAY_S)


@define
class TokenBucket:
    """Tokens of one account in one zone.

    Parameters
    ----------
    rate_per_s : float
        Tokens added per second.
    size : float
        Most tokens that are kept.
    updated_at : float
        Time up to which tokens were added, in seconds.
    tokens : float
        Present tokens.
    """

    rate_per_s: float
    size: float
    updated_at: float
    tokens: float = 0.0
    demand: DemandRate = field(factory=DemandRate)

    def refill(self, now: float) -> None:
        """Add the tokens of the time since the last change."""
        if now > self.updated_at:
            self.tokens += (now - self.updated_at) * self.rate_per_s
            self.updated_at = now
            self.tokens = min(self.size, self.tokens)

    def count_spare(self, now: float) -> float:
        """Return how many tokens the own zone does not need in the next ``KEPT_S``."""
        if self.size < MIN_KEPT_SIZE:
            return max(0.0, self.tokens)
        needed = self.demand.get(now) * KEPT_S
        kept = min(needed, self.size * MAX_KEPT_FRACTION)
        surplus = self.tokens + self.rate_per_s * KEPT_S - needed
        return max(0.0, min(self.tokens - kept, surplus))


@define
class QuotaBuckets:
    """The buckets of all limited accounts in one zone.

    All times are in seconds of one clock of this host. A bucket starts empty: what
    an earlier holder granted is not known.

    Parameters
    ----------
    zone_count : int
        Number of zones that share each limit.
    slack : float
        Requests beyond the limit that a window may hold.
    """

    zone_count: int = 1
    slack: float = 0.0
    buckets_by_account: dict[str, TokenBucket] = field(factory=dict)

    def use_limits(
        self, accounts_by_name: Mapping[str, ClientAccount], now: float
    ) -> None:
        """Apply the limits of a configuration at once.

        Parameters
        ----------
        accounts_by_name : mapping of str to ClientAccount
            All accounts; those without a limit are not counted. A bucket that is new
            starts empty.
        now : float
            Present time. Tokens up to it are added at the previous rate.
        """
        buckets = {}
        least_size = self.slack * SLACK_FRACTION / self.zone_count
        for name, account in accounts_by_name.items():
            if not account.rate_per_s:
                continue
            rate_per_s = account.rate_per_s / self.zone_count
            size = max(
                1.0,
                account.burst / self.zone_count,
                min(rate_per_s * MIN_SIZE_S, least_size),
            )
            bucket = self.buckets_by_account.get(name)
            if bucket is None:
                bucket = TokenBucket(rate_per_s, size, now)
            else:
                bucket.refill(now)
                bucket.rate_per_s, bucket.size = rate_per_s, size
                bucket.tokens = min(size, bucket.tokens)
            buckets[name] = bucket
        self.buckets_by_account = buckets

    def record_demand(self, name: str, count: int, now: float) -> None:
        """Record that nodes of the own zone asked for tokens."""
        bucket = self.buckets_by_account.get(name)
        if bucket is not None:
            bucket.demand.add(count, now)

    def grant(self, name: str, count: int, now: float) -> int:
        """Take whole tokens out of the bucket of an account.

        Returns
        -------
        granted : int
            At most ``count``; 0 for an account that has no limit or is unknown.
        """
        bucket = self.buckets_by_account.get(name)
        if bucket is None:
            return 0
        bucket.refill(now)
        granted = max(0, min(count, math.floor(bucket.tokens + ROUNDING_ERROR)))
        bucket.tokens -= granted
        return granted

    def give(self, name: str, parts: int, now: float, is_whole: bool = False) -> int:
        """Take tokens out of a bucket that another zone may use.

        Parameters
        ----------
        parts : int
            What is asked for, in parts of a token.
        is_whole : bool
            Whether only whole tokens are of use.

        Returns
        -------
        given : int
            Parts that the own zone does not need, at most ``parts``.
        """
        bucket = self.buckets_by_account.get(name)
        if bucket is None:
            return 0
        bucket.refill(now)
        spare = bucket.count_spare(now) + (ROUNDING_ERROR if is_whole else 0.0)
        given = max(0, min(parts, int(spare * PARTS_PER_TOKEN)))
        if is_whole:
            given -= given % PARTS_PER_TOKEN
        bucket.tokens -= given / PARTS_PER_TOKEN
        return given

    def receive(self, name: str, parts: int, now: float) -> None:
        """Add what another zone gave; the caller grants from it at the same time.

        As time passes, the next refill drops what the bucket cannot hold.
        """
        bucket = self.buckets_by_account.get(name)
        if bucket is not None:
            bucket.refill(now)
            bucket.tokens += parts / PARTS_PER_TOKEN

    def count_missing(self, name: str, count: int, now: float) -> int:
        """Return what a zone should ask others for, in parts of a token.

        The sum holds what is missing for ``count`` tokens, and the demand beyond the
        own rate in the next 0.1 s, as far as the bucket has room for it.
        """
        bucket = self.buckets_by_account.get(name)
        if bucket is None:
            return 0
        bucket.refill(now)
        ahead = max(0.0, bucket.demand.get(now) - bucket.rate_per_s) * 0.1
        missing = count - bucket.tokens + min(ahead, bucket.size)
        return max(0, math.ceil(missing * PARTS_PER_TOKEN))

    def get_wait(self, name: str, now: float, is_alone: bool) -> float:
        """Return the time until a further token, in seconds.

        Parameters
        ----------
        is_alone : bool
            Whether no other zone gives tokens, so that only the own rate counts.
        """
        bucket = self.buckets_by_account.get(name)
        if bucket is None:
            return 0.0
        bucket.refill(now)
        rate_per_s = bucket.rate_per_s * (1 if is_alone else self.zone_count)
        return max(0.0, 1.0 - bucket.tokens) / rate_per_s
