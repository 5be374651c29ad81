"""Counts the outcomes of calls to services with a move in windows of time."""

import math

from attrs import define, field
from hdrh.histogram import HdrHistogram

from bamboocove.metrics import LOWEST_LATENCY_US, make_histogram
from bamboocove.state.evidence import Evidence, OutcomeCounts
from bamboocove.state.snapshot import Snapshot

# Calls of the old version below which its 95th percentile is not used as the slow
# threshold.
OLD_CALLS_MIN = 20
# Percentile of the old version's latencies above which a call is slow.
SLOW_PERCENTILE = 95.0
# The percentile covers between one and two times this many windows, so that it
# follows changes of load during the day.
WINDOWS_PER_HISTOGRAM = 60

# Move, revision, route and request class.
CountKey = tuple[str, int, str, str]


@define
class _Counts:
    old_calls: int = 0
    old_failures: int = 0
    old_slow: int = 0
    new_calls: int = 0
    new_failures: int = 0
    new_slow: int = 0


@define
class _Latencies:
    """Latencies of the old version on one route and class, and the slow threshold."""

    current: HdrHistogram = field(factory=make_histogram)
    previous: HdrHistogram | None = None
    windows: int = 0
    threshold_s: float = math.inf

    def start_window(self) -> None:
        merged = self.current
        if self.previous is not None:
            merged = make_histogram()
            merged.add(self.current)
            merged.add(self.previous)
        if merged.get_total_count() >= OLD_CALLS_MIN:
            self.threshold_s = merged.get_value_at_percentile(SLOW_PERCENTILE) / 1e6
        self.windows += 1
        if self.windows % WINDOWS_PER_HISTOGRAM == 0:
            self.previous = self.current
            self.current = make_histogram()


@define
class EvidenceWindows:
    """Outcomes of the calls that one node dispatched, by window.

    The slow threshold of a window is fixed before it starts. Calls of both
    versions are counted against the same threshold in the same window.

    Parameters
    ----------
    node_id : str
        This node.
    window_s : float
        Length of a window in seconds; windows start at its multiples.
    """

    node_id: str
    window_s: float
    _window: int | None = None
    _counts_by_key: dict[CountKey, _Counts] = field(factory=dict)
    _latencies_by_key: dict[tuple[str, str, str], _Latencies] = field(factory=dict)
    _finished: list[Evidence] = field(factory=list)

    def advance(self, now: float) -> None:
        """Finish the current window if its end has passed.

        Parameters
        ----------
        now : float
            Unix time in seconds.
        """
        window = math.floor(now / self.window_s)
        if window == self._window:
            return
        if self._window is not None:
            self._finish()
        self._window = window
        for latencies in self._latencies_by_key.values():
            latencies.start_window()

    def _finish(self) -> None:
        for (
            move_id,
            revision,
            route,
            request_class,
        ), counts in self._counts_by_key.items():
            self._finished.append(
                Evidence(
                    move_id=move_id,
                    node_id=self.node_id,
                    revision=revision,
                    route=route,
                    request_class=request_class,
                    window_start=self._window * self.window_s,
                    window_s=self.window_s,
                    old=OutcomeCounts(
                        counts.old_calls, counts.old_failures, counts.old_slow
                    ),
                    new=OutcomeCounts(
                        counts.new_calls, counts.new_failures, counts.new_slow
                    ),
                )
            )
        self._counts_by_key = {}

    def record(
        self,
        move_id: str,
        revision: int,
        route: str,
        request_class: str,
        is_new: bool,
        is_failure: bool,
        seconds: float,
        now: float,
    ) -> None:
        """Count a finished call.

        Parameters
        ----------
        move_id, revision : str, int
            The move, and the revision in force when the call was dispatched.
        route, request_class : str
            Route and request class of the call.
        is_new : bool
            Whether it was sent to the new version.
        is_failure : bool
            Whether it failed.
        seconds : float
            Latency in seconds.
        now : float
            Unix time in seconds.
        """
        self.advance(now)
        latencies = self._get_latencies((move_id, route, request_class))
        key = (move_id, revision, route, request_class)
        counts = self._counts_by_key.get(key)
        if counts is None:
            counts = self._counts_by_key[key] = _Counts()
        is_slow = not is_failure and seconds > latencies.threshold_s
        if is_new:
            counts.new_calls += 1
            counts.new_failures += is_failure
            counts.new_slow += is_slow
            return
        counts.old_calls += 1
        counts.old_failures += is_failure
        counts.old_slow += is_slow
        if not is_failure:
            latencies.current.record_value(max(LOWEST_LATENCY_US, int(seconds * 1e6)))

    def is_slow(
        self, move_id: str, route: str, request_class: str, seconds: float
    ) -> bool:
        """Return whether a latency is above the slow threshold of this window."""
        key = (move_id, route, request_class)
        return seconds > self._get_latencies(key).threshold_s

    def _get_latencies(self, key: tuple[str, str, str]) -> _Latencies:
        latencies = self._latencies_by_key.get(key)
        if latencies is None:
            latencies = self._latencies_by_key[key] = _Latencies()
        return latencies

    def take(self, snapshot: Snapshot, now: float) -> list[Evidence]:
        """Return the evidence of finished windows since the last call.

        Latencies of moves that are not in the snapshot are deleted.
        """
        self.advance(now)
        open_ids = {move.move_id for move in snapshot.moves_by_service.values()}
        for key in list(self._latencies_by_key):
            if key[0] not in open_ids:
                del self._latencies_by_key[key]
        finished, self._finished = self._finished, []
        return finished
