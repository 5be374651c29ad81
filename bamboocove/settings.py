"""Settings of a node: one table of defaults, read and checked here."""

import configparser
import ipaddress
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult


def _check_text(value: str) -> str:
    if not value.strip():
        raise ValueError("must not be empty")
    return value.strip()


def _check_optional_text(value: str) -> str:
    return value.strip()


def _check_ip(value: str) -> str:
    return str(ipaddress.ip_address(value.strip()))


def _check_port(value: str) -> int:
    port = int(value)
    if not 0 <= port <= 65535:
        raise ValueError("must be from 0 to 65535")
    return port


def _check_positive(value: str) -> float:
    number = float(value)
    if not 0 < number < float("inf"):
        raise ValueError("must be a positive number")
    return number


def _check_count(value: str) -> int:
    count = int(value)
    if count < 1:
        raise ValueError("must be at least 1")
    return count


def _check_addresses(value: str) -> tuple[tuple[str, int], ...]:
    addresses = []
    for word in value.split():
        host, _, port = word.rpartition(":")
        addresses.append((_check_ip(host), _check_port(port)))
    return tuple(addresses)


def _check_scope(value: str) -> str:
    if value.strip() not in ("all", "own"):
        raise ValueError("must be all or own")
    return value.strip()


def _check_level(value: str) -> str:
    level = value.strip().upper()
    if level not in ("DEBUG", "INFO", "NOTICE", "WARNING", "ERROR", "CRITICAL"):
        raise ValueError("must be DEBUG, INFO, NOTICE, WARNING, ERROR or CRITICAL")
    return level


def _check_url(value: str) -> str:
    url = value.strip().rstrip("/")
    if not url.startswith(("http://", "https://")):
        raise ValueError("must start with http:// or https://")
    return url


@frozen
class Setting:
    """One line of the table of settings.

    Parameters
    ----------
    section, name : str
        Where it stands in the INI file.
    default : str or None
        Text of the default; None for a setting that must be given.
    check : callable
        Turns the text into the value; raises ValueError.
    help : str
        What it means, with its unit.
    """

    section: str
    name: str
    default: str | None
    check: Callable[[str], Any]
    help: str


SETTINGS = (
    Setting("node", "id", None, _check_text, "unique name of this node"),
    Setting("node", "zone", None, _check_text, "availability zone of this host"),
    Setting("node", "region", "default", _check_text, "region of this host"),
    Setting("node", "host", "127.0.0.1", _check_ip, "IP number to listen on"),
    Setting("node", "call_port", "0", _check_port, "TCP port for calls; 0 for any"),
    Setting("node", "peer_port", "0", _check_port, "TCP port for peers; 0 for any"),
    Setting("node", "admin_port", "0", _check_port, "TCP port of admin interface"),
    Setting("platform", "table_url", None, _check_url, "URL of the table service"),
    Setting("platform", "object_url", None, _check_url, "URL of the object store"),
    Setting("platform", "timeout_s", "2", _check_positive, "time for one store call"),
    Setting("platform", "poll_s", "1", _check_positive, "time between head reads"),
    Setting("peers", "seeds", "", _check_addresses, "host:port of peers at start"),
    Setting("peers", "links", "3", _check_count, "links to peers in the own zone"),
    Setting("peers", "heartbeat_s", "2", _check_positive, "time between heartbeats"),
    Setting("peers", "suspect_s", "6", _check_positive, "silence before suspicion"),
    Setting("calls", "scope", "all", _check_scope, "services routed: all or own"),
    Setting("calls", "max_body_bytes", "8388608", _check_count, "largest body"),
    Setting("calls", "drain_s", "30", _check_positive, "time for calls at a stop"),
    Setting("calls", "queue", "64", _check_count, "waiting calls for each service"),
    Setting("calls", "retry_ratio", "0.1", _check_positive, "retries for each call"),
    Setting("moves", "lease_s", "10", _check_positive, "coordinator lease time"),
    Setting("moves", "window_s", "1", _check_positive, "length of evidence windows"),
    Setting("moves", "step_s", "5", _check_positive, "least time on each step"),
    Setting("moves", "watch_s", "300", _check_positive, "watch time at 100%"),
    Setting("metrics", "statsd", "", _check_addresses, "host:port of statsd, if any"),
    Setting("logs", "level", "INFO", _check_level, "lowest level that is logged"),
)


@frozen
class Settings:
    """Checked settings.

    Parameters
    ----------
    values_by_key : dict of (str, str) to object
        Value of each setting by section and name.
    """

    values_by_key: Mapping[tuple[str, str], Any]

    def get(self, section: str, name: str) -> Any:
        """Return one value; KeyError for a setting that is not in the table."""
        return self.values_by_key[section, name]


def check_settings(
    texts_by_key: Mapping[tuple[str, str], str],
) -> Settings | list[ErrorResult]:
    """Check all settings at once.

    Parameters
    ----------
    texts_by_key : mapping of (str, str) to str
        Text of each setting that was given.

    Returns
    -------
    settings : Settings or list of ErrorResult
        Every problem found, of kind ``INVALID_SETTINGS``.
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
            values[key] = setting.check(text)
        except ValueError as error:
            problems.append(f"{label}: {text!r}: {error} ({setting.help})")
    if problems:
        return [ErrorResult(ErrorKind.INVALID_SETTINGS, text) for text in problems]
    return Settings(values)


def read_settings(
    path: Path | None, overrides: Mapping[tuple[str, str], str] | None = None
) -> Settings | list[ErrorResult]:
    """Read and check an INI file.

    Parameters
    ----------
    path : Path or None
        The file; None for defaults and overrides only.
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
    """Return the settings as an INI text with a comment for each."""
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
    """Return the table of settings of ``docs/settings.md``."""
    lines = ["| section | name | default | meaning |", "|---|---|---|---|"]
    for setting in SETTINGS:
        default = "(must be set)" if setting.default is None else f"`{setting.default}`"
        if setting.default == "":
            default = "(empty)"
        lines.append(
            f"| {setting.section} | {setting.name} | {default} | {setting.help} |"
        )
    return "\n".join(lines)
