"""Dissemination of configurations, loads and outcomes among the nodes of a mesh.

A message goes directly to all nodes of the sender's zone. In each other zone it
goes to the readers (the nodes that read the store), which relay it in their zone.
"""

import zlib
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from attrs import astuple, define, field

from bamboocove.coordination.config_changes import (
    ConfigChange,
    apply_change,
    compute_change,
)
from bamboocove.coordination.load_reports import LoadRelay
from bamboocove.coordination.outcome_batches import OutcomeBatches
from bamboocove.coordination.readers import (
    READERS_PER_ZONE,
    Duty,
    ReaderRole,
    choose_readers,
)
from bamboocove.coordination.relay_tree import (
    CatchUp,
    order_receivers,
    split_receivers,
)
from bamboocove.errors import ErrorResult
from bamboocove.protocol.mesh_messages import (
    ConfigCopy,
    ConfigDelta,
    EvacuationUpdate,
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

# Size in bytes at which decompression of a received configuration stops. One with
# thousands of routes takes less than a tenth of it.
MAX_CONFIG_BYTES = 64 * 1024 * 1024


@define(eq=False)
class Dissemination:
    """Sends, relays and collects messages for all nodes or those of a zone.

    Parameters
    ----------
    settings : HostSettings
        Identifier and availability zone of this node.
    fleet, hub
        The hosts, and the links to them.
    role : ReaderRole
        Which node reads the store.
    clock : reactor
        Source of time.
    watch : StoreWatch
        The task that reads the store.
    load_relay : LoadRelay
        Loads of this zone's workers that this node has collected.
    on_outcomes : callable
        Called with each sum of outcomes that this node sends.
    outcome_batches : OutcomeBatches
        Outcomes of this zone's workers that this node has collected.
    catch_up : CatchUp
        Decides when this node requests a configuration that it lacks.
    """

    settings: HostSettings
    fleet: Fleet
    hub: LinkHub
    role: ReaderRole
    clock: Any
    watch: StoreWatch
    on_outcomes: Callable[[OutcomeReport], None]
    load_relay: LoadRelay = field(factory=LoadRelay)
    outcome_batches: OutcomeBatches = field(init=False)
    catch_up: CatchUp = field(factory=CatchUp)
    _outcome_collector_id: str = ""
    _full_config_message: bytes = b""
    _full_config_version: int = 0

    def __attrs_post_init__(self) -> None:
        self.outcome_batches = OutcomeBatches(self.settings.zone)

    def get_connected_ids_by_zone(self) -> dict[str, list[str]]:
        """Return the hosts with an open, responsive link, by availability zone.

        Hosts that are about to stop are left out.
        """
        ids_by_zone: dict[str, list[str]] = {}
        for peer in self.hub.peers_by_id.values():
            record = self.fleet.records_by_id.get(peer.host_id)
            if (
                record is not None
                and peer.is_open
                and not peer.is_suspect
                and not record.is_leaving
            ):
                ids_by_zone.setdefault(record.zone, []).append(peer.host_id)
        return ids_by_zone

    def get_zone_peer_ids(self) -> list[str]:
        """Return the connected hosts of this node's availability zone."""
        return self.get_connected_ids_by_zone().get(self.settings.zone, [])

    def _get_link_rates(self) -> dict[str, int]:
        """Return the link rates of this host and of the connected ones of its zone."""
        rates_by_id = self._look_up_link_rates(self.get_zone_peer_ids())
        rates_by_id[self.settings.host_id] = self.settings.link_bytes_per_s
        return rates_by_id

    def _look_up_link_rates(self, host_ids: Iterable[str]) -> dict[str, int]:
        records_by_id = self.fleet.records_by_id
        return {
            host_id: records_by_id[host_id].link_bytes_per_s for host_id in host_ids
        }

    def _choose_readers(
        self, host_ids: Iterable[str], count: int = READERS_PER_ZONE
    ) -> list[str]:
        rates_by_id = self._look_up_link_rates(host_ids)
        return choose_readers(rates_by_id, count, rates_by_id)

    def _choose_collector(self) -> str:
        """Return the host that collects the loads and outcomes of this zone."""
        rates_by_id = self._get_link_rates()
        return choose_readers(rates_by_id, 1, rates_by_id)[0]

    def get_duty(self) -> Duty:
        """Return what this node does for the configuration of its zone."""
        return self.role.get_duty(self._get_link_rates(), self.clock.seconds())

    def is_reader(self) -> bool:
        """Return whether this node reads the store for its zone."""
        return self.get_duty() is Duty.READER

    def is_chosen_reader(self) -> bool:
        """Return whether this node is one of the first readers of its zone."""
        rates_by_id = self._get_link_rates()
        chosen = choose_readers(rates_by_id, rates_by_id=rates_by_id)
        return self.settings.host_id in chosen

    def is_reading(self) -> bool:
        """Return whether this node watches the store and receives its changes."""
        return self.watch.is_receiving_changes(
            self.clock.seconds()
        ) and self.get_duty() in (Duty.READER, Duty.SUBSTITUTE)

    def broadcast(self, message: Any) -> None:
        """Send a message to all nodes, to those of other zones through their readers.

        An unreachable zone catches up when the next link to it opens, or from the
        store.
        """
        data = encode_mesh_message(message)
        for zone, host_ids in self.get_connected_ids_by_zone().items():
            if zone == self.settings.zone:
                self._send(host_ids, data)
            else:
                self._send(
                    self._choose_readers(host_ids),
                    encode_mesh_message(RelayedMessage(data)),
                )

    def send_load(self, load: list[int]) -> None:
        """Send the load of this host's worker to the collecting node of the zone."""
        own_id = self.settings.host_id
        collector_id = self._choose_collector()
        if collector_id == own_id:
            self.load_relay.add(own_id, load)
        else:
            self._send(
                [collector_id],
                encode_mesh_message(LoadUpdate({own_id: load}, is_sign=True)),
            )

    def send_outcomes(self, outcomes: OutcomeReport) -> bool:
        """Send outcomes of this host's worker to the collecting node of the zone.

        Returns
        -------
        is_new_collector : bool
            Whether the previous outcomes went to another node. This one lacks the
            outcomes of routes that have not changed since.
        """
        own_id = self.settings.host_id
        collector_id = self._choose_collector()
        is_new_collector = collector_id != self._outcome_collector_id
        self._outcome_collector_id = collector_id
        if collector_id == own_id:
            self.outcome_batches.add(outcomes)
        else:
            item = list(astuple(outcomes, recurse=False))
            self._send(
                [collector_id], encode_mesh_message(OutcomeBatch([item], is_sign=True))
            )
        return is_new_collector

    def send_collected(self, now: float) -> None:
        """Send the collected loads and outcomes that are due."""
        self._send_collected_loads(now)
        items = self.outcome_batches.take(now)
        for item in items:
            self.on_outcomes(OutcomeReport(*item))
        zone_items = items + self.outcome_batches.take_remote(now)
        if zone_items:
            self.broadcast_in_zone(OutcomeBatch(zone_items))
        if items:
            data = encode_mesh_message(
                RelayedMessage(encode_mesh_message(OutcomeBatch(items)))
            )
            for zone, host_ids in self.get_connected_ids_by_zone().items():
                if zone != self.settings.zone:
                    self._send(self._choose_readers(host_ids, 1), data)

    def _send_collected_loads(self, now: float) -> None:
        own_zone_loads, other_zone_loads = self.load_relay.take(now)
        if not own_zone_loads and not other_zone_loads:
            return
        for zone, host_ids in self.get_connected_ids_by_zone().items():
            if zone == self.settings.zone:
                if own_zone_loads:
                    self._send(
                        host_ids, encode_mesh_message(LoadUpdate(own_zone_loads))
                    )
            elif other_zone_loads:
                receivers = self._choose_readers(host_ids, 1)
                self._send(
                    receivers,
                    encode_mesh_message(
                        RelayedMessage(
                            encode_mesh_message(LoadUpdate(other_zone_loads))
                        )
                    ),
                )

    def broadcast_offer(self, offer: StateOffer | EvacuationUpdate) -> None:
        """Offer a reader's state to its zone and to the readers of other zones."""
        data = encode_mesh_message(offer)
        for zone, host_ids in self.get_connected_ids_by_zone().items():
            is_own_zone = zone == self.settings.zone
            self._send(
                host_ids if is_own_zone else self._choose_readers(host_ids), data
            )

    def broadcast_in_zone(self, message: Any) -> None:
        """Send a message to all connected nodes of this zone."""
        self._send(self.get_zone_peer_ids(), encode_mesh_message(message))

    def relay_to_zones(self, message: Any) -> None:
        """Send a message to all nodes of other zones, through one reader of each."""
        data = encode_mesh_message(RelayedMessage(encode_mesh_message(message)))
        for zone, host_ids in self.get_connected_ids_by_zone().items():
            if zone != self.settings.zone:
                self._send(self._choose_readers(host_ids, 1), data)

    def relay(self, message: RelayedMessage) -> None:
        """Forward a message from another zone to all nodes of this zone."""
        self._send(self.get_zone_peer_ids(), message.data)

    def _send(self, host_ids: Iterable[str], data: bytes) -> None:
        for host_id in host_ids:
            self.hub.peers_by_id[host_id].link.send_encoded(data)

    def propagate_config(
        self, before: MeshConfig, config: MeshConfig, source: str
    ) -> None:
        """Send what a newly applied configuration changes, if this node is a reader.

        The first configuration after the start is not propagated. A node that reads
        the store only because it hears no reader does not propagate either: if all
        nodes of a zone did, their links would be saturated.

        Parameters
        ----------
        before, config : MeshConfig
            Configurations before and after the change.
        source : {"store", "peer"}
            Where this node received it. A change from the store also goes to the
            readers of other zones.
        """
        if not before.version or not self.is_reader():
            return
        if source == "peer" and not self.is_chosen_reader():
            return
        data = zlib.compress(encode(compute_change(before, config)))
        for zone, host_ids in self.get_connected_ids_by_zone().items():
            if zone == self.settings.zone:
                self._send_change(config.version, data, host_ids)
            elif source == "store":
                # Readers of other zones may have lost their connection to the store.
                self._send_change(config.version, data, self._choose_readers(host_ids))

    def _send_change(self, version: int, data: bytes, host_ids: Sequence[str]) -> None:
        if not host_ids:
            return
        receivers = order_receivers(self.settings.host_id, host_ids)
        direct = split_receivers(receivers, len(data))
        for host_id, relay_ids in direct:
            message = ConfigDelta(version, data, list(relay_ids))
            self._send([host_id], encode_mesh_message(message))
        log(
            "config.sent",
            version=version,
            bytes=len(data),
            hosts=len(direct),
            relayed=len(receivers) - len(direct),
        )

    def relay_change(self, message: ConfigDelta) -> None:
        """Relay a change to the hosts that its sender has named."""
        if not message.relay_ids:
            return
        connected_ids = set(self.get_zone_peer_ids())
        host_ids = [
            host_id for host_id in message.relay_ids if host_id in connected_ids
        ]
        self._send_change(message.version, message.data, host_ids)

    def request_if_behind(
        self, link: Any, offered_version: int, config: MeshConfig
    ) -> None:
        """Request the configuration from a node that has a newer one, if it is due."""
        now = self.clock.seconds()
        if self.catch_up.should_request(config.version, offered_version, now):
            link.send_encoded(encode_mesh_message(StateRequest(config.version)))

    def get_full_config_message(self, config: MeshConfig) -> bytes:
        """Return the encoded message with a whole configuration, cached by version."""
        if self._full_config_version != config.version:
            data = zlib.compress(encode(config))
            self._full_config_message = encode_mesh_message(
                ConfigCopy(config.version, data)
            )
            self._full_config_version = config.version
        return self._full_config_message

    def decode_config(
        self, message: ConfigCopy | ConfigDelta, config: MeshConfig
    ) -> MeshConfig | None:
        """Return the configuration that results from a message.

        Returns None if the message is invalid or not newer, or if it is a change to
        a version that this node does not have.
        """
        if message.version <= config.version:
            return None
        data = _decompress(message.data)
        if isinstance(message, ConfigCopy):
            return _accept_or_log(message.version, decode(MeshConfig, data))
        change = _accept_or_log(message.version, decode(ConfigChange, data))
        return None if change is None else apply_change(config, change)


def _decompress(data: bytes) -> bytes:
    try:
        return zlib.decompressobj().decompress(data, MAX_CONFIG_BYTES)
    except zlib.error as error:
        log("config.refused", version=0, reason=f"not compressed: {error}")
        return b""


def _accept_or_log(version: int, value: Any) -> Any:
    if isinstance(value, ErrorResult):
        log("config.refused", version=version, reason=value.reason)
        return None
    return value
