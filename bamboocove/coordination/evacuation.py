"""Evacuation of availability zones: which orders are in force, and who repeats them.

Each statement about the zones is exact for one (era, revision) of the store, so the
newest one that a node has heard is always the best one, whatever the order in which
messages arrive.
"""

from collections.abc import Callable, Collection, Iterable

from attrs import define, evolve, field

from bamboocove.state.evacuation import EvacuationChange, EvacuationOrders

# Time for which readers go on repeating that no zone is evacuated after the last order
# was cancelled, in seconds. Longer than the hosts of a partitioned zone are known.
REPEAT_AFTER_CANCEL_S = 60.0


def apply_changes(
    orders: EvacuationOrders,
    changes: Iterable[EvacuationChange],
    position: tuple[int, int],
    is_full_read: bool,
) -> EvacuationOrders | None:
    """Return the orders after one read of the store, or None if it is not newer.

    Parameters
    ----------
    orders : EvacuationOrders
        Orders known before.
    changes : iterable of EvacuationChange
        Rows that were read, oldest first.
    position : (int, int)
        Era and revision of the store up to which the rows are complete.
    is_full_read : bool
        Whether all rows were read: zones without a row are then not evacuated.

    Examples
    --------
    >>> ordered = EvacuationChange("a", True)
    >>> orders = apply_changes(EvacuationOrders(), [ordered], (0, 5), True)
    >>> sorted(orders.zones)
    ['a']
    >>> apply_changes(orders, [], (0, 6), True).zones
    frozenset()
    """
    era, revision = position
    if position <= orders.age_key:
        return None
    if not is_full_read and (orders.revision < 0 or orders.store_era != era):
        # Changes say nothing about the rows that did not change.
        return None
    zones = set() if is_full_read else set(orders.zones)
    for change in changes:
        (zones.add if change.is_ordered else zones.discard)(change.zone)
    return EvacuationOrders(revision, frozenset(zones), era)


@define
class EvacuationTable:
    """The orders in force at a node.

    Parameters
    ----------
    get_zones : callable
        Returns the availability zones of the deployment; orders for others are ignored.
    on_unknown_zone : callable
        Called with each zone that is ignored.
    orders : EvacuationOrders
        Newest orders known.
    has_held_orders : bool
        Whether any zone was under evacuation since the process started. Until then the
        node sends no message about evacuations.
    """

    get_zones: Callable[[], Collection[str]]
    on_unknown_zone: Callable[[str], None]
    orders: EvacuationOrders = field(factory=EvacuationOrders)
    has_held_orders: bool = False
    _cancelled_at: float = float("-inf")

    def apply_read(
        self,
        changes: Iterable[EvacuationChange],
        position: tuple[int, int],
        is_full_read: bool,
        now: float,
    ) -> bool:
        """Apply a read of the store; return whether the zones have changed.

        Parameters
        ----------
        changes, position, is_full_read
            As for ``apply_changes``.
        now : float
            Seconds of the local clock.
        """
        known = []
        for change in changes:
            if change.zone in self.get_zones():
                known.append(change)
            elif change.is_ordered:
                self.on_unknown_zone(change.zone)
        orders = apply_changes(self.orders, known, position, is_full_read)
        return orders is not None and self._use(orders, now)

    def merge(self, orders: EvacuationOrders, now: float) -> bool:
        """Apply the orders that another node sent if they are newer.

        Returns
        -------
        is_changed : bool
            Whether the zones have changed.
        """
        if orders.revision < 0 or orders.age_key <= self.orders.age_key:
            return False
        zones = self.get_zones()
        for zone in sorted(orders.zones.difference(zones)):
            self.on_unknown_zone(zone)
        known = frozenset(orders.zones.intersection(zones))
        return self._use(evolve(orders, zones=known), now)

    def _use(self, orders: EvacuationOrders, now: float) -> bool:
        before, self.orders = self.orders, orders
        if orders.zones:
            self.has_held_orders = True
        elif before.zones:
            self._cancelled_at = now
        return orders.zones != before.zones

    def must_answer(self, orders: EvacuationOrders) -> bool:
        """Return whether the sender of orders lacks what this node knows."""
        return (
            orders.age_key < self.orders.age_key and orders.zones != self.orders.zones
        )

    def should_repeat(self, now: float) -> bool:
        """Return whether a reader of the store sends the orders again.

        ``now`` is in seconds of the local clock.
        """
        return bool(
            self.orders.zones or now - self._cancelled_at < REPEAT_AFTER_CANCEL_S
        )
