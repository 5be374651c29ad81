"""Choice of the host of a request, from reports of the far queues."""

import random

from bamboocove.coordination.placement import (
    HostView,
    QueueReport,
    pick_host,
    plan_return,
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
    """Guards against an even spread over workers that differ in speed."""
    slow, fast = make_view("slow"), make_view("fast")
    slow.record_service_time("r", 0.2)
    fast.record_service_time("r", 0.08)
    assert count_picks([slow, fast])["fast"] == 1000


def test_request_stays_in_its_zone_while_its_objective_is_safe():
    """Guards against traffic between zones that serves nobody better."""
    near, far = make_view("near"), make_view("far", zone="b")
    near.record_service_time("r", 0.11)
    far.record_service_time("r", 0.05)
    assert count_picks([near, far])["near"] > 900
    for _ in range(30):
        near.record_service_time("r", 0.25)
    assert count_picks([near, far])["far"] > 900


def test_full_queue_outweighs_the_near_zone():
    """Guards against a zone whose worker is overrun while others are idle."""
    near, far = make_view("near"), make_view("far", zone="b")
    assert count_picks([near, far])["near"] > 900
    near.take_report(QueueReport(12, 12, 0, (0, 150, 150)), 0.0)
    assert count_picks([near, far])["far"] == 1000


def test_requests_sent_since_the_report_count():
    """Guards against a herd between two reports."""
    views = [make_view(name) for name in ("x", "y")]
    for view in views:
        view.take_report(QueueReport(10, 12, 0, (0,)), 0.0)
    draw = random.Random(1).random
    for _ in range(12):
        picked = pick_host(views, "r", 0, 0.3, "a", 0.0, draw)
        picked.in_flight += 1
        picked.sent_since_report += 1
    assert abs(views[0].in_flight - views[1].in_flight) <= 4


def test_failing_worker_is_avoided_and_tried_again():
    """Guards against a worker that fails fast and so looks the fastest."""
    grey, sound = make_view("grey"), make_view("sound")
    grey.record_service_time("r", 0.05)
    sound.record_service_time("r", 0.1)
    grey.take_report(QueueReport(0, 12, 450, (0,)), 0.0)
    assert count_picks([grey, sound])["sound"] == 1000
    assert count_picks([grey, sound], now=5.0)["grey"] > 0


def test_excluded_and_suspended_hosts_are_not_asked():
    views = [make_view("x"), make_view("y", suspended_until=2.0)]
    draw = random.Random(1).random
    assert pick_host(views, "r", 0, 0.3, "a", 1.0, draw, {"x"}) is None


def test_returns_are_spread_and_within_the_callers_patience():
    """Guards against callers that come back together."""
    draw = random.Random(1).random
    times = [plan_return(1.2, draw) for _ in range(200)]
    assert max(times) - min(times) > 0.1
    assert max(times) <= 1.2 / 3
    assert plan_return(0.0, draw) > 0


def test_refusal_of_a_rank_leaves_the_host_to_more_urgent_ones():
    """Guards against payments that are refused because a browse was."""
    view = make_view("x")
    view.take_refusal(2, 0.05, 0.0)
    draw = random.Random(1).random

    def is_asked(priority, now):
        return pick_host([view], "r", priority, 0.3, "a", now, draw) is not None

    assert [is_asked(rank, 0.01) for rank in (-1, 0, 1, 2, 3)] == [True] * 3 + [
        False,
        False,
    ]
    assert is_asked(2, 0.06)
    view.take_refusal(0, 0.2, 0.1)
    view.take_refusal(2, 0.2, 0.1)
    assert not is_asked(0, 0.15)
