"""Changes between versions of the mesh configuration, sent between nodes."""

from attrs import evolve, frozen

from bamboocove.state.mesh import HostRoute, MeshConfig, MeshService


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
    """

    base_version: int
    version: int
    routes: tuple[HostRoute, ...]
    removed: tuple[str, ...]
    services: tuple[MeshService, ...]
    idle_timeout_s: float
    max_body_bytes: int | None = None


def compute_change(old: MeshConfig, new: MeshConfig) -> ConfigChange:
    """Return the change from one configuration to another."""
    old_routes_by_name = old.routes_by_name
    return ConfigChange(
        old.version,
        new.version,
        tuple(
            r
            for name, r in new.routes_by_name.items()
            if old_routes_by_name.get(name) != r
        ),
        tuple(name for name in old_routes_by_name if name not in new.routes_by_name),
        tuple(new.services_by_name.values()),
        new.idle_timeout_s,
        new.max_body_bytes,
    )


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
    routes = dict(config.routes_by_name)
    for name in change.removed:
        routes.pop(name, None)
    routes.update({route.name: route for route in change.routes})
    return evolve(
        config,
        version=change.version,
        routes_by_name=routes,
        services_by_name={service.name: service for service in change.services},
        idle_timeout_s=change.idle_timeout_s,
        max_body_bytes=change.max_body_bytes,
    )
