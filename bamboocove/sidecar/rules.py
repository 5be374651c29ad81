"""Version rules: which versions of a service may run requests."""

from zlib import crc32

from attrs import define, evolve, field

from bamboocove.coordination.order_numbers import (
    align_rules,
    get_era,
    get_version,
    is_same_order,
)
from bamboocove.coordination.short_moves import MoveProgress
from bamboocove.state.mesh import MoveOrder, VersionRule

# Earlier orders of a service that a node remembers, the latest ones.
MAX_SUPERSEDED_ORDERS = 8


@define
class RuleTable:
    """Version rules, move orders and move progress by service.

    ``confirmed_by_service`` holds the newest rules that the store is known to hold.
    ``aliases_by_service`` holds the numbers that the last order had in earlier eras of
    the store, and ``superseded_by_service`` the targets and numbers of orders before
    it. A copy from which the store is restored may bring one of these back.
    """

    rules_by_service: dict[str, VersionRule] = field(factory=dict)
    orders_by_service: dict[str, MoveOrder] = field(factory=dict)
    confirmed_by_service: dict[str, VersionRule] = field(factory=dict)
    progress_by_service: dict[str, MoveProgress] = field(factory=dict)
    aliases_by_service: dict[str, list[int]] = field(factory=dict)
    superseded_by_service: dict[str, list[tuple[str, int]]] = field(factory=dict)

    def get(self, service: str) -> VersionRule | None:
        """Return the rule of a service, or None if no move was ever ordered."""
        return self.rules_by_service.get(service)

    def get_share(self, service: str) -> float:
        """Return the share of requests for the new version, from 0 to 1."""
        progress = self.progress_by_service.get(service)
        return 0.0 if progress is None else progress.share

    def is_allowed(self, service: str, version: str) -> bool:
        """Return whether a version may run requests."""
        rule = self.rules_by_service.get(service)
        return rule is None or rule.allows(version)

    def get_moving_versions(self) -> set[tuple[str, str]]:
        """Return the services in a move, each with the version it moves to."""
        return {
            (rule.service, rule.to_version)
            for rule in self.rules_by_service.values()
            if rule.state == "running"
        }

    def get_digest(self) -> int:
        """Return a checksum of the rules that is equal on nodes with equal rules."""
        states = sorted(
            (rule.service, rule.order_revision, rule.state)
            for rule in self.rules_by_service.values()
        )
        return crc32(repr(states).encode())

    def merge(self, rule: VersionRule, is_confirmed: bool) -> bool:
        """Store a rule if it supersedes the known one; return whether it did.

        Parameters
        ----------
        rule : VersionRule
            The rule.
        is_confirmed : bool
            Whether the store holds it. A decision that another node made by
            itself applies until a rule of the store replaces it.
        """
        known = self.rules_by_service.get(rule.service)
        if self.is_superseded(rule.service, rule.to_version, rule.order_revision):
            return False
        if is_confirmed:
            confirmed = self.confirmed_by_service.get(rule.service)
            if confirmed is None or rule.age_key > confirmed.age_key:
                self.confirmed_by_service[rule.service] = rule
        if known is not None:
            known, rule = align_rules(known, rule)
            is_newer = rule.age_key > known.age_key
            is_correction = is_confirmed and rule.age_key == known.age_key
            if rule == known or not (is_newer or is_correction):
                # The number may be higher than before.
                self.put(known)
                return False
        self.put(rule)
        return True

    def put(self, rule: VersionRule) -> None:
        """Put a rule in force, and remember the number of the one before it."""
        service = rule.service
        known = self.rules_by_service.get(service)
        self.rules_by_service[service] = rule
        if known is None or known.order_revision == rule.order_revision:
            return
        aliases = self.aliases_by_service.setdefault(service, [])
        aliases.append(known.order_revision)
        if is_same_order(known, rule.to_version, rule.order_revision):
            order = self.orders_by_service.get(service)
            if order is not None and order.revision == known.order_revision:
                order = evolve(order, revision=rule.order_revision)
                self.orders_by_service[service] = order
        else:
            superseded = self.superseded_by_service.setdefault(service, [])
            superseded += [(known.to_version, number) for number in aliases]
            aliases.clear()
            del superseded[:-MAX_SUPERSEDED_ORDERS]

    def is_superseded(self, service: str, to_version: str, number: int) -> bool:
        """Return whether an order is one that the last order has replaced.

        In a later era, an earlier order comes from a copy of the store; it has the
        same version there.
        """
        known = self.rules_by_service.get(service)
        if known is None:
            return False
        orders = self.superseded_by_service.get(service, [])
        if get_era(number) <= get_era(known.order_revision):
            return (to_version, number) in orders
        version = get_version(number)
        return known.to_version != to_version and any(
            to_version == earlier and version == get_version(earlier_number)
            for earlier, earlier_number in orders
        )

    def adopt(self, order: MoveOrder) -> bool:
        """Take an order that is read again for the known one, if it is the same.

        The rule takes over the number of the order, so that a repetition of the order
        in the same era is a new one.
        """
        known = self.rules_by_service.get(order.service)
        if known is None or known.order_revision >= order.revision:
            return False
        if not is_same_order(known, order.to_version, order.revision):
            return False
        self.put(evolve(known, order_revision=order.revision))
        self.orders_by_service[order.service] = order
        return True

    def list_orders(self) -> list[MoveOrder]:
        """Return the last order of each service, after those that it repeats.

        A node that was cut off during a restore takes the first order with the target
        that it knows in a new era for the known one, so it has to learn that one first.
        """
        orders = []
        for service, order in self.orders_by_service.items():
            era = get_era(order.revision)
            orders += [
                evolve(order, revision=number)
                for target, number in self.superseded_by_service.get(service, [])
                if era and target == order.to_version and get_era(number) == era
            ]
            orders.append(order)
        return orders

    def forget_unstored(self, stored: list[VersionRule]) -> list[str]:
        """Take the rules for unconfirmed that the store lacks; return their services.

        Parameters
        ----------
        stored : list of VersionRule
            All rules that the store holds.
        """
        stored_by_service = {rule.service: rule for rule in stored}
        lacking = []
        for service, rule in self.rules_by_service.items():
            if stored_by_service.get(service) != rule:
                self.confirmed_by_service.pop(service, None)
                lacking.append(service)
        return lacking
