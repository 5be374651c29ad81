"""How slow a worker's machine is at this moment, from its own answers.

Load pattern: for some hundred milliseconds at a time a machine needs 2.5 times as long
for the same work. The measured service times follow only after the slow answers, when
the machine is fast again, so the worker's own figure scales the predictions meanwhile.
"""

from attrs import define

# The figure changes many times a second; an older one says nothing, in seconds.
MAX_AGE_S = 0.5
# Figures outside of this range, as multiples of the usual time, are not taken for one.
MIN_FACTOR = 0.1
MAX_FACTOR = 20.0
# Weight of the newest figure in the moving average, the same as that of the newest
# service time in the worker's queue: the average then belongs to the measured times.
USUAL_WEIGHT = 0.1


# Above this a worker reports its load as a busy one does: other nodes would otherwise
# take it for an idle one.
SLOW = 1.25


@define
class MachineLoad:
    """Latest figure of a worker about its machine."""

    _factor: float = 1.0
    _usual: float = 1.0
    _read_at: float = float("-inf")

    def record(self, factor: float, now: float) -> None:
        """Store a figure: the time that work takes, as a multiple of the usual time.

        Figures out of range are ignored.
        """
        if MIN_FACTOR <= factor <= MAX_FACTOR:
            self._factor, self._read_at = factor, now
            self._usual += USUAL_WEIGHT * (factor - self._usual)

    def is_slow(self, now: float) -> bool:
        """Return whether other nodes need to know that the machine is slow."""
        return self.get_slowdown(now) > SLOW

    def get_slowdown(self, now: float) -> float:
        """Return how long work takes now, relative to the measured service times.

        Examples
        --------
        >>> load = MachineLoad()
        >>> load.record(2.5, 10.0)
        >>> round(load.get_slowdown(10.1), 2), load.get_slowdown(10.6)
        (2.17, 1.0)
        """
        return self._factor / self._usual if now - self._read_at <= MAX_AGE_S else 1.0
