"""Load balancing across hosts by their queue reports."""

import random

import pytest

from bamboocove.coordination.placement import (
    HostView,
    QueueReport,
    pick_host,
)
from bamboocove.coordination.retry_after import (
    compute_retry_after,
)


def make_view(host_id, zone="a", slots=12, **values):
    return HostView(host_id, zone, "s", "v1", slots, **values)


def count_picks(views, times=1000, now=0.0, zone="a", **options):
    draw = random.Random(1).random
    counts = {view.host_id: 0 for view in views}
    for _ in range(times):
        picked = pick_host(views, "r", 0, 0.3, zone, now, draw, **options)
        counts[picked.host_id] += 1
    return counts


def test_faster_worker_is_preferred():
    """Guards against distributing requests evenly over workers of unequal speed."""
    slow, fast = make_view("slow"), make_view("fast")
    slow.record_service_time("r", 0.2)
    fast.record_service_time("r", 0.08)
    assert count_picks([slow, fast])["fast"] == 1000


def test_request_stays_in_its_zone_while_it_meets_its_objective():
    """Guards against traffic between zones without a benefit for callers."""
    near, far = make_view("near"), make_view("far", zone="b")
    near.record_service_time("r", 0.11)
    far.record_service_time("r", 0.05)
    assert count_picks([near, far])["near"] > 900
    for _ in range(30):
        near.record_service_time("r", 0.25)
    assert count_picks([near, far])["far"] > 900


def test_full_queue_outweighs_the_zone_penalty():
    """Guards against an overloaded worker in a zone while others are idle."""
    near, far = make_view("near"), make_view("far", zone="b")
    assert count_picks([near, far])["near"] > 900
    near.update_report(QueueReport(12, 12, 0, (0, 150, 150)), 0.0)
    assert count_picks([near, far])["far"] == 1000


def test_requests_sent_since_the_report_count():
    """Guards against sending all requests between two reports to one host."""
    views = [make_view(name) for name in ("x", "y")]
    for view in views:
        view.update_report(QueueReport(10, 12, 0, (0,)), 0.0)
    draw = random.Random(1).random
    for _ in range(12):
        picked = pick_host(views, "r", 0, 0.3, "a", 0.0, draw)
        picked.in_flight += 1
        picked.sent_since_report += 1
    assert abs(views[0].in_flight - views[1].in_flight) <= 4


def test_failing_worker_is_avoided_and_tried_again():
    """Guards against preferring a worker that responds quickly because it fails."""
    failing, healthy = make_view("failing"), make_view("healthy")
    failing.record_service_time("r", 0.05)
    healthy.record_service_time("r", 0.1)
    failing.update_report(QueueReport(0, 12, 450, (0,)), 0.0)
    assert count_picks([failing, healthy])["healthy"] == 1000
    assert count_picks([failing, healthy], now=5.0)["failing"] > 0


def test_excluded_and_suspended_hosts_are_not_picked():
    views = [make_view("x"), make_view("y", suspended_until=2.0)]
    draw = random.Random(1).random
    assert pick_host(views, "r", 0, 0.3, "a", 1.0, draw, {"x"}) is None


def test_retry_delays_are_spread_and_within_the_callers_timeout():
    """Guards against refused callers that all retry at the same moment."""
    draw = random.Random(1).random
    times = [compute_retry_after(1.2, draw) for _ in range(200)]
    assert max(times) - min(times) > 0.1
    assert max(times) <= 1.2 / 3
    assert compute_retry_after(0.0, draw) > 0


def test_refused_host_still_gets_more_urgent_requests():
    """Guards against skipping a host for urgent requests after it refused another.

    A refused request of low priority says nothing about more urgent ones.
    """
    view = make_view("x")
    view.record_refusal(2, 0.05, 0.0)
    draw = random.Random(1).random

    def is_picked(priority, now):
        return pick_host([view], "r", priority, 0.3, "a", now, draw) is not None

    assert [is_picked(priority, 0.01) for priority in (-1, 0, 1, 2, 3)] == [
        True
    ] * 3 + [
        False,
        False,
    ]
    assert is_picked(2, 0.06)
    view.record_refusal(0, 0.2, 0.1)
    view.record_refusal(2, 0.2, 0.1)
    assert not is_picked(0, 0.15)


@pytest.mark.parametrize("has_reports", [True, False])
def test_burst_is_divided_by_the_time_that_queued_requests_take(has_reports):
    """Guards against a queue at the faster worker that outlasts the objective.

    With 50 ms for each waiting request, the fast worker got all of them, and the last
    one waited 2.25 s.
    """
    fast, slow = make_view("fast", slots=3), make_view("slow", slots=3)
    for _ in range(9):
        fast.record_service_time("r", 0.45)
        slow.record_service_time("r", 1.05)
    if has_reports:
        for view in (fast, slow):
            view.update_report(QueueReport(0, 3, 0, (0,)), 0.0)
    draw = random.Random(1).random
    for _ in range(18):
        picked = pick_host([fast, slow], "r", 0, 2.5, "a", 0.0, draw)
        picked.in_flight += 1
        picked.sent_since_report += 1
    last_fast_s = (fast.in_flight - 1) // 3 * 0.45
    last_slow_s = (slow.in_flight - 1) // 3 * 1.05
    assert max(last_fast_s, last_slow_s) <= 1.8
    assert last_slow_s + 1.05 <= 2.5


def test_requests_on_the_way_count_although_a_report_has_come_since():
    """Guards against a report that was made before a node's own requests arrived."""
    near, other = make_view("x", slots=3), make_view("y", slots=3)
    near.in_flight = 6
    for view in (near, other):
        view.update_report(QueueReport(2, 3, 0, (0,)), 0.0)
        view.record_service_time("r", 0.2)
    assert count_picks([near, other])["y"] == 1000


def test_request_refused_in_its_zone_finds_the_free_far_worker():
    """Guards against a refusal because the fastest far worker has a long queue."""
    near = make_view("near")
    views = [near, make_view("busy", zone="b"), make_view("free", zone="b")]
    views[1].record_service_time("r", 0.05)
    views[1].update_report(QueueReport(12, 12, 0, (60,)), 0.0)
    views[2].record_service_time("r", 0.2)
    # Its last slot is the reserve of its own zone.
    views[2].update_report(QueueReport(11, 12, 0, (0,)), 0.0)
    picks = count_picks(views, times=100, excluded={"near"})
    assert picks["free"] == 100
