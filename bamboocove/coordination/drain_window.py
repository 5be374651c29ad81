"""Planned stops: which requests a node still takes, and when it ends the others."""

from attrs import define, field, frozen

# Fraction of the grace period that is kept free of answers to requests taken late in a
# stop, for those that take longer than expected.
RESERVED_FRACTION = 0.1
# Time before the end of the grace period at which a node that runs on time ends what is
# open, in seconds: error responses are written, links closed, callers read.
FINISH_S = 0.24
# Time before the end of the grace period after which a node no longer waits for callers
# and peers, in seconds, so that the interpreter can exit by itself.
EXIT_S = 0.1
# Time for which the slowest response of a route is remembered at least, in seconds.
MEMORY_S = 30.0


@frozen
class DrainWindow:
    """Times that bound which requests a stopping node takes.

    Parameters
    ----------
    refuse_at : float
        Time from which requests are refused that may have no response at ``end_at``.
    end_at : float
        Time by which the responses must be there; both in seconds of the local clock.
    """

    refuse_at: float
    end_at: float

    def is_open(
        self, now: float, ends_by: float, slowest_s: float | None = None
    ) -> bool:
        """Return whether to take a request.

        Callers may keep sending for seconds after the readiness check has failed.

        Parameters
        ----------
        now, ends_by : float
            Time, and time at which the request ends at the latest, in seconds of the
            local clock.
        slowest_s : float, optional
            Time that such requests take at most, in seconds, if a request is to be
            taken because of it although its deadline is later.
        """
        if now < self.refuse_at or ends_by <= self.end_at:
            return True
        return slowest_s is not None and now + slowest_s <= self.end_at


NOT_DRAINING = DrainWindow(float("inf"), float("inf"))


@frozen
class StopSchedule:
    """Times of a planned stop.

    Parameters
    ----------
    started_at : float
        When the node was told to stop, in seconds of the local clock.
    grace_s : float
        Time after which the process is killed, in seconds.
    """

    started_at: float
    grace_s: float

    @property
    def last_answer_at(self) -> float:
        """When what no worker has got is refused, and nothing is started any more."""
        return self.started_at + (1 - RESERVED_FRACTION) * self.grace_s

    def get_end(self, lag_s: float) -> float:
        """Return when the requests at whose worker is still at work are ended.

        Parameters
        ----------
        lag_s : float
            Time by which the node's timers are late, in seconds: its last steps will
            take longer by as much.
        """
        return self._get_last(FINISH_S + lag_s)

    def get_flushed_by(self, lag_s: float) -> float:
        """Return when the node no longer waits for callers to read their answers.

        Parameters
        ----------
        lag_s : float
            Time by which the node's timers are late, in seconds.
        """
        return self._get_last(EXIT_S + lag_s)

    def _get_last(self, reserve_s: float) -> float:
        return max(self.last_answer_at, self.started_at + self.grace_s - reserve_s)


def estimate_lag(now: float, ticks: tuple[float, float], interval_s: float) -> float:
    """Return for how long a signal may have waited for the process, in seconds.

    Parameters
    ----------
    now : float
        Time at which the signal is handled, in seconds of the local clock.
    ticks : tuple of float
        Last two times at which a periodic timer has run. The last one may have run
        after the signal had been sent.
    interval_s : float
        Interval of that timer, in seconds.

    Examples
    --------
    >>> estimate_lag(8.25, (7.5, 8.0), 0.5)
    0.0
    >>> estimate_lag(8.0, (6.5, 8.0), 0.5)
    1.0
    """
    earlier, last = ticks
    return max(0.0, max(now - last, last - earlier) - interval_s)


@define
class SlowestResponses:
    """Longest response time of each route over the last 30 to 60 seconds."""

    _seconds_by_route: dict[str, float] = field(factory=dict)
    _earlier_by_route: dict[str, float] = field(factory=dict)
    _since: float = 0.0

    def record(self, route: str, seconds: float, now: float) -> None:
        """Add the time that one response took."""
        if now - self._since > MEMORY_S:
            is_recent = now - self._since <= 2 * MEMORY_S
            self._earlier_by_route = self._seconds_by_route if is_recent else {}
            self._seconds_by_route = {}
            self._since = now
        if seconds > self._seconds_by_route.get(route, 0.0):
            self._seconds_by_route[route] = seconds

    def get(self, route: str, default_s: float) -> float:
        """Return the longest time; ``default_s`` for a route without responses."""
        slowest_s = max(
            self._seconds_by_route.get(route, 0.0),
            self._earlier_by_route.get(route, 0.0),
        )
        return slowest_s or default_s
