"""When there will be room for a body that was refused.

Load pattern: callers upload at once until the budget is held. Refused callers that
return together, or before bytes were released, are refused again, and those that return
much later leave the room unused.
"""

from collections import deque
from collections.abc import Callable

from attrs import define, field

from bamboocove.coordination.retry_after import (
    MIN_RETRY_AFTER_S,
)

# Time over which released bytes are counted, and the least time that the rate is taken
# over, in seconds.
WINDOW_S = 2.0
MIN_WINDOW_S = 0.25
# Interval within which releases are counted together, in seconds.
BUCKET_S = 0.05
# Relative random part of a delay, which is only added: callers that return too soon are
# refused again.
JITTER = 0.25


@define
class RoomForecast:
    """Rate at which held bytes are released, and bytes that are to come back."""

    _drained: int = 0
    # Times and numbers of released bytes, in order of time.
    _releases: deque[list[float]] = field(factory=deque)
    # Times at which refused bodies return, and their sizes.
    _returns: list[tuple[float, int]] = field(factory=list)

    def record(self, drained: int, now: float) -> None:
        """Note how many bytes have left the node since its start."""
        size, self._drained = drained - self._drained, drained
        if self._releases and now - self._releases[-1][0] < BUCKET_S:
            self._releases[-1][1] += size
        else:
            self._forget(now)
            self._releases.append([now, size])

    def _forget(self, now: float) -> None:
        while self._releases and self._releases[0][0] < now - WINDOW_S:
            self._releases.popleft()

    def compute_rate(self, now: float) -> float:
        """Return the bytes released a second, lately; 0 without any.

        Examples
        --------
        >>> forecast = RoomForecast()
        >>> forecast.record(1_000_000, 5.0)
        >>> forecast.record(3_000_000, 5.5)
        >>> forecast.compute_rate(6.0), forecast.compute_rate(9.0)
        (2000000.0, 0.0)
        """
        self._forget(now)
        if not self._releases:
            return 0.0
        since, first = self._releases[0]
        released = sum(size for _, size in self._releases)
        if len(self._releases) > 1:
            # The first ones were held before that time.
            released -= first
        return max(0.0, released / max(MIN_WINDOW_S, now - since))

    def predict_wait(self, missing: int, now: float) -> float:
        """Return the time until there is room for a body, in seconds.

        Bodies that were refused before and have not returned go first.

        Parameters
        ----------
        missing : int
            Bytes by which the room is too small at present.
        now : float
            Seconds of the local clock.

        Returns
        -------
        wait_s : float
            Infinite if no bytes were released lately.
        """
        self._returns = [item for item in self._returns if item[0] > now]
        rate = self.compute_rate(now)
        if not rate:
            return float("inf")
        return (missing + sum(size for _, size in self._returns)) / rate

    def schedule_return(
        self,
        size: int,
        missing: int,
        longest_s: float,
        random: Callable[[], float],
        now: float,
    ) -> float:
        """Return the delay after which the caller of a body should return, in seconds.

        Parameters
        ----------
        size : int
            Size of the body, as far as it is known, in bytes.
        missing : int
            Bytes by which the room is too small at present.
        longest_s : float
            Longest delay that the caller honours, in seconds. It may ignore a longer
            one.
        random : callable
            Returns a float from 0 to 1.
        now : float
            Seconds of the local clock.

        Examples
        --------
        >>> forecast = RoomForecast()
        >>> forecast.record(2_000_000, 5.0)
        >>> [
        ...     forecast.schedule_return(1_000_000, 500_000, 9.0, lambda: 0.0, 6.0)
        ...     for _ in range(3)
        ... ]
        [0.5, 1.0, 1.5]
        """
        # Room comes in whole bodies, so with as much as this one takes.
        wait_s = self.predict_wait(max(missing, size), now)
        wait_s *= 1.0 + JITTER * random()
        delay_s = min(max(MIN_RETRY_AFTER_S, wait_s), longest_s)
        self._returns.append((now + delay_s, size))
        return delay_s
