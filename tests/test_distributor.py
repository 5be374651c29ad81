"""Tests of bamboocove.distributor over in-memory links and loopback sockets."""

from random import Random

from attrs import evolve
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from bamboocove.distributor import Distributor
from bamboocove.errors import ErrorKind
from bamboocove.protocol.messages import (
    ConfigDeltas,
    ConfigFull,
    ConfigNack,
)
from bamboocove.state.config import Config, Service
from bamboocove.state.members import MemberTable
from tests.fakes import run_with_reactor, wait_until
from tests.fleet import WORKER, Fleet, make_config, make_fleet, make_settings


def test_two_nodes_exchange_configuration_and_members():
    """Guards against linked nodes that do not distribute what they know."""
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
    """Guards against nodes that miss a revision or receive its content twice."""
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


def test_restarted_node_does_not_apply_an_older_revision():
    """Guards against a restarted node that takes an older revision from stale peers."""
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
    """Guards against partitions that stay apart as each considers the other down."""
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
    """Guards against a node that applies a revision that does not compile.

    Its refusal must not keep the other nodes from applying it either.
    """
    fleet = make_fleet(3)
    fleet.nodes[1].offer(make_config(1, a="v1"))
    fleet.run(1.0)
    fleet.refused_revisions.add((3, 2))
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


def test_two_readers_for_each_zone_and_the_age_of_their_reads():
    """Guards against too many readers in a zone and reads unknown to its nodes."""
    fleet = make_fleet(8, 2)
    now = fleet.clock.seconds()
    readers = [port for port, node in fleet.nodes.items() if node.is_reader(now)]
    assert sorted(port % 2 for port in readers) == [0, 0, 1, 1]
    assert fleet.nodes[1].get_store_age(now) == float("inf")
    fleet.nodes[readers[0]].report_store_read(now)
    fleet.run(10.0)
    now = fleet.clock.seconds()
    for node in fleet.nodes.values():
        # The age is never understated, and overstated by at most 0.2 s for each hop.
        assert 9.99 <= node.get_store_age(now) <= 10.6


FAULTS = st.lists(
    st.tuples(
        st.sampled_from(["crash", "start", "stop", "split", "heal", "offer", "work"]),
        st.integers(1, 6),
        st.floats(0.0, 15.0),
    ),
    max_size=8,
)


@given(FAULTS)
@hypothesis_settings(max_examples=40, derandomize=True, deadline=None)
def test_nodes_converge_after_any_faults(faults):
    """Guards against combinations of faults after which nodes stay inconsistent.

    Nodes crash, stop, restart and are partitioned while each partition publishes;
    a minute after the last fault all must hold the same configuration and members.
    """
    fleet = make_fleet(6, 3)
    highest = 0
    for action, port, wait_s in faults:
        node = fleet.nodes.get(port)
        match action:
            case "crash" if node and len(fleet.nodes) > 2:
                fleet.crash(port)
            case "stop" if node and len(fleet.nodes) > 2:
                fleet.stop(port)
                del fleet.nodes[port]
            case "start" if not node:
                fleet.start(port, f"z{port % 3}", seeds=[1, 2, 3, 4])
            case "split":
                fleet.hub.groups_by_port = {other: other <= port for other in range(7)}
            case "heal":
                fleet.hub.groups_by_port = {}
            case "offer" if node:
                highest += 1
                node.offer(make_config(highest, a=f"v{highest}"))
            case "work" if node:
                node.publish_workers([evolve(WORKER, version=f"v{wait_s}")])
        fleet.run(wait_s, step=0.05)
    fleet.hub.groups_by_port = {}
    newest = max(fleet.get_revisions())
    fleet.run(60.0, step=0.05)
    assert fleet.get_revisions() == {newest}
    assert len({node._members.digest for node in fleet.nodes.values()}) == 1
    for port, node in fleet.nodes.items():
        assert fleet.applied[port] == sorted(set(fleet.applied[port]))
        live = {member.node_id: member for member in node._members.get_live()}
        own = {other.member.node_id: other.member for other in fleet.nodes.values()}
        assert live == own


def test_exception_in_periodic_work_does_not_end_it():
    """Guards against a node that stops its heartbeats after one unexpected error."""
    fleet = make_fleet(2)
    node = fleet.nodes[1]
    get_store_age = node.get_store_age
    failures = []

    def fail(now):
        failures.append(now)
        raise ValueError("unexpected")

    node.get_store_age = fail
    fleet.run(5.0)
    assert len(failures) >= 2
    node.get_store_age = get_store_age
    fleet.run(5.0)
    assert fleet.get_states(2)["n1"] == "alive"


def test_loopback_sockets():
    """Guards against a peer task that works over in-memory links only."""

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
    # Only the reactor's own wake-up pipe remains.
    assert sockets == [1, 0]
