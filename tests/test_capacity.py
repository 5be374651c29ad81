"""Tests of the capacity benchmark: line fits, log parsing and process cleanup."""

import os
import time

import pytest

from bench.capacity_control import SERIES, fit_series, make_scenarios
from bench.capacity_fleet import fit_line
from bench.fleet_parts import make_address, make_members
from bench.processes import NodeProcess, open_process_group


def test_fit_line_returns_slope_and_value_at_the_design_scale():
    found = fit_line([10, 30, 60, 120], [12.0, 16.0, 22.0, 34.0], 5500)
    assert found == pytest.approx({"slope": 0.2, "residual": 0, "at_design": 1110})


def test_each_series_has_four_sizes_and_is_fitted_alone():
    """Guards against a fit that includes scenarios of other series."""
    scenarios = make_scenarios()
    for series in SERIES:
        rows = [scenario for scenario in scenarios if scenario.series == series.name]
        assert len({scenario.x for scenario in rows}) >= 4
    figures = ("cpu", "rss_mb", "payload_per_s", "bytes_per_s")
    results = [
        {"series": scenario.series, "x": scenario.x}
        | dict.fromkeys(
            figures, 3.0 * scenario.x if scenario.series == "members" else 7.0
        )
        for scenario in scenarios
    ]
    members = next(series for series in SERIES if series.name == "members")
    for values in fit_series(results, members)["fits"].values():
        assert values["slope"] == pytest.approx(3.0)
        assert values["at_design"] == pytest.approx(16_500)


def test_members_have_own_loopback_addresses_and_all_workers():
    """Guards against members that share an address, so that only one is dialled."""
    members = make_members(5500, 9, 370, 11_000)
    assert len({member.host for member in members}) == 5500
    assert make_address(5499) == "127.1.21.250"
    assert sum(len(member.workers) for member in members) == 11_000


def test_event_times_are_read_from_the_log_of_a_node(tmp_path):
    """Guards against log times, which are UTC, being read as local time."""
    path = tmp_path / "n1.log"
    path.write_text(
        "1970-01-01T00:00:10.500000 INFO BC101 node n1 started in zone z0\n"
        "1970-01-01T00:00:11.250000 INFO BC201 revision 7 applied\n"
        "1970-01-01T00:00:12.250000 INFO BC201 revision 9 applied\n"
    )
    node = NodeProcess("n1", None, path)
    assert node.read_start_time() == 10.5
    assert node.read_applied_times() == {7: 11.25, 9: 12.25}


def test_processes_exit_with_the_block_and_a_child_with_its_input():
    """Guards against processes that keep running after an interrupted benchmark."""
    with open_process_group() as processes:
        platform = processes.start_platform()
        orphan = processes.start_platform()
        orphan.process.stdin.close()
        assert orphan.process.wait(20) is not None
    assert platform.process.poll() is not None


def test_log_directory_is_removed():
    """Guards against logs left in the temporary directory and slow termination."""
    with open_process_group() as processes:
        directory = processes.directory
        processes.start_module("sleep", ["-c", "import time; time.sleep(30)"])
        started_at = time.monotonic()
    assert time.monotonic() - started_at < 10
    assert not os.path.exists(directory)
