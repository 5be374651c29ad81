"""Version rules: which versions of a service may run requests."""

from zlib import crc32

from attrs import define, field

from bamboocove.coordination.short_moves import MoveProgress
from bamboocove.state.mesh import MoveOrder, VersionRule


@define
class RuleTable:
    """Version rules, move orders and move progress by service.

    ``confirmed_by_service`` holds the newest rules that the store is known to hold.
    """

    rules_by_service: dict[str, VersionRule] = field(factory=dict)
    orders_by_service: dict[str, MoveOrder] = field(factory=dict)
    confirmed_by_service: dict[str, VersionRule] = field(factory=dict)
    progress_by_service: dict[str, MoveProgress] = field(factory=dict)

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
        if is_confirmed:
            confirmed = self.confirmed_by_service.get(rule.service)
            if confirmed is None or rule.age_key > confirmed.age_key:
                self.confirmed_by_service[rule.service] = rule
        if known is not None:
            is_newer = rule.age_key > known.age_key
            is_correction = is_confirmed and rule.age_key == known.age_key
            if rule == known or not (is_newer or is_correction):
                return False
        self.rules_by_service[rule.service] = rule
        return True
