"""Property test of the sums of outcomes under message loss and restarts."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.coordination.outcome_batches import (
    BATCH_INTERVAL_S,
    OutcomeBatches,
    get_tallies,
    merge_outcomes,
)
from bamboocove.protocol.mesh_messages import OutcomeReport

HOSTS = 3
COLLECTORS = 2


class Zone:
    """Hosts that count outcomes, collecting nodes, and a node that gets the sums."""

    def __init__(self):
        self.now = 0.0
        self.order_revision = 0
        self.collectors = [OutcomeBatches("z") for _ in range(COLLECTORS)]
        self.incarnations = [1] * HOSTS
        self.reports = []
        self.batches = []
        self.order()

    def handle(self, event, first, second, flag):
        """Let one event happen; the numbers and the flag choose its details."""
        if event == "order":
            self.order()
        elif event == "restart_collector":
            self.collectors[first % COLLECTORS] = OutcomeBatches("z")
        elif event == "restart_host":
            self.incarnations[first % HOSTS] += 1
            self.counts[first % HOSTS] = [0, 0]
        elif event == "serve":
            self.serve(first % HOSTS, flag)
        elif event == "report":
            self.report(first % HOSTS, second % COLLECTORS, is_lost=flag)
        elif event == "report_again" and self.reports:
            report = self.reports[first % len(self.reports)]
            self.collectors[second % COLLECTORS].add(report)
        elif event == "send_sum":
            self.send_sum(first % COLLECTORS, is_lost=flag)
        elif event == "receive_again" and self.batches:
            self.receive(self.batches[first % len(self.batches)])

    def order(self):
        """Start a move, or another one."""
        self.order_revision += 1
        self.counts = [[0, 0] for _ in range(HOSTS)]
        self.total_calls = self.total_failed = 0
        self.known = None

    def serve(self, host, is_failure):
        self.counts[host][0] += 1
        self.counts[host][1] += is_failure
        self.total_calls += 1
        self.total_failed += is_failure

    def report(self, host, collector, is_lost=False):
        calls, failed = self.counts[host]
        report = OutcomeReport(
            f"h{host}",
            self.incarnations[host],
            "orders",
            "v2",
            self.order_revision,
            [["read", calls, failed, 0, [calls - failed], 0]],
        )
        self.reports.append(report)
        if not is_lost:
            self.collectors[collector].add(report)

    def send_sum(self, collector, is_lost=False):
        self.now += 1.1 * BATCH_INTERVAL_S
        batch = self.collectors[collector].take(self.now)
        self.batches.append(batch)
        if not is_lost:
            self.receive(batch)

    def receive(self, batch):
        # As ``MoveController.record_outcomes``.
        for item in batch:
            outcomes = OutcomeReport(*item)
            if outcomes.order_revision == self.order_revision:
                self.known = merge_outcomes(self.known, outcomes)

    def get_known(self):
        """Return the requests and failures that the receiving node knows of."""
        if self.known is None:
            return 0, 0
        tally = get_tallies(self.known)["read"]
        return tally.calls, tally.failed


RARE_EVENTS = ["order", "restart_collector", "restart_host"]
FREQUENT_EVENTS = ["serve", "report", "report_again", "send_sum", "receive_again"]
EVENT = st.tuples(
    st.sampled_from(4 * FREQUENT_EVENTS + RARE_EVENTS),
    st.integers(0, 100),
    st.integers(0, 100),
    st.booleans(),
)


@settings(max_examples=200, deadline=None, derandomize=True)
@given(st.lists(EVENT, min_size=30, max_size=80))
def test_each_outcome_is_counted_once_whatever_is_lost_or_repeated(events):
    """Guards against outcomes that are counted twice or that a node never learns of.

    Counted twice, few failures would roll back a good version.
    """
    zone = Zone()
    for event in events:
        zone.handle(*event)
        calls, failed = zone.get_known()
        assert calls <= zone.total_calls and failed <= zone.total_failed
    for host in range(HOSTS):
        zone.report(host, 0)
    zone.send_sum(0)
    for batch in reversed(zone.batches):
        zone.receive(batch)
    assert zone.get_known()[0] >= sum(calls for calls, _ in zone.counts)
