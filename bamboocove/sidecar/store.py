"""Interface of the platform's store as the tasks of a node use it."""

from collections.abc import Callable
from typing import Protocol

from attrs import frozen

from bamboocove.errors import ErrorResult
from bamboocove.state.evacuation import EvacuationChange
from bamboocove.state.mesh import HostRecord, MeshConfig, MoveOrder, VersionRule
from bamboocove.state.quotas import QuotaLeaseRow, StoredQuotaLease


@frozen
class OperatorUpdate:
    """Configuration and move orders of the operator, from one read of the store.

    Parameters
    ----------
    config : MeshConfig or None
        The configuration, if it was among the rows read.
    orders : tuple of MoveOrder
        Orders to move services.
    revision : int
        Store revision up to which the update is complete.
    is_full_read : bool
        Whether all rows were read, not only those that changed.
    era : int
        Era of the store in which the revision was issued.
    evacuations : tuple of EvacuationChange
        Zones whose order of evacuation was read, or removed, oldest first.
    store_time_s : float or None
        Time of the store at which it read the rows, in seconds of its clock; None if
        it told none.
    asked_at : float
        When the store was asked, in seconds since the machine started.
    """

    config: MeshConfig | None
    orders: tuple[MoveOrder, ...]
    revision: int
    is_full_read: bool
    era: int = 0
    evacuations: tuple[EvacuationChange, ...] = ()
    store_time_s: float | None = None
    asked_at: float = 0.0


class Store(Protocol):
    """Operations on the store; each returns an ErrorResult if it fails."""

    @property
    def era(self) -> int | None:
        """Newest known era of the store; None until it is known."""

    def learn_era(self, era: int) -> None:
        """Discard what was read in earlier eras, and answers of these that are late."""

    async def read_operator(self) -> OperatorUpdate | ErrorResult:
        """Read the configuration and all orders of the operator."""

    async def watch_operator(
        self,
        revision: int,
        must_wait: bool = True,
        on_progress: Callable[[], None] | None = None,
    ) -> OperatorUpdate | ErrorResult:
        """Wait for changes that the operator makes after a revision.

        If not ``must_wait``, the call returns at once. ``on_progress`` is called when
        a part of the response has arrived.
        """

    async def read_hosts(self) -> list[HostRecord] | ErrorResult:
        """Read the records of all hosts."""

    async def write_host(self, record: HostRecord) -> int | HostRecord | ErrorResult:
        """Write the record of this host; return that of another process instead."""

    async def create_host(self, record: HostRecord) -> HostRecord | None | ErrorResult:
        """Write the record of this host unless there is one; return the stored one."""

    async def remove_host(self, record: HostRecord) -> bool | ErrorResult:
        """Remove a record; return False if the store holds another one by now."""

    async def read_rules(self) -> list[VersionRule] | ErrorResult:
        """Read the version rules of all services."""

    async def write_rule(self, rule: VersionRule) -> VersionRule | ErrorResult:
        """Write a rule unless the store holds a newer one; return the stored rule."""

    async def read_quota_lease(self, zone: str) -> StoredQuotaLease | ErrorResult:
        """Read the lease of the granter of an availability zone."""

    async def write_quota_lease(
        self, zone: str, row: QuotaLeaseRow, version: int
    ) -> StoredQuotaLease | ErrorResult:
        """Write a lease if its row has a version; else return the row it has."""
