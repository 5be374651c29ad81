"""Changes between versions of the mesh configuration, sent between nodes."""

from collections.abc import Mapping
from typing import Any

from attrs import evolve, frozen

from bamboocove.state.mesh import ClientAccount, HostRoute, MeshConfig, MeshService


@frozen
class ConfigChange:
    """The difference between two versions of the mesh configuration.

    Parameters
    ----------
    base_version, version : int
        Version that the change applies to, and version that results.
    routes : tuple of HostRoute
        Routes that were added or changed.
    removed : tuple of str
        Names of routes that were removed.
    services : tuple of MeshService
        All services of the new version.
    idle_timeout_s : float
        Time in seconds after which callers close an idle connection.
    max_body_bytes : int or None
        Maximum size of the body of a request, in bytes; None if none is set, or if the
        change comes from a node of an earlier release.
    accounts : tuple of ClientAccount
        Client accounts that were added or changed.
    removed_accounts : tuple of str
        Names of client accounts that were removed.
    """

    base_version: int
    version: int
    routes: tuple[HostRoute, ...]
    removed: tuple[str, ...]
    services: tuple[MeshService, ...]
    idle_timeout_s: float
    max_body_bytes: int | None = None
    accounts: tuple[ClientAccount, ...] = ()
    removed_accounts: tuple[str, ...] = ()


def compute_change(old: MeshConfig, new: MeshConfig) -> ConfigChange:
    """Return the change from one configuration to another."""
    return ConfigChange(
        old.version,
        new.version,
        *_compare(old.routes_by_name, new.routes_by_name),
        tuple(new.services_by_name.values()),
        new.idle_timeout_s,
        new.max_body_bytes,
        *_compare(old.accounts_by_name, new.accounts_by_name),
    )


def _compare(
    old_by_name: Mapping[str, Any], new_by_name: Mapping[str, Any]
) -> tuple[tuple[Any, ...], tuple[str, ...]]:
    """Return the items that were added or changed, and the names of removed ones."""
    changed = (i for name, i in new_by_name.items() if old_by_name.get(name) != i)
    removed = (name for name in old_by_name if name not in new_by_name)
    return tuple(changed), tuple(removed)


def _merge(
    items_by_name: Mapping[str, Any], changed: tuple[Any, ...], removed: tuple[str, ...]
) -> dict[str, Any]:
    removed_names = set(removed)
    kept = {n: item for n, item in items_by_name.items() if n not in removed_names}
    return kept | {item.name: item for item in changed}


def apply_change(config: MeshConfig, change: ConfigChange) -> MeshConfig | None:
    """Return the changed configuration, or None if its version is not the base.

    Examples
    --------
    >>> old, new = MeshConfig(3), MeshConfig(5, idle_timeout_s=9.0, max_body_bytes=8)
    >>> apply_change(old, compute_change(old, new)) == new
    True
    >>> apply_change(new, compute_change(old, new)) is None
    True
    """
    if config.version != change.base_version:
        return None
    return evolve(
        config,
        version=change.version,
        routes_by_name=_merge(config.routes_by_name, change.routes, change.removed),
        services_by_name={service.name: service for service in change.services},
        idle_timeout_s=change.idle_timeout_s,
        max_body_bytes=change.max_body_bytes,
        accounts_by_name=_merge(
            config.accounts_by_name, change.accounts, change.removed_accounts
        ),
    )
