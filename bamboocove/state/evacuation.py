"""Orders of the operator to evacuate availability zones."""

from attrs import field, frozen
from attrs.validators import le

from bamboocove.state.mesh import MAX_COUNT


@frozen
class EvacuationChange:
    """An order for one zone as one row of the store gives it.

    Parameters
    ----------
    zone : str
        The availability zone.
    is_ordered : bool
        Whether the zone is to be evacuated; False if the row was removed.
    """

    zone: str
    is_ordered: bool


@frozen
class EvacuationOrders:
    """All zones under evacuation, as of one revision of the store.

    Parameters
    ----------
    revision : int
        Revision of the store up to which the zones are complete; -1 before anything is
        known.
    zones : frozenset of str
        Availability zones whose workers get no requests.
    store_era : int
        Era of the store; revisions of a later one supersede all of earlier ones.
    """

    revision: int = field(default=-1, validator=le(MAX_COUNT))
    zones: frozenset[str] = frozenset()
    store_era: int = field(default=0, validator=le(MAX_COUNT))

    @property
    def age_key(self) -> tuple[int, int]:
        """Sort key by which the newest orders supersede the others."""
        return (self.store_era, self.revision)
