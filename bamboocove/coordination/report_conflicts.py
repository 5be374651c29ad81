"""Decides between starts of a worker when the reports that reach a host disagree.

Of two starts the later one counts, and of two reports of a start the one with the
higher number. Both come from the reports, so a clock that was set back, or a report of
another writer, can make the worker that runs look outdated for good. What shows that it
runs is its answer to a health check, or that its reports go on while the accepted start
has fallen silent.
"""

import math

from attrs import define, field

from bamboocove.coordination.departures import LEAVING_STATES
from bamboocove.state.mesh import MeshWorker

# Time without an accepted report after which a start of the worker counts as silent, in
# seconds. Workers report every 1.5 s or so, and a report may be seconds late.
SILENCE_S = 5.0
# Identifiers that the worker has contradicted and that are remembered, the latest ones.
MAX_REFUTED = 16


@define
class ReportConflicts:
    """Reports that were passed over, and what contradicts the accepted ones."""

    _accepted_at: float = -math.inf
    _passed_over: MeshWorker | None = None
    _refuted_ids: dict[str, None] = field(factory=dict)

    def accept(self, now: float) -> None:
        """Record that a report was accepted, at a time in seconds."""
        self._accepted_at = now
        self._passed_over = None

    def refute(self, worker_id: str) -> None:
        """Record that the worker itself has answered with another identifier."""
        self._refuted_ids.pop(worker_id, None)
        self._refuted_ids[worker_id] = None
        if len(self._refuted_ids) > MAX_REFUTED:
            del self._refuted_ids[next(iter(self._refuted_ids))]

    def confirm(self, worker_id: str) -> None:
        """Record that the worker itself has answered with this identifier."""
        self._refuted_ids.pop(worker_id, None)

    def is_refuted(self, worker_id: str) -> bool:
        """Return whether reports of a worker need the answer of the worker itself."""
        return worker_id in self._refuted_ids

    def pass_over(self, held: MeshWorker, worker: MeshWorker, now: float) -> bool:
        """Record that a report looks outdated; return whether it counts all the same.

        It does if another report of its start came before it while the accepted start
        was silent. A worker that has announced that it leaves does not come back so.

        Parameters
        ----------
        held : MeshWorker
            The worker as accepted.
        worker : MeshWorker
            The report.
        now : float
            Seconds of the local clock.

        Examples
        --------
        >>> from attrs import evolve
        >>> held = MeshWorker("i-9", "orders", "v1", 4, born_ms=9000, sequence=1)
        >>> report = MeshWorker("i-1", "orders", "v1", 4, born_ms=1000, sequence=7)
        >>> conflicts = ReportConflicts()
        >>> conflicts.accept(0.0)
        >>> conflicts.pass_over(held, report, 1.5)
        False
        >>> conflicts.pass_over(held, evolve(report, sequence=9), 6.0)
        True
        """
        if worker.state in LEAVING_STATES:
            return False
        if held.state in LEAVING_STATES and held.worker_id == worker.worker_id:
            return False
        before, self._passed_over = self._passed_over, worker
        return (
            now - self._accepted_at > SILENCE_S
            and before is not None
            and before.incarnation == worker.incarnation
            and before.sequence < worker.sequence
        )
