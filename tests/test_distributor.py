"""Tests of bamboocove.distributor over in-memory links and loopback sockets."""

from random import Random

from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bamboocove.coordination.backoff import AcceptPacer
from bamboocove.distributor import Distributor
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.messages import (
    ConfigDeltas,
    ConfigFull,
    ConfigNack,
    CoordinatorNotice,
    EvidenceReport,
    Goodbye,
    Heartbeat,
    SuspectNotice,
)
from bamboocove.settings import check_settings
from bamboocove.state.config import Config, Service
from bamboocove.state.evidence import Evidence, OutcomeCounts
from bamboocove.state.members import MemberTable, WorkerRecord
from tests.fake_links import FakeHub, FakeNetwork
from tests.loopback import run_with_reactor, wait_until

WORKER = WorkerRecord("orders", "v1", "127.0.0.1", 9000, 12, 120)


def make_settings(name, port, zone="a", seeds=()):
    return check_settings(
        {
            ("node", "id"): name,
            ("node", "zone"): zone,
            ("node", "peer_port"): str(port),
            ("peers", "seeds"): " ".join(f"127.0.0.1:{seed}" for seed in seeds),
            ("platform", "table_url"): "http://127.0.0.1:1",
            ("platform", "object_url"): "http://127.0.0.1:1",
        }
    )


class Fleet:
    """Distributors on one fake clock."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.hub = FakeHub(self.clock)
        self.nodes = {}
        self.networks = {}
        self.applied = {}
        self.handled = {}
        self.refuses = set()

    def start(self, port, zone="a", seeds=()):
        settings = make_settings(f"n{port}", port, zone, seeds)
        applied = self.applied[port] = []
        handled = self.handled[port] = []

        def apply_config(config):
            if (port, config.revision) in self.refuses:
                return ErrorResult(ErrorKind.INVALID_CONFIG, "does not compile")
            applied.append(config.revision)

        self.networks[port] = FakeNetwork(self.hub, port)
        self.nodes[port] = Distributor(
            settings,
            MemberTable(),
            self.clock,
            Random(port),
            apply_config,
            self.Handlers(handled),
            incarnation=int(self.clock.seconds() * 1000),
            network=self.networks[port],
        )
        started = []
        Deferred.fromCoroutine(self.nodes[port].start()).addCallback(started.append)
        assert started == [port]
        return self.nodes[port]

    class Handlers(dict):
        """Records each message that other tasks would handle."""

        def __init__(self, handled):
            self.handled = handled

        def get(self, key, default=None):
            return self.handled.append

    def run(self, seconds, step=0.01):
        for _ in range(round(seconds / step)):
            self.clock.advance(step)

    def stop(self, port):
        stopped = []
        Deferred.fromCoroutine(self.nodes[port].stop()).addCallback(stopped.append)
        self.run(3)
        assert stopped == [None]

    def get_states(self, port):
        members = self.nodes[port]._members.members_by_id
        return {name: member.state for name, member in members.items()}

    def crash(self, port):
        self.networks[port].crash()
        for loop in self.nodes.pop(port)._loops:
            loop.stop()

    def get_revisions(self):
        return {node.distribution.config.revision for node in self.nodes.values()}

    def get_links(self, port):
        return self.nodes[port]._links.peers_by_id

    def count_messages(self, kind):
        return sum(isinstance(message, kind) for _, _, message in self.hub.messages)


def make_fleet(count, zones=1):
    """Start nodes 1 to count, with node 1 as the seed of all, and let them link."""
    fleet = Fleet()
    for port in range(1, count + 1):
        fleet.start(port, f"z{port % zones}", seeds=[1])
    fleet.run(10.0)
    names = {f"n{port}" for port in fleet.nodes}
    for port in fleet.nodes:
        assert set(fleet.get_states(port)) == names
    return fleet


def make_config(revision, **versions):
    services = {name: Service(name, version) for name, version in versions.items()}
    return Config(revision=revision, tenant="t", services_by_name=services)


def test_two_nodes_exchange_configuration_and_members():
    """Guards against nodes that link but do not spread what they hold."""
    fleet = Fleet()
    first = fleet.start(1)
    fleet.start(2, seeds=[1])
    first.publish_workers([WORKER])
    first.offer(make_config(1, orders="v1"))
    fleet.run(1.0)
    assert fleet.applied[2] == [1]
    assert fleet.get_states(1) == fleet.get_states(2) == {"n1": "alive", "n2": "alive"}
    assert fleet.nodes[2]._members.get_workers("orders")[0][1] == WORKER
    config = fleet.nodes[1].distribution.config
    first.offer(evolve(config, revision=2))
    fleet.run(0.1)
    assert fleet.applied[2] == [1, 2]


def test_fleet_in_three_zones_converges_and_bodies_arrive_once():
    """Guards against nodes that a revision does not reach, and repeated bodies."""
    fleet = make_fleet(30, 3)
    fleet.nodes[1].offer(make_config(1, a="v1", b="v1"))
    fleet.run(1.0)
    assert fleet.get_revisions() == {1}
    fleet.hub.messages.clear()
    fleet.nodes[17].offer(make_config(2, a="v1", b="v2"))
    fleet.run(1.0)
    assert fleet.get_revisions() == {2}
    assert fleet.count_messages(ConfigDeltas) == 29
    assert fleet.count_messages(ConfigFull) == 0
    assert all(applied == [1, 2] for applied in fleet.applied.values())


def test_one_link_for_each_pair():
    """Guards against two links of one pair, each with its own heartbeats."""
    fleet = make_fleet(8)
    fleet.run(15.0)
    for port, network in fleet.networks.items():
        others = [link.other.port for link in network.links if link.state == "open"]
        assert len(set(others)) == len(others)
        assert len(others) == len(fleet.get_links(port))


def test_crashed_member_is_suspect_then_down_everywhere():
    """Guards against dead members that stay in the tables of nodes without a link."""
    fleet = make_fleet(12, 2)
    fleet.crash(5)
    fleet.run(4.0)
    assert {fleet.get_states(port)["n5"] for port in fleet.nodes} == {"alive"}
    fleet.run(4.5)
    assert {fleet.get_states(port)["n5"] for port in fleet.nodes} == {"suspect"}
    fleet.run(6.5)
    assert {fleet.get_states(port)["n5"] for port in fleet.nodes} == {"down"}
    for port in fleet.nodes:
        assert set(fleet.get_states(port).values()) == {"alive", "down"}


def test_dead_members_are_forgotten():
    """Guards against a table that grows with each replaced host."""
    fleet = make_fleet(3)
    fleet.crash(3)
    fleet.run(30.0)
    fleet.run(3540.0, step=0.5)
    assert fleet.get_states(1)["n3"] == "down"
    fleet.run(60.0, step=0.5)
    assert set(fleet.get_states(1)) == set(fleet.get_states(2)) == {"n1", "n2"}


def test_stopped_member_has_left_and_is_never_suspect():
    """Guards against planned stops that look like failures."""
    fleet = make_fleet(6)
    node = fleet.nodes[4]
    fleet.stop(4)
    del fleet.nodes[4]
    assert {fleet.get_states(port)["n4"] for port in fleet.nodes} == {"left"}
    fleet.run(20.0)
    assert {fleet.get_states(port)["n4"] for port in fleet.nodes} == {"left"}
    assert node._links.is_empty and fleet.networks[4].port not in (
        fleet.hub.handlers_by_port
    )


def test_false_report_is_refuted():
    """Guards against a live member that stays down in the tables of others."""
    fleet = make_fleet(6)
    table = fleet.nodes[1]._members
    record = evolve(table.members_by_id["n5"], state="down")
    fleet.nodes[1]._membership.take_records([record], None)
    fleet.run(3.0)
    for port in fleet.nodes:
        member = fleet.nodes[port]._members.members_by_id["n5"]
        assert (member.state, member.sequence) == ("alive", record.sequence + 1)


def test_own_record_of_an_earlier_process_is_replaced():
    """Guards against a node that others know by the record of its past."""
    fleet = make_fleet(3)
    old = evolve(fleet.nodes[2].member, incarnation=10**15, state="left")
    fleet.nodes[2]._members.merge(old)
    fleet.run(5.0)
    for port in fleet.nodes:
        assert fleet.get_states(port)["n2"] == "alive"


def test_lost_record_is_repaired():
    """Guards against tables that stay different after a record was lost."""
    fleet = make_fleet(6)
    fleet.nodes[2]._members.forget("n5")
    membership = fleet.nodes[3]._membership
    membership.own = evolve(membership.own, sequence=9, workers=(WORKER,))
    membership.table.merge(membership.own)
    fleet.run(30.0)
    digests = {node._members.digest for node in fleet.nodes.values()}
    assert len(digests) == 1
    assert fleet.get_states(2)["n5"] == "alive"
    assert fleet.nodes[1]._members.get_workers("orders")[0][1] == WORKER


def test_paused_node_does_not_report_its_neighbours():
    """Guards against a node that takes its own pause for the silence of others."""
    fleet = make_fleet(2)
    fleet.clock.advance(60.0)
    fleet.run(1.0)
    assert set(fleet.get_states(1).values()) == {"alive"}


def test_restarted_node_does_not_go_behind_its_own_past():
    """Guards against an older revision after a restart next to stale peers."""
    fleet = make_fleet(3)
    fleet.nodes[1].offer(make_config(7, a="v1"))
    fleet.run(5.0)
    fleet.crash(3)
    fleet.start(3, seeds=[1, 2])
    stale = make_config(6, a="v0")
    fleet.run(2.0)
    assert fleet.nodes[3].get_floor() == 7
    assert fleet.applied[3] == [7]
    assert fleet.nodes[3].offer(stale).kind is ErrorKind.STALE
    fleet.run(5.0)
    assert fleet.get_states(1)["n3"] == "alive"


def test_partition_heals_to_the_highest_revision_in_time():
    """Guards against sides that hold each other for down and never meet again."""
    fleet = make_fleet(12, 3)
    fleet.nodes[1].offer(make_config(1, a="v1"))
    fleet.run(2.0)
    fleet.hub.groups_by_port = {port: port % 3 == 0 for port in fleet.nodes}
    fleet.run(40.0)
    assert fleet.get_states(1)["n3"] == "down" and fleet.get_states(3)["n1"] == "down"
    fleet.nodes[3].offer(make_config(2, a="v2"))
    fleet.nodes[1].offer(make_config(2, a="v2"))
    fleet.nodes[1].offer(make_config(3, a="v3"))
    fleet.run(5.0)
    assert fleet.get_revisions() == {2, 3}
    fleet.hub.groups_by_port = {}
    fleet.run(14.0)
    assert fleet.get_revisions() == {3}
    for port in fleet.nodes:
        assert set(fleet.get_states(port).values()) == {"alive"}


def test_refused_revision_is_reported_and_others_keep_it():
    """Guards against a node that applies what it cannot compile, or blocks it."""
    fleet = make_fleet(3)
    fleet.nodes[1].offer(make_config(1, a="v1"))
    fleet.run(1.0)
    fleet.refuses.add((3, 2))
    fleet.nodes[1].offer(make_config(2, a="v2"))
    fleet.run(10.0)
    assert fleet.applied == {1: [1, 2], 2: [1, 2], 3: [1]}
    nacks = [
        message
        for port in (1, 2)
        for message in fleet.handled[port]
        if isinstance(message, ConfigNack)
    ]
    assert nacks == [ConfigNack(2, "does not compile")]
    fleet.nodes[1].offer(make_config(3, a="v3"))
    fleet.run(1.0)
    assert fleet.applied[3] == [1, 3]


def test_coordinator_notice_with_the_highest_token_wins():
    """Guards against evidence for a coordinator that lost its lease."""
    fleet = make_fleet(6)
    old = CoordinatorNotice("n2", "127.0.0.1", 2, 4)
    new = CoordinatorNotice("n3", "127.0.0.1", 3, 5)
    fleet.nodes[3].broadcast(new)
    fleet.run(1.0)
    fleet.nodes[2].broadcast(old)
    fleet.run(1.0)
    fleet.start(7, seeds=[1])
    fleet.run(2.0)
    assert {node.coordinator.token for node in fleet.nodes.values()} == {5}


def test_suspect_notice_is_spread_once():
    """Guards against notices that circulate, and workers lost for want of one."""
    fleet = make_fleet(10)
    notice = SuspectNotice("f1", "orders", 60.0)
    links = sum(len(fleet.get_links(port)) for port in fleet.nodes)
    fleet.hub.messages.clear()
    fleet.nodes[1].broadcast(notice)
    fleet.nodes[1].broadcast(evolve(notice, crashes=2))
    fleet.run(1.0)
    # Each node sends it once on each link but the one that it came from.
    assert fleet.count_messages(SuspectNotice) <= links - 9
    for port in fleet.nodes:
        seen = [item for item in fleet.handled[port] if isinstance(item, SuspectNotice)]
        assert seen == ([notice] if port != 1 else [])
    fleet.run(60.0)
    fleet.nodes[2].broadcast(notice)
    fleet.run(1.0)
    assert fleet.handled[3].count(notice) == 2


def make_evidence(node_id):
    counts = OutcomeCounts(5, 1, 0)
    return Evidence("m", node_id, 1, "r", "normal", 0.0, 1.0, counts, counts)


def test_evidence_reaches_the_coordinator_without_a_link():
    """Guards against evidence that only linked neighbours can deliver."""
    fleet = make_fleet(12)
    fleet.nodes[1].broadcast(CoordinatorNotice("n1", "127.0.0.1", 1, 1))
    fleet.run(1.0)
    far = next(port for port in fleet.nodes if "n1" not in fleet.get_links(port))
    near = next(port for port in fleet.nodes if "n1" in fleet.get_links(port))
    for port in (1, far, near):
        assert fleet.nodes[port].send_evidence([make_evidence(f"n{port}")])
        assert fleet.nodes[port].send_evidence([make_evidence(f"n{port}")])
    fleet.hub.messages.clear()
    fleet.run(5.0)
    reports = [item for item in fleet.handled[1] if isinstance(item, EvidenceReport)]
    senders = sorted(report.evidence[0].node_id for report in reports)
    assert senders == sorted([f"n{port}" for port in (1, far, near)] * 2)
    # The link carries evidence only, and is closed when it is idle.
    assert f"n{far}" not in fleet.get_links(1)
    assert not any(
        isinstance(message, Heartbeat) and {source, target} == {1, far}
        for source, target, message in fleet.hub.messages
    )
    fleet.run(40.0)
    assert len(fleet.nodes[far]._links._peers_by_link) == len(fleet.get_links(far))


def test_evidence_for_an_unreachable_coordinator_is_dropped():
    """Guards against evidence that is kept without bound."""
    fleet = make_fleet(2)
    assert not fleet.nodes[2].send_evidence([make_evidence("n2")])
    fleet.nodes[2].broadcast(CoordinatorNotice("gone", "127.0.0.1", 99, 1))
    for _ in range(100):
        fleet.nodes[2].send_evidence([make_evidence("n2")])
        fleet.run(0.1)
    assert len(fleet.nodes[2]._notices._waiting) <= 8


def test_two_readers_and_the_age_of_their_reads():
    """Guards against zones that read too often or do not know of a read."""
    fleet = make_fleet(8, 2)
    now = fleet.clock.seconds()
    readers = [port for port, node in fleet.nodes.items() if node.is_reader(now)]
    assert sorted(port % 2 for port in readers) == [0, 0, 1, 1]
    assert fleet.nodes[1].get_store_age(now) == float("inf")
    fleet.nodes[readers[0]].report_store_read(now)
    fleet.run(10.0)
    now = fleet.clock.seconds()
    for node in fleet.nodes.values():
        # Never younger than it is, and older by 0.2 s for each hop at most.
        assert 9.99 <= node.get_store_age(now) <= 10.6


def test_mass_restart_is_accepted_at_a_bounded_rate():
    """Guards against a seed that spends all its time on new links."""
    fleet = Fleet()
    fleet.start(1)
    fleet.nodes[1]._links._pacer = AcceptPacer(rate=10.0, burst=10.0)
    for port in range(2, 42):
        fleet.start(port, seeds=[1])
    fleet.run(0.5)
    assert len(fleet.get_links(1)) <= 10 + 5 + 1
    goodbyes = [m for _, _, m in fleet.hub.messages if isinstance(m, Goodbye)]
    assert len({goodbye.retry_after_s for goodbye in goodbyes}) > 10
    fleet.run(20.0)
    names = {f"n{port}" for port in fleet.nodes}
    for port in fleet.nodes:
        assert set(fleet.get_states(port)) == names
        assert set(fleet.get_states(port).values()) == {"alive"}


def test_failure_of_periodic_work_does_not_end_it():
    """Guards against a node that falls silent after one unexpected error."""
    fleet = make_fleet(2)
    node = fleet.nodes[1]
    age = node.get_store_age
    failures = []

    def fail(now):
        failures.append(now)
        raise ValueError("unexpected")

    node.get_store_age = fail
    fleet.run(5.0)
    assert len(failures) >= 2
    node.get_store_age = age
    fleet.run(5.0)
    assert fleet.get_states(2)["n1"] == "alive"


def test_loopback_sockets():
    """Guards against a task that works only over in-memory links."""

    async def run(reactor):
        applied = {"n1": [], "n2": [], "n3": []}
        nodes = []
        ports = []
        for name, revisions in applied.items():
            node = Distributor(
                make_settings(name, 0, seeds=ports[:1]),
                MemberTable(),
                reactor,
                Random(1),
                lambda config, seen=revisions: seen.append(config.revision),
                {},
                incarnation=1,
            )
            ports.append(await node.start())
            nodes.append(node)
        services = {f"s{index}": Service(f"s{index}", "v1") for index in range(2000)}
        config = Config(1, "t", 1, services)
        nodes[2].offer(config)
        await wait_until(reactor, lambda: all(applied.values()))
        nodes[0].offer(evolve(config, revision=2))
        await wait_until(reactor, lambda: all(2 in seen for seen in applied.values()))
        nodes[1].publish_workers([WORKER])
        tables = [node._members for node in nodes]
        await wait_until(
            reactor, lambda: all(table.get_workers("orders") for table in tables)
        )
        await nodes[1].stop()
        await wait_until(reactor, lambda: tables[0].members_by_id["n2"].state == "left")
        await nodes[0].stop()
        await nodes[2].stop()
        return applied, [len(reactor.getReaders()), len(reactor.getWriters())]

    applied, sockets = run_with_reactor(run)
    assert applied == {"n1": [1, 2], "n2": [1, 2], "n3": [1, 2]}
    # The reactor's own wake-up pipe is left.
    assert sockets == [1, 0]
