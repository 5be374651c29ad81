"""Reading and validation of the TOML settings file that the platform writes."""

import os
import tomllib
from collections.abc import Mapping
from pathlib import Path
from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.sidecar.settings import Bounds, HostSettings

SETTINGS_VARIABLE = "BAMBOOCOVE_BOOT"
# Higher values are taken for mistakes.
MAX_BOUND = 1e9
MAX_LINK_MBPS = 1e7
MAX_MEMORY_MB = 1e7


@frozen
class _SettingsReader:
    """Reads values by dotted path; errors name the setting that is at fault."""

    table: Mapping[str, Any]

    def get(self, path: str, expected_type: type, default: Any = None) -> Any:
        value: Any = self.table
        for key in path.split("."):
            if not isinstance(value, Mapping) or key not in value:
                if default is not None:
                    return default
                raise ValueError(f"setting {path} is missing")
            value = value[key]
        if (
            expected_type is float
            and isinstance(value, int)
            and not isinstance(value, bool)
        ):
            value = float(value)
        if not isinstance(value, expected_type) or (
            expected_type is int and isinstance(value, bool)
        ):
            raise ValueError(
                f"setting {path} is not of type {expected_type.__name__}: {value}"
            )
        return value

    def get_address(self, path: str, default: str | None = None) -> Any:
        value = self.get(path, str, default)
        if value == "":
            return None
        address = parse_address(value)
        if address is None:
            raise ValueError(f"setting {path} is not an address: {value!r}")
        return address


def parse_address(value: Any) -> tuple[str, int] | None:
    """Return the host and port of a ``host:port`` string, or None if invalid.

    Examples
    --------
    >>> parse_address("10.1.0.8:8300"), parse_address("x")
    (('10.1.0.8', 8300), None)
    """
    if not isinstance(value, str):
        return None
    host, _, port = value.rpartition(":")
    if not host or not port.isdigit() or not 0 < int(port) < 65536:
        return None
    return host, int(port)


def parse_host_settings(text: str) -> HostSettings | ErrorResult:
    """Parse the settings of a node process from TOML text.

    Returns
    -------
    settings : HostSettings or ErrorResult
        ``INVALID_SETTINGS`` with the first problem found.
    """
    try:
        return _read_settings(_SettingsReader(tomllib.loads(text)))
    except (ValueError, RecursionError) as error:
        return ErrorResult(ErrorKind.INVALID_SETTINGS, str(error))


def _read_settings(reader: _SettingsReader) -> HostSettings:
    return HostSettings(
        host_id=reader.get("self.nodeName", str),
        zone=reader.get("self.zone", str),
        ip=reader.get("self.ip", str),
        service=reader.get("self.service", str),
        worker_address=reader.get_address("self.appAddr"),
        # "outbound" is the address at which callers on this host reach the node.
        caller_address=reader.get_address("network.listen.outbound"),
        # "inbound" is the address at which other nodes reach this one.
        link_address=reader.get_address("network.listen.inbound"),
        readiness_address=reader.get_address("network.listen.readiness"),
        # "control" receives the heartbeats of the worker; it does not control the
        # node.
        heartbeat_address=reader.get_address("network.listen.control"),
        store_address=reader.get_address("platform.platform.address"),
        # An extension of this project, for nodes behind a proxy; the platform does
        # not define this setting.
        advertised_address=reader.get_address("network.advertised", ""),
        link_bytes_per_s=_read_link_rate(reader),
        memory_bytes=_read_memory(reader),
        is_first_start=reader.get("self.bootstrap", bool, default=False),
        bounds=_read_bounds(reader),
        regions_by_zone=_read_regions(reader),
    )


def _read_bounds(reader: _SettingsReader) -> Bounds:
    bounds = Bounds()

    def get(name: str, default: float) -> float:
        value = reader.get(f"terms.bounds.{name}", float, default=default)
        if not 0.0 <= value < MAX_BOUND:
            raise ValueError(f"setting terms.bounds.{name} is out of range: {value}")
        return value

    return Bounds(
        grace_s=get("gracePeriodS", bounds.grace_s),
        retry_ratio=get("retryBudgetRatio", bounds.retry_ratio),
        retry_slack=get("budgetSlack", bounds.retry_slack),
        is_revocation_strict=reader.get("terms.bounds.strictRevoke", bool, False),
        revocation_s=get("revokeS", bounds.revocation_s),
        quota_window_s=get("quotaWindowS", bounds.quota_window_s),
        quota_tolerance=get("quotaOver", bounds.quota_tolerance),
        quota_slack=get("quotaSlack", bounds.quota_slack),
        cold_tolerance=get("coldOver", bounds.cold_tolerance),
        cold_slack=get("coldSlack", bounds.cold_slack),
        evacuation_s=get("evacuateS", bounds.evacuation_s),
    )


def _read_regions(reader: _SettingsReader) -> dict[str, str]:
    regions_by_zone = reader.get("network.zones", dict, {})
    for zone, region in regions_by_zone.items():
        if not isinstance(region, str):
            raise ValueError(f"setting network.zones.{zone} is no region: {region!r}")
    return regions_by_zone


def _read_link_rate(reader: _SettingsReader) -> int:
    megabits_per_s = reader.get("self.limits.linkMbps", float, default=0.0)
    if not 0.0 <= megabits_per_s < MAX_LINK_MBPS:
        raise ValueError(f"setting self.limits.linkMbps is no rate: {megabits_per_s}")
    return int(megabits_per_s * 1e6 / 8)


def _read_memory(reader: _SettingsReader) -> int:
    megabytes = reader.get("self.limits.memoryMb", float, default=0.0)
    if not 0.0 <= megabytes < MAX_MEMORY_MB:
        raise ValueError(f"setting self.limits.memoryMb is no size: {megabytes}")
    return int(megabytes * 1e6)


def read_host_settings() -> HostSettings | ErrorResult:
    """Read the settings file that ``BAMBOOCOVE_BOOT`` names.

    Returns
    -------
    settings : HostSettings or ErrorResult
        ``INVALID_SETTINGS`` if the file is missing, unreadable or invalid.
    """
    path = os.environ.get(SETTINGS_VARIABLE)
    if not path:
        reason = f"the environment variable {SETTINGS_VARIABLE} is unset or empty"
        return ErrorResult(ErrorKind.INVALID_SETTINGS, reason)
    try:
        return parse_host_settings(Path(path).read_text(encoding="utf-8"))
    except (OSError, UnicodeDecodeError) as error:
        return ErrorResult(ErrorKind.INVALID_SETTINGS, str(error))
