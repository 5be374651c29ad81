"""Replay without a network: a whole zone of workers returns cold under full load."""

import heapq
import random
from collections import Counter, deque
from types import SimpleNamespace

import pytest
from twisted.internet.task import Clock

from bamboocove.coordination.placement import HostView, QueueReport, pick_host
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from bamboocove.sidecar.cold_worker import ColdWorker
from bamboocove.sidecar.inbound_reports import make_load
from bamboocove.sidecar.refusals import COLD_REASON, exclude_alike
from bamboocove.sidecar.settings import Bounds
from bamboocove.state.mesh import MeshService

STEP_S = 0.002
SLOTS = 7
WORK_S = 0.19
TARGET_S = 0.606
PER_ZONE = 8
LOAD_PER_S = 520.0
COLD_PER_S = 10.0
RETURN_AT, COLD_S, END_AT = 2.0, 5.0, 11.0
# Time until a record of a host, and a report of a busy worker, are known elsewhere.
RECORD_DELAY_S = 0.05
REPORT_INTERVAL_S = 0.2
MAX_PER_S = 1.5 * COLD_PER_S + 8


class Replay:
    """Origins that place requests, and the queues of the workers."""

    def __init__(self, cold_per_s):
        self.clock = Clock()
        self.random = random.Random(11)
        self.cold_per_s = cold_per_s
        self.hosts = {f"{zone}{n}": zone for zone in "abc" for n in range(PER_ZONE)}
        self.queues = {h: WorkerQueue(SLOTS) for h, z in self.hosts.items()}
        self.workers = {}
        self.views = {origin: {} for origin in self.hosts}
        self.events = []
        self.number = 0
        self.started_at = {host: [] for host in self.hosts}
        self.answered = []
        self.failed = []
        self.cold_refusals = Counter()
        for host, zone in self.hosts.items():
            if zone != "c":
                self.join(host)

    def after(self, seconds, call, *args):
        self.number += 1
        at = self.clock.seconds() + seconds
        heapq.heappush(self.events, (at, self.number, call, args))

    def join(self, host, cold_s=0.0):
        cold = self.workers[host] = ColdWorker(
            self.clock,
            lambda: self.queues[host],
            lambda entry: self.refuse(host, entry, COLD_REASON),
            lambda: self.start(host),
            lambda: self.after(RECORD_DELAY_S, self.use_record, host),
        )
        service = MeshService("s", "/", 100, COLD_S, self.cold_per_s)
        cold.configure(service, Bounds())
        cold.update(cold_s)
        self.after(RECORD_DELAY_S, self.use_record, host)

    def use_record(self, host):
        for views in self.views.values():
            view = views.setdefault(
                host, HostView(host, self.hosts[host], "s", "v", SLOTS)
            )
            view.cold_per_s = self.workers[host].limit_per_s

    def report(self, host, origins):
        now = self.clock.seconds()
        running, slots, failures, *waits = make_load(self.queues[host], 0.0, now)
        for origin in origins:
            report = QueueReport(running, slots, failures, tuple(waits))
            self.views[origin][host].update_report(report, now)

    def dispatch(self, request):
        now = self.clock.seconds()
        views = self.views[request.origin]
        view = None
        if request.hosts_tried < 4:
            view = pick_host(
                list(views.values()),
                "r",
                1,
                TARGET_S,
                self.hosts[request.origin],
                now,
                self.random.random,
                request.excluded_host_ids,
            )
        if view is None:
            self.failed.append(now)
            return
        request.hosts_tried += 1
        request.view = view
        view.in_flight += 1
        view.sent_since_report += 1
        self.after(0.002, self.arrive, request, view.host_id)

    def arrive(self, request, host):
        now = self.clock.seconds()
        queue = self.queues[host]
        entry = QueuedRequest("r", 1, request.target_at, request.target_at + 1, request)
        is_admitted, evicted = queue.offer(entry, now)
        reason = COLD_REASON if queue.is_held_by_cold(now) else "queue is full"
        for other in evicted if is_admitted else [*evicted, entry]:
            self.refuse(host, other, reason)
        self.start(host)

    def refuse(self, host, entry, reason):
        request = entry.payload
        request.view.in_flight -= 1
        self.report(host, [request.origin])
        request.last_reason = reason
        request.excluded_host_ids.add(host)
        if reason == COLD_REASON:
            self.cold_refusals[id(request)] += 1
        exclude_alike(request, self.fleets[request.origin])
        self.after(0.002, self.dispatch, request)

    def start(self, host):
        now = self.clock.seconds()
        while True:
            entry, expired = self.queues[host].start_next(now)
            for other in expired:
                self.refuse(host, other, COLD_REASON)
            if entry is None:
                return
            self.started_at[host].append(now)
            work_s = WORK_S * self.random.uniform(0.8, 1.2)
            self.after(work_s, self.finish, host, entry)

    def finish(self, host, entry):
        now = self.clock.seconds()
        self.queues[host].finish(entry, now, True)
        request = entry.payload
        request.view.in_flight -= 1
        request.view.record_service_time("r", now - entry.started_at)
        self.report(host, [request.origin])
        self.answered.append(now)
        self.start(host)

    def run(self):
        self.fleets = {
            origin: SimpleNamespace(
                get_cold_ids=lambda views=views: [
                    h for h, view in views.items() if view.cold_per_s
                ]
            )
            for origin, views in self.views.items()
        }
        self.kept = []
        next_request_at, next_report_at = 0.1, 0.0
        has_returned = False
        while self.clock.seconds() < END_AT:
            self.clock.advance(STEP_S)
            now = self.clock.seconds()
            if now >= RETURN_AT and not has_returned:
                has_returned = True
                for host, zone in self.hosts.items():
                    if zone == "c":
                        self.join(host, COLD_S)
            while self.events and self.events[0][0] <= now:
                _, _, call, args = heapq.heappop(self.events)
                call(*args)
            for host in self.workers:
                self.workers[host].tick()
                self.start(host)
            if now >= next_report_at:
                next_report_at = now + REPORT_INTERVAL_S
                for host in self.views["a0"]:
                    self.report(host, self.hosts)
            while next_request_at <= now:
                next_request_at += self.random.expovariate(LOAD_PER_S)
                request = SimpleNamespace(
                    origin=self.random.choice(list(self.hosts)),
                    target_at=now + TARGET_S,
                    hosts_tried=0,
                    excluded_host_ids=set(),
                    last_reason="",
                    view=None,
                )
                self.kept.append(request)
                self.dispatch(request)
        return self

    def count_most_in_a_second(self, host):
        window, most = deque(), 0
        for at in self.started_at[host]:
            if not RETURN_AT <= at < RETURN_AT + COLD_S:
                continue
            window.append(at)
            while window[0] <= at - 1.0:
                window.popleft()
            most = max(most, len(window))
        return most

    def count_most(self):
        zone = [host for host, zone in self.hosts.items() if zone == "c"]
        return max(map(self.count_most_in_a_second, zone))


@pytest.fixture(scope="module")
def replay():
    return Replay(COLD_PER_S).run()


def test_no_cold_worker_gets_more_than_the_bound_in_any_second(replay):
    """Guards against workers that crash because they get their usual load cold."""
    assert 0 < replay.count_most() <= MAX_PER_S


def test_no_request_is_refused_twice_because_workers_are_cold(replay):
    """Guards against requests that go from one cold worker to the next."""
    assert max(replay.cold_refusals.values(), default=0) <= 1


def test_callers_are_served_and_the_traffic_of_the_zone_returns(replay):
    """Guards against a zone that stays idle, and refusals while others have room."""
    assert len(replay.failed) <= 0.01 * len(replay.kept)
    cold, warm = Counter(), Counter()
    for host, times in replay.started_at.items():
        zone = replay.hosts[host]
        cold[zone] += sum(RETURN_AT + 1.0 <= t < RETURN_AT + COLD_S for t in times)
        warm[zone] += sum(t >= RETURN_AT + COLD_S + 1.0 for t in times)
    assert cold["c"] >= 0.5 * COLD_PER_S * PER_ZONE * (COLD_S - 1.0)
    assert warm["c"] >= 0.8 * sum(warm.values()) / 3


def test_without_the_limit_the_bound_is_exceeded():
    """Shows that the load of this replay needs the limit."""
    assert Replay(0.0).run().count_most() > MAX_PER_S
