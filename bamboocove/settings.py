"""Settings of a node: their table of defaults, parsing and validation."""

import configparser
import ipaddress
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult


def _parse_text(value: str) -> str:
    if not value.strip():
        raise ValueError("must not be empty")
    return value.strip()


def _parse_optional_text(value: str) -> str:
    return value.strip()


def _parse_ip(value: str) -> str:
    return str(ipaddress.ip_address(value.strip()))


def _parse_port(value: str) -> int:
    port = int(value)
    if not 0 <= port <= 65535:
        raise ValueError("must be from 0 to 65535")
    return port


def _parse_positive(value: str) -> float:
    number = float(value)
    if not 0 < number < float("inf"):
        raise ValueError("must be a positive number")
    return number


def _parse_count(value: str) -> int:
    count = int(value)
    if count < 1:
        raise ValueError("must be at least 1")
    return count


def _parse_addresses(value: str) -> tuple[tuple[str, int], ...]:
    addresses = []
    for address in value.split():
        host, _, port = address.rpartition(":")
        addresses.append((_parse_ip(host), _parse_port(port)))
    return tuple(addresses)


def _parse_scope(value: str) -> str:
    if value.strip() not in ("all", "own"):
        raise ValueError("must be all or own")
    return value.strip()


def _parse_level(value: str) -> str:
    level = value.strip().upper()
    if level not in ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL"):
        raise ValueError("must be DEBUG, INFO, NOTICE, WARNING, ERROR or CRITICAL")
    return level


def _parse_url(value: str) -> str:
    url = value.strip().rstrip("/")
    if not url.startswith(("http://", "https://")):
        raise ValueError("must start with http:// or https://")
    return url


@frozen
class Setting:
    """Definition of one setting.

    Parameters
    ----------
    section, name : str
        Section and option name in the INI file.
    default : str or None
        Default in its text form; None for a required setting.
    parse : callable
        Converts the text to the value; raises ValueError if it is invalid.
    help : str
        Description for operators, with the unit of the value.
    """

    section: str
    name: str
    default: str | None
    parse: Callable[[str], Any]
    help: str


SETTINGS = (
    Setting("node", "id", None, _parse_text, "unique name of this node"),
    Setting("node", "zone", None, _parse_text, "availability zone of this host"),
    Setting("node", "region", "default", _parse_text, "region of this host"),
    Setting("node", "host", "127.0.0.1", _parse_ip, "IP number to listen on"),
    Setting("node", "call_port", "0", _parse_port, "TCP port for calls; 0 for any"),
    Setting("node", "peer_port", "0", _parse_port, "TCP port for peers; 0 for any"),
    Setting("node", "admin_port", "0", _parse_port, "TCP port of admin interface"),
    Setting("platform", "table_url", None, _parse_url, "URL of the table service"),
    Setting("platform", "object_url", None, _parse_url, "URL of the object store"),
    Setting("platform", "timeout_s", "2", _parse_positive, "time for one store call"),
    Setting("platform", "poll_s", "1", _parse_positive, "time between head reads"),
    Setting("peers", "seeds", "", _parse_addresses, "host:port of peers at start"),
    Setting("peers", "links", "3", _parse_count, "links to peers in the own zone"),
    Setting("peers", "heartbeat_s", "2", _parse_positive, "time between heartbeats"),
    Setting("peers", "suspect_s", "6", _parse_positive, "silence before suspicion"),
    Setting("calls", "scope", "all", _parse_scope, "services routed: all or own"),
    Setting("calls", "max_body_bytes", "8388608", _parse_count, "largest body"),
    Setting("calls", "drain_s", "30", _parse_positive, "time for calls at a stop"),
    Setting("calls", "queue", "64", _parse_count, "waiting calls for each service"),
    Setting("calls", "retry_ratio", "0.1", _parse_positive, "retries for each call"),
    Setting("moves", "lease_s", "10", _parse_positive, "coordinator lease time"),
    Setting("moves", "window_s", "1", _parse_positive, "length of evidence windows"),
    Setting("moves", "step_s", "5", _parse_positive, "least time on each step"),
    Setting("moves", "watch_s", "300", _parse_positive, "watch time at 100%"),
    Setting("metrics", "statsd", "", _parse_addresses, "host:port of statsd, if any"),
    Setting("logs", "level", "INFO", _parse_level, "lowest level that is logged"),
)


@frozen
class Settings:
    """Validated settings of a node.

    Parameters
    ----------
    values_by_key : dict of (str, str) to object
        Value of each setting, by section and name.
    """

    values_by_key: Mapping[tuple[str, str], Any]

    def get(self, section: str, name: str) -> Any:
        """Return the value of a setting; raises KeyError if it is not in the table."""
        return self.values_by_key[section, name]


def check_settings(
    texts_by_key: Mapping[tuple[str, str], str],
) -> Settings | list[ErrorResult]:
    """Return the settings parsed from their texts, or all problems found.

    Parameters
    ----------
    texts_by_key : mapping of (str, str) to str
        Text of each given setting, by section and name; others have defaults.

    Returns
    -------
    settings : Settings or list of ErrorResult
        The settings, or every problem as an error of kind ``INVALID_SETTINGS``.
    """
    problems = []
    values = {}
    known = {(setting.section, setting.name) for setting in SETTINGS}
    for section, name in sorted(set(texts_by_key) - known):
        problems.append(f"[{section}] {name}: unknown setting")
    for setting in SETTINGS:
        key = (setting.section, setting.name)
        label = f"[{setting.section}] {setting.name}"
        text = texts_by_key.get(key, setting.default)
        if text is None:
            problems.append(f"{label}: must be set ({setting.help})")
            continue
        try:
            values[key] = setting.parse(text)
        except ValueError as error:
            problems.append(f"{label}: {text!r}: {error} ({setting.help})")
    if problems:
        return [ErrorResult(ErrorKind.INVALID_SETTINGS, text) for text in problems]
    return Settings(values)


def read_settings(
    path: Path | None, overrides: Mapping[tuple[str, str], str] | None = None
) -> Settings | list[ErrorResult]:
    """Return the settings of an INI file, or all problems found in it.

    Parameters
    ----------
    path : Path or None
        Path of the file; None for defaults and overrides only.
    overrides : mapping of (str, str) to str, optional
        Settings that take precedence over the file.
    """
    parser = configparser.ConfigParser(interpolation=None)
    try:
        if path is not None:
            parser.read_string(path.read_text(encoding="utf-8"), str(path))
    except (OSError, UnicodeDecodeError, configparser.Error) as error:
        return [ErrorResult(ErrorKind.INVALID_SETTINGS, str(error))]
    texts = {
        (section, name): text
        for section in parser.sections()
        for name, text in parser.items(section)
    }
    texts.update(overrides or {})
    return check_settings(texts)


def format_settings(settings: Settings) -> str:
    """Return the settings in INI format, each preceded by a comment."""
    lines = []
    section = None
    for setting in SETTINGS:
        if setting.section != section:
            section = setting.section
            lines.append(f"[{section}]")
        value = settings.get(setting.section, setting.name)
        if isinstance(value, tuple):
            value = " ".join(f"{host}:{port}" for host, port in value)
        lines.append(f"# {setting.help}")
        lines.append(f"{setting.name} = {value}")
    return "\n".join(lines)


def format_settings_table() -> str:
    """Return the Markdown table of all settings for ``docs/settings.md``."""
    lines = ["| section | name | default | meaning |", "|---|---|---|---|"]
    for setting in SETTINGS:
        default = "(must be set)" if setting.default is None else f"`{setting.default}`"
        if setting.default == "":
            default = "(empty)"
        lines.append(
            f"| {setting.section} | {setting.name} | {default} | {setting.help} |"
        )
    return "\n".join(lines)
