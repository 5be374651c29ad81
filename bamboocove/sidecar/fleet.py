"""Host records of the mesh, and the views from which placement chooses hosts."""

from collections.abc import Iterable

from attrs import define, field

from bamboocove.coordination.placement import HostView, QueueReport
from bamboocove.sidecar.logs import log
from bamboocove.state.mesh import HostRecord

# Time after which an unreachable host is removed, in seconds. If it is only
# partitioned, the store still has its record.
UNREACHABLE_EXPIRY_S = 60.0
# Time for which a host is suspended after one sign that it does not answer, in
# seconds; repeated while it stays unresponsive.
SUSPEND_S = 0.4


@define
class Fleet:
    """Holds the newest record of each host and a view of each ready worker.

    A host has a view only while its worker is ready and the host is not leaving.

    Parameters
    ----------
    own_id : str
        Identifier of this host.
    """

    own_id: str
    records_by_id: dict[str, HostRecord] = field(factory=dict)
    views_by_id: dict[str, HostView] = field(factory=dict)
    _unreachable_since_by_id: dict[str, float] = field(factory=dict)
    _views_by_service: dict[str, list[HostView]] = field(factory=dict)
    _oldest_by_service: dict[str, str] = field(factory=dict)

    def merge(self, record: HostRecord, now: float) -> bool:
        """Store a record if it is newer than the known one; return whether it is."""
        known = self.records_by_id.get(record.host_id)
        if known is not None and known.age_key >= record.age_key:
            return False
        if known is None and record.host_id != self.own_id:
            self._unreachable_since_by_id[record.host_id] = now
        self.records_by_id[record.host_id] = record
        self._update_view(record, now)
        return True

    def _update_view(self, record: HostRecord, now: float) -> None:
        worker = record.worker
        view = self.views_by_id.get(record.host_id)
        is_usable = (
            worker is not None and worker.state == "ready" and not record.is_leaving
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
            )
            if not self.is_reachable(record.host_id):
                self.views_by_id[record.host_id].suspended_until = float("inf")
        else:
            view.slots = worker.slots
            view.busy_until = 0.0
        self._views_by_service = {}
        self._oldest_by_service = {}
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

    def get_addresses(self) -> dict[str, tuple[str, int]]:
        """Return the addresses at which the other hosts accept links, by host."""
        return {
            host_id: tuple(record.address)
            for host_id, record in self.records_by_id.items()
            if host_id != self.own_id
        }

    def get_zones(self) -> dict[str, str]:
        """Return the availability zones of the other hosts, by host."""
        return {
            host_id: record.zone
            for host_id, record in self.records_by_id.items()
            if host_id != self.own_id
        }

    def suspend(self, host_id: str, now: float) -> None:
        """Exclude a host that does not answer from placement for ``SUSPEND_S``."""
        view = self.views_by_id.get(host_id)
        if view is not None:
            view.suspended_until = max(view.suspended_until, now + SUSPEND_S)

    def mark_unreachable(self, host_id: str, now: float) -> None:
        """Exclude a host from placement because its link was lost."""
        self._unreachable_since_by_id.setdefault(host_id, now)
        view = self.views_by_id.get(host_id)
        if view is not None:
            view.suspended_until = float("inf")

    def mark_reachable(self, host_id: str) -> None:
        """Readmit a host to placement because its link was opened."""
        self._unreachable_since_by_id.pop(host_id, None)
        view = self.views_by_id.get(host_id)
        if view is not None:
            view.suspended_until = 0.0
            view.in_flight = 0

    def is_reachable(self, host_id: str) -> bool:
        """Return whether there is a link to a host, or the host is this one."""
        return host_id not in self._unreachable_since_by_id

    def remove_unreachable(self, now: float) -> list[str]:
        """Remove hosts unreachable for ``UNREACHABLE_EXPIRY_S``; return them."""
        lost = [
            host_id
            for host_id, since in self._unreachable_since_by_id.items()
            if now - since > UNREACHABLE_EXPIRY_S
        ]
        for host_id in lost:
            del self._unreachable_since_by_id[host_id]
            self.records_by_id.pop(host_id, None)
            self.views_by_id.pop(host_id, None)
        if lost:
            self._views_by_service = {}
            self._oldest_by_service = {}
        return lost

    def has_reachable_worker(self, service: str) -> bool:
        """Return whether any ready worker of a service is on a reachable host."""
        return any(self.is_reachable(v.host_id) for v in self.get_views(service))

    def count_ready(self, service: str, versions: Iterable[str]) -> int:
        """Count the ready workers of some versions of a service that are reachable."""
        wanted = set(versions)
        return sum(
            view.version in wanted and self.is_reachable(view.host_id)
            for view in self.get_views(service)
        )
