"""The record of this host, and those that other hosts and the store tell."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve

from bamboocove.errors import ErrorResult
from bamboocove.protocol.mesh_messages import HostRecords
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.gate import Gate
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import HostSettings
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.mesh import HostRecord

# States of a worker that may serve again once its health check answers.
REVIVABLE_STATES = ("ready", "down")


@define
class HostDirectory:
    """Tells the fleet about this host, and takes the records of others.

    Parameters
    ----------
    settings : HostSettings
        Where this node stands.
    fleet, gate, hub
        The hosts, the worker on this one, and the links.
    clock : reactor
        Source of time.
    incarnation : int
        Unix time in milliseconds at which the process started.
    write_record : callable
        Has the record of this host written to the store.
    tell_all : callable
        Sends a message to all nodes.
    """

    settings: HostSettings
    fleet: Fleet
    gate: Gate
    hub: LinkHub
    clock: Any
    incarnation: int
    write_record: Callable[[], None]
    tell_all: Callable[[Any], None]
    sequence: int = 0

    def get_record(self) -> HostRecord:
        """Return the record of this host."""
        settings = self.settings
        return HostRecord(
            settings.host_id,
            self.incarnation,
            self.sequence,
            settings.advertised_address or settings.link_address,
            settings.zone,
            self.gate.is_closing,
            self.gate.worker,
        )

    def publish(self) -> None:
        """Tell all hosts and the store that this host has changed."""
        self.sequence += 1
        record = self.get_record()
        self.fleet.merge(record, self.clock.seconds())
        self.tell_all(HostRecords([to_plain(record)]))
        self.write_record()

    def take(self, records: list[HostRecord]) -> list[HostRecord]:
        """Take the records of hosts; return those that were news."""
        news = []
        for record in records:
            if record.host_id == self.settings.host_id:
                self._take_own(record)
            elif self.fleet.merge(record, self.clock.seconds()):
                news.append(record)
        self.hub.follow(self.fleet.get_addresses(), self.fleet.get_zones())
        return news

    def take_message(self, message: HostRecords) -> None:
        """Take the records that another node sent."""
        records = []
        for plain in message.records:
            record = from_plain(HostRecord, plain)
            if isinstance(record, ErrorResult):
                log("host.record-unreadable", reason=record.reason)
            else:
                records.append(record)
        self.take(records)

    def _take_own(self, record: HostRecord) -> None:
        """Use what an earlier process on this host knew of the worker."""
        if record.incarnation == self.incarnation:
            return
        if record.incarnation > self.incarnation:
            # The time of day was set back since; the records of this process
            # must supersede those of the one before.
            self.incarnation = record.incarnation + 1
            self.publish()
        worker = record.worker
        if self.gate.worker is None and worker is not None:
            # It is probed before it gets requests.
            state = "down" if worker.state in REVIVABLE_STATES else worker.state
            self.gate.set_worker(evolve(worker, state=state, sequence=0))
