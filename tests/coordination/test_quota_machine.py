"""A state machine over granters and nodes of three zones with faults of all kinds.

Messages are lost, late and out of order, processes pause, end and start, and zones are
cut off. Whatever happens, no window may hold more requests than the quota allows.
"""

import hypothesis.strategies as st
from hypothesis import HealthCheck, settings
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
    run_state_machine_as_test,
)

from tests.quota_cluster import QuotaCluster, get_excess, make_account

# The slack is one token for each zone, so that the machine also finds an excess that a
# deployment would tolerate.
RATE, BURST, SLACK = 120.0, 60.0, 3.0
ZONES = st.sampled_from(["a", "b", "c"])


class QuotaMachine(RuleBasedStateMachine):
    @initialize(seed=st.integers(0, 1000))
    def start(self, seed):
        self.cluster = QuotaCluster(
            [make_account("big", RATE, BURST)], seed=seed, slack=SLACK
        )
        self.cluster.run(3.0)

    def pick(self, zone, is_granter):
        granter = self.cluster.get_granter(zone)
        return granter.host_id if is_granter and granter else f"{zone}1"

    @rule(
        fault=st.sampled_from(
            ["none", "pause", "pause zone", "restart", "kill", "late", "cut", "store"]
        ),
        zone=ZONES,
        is_granter=st.booleans(),
        seconds=st.sampled_from([1.0, 3.9, 6.0]),
        zones=st.sampled_from(["a", "abc", "b", "abc"]),
        factor=st.sampled_from([0.9, 5.0]),
    )
    def send_requests_during_a_fault(
        self, fault, zone, is_granter, seconds, zones, factor
    ):
        cluster = self.cluster
        for host_id in list(cluster.dead):
            cluster.restart(host_id)
        host_id = self.pick(zone, is_granter)
        hosts = [i for i, n in cluster.nodes.items() if n.zone == zone]
        if fault.startswith("pause"):
            for paused_id in hosts if fault == "pause zone" else [host_id]:
                cluster.paused[paused_id] = cluster.now + seconds
        elif fault == "restart":
            cluster.restart(host_id)
        elif fault == "kill":
            cluster.dead.add(host_id)
        cluster.loss, cluster.delay_s = (0.1, 0.4) if fault == "late" else (0.0, 0.002)
        cluster.cut = {zone} if fault == "cut" else set()
        cluster.is_store_down = fault == "store"
        senders = [i for i, n in cluster.nodes.items() if n.zone in zones]
        rates = dict.fromkeys(senders, factor * RATE / len(senders))
        cluster.offer("big", rates, seconds + 1.0)
        cluster.run(seconds)

    @invariant()
    def no_window_exceeds_the_bound(self):
        times = sorted(item[0] for item in getattr(self, "cluster").ran)
        assert get_excess(times, RATE, BURST, slack=SLACK) <= 0


def test_no_window_exceeds_the_quota():
    """Guards against tokens that are issued twice, or used long after their time."""
    run_state_machine_as_test(
        QuotaMachine,
        settings=settings(
            max_examples=40,
            stateful_step_count=7,
            deadline=None,
            derandomize=True,
            database=None,
            suppress_health_check=list(HealthCheck),
        ),
    )
