"""The part of a configuration that one node serves, swapped in whole."""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Config, Move, Service


@frozen
class Snapshot:
    """Everything that the call path reads, closed under reference.

    Parameters
    ----------
    revision : int
        Revision of the configuration that it was compiled from.
    tenant : str
        Tenant of the configuration.
    services_by_name : dict of str to Service
        Services that this node routes to.
    moves_by_service : dict of str to Move
        Open moves of those services.
    """

    revision: int = 0
    tenant: str = ""
    services_by_name: Mapping[str, Service] = field(factory=dict)
    moves_by_service: Mapping[str, Move] = field(factory=dict)

    def get_split(self, service: str) -> dict[str, float]:
        """Return the share of calls of each version that gets any."""
        version = self.services_by_name[service].version
        move = self.moves_by_service.get(service)
        if move is None or move.share <= 0.0:
            return {version: 1.0}
        if move.share >= 1.0:
            return {move.to_version: 1.0}
        return {move.from_version: 1.0 - move.share, move.to_version: move.share}


def compile_snapshot(
    config: Config, own_services: Iterable[str] = ()
) -> Snapshot | ErrorResult:
    """Compile the snapshot of a node.

    Parameters
    ----------
    config : Config
        The whole configuration.
    own_services : iterable of str
        Services whose workers run on this host; the snapshot holds these and
        what they depend on directly. Empty for all services.

    Returns
    -------
    snapshot : Snapshot or ErrorResult
        ``INVALID_CONFIG`` if a service refers to one that does not exist.
    """
    wanted = set()
    for name in own_services or config.services_by_name:
        service = config.services_by_name.get(name)
        if service is not None:
            wanted.update((name, *service.depends_on))
    missing = sorted(wanted - set(config.services_by_name))
    if missing:
        reason = f"no service {', '.join(missing)} in revision {config.revision}"
        return ErrorResult(ErrorKind.INVALID_CONFIG, reason)
    return Snapshot(
        revision=config.revision,
        tenant=config.tenant,
        services_by_name={name: config.services_by_name[name] for name in wanted},
        moves_by_service={
            move.service: move
            for move in config.get_open_moves()
            if move.service in wanted
        },
    )


@define
class ActiveSnapshot:
    """The snapshot in force on a node.

    Parameters
    ----------
    current : Snapshot
        What the call path reads.
    floor : int
        Lowest revision that may be applied; set when a node starts, from what
        the store or its peers know of its past.
    """

    current: Snapshot = field(factory=Snapshot)
    floor: int = 0

    def swap(self, snapshot: Snapshot) -> ErrorResult | None:
        """Put a snapshot in force.

        Returns
        -------
        error : ErrorResult or None
            ``STALE`` if its revision is not newer or is below the floor.
        """
        if snapshot.revision <= self.current.revision or snapshot.revision < self.floor:
            reason = (
                f"revision {snapshot.revision} does not supersede "
                f"{max(self.current.revision, self.floor)}"
            )
            return ErrorResult(ErrorKind.STALE, reason)
        self.current = snapshot
        return None

    def rescope(self, snapshot: Snapshot) -> ErrorResult | None:
        """Replace the snapshot by one of the same revision for other services.

        Used when workers of another service are announced on this host.

        Returns
        -------
        error : ErrorResult or None
            ``STALE`` if the revision differs from the one in force.
        """
        if snapshot.revision != self.current.revision:
            reason = f"revision {snapshot.revision} is not {self.current.revision}"
            return ErrorResult(ErrorKind.STALE, reason)
        self.current = snapshot
        return None
