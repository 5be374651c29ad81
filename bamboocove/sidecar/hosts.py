"""The record of this host, and the host records from other nodes and the store."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve

from bamboocove.errors import ErrorResult
from bamboocove.protocol.mesh_messages import HostRecords
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import HostSettings
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.mesh import HostRecord

# States from which a worker becomes ready once its health check succeeds.
RECOVERABLE_STATES = ("ready", "down")


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
    sequence: int = 0

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
            self.inbound.worker,
        )

    def publish(self) -> None:
        """Send the changed record of this host to all nodes and to the store."""
        self.sequence += 1
        record = self.get_record()
        self.fleet.merge(record, self.clock.seconds())
        self.broadcast(HostRecords([to_plain(record)]))
        self.write_record()

    def merge_records(self, records: list[HostRecord]) -> list[HostRecord]:
        """Merge records of hosts and update the links; return the newer records.

        A record of this host that another process wrote restores the worker.
        """
        changed = []
        for record in records:
            if record.host_id == self.settings.host_id:
                self._adopt_own_record(record)
            elif self.fleet.merge(record, self.clock.seconds()):
                changed.append(record)
        if changed:
            self.hub.set_peers(self.fleet.get_addresses(), self.fleet.get_zones())
        return changed

    def merge_records_message(self, message: HostRecords) -> None:
        """Merge the records that another node sent, except unreadable ones."""
        records = []
        for plain in message.records:
            record = from_plain(HostRecord, plain)
            if isinstance(record, ErrorResult):
                log("host.record-unreadable", reason=record.reason)
            else:
                records.append(record)
        self.merge_records(records)

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
        worker = record.worker
        if self.inbound.worker is None and worker is not None:
            # In state "down" the worker is probed before it gets requests.
            state = "down" if worker.state in RECOVERABLE_STATES else worker.state
            self.inbound.update_worker(evolve(worker, state=state, sequence=0))
