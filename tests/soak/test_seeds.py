"""Runs the soak test for each listed seed, with real node processes."""

import json
import subprocess
import sys
import tomllib
from pathlib import Path

import pytest

import soak
from tests.networks import find_free_network

SEEDS = Path(soak.__file__).parent / "seeds.toml"
ENTRIES = tomllib.loads(SEEDS.read_text(encoding="utf-8"))["seed"]
# Covers start, faults, recovery and the recovery check on a busy machine.
TIMEOUT_S = 180


@pytest.mark.parametrize("entry", ENTRIES, ids=lambda entry: str(entry["seed"]))
def test_seed_passes_all_checks(entry, tmp_path):
    """Guards against a regression of the cause that the entry names."""
    command = [sys.executable, "-m", "soak", "run"]
    command += ["--seed", str(entry["seed"]), "--duration", str(entry["duration_s"])]
    command += ["--hosts", str(entry.get("hosts", 6))]
    command += ["--rate", str(entry.get("rate", 5))]
    command += ["--network", str(find_free_network())]
    command += ["--planned"] if entry.get("is_planned_only") else []
    command += ["--folder", str(tmp_path)]
    done = subprocess.run(
        command,
        cwd=SEEDS.parent.parent,
        capture_output=True,
        text=True,
        timeout=TIMEOUT_S,
    )
    report = json.loads(done.stdout.splitlines()[-1]) if done.stdout else {}
    assert done.returncode == 0, f"{report or done.stderr}; logs are in {tmp_path}"
    assert report["requests"] > 100
