"""Tests of generated traces, the baseline and the tables of outcomes."""

import pytest
from cleo.testers.command_tester import CommandTester

from bamboocove.measures import (
    DEPLOYMENTS,
    FAULTS,
    VERSIONS,
    Case,
    format_cells,
    format_summary,
    format_table,
    make_cases,
    make_trace,
    run_case,
)
from bamboocove.replay import MeasureCommand
from bamboocove.simulation import Outcome
from bamboocove.traces import Behaviour


def make_outcome(phase, in_time=False, became_bad=True, calls=0):
    return Outcome(phase, "", in_time, 9.0, 1.0, 0.1, calls, 0, became_bad, 5, -1.0)


def test_cases_cover_every_combination():
    # Guards against a version, fault or deployment that is missing in the table.
    cases = make_cases(2)
    assert len(set(cases)) == 2 * len(DEPLOYMENTS) * len(VERSIONS) * len(FAULTS)


@pytest.mark.parametrize("version", VERSIONS)
def test_only_bad_versions_have_behaviour_records(version):
    # Guards against generated traces in which no version is ever bad.
    records = make_trace(Case("shutterbook", version, "quiet", 1))
    behaviours = [record for record in records if isinstance(record, Behaviour)]
    assert len(behaviours) == (version != "good")
    assert all(item.failing > 0.0 or item.slow > 0.0 for item in behaviours)


def test_cells_exclude_expired_moves_and_late_faults():
    # Guards against cells that overstate results: expired moves count neither as
    # in time nor as reverted, and versions that turn bad after the end of the
    # move are left out.
    good = [make_outcome("done", True), make_outcome("expired")]
    good.append(make_outcome("reverted"))
    assert format_cells(True, good) == ["1/3", "", "", "1"]
    bad = [make_outcome("reverted", calls=3), make_outcome("expired", calls=9)]
    bad.append(make_outcome("done", became_bad=False))
    assert format_cells(False, bad) == ["1/2", "10%", "6 / 9", ""]


def test_baseline_misses_a_slow_version_that_the_policy_finds():
    # Guards against a baseline that behaves like the policy.
    result = run_case(Case("shutterbook", "slow", "quiet", 1))
    assert (result.policy.phase, result.baseline.phase) == ("reverted", "done")
    assert "| shutterbook | slow | quiet | 1/1 |" in format_table([result])
    assert "| bad taken back | 100% | 1/1 | 0/1 |" in format_summary([result])


def test_measure_command_prints_only_the_requested_cases():
    # Guards against a command that fails to start or ignores its options.
    tester = CommandTester(MeasureCommand())
    options = "--seeds 1 --processes 1 --kinds failing --faults quiet"
    assert tester.execute(options) == 0
    lines = tester.io.fetch_output().splitlines()
    assert len([line for line in lines if "| failing | quiet |" in line]) == 2
    assert not [line for line in lines if "| good |" in line]
