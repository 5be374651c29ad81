"""Order numbers and version rules across restores of the store from a copy.

A restore issues versions again, and an order that was lost is written again with
another version. Orders are therefore numbered by era and version, and an order of a
later era with the target of the order that a rule knows counts as that order.
"""

from attrs import evolve

from bamboocove.state.mesh import VersionRule

# Versions of the store stay far below 2**44, and eras below 512 keep an order number
# within MAX_COUNT. In era 0 an order number is the version of earlier releases.
VERSIONS_PER_ERA = 2**44


def make_order_number(era: int, version: int) -> int:
    """Return the number of an order, by which orders of all eras are sorted.

    Examples
    --------
    >>> make_order_number(0, 12), make_order_number(1, 3) > make_order_number(0, 12)
    (12, True)
    """
    return era * VERSIONS_PER_ERA + version


def get_era(number: int) -> int:
    """Return the era of an order number."""
    return number // VERSIONS_PER_ERA


def get_version(number: int) -> int:
    """Return the version of the store at which an order was written."""
    return number % VERSIONS_PER_ERA


def is_same_order(rule: VersionRule, to_version: str, number: int) -> bool:
    """Return whether an order is the one of a rule, also if it has another era.

    Examples
    --------
    >>> rule = VersionRule("a", "v1", (), "v2", 30, "rolled_back")
    >>> is_same_order(rule, "v2", make_order_number(1, 12))
    True
    >>> is_same_order(rule, "v3", make_order_number(1, 12))
    False
    >>> is_same_order(rule, "v2", 31)
    False
    """
    if not rule.state:
        return False
    if number == rule.order_revision:
        return True
    is_other_era = get_era(number) != get_era(rule.order_revision)
    return is_other_era and rule.to_version == to_version


def align_rules(
    known: VersionRule, rule: VersionRule
) -> tuple[VersionRule, VersionRule]:
    """Return two rules of a service with equal numbers if they have the same order.

    A final state then supersedes a running one, whichever of the two was read in the
    later era.
    """
    if not rule.state or not is_same_order(known, rule.to_version, rule.order_revision):
        return known, rule
    number = max(known.order_revision, rule.order_revision)
    return (
        evolve(known, order_revision=number),
        evolve(rule, order_revision=number),
    )
