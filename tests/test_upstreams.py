"""Tests of the state that a node keeps about upstream workers."""

from bamboocove.state.upstreams import (
    FAILURES_TO_EJECT,
    INITIAL_EJECTION_S,
    MAX_EJECTION_S,
    UpstreamTable,
    eject,
    record_failure,
    record_success,
)
from tests.callpath import make_member


def refresh(table, now, member, old=None):
    table.update(old, member, now)
    return table.upstreams_by_address.get(("127.0.0.1", 1))


def test_consecutive_failures_eject():
    """Guards against calls to a worker that fails all of them."""
    upstream = refresh(UpstreamTable(), 0.0, make_member(1, 1))
    for _ in range(FAILURES_TO_EJECT - 1):
        assert not record_failure(upstream, 1.0)
    record_success(upstream)
    for _ in range(FAILURES_TO_EJECT - 1):
        assert not record_failure(upstream, 1.0)
    assert record_failure(upstream, 1.0) == INITIAL_EJECTION_S
    assert upstream.ejected_until == 1.0 + INITIAL_EJECTION_S


def test_ejection_grows_and_is_bounded():
    """Guards against calling a dead worker every second without end.

    The time doubles from 1 s up to a limit, and a success resets it.
    """
    upstream = refresh(UpstreamTable(), 0.0, make_member(1, 1))
    now, times = 0.0, []
    for _ in range(8):
        times.append(eject(upstream, now))
        assert not eject(upstream, now), "an ejected worker was ejected again"
        now = upstream.ejected_until
    assert times[:4] == [1.0, 2.0, 4.0, 8.0]
    assert max(times) == MAX_EJECTION_S
    record_success(upstream)
    assert eject(upstream, now) == INITIAL_EJECTION_S


def test_refresh_keeps_state_and_detects_replaced_workers():
    """Guards against counting calls of a replaced worker for its successor."""
    table = UpstreamTable()
    first = refresh(table, 0.0, make_member(1, 1))
    first.in_flight = 3
    assert refresh(table, 5.0, make_member(1, 1)) is first
    replaced = refresh(table, 6.0, make_member(1, 1, "v2"))
    assert replaced is not first
    assert (replaced.version, replaced.first_seen) == ("v2", 6.0)
    assert refresh(table, 7.0, None, make_member(1, 1, "v2")) is None
    assert not table.upstreams_by_service["orders"]


def test_address_taken_over_by_another_node_is_kept():
    """Guards against removing a worker together with its address's former node."""
    table = UpstreamTable()
    refresh(table, 0.0, make_member(1, 1))
    second = refresh(table, 1.0, make_member(2, 1))
    assert refresh(table, 2.0, None, make_member(1, 1)) is second
    assert len(table.upstreams_by_service["orders"]) == 1


def test_restarted_worker_begins_slow_start():
    """Guards against full load on a restarted worker, and a stale ejection."""
    table = UpstreamTable()
    upstream = refresh(table, 0.0, make_member(1, 1))
    eject(upstream, 20.0)
    refresh(table, 20.0, make_member(1, 1, state="down"))
    refresh(table, 20.5, make_member(1, 1))
    assert (upstream.first_seen, upstream.ejected_until) == (20.5, 0.0)
