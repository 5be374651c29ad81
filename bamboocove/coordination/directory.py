"""Cache of the workers that calls to each service and version may go to."""

from collections import Counter

from attrs import define, field

from bamboocove.coordination.routing import (
    Candidates,
    compute_connection_share,
    count_callers,
    select_new_workers,
    split_by_zone,
)
from bamboocove.state.members import LIVE_STATES, Member, MemberTable
from bamboocove.state.snapshot import Snapshot
from bamboocove.state.upstreams import UpstreamTable

# Minimum time between scans of the member table while records change. It limits
# how long a draining worker still gets calls.
SCAN_INTERVAL_S = 0.5

_NO_CANDIDATES = Candidates((), ())


@define
class WorkerDirectory:
    """Candidate workers by service and version, cached until members or moves change.

    Parameters
    ----------
    members : MemberTable
        Records of all members.
    zone : str
        Availability zone of this node.
    """

    members: MemberTable
    zone: str
    table: UpstreamTable = field(factory=UpstreamTable)
    _seen_by_id: dict[str, Member] = field(factory=dict)
    _nodes_by_services: Counter[frozenset[str]] = field(factory=Counter)
    _candidates_by_key: dict[tuple[str, str], Candidates] = field(factory=dict)
    _snapshot: Snapshot | None = None
    _scanned_changes: int = -1
    _scanned_at: float = float("-inf")

    def refresh(self, snapshot: Snapshot, now: float) -> None:
        """Scan the member table if a scan is due, and drop outdated candidates."""
        age = now - self._scanned_at
        is_due = (
            age >= SCAN_INTERVAL_S and self._scanned_changes != self.members.changes
        )
        if not is_due and snapshot is self._snapshot:
            return
        if is_due:
            self._scan(now)
        self._snapshot = snapshot
        self._candidates_by_key.clear()

    def _scan(self, now: float) -> None:
        self._scanned_at = now
        self._scanned_changes = self.members.changes
        seen = self._seen_by_id
        members_by_id = self.members.members_by_id
        for node_id, member in members_by_id.items():
            held = seen.get(node_id)
            if held is not member:
                self._replace(held, member, now)
                seen[node_id] = member
        if len(seen) > len(members_by_id):
            for node_id in set(seen) - set(members_by_id):
                self._replace(seen.pop(node_id), None, now)

    def _replace(self, old: Member | None, new: Member | None, now: float) -> None:
        old = old if old is not None and old.state in LIVE_STATES else None
        new = new if new is not None and new.state in LIVE_STATES else None
        self.table.update(old, new, now)
        for member, change in ((old, -1), (new, 1)):
            if member is not None:
                services = frozenset(worker.service for worker in member.workers)
                self._nodes_by_services[services] += change

    def get_candidates(self, service: str, version: str) -> Candidates:
        """Return the workers that calls to a version of a service may go to."""
        candidates = self._candidates_by_key.get((service, version))
        if candidates is None:
            candidates = self._find_candidates(service, version)
            self._candidates_by_key[service, version] = candidates
        return candidates

    def _find_candidates(self, service: str, version: str) -> Candidates:
        upstreams_by_address = self.table.upstreams_by_service.get(service)
        if not upstreams_by_address:
            return _NO_CANDIDATES
        upstreams = [
            upstream
            for upstream in upstreams_by_address.values()
            if upstream.state == "ready"
        ]
        snapshot = self._snapshot
        chosen = [upstream for upstream in upstreams if upstream.version == version]
        move = snapshot.moves_by_service.get(service)
        if move is not None and version == move.to_version:
            old_count = sum(
                upstream.version == move.from_version for upstream in upstreams
            )
            chosen = select_new_workers(chosen, old_count, move.share, move.move_id)
        callers = count_callers(
            self._nodes_by_services, snapshot.services_by_name, service
        )
        for upstream in chosen:
            upstream.connection_share = compute_connection_share(
                upstream.connections, callers
            )
        return split_by_zone(chosen, self.zone)
