"""Accounts that compete for one worker.

The load is that of a service whose accounts differ in size by a factor of 100, while
one of them sends several times its usual within its quota.
"""

import random

import pytest

from bamboocove.coordination.fair_shares import make_shares
from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from bamboocove.state.mesh import ClientAccount
from tests.coordination.test_worker_queue import Simulation

# Requests per second of each account at one worker with 7 slots and a mean service
# time of 0.194 s, 36 requests a second.
USUAL = {"large": 9.0, "hot": 9.0, "middle": 4.0, "small": 1.0, "tiny": 0.3}
QUOTA_FACTOR = 1.6


def play(surge, weights, seed):
    """Return the fraction of each account's requests that is served in time."""
    simulation = Simulation(7, seed)
    accounts = {n: ClientAccount(n, (), None, r) for n, r in weights.items()}
    simulation.queue.shares = make_shares(accounts)
    arrivals = []
    source = random.Random(seed)
    for name, rate in USUAL.items():
        rate *= surge if name == "hot" else 1.3
        now = source.expovariate(rate)
        while now < 120:
            arrivals.append((now, name))
            now += source.expovariate(rate)
    good, asked = {}, {}
    simulation.on_end = lambda entry, end: good.update(
        {entry.account: good.get(entry.account, 0) + (end <= entry.target_at)}
    )
    for now, name in sorted(arrivals):
        asked[name] = asked.get(name, 0) + 1
        simulation.run_until(now)
        payload = (now, 0.194, 0.0)
        entry = QueuedRequest("r", 0, now + 0.606, now + 2.781, payload, name)
        is_admitted, evicted = simulation.queue.offer(entry, now)
        for other in [*evicted, *([] if is_admitted else [entry])]:
            simulation.refuse(other, now)
        simulation.start(now)
    simulation.run_until(200)
    return {name: good.get(name, 0) / asked[name] for name in asked}


@pytest.mark.parametrize("seed", range(3))
def test_surge_of_one_account_is_not_paid_by_the_others(seed):
    """Guards against accounts that are refused because another sends 4 times its usual.

    In order of arrival all accounts are served alike, below 0.75.
    """
    weights = {name: QUOTA_FACTOR * rate for name, rate in USUAL.items()}
    served = play(4.0, weights, seed)
    others = [fraction for name, fraction in served.items() if name != "hot"]
    assert min(others) > 0.85, served
    assert served["hot"] > 0.25 * sum(others) / len(others), served
    in_order = play(4.0, {}, seed)
    assert min(f for name, f in in_order.items() if name != "hot") < 0.75, in_order


@pytest.mark.parametrize("seed", range(3))
def test_room_that_others_leave_goes_to_the_account_that_asks(seed):
    """Guards against an account that is held to its share of an idle worker."""
    weights = {name: 1.0 for name in USUAL} | {"large": 20.0}
    served = play(1.3, weights, seed)
    assert min(served.values()) > 0.85, served


@pytest.mark.parametrize("has_accounts_after", [True, False])
def test_waiting_request_keeps_its_place_when_accounts_change(has_accounts_after):
    """Guards against a new configuration that lets newcomers pass all that wait."""
    accounts = {name: ClientAccount(name, (), None, 1.0) for name in ("x", "y")}
    queue = WorkerQueue(1)
    queue.use_shares(make_shares(accounts))
    for now in range(100):
        entry = QueuedRequest("r", 0, now + 9.0, now + 9.0, None, "x")
        queue.offer(entry, now)
        queue.start_next(now)
        if now < 99:
            queue.finish(entry, now + 0.2, True)
    old = QueuedRequest("r", 0, 109.0, 109.0, None, "x")
    new = QueuedRequest("r", 0, 109.0, 109.0, None, "x")
    queue.offer(old, 99)
    queue.use_shares(make_shares(accounts) if has_accounts_after else None)
    queue.offer(new, 99)
    assert queue.waiting == [old, new]
