"""Check of the regions in which requests of a route or an account may run."""

from collections.abc import Mapping

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.mesh import MeshConfig


def check_regions(
    config: MeshConfig, regions_by_zone: Mapping[str, str]
) -> ErrorResult | None:
    """Refuse a configuration that keeps requests out of a region of the deployment.

    Nodes do not choose workers by region. A worker of any service may start in any zone
    of the settings, so each of them counts as one that runs the service. That gives the
    same result on all nodes, whatever hosts they know.

    Parameters
    ----------
    config : MeshConfig
        The configuration.
    regions_by_zone : mapping of str to str
        All availability zones of the deployment, and the region of each.

    Returns
    -------
    error : ErrorResult or None
        ``INVALID_CONFIG`` that names the route or the account, and the zone.

    Examples
    --------
    >>> check_regions(MeshConfig(), {"a": "eu"}) is None
    True
    """
    limited = [
        (f"route {route.name}", route.allowed_regions)
        for route in config.routes_by_name.values()
    ]
    limited += [
        (f"account {account.name}", account.allowed_regions)
        for account in config.accounts_by_name.values()
    ]
    for name, allowed in limited:
        if not allowed:
            continue
        if not regions_by_zone:
            reason = f"{name}: regions are allowed, but the settings name no regions"
            return ErrorResult(ErrorKind.INVALID_CONFIG, reason)
        for zone, region in regions_by_zone.items():
            if region not in allowed:
                reason = (
                    f"{name}: the allowed regions lack {region!r}, that of zone "
                    f"{zone!r}; requests cannot be kept out of a region"
                )
                return ErrorResult(ErrorKind.INVALID_CONFIG, reason)
    return None
