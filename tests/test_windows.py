"""Evidence windows and the slow threshold."""

from bamboocove.coordination.windows import OLD_CALLS_MIN, EvidenceWindows
from bamboocove.state.config import Move
from bamboocove.state.evidence import OutcomeCounts
from bamboocove.state.snapshot import Snapshot, compile_snapshot
from tests.callpath import make_config

MOVE = Move("m", "orders", "v1", "v2", 1e9, "stepping", 0.1)
SNAPSHOT = compile_snapshot(make_config((MOVE,)))


def record(windows, now, seconds=0.01, is_new=False, is_failure=False, revision=1):
    windows.record("m", revision, "read", "prompt", is_new, is_failure, seconds, now)


def test_counts_old_and_new_in_the_same_window():
    """Guards against versions compared over different periods."""
    windows = EvidenceWindows("n1", 1.0)
    record(windows, 10.2)
    record(windows, 10.3, is_failure=True)
    record(windows, 10.9, is_new=True, is_failure=True)
    assert windows.take(SNAPSHOT, 10.95) == []
    (evidence,) = windows.take(SNAPSHOT, 11.0)
    assert (evidence.window_start, evidence.window_s) == (10.0, 1.0)
    assert evidence.old == OutcomeCounts(2, 1, 0)
    assert evidence.new == OutcomeCounts(1, 1, 0)
    assert (evidence.node_id, evidence.route) == ("n1", "read")
    assert windows.take(SNAPSHOT, 12.0) == []


def test_threshold_is_fixed_before_the_window():
    """Guards against a slow threshold that depends on the calls it is applied to."""
    windows = EvidenceWindows("n1", 1.0)
    for _ in range(100):
        record(windows, 0.0, 0.010)
    record(windows, 0.0, 5.0, is_new=True)
    for _ in range(100):
        record(windows, 1.0, 1.0)
    record(windows, 1.0, 0.5, is_new=True)
    record(windows, 1.0, 0.005, is_new=True)
    record(windows, 1.0, 9.0, is_new=True, is_failure=True)
    first, second = windows.take(SNAPSHOT, 2.0)
    assert (first.old.slow, first.new.slow) == (0, 0)
    assert (second.old.slow, second.new.slow) == (100, 1)
    assert second.new.failures == 1


def test_no_threshold_from_too_few_calls():
    """Guards against calls counted as slow compared with one or two others."""
    windows = EvidenceWindows("n1", 1.0)
    for _ in range(OLD_CALLS_MIN - 1):
        record(windows, 0.0, 0.001)
    record(windows, 1.0, 9.0, is_new=True)
    assert windows.take(SNAPSHOT, 2.0)[1].new.slow == 0


def test_revisions_are_counted_separately():
    """Guards against outcomes of an earlier share counted for a later one."""
    windows = EvidenceWindows("n1", 1.0)
    record(windows, 0.1, revision=1)
    record(windows, 0.2, revision=2, is_new=True)
    record(windows, 0.3, revision=1, is_failure=True)
    first, second = windows.take(SNAPSHOT, 1.0)
    assert (first.revision, first.old) == (1, OutcomeCounts(2, 1, 0))
    assert (second.revision, second.new) == (2, OutcomeCounts(1, 0, 0))


def test_latencies_of_ended_moves_are_deleted():
    """Guards against memory that grows with each move by its histograms."""
    windows = EvidenceWindows("n1", 1.0)
    record(windows, 0.0)
    windows.take(Snapshot(), 1.0)
    assert not windows._latencies_by_key
