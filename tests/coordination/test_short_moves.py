"""Short moves, simulated at the request rates of the users' sites."""

import random

import pytest

from bamboocove.coordination.short_moves import (
    MoveObservation,
    MoveProgress,
    advance,
    count_workers_used,
    is_complete,
)
from bamboocove.coordination.version_comparison import (
    Tally,
    compare_versions,
    compute_wilson_bounds,
    find_regression,
    is_shown_harmless,
    merge_tallies,
)

REPORT_S = 0.25


class MoveSimulation:
    """Simulates the requests to a service in a move, one report after the other."""

    def __init__(self, rate, duration_s, seed, old_failure_rate=0.005):
        self.rate = rate
        self.duration_s = duration_s
        self.random = random.Random(seed)
        self.old_failure_rate = old_failure_rate
        self.old = {}
        self.new = {}
        self.new_requests = 0
        self.bad_responses = 0
        self.bad_since_s = None
        self.requests = 0

    def record(self, tallies, route, failure_rate, slow_factor):
        is_failure = self.random.random() < failure_rate
        seconds = 0.1 * self.random.lognormvariate(0, 0.4) * slow_factor
        # Workers of one service differ in speed.
        seconds *= self.random.choice((0.7, 1.0, 1.6))
        tallies.setdefault(route, Tally()).record(is_failure, seconds)
        return is_failure or slow_factor > 3

    def run(
        self,
        fault,
        fault_starts_s=0.0,
        bad_fraction=0.5,
        only_route=None,
        ready_s=2.0,
        slow_x=8.0,
    ):
        """Return how the move ends, and after how many seconds."""
        progress = MoveProgress()
        now = 0.0
        while now < self.duration_s:
            now += REPORT_S
            for _ in range(int(self.rate * REPORT_S)):
                self.requests += 1
                route = "view" if self.random.random() < 0.7 else "confirm"
                if self.random.random() >= progress.share:
                    self.record(self.old, route, self.old_failure_rate, 1.0)
                    continue
                self.new_requests += 1
                is_bad = (
                    fault is not None
                    and now >= fault_starts_s
                    and (only_route in (None, route))
                    and self.random.random() < bad_fraction
                )
                failure_rate = (
                    1.0 if is_bad and fault == "errors" else self.old_failure_rate
                )
                slow_factor = slow_x if is_bad and fault == "slow" else 1.0
                self.bad_responses += self.record(
                    self.new, route, failure_rate, slow_factor
                )
                if self.bad_since_s is None and self.bad_responses >= 50:
                    self.bad_since_s = now
            comparisons = compare_versions(self.old, self.new)
            if find_regression(comparisons, now, self.duration_s):
                return "rolled_back", now
            observation = MoveObservation(
                now,
                self.duration_s,
                sum(tally.calls for tally in self.old.values()),
                sum(tally.calls for tally in self.new.values()),
                4 if now >= ready_s else 0,
                5,
                any(comparison.is_suspicious for comparison in comparisons),
                is_shown_harmless(comparisons),
            )
            progress = advance(progress, observation, now)
            if is_complete(progress, observation, now):
                return "succeeded", now
        return "running", now


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("duration_s", [12.0, 16.0])
@pytest.mark.parametrize("rate", [40, 340])
def test_good_move_succeeds_in_time(rate, duration_s, seed):
    """Guards against steps that are too slow, and noise taken for a regression."""
    state, ended_s = MoveSimulation(rate, duration_s, seed).run(None)
    assert state == "succeeded" and ended_s <= 0.95 * duration_s


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize("fault", ["errors", "slow"])
@pytest.mark.parametrize("fault_starts_s", [0.0, 5.0])
@pytest.mark.parametrize("route", [None, "confirm"])
def test_bad_move_is_rolled_back(fault, fault_starts_s, route, seed):
    """Guards against a late rollback.

    The new version may get at most a tenth of all requests plus 50, and the move
    must end within 5 s of its 50th bad response.
    """
    simulation = MoveSimulation(340, 16.0, seed)
    state, ended_s = simulation.run(fault, fault_starts_s, only_route=route)
    assert state == "rolled_back"
    assert simulation.new_requests <= 0.1 * 340 * 16 + 50
    if simulation.bad_since_s is not None:
        assert ended_s - simulation.bad_since_s <= 5.0


@pytest.mark.parametrize("seed", range(20))
@pytest.mark.parametrize(
    "slow_x, bad_fraction", [(3.5, 0.5), (4.0, 0.5), (5.0, 0.5), (5.0, 0.3)]
)
def test_slightly_slower_version_is_rolled_back_in_time(slow_x, bad_fraction, seed):
    """Guards against a version that stays at a small share until the bounds are sure.

    It must get no more requests 5 s after its 50th bad response.
    """
    simulation = MoveSimulation(320, 18.0, seed)
    state, ended_s = simulation.run("slow", slow_x=slow_x, bad_fraction=bad_fraction)
    assert state == "rolled_back"
    if simulation.bad_since_s is not None:
        assert ended_s - simulation.bad_since_s <= 5.0


def test_version_with_half_of_its_requests_five_times_slower_is_never_completed():
    """Guards against taking a slow version for a good one because time runs out."""
    states = [
        MoveSimulation(300, 16.0, seed).run("slow", slow_x=5.0)[0]
        for seed in range(200)
    ]
    assert states.count("succeeded") == 0


class HostSimulation:
    """Simulates a move among hosts of which some freeze and some turn slow.

    A fifth of the hosts freezes for 4 s, and a quarter runs five times slower for 4
    to 7 s, from a random moment on. Callers avoid a frozen host after half a second.
    """

    HOSTS = 5
    DURATION_S = 16.0
    REQUESTS_PER_REPORT = 75

    def __init__(self, seed, slow_x=1.0):
        self.random = draw = random.Random(seed)
        self.slow_x = slow_x
        hosts = [(is_new, number) for is_new in (0, 1) for number in range(self.HOSTS)]
        self.speed_by_host = {host: draw.choice((0.7, 1.0, 1.6)) for host in hosts}
        self.tallies_by_host = {host: {} for host in hosts}
        self.fault_at = draw.uniform(0.0, 8.0)
        self.slow_until = self.fault_at + draw.uniform(4.0, 7.0)
        self.frozen = {host for host in hosts if draw.random() < 0.2}
        self.slow = {host for host in hosts if draw.random() < 0.25}
        self.progress = MoveProgress()
        self.running = []
        self.new_requests = 0

    def choose_host(self, now):
        """Return the host for a request."""
        share = self.progress.share
        is_new = self.random.random() < share
        hosts = count_workers_used(share, self.HOSTS) if is_new else self.HOSTS
        number = self.random.randrange(hosts)
        if (is_new, number) in self.frozen and 0.5 < now - self.fault_at < 4.0:
            number = (number + 1) % self.HOSTS
        return int(is_new), number

    def send(self, now):
        """Send one request."""
        host = self.choose_host(now)
        self.new_requests += host[0]
        route, mean_s = ("view", 0.1) if self.random.random() < 0.7 else ("pay", 0.15)
        latency_s = mean_s * self.random.lognormvariate(0, 0.35)
        latency_s *= self.speed_by_host[host]
        if host[0] and self.random.random() < 0.5:
            latency_s *= self.slow_x
        if host in self.slow and self.fault_at <= now <= self.slow_until:
            latency_s *= 5
        thaws_at = self.fault_at + 4.0
        if host in self.frozen and self.fault_at - latency_s <= now <= thaws_at:
            latency_s += thaws_at - now
        self.running.append((now + latency_s, host, route, latency_s))

    def merge_tallies(self, is_new):
        return merge_tallies(
            tallies
            for host, tallies in self.tallies_by_host.items()
            if host[0] == is_new
        )

    def run(self):
        """Return how the move ends."""
        for report in range(int(self.DURATION_S / REPORT_S)):
            now = report * REPORT_S
            for _ in range(self.REQUESTS_PER_REPORT):
                self.send(now)
            finished = [request for request in self.running if request[0] <= now]
            self.running = [request for request in self.running if request[0] > now]
            for _, host, route, latency_s in finished:
                tally = self.tallies_by_host[host].setdefault(route, Tally())
                tally.record(self.random.random() < 0.005, latency_s)
            old, new = self.merge_tallies(0), self.merge_tallies(1)
            comparisons = compare_versions(old, new)
            if find_regression(comparisons, now, self.DURATION_S):
                return "rolled_back"
            observation = MoveObservation(
                now,
                self.DURATION_S,
                sum(tally.calls for tally in old.values()),
                sum(tally.calls for tally in new.values()),
                self.HOSTS if now >= 2.0 else 0,
                self.HOSTS,
                any(comparison.is_suspicious for comparison in comparisons),
                is_shown_harmless(comparisons),
            )
            self.progress = advance(self.progress, observation, now)
            if is_complete(self.progress, observation, now):
                return "succeeded"
        return "running"


def test_slow_version_among_slow_hosts_is_rolled_back():
    """Guards against taking a slow version for a good one beside slow old hosts.

    It may get at most a tenth of all requests plus 50.
    """
    for seed in range(200):
        simulation = HostSimulation(seed, slow_x=5.0)
        assert simulation.run() == "rolled_back"
        assert simulation.new_requests <= 0.1 * 300 * simulation.DURATION_S + 50


def test_good_version_among_slow_hosts_mostly_succeeds():
    """Guards against taking slow hosts for a slow version."""
    states = [HostSimulation(seed).run() for seed in range(200)]
    assert states.count("succeeded") >= 150


def test_slow_step_without_outcomes_waits_when_time_runs_out():
    """Guards against a step that no outcome supports because the move is late."""
    progress = MoveProgress(0, 0.0, 0, 0.05)
    observation = MoveObservation(15.0, 16.0, 1000, 5, 5, 5, False, False)
    assert advance(progress, observation, 15.0) == progress


def test_idle_service_is_moved_without_outcomes():
    """Guards against a move that waits for requests that never come."""
    progress = MoveProgress(0, 0.0, 0, 0.05)
    observation = MoveObservation(15.0, 16.0, 3, 0, 5, 5, False, False)
    assert advance(progress, observation, 15.0).step == 1


@pytest.mark.parametrize("seed", range(10))
def test_failures_of_both_versions_are_no_regression(seed):
    """Guards against a rollback because of a network fault."""
    simulation = MoveSimulation(340, 16.0, seed, old_failure_rate=0.25)
    assert simulation.run(None)[0] == "succeeded"


@pytest.mark.parametrize("old_calls, new_calls", [(14, 6), (14, 40), (3, 60)])
def test_route_that_always_fails_is_no_regression(old_calls, new_calls):
    """Guards against a rollback because of requests that fail on every version.

    A good version was rolled back since 6 of 6 requests of a route failed, as 14 of
    14 had on the old version.
    """
    old, new = Tally(), Tally()
    for tally, calls in ((old, old_calls), (new, new_calls)):
        for _ in range(calls):
            tally.record(True, 0.0)
    comparisons = compare_versions({"r": old}, {"r": new})
    assert not any(comparison.is_suspicious for comparison in comparisons)


def test_move_waits_for_workers():
    """Guards against requests to a version that has no ready worker."""
    observation = MoveObservation(5.0, 16.0, 0, 0, 0, 5, False, True)
    assert advance(MoveProgress(), observation, 5.0) == MoveProgress()


def test_last_step_needs_enough_workers():
    """Guards against moving all traffic to too few workers."""
    progress = MoveProgress(2, 0.0, 0)
    observation = MoveObservation(15.0, 16.0, 1000, 1000, 1, 5, False, True)
    assert advance(progress, observation, 15.0) == progress


def test_tallies_of_hosts_add_up():
    """Guards against a decision from the outcomes of one host only."""
    one, two = Tally(), Tally()
    one.record(False, 0.1)
    two.record(True, 0.0)
    merged = merge_tallies([{"r": one}, {"r": two}])
    assert (merged["r"].calls, merged["r"].failed) == (2, 1)


def test_lower_bound_of_few_outcomes_is_low():
    """Guards against a regression found from two or three requests."""
    assert compute_wilson_bounds(2, 2)[0] < compute_wilson_bounds(20, 20)[0] < 1.0
