"""Tests that recorded traces end with their expected outcomes."""

from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester

from bamboocove.measures import Case, make_trace
from bamboocove.replay import (
    RecordCommand,
    TracesCommand,
    compare_outcome,
    replay_file,
)
from bamboocove.simulation import replay_trace
from bamboocove.traces import Expected, read_trace

TRACE_PATHS = sorted((Path(__file__).parent / "traces").glob("*.jsonl"))


def test_trace_files_exist():
    # Guards against a moved directory that leaves nothing to replay.
    assert len(TRACE_PATHS) >= 10


@pytest.mark.parametrize("path", TRACE_PATHS, ids=lambda path: path.stem)
def test_recorded_trace_has_its_expected_outcome(path):
    # Guards against regressions on the whole path from calls to published steps.
    outcome, differences = replay_file(path)
    assert differences == [], outcome


def test_replay_is_deterministic():
    # Guards against an outcome that depends on anything other than the trace.
    trace = make_trace(Case("shutterbook", "failing", "restart", 3))
    assert replay_trace(trace) == replay_trace(trace)


def test_differences_from_the_expected_outcome_are_reported():
    # Guards against a comparison that accepts any outcome.
    outcome = replay_trace(make_trace(Case("shutterbook", "failing", "quiet", 1)))
    assert compare_outcome(Expected("reverted"), outcome) == []
    for expected in (
        Expected("done"),
        Expected("reverted", in_time=True),
        Expected("reverted", share_max=0.001),
        Expected("reverted", reason="slow on no route"),
    ):
        assert len(compare_outcome(expected, outcome)) == 1


def test_command_line_records_and_replays(tmp_path):
    # Guards against commands that fail to start or succeed on every input.
    path = tmp_path / "trace.jsonl"
    recorder = CommandTester(RecordCommand())
    assert recorder.execute(f"shutterbook failing quiet 1 {path}") == 0
    tester = CommandTester(TracesCommand())
    assert tester.execute(str(path)) == 1
    assert "no stated outcome" in tester.io.fetch_output()
    failing = Path(__file__).parent / "traces" / "failing-quiet.jsonl"
    assert tester.execute(str(failing)) == 0
    path.write_text("[]")
    assert tester.execute(str(path)) == 1


def test_trace_records_its_seed():
    # Guards against traces that cannot be reproduced.
    for path in TRACE_PATHS:
        assert read_trace(path)[0].seed >= 0
