"""What the tasks of a node need of the platform's store."""

from typing import Protocol

from attrs import frozen

from bamboocove.errors import ErrorResult
from bamboocove.state.mesh import HostRecord, MeshConfig, MoveOrder, VersionRule


@frozen
class OperatorUpdate:
    """What the operator wrote.

    Parameters
    ----------
    config : MeshConfig or None
        The configuration, if it was among the rows.
    orders : tuple of MoveOrder
        Orders to move services.
    revision : int
        Revision of the store up to which this is complete.
    is_full_read : bool
        Whether all rows were read, not only those that changed.
    """

    config: MeshConfig | None
    orders: tuple[MoveOrder, ...]
    revision: int
    is_full_read: bool


class Store(Protocol):
    """Operations on the store; each may return an ErrorResult instead."""

    async def read_operator(self) -> OperatorUpdate | ErrorResult:
        """Read what the operator wrote."""

    async def watch_operator(self, revision: int) -> OperatorUpdate | ErrorResult:
        """Wait for what the operator writes after a revision."""

    async def read_hosts(self) -> list[HostRecord] | ErrorResult:
        """Read the records of all hosts."""

    async def write_host(self, record: HostRecord) -> int | ErrorResult:
        """Write the record of this host."""

    async def remove_host(self, host_id: str) -> int | ErrorResult:
        """Remove the record of a host that is gone."""

    async def read_rules(self) -> list[VersionRule] | ErrorResult:
        """Read which versions of services may run requests."""

    async def write_rule(self, rule: VersionRule) -> VersionRule | ErrorResult:
        """Write a rule unless a newer one is there; return the one in force."""
