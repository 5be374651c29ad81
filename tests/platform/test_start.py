"""Signals that arrive while a node process starts."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

from bamboocove.platform.host_settings import SETTINGS_VARIABLE
from soak.nodes import SETTINGS_TEMPLATE

WAIT_S = 20.0


def start_node(folder):
    settings = folder / "settings.toml"
    text = SETTINGS_TEMPLATE.format(
        host_id="h1",
        zone="a",
        ip="127.91.1.1",
        service="orders",
        worker="127.91.1.2:8301",
        advertised="127.91.1.1:8300",
        store="127.91.1.2:8309",
    )
    settings.write_text(text, encoding="utf-8")
    return subprocess.Popen(
        [sys.executable, "-m", "bamboocove.platform"],
        env={**os.environ, SETTINGS_VARIABLE: str(settings)},
        stdout=(folder / "log").open("wb"),
        stderr=subprocess.STDOUT,
    )


def wait_until(condition):
    end = time.monotonic() + WAIT_S
    while not condition():
        assert time.monotonic() < end
        time.sleep(0.005)


def test_sighup_during_the_imports_does_not_end_the_node(tmp_path):
    """Guards against SIGHUP ending a node before its handler is installed."""
    node = start_node(tmp_path)
    log = tmp_path / "log"
    try:
        maps = Path(f"/proc/{node.pid}/maps")
        # The codec library is imported well before the node listens.
        wait_until(lambda: "httptools" in maps.read_text())
        assert not log.read_bytes()
        while b"node.started" not in log.read_bytes() and node.poll() is None:
            node.send_signal(signal.SIGHUP)
            time.sleep(0.01)
        assert node.poll() is None
        node.send_signal(signal.SIGHUP)
        wait_until(lambda: b"node.reloaded" in log.read_bytes() or node.poll())
        assert node.poll() is None
        node.send_signal(signal.SIGTERM)
        assert node.wait(WAIT_S) == 0
    finally:
        node.kill()


def test_sighup_while_the_node_ends_does_not_change_its_exit_status(tmp_path):
    """Guards against a planned stop that looks like the end of a broken process."""
    node = start_node(tmp_path)
    log = tmp_path / "log"
    try:
        wait_until(lambda: b"node.started" in log.read_bytes())
        node.send_signal(signal.SIGTERM)
        end = time.monotonic() + WAIT_S
        while node.poll() is None and time.monotonic() < end:
            node.send_signal(signal.SIGHUP)
            time.sleep(0.002)
        assert node.poll() == 0
    finally:
        node.kill()
