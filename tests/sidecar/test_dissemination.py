"""Dissemination of configurations and host records from readers to other nodes."""

import random
import time
from types import SimpleNamespace

import pytest
from twisted.internet import reactor

from bamboocove.coordination import relay_tree
from bamboocove.coordination.readers import (
    READER_TIMEOUT_S,
    READERS_PER_ZONE,
    STANDBYS_PER_ZONE,
    Duty,
    ReaderRole,
    choose_readers,
)
from bamboocove.coordination.relay_tree import RELAY_FANOUT
from bamboocove.protocol.mesh_messages import (
    ConfigCopy,
    ConfigDelta,
    HostRecords,
    LoadUpdate,
    OutcomeBatch,
    OutcomeReport,
    RelayedMessage,
    decode_mesh_message,
    encode_mesh_message,
)
from bamboocove.sidecar.dissemination import Dissemination
from bamboocove.sidecar.messages import handle_message
from bamboocove.sidecar.watch import WATCH_DELAY_S, WATCH_TIMEOUT_S
from bamboocove.state.codec import to_plain
from bamboocove.state.mesh import HostRecord
from tests.callpath import pause, run, run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config, stop_at_once
from tests.sidecar.store_calls import OperatorCalls


@pytest.fixture
def mesh():
    mesh = HostMesh()
    for _ in range(5):
        mesh.add()
    mesh.settle()
    yield mesh
    mesh.close()


def is_watching(node):
    """Return whether a node's duty is to watch the store."""
    return node.dissemination.get_duty() in (Duty.READER, Duty.SUBSTITUTE)


def do_only_readers_watch(mesh):
    """Return whether exactly the readers of the zone watch the store."""
    readers = choose_readers([host.host_id for host in mesh.hosts])
    return all(
        is_watching(host.node) == (host.host_id in readers) for host in mesh.hosts
    )


def change_config(mesh, version):
    routes = {f"r{n}": {"orders": 1} for n in range(version)}
    mesh.store.put_config(make_config(version, **routes))


def test_changes_reach_all_nodes_and_only_readers_call_the_store(mesh):
    """Guards against store calls that grow with the number of hosts."""
    calls = OperatorCalls(mesh)
    readers = choose_readers(list(calls.kinds_by_id))
    # A node takes up its duty some time after its start, each at a time of its own.
    run_reactor_until(
        lambda: do_only_readers_watch(mesh) and calls.watching_ids == set(readers)
    )
    calls.clear()
    for version in range(2, 9):
        change_config(mesh, version)
        run_reactor_until(
            lambda version=version: mesh.get_versions() == [version] * 5, 2
        )
    for host_id, kinds in calls.kinds_by_id.items():
        # Each change answers the open watch call of a reader, which needs no read.
        assert set(kinds) == ({"watch"} if host_id in readers else set())


def test_node_that_missed_a_change_gets_the_whole_configuration(mesh):
    """Guards against a node that misses a change and cannot apply later ones."""
    run_reactor_until(lambda: do_only_readers_watch(mesh))
    readers = choose_readers([host.host_id for host in mesh.hosts])
    lagging = next(host for host in mesh.hosts if host.host_id not in readers)
    use_config, lagging.node.use_config = lagging.node.use_config, lambda *args: None
    change_config(mesh, 2)
    others = [host for host in mesh.hosts if host is not lagging]
    run_reactor_until(lambda: all(host.node.config.version == 2 for host in others))
    lagging.node.use_config = use_config
    change_config(mesh, 3)
    run_reactor_until(lambda: mesh.get_versions() == [3] * 5, 2)


def test_changes_arrive_while_the_store_refuses_the_readers(mesh):
    """Guards against a zone without changes because the store refuses its readers."""
    run_reactor_until(lambda: do_only_readers_watch(mesh))
    readers = choose_readers([host.host_id for host in mesh.hosts])

    class RefusingStore:
        def __getattr__(self, name):
            async def refuse(*args):
                mesh.store.is_down, was_down = True, mesh.store.is_down
                try:
                    return await getattr(mesh.store, name)(*args)
                finally:
                    mesh.store.is_down = was_down

            return refuse

    for host in mesh.hosts:
        if host.host_id in readers:
            host.node.watch._store = RefusingStore()
    change_config(mesh, 2)
    run_reactor_until(lambda: mesh.get_versions() == [2] * 5)
    change_config(mesh, 3)
    run_reactor_until(lambda: mesh.get_versions() == [3] * 5, 8)


def test_only_readers_watch_while_nothing_changes(mesh):
    """Guards against nodes that all start to watch because no change arrives."""
    run(pause(WATCH_TIMEOUT_S + READER_TIMEOUT_S + 0.5), 10)
    run_reactor_until(lambda: do_only_readers_watch(mesh), 2)


def test_reader_that_the_store_refuses_stops_reading_at_once(mesh):
    """Guards against nodes that rely on a reader that receives no changes."""
    run_reactor_until(lambda: do_only_readers_watch(mesh))
    readers = choose_readers([host.host_id for host in mesh.hosts])
    reader = next(host for host in mesh.hosts if host.host_id == readers[0])
    run_reactor_until(reader.node.dissemination.is_reading)
    run_reactor_until(lambda: mesh.store.pending_watches >= 2)
    mesh.store.is_down = True
    run_reactor_until(lambda: not reader.node.dissemination.is_reading(), 0.5)


def test_host_record_is_sent_to_two_readers_of_another_zone_and_reaches_all_there():
    """Guards against cross-zone traffic that grows with the hosts of both zones."""
    mesh = HostMesh()
    try:
        sender_zone = [mesh.add(zone="z") for _ in range(2)]
        other_zone = [mesh.add(zone="y") for _ in range(5)]
        mesh.settle()
        source = sender_zone[0]
        sent = []
        for host in other_zone:
            link = source.node.hub.peers_by_id[host.host_id].link
            link.send_encoded = lambda data, send=link.send_encoded: (
                sent.append(data),
                send(data),
            )
        assert source.report("draining") == 200
        run_reactor_until(
            lambda: all(
                host.node.fleet.records_by_id[source.host_id].worker.state == "draining"
                for host in (*sender_zone, *other_zone)
            ),
            2,
        )
        relayed = [
            data
            for data in sent
            if isinstance(decode_mesh_message(data), RelayedMessage)
        ]
        assert len(relayed) == 2
    finally:
        mesh.close()


def test_node_that_missed_a_record_gets_it_from_a_reader_of_its_zone(mesh):
    """Guards against a host that some nodes never learn about.

    Nodes don't link to all hosts, so that a record which one message left out comes
    with no later one.
    """
    run_reactor_until(lambda: do_only_readers_watch(mesh))
    readers = choose_readers([host.host_id for host in mesh.hosts])
    host, missed = (h for h in mesh.hosts[:4] if h.host_id not in readers)
    fleet = host.node.fleet
    record = fleet.records_by_id[missed.host_id]
    fleet._unreachable_since_by_id[missed.host_id] = -1e9
    fleet.remove_unreachable(0.0)
    assert missed.host_id not in fleet.records_by_id
    run_reactor_until(lambda: fleet.records_by_id.get(missed.host_id) == record, 12)


def test_start_of_many_nodes_takes_few_calls_to_the_store(monkeypatch):
    """Guards against a start-up that costs more store calls than the day after it.

    194 hosts made some 11 calls each at their start: records were read twice, written
    twice, and each node watched the configuration until it heard a reader.
    """
    mesh = HostMesh()
    try:
        monkeypatch.setattr(HostMesh, "is_first_start", True)
        for _ in range(8):
            mesh.add()
        mesh.settle()
        run(pause(WATCH_DELAY_S + 0.3))
        run_reactor_until(lambda: do_only_readers_watch(mesh))
        watches = 2 * 4
        assert mesh.store.calls <= 4 * len(mesh.hosts) + watches
    finally:
        mesh.close()


def test_reports_that_change_nothing_are_not_written(mesh):
    """Guards against a write of each host every ten seconds of a quiet day.

    Each report of a worker has a higher sequence number.
    """
    run(pause(0.5))
    writes = []
    write_host = mesh.store.write_host

    async def record_write(record):
        writes.append(record)
        return await write_host(record)

    mesh.store.write_host = record_write
    for _ in range(3):
        for host in mesh.hosts:
            assert host.report() == 200
            # As the task does every ten seconds.
            host.node.watch.publish()
        run(pause(0.1))
    assert not writes
    assert mesh.hosts[0].report("draining") == 200
    run_reactor_until(lambda: len(writes) == 1, 1)


@pytest.mark.parametrize("suspended_s", [0.0, 0.35, 0.6])
def test_restart_of_many_nodes_takes_few_calls_to_the_store(mesh, suspended_s):
    """Guards against a restart after which each record is written several times.

    Also if the nodes are suspended before they have read the first health checks.
    """
    run(pause(0.5))
    for host in mesh.hosts:
        stop_at_once(host.node)
    mesh.store.calls = 0
    for host in mesh.hosts:
        host.start(incarnation=2000)
    reactor.callLater(0.01, time.sleep, suspended_s)
    mesh.settle()
    run_reactor_until(
        lambda: all(
            mesh.store.hosts[host.host_id] == host.node.hosts.get_record()
            for host in mesh.hosts
        )
    )
    assert mesh.store.calls <= 5 * len(mesh.hosts)
    assert all(record.worker.state == "ready" for record in mesh.store.hosts.values())


def test_new_host_that_greets_only_readers_becomes_known_in_their_zone():
    """Guards against a zone that learns seconds later of a host in another zone.

    A new host may tell its record before its links to the other zones are open.
    """
    mesh = HostMesh()
    try:
        zone = [mesh.add(zone="y") for _ in range(5)]
        mesh.settle()
        readers = choose_readers([host.host_id for host in zone])
        new = HostRecord("new", 1, 1, ("127.0.0.1", 9), "z")
        greeting = HostRecords([to_plain(new)])
        for host in zone:
            if host.host_id in readers:
                handle_message(host.node, None, "", greeting)
        run_reactor_until(
            lambda: all("new" in host.node.fleet.records_by_id for host in zone), 1
        )
    finally:
        mesh.close()


def record_config_messages(mesh):
    """Return the sizes of the configuration messages that each node sends, by host."""
    sizes = {host.host_id: [] for host in mesh.hosts}

    def record(host, link):
        def send(data, send_encoded=link.send_encoded):
            if isinstance(decode_mesh_message(data), ConfigCopy | ConfigDelta):
                sizes[host.host_id].append(len(data))
            return send_encoded(data)

        link.send_encoded = send

    for host in mesh.hosts:
        for peer in host.node.hub.peers_by_id.values():
            record(host, peer.link)
        for link in host.node.hub._accepted:
            record(host, link)
    return sizes


def make_large_config(version, count=1400):
    """Return a configuration with routes whose names do not compress well."""
    source = random.Random(version)
    names = [f"r-{source.getrandbits(64):016x}" for _ in range(count)]
    return make_config(version, **{name: {"orders": 1} for name in names})


# Enough that a change goes along the relay tree. All nodes of a test share a process,
# and twelve that decode a larger change one after the other need seconds.
RELAYED_ROUTES = 600


@pytest.fixture
def large_zone():
    mesh = HostMesh()
    for _ in range(12):
        mesh.add()
    mesh.settle()
    run_reactor_until(lambda: do_only_readers_watch(mesh))
    yield mesh
    mesh.close()


def test_large_change_occupies_no_link_for_long(large_zone):
    """Guards against a reader whose link is full of copies of one configuration.

    Changes must be in force 2.5 s after they were accepted, on hosts with links of
    10 Mbit/s, and requests must not wait behind them.
    """
    sizes = record_config_messages(large_zone)
    large_zone.store.put_config(make_large_config(2))
    run_reactor_until(lambda: large_zone.get_versions() == [2] * 12)
    link_bytes_per_s = 10e6 / 8
    assert max(map(sum, sizes.values())) < 0.25 * link_bytes_per_s


def test_large_change_is_received_at_most_once_from_each_reader(
    large_zone, monkeypatch
):
    """Guards against nodes that request a change which is already on its way."""
    # Twelve nodes in one process may take longer than a node waits for a change.
    monkeypatch.setattr(relay_tree, "CATCH_UP_DELAY_S", 60.0)
    sizes = record_config_messages(large_zone)
    for version in range(2, 6):
        large_zone.store.put_config(make_large_config(version))
        run_reactor_until(
            lambda version=version: large_zone.get_versions() == [version] * 12
        )
    run(pause(1.2))
    assert sum(map(len, sizes.values())) <= 4 * 2 * 11


def test_large_change_reaches_nodes_behind_a_relay_that_fails(large_zone, monkeypatch):
    """Guards against nodes that wait for a relay which has stopped."""
    lost_relays = []
    monkeypatch.setattr(
        Dissemination,
        "relay_change",
        lambda self, message: lost_relays.extend(message.relay_ids),
    )
    large_zone.store.put_config(make_large_config(2, RELAYED_ROUTES))
    run_reactor_until(lambda: large_zone.get_versions() == [2] * 12, 2)
    # From two readers, to the nodes that are no direct receivers of either.
    assert len(lost_relays) == 2 * (11 - RELAY_FANOUT)


def test_only_readers_send_changes_when_no_node_hears_a_reader(large_zone, monkeypatch):
    """Guards against a zone in which every node sends each change to all others."""
    monkeypatch.setattr(
        ReaderRole, "record_reader_signal", lambda self, host_id, now: None
    )
    run_reactor_until(lambda: all(is_watching(host.node) for host in large_zone.hosts))
    sizes = record_config_messages(large_zone)
    large_zone.store.put_config(make_config(2, other={"orders": 1}))
    run_reactor_until(lambda: large_zone.get_versions() == [2] * 12)
    ids = [host.host_id for host in large_zone.hosts]
    readers = choose_readers(ids, READERS_PER_ZONE + STANDBYS_PER_ZONE)
    assert {host_id for host_id, sent in sizes.items() if sent} <= set(readers)


def test_standbys_send_no_change_that_peers_sent_to_them(large_zone, monkeypatch):
    """Guards against changes that standbys of a busy zone send a third time."""
    sizes = record_config_messages(large_zone)
    monkeypatch.setattr(ReaderRole, "get_duty", lambda *args: Duty.READER)
    ids = [host.host_id for host in large_zone.hosts]
    order = choose_readers(ids, READERS_PER_ZONE + STANDBYS_PER_ZONE)
    for host in large_zone.hosts:
        if host.host_id in order[2:]:
            host.node.use_config(make_config(2, other={"orders": 1}), "peer")
    assert not any(sizes.values())


class CountingLink:
    """A link that counts what is sent on it, and keeps the last message."""

    def __init__(self):
        self.sent = 0
        self.messages = 0
        self.last = None

    def send_encoded(self, data):
        self.sent += len(data)
        self.messages += 1
        self.last = decode_mesh_message(data)


def make_collector(zones, hosts_per_zone):
    """Return the node that collects for the first zone, and its links."""
    zones_by_id = {f"{zone}-{n}": zone for zone in zones for n in range(hosts_per_zone)}
    own_zone_ids = [i for i, zone in zones_by_id.items() if zone == zones[0]]
    own_id = choose_readers(own_zone_ids, 1)[0]
    links = {i: CountingLink() for i in zones_by_id if i != own_id}
    fleet = SimpleNamespace(
        records_by_id={
            i: SimpleNamespace(zone=zone, is_leaving=False, link_bytes_per_s=0)
            for i, zone in zones_by_id.items()
        }
    )
    hub = SimpleNamespace(
        peers_by_id={
            i: SimpleNamespace(host_id=i, is_open=True, is_suspect=False, link=link)
            for i, link in links.items()
        }
    )
    settings = SimpleNamespace(host_id=own_id, zone=zones[0], link_bytes_per_s=0)
    role = ReaderRole(own_id)
    dissemination = Dissemination(
        settings, fleet, hub, role, None, None, lambda outcomes: None
    )
    return dissemination, own_zone_ids, links


def test_outcomes_of_a_move_leave_the_link_of_the_collector_to_requests():
    """Guards against a collecting node whose link is full of outcomes of a move.

    Requests of and to that host waited for a second, and reached workers long after
    their callers had left. The slowest links transmit 5 Mbit/s.
    """
    dissemination, host_ids, links = make_collector(["a", "b", "c"], 43)
    for turn in range(8):
        calls = turn + 1
        for number, host_id in enumerate(host_ids):
            tallies = [
                [f"r-route{n}", calls, 0, 200 * calls, [calls] * 19, 0]
                for n in range(2)
            ]
            dissemination.outcome_batches.add(
                OutcomeReport(host_id, 7, "orders", f"v{number % 2}", 12, tallies)
            )
        dissemination.send_collected(0.25 * turn)
        for link in links.values():
            if isinstance(link.last, RelayedMessage):
                # The other zones, which have as many hosts, send the same.
                items = decode_mesh_message(link.last.data).items
                dissemination.outcome_batches.add_remote(items)
                link.last = None
    link_bytes_per_s = 5e6 / 8
    sent = sum(link.sent for link in links.values())
    assert 0 < sent / (8 * 0.25) < 0.25 * link_bytes_per_s


def test_loads_and_outcomes_of_other_zones_go_out_with_those_of_the_zone():
    """Guards against messages to each node that grow with the zones.

    In five zones, relayed loads and sums were 27 of the messages that a node received
    in a second of a move, and each costs its processing.
    """
    zones = ["a", "b", "c", "d", "e"]
    dissemination, host_ids, links = make_collector(zones, 8)
    for turn in range(20):
        now = 0.1 * turn
        dissemination.load_relay.add(host_ids[0], [4, 4, 0, 0])
        tally = ["r-route", turn + 1, 0, 200, [1] * 19, 0]
        own = OutcomeReport(host_ids[0], 7, "orders", "v1", 12, [tally])
        dissemination.outcome_batches.add(own)
        if turn % 4 == 0:
            for zone in zones[1:]:
                relayed = OutcomeBatch([[zone, 0, "orders", "v1", 12, [tally]]])
                loads = LoadUpdate({f"{zone}-1": [4, 4, 0, 0]})
                for message in (relayed, loads):
                    data = encode_mesh_message(message)
                    handle_message(
                        make_application(dissemination), None, "", RelayedMessage(data)
                    )
        dissemination.send_collected(now)
    zone_links = [links[i] for i in host_ids if i in links]
    assert max(link.messages for link in zone_links) <= 40


def make_application(dissemination):
    """Return what the handling of loads and outcomes needs of an application."""
    ignore = SimpleNamespace(
        update_load=lambda *args: None, record_outcomes=lambda *args: None
    )
    return SimpleNamespace(
        dissemination=dissemination,
        clock=SimpleNamespace(seconds=lambda: 0.0),
        fleet=ignore,
        moves=ignore,
    )
