"""Proofs that a node knows which keys of client accounts were withdrawn.

A proof names a time of the store and the version of the configuration that was the
newest one then. A node that holds this version knows all keys withdrawn before that
time. The age of a proof is computed from an upper bound on the present time of the
store, so a node that lacks news overestimates it and refuses requests too early, never
too late.

All local times are in seconds of a clock that also counts while the machine is
suspended.
"""

import math
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from bamboocove.protocol.control_messages import ClockReply, ConfigProof

# Largest difference between the rates of a local clock and the store's.
DRIFT = 0.001
# Part of the revocation time that is left for errors of clocks and of rounding.
MARGIN_S = 0.6
# Without a path to the store a node serves requests with a key for at least this
# fraction of the revocation time.
SERVED_FRACTION = 0.6
# Time for the answer of a slow store, and for the way of a proof from a reader to the
# other nodes.
DELIVERY_S = 0.4
MIN_POLL_S = 0.1
# Interval between calls that bound the time of the store closely. The bound rises by
# 10 ms in it.
BOUND_INTERVAL_S = 10.0
# Bounds older than this are dropped: the smallest one would hold forever, even if the
# clock of the store were set back.
BOUND_LIFETIME_S = 60.0
# Excess of a time of the store over its bound that rounding explains.
ROUNDING_S = 0.01
# Proofs kept for versions that this node does not have yet.
MAX_EARLY_PROOFS = 8
# Eras whose proofs count. A proof of the previous era still shows its age, so requests
# are served until there is one of the present era.
MAX_ERAS = 2


def get_max_age(revocation_s: float) -> float:
    """Return the age up to which a proof is accepted, in seconds."""
    return revocation_s - MARGIN_S


def compute_poll_time(revocation_s: float, longest_s: float) -> float:
    """Return how long the store may hold a call for changes, in seconds.

    Each answer is a proof. The last one before the store falls silent has to last for
    ``SERVED_FRACTION`` of the revocation time.

    Examples
    --------
    >>> round(compute_poll_time(5.0, 2.0), 3), compute_poll_time(60.0, 2.0)
    (1.0, 2.0)
    """
    left_s = get_max_age(revocation_s) - SERVED_FRACTION * revocation_s - DELIVERY_S
    return min(longest_s, max(MIN_POLL_S, left_s))


@frozen
class _Bound:
    """States that the store's time was at most ``store_s`` at ``local_s``."""

    local_s: float
    store_s: float

    @property
    def rank(self) -> float:
        """A number by which bounds compare alike at all local times."""
        return self.store_s - (1.0 + DRIFT) * self.local_s


@define
class StoreClock:
    """Upper bound on the time of the store: the smallest of the recent ones."""

    # In the order of their times, and of their ranks: a bound that is no smaller than a
    # later one is never needed again.
    _bounds: deque[_Bound] = field(factory=deque)

    def get(self, now: float) -> float:
        """Return the bound in seconds of the store's clock; infinity if unknown."""
        while self._bounds and self._bounds[0].local_s < now - BOUND_LIFETIME_S:
            self._bounds.popleft()
        if not self._bounds:
            return math.inf
        return self._bounds[0].rank + (1.0 + DRIFT) * now

    def record(self, asked_at: float, store_s: float) -> None:
        """Record that the store's time was at most ``store_s`` at ``asked_at``."""
        bound = _Bound(asked_at, store_s)
        while self._bounds and self._bounds[-1].rank >= bound.rank:
            self._bounds.pop()
        self._bounds.append(bound)

    def check(self, store_s: float, now: float) -> bool:
        """Drop all bounds if the store has reached a time above them; return if not."""
        if store_s <= self.get(now) + ROUNDING_S:
            return True
        self._bounds.clear()
        return False


@define
class _Era:
    """Clock and proofs of one era of the store."""

    clock: StoreClock = field(factory=StoreClock)
    # Newest time of the store proven for each version.
    verified_s_by_version: dict[int, float] = field(factory=dict)

    def record(self, version: int, verified_s: float) -> None:
        known_s = self.verified_s_by_version.get(version, -math.inf)
        self.verified_s_by_version[version] = max(known_s, verified_s)
        if len(self.verified_s_by_version) > MAX_EARLY_PROOFS:
            # The lowest versions arrive first.
            del self.verified_s_by_version[max(self.verified_s_by_version)]

    def drop_later(self, store_s: float) -> bool:
        """Drop proofs of a later time of the store; return whether there were any."""
        proofs = self.verified_s_by_version.items()
        kept = {v: s for v, s in proofs if s <= store_s + ROUNDING_S}
        has_later = len(kept) < len(proofs)
        self.verified_s_by_version = kept
        return has_later

    def find_newest(self, version: int) -> tuple[float, int] | None:
        """Return time and version of the newest proof for a version or older ones."""
        proofs = [(s, v) for v, s in self.verified_s_by_version.items() if v <= version]
        if not proofs:
            return None
        newest = max(proofs)
        if len(proofs) > 1:
            for _, other in proofs:
                if other != newest[1]:
                    del self.verified_s_by_version[other]
        return newest


@define
class KeyFreshness:
    """Proofs that a node has, and its bounds on the time of the store.

    Parameters
    ----------
    on_contradiction : callable
        Called with a time of the store in seconds that does not fit to earlier ones: it
        exceeds the bound on it, or its clock was set back.
    """

    on_contradiction: Callable[[float], None] = lambda store_s: None
    _eras: dict[int, _Era] = field(factory=dict)

    @property
    def era(self) -> int:
        """The newest era of the store that this node knows."""
        return max(self._eras, default=0)

    def _get_era(self, number: int) -> _Era | None:
        """Return the state of an era; None if it is over."""
        if number not in self._eras:
            if self._eras and number < self.era:
                return None
            self._eras[number] = _Era()
            if len(self._eras) > MAX_ERAS:
                del self._eras[min(self._eras)]
        return self._eras[number]

    def record_bound(
        self, era: int, asked_at: float, store_s: float, now: float
    ) -> None:
        """Record the answer to a question for the time of the store.

        Parameters
        ----------
        era : int
            Era of the store.
        asked_at : float
            When the question was sent, in seconds of the local clock.
        store_s : float
            Time of the store after it, or a bound on that, in seconds.
        now : float
            Current time in seconds of the local clock.
        """
        state = self._get_era(era)
        if state is None or now - asked_at > BOUND_LIFETIME_S:
            return
        state.clock.record(asked_at, store_s)
        # Proofs from before the clock of the store was set back would look new for as
        # long as it takes to catch up.
        if state.drop_later(state.clock.get(now)):
            self.on_contradiction(store_s)

    def record_proof(self, proof: ConfigProof, now: float) -> None:
        """Record a proof; it counts once this node has the version that it names."""
        state = self._get_era(proof.store_era)
        if state is None:
            return
        verified_s = proof.verified_ms / 1000
        if not state.clock.check(verified_s, now):
            self.on_contradiction(verified_s)
        state.record(proof.version, verified_s)

    def get_newest_proof(self, version: int) -> ConfigProof | None:
        """Return the newest proof for a version that a node has, of the newest era."""
        era = self.era
        newest = self._eras[era].find_newest(version) if era in self._eras else None
        return None if newest is None else make_proof(era, newest[1], newest[0])

    def get_age(self, version: int, now: float) -> float:
        """Return the age of the newest proof in seconds; infinity without one.

        Parameters
        ----------
        version : int
            Version of the configuration in force.
        now : float
            Current time in seconds of the local clock.
        """
        age = math.inf
        for state in self._eras.values():
            newest = state.find_newest(version)
            if newest is not None:
                age = min(age, state.clock.get(now) - newest[0])
        return age

    def has_bound(self, now: float) -> bool:
        """Return whether the time of the store in the newest era is bounded."""
        era = self.era
        return era in self._eras and self._eras[era].clock.get(now) < math.inf

    def make_clock_reply(self, number: int, now: float) -> ClockReply | None:
        """Return the answer to a ``ClockQuery``; None if this node has no bound."""
        if not self.has_bound(now):
            return None
        bound_s = self._eras[self.era].clock.get(now)
        return ClockReply(number, self.era, math.ceil(bound_s * 1000))


def make_proof(era: int, version: int, verified_s: float) -> ConfigProof:
    """Return the message for a time of the store in seconds, rounded down."""
    return ConfigProof(era, version, math.floor(verified_s * 1000))
