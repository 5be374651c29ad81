"""Load reports that nodes send about their worker without being asked.

Load pattern: many nodes, each of which sends a worker a request only every few
seconds. Reports that arrive with responses are then too old to distinguish a busy
worker from an idle one, and requests queue at one worker while others have free
slots. The node of a busy worker therefore reports its load; no report means that
the worker has free slots. One node of each zone collects the reports and forwards
them in batches: if each busy node sent them to all others, 106 hosts under normal
load would exchange an estimated twelve thousand messages a second.
"""

from attrs import define, field

# A worker is busy if this fraction of its slots is in use.
BUSY_FRACTION = 0.5
# Minimum time in seconds between two reports of a host, and between two batches for
# the local zone and for the other zones. Several reports arrive within the time for
# which one is valid. The load is polled every 0.1 s, plus or minus a few ms. Batches
# for other zones are rarer, because traffic between zones costs money.
REPORT_INTERVAL_S = 0.18
LOCAL_ZONE_INTERVAL_S = 0.08
REMOTE_ZONES_INTERVAL_S = 0.38

# Load by host identifier, in the form in which replies carry it.
Loads = dict[str, list[int]]


@define
class LoadReporter:
    """Decides when this node reports the load of its worker."""

    _reported_at: float = float("-inf")
    _reported_busy: bool = False

    def should_report(self, running: int, waiting: int, slots: int, now: float) -> bool:
        """Return whether to send a report now; if so, record it as sent.

        A busy worker is reported at every interval, and once more when it is no
        longer busy.

        Parameters
        ----------
        running, waiting, slots : int
            Requests that the worker runs, requests that wait for it, and the most
            that it runs concurrently.
        now : float
            Seconds of the local clock.
        """
        is_busy = waiting > 0 or running >= BUSY_FRACTION * slots
        if (
            not (is_busy or self._reported_busy)
            or now - self._reported_at < REPORT_INTERVAL_S
        ):
            return False
        self._reported_at, self._reported_busy = now, is_busy
        return True


@define
class LoadRelay:
    """Load reports collected for the local zone and for the other zones."""

    _local_by_id: Loads = field(factory=dict)
    _remote_by_id: Loads = field(factory=dict)
    _local_sent_at: float = float("-inf")
    _remote_sent_at: float = float("-inf")

    def add(self, host_id: str, load: list[int]) -> None:
        """Add the report of a host of the local zone."""
        self._local_by_id[host_id] = self._remote_by_id[host_id] = load

    def add_remote(self, loads: Loads) -> None:
        """Add the reports of another zone, for the local zone only."""
        self._local_by_id.update(loads)

    def take(self, now: float) -> tuple[Loads, Loads]:
        """Remove and return the reports due for the local zone and the others."""
        local, remote = {}, {}
        if self._local_by_id and now - self._local_sent_at >= LOCAL_ZONE_INTERVAL_S:
            local, self._local_by_id, self._local_sent_at = self._local_by_id, {}, now
        if self._remote_by_id and now - self._remote_sent_at >= REMOTE_ZONES_INTERVAL_S:
            remote, self._remote_by_id, self._remote_sent_at = (
                self._remote_by_id,
                {},
                now,
            )
        return local, remote
