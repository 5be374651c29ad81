"""Tests of the settings file and of the import rules of the platform adapter."""

import importlib
import subprocess
import sys
from pathlib import Path

import pytest

from bamboocove.errors import ErrorKind
from bamboocove.platform.host_settings import parse_host_settings, read_host_settings

ROOT = Path(__file__).parent.parent.parent
TEXT = """
[self]
nodeName = "sidecar-lj-a-1"
ip = "10.1.0.8"
zone = "lj-a"
appAddr = "10.1.0.8:8301"
service = "orders"
[network.listen]
inbound = "10.1.0.8:8300"
outbound = "10.1.0.8:8304"
readiness = "10.1.0.8:8302"
control = "10.1.0.8:8306"
[platform]
heartbeatS = 1.5
[platform.platform]
address = "10.200.1.7:8309"
[terms.bounds]
gracePeriodS = 5
"""


def test_parse_host_settings():
    settings = parse_host_settings(TEXT)
    assert settings.host_id == "sidecar-lj-a-1"
    assert settings.worker_address == ("10.1.0.8", 8301)
    assert settings.caller_address == ("10.1.0.8", 8304)
    assert settings.link_address == ("10.1.0.8", 8300)
    assert settings.bounds.grace_s == 5.0
    assert settings.bounds.retry_ratio == 0.2


@pytest.mark.parametrize(
    ("old", "new", "setting"),
    [
        ('nodeName = "sidecar-lj-a-1"', "", "self.nodeName"),
        ('zone = "lj-a"', "zone = 3", "self.zone"),
        ('"10.1.0.8:8301"', '"10.1.0.8"', "self.appAddr"),
        ('"10.1.0.8:8304"', '"10.1.0.8:99999"', "network.listen.outbound"),
        ("gracePeriodS = 5", 'gracePeriodS = "x"', "terms.bounds.gracePeriodS"),
        ("[self]", "[self", ""),
    ],
)
def test_error_names_invalid_setting(old, new, setting):
    """Guards against a node that starts with missing, ill-typed or invalid settings."""
    result = parse_host_settings(TEXT.replace(old, new))
    assert result.kind is ErrorKind.INVALID_SETTINGS
    assert setting in result.reason


def test_error_names_missing_settings_file(monkeypatch, tmp_path):
    monkeypatch.delenv("BAMBOOCOVE_BOOT", raising=False)
    assert "BAMBOOCOVE_BOOT" in read_host_settings().reason
    monkeypatch.setenv("BAMBOOCOVE_BOOT", str(tmp_path / "none.toml"))
    assert "none.toml" in read_host_settings().reason


def test_process_exits_with_one_line_error(tmp_path):
    """Guards against a traceback instead of one line that names the setting."""
    path = tmp_path / "settings.toml"
    path.write_text(TEXT.replace('zone = "lj-a"', ""))
    process = subprocess.run(
        [sys.executable, "-m", "bamboocove.platform"],
        cwd=ROOT,
        env={"BAMBOOCOVE_BOOT": str(path), "PATH": ""},
        capture_output=True,
        text=True,
        timeout=60,
    )
    assert process.returncode == 2
    assert process.stderr == "invalid_settings: setting self.zone is missing\n"


def test_standard_platform_module_is_importable():
    """Guards against ``bamboocove.platform`` shadowing the standard module."""
    assert importlib.import_module("platform").system()


def test_platform_names_occur_only_in_the_adapter():
    """Guards against platform-specific names outside ``bamboocove/platform``."""
    names = (
        "X-Attempt-Id",
        "X-Deadline-Ms",
        "X-Expected-Instance",
        "X-Not-Executed",
        "X-Server-Load",
        "X-Caller-Service",
        "heartbeatAddr",
        "rows-tx",
        "rows-get",
        "rows-feed",
        "trafficSplit",
        "nodeName",
        "rolled_out",
    )
    found = [
        (path.name, name)
        for path in (ROOT / "bamboocove").rglob("*.py")
        if path.parent.name != "platform"
        for name in names
        if name.lower() in path.read_text(encoding="utf-8").lower()
    ]
    assert found == []


def test_advertised_address_is_optional():
    """Guards against an advertised address that replaces the listening address."""
    assert parse_host_settings(TEXT).advertised_address is None
    network = '[network]\nadvertised = "10.9.0.1:8300"\n'
    settings = parse_host_settings(network + TEXT)
    assert settings.advertised_address == ("10.9.0.1", 8300)
    assert settings.link_address == ("10.1.0.8", 8300)
    error = parse_host_settings(network.replace(":8300", "") + TEXT)
    assert error.kind is ErrorKind.INVALID_SETTINGS
    assert "network.advertised" in error.reason


@pytest.mark.parametrize("name", ["memoryMb", "linkMbps"])
def test_limits_that_are_no_sizes_are_refused(name):
    """Guards against a node that starts with a limit that it cannot keep."""
    with_limit = TEXT.replace("[network.listen]", "[self.limits]\n%s\n[network.listen]")
    settings = parse_host_settings(with_limit % f"{name} = 150")
    assert settings.memory_bytes or settings.link_bytes_per_s
    for value in ("-1", "nan", '"150"', "true", "1e400"):
        error = parse_host_settings(with_limit % f"{name} = {value}")
        assert error.kind is ErrorKind.INVALID_SETTINGS, value
        assert name in error.reason
