"""Load balancing across hosts by their queue reports."""

import random

from bamboocove.coordination.placement import (
    HostView,
    QueueReport,
    compute_retry_after,
    pick_host,
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
