"""Short moves, simulated at the request rates of the users' sites."""

import random

import pytest

from bamboocove.coordination.short_moves import (
    MoveObservation,
    MoveProgress,
    Tally,
    advance,
    compute_wilson_lower_bound,
    find_regression,
    is_complete,
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
            if find_regression(self.old, self.new):
                return "rolled_back", now
            observation = MoveObservation(
                now,
                self.duration_s,
                sum(tally.calls for tally in self.new.values()),
                4 if now >= ready_s else 0,
                5,
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


def test_version_with_half_of_its_requests_five_times_slower_is_never_completed():
    """Guards against taking a slow version for a good one because time runs out."""
    states = [
        MoveSimulation(300, 16.0, seed).run("slow", slow_x=5.0)[0]
        for seed in range(200)
    ]
    assert states.count("succeeded") == 0


@pytest.mark.parametrize("seed", range(10))
def test_failures_of_both_versions_are_no_regression(seed):
    """Guards against a rollback because of a network fault."""
    simulation = MoveSimulation(340, 16.0, seed, old_failure_rate=0.25)
    assert simulation.run(None)[0] == "succeeded"


def test_move_waits_for_workers():
    """Guards against requests to a version that has no ready worker."""
    observation = MoveObservation(5.0, 16.0, 0, 0, 5)
    assert advance(MoveProgress(), observation, 5.0) == MoveProgress()


def test_last_step_needs_enough_workers():
    """Guards against moving all traffic to too few workers."""
    progress = MoveProgress(2, 0.0, 0)
    observation = MoveObservation(15.0, 16.0, 1000, 1, 5)
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
    assert compute_wilson_lower_bound(2, 2) < compute_wilson_lower_bound(20, 20) < 1.0
