"""Applies and spreads the operator's orders to evacuate availability zones."""

from typing import Any

from attrs import define, field

from bamboocove.coordination.evacuation import EvacuationTable
from bamboocove.errors import ErrorResult
from bamboocove.protocol.mesh_messages import (
    WRONG_WORKER,
    EvacuationUpdate,
    encode_mesh_message,
)
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.refusals import EVACUATED_REASON
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.state.codec import from_plain
from bamboocove.state.evacuation import EvacuationOrders


@define(eq=False, slots=False)
class EvacuationControl:
    """Keeps the orders of a node, and enforces them at its origin and its worker.

    Parameters
    ----------
    application : SidecarApplication
        The node.
    """

    application: Any
    table: EvacuationTable = field(init=False)

    def __attrs_post_init__(self) -> None:
        self.table = EvacuationTable(
            lambda: self.application.settings.regions_by_zone,
            lambda zone: log("evacuation.unknown-zone", zone=zone),
        )

    def apply_update(self, update: OperatorUpdate) -> None:
        """Apply a read of the store; a reader also sends changed orders to all nodes.

        Other nodes that read the store only for lack of readers do not send them.
        """
        application = self.application
        is_changed = self.table.apply_read(
            update.evacuations,
            (update.era, update.revision),
            update.is_full_read,
            application.clock.seconds(),
        )
        if is_changed:
            self._enforce("store")
            if application.dissemination.is_reader():
                application.dissemination.broadcast(self.make_message())

    def apply_message(
        self, link: Any, message: EvacuationUpdate, is_relayed: bool
    ) -> None:
        """Apply orders of another node; send it newer ones if there are any.

        Parameters
        ----------
        link : object
            Link on which the message came.
        message : EvacuationUpdate
            The message.
        is_relayed : bool
            Whether this node has already relayed the message in its zone.
        """
        orders = from_plain(
            EvacuationOrders,
            {
                "revision": message.revision,
                "zones": message.zones,
                "store_era": message.store_era,
            },
        )
        if isinstance(orders, ErrorResult):
            log("evacuation.message-unreadable", reason=orders.reason)
            return
        application = self.application
        if self.table.merge(orders, application.clock.seconds()):
            self._enforce("peer")
            if not is_relayed and application.dissemination.is_reader():
                application.dissemination.broadcast_in_zone(self.make_message())
        elif self.table.must_answer(orders):
            link.send_encoded(encode_mesh_message(self.make_message()))

    def make_greeting(self) -> list[EvacuationUpdate]:
        """Return what to send on a new link: the orders, if there ever were any."""
        return [self.make_message()] if self.table.has_held_orders else []

    def repeat(self) -> None:
        """Send the orders as a reader offers its state, while they may be lacking."""
        application = self.application
        if self.table.should_repeat(application.clock.seconds()):
            application.dissemination.broadcast_offer(self.make_message())

    def make_message(self) -> EvacuationUpdate:
        """Return the message with the orders in force."""
        orders = self.table.orders
        return EvacuationUpdate(orders.store_era, orders.revision, sorted(orders.zones))

    def _enforce(self, source: str) -> None:
        application = self.application
        orders = self.table.orders
        log(
            "evacuation.changed",
            zones=",".join(sorted(orders.zones)),
            era=orders.store_era,
            revision=orders.revision,
            source=source,
        )
        application.fleet.set_evacuated_zones(orders.zones)
        is_evacuated = application.settings.zone in orders.zones
        application.inbound.set_evacuated(is_evacuated)
        if is_evacuated:
            application.forwarding.refuse_waiting(WRONG_WORKER, EVACUATED_REASON)
