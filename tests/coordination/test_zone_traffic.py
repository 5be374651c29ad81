"""Traffic between zones: replays with callers that are unevenly spread over zones."""

import pytest

from bamboocove.coordination.placement import HostView, QueueReport, pick_host
from bamboocove.coordination.zone_traffic import (
    NO_WORKER,
    REFUSED_IN_ZONE,
    RouteTraffic,
)
from tests.coordination.test_load_reports import (
    MAX_HOSTS_TRIED,
    PRIORITY,
    SENDERS,
    SimulatedFleet,
)

ZONES = "abc"


class ZonedFleet(SimulatedFleet):
    """Hosts and sending nodes in three zones, with bodies of one size."""

    def __init__(self, weights, size, load, target_s, seed, hosts=18, slots=5):
        mean_s = 0.2
        rate = load * hosts * slots / mean_s * 1.075
        super().__init__(hosts, slots, rate, mean_s, target_s, seed, has_reports=True)
        self.weights, self.size = weights, size
        for views in self.views:
            for number, view in enumerate(views):
                view.zone = ZONES[number // (hosts // 3)]
        self.traffic = [RouteTraffic() for _ in range(SENDERS)]
        self.left_at = []
        self.refused = 0
        self.late = dict.fromkeys(ZONES, 0)
        self.answered = dict.fromkeys(ZONES, 0)

    def draw_sender(self):
        zone = self.random.choices(range(3), self.weights)[0]
        return zone + 3 * self.random.randrange(SENDERS // 3)

    def pick(self, sender, views, excluded, now):
        zone = ZONES[sender % 3]
        draw, traffic = self.random.random, self.traffic[sender]
        arguments = views, "r", PRIORITY, self.target_s, zone, now, draw, excluded
        view = pick_host(*arguments, traffic)
        if view is None:
            self.refused += 1
        elif view.zone != zone:
            self.left_at.append(now)
        return view

    def place(self, now, arrived_at, sender, excluded):
        self.refused += len(excluded) == MAX_HOSTS_TRIED
        super().place(now, arrived_at, sender, excluded)

    def on_answered(self, now, arrived_at, sender, view):
        zone = ZONES[sender % 3]
        self.traffic[sender].record_reply(self.size, view.zone != zone, True)
        self.answered[zone] += 1
        self.late[zone] += now - arrived_at > self.target_s


def replay(weights, size, load, target_s=0.6, seed=1, seconds=12.0):
    fleet = ZonedFleet(weights, size, load, target_s, seed)
    fleet.in_time_fraction = fleet.run(seconds)
    fleet.left_fraction = len(fleet.left_at) / fleet.requests
    return fleet


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_small_bodies_stay_in_a_zone_that_has_room(seed):
    """Guards against paid traffic for workers that are faster by a few hundredths."""
    fleet = replay((1, 1, 1), 300, 0.75, seed=seed)
    assert fleet.left_fraction < 0.02
    assert fleet.refused == 0
    assert max(fleet.late.values()) < 0.02 * fleet.requests / 3


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_uploads_leave_only_as_far_as_their_objective_needs(seed):
    """Guards against a price of traffic that is the same for 300 bytes and 60 KB."""
    fleet = replay((1.5, 0.5, 1), 60_000, 0.75, target_s=1.7, seed=seed)
    assert fleet.left_fraction < 0.08
    assert fleet.refused == 0
    assert sum(fleet.late.values()) < 0.01 * fleet.requests


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_callers_that_move_to_one_zone_are_served_by_the_others(seed):
    """Guards against late answers where the load is, or for the others' own callers."""
    fleet = replay((2, 0.5, 0.5), 300, 0.7, seed=seed)
    assert fleet.left_fraction < 0.25
    for zone in ZONES:
        assert fleet.late[zone] < 0.03 * fleet.answered[zone]
    # Requests that leave in each half second, once the share has settled.
    counts = [0] * 16
    for when in fleet.left_at:
        counts[min(15, int(max(0.0, when - 4.0) / 0.5))] += when >= 4.0
    assert max(counts) < 2.5 * sum(counts) / len(counts)


def make_zones(near_waits=(0,), far_waits=(0,)):
    views = [HostView(name, name[0], "s", "v1", 5) for name in ("a1", "b1", "b2")]
    for view, waits in ((views[0], near_waits), (views[2], far_waits)):
        view.update_report(QueueReport(5 * any(waits), 5, 0, waits), 0.0)
    for view in views:
        view.record_service_time("r", 0.2)
    return views


def count_leaving(views, traffic, times=400, excluded=(), interval_s=0.0):
    draw = SimulatedFleet(1, 1, 1.0, 1.0, 1.0, 1, False).random.random
    picked = [
        pick_host(views, "r", 1, 0.6, "a", n * interval_s, draw, excluded, traffic)
        for n in range(times)
    ]
    return sum(view is not None and view.zone != "a" for view in picked)


def test_share_rises_over_several_requests_and_falls_slowly():
    """Guards against all nodes that follow one report at once, and swing back."""
    views, traffic = make_zones(near_waits=(0, 0, 250)), RouteTraffic()
    count_leaving(views, traffic, times=30, interval_s=0.01)
    # Whoever sent all of them at once would send 30.
    assert 0.5 < traffic.share < 0.9
    for _ in range(10):
        share = traffic.share
        traffic.update_share(0.2, 0.2, 0.6, 0.5)
    assert 0.0 < share == traffic.share
    traffic.update_share(0.2, 0.2, 0.6, 20.0)
    assert traffic.share == 0.0


def test_less_is_sent_to_a_zone_whose_workers_report_waits():
    """Guards against callers elsewhere that wait behind the requests of this zone."""
    traffic = RouteTraffic(share=1.0)
    free = count_leaving(make_zones((0, 0, 250)), traffic)
    some = count_leaving(make_zones((0, 0, 250), (0, 0, 40)), traffic)
    assert free == 400 and 120 < some < 280
    views = make_zones((0, 0, 400), (0, 0, 200))
    views[1].update_report(QueueReport(5, 5, 0, (0, 0, 200)), 0.0)
    assert count_leaving(views, traffic) == 0
    # Refused in its zone, it would only make others wait there.
    assert count_leaving(views, traffic, excluded=("a1",)) == 0
    assert count_leaving(make_zones(), traffic, excluded=("a1",)) == 400
    assert traffic.reason == REFUSED_IN_ZONE


def test_everything_leaves_a_zone_without_a_usable_worker():
    """Guards against refused requests of a zone whose workers are all lost."""
    views, traffic = make_zones(far_waits=(0, 0, 200)), RouteTraffic()
    views[0].suspended_until = float("inf")
    views[1].update_report(QueueReport(5, 5, 0, (0, 0, 200)), 0.0)
    assert count_leaving(views, traffic) == 400
    assert traffic.reason == NO_WORKER
    assert count_leaving(views[1:], traffic) == 400
