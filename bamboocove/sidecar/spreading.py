"""Spreads the configuration from the nodes that read the store to all others."""

import zlib
from collections.abc import Iterable
from typing import Any

from attrs import astuple, define, field

from bamboocove.coordination.config_changes import (
    ConfigChange,
    apply_change,
    find_change,
)
from bamboocove.coordination.load_signs import LoadTable
from bamboocove.coordination.outcome_batches import OutcomeBatches
from bamboocove.coordination.readers import ReaderRole, choose_readers
from bamboocove.errors import ErrorResult
from bamboocove.protocol.mesh_messages import (
    ConfigCopy,
    ConfigDelta,
    LoadUpdate,
    OutcomeBatch,
    OutcomeReport,
    RelayedMessage,
    StateOffer,
    StateRequest,
    encode_mesh_message,
)
from bamboocove.sidecar.fleet import Fleet
from bamboocove.sidecar.links import LinkHub
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import HostSettings
from bamboocove.sidecar.watch import StoreWatch
from bamboocove.state.codec import decode, encode
from bamboocove.state.mesh import MeshConfig

# A configuration of thousands of routes is below a tenth of this, in bytes; a
# copy that claims more is not decompressed.
MAX_CONFIG_BYTES = 64 * 1024 * 1024


@define(eq=False)
class Spreading:
    """Hands on configurations, and knows which nodes read them from the store.

    Parameters
    ----------
    settings : HostSettings
        Where this node stands.
    fleet, hub
        The hosts, and the links to them.
    role : ReaderRole
        Whether this node reads the store.
    clock : reactor
        Source of time.
    watch : StoreWatch
        The task that reads.
    """

    settings: HostSettings
    fleet: Fleet
    hub: LinkHub
    role: ReaderRole
    clock: Any
    watch: StoreWatch
    loads: LoadTable = field(factory=LoadTable)
    batches: OutcomeBatches = field(factory=OutcomeBatches)
    _copy: bytes = b""
    _copy_version: int = 0

    def get_ids_by_zone(self) -> dict[str, list[str]]:
        """Return the hosts with an open link, by availability zone."""
        by_zone: dict[str, list[str]] = {}
        for peer in self.hub.peers_by_id.values():
            record = self.fleet.records_by_id.get(peer.host_id)
            if (
                record is not None
                and peer.is_open
                and not peer.is_suspect
                and not record.is_leaving
            ):
                by_zone.setdefault(record.zone, []).append(peer.host_id)
        return by_zone

    def get_near_ids(self) -> list[str]:
        """Return the hosts of this zone with an open link."""
        return self.get_ids_by_zone().get(self.settings.zone, [])

    def must_read(self) -> bool:
        """Return whether this node watches the store."""
        return self.role.must_read(self.get_near_ids(), self.clock.seconds())

    def is_reading(self) -> bool:
        """Return whether this node watches the store, and hears it."""
        return self.watch.is_hearing(self.clock.seconds()) and self.must_read()

    def tell_all(self, message: Any) -> None:
        """Send a message to all nodes; those of other zones get it from readers.

        A zone that cannot be reached gets it from the greeting of the link that
        comes up next, or from the store.
        """
        data = encode_mesh_message(message)
        for zone, host_ids in self.get_ids_by_zone().items():
            if zone == self.settings.zone:
                self._send(host_ids, data)
            else:
                self._send(
                    choose_readers(host_ids), encode_mesh_message(RelayedMessage(data))
                )

    def tell_load(self, load: list[int]) -> None:
        """Tell how busy the worker on this host is to the node that collects it."""
        own_id = self.settings.host_id
        first = choose_readers([*self.get_near_ids(), own_id], 1)[0]
        if first == own_id:
            self.loads.add(own_id, load)
        else:
            self._send(
                [first], encode_mesh_message(LoadUpdate({own_id: load}, is_sign=True))
            )

    def tell_outcomes(self, outcomes: OutcomeReport) -> None:
        """Tell the outcomes of this host's worker to the node that collects them."""
        own_id = self.settings.host_id
        first = choose_readers([*self.get_near_ids(), own_id], 1)[0]
        if first == own_id:
            self.batches.add(outcomes)
        else:
            item = list(astuple(outcomes, recurse=False))
            self._send([first], encode_mesh_message(OutcomeBatch([item], is_sign=True)))

    def hand_on(self, now: float) -> None:
        """Send the loads and outcomes that were collected here."""
        self._hand_on_loads(now)
        items = self.batches.take(now)
        if not items:
            return
        data = encode_mesh_message(OutcomeBatch(items))
        for zone, host_ids in self.get_ids_by_zone().items():
            if zone == self.settings.zone:
                self._send(host_ids, data)
            else:
                self._send(
                    choose_readers(host_ids, 1),
                    encode_mesh_message(RelayedMessage(data)),
                )

    def _hand_on_loads(self, now: float) -> None:
        near, far = self.loads.take(now)
        if not near and not far:
            return
        for zone, host_ids in self.get_ids_by_zone().items():
            if zone == self.settings.zone:
                if near:
                    self._send(host_ids, encode_mesh_message(LoadUpdate(near)))
            elif far:
                first = choose_readers(host_ids, 1)
                self._send(
                    first,
                    encode_mesh_message(
                        RelayedMessage(encode_mesh_message(LoadUpdate(far)))
                    ),
                )

    def offer(self, offer: StateOffer) -> None:
        """Tell what a reader knows to its zone and to the readers of the others."""
        data = encode_mesh_message(offer)
        for zone, host_ids in self.get_ids_by_zone().items():
            is_near = zone == self.settings.zone
            self._send(host_ids if is_near else choose_readers(host_ids), data)

    def tell_near(self, message: Any) -> None:
        """Send a message to all nodes of this zone."""
        self._send(self.get_near_ids(), encode_mesh_message(message))

    def relay(self, message: RelayedMessage) -> None:
        """Hand on a message of another zone in this one."""
        self._send(self.get_near_ids(), message.data)

    def _send(self, host_ids: Iterable[str], data: bytes) -> None:
        for host_id in host_ids:
            self.hub.peers_by_id[host_id].link.send_encoded(data)

    def spread(self, before: MeshConfig, config: MeshConfig, source: str) -> None:
        """Hand on a configuration that has just come into force here."""
        if not before.version or not self.must_read():
            return
        change = find_change(before, config)
        data = encode_mesh_message(ConfigDelta(config.version, encode(change)))
        for zone, host_ids in self.get_ids_by_zone().items():
            if zone == self.settings.zone:
                receivers = host_ids
            elif source == "store":
                # Readers of other zones may be cut off from the store.
                receivers = choose_readers(host_ids)
            else:
                continue
            self._send(receivers, data)

    def get_copy(self, config: MeshConfig) -> bytes:
        """Return the message with the whole configuration."""
        if self._copy_version != config.version:
            data = zlib.compress(encode(config))
            self._copy = encode_mesh_message(ConfigCopy(config.version, data))
            self._copy_version = config.version
        return self._copy

    def read(
        self, link: Any, message: ConfigCopy | ConfigDelta, config: MeshConfig
    ) -> MeshConfig | None:
        """Return the configuration that a message leads to, if it is a newer one.

        A node that lacks the version before asks the sender for a whole copy.
        """
        if message.version <= config.version:
            return None
        if isinstance(message, ConfigCopy):
            return _check(message.version, _read_copy(message.data))
        change = _check(message.version, decode(ConfigChange, message.data))
        if change is None:
            return None
        changed = apply_change(config, change)
        if changed is None:
            link.send_encoded(encode_mesh_message(StateRequest(config.version)))
        return changed


def _read_copy(data: bytes) -> Any:
    try:
        plain = zlib.decompressobj().decompress(data, MAX_CONFIG_BYTES)
    except zlib.error as error:
        plain = b""
        log("config.refused", version=0, reason=f"not compressed: {error}")
    return decode(MeshConfig, plain)


def _check(version: int, value: Any) -> Any:
    if isinstance(value, ErrorResult):
        log("config.refused", version=version, reason=value.reason)
        return None
    return value
