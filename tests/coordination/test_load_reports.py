"""Load balancing with many nodes that rarely get a report from a worker."""

import heapq
import random
from itertools import count

import pytest

from bamboocove.coordination.load_reports import (
    REMOTE_ZONES_INTERVAL_S,
    LoadRelay,
    LoadReporter,
)
from bamboocove.coordination.placement import HostView, QueueReport, pick_host
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue

SENDERS = 40
MAX_HOSTS_TRIED = 4
PRIORITY = 1


class SimulatedFleet:
    """Discrete-event simulation of sending nodes and of hosts with one queue each."""

    def __init__(self, hosts, slots, rate, mean_s, target_s, seed, has_reports):
        self.random = random.Random(seed)
        self.mean_s, self.target_s, self.rate = mean_s, target_s, rate
        self.has_reports = has_reports
        speeds = (0.6, 1.0, 1.4)
        self.speeds = [speeds[n % len(speeds)] for n in range(hosts)]
        self.queues = [WorkerQueue(slots) for _ in range(hosts)]
        self.reporters = [LoadReporter() for _ in range(hosts)]
        self.views = [
            [HostView(str(n), "a", "s", "v1", slots) for n in range(hosts)]
            for _ in range(SENDERS)
        ]
        self.started = [0] * hosts
        self.relay = LoadRelay()
        self.events = []
        self.sequence = count()
        self.requests = self.in_time = 0

    def schedule(self, when, action, *args):
        heapq.heappush(self.events, (when, next(self.sequence), action, args))

    def report(self, host, now):
        queue = self.queues[host]
        waits = [int(queue.predict_reported_wait(r - 1, now) * 1000) for r in range(4)]
        slots = queue.count_usable_slots()
        return QueueReport(len(queue.running), slots, 0, tuple(waits))

    def arrive(self, now):
        self.schedule(now + self.random.expovariate(self.rate), self.arrive)
        self.requests += 1
        self.place(now, now, self.draw_sender(), set())

    def draw_sender(self):
        return self.random.randrange(SENDERS)

    def pick(self, sender, views, excluded, now):
        draw = self.random.random
        return pick_host(views, "r", PRIORITY, self.target_s, "a", now, draw, excluded)

    def place(self, now, arrived_at, sender, excluded):
        if len(excluded) == MAX_HOSTS_TRIED:
            return
        view = self.pick(sender, self.views[sender], excluded, now)
        if view is None:
            return
        view.in_flight += 1
        view.sent_since_report += 1
        host = int(view.host_id)
        entry = QueuedRequest(
            "r", PRIORITY, arrived_at + self.target_s, arrived_at + 2.5, None
        )
        entry.payload = (arrived_at, sender, view)
        is_admitted, evicted = self.queues[host].offer(entry, now)
        refused = [*evicted] if is_admitted else [entry, *evicted]
        for other in refused:
            other_arrived_at, other_sender, other_view = other.payload
            other_view.in_flight -= 1
            other_view.update_report(self.report(host, now), now)
            other_view.record_refusal(PRIORITY, now + 0.05, now)
            self.place(
                now, other_arrived_at, other_sender, {*excluded, other_view.host_id}
            )
        self.start(now, host)

    def start(self, now, host):
        while True:
            entry, _ = self.queues[host].start_next(now)
            if entry is None:
                return
            self.started[host] += 1
            service_s = self.random.lognormvariate(-0.12, 0.5) * self.mean_s
            self.schedule(now + service_s * self.speeds[host], self.end, host, entry)

    def end(self, now, host, entry):
        arrived_at, sender, view = entry.payload
        self.queues[host].finish(entry, now, True)
        self.start(now, host)
        view.in_flight -= 1
        view.update_report(self.report(host, now), now)
        view.record_service_time("r", now - entry.started_at)
        self.in_time += now - arrived_at <= self.target_s
        self.on_answered(now, arrived_at, sender, view)

    def on_answered(self, now, arrived_at, sender, view):
        pass

    def tick(self, now):
        self.schedule(now + 0.1, self.tick)
        for host, queue in enumerate(self.queues):
            slots = queue.count_usable_slots()
            counts = len(queue.running), len(queue.waiting), slots
            self.start(now, host)
            if self.reporters[host].should_report(*counts, now):
                self.relay.add(host, self.report(host, now))
        for host, report in self.relay.take(now)[0].items():
            for views in self.views:
                views[host].update_report(report, now)

    def run(self, seconds):
        self.schedule(0.0, self.arrive)
        if self.has_reports:
            self.schedule(0.05, self.tick)
        now = 0.0
        while now < seconds:
            now, _, action, args = heapq.heappop(self.events)
            action(now, *args)
        return self.in_time / self.requests


def simulate(has_reports, seed, hosts=24, slots=5, load=0.85, mean_s=0.2, target_s=0.6):
    capacity = sum(slots / (mean_s * s) for s in (0.6, 1.0, 1.4)) * hosts / 3
    fleet = SimulatedFleet(
        hosts, slots, load * capacity, mean_s, target_s, seed, has_reports
    )
    return fleet.run(8.0)


@pytest.mark.parametrize("hosts, slots", [(24, 5), (40, 9), (6, 12)])
def test_reports_divert_requests_from_busy_workers(hosts, slots):
    """Guards against requests that queue at one worker while others are idle."""
    # The gain of three or eight seeds differs by as much as the bound leaves.
    seeds = range(1, 17)
    late_without = sum(1 - simulate(False, seed, hosts, slots) for seed in seeds)
    late_with = sum(1 - simulate(True, seed, hosts, slots) for seed in seeds)
    assert late_with < 0.9 * late_without


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_requests_beyond_named_limits_are_answered_in_time_by_other_workers(seed):
    """Guards against late or refused requests while workers without a limit have room.

    70% of the workers name half of what they would get; the others can take the rest.
    """
    hosts, seconds = 24, 8.0
    limited = round(0.7 * hosts)
    fleet = SimulatedFleet(hosts, 9, 250.0, 0.2, 0.6, seed, has_reports=True)
    limit_per_s = 0.5 * 250.0 / hosts
    for queue in fleet.queues[:limited]:
        queue.limiter.set_limit(limit_per_s, 0.0)
    assert fleet.run(seconds) >= 0.95
    allowed = 1.25 * limit_per_s * seconds + 3
    assert max(fleet.started[:limited]) <= allowed
    # The reserve is for requests that find no room elsewhere.
    assert sum(fleet.started[:limited]) <= 1.1 * limited * limit_per_s * seconds


def test_idle_worker_sends_no_reports():
    """Guards against messages between all hosts while there is little load."""
    reporter = LoadReporter()
    assert not any(reporter.should_report(2, 0, 9, t / 10) for t in range(50))


def test_end_of_a_load_is_reported_once():
    """Guards against nodes that go on treating an idle worker as busy."""
    reporter = LoadReporter()
    assert reporter.should_report(9, 3, 9, 10.0)
    assert not reporter.should_report(9, 3, 9, 10.1)
    assert reporter.should_report(0, 0, 9, 10.2)
    assert not any(reporter.should_report(0, 0, 9, 10.2 + t / 10) for t in range(50))


def test_reports_are_batched_and_sent_less_often_to_other_zones():
    """Guards against traffic that grows with the square of the hosts."""
    relay = LoadRelay()
    relay.add("h1", [9, 9, 0, 50])
    relay.add("h2", [5, 9, 0])
    assert relay.take(10.0) == ({"h1": [9, 9, 0, 50], "h2": [5, 9, 0]},) * 2
    assert relay.take(10.0 + REMOTE_ZONES_INTERVAL_S) == ({}, {})
    relay.add("h1", [1, 9, 0])
    assert relay.take(10.1) == ({"h1": [1, 9, 0]}, {})
    assert relay.take(10.0 + REMOTE_ZONES_INTERVAL_S) == ({}, {"h1": [1, 9, 0]})
