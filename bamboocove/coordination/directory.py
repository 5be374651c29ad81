"""Candidates of each service and version, kept until something changes."""

from collections import Counter

from attrs import define, field

from bamboocove.coordination.routing import (
    Candidates,
    count_callers,
    limit_workers,
    share_connections,
    split_zones,
)
from bamboocove.state.members import MemberTable
from bamboocove.state.snapshot import Snapshot
from bamboocove.state.upstreams import Upstream, UpstreamTable

# The member table is scanned at most this often while records change. It bounds
# the time that a draining worker still gets calls; a scan of 5,500 records
# takes milliseconds, during which calls wait.
SCAN_S = 0.5

_NONE = Candidates((), ())


@define
class Directory:
    """Workers by service and version, as they may be called now.

    Parameters
    ----------
    members : MemberTable
        Records of the fleet.
    zone : str
        Availability zone of this node.
    """

    members: MemberTable
    zone: str
    table: UpstreamTable = field(factory=UpstreamTable)
    _upstreams_by_service: dict[str, list[Upstream]] = field(factory=dict)
    _nodes_by_services: Counter[frozenset[str]] = field(factory=Counter)
    _candidates_by_key: dict[tuple[str, str], Candidates] = field(factory=dict)
    _snapshot: Snapshot | None = None
    _changes: int = -1
    _scanned_at: float = float("-inf")

    def refresh(self, snapshot: Snapshot, now: float) -> None:
        """Scan the member table if it is due."""
        age = now - self._scanned_at
        is_due = age >= SCAN_S and self._changes != self.members.changes
        if not is_due and snapshot is self._snapshot:
            return
        if is_due:
            self._scan(now)
        self._snapshot = snapshot
        self._candidates_by_key.clear()

    def _scan(self, now: float) -> None:
        self._scanned_at = now
        self._changes = self.members.changes
        live = self.members.get_live()
        workers = [(member, worker) for member in live for worker in member.workers]
        self.table.refresh(workers, now)
        self._nodes_by_services = Counter(
            frozenset(worker.service for worker in member.workers) for member in live
        )
        self._upstreams_by_service = {}
        for upstream in self.table.upstreams_by_address.values():
            if upstream.state == "ready":
                held = self._upstreams_by_service.setdefault(upstream.service, [])
                held.append(upstream)

    def get_candidates(self, service: str, version: str) -> Candidates:
        """Return the workers that calls to a version may go to."""
        candidates = self._candidates_by_key.get((service, version))
        if candidates is None:
            candidates = self._find_candidates(service, version)
            self._candidates_by_key[service, version] = candidates
        return candidates

    def _find_candidates(self, service: str, version: str) -> Candidates:
        upstreams = self._upstreams_by_service.get(service)
        if not upstreams:
            return _NONE
        snapshot = self._snapshot
        chosen = [held for held in upstreams if held.version == version]
        move = snapshot.moves_by_service.get(service)
        if move is not None and version == move.to_version:
            old = sum(held.version == move.from_version for held in upstreams)
            chosen = limit_workers(chosen, old, move.share, move.move_id)
        callers = count_callers(
            self._nodes_by_services, snapshot.services_by_name, service
        )
        for upstream in chosen:
            upstream.connection_share = share_connections(upstream.connections, callers)
        return split_zones(chosen, self.zone)
