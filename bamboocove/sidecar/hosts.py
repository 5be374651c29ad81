"""The record of this host, and the host records from other nodes and the store."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.coordination.link_selection import LinkSelector
from bamboocove.coordination.record_repair import (
    RecordRepair,
    find_newer,
    find_older,
    get_versions,
)
from bamboocove.errors import ErrorResult
from bamboocove.protocol.mesh_messages import (
    HostRecords,
    HostsOffer,
    HostsRequest,
    encode_mesh_message,
)
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import HostSettings
from bamboocove.sidecar.suspect_requests import SuspectRequests
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.mesh import HostRecord

# Delay after which changed records change the links, in seconds, once there are any.
# The records of many hosts arrive at the same time after a start, each with a message
# of its own.
LINKS_UPDATE_DELAY_S = 0.25
# Records of hosts of other zones that a reader passes on within its zone in a second,
# when such a host greets it. After a start of all hosts most nodes have read them.
MAX_FORWARDED_RECORDS_PER_S = 5


@define
class HostDirectory:
    """Publishes the record of this host and merges the records of other hosts.

    Parameters
    ----------
    settings : HostSettings
        Identifier, availability zone and addresses of this host.
    fleet, inbound, hub
        The known hosts, the worker on this one, and the links.
    clock : reactor
        Source of time.
    incarnation : int
        Unix time in milliseconds at which the process started.
    write_record : callable
        Starts a write of this host's record to the store.
    broadcast : callable
        Sends a message to all nodes.
    forward_in_zone : callable
        Sends a message to all nodes of this zone, if this node is a reader.
    get_moving_versions : callable
        Returns the services in a move, each with the version it moves to.
    suspects : SuspectRequests
        Requests that crash workers.
    repair : RecordRepair
        Decides when records are compared with those of a reader.
    sequence : int
        Number of the current record of this process.
    """

    settings: HostSettings
    fleet: Fleet
    inbound: InboundProxy
    hub: LinkHub
    clock: Any
    incarnation: int
    write_record: Callable[[], None]
    broadcast: Callable[[Any], None]
    forward_in_zone: Callable[[Any], None]
    get_moving_versions: Callable[[], set[tuple[str, str]]]
    suspects: SuspectRequests
    repair: RecordRepair
    sequence: int = 0
    _selector: LinkSelector = field(init=False)
    _is_update_due: bool = False
    _forwarding_second: int = 0
    _forwarded: int = 0

    def __attrs_post_init__(self) -> None:
        self._selector = LinkSelector(self.settings.host_id, self.settings.zone)

    def get_record(self) -> HostRecord:
        """Return the current record of this host."""
        settings = self.settings
        return HostRecord(
            settings.host_id,
            self.incarnation,
            self.sequence,
            settings.advertised_address or settings.link_address,
            settings.zone,
            self.inbound.is_draining,
            self.inbound.published_worker,
            settings.link_bytes_per_s,
            dict(self.inbound.watch.departed.last_born_by_id),
            self.suspects.get_kept(),
        )

    def publish(self) -> None:
        """Send the changed record of this host to all nodes and to the store."""
        self.sequence += 1
        record = self.get_record()
        self.fleet.merge(record, self.clock.seconds())
        self.broadcast(HostRecords([to_plain(record)]))
        self.write_record()

    def merge_records(self, records: list[HostRecord]) -> list[HostRecord]:
        """Merge records of hosts; return the newer records. The links follow soon.

        A record of this host that another process wrote restores the worker.
        """
        changed = []
        for record in records:
            if record.host_id == self.settings.host_id:
                self._adopt_own_record(record)
            elif self.fleet.merge(record, self.clock.seconds()):
                self.suspects.merge_record(record)
                changed.append(record)
        if changed and not self._is_update_due:
            self._is_update_due = True
            delay_s = LINKS_UPDATE_DELAY_S if self.hub.peers_by_id else 0.0
            self.clock.callLater(delay_s, self._update_changed_links)
        return changed

    def _update_changed_links(self) -> None:
        self._is_update_due = False
        self.update_links(self.clock.seconds())

    def find_other_host(self, worker_id: str) -> str:
        """Return the host, other than this one, that a worker is on; empty if none."""
        for host_id, record in self.fleet.records_by_id.items():
            worker = record.worker
            if worker is not None and worker.worker_id == worker_id:
                if host_id != self.settings.host_id:
                    return host_id
        return ""

    def update_links(self, now: float) -> None:
        """Choose the hosts to keep links to, and dial or drop links accordingly."""
        fleet = self.fleet
        choice = self._selector.select(
            fleet.get_link_candidates(),
            fleet.get_lost_ids(now),
            self.get_moving_versions(),
            now,
        )
        fleet.select(choice, now)
        records = [fleet.records_by_id[host_id] for host_id in choice.link_ids]
        self.hub.set_peers(
            {record.host_id: tuple(record.address) for record in records},
            {record.host_id: record.zone for record in records},
        )

    def repair_records(self, link: Any, message: HostsOffer) -> None:
        """Compare records with a node whose checksum has differed for long."""
        fleet = self.fleet
        if not self.repair.should_ask(
            fleet.digest, message.digest, self.clock.seconds()
        ):
            return
        versions = get_versions(fleet.records_by_id.values())
        log("host.records-requested", records=len(versions))
        link.send_encoded(encode_mesh_message(HostsRequest(versions, False)))

    def answer_repair(self, link: Any, message: HostsRequest) -> None:
        """Send the newer records to a node, and ask for those that it has newer."""
        records_by_id = self.fleet.records_by_id
        newer = find_newer(records_by_id, message.versions, message.only_listed)
        if newer:
            plain = [to_plain(record) for record in newer]
            link.send_encoded(encode_mesh_message(HostRecords(plain)))
        if message.only_listed:
            return
        older = find_older(records_by_id, message.versions)
        if older:
            link.send_encoded(encode_mesh_message(HostsRequest(older, True)))

    def merge_records_message(self, message: HostRecords, is_relayed: bool) -> None:
        """Merge the records that another node sent, except unreadable ones.

        A new host of another zone greets the readers of this one, which pass its
        record on unless it was sent through them already (``is_relayed``).
        """
        records = []
        for plain in message.records:
            record = from_plain(HostRecord, plain)
            if isinstance(record, ErrorResult):
                log("host.record-unreadable", reason=record.reason)
            else:
                records.append(record)
        changed = self.merge_records(records)
        if not is_relayed:
            self._forward_records([r for r in changed if r.zone != self.settings.zone])

    def _forward_records(self, records: list[HostRecord]) -> None:
        second = int(self.clock.seconds())
        if second != self._forwarding_second:
            self._forwarding_second, self._forwarded = second, 0
        self._forwarded += len(records)
        if records and self._forwarded <= MAX_FORWARDED_RECORDS_PER_S:
            self.forward_in_zone(HostRecords([to_plain(record) for record in records]))

    def _adopt_own_record(self, record: HostRecord) -> None:
        """Take over the worker from the record of another process on this host.

        If necessary, raises the incarnation of this process above that of the record.
        """
        if record.incarnation == self.incarnation:
            return
        if record.incarnation > self.incarnation:
            # The system clock was set back in between; the records of this process
            # must supersede those of the previous one.
            self.incarnation = record.incarnation + 1
            self.publish()
        self.suspects.adopt_record(record)
        watch = self.inbound.watch
        watch.merge_departed(record.departed_by_id)
        if record.worker is not None:
            watch.adopt(record.worker)
