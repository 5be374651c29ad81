"""Property test of orders, rules and records across restores of the store."""

import json
from types import SimpleNamespace
from urllib.parse import parse_qsl, urlsplit

from attrs import evolve
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.standin_store import StoreStandin
from bamboocove.platform.store import PlatformStore
from bamboocove.sidecar.moves import MoveController
from bamboocove.sidecar.rules import RuleTable
from bamboocove.state.codec import decode
from bamboocove.state.mesh import HostRecord, VersionRule
from bamboocove.transport.fetching import Response

FINAL_STATES = ("succeeded", "rolled_back")
FAULTS = st.sampled_from([None, None, "lose", "late"])
NODES = st.integers(0, 2)


def run_now(coroutine):
    return Deferred.fromCoroutine(coroutine).result


class DirectStore(PlatformStore):
    """Client that calls the stand-in at once; ``fault`` concerns the next write."""

    fault = None

    def __init__(self, standin, late):
        super().__init__(("127.0.0.1", 1), standin.clock)
        self.standin = standin
        self.late = late

    async def _request(self, method, target, body, timeout_s, on_progress=None):
        if method == b"GET":
            query = dict(parse_qsl(urlsplit(target).query))
            status, document = 200, self.standin._read_page(query)
        else:
            fault, self.fault = self.fault, None
            if fault == "late":
                self.late.append(json.loads(body))
            else:
                status, document = self.standin._apply_transaction(json.loads(body))
            if fault is not None:
                return ErrorResult(ErrorKind.STORE_UNKNOWN, fault)
        headers = self.standin._make_headers()
        return Response(status, headers, json.dumps(document).encode())


class Node(MoveController):
    """The rules and the record of a node process, without its other tasks."""

    def __init__(self, name, incarnation, store):
        fleet = SimpleNamespace(
            records_by_id={},
            get_oldest_version=lambda service: "v0",
            get_views=lambda service: [],
            count_ready=lambda service, versions: 1,
        )
        inbound = SimpleNamespace(worker=None, tallies_by_route={})
        super().__init__(
            RuleTable(),
            store,
            fleet,
            lambda message: None,
            lambda outcomes: False,
            inbound,
            SimpleNamespace(seconds=store.standin.clock.seconds, callLater=call_now),
            name,
            incarnation,
        )
        self.store = store
        self.record = HostRecord(name, incarnation, 0, ("127.0.0.1", 1), "z")
        self.resets = 0
        self.started = []
        self.ended = set()
        self.highest = 0

    @property
    def rule(self):
        return self.rule_table.get("a")

    def apply_order(self, order, now):
        resets = self.resets
        result = super().apply_order(order, now)
        if self.resets > resets:
            self.started.append(order.to_version)
        return result

    def _reset_move(self, service, now):
        self.resets += 1
        super()._reset_move(service, now)

    def read_orders(self):
        update = run_now(self.store.read_operator())
        for order in update.orders:
            self.apply_order(order, self.store.standin.clock.seconds())

    def read_rules(self):
        rules = run_now(self.store.read_rules())
        for stored in rules:
            self.apply_rule(stored, True, self.store.standin.clock.seconds())
        self.rule_table.forget_unstored(rules)

    def write_record(self):
        return run_now(self.store.write_host(self.record))


def call_now(delay_s, call, *args):
    call(*args)


class RestoreMachine(RuleBasedStateMachine):
    """Orders, decisions and records of three nodes, with restores, losses and restarts.

    Guards against a move that a node carries out twice, a decided move that runs again,
    and a rule or record that the store lacks once nothing happens any more.
    """

    def __init__(self):
        super().__init__()
        self.standin = StoreStandin(Clock())
        self.late = []
        self.target = 0
        self.incarnation = 0
        self.nodes = [self.make_node(number) for number in range(3)]

    def make_node(self, number):
        self.incarnation += 1
        store = DirectStore(self.standin, self.late)
        return Node(f"h{number}", self.incarnation, store)

    def put_order(self):
        order = {"service": "a", "to": f"v{self.target}", "durationS": 1e6}
        self.standin.put("op", "rollout/a", json.dumps(order).encode())

    def is_order_lost(self):
        value = self.standin.get("op", "rollout/a")
        return self.target and (
            value is None or json.loads(value)["to"] != f"v{self.target}"
        )

    def is_order_known(self):
        return not self.target or all(
            node.rule is not None and node.rule.to_version == f"v{self.target}"
            for node in self.nodes
        )

    @precondition(is_order_known)
    @rule(is_read=st.booleans())
    def order(self, is_read):
        self.standin.clock.advance(2)
        self.target += 1
        self.put_order()
        if is_read:
            self.read_all()

    @precondition(is_order_lost)
    @rule()
    def write_order_again(self):
        self.put_order()

    @rule(number=NODES)
    def read(self, number):
        self.nodes[number].read_orders()

    @rule()
    def read_all(self):
        for node in self.nodes:
            node.read_orders()

    @rule(number=NODES, fault=FAULTS)
    def tick(self, number, fault):
        self.standin.clock.advance(1)
        self.nodes[number].store.fault = fault
        self.nodes[number].tick(self.standin.clock.seconds())

    @rule(number=NODES, state=st.sampled_from(FINAL_STATES))
    def decide(self, number, state):
        node = self.nodes[number]
        if node.rule is None or node.rule.state != "running":
            return
        if state == "succeeded":
            node._propose_success(node.rule, self.standin.clock.seconds())
        else:
            node._decide(node.rule, state, "test", self.standin.clock.seconds())

    @rule(sender=NODES, receiver=NODES)
    def tell(self, sender, receiver):
        message = self.nodes[sender].make_rules_message()
        self.nodes[receiver].apply_rules_message(message, self.standin.clock.seconds())

    @rule(number=NODES, fault=FAULTS)
    def publish(self, number, fault):
        self.standin.clock.advance(1)
        node = self.nodes[number]
        node.record = evolve(node.record, sequence=node.record.sequence + 1)
        node.store.fault = fault
        node.write_record()

    @rule(number=NODES)
    def restart(self, number):
        self.nodes[number] = self.make_node(number)
        self.nodes[number].read_rules()

    @rule(seconds=st.integers(0, 6))
    def restore(self, seconds):
        self.standin.restore(seconds + 0.5)

    @precondition(lambda self: self.late)
    @rule()
    def deliver_late_write(self):
        self.standin._apply_transaction(self.late.pop(0))

    @invariant()
    def moves_run_once(self):
        for node in self.nodes:
            assert len(set(node.started)) == len(node.started), node.started
            if node.rule is None:
                continue
            assert node.rule.order_revision >= node.highest
            node.highest = node.rule.order_revision
            if node.rule.state in FINAL_STATES:
                node.ended.add(node.rule.to_version)
            else:
                assert node.rule.to_version not in node.ended

    @rule()
    def settle(self):
        """Let the nodes do all that they do after a restore; compare with the store."""
        while self.late:
            self.deliver_late_write()
        if self.is_order_lost():
            self.put_order()
        is_ended = any(f"v{self.target}" in node.ended for node in self.nodes)
        for _ in range(3):
            for node in self.nodes:
                node.store.fault = None
                node.read_orders()
                node.read_rules()
                node.tick(self.standin.clock.seconds())
                while not isinstance(node.write_record(), int):
                    pass
            for sender in range(3):
                for receiver in range(3):
                    self.tell(sender, receiver)
            self.moves_run_once()
        for node in self.nodes:
            value = self.standin.get("bamboocove-hosts", node.record.host_id)
            assert decode(HostRecord, value) == node.record
        if self.target:
            stored = decode(VersionRule, self.standin.get("bamboocove-rules", "a"))
            assert stored.to_version == f"v{self.target}"
            assert [node.rule for node in self.nodes] == [stored] * 3
            for node in self.nodes:
                order = node.rule_table.orders_by_service["a"]
                assert order.revision == stored.order_revision
            assert not is_ended or stored.state in FINAL_STATES


TestRestoreMachine = RestoreMachine.TestCase
TestRestoreMachine.settings = settings(
    max_examples=100, stateful_step_count=40, deadline=None, derandomize=True
)
