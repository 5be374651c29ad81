"""Host records of the mesh, and the views from which placement chooses hosts."""

from collections.abc import Iterable
from zlib import crc32

from attrs import define, field

from bamboocove.coordination.departures import LEAVING_STATES, DepartedStarts
from bamboocove.coordination.link_selection import LinkCandidate, LinkChoice
from bamboocove.coordination.placement import HostView, QueueReport
from bamboocove.sidecar.logs import log
from bamboocove.state.mesh import HostRecord

# Time after which an unreachable host is removed, in seconds. If it is only
# partitioned, the store still has its record.
UNREACHABLE_EXPIRY_S = 60.0
# Time after which an unreachable host is replaced by another one among the links of
# this node, in seconds. Most interruptions of a link are shorter.
LOST_AFTER_S = 3.0
# Workers of all hosts that are known to leave, the latest ones. More than a release of
# all workers of the largest fleet takes.
MAX_DEPARTED_WORKERS = 8192
# Time for which a host is suspended after one sign that it does not answer, in
# seconds; repeated while it stays unresponsive.
SUSPEND_S = 0.4


@define
class Fleet:
    """Holds the newest record of each host and a view of each ready worker.

    A host has a view only while its worker is ready and the host is not leaving. This
    node keeps links to selected hosts, and sends requests to no others.

    Parameters
    ----------
    own_id : str
        Identifier of this host.
    digest : int
        Checksum of all records, equal on nodes with equal records.
    departed : DepartedStarts
        Workers that leave. A later record does not revive one: the node of its host may
        have started again without knowing.
    evacuated_zones : frozenset of str
        Availability zones to whose workers no requests are sent.
    """

    own_id: str
    records_by_id: dict[str, HostRecord] = field(factory=dict)
    views_by_id: dict[str, HostView] = field(factory=dict)
    digest: int = 0
    departed: DepartedStarts = field(
        factory=lambda: DepartedStarts(capacity=MAX_DEPARTED_WORKERS)
    )
    evacuated_zones: frozenset[str] = frozenset()
    _selected_ids: set[str] = field(factory=set)
    _target_ids: set[str] = field(factory=set)
    _connected_ids: set[str] = field(factory=set)
    _unreachable_since_by_id: dict[str, float] = field(factory=dict)
    _views_by_service: dict[str, list[HostView]] = field(factory=dict)
    _linked_views_by_service: dict[str, list[HostView]] = field(factory=dict)
    _oldest_by_service: dict[str, str] = field(factory=dict)

    def merge(self, record: HostRecord, now: float) -> bool:
        """Store a record if it is newer than the known one; return whether it is."""
        known = self.records_by_id.get(record.host_id)
        if known is not None and known.age_key >= record.age_key:
            return False
        if known is not None:
            self.digest ^= _compute_digest(known)
        self.digest ^= _compute_digest(record)
        self.records_by_id[record.host_id] = record
        self._update_view(record, now)
        return True

    def _update_view(self, record: HostRecord, now: float) -> None:
        worker = record.worker
        view = self.views_by_id.get(record.host_id)
        if worker is not None and worker.state in LEAVING_STATES:
            self.departed.add(*worker.incarnation)
        is_usable = (
            worker is not None
            and worker.state == "ready"
            and not record.is_leaving
            and not self.departed.covers(worker)
        )
        if not is_usable:
            self.views_by_id.pop(record.host_id, None)
        elif (
            view is None
            or view.service != worker.service
            or view.version != worker.version
        ):
            self.views_by_id[record.host_id] = HostView(
                record.host_id,
                record.zone,
                worker.service,
                worker.version,
                worker.slots,
                cold_until=now + worker.cold_s,
                cold_per_s=worker.cold_per_s,
            )
            if not self.is_reachable(record.host_id):
                self.views_by_id[record.host_id].suspended_until = float("inf")
        else:
            view.slots = worker.slots
            view.busy_until = 0.0
            if worker.cold_per_s:
                view.cold_until = now + worker.cold_s
            elif view.cold_per_s:
                # It may be warm earlier than it has said.
                view.cold_until = now
            view.cold_per_s = worker.cold_per_s
        self._forget_cached_views()
        log(
            "host.record",
            host=record.host_id,
            incarnation=record.incarnation,
            sequence=record.sequence,
            is_leaving=record.is_leaving,
            worker=worker.worker_id if worker else "",
            service=worker.service if worker else "",
            version=worker.version if worker else "",
            state=worker.state if worker else "",
        )

    def _forget_cached_views(self) -> None:
        self._views_by_service = {}
        self._linked_views_by_service = {}
        self._oldest_by_service = {}

    def update_load(self, host_id: str, load: list[int], now: float) -> None:
        """Update the view of a host with the load that it reported.

        Parameters
        ----------
        host_id : str
            The host.
        load : list of int
            Running requests, slots, failures in thousandths, then the waits by
            priority in milliseconds, from priority -1 on.
        now : float
            Seconds of the local clock.
        """
        view = self.views_by_id.get(host_id)
        if view is not None:
            running, slots, failures, *waits = load
            report = QueueReport(running, slots, failures, tuple(waits))
            view.update_report(report, now)

    def get_views(self, service: str) -> list[HostView]:
        """Return the views of hosts whose worker runs a service and is ready."""
        views = self._views_by_service.get(service)
        if views is None:
            views = [v for v in self.views_by_id.values() if v.service == service]
            self._views_by_service[service] = views
        return views

    def get_linked_views(self, service: str) -> list[HostView]:
        """Return those views of a service to whose hosts requests can be sent."""
        views = self._linked_views_by_service.get(service)
        if views is None:
            views = [
                view
                for view in self.get_views(service)
                if self.is_reachable(view.host_id)
                and view.zone not in self.evacuated_zones
                and (view.host_id in self._target_ids or view.host_id == self.own_id)
            ]
            self._linked_views_by_service[service] = views
        return views

    def set_evacuated_zones(self, zones: frozenset[str]) -> None:
        """Exclude the hosts of some availability zones from placement."""
        self.evacuated_zones = zones
        self._linked_views_by_service = {}

    def get_zone_ids(self, zone: str) -> set[str]:
        """Return the hosts of an availability zone."""
        return {i for i, r in self.records_by_id.items() if r.zone == zone}

    def get_cold_ids(self) -> list[str]:
        """Return the hosts whose worker is cold and takes only a limited rate."""
        return [i for i, view in self.views_by_id.items() if view.cold_per_s]

    def get_oldest_version(self, service: str) -> str:
        """Return the version of the ready worker that was started first.

        It is the current version as long as no rule names one: workers of another
        version may already be ready for a move whose order has not arrived yet.
        """
        version = self._oldest_by_service.get(service)
        if version is None:
            records = self.records_by_id
            views = self.get_views(service)
            if not views:
                return ""
            oldest = min(views, key=lambda view: records[view.host_id].worker.born_ms)
            version = self._oldest_by_service[service] = oldest.version
        return version

    def get_link_candidates(self) -> list[LinkCandidate]:
        """Return all other hosts, with what their workers run if they are ready."""
        candidates = []
        for host_id, record in self.records_by_id.items():
            if host_id == self.own_id:
                continue
            view = self.views_by_id.get(host_id)
            service, version = (view.service, view.version) if view else ("", "")
            candidates.append(
                LinkCandidate(
                    host_id,
                    record.zone,
                    service,
                    version,
                    record.is_leaving,
                    record.link_bytes_per_s,
                )
            )
        return candidates

    def get_lost_ids(self, now: float) -> set[str]:
        """Return the selected hosts that are unreachable for ``LOST_AFTER_S``."""
        return {
            host_id
            for host_id, since in self._unreachable_since_by_id.items()
            if now - since > LOST_AFTER_S
        }

    def select(self, choice: LinkChoice, now: float) -> None:
        """Set the hosts that this node keeps links to."""
        for host_id in self._selected_ids.difference(choice.link_ids):
            self._unreachable_since_by_id.pop(host_id, None)
            self._set_suspended_until(host_id, float("inf"))
        added_ids = choice.link_ids.difference(self._selected_ids)
        self._selected_ids = choice.link_ids
        self._target_ids = choice.target_ids
        for host_id in added_ids:
            if host_id in self._connected_ids:
                self._set_suspended_until(host_id, 0.0)
            else:
                self._unreachable_since_by_id.setdefault(host_id, now)
        self._linked_views_by_service = {}

    def _set_suspended_until(self, host_id: str, until: float) -> None:
        view = self.views_by_id.get(host_id)
        if view is not None:
            view.suspended_until = until

    def suspend(self, host_id: str, now: float) -> None:
        """Exclude a host that does not answer from placement for ``SUSPEND_S``."""
        view = self.views_by_id.get(host_id)
        if view is not None:
            view.suspended_until = max(view.suspended_until, now + SUSPEND_S)

    def mark_unreachable(self, host_id: str, now: float) -> None:
        """Exclude a host from placement because its link was lost."""
        self._connected_ids.discard(host_id)
        if host_id in self._selected_ids:
            self._unreachable_since_by_id.setdefault(host_id, now)
        self._set_suspended_until(host_id, float("inf"))
        self._linked_views_by_service = {}

    def mark_reachable(self, host_id: str) -> None:
        """Admit a selected host to placement because its link was opened."""
        self._connected_ids.add(host_id)
        self._linked_views_by_service = {}
        if host_id not in self._selected_ids:
            return
        self._unreachable_since_by_id.pop(host_id, None)
        view = self.views_by_id.get(host_id)
        if view is not None:
            view.suspended_until = 0.0
            view.in_flight = 0

    def is_reachable(self, host_id: str) -> bool:
        """Return whether there is a link to a host, or the host is this one."""
        return host_id == self.own_id or (
            host_id in self._connected_ids and host_id in self._selected_ids
        )

    def remove_unreachable(self, now: float) -> list[str]:
        """Remove hosts unreachable for ``UNREACHABLE_EXPIRY_S``; return them."""
        lost = [
            host_id
            for host_id, since in self._unreachable_since_by_id.items()
            if now - since > UNREACHABLE_EXPIRY_S
        ]
        for host_id in lost:
            del self._unreachable_since_by_id[host_id]
            self._selected_ids.discard(host_id)
            record = self.records_by_id.pop(host_id, None)
            if record is not None:
                self.digest ^= _compute_digest(record)
            self.views_by_id.pop(host_id, None)
        if lost:
            self._forget_cached_views()
        return lost

    def has_reachable_worker(self, service: str) -> bool:
        """Return whether any ready worker of a service is on a reachable host."""
        return bool(self.get_linked_views(service))

    def count_ready(self, service: str, versions: Iterable[str]) -> int:
        """Count the ready workers of some versions of a service that are reachable.

        Of the hosts of a zone without a link, as many are taken to be reachable as of
        those with one.
        """
        wanted = set(versions)
        reached_by_zone: dict[str, int] = {}
        selected_by_zone: dict[str, int] = {}
        unselected_by_zone: dict[str, int] = {}
        for view in self.get_views(service):
            if view.version not in wanted:
                continue
            zone = view.zone
            if view.host_id not in self._selected_ids and view.host_id != self.own_id:
                unselected_by_zone[zone] = unselected_by_zone.get(zone, 0) + 1
                continue
            selected_by_zone[zone] = selected_by_zone.get(zone, 0) + 1
            if self.is_reachable(view.host_id):
                reached_by_zone[zone] = reached_by_zone.get(zone, 0) + 1
        estimated = sum(
            count * reached_by_zone.get(zone, 0) / selected_by_zone.get(zone, 1)
            for zone, count in unselected_by_zone.items()
        )
        return sum(reached_by_zone.values()) + round(estimated)


def _compute_digest(record: HostRecord) -> int:
    return crc32(f"{record.host_id}/{record.incarnation}/{record.sequence}".encode())
