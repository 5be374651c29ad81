"""Configurations on their way from the nodes that read the store to the others."""

import pytest
from twisted.internet import reactor
from twisted.internet.task import deferLater

from bamboocove.coordination.readers import SILENCE_S, choose_readers
from bamboocove.protocol.hops import Relayed, decode_hop
from bamboocove.sidecar.watch import HEARD_S
from tests.callpath import run, run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config


@pytest.fixture
def mesh():
    mesh = HostMesh()
    for _ in range(5):
        mesh.add()
    mesh.settle()
    yield mesh
    mesh.close()


def count_watches(mesh):
    """Count the calls that wait for changes, by host."""
    counts = {host.host_id: 0 for host in mesh.hosts}

    def wrap(host):
        watch = host.node.watch
        read = watch._store.watch_operator

        async def count(revision):
            counts[host.host_id] += 1
            return await read(revision)

        class Store:
            watch_operator = staticmethod(count)

            def __getattr__(self, name):
                return getattr(mesh.store, name)

        watch._store = Store()

    for host in mesh.hosts:
        wrap(host)
    return counts


async def pause(seconds):
    await deferLater(reactor, seconds)


def has_readers_only(mesh):
    readers = choose_readers([host.host_id for host in mesh.hosts])
    return all(
        host.node.spreading.must_read() == (host.host_id in readers)
        for host in mesh.hosts
    )


def change_config(mesh, version):
    routes = {f"r{n}": {"orders": 1} for n in range(version)}
    mesh.store.put_config(make_config(version, **routes))


def test_changes_reach_all_nodes_and_only_readers_call_the_store(mesh):
    """Guards against store calls that grow with the number of hosts."""
    run_reactor_until(lambda: has_readers_only(mesh))
    change_config(mesh, 2)
    run_reactor_until(lambda: mesh.get_versions() == [2] * 5)
    counts = count_watches(mesh)
    for version in range(3, 9):
        change_config(mesh, version)
        run_reactor_until(
            lambda version=version: mesh.get_versions() == [version] * 5, 2
        )
    readers = choose_readers(list(counts))
    assert all(counts[i] for i in readers)
    assert not any(counts[i] for i in counts if i not in readers)


def test_node_that_missed_a_change_gets_the_whole_configuration(mesh):
    """Guards against a node that waits for a change that it cannot apply."""
    run_reactor_until(lambda: has_readers_only(mesh))
    readers = choose_readers([host.host_id for host in mesh.hosts])
    late = next(host for host in mesh.hosts if host.host_id not in readers)
    use, late.node.use_config = late.node.use_config, lambda *args: None
    change_config(mesh, 2)
    others = [host for host in mesh.hosts if host is not late]
    run_reactor_until(lambda: all(host.node.config.version == 2 for host in others))
    late.node.use_config = use
    change_config(mesh, 3)
    run_reactor_until(lambda: mesh.get_versions() == [3] * 5, 2)


def test_changes_arrive_while_readers_are_turned_away(mesh):
    """Guards against a zone that hears nothing because its readers do not."""
    run_reactor_until(lambda: has_readers_only(mesh))
    readers = choose_readers([host.host_id for host in mesh.hosts])

    class Refusing:
        def __getattr__(self, name):
            async def refuse(*args):
                mesh.store.is_down, held = True, mesh.store.is_down
                try:
                    return await getattr(mesh.store, name)(*args)
                finally:
                    mesh.store.is_down = held

            return refuse

    for host in mesh.hosts:
        if host.host_id in readers:
            host.node.watch._store = Refusing()
    change_config(mesh, 2)
    run_reactor_until(lambda: mesh.get_versions() == [2] * 5)
    change_config(mesh, 3)
    run_reactor_until(lambda: mesh.get_versions() == [3] * 5, 8)


def test_readers_stay_while_the_store_is_quiet(mesh):
    """Guards against nodes that all watch the store because nothing changes."""
    run(pause(HEARD_S + SILENCE_S + 0.5), 10)
    run_reactor_until(lambda: has_readers_only(mesh), 2)


def test_reader_that_is_turned_away_says_so_at_once(mesh):
    """Guards against followers that rely on a reader that hears nothing."""
    run_reactor_until(lambda: has_readers_only(mesh))
    readers = choose_readers([host.host_id for host in mesh.hosts])
    reader = next(host for host in mesh.hosts if host.host_id == readers[0])
    run_reactor_until(reader.node.spreading.is_reading)
    mesh.store.is_down = True
    run_reactor_until(lambda: not reader.node.spreading.is_reading(), 0.5)


def test_news_of_a_host_crosses_to_another_zone_twice_and_reaches_all_there():
    """Guards against traffic between zones that grows with the hosts of both."""
    mesh = HostMesh()
    try:
        near = [mesh.add(zone="z") for _ in range(2)]
        far = [mesh.add(zone="y") for _ in range(5)]
        mesh.settle()
        source = near[0]
        sent = []
        for host in far:
            link = source.node.hub.peers_by_id[host.host_id].link
            link.send_encoded = lambda data, send=link.send_encoded: (
                sent.append(data),
                send(data),
            )
        assert source.report("draining") == 200
        run_reactor_until(
            lambda: all(
                host.node.fleet.records_by_id[source.host_id].worker.state == "draining"
                for host in (*near, *far)
            ),
            2,
        )
        relayed = [data for data in sent if isinstance(decode_hop(data), Relayed)]
        assert len(relayed) == 2
    finally:
        mesh.close()
