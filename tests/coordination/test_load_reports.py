"""Placement with many origins, each of which seldom hears of a worker."""

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

ORIGINS = 40
MOST_ASKED = 4
RANK = 1


class Fleet:
    """Origins, and hosts with a queue each, played by events in time."""

    def __init__(self, hosts, slots, rate, mean_s, target_s, seed, has_signs):
        self.random = random.Random(seed)
        self.mean_s, self.target_s, self.rate = mean_s, target_s, rate
        self.has_signs = has_signs
        speeds = (0.6, 1.0, 1.4)
        self.speeds = [speeds[n % len(speeds)] for n in range(hosts)]
        self.queues = [WorkerQueue(slots) for _ in range(hosts)]
        self.signs = [LoadReporter() for _ in range(hosts)]
        self.views = [
            [HostView(str(n), "a", "s", "v1", slots) for n in range(hosts)]
            for _ in range(ORIGINS)
        ]
        self.table = LoadRelay()
        self.events = []
        self.numbers = count()
        self.asked = self.in_time = 0

    def at(self, when, work, *args):
        heapq.heappush(self.events, (when, next(self.numbers), work, args))

    def report(self, host):
        queue = self.queues[host]
        waits = tuple(int(queue.predict_wait(r - 1) * 1000) for r in range(4))
        return QueueReport(len(queue.running), queue.slots, 0, waits)

    def arrive(self, now):
        self.at(now + self.random.expovariate(self.rate), self.arrive)
        self.asked += 1
        self.place(now, now, self.random.randrange(ORIGINS), set())

    def place(self, now, since, origin, excluded):
        if len(excluded) == MOST_ASKED:
            return
        views = self.views[origin]
        view = pick_host(
            views, "r", RANK, self.target_s, "a", now, self.random.random, excluded
        )
        if view is None:
            return
        view.in_flight += 1
        view.sent_since_report += 1
        host = int(view.host_id)
        entry = QueuedRequest("r", RANK, since + self.target_s, since + 2.5, None)
        entry.payload = (since, origin, view)
        is_taken, evicted = self.queues[host].offer(entry, now)
        refused = [*evicted] if is_taken else [entry, *evicted]
        for other in refused:
            begun, sender, held = other.payload
            held.in_flight -= 1
            held.update_report(self.report(host), now)
            held.record_refusal(RANK, now + 0.05, now)
            self.place(now, begun, sender, {*excluded, held.host_id})
        self.start(now, host)

    def start(self, now, host):
        while True:
            entry, _ = self.queues[host].start_next(now)
            if entry is None:
                return
            work_s = self.random.lognormvariate(-0.12, 0.5) * self.mean_s
            self.at(now + work_s * self.speeds[host], self.end, host, entry)

    def end(self, now, host, entry):
        since, _, view = entry.payload
        self.queues[host].finish(entry, now, True)
        self.start(now, host)
        view.in_flight -= 1
        view.update_report(self.report(host), now)
        view.record_service_time("r", now - entry.started_at)
        self.in_time += now - since <= self.target_s

    def tick(self, now):
        self.at(now + 0.1, self.tick)
        for host, queue in enumerate(self.queues):
            counts = len(queue.running), len(queue.waiting), queue.slots
            if self.signs[host].should_report(*counts, now):
                self.table.add(host, self.report(host))
        for host, report in self.table.take(now)[0].items():
            for views in self.views:
                views[host].update_report(report, now)

    def play(self, seconds):
        self.at(0.0, self.arrive)
        if self.has_signs:
            self.at(0.05, self.tick)
        now = 0.0
        while now < seconds:
            now, _, work, args = heapq.heappop(self.events)
            work(now, *args)
        return self.in_time / self.asked


def play(has_signs, seed, hosts=24, slots=5, load=0.85, mean_s=0.2, target_s=0.6):
    capacity = sum(slots / (mean_s * s) for s in (0.6, 1.0, 1.4)) * hosts / 3
    fleet = Fleet(hosts, slots, load * capacity, mean_s, target_s, seed, has_signs)
    return fleet.play(8.0)


@pytest.mark.parametrize("hosts, slots", [(24, 5), (40, 9), (6, 12)])
def test_signs_keep_requests_from_busy_workers(hosts, slots):
    """Guards against requests that wait at one worker while others are idle."""
    seeds = (1, 2, 3)
    late_without = sum(1 - play(False, seed, hosts, slots) for seed in seeds)
    late_with = sum(1 - play(True, seed, hosts, slots) for seed in seeds)
    assert late_with < 0.9 * late_without


def test_idle_worker_tells_nothing():
    """Guards against messages between all hosts of a quiet fleet."""
    signs = LoadReporter()
    assert not any(signs.should_report(2, 0, 9, t / 10) for t in range(50))


def test_end_of_a_load_is_told_once():
    """Guards against a worker that stays busy in the others' eyes."""
    signs = LoadReporter()
    assert signs.should_report(9, 3, 9, 10.0)
    assert not signs.should_report(9, 3, 9, 10.1)
    assert signs.should_report(0, 0, 9, 10.2)
    assert not any(signs.should_report(0, 0, 9, 10.2 + t / 10) for t in range(50))


def test_signs_are_handed_on_together_and_seldom_to_other_zones():
    """Guards against traffic that grows with the square of the hosts."""
    table = LoadRelay()
    table.add("h1", [9, 9, 0, 50])
    table.add("h2", [5, 9, 0])
    assert table.take(10.0) == ({"h1": [9, 9, 0, 50], "h2": [5, 9, 0]},) * 2
    assert table.take(10.0 + REMOTE_ZONES_INTERVAL_S) == ({}, {})
    table.add("h1", [1, 9, 0])
    assert table.take(10.1) == ({"h1": [1, 9, 0]}, {})
    assert table.take(10.0 + REMOTE_ZONES_INTERVAL_S) == ({}, {"h1": [1, 9, 0]})
