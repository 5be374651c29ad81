"""State machine of evacuation orders: lost and reordered messages, restarts, eras."""

from hypothesis import seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from bamboocove.coordination.evacuation import EvacuationTable
from bamboocove.state.evacuation import EvacuationChange, EvacuationOrders

ZONES = ("a", "b", "c")
NODES = 4
# Nodes that read the store; the others learn from messages only.
READERS = (0, 1)
nodes = st.integers(0, NODES - 1)
readers = st.sampled_from(READERS)
zones = st.sampled_from(ZONES)


class EvacuationMachine(RuleBasedStateMachine):
    """A store, nodes that read it, and messages in any order."""

    def __init__(self):
        super().__init__()
        self.now = 0.0
        self.position = (1, 1)
        # What the store held at each position.
        self.zones_at = {self.position: frozenset()}
        self.rows_changed = []
        self.tables = {}
        self.read_positions = {}
        self.answers = {}
        self.held = {}
        self.messages = []
        for node in range(NODES):
            self.restart(node)

    @rule(node=nodes)
    def restart(self, node):
        unknown = []
        self.tables[node] = EvacuationTable(lambda: ZONES, unknown.append)
        self.read_positions.pop(node, None)
        self.answers.pop(node, None)
        self.held[node] = self.tables[node].orders.age_key

    def write(self, zone, is_ordered):
        era, revision = self.position
        held = self.zones_at[self.position]
        self.position = (era, revision + 1)
        self.zones_at[self.position] = held | {zone} if is_ordered else held - {zone}
        change = EvacuationChange(zone, is_ordered)
        self.rows_changed.append((self.position, change))

    @rule(zone=zones)
    def order(self, zone):
        self.write(zone, True)

    @rule(zone=zones)
    def cancel(self, zone):
        self.write(zone, False)

    @rule(lost=st.integers(0, 4))
    def restore_from_copy(self, lost):
        era, revision = self.position
        kept = max(1, revision - lost)
        copy = self.zones_at.get((era, kept), frozenset())
        self.position = (era + 1, kept)
        self.zones_at[self.position] = copy

    @rule(node=readers, is_full_read=st.booleans())
    def read(self, node, is_full_read):
        """The store answers a node, which gets the answer later."""
        if node in self.answers:
            return
        after = self.read_positions.get(node)
        if is_full_read or after is None or after[0] != self.position[0]:
            changes = [EvacuationChange(z, True) for z in self.zones_at[self.position]]
            self.answers[node] = (changes, self.position, True)
        else:
            found = [c for p, c in self.rows_changed if p[0] == after[0] and p > after]
            self.answers[node] = (found, self.position, False)

    @rule(node=readers)
    def finish_read(self, node):
        answer = self.answers.pop(node, None)
        if answer is not None:
            self.read_positions[node] = answer[1]
            self.tables[node].apply_read(*answer, self.now)
            self.send(node)

    @rule(node=nodes)
    def send(self, node):
        if self.tables[node].orders.revision >= 0:
            self.messages.append(self.tables[node].orders)

    @rule(node=nodes, data=st.data())
    def deliver(self, node, data):
        # A message may arrive late, after newer ones, more than once, or never.
        if self.messages:
            index = data.draw(st.integers(0, len(self.messages) - 1))
            self.tables[node].merge(self.messages[index], self.now)

    @rule(node=nodes)
    def hear_newest(self, node):
        """A node outside the model has just read the store."""
        era, revision = self.position
        orders = EvacuationOrders(revision, self.zones_at[self.position], era)
        self.tables[node].merge(orders, self.now)

    @rule()
    def settle(self):
        """The readers read everything and repeat it; each node gets a message."""
        for node in READERS:
            # One read may be under way.
            for _ in range(2):
                self.read(node, False)
                self.finish_read(node)
        for node in range(NODES):
            self.tables[node].merge(self.tables[READERS[0]].orders, self.now)
        for table in self.tables.values():
            assert table.orders.zones == self.zones_at[self.position]

    @invariant()
    def zones_are_those_of_the_store_at_that_revision(self):
        for table in self.tables.values():
            orders = table.orders
            if orders.revision >= 0:
                assert orders.zones == self.zones_at[orders.age_key], orders

    @invariant()
    def no_node_goes_back(self):
        for node, table in self.tables.items():
            assert table.orders.age_key >= self.held[node]
            self.held[node] = table.orders.age_key


TestEvacuationMachine = seed(20261206)(EvacuationMachine.TestCase)
TestEvacuationMachine.settings = settings(
    max_examples=100, stateful_step_count=80, deadline=None, database=None
)


def test_changes_alone_say_nothing_about_other_zones():
    """Guards against an order of an earlier era that is kept, or one that is lost."""
    table = EvacuationTable(lambda: ZONES, print)
    change = EvacuationChange("b", True)
    assert not table.apply_read([change], (1, 9), False, 0.0)
    table.merge(EvacuationOrders(3, frozenset("a"), 1), 0.0)
    assert not table.apply_read([change], (2, 9), False, 0.0)
    assert table.apply_read([change], (2, 9), True, 0.0)
    assert table.orders.zones == {"b"}


def test_node_answers_only_what_it_knows_better():
    """Guards against two nodes that answer each other without end."""
    older, newer = EvacuationOrders(3, frozenset("a")), EvacuationOrders(5)
    table = EvacuationTable(lambda: ZONES, print)
    assert table.merge(newer, 0.0) is False
    assert table.must_answer(older)
    assert not table.must_answer(newer)
    other = EvacuationTable(lambda: ZONES, print)
    assert other.merge(older, 0.0)
    assert not other.must_answer(newer)
    assert other.merge(newer, 0.0)


def test_end_of_orders_is_repeated_for_a_time():
    """Guards against a node that misses the one message that ends an order."""
    table = EvacuationTable(lambda: ZONES, print)
    assert not table.should_repeat(0.0)
    table.merge(EvacuationOrders(3, frozenset("a")), 0.0)
    assert table.should_repeat(100.0)
    table.merge(EvacuationOrders(5), 100.0)
    assert table.should_repeat(159.0)
    assert not table.should_repeat(161.0)
