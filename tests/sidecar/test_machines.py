"""State machines that drive decisions with arbitrary orders of events."""

from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from bamboocove.coordination.worker_queue import QueuedRequest, WorkerQueue
from bamboocove.sidecar.rules import RuleBook
from bamboocove.state.mesh import VersionRule


class QueueMachine(RuleBasedStateMachine):
    """Offers, starts, ends and cancels requests of one worker.

    Guards against more requests at the worker than it has slots, and against a
    request that is forgotten or ended twice: its caller would never be answered,
    or a payment would be refused although it runs.
    """

    def __init__(self):
        super().__init__()
        self.queue = WorkerQueue(3)
        self.now = 0.0
        # Lists, so that draws do not depend on hashes.
        self.open = []
        self.started = []
        self.over = []

    def end(self, request):
        assert request in self.open and request not in self.over
        self.open.remove(request)
        self.over.append(request)

    def get_running(self):
        return [request for request in self.started if request in self.open]

    def get_waiting(self):
        return [request for request in self.open if request not in self.started]

    @rule(
        priority=st.integers(-1, 3),
        target_s=st.floats(-1, 2),
        deadline_s=st.floats(0.01, 4),
        route=st.sampled_from("abc"),
    )
    def offer(self, priority, target_s, deadline_s, route):
        request = QueuedRequest(
            route, priority, self.now + target_s, self.now + deadline_s, None
        )
        self.open.append(request)
        is_taken, evicted = self.queue.offer(request, self.now)
        for other in evicted:
            assert other not in self.started
            self.end(other)
        if not is_taken:
            self.end(request)

    @rule()
    def start(self):
        request, expired = self.queue.start_next(self.now)
        for other in expired:
            assert other not in self.started
            self.end(other)
        if request is not None:
            assert request in self.open and request not in self.started
            self.started.append(request)

    @precondition(lambda self: self.get_running())
    @rule(data=st.data(), is_timed=st.booleans())
    def finish(self, data, is_timed):
        request = data.draw(st.sampled_from(self.get_running()))
        self.queue.finish(request, self.now, is_timed)
        self.end(request)

    @precondition(lambda self: self.get_waiting())
    @rule(data=st.data())
    def cancel(self, data):
        request = data.draw(st.sampled_from(self.get_waiting()))
        assert self.queue.discard(request)
        self.end(request)

    @rule(seconds=st.floats(0, 1))
    def wait(self, seconds):
        self.now += seconds

    @invariant()
    def holds_each_open_request_once(self):
        assert len(self.queue.running) <= self.queue.slots
        held = [*self.queue.waiting, *self.queue.running]
        assert len(held) == len(set(held))
        assert set(held) == set(self.open)

    @invariant()
    def urgent_ones_wait_in_front(self):
        ranks = [request.priority for request in self.queue.waiting]
        assert ranks == sorted(ranks)


TestQueueMachine = QueueMachine.TestCase
TestQueueMachine.settings = settings(
    max_examples=150, stateful_step_count=40, deadline=None, derandomize=True
)

STATES = ("running", "succeeded", "rolled_back")


@settings(max_examples=200, deadline=None, derandomize=True)
@given(
    data=st.data(),
    decisions=st.lists(st.sampled_from(STATES[1:]), min_size=1, max_size=4),
)
def test_nodes_end_with_the_decisions_of_the_store(data, decisions):
    """Guards against nodes that keep different versions after news has crossed.

    Each node hears the rules of the store in any order and more than once, and
    verdicts of single nodes in between.
    """
    confirmed = []
    verdicts = []
    for revision, state in enumerate(decisions, 1):
        to_version = f"v{revision + 1}"
        running = VersionRule("s", "v1", (), to_version, revision, "running")
        confirmed += [running, VersionRule("s", "v1", (), to_version, revision, state)]
        verdicts.append(
            VersionRule("s", "v1", (to_version,), to_version, revision, "rolled_back")
        )
    news = [(rule, True) for rule in confirmed for _ in range(2)]
    news += [(rule, False) for rule in verdicts]
    for _ in range(3):
        book = RuleBook()
        ages = [(0, False)]
        for rule_, is_confirmed in data.draw(st.permutations(news)):
            book.merge(rule_, is_confirmed)
            ages.append(book.get("s").age_key)
        assert ages == sorted(ages)
        assert book.get("s") == confirmed[-1]
        assert book.confirmed_by_service["s"] == confirmed[-1]
