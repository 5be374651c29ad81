"""Granters and nodes of several zones that exchange messages through an event queue."""

import heapq
import itertools
import random

from attrs import evolve

from bamboocove.coordination.quota_buckets import QuotaBuckets
from bamboocove.coordination.quota_client import QuotaClient
from bamboocove.coordination.quota_granter import QuotaGranter
from bamboocove.coordination.quota_lease import Call, QuotaLease
from bamboocove.coordination.quota_stock import Admission, QuotaStock
from bamboocove.protocol.control_messages import QuotaGrant, QuotaHolder, QuotaRequest
from bamboocove.state.mesh import ClientAccount
from bamboocove.state.quotas import StoredQuotaLease

WINDOW_S = 5.0
TOLERANCE = 0.1
SLACK = 20.0
LIFE_S = 0.8 * TOLERANCE * WINDOW_S
TICK_S = 0.05
HOLD_S = 0.15


class QuotaNode:
    """A host that may hold the lease of its zone, as ``sidecar/quotas.py`` has it."""

    def __init__(self, cluster, host_id, zone, incarnation=1):
        self.cluster, self.host_id, self.zone = cluster, host_id, zone
        self.incarnation = incarnation
        numbers = itertools.count(1)
        now = cluster.now
        self.stock = QuotaStock(LIFE_S)
        self.stock.use_limits(dict(cluster.accounts), now)
        self.client = QuotaClient(
            zone, self.stock, numbers.__next__, lambda i: cluster.is_linked(host_id, i)
        )
        buckets = QuotaBuckets(len(cluster.zones), cluster.slack)
        self.granter = QuotaGranter(buckets, TOLERANCE * WINDOW_S, numbers.__next__)
        self.lease = QuotaLease(host_id, incarnation, LIFE_S)
        self.term = 0
        self.held = []
        self.is_candidate = True

    def tick(self):
        now = self.cluster.now
        self.step_lease(now)
        if self.may_grant(now):
            holder = QuotaHolder(self.zone, self.host_id, self.lease.fencing_token)
            self.send((i, holder) for i in self.cluster.nodes)
            self.send(self.granter.tick(self.lease.fencing_token, now))
        self.send(self.client.tick(now))
        self.send(self.client.ask(now))
        self.settle(now)

    def may_grant(self, now):
        if self.lease.term != self.term:
            self.term = self.lease.term
            self.granter.clear()
            self.granter.buckets.use_limits(self.cluster.accounts, now)
        return self.lease.may_grant(now)

    def step_lease(self, now):
        self.lease.observe_token(
            getattr(self.client.granters_by_zone.get(self.zone), "fencing_token", 0)
        )
        row = self.lease.get_stored_row()
        known = (
            self.cluster.nodes[row.host_id].incarnation if row and row.host_id else 0
        )
        call = self.lease.decide(now, self.is_candidate, known)
        if call is None:
            return
        key = self.zone
        row, version = self.lease.make_row() if call is Call.WRITE else (None, None)
        self.cluster.call_store(self, now, key, row, version)

    def release(self):
        """Give the lease back, as a node does that is shut down."""
        self.is_candidate = False
        row, version = self.lease.make_release()
        self.granter.clear()
        self.cluster.call_store(self, self.cluster.now, self.zone, row, version)

    def arrive(self, name):
        """Handle a request; report its outcome to the cluster."""
        now = self.cluster.now
        admission = self.stock.arrive(name, now)
        if admission is Admission.ADMITTED:
            self.stock.take(name, now)
            self.cluster.record(self, name, "ran")
        elif admission is Admission.DENIED:
            self.cluster.record(self, name, "denied")
        else:
            self.held.append((name, now))
            self.update_waiting(name)
            self.send(self.client.ask(now, [name]))

    def update_waiting(self, name):
        self.stock.set_waiting(name, sum(n == name for n, _ in self.held))

    def settle(self, now, denied=()):
        kept = []
        for name, since in self.held:
            if self.stock.take(name, now) is not None:
                self.cluster.record(self, name, "ran")
            elif name in denied and not self.stock.count_asked(name):
                self.cluster.record(self, name, "denied")
            elif now - since >= HOLD_S:
                self.cluster.record(self, name, "unanswered")
            else:
                kept.append((name, since))
        names = {name for name, _ in self.held}
        self.held = kept
        for name in names:
            self.update_waiting(name)

    def receive(self, sender_id, message):
        now = self.cluster.now
        if isinstance(message, QuotaHolder):
            self.client.on_holder(message)
        elif isinstance(message, QuotaRequest):
            if not self.may_grant(now):
                self.send([(sender_id, QuotaGrant(message.number, 0, {}, {}))])
                return
            is_own = self.cluster.nodes[sender_id].zone == self.zone
            others = self.client.get_other_granters()
            token = self.lease.fencing_token
            self.send(
                self.granter.on_request(sender_id, message, is_own, token, others, now)
            )
        else:
            if self.may_grant(now) and self.client.is_valid(sender_id, message):
                token = self.lease.fencing_token
                self.send(self.granter.on_gift(sender_id, message, token, now))
            known = self.client.granters_by_zone.get(self.zone)
            if not message.fencing_token and known and known.host_id == sender_id:
                self.lease.on_refusal(now)
            answer = self.client.on_grant(sender_id, message, now)
            self.send(answer.messages)
            self.settle(now, answer.denied)

    def send(self, messages):
        for receiver_id, message in messages:
            self.cluster.send(self.host_id, receiver_id, message)


class QuotaCluster:
    """Nodes of several zones, a store, and the messages between them.

    ``ran`` holds the time of each request that ran, ``refused`` those that did not.
    """

    def __init__(
        self, accounts, zones=("a", "b", "c"), nodes_per_zone=3, seed=1, slack=SLACK
    ):
        self.slack = slack
        self.accounts = {account.name: account for account in accounts}
        self.zones, self.now = zones, 100.0
        self.random = random.Random(seed)
        self._events, self._order = [], itertools.count()
        self.ran, self.refused = [], []
        self.cut, self.paused, self.dead = set(), {}, set()
        self.loss, self.delay_s = 0.0, 0.002
        self.rows, self.revision, self.is_store_down = {}, 10, False
        self.nodes = {}
        self.messages = self.bytes = 0
        for zone in zones:
            for number in range(nodes_per_zone):
                self.add(f"{zone}{number}", zone)
                self.nodes[f"{zone}{number}"].is_candidate = number < 2

    def add(self, host_id, zone, incarnation=1):
        self.nodes[host_id] = QuotaNode(self, host_id, zone, incarnation)
        self.dead.discard(host_id)
        self.at(self.now + self.random.random() * TICK_S, self._tick, host_id)

    def restart(self, host_id):
        node = self.nodes[host_id]
        self.add(host_id, node.zone, node.incarnation + 1)
        self.nodes[host_id].is_candidate = node.is_candidate

    def _tick(self, host_id, incarnation=None):
        node = self.nodes[host_id]
        incarnation = incarnation or node.incarnation
        if node.incarnation != incarnation or host_id in self.dead:
            return
        node.tick()
        self.at(self.now + TICK_S, self._tick, host_id, incarnation)

    def at(self, when, function, *args):
        heapq.heappush(self._events, (when, next(self._order), function, args))

    def run(self, seconds):
        end = self.now + seconds
        while self._events and self._events[0][0] <= end:
            when, _, function, args = heapq.heappop(self._events)
            host_id = args[0] if args and isinstance(args[0], str) else ""
            if self.paused.get(host_id, 0.0) > when:
                # A stopped process does everything at once when it goes on.
                self.at(self.paused[host_id], function, *args)
                continue
            self.now = max(self.now, when)
            function(*args)
        self.now = end

    def is_linked(self, first_id, second_id):
        zones = {self.nodes[first_id].zone, self.nodes[second_id].zone}
        return second_id not in self.dead and not (len(zones) > 1 and zones & self.cut)

    def send(self, sender_id, receiver_id, message):
        if self.random.random() < self.loss or sender_id in self.dead:
            return
        delay_s = self.delay_s * (0.5 + self.random.random())
        incarnation = self.nodes[receiver_id].incarnation
        args = receiver_id, sender_id, message, incarnation
        self.at(self.now + delay_s, self._deliver, *args)

    def _deliver(self, receiver_id, sender_id, message, incarnation):
        node = self.nodes[receiver_id]
        if (
            self.is_linked(sender_id, receiver_id)
            and receiver_id not in self.dead
            and node.incarnation == incarnation
        ):
            node.receive(sender_id, message)

    def call_store(self, node, sent_at, key, row, version):
        def answer():
            if self.is_store_down or node.zone in self.cut:
                return
            stored, present = self.rows.get(key, (None, 0))
            is_written = row is not None and version == present
            if is_written:
                self.revision += 1
                self.rows[key] = (row, self.revision)
                result = StoredQuotaLease(row, self.revision, 0, True)
            else:
                result = StoredQuotaLease(stored, present, 0)
            self.at(
                self.now + self.delay_s, self._on_result, node.host_id, node, result
            )

        def _send():
            self.at(self.now + self.delay_s, answer)

        node.call_sent_at = sent_at
        _send()

    def _on_result(self, host_id, node, result):
        if host_id not in self.dead and self.nodes[host_id] is node:
            node.lease.on_result(node.call_sent_at, result, self.now)

    def record(self, node, name, outcome):
        item = (self.now, name, node.zone, outcome)
        (self.ran if outcome == "ran" else self.refused).append(item)

    def offer(self, name, rates_by_host, seconds):
        """Let requests arrive at random; rates are in requests per second."""
        for host_id, rate_per_s in rates_by_host.items():
            when = self.now
            while rate_per_s:
                when += self.random.expovariate(rate_per_s)
                if when > self.now + seconds:
                    break
                self.at(when, self._arrive, host_id, name)

    def _arrive(self, host_id, name):
        if host_id not in self.dead:
            self.nodes[host_id].arrive(name)

    def change(self, name, **limits):
        self.accounts[name] = evolve(self.accounts[name], **limits)
        for node in self.nodes.values():
            node.stock.use_limits(dict(self.accounts), self.now)
            if node.granter.buckets.buckets_by_account:
                node.granter.buckets.use_limits(self.accounts, self.now)

    def get_granter(self, zone):
        for node in self.nodes.values():
            if node.zone == zone and node.lease.may_grant(self.now):
                return node
        return None


def get_excess(times, rate_per_s, burst, slack=SLACK, window_s=WINDOW_S):
    """Return by how many requests the fullest window exceeds the bound."""
    bound = (rate_per_s * window_s + burst) * (1 + TOLERANCE) + slack
    worst, first = 0, 0
    for last, time in enumerate(times):
        while times[first] < time - window_s:
            first += 1
        worst = max(worst, last - first + 1)
    return worst - bound


def make_account(name="big", rate_per_s=300.0, burst=300.0):
    return ClientAccount(name, (), None, rate_per_s, burst)
