"""When a node tells the others how busy its worker is.

Load pattern: many origins, each of which sends a worker a request only every few
seconds. The reports that come with answers are then too old to tell a busy worker
from an idle one, and requests wait at one while others have free slots. A node
beside a busy worker therefore tells its state; silence means that it has room.
One node of each zone collects these signs and hands them on together: sent by
each busy node to all others they were by estimate twelve thousand messages a
second on a calm day of 106 hosts.
"""

from attrs import define, field

# A worker with this part of its slots in use is told to be busy.
BUSY_FRACTION = 0.5
# Time between two signs, and between two tables of them, in seconds: several
# arrive within the time for which a report counts. The state is looked at every
# 0.1 s, give or take some ms. Tables for other zones are rarer, since that
# traffic is paid for.
REPORT_INTERVAL_S = 0.18
LOCAL_ZONE_INTERVAL_S = 0.08
REMOTE_ZONES_INTERVAL_S = 0.38

Loads = dict[str, list[int]]


@define
class LoadReporter:
    """What was told of the own worker's load, and when."""

    _reported_at: float = float("-inf")
    _reported_busy: bool = False

    def should_report(self, running: int, waiting: int, slots: int, now: float) -> bool:
        """Return whether to tell the state of the worker.

        Parameters
        ----------
        running, waiting, slots : int
            Requests at the worker, and those that it runs at a time.
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
    """Signs that wait to be handed on, to the own zone and to the others."""

    _local_by_id: Loads = field(factory=dict)
    _remote_by_id: Loads = field(factory=dict)
    _local_sent_at: float = float("-inf")
    _remote_sent_at: float = float("-inf")

    def add(self, host_id: str, load: list[int]) -> None:
        """Take the sign of a host of the own zone."""
        self._local_by_id[host_id] = self._remote_by_id[host_id] = load

    def take(self, now: float) -> tuple[Loads, Loads]:
        """Return the signs that are due for the own zone, and for the others."""
        near, far = {}, {}
        if self._local_by_id and now - self._local_sent_at >= LOCAL_ZONE_INTERVAL_S:
            near, self._local_by_id, self._local_sent_at = self._local_by_id, {}, now
        if self._remote_by_id and now - self._remote_sent_at >= REMOTE_ZONES_INTERVAL_S:
            far, self._remote_by_id, self._remote_sent_at = self._remote_by_id, {}, now
        return near, far
