"""Cold workers: when a worker is cold, and the rate that it takes then.

Load pattern: all workers of a zone return at once under full load. Each crashes if it
gets its usual load while it is cold. The node beside a worker sees all of its requests
and holds the rate; origins learn of it and place elsewhere what the worker cannot take.
"""

from attrs import define

from bamboocove.state.mesh import MeshService

# Part of what the platform tolerates beyond the rate in a second that a burst may take.
# The rest is a margin for requests that a busy node sends late and close together.
BURST_FRACTION = 0.5


def compute_burst(per_s: float, tolerance: float, slack: float) -> float:
    """Return how many requests may follow each other at once, at least 1.

    Parameters
    ----------
    per_s : float
        Requests per second that a cold worker takes.
    tolerance, slack : float
        It may get ``per_s`` times the tolerance, and the slack, in any second.

    Examples
    --------
    >>> compute_burst(10.0, 1.5, 8.0)
    6.5
    """
    return max(1.0, BURST_FRACTION * ((tolerance - 1.0) * per_s + slack))


@define
class ColdPhase:
    """What a node knows about the cold phase of its worker.

    Parameters
    ----------
    start_s : float
        Time for which a worker is cold after its start, in seconds.
    per_s : float
        Requests per second that it takes while cold; 0 for no limit.
    until : float
        Until then it is cold, in seconds of the local clock.
    """

    start_s: float = 0.0
    per_s: float = 0.0
    until: float = float("-inf")

    def configure(self, service: MeshService | None) -> None:
        """Apply the configuration of the worker's service, None if there is none."""
        self.start_s = service.cold_start_s if service is not None else 0.0
        self.per_s = service.cold_per_s if service is not None else 0.0

    def update(self, remaining_s: float | None, now: float) -> None:
        """Apply what the worker says; the latest statement holds.

        Parameters
        ----------
        remaining_s : float or None
            Remaining time of the phase in seconds; None if a worker that was out of
            reach answers and does not say. It may have started again and counts as cold
            until it says otherwise.
        now : float
            Seconds of the local clock.
        """
        if remaining_s is None:
            self.until = max(self.until, now + self.start_s)
        else:
            self.until = now + remaining_s

    def get_limit(self, now: float) -> float:
        """Return the requests per second that the worker takes; 0 for no limit."""
        return self.per_s if now < self.until else 0.0
