"""Workers whose machine is slow for some hundred milliseconds at a time."""

import random

from bamboocove.coordination.hand_back import pick_hand_back
from bamboocove.coordination.placement import HostView, QueueReport
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from tests.coordination.test_load_reports import SENDERS, SimulatedFleet

SLOW = 2.5
SLOW_SHARE = 0.15
PERIOD_S = 0.3


class SlowFleet(SimulatedFleet):
    """Hosts that are slow at random times; their answers may tell it."""

    def __init__(self, tells, seed, hosts=21, slots=3, load=0.6):
        rate = load * hosts * slots / 0.19 / (1 + SLOW_SHARE * (SLOW - 1))
        super().__init__(hosts, slots, rate, 0.19, 0.61, seed, has_reports=True)
        self.tells = tells
        self.speeds = [1.0] * hosts
        self.late = 0
        self.moved = set()
        for host in range(hosts):
            self.schedule(0.0, self.turn, host)

    def turn(self, now, host):
        is_slow = self.random.random() < SLOW_SHARE
        self.speeds[host] = SLOW if is_slow else 1.0
        self.schedule(now + PERIOD_S, self.turn, host)

    def end(self, now, host, entry):
        if self.tells:
            self.queues[host].machine_load.record(self.speeds[host], now)
        super().end(now, host, entry)

    def tick(self, now):
        super().tick(now)
        if not self.tells:
            return
        for host, queue in enumerate(self.queues):
            for request in queue.waiting:
                request.may_hand_back = request.payload[0] not in self.moved
            views = self.views[host % SENDERS]
            entry = pick_hand_back(queue, views, str(host), "a", now)
            if entry is None:
                continue
            queue.discard(entry)
            arrived_at, sender, view = entry.payload
            self.moved.add(arrived_at)
            view.in_flight -= 1
            view.update_report(self.report(host, now), now)
            self.place(now, arrived_at, sender, {str(host)})

    def on_answered(self, now, arrived_at, sender, view):
        self.late += now - arrived_at > self.target_s


def test_machine_that_is_slow_for_a_moment_gets_less():
    """Guards against requests that wait at a slow machine while others are idle."""
    late = dict.fromkeys((False, True), 0)
    for seed in range(1, 6):
        for tells in late:
            fleet = SlowFleet(tells, seed)
            fleet.run(12.0)
            late[tells] += fleet.late
    assert late[True] < 0.85 * late[False], late


def make_queue(waiting=4, **values):
    queue = WorkerQueue(2)
    queue.service_times.record("r", 0.2)
    for _ in range(2 + waiting):
        request = QueuedRequest("r", 1, 9.0, 9.0, None, **values)
        queue.waiting.append(request)
    for _ in range(2):
        queue.start_next(0.0)
    return queue


def make_views(waits=(0,)):
    views = [HostView(name, "a", "s", "v1", 2) for name in ("own", "x")]
    views[1].update_report(QueueReport(2 * any(waits), 2, 0, waits), 0.0)
    return views


def test_waiting_request_is_handed_back_once_and_only_to_idle_workers():
    """Guards against requests that go round, and against moves under overload."""
    queue = make_queue(may_hand_back=True)
    picked = pick_hand_back(queue, make_views(), "own", "a", 0.0)
    assert picked is queue.waiting[-1]
    assert pick_hand_back(queue, make_views((0, 50, 50)), "own", "a", 0.0) is None
    # The only idle worker is in another zone.
    assert pick_hand_back(queue, make_views(), "own", "b", 0.0) is None
    moved = make_queue(may_hand_back=False)
    assert pick_hand_back(moved, make_views(), "own", "a", 0.0) is None
    short = make_queue(waiting=0, may_hand_back=True)
    assert pick_hand_back(short, make_views(), "own", "a", 0.0) is None


def test_figure_counts_in_waits_for_a_short_time():
    """Guards against a worker that is taken for slow after its last answer."""
    queue = make_queue()
    usual_s = queue.predict_wait(1, 0.0)
    queue.machine_load.record(SLOW, 0.0)
    assert queue.predict_wait(1, 0.4) > 1.8 * usual_s
    assert queue.predict_wait(1, 0.6) == usual_s
    idle = WorkerQueue(2, machine_load=queue.machine_load)
    assert idle.predict_wait(1, 0.1) == 0.0
    assert idle.predict_reported_wait(1, 0.1) > 0.1
    draw = random.Random(1)
    for odd in (0.0, -3.0, float("inf"), float("nan"), 1e9, draw.uniform(21, 99)):
        queue.machine_load.record(odd, 1.0)
    assert queue.predict_wait(1, 1.0) == usual_s
