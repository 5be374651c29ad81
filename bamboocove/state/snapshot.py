"""Immutable snapshots of the configuration that a node serves from."""

from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Config, Move, Service


@frozen
class Snapshot:
    """Part of a configuration that the call path of one node reads.

    Parameters
    ----------
    revision : int
        Revision of the configuration that it was compiled from.
    tenant : str
        Tenant of the configuration.
    services_by_name : dict of str to Service
        Services that this node routes to.
    moves_by_service : dict of str to Move
        Unended moves of those services.
    """

    revision: int = 0
    tenant: str = ""
    services_by_name: Mapping[str, Service] = field(factory=dict)
    moves_by_service: Mapping[str, Move] = field(factory=dict)

    def get_traffic_split(self, service: str) -> dict[str, float]:
        """Return the fraction of calls for each version that receives any."""
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
    """Build the snapshot of a node from the whole configuration.

    Parameters
    ----------
    config : Config
        The whole configuration.
    own_services : iterable of str
        Services whose workers run on this host; the snapshot contains these
        and their direct dependencies. Empty for all services.

    Returns
    -------
    snapshot : Snapshot or ErrorResult
        ``INVALID_CONFIG`` if a service depends on one that does not exist.
    """
    included = set()
    for name in own_services or config.services_by_name:
        service = config.services_by_name.get(name)
        if service is not None:
            included.update((name, *service.depends_on))
    missing = sorted(included - set(config.services_by_name))
    if missing:
        reason = f"no service {', '.join(missing)} in revision {config.revision}"
        return ErrorResult(ErrorKind.INVALID_CONFIG, reason)
    return Snapshot(
        revision=config.revision,
        tenant=config.tenant,
        services_by_name={name: config.services_by_name[name] for name in included},
        moves_by_service={
            move.service: move
            for move in config.get_open_moves()
            if move.service in included
        },
    )


@define
class ActiveSnapshot:
    """The snapshot that a node currently serves from.

    Parameters
    ----------
    current : Snapshot
        Snapshot that the call path reads.
    floor : int
        Lowest revision that may be applied. It is set when a node starts, from
        the revisions that the store or its peers report.
    """

    current: Snapshot = field(factory=Snapshot)
    floor: int = 0

    def swap(self, snapshot: Snapshot) -> ErrorResult | None:
        """Make a snapshot the current one.

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
        """Replace the snapshot by one of the same revision with other services.

        Used when workers of another service are announced on this host.

        Returns
        -------
        error : ErrorResult or None
            ``STALE`` if the revision differs from the current one.
        """
        if snapshot.revision != self.current.revision:
            reason = f"revision {snapshot.revision} is not {self.current.revision}"
            return ErrorResult(ErrorKind.STALE, reason)
        self.current = snapshot
        return None
