"""Nodes and a store that is restored from a copy of some seconds ago."""

import json

import pytest
from twisted.internet import reactor
from twisted.internet.task import deferLater

from bamboocove.coordination.order_numbers import make_order_number
from bamboocove.platform.standin_store import StoreStandin
from bamboocove.platform.store import PlatformStore
from bamboocove.sidecar import moves
from bamboocove.state.codec import decode
from bamboocove.state.mesh import HostRecord, VersionRule
from tests.callpath import run, run_reactor_until
from tests.sidecar.hosts import HostMesh, stop_at_once

ROUTE = {"hostname": "h.example", "prefix": "/read/", "kind": "safe"}
WAIT_S = 8.0


class StandinMesh(HostMesh):
    """Nodes that call the stand-in store, each through a client of its own."""

    def __init__(self):
        self.standin = StoreStandin(reactor)
        self.standin.listen()
        self.hosts = []
        self.put_config(1)

    @property
    def store(self):
        return PlatformStore(self.standin.address, reactor)

    def put_config(self, version):
        document = {"version": version, "routes": {}, "services": {}}
        document["routes"]["read"] = {**ROUTE, "service": "orders"}
        document["services"]["orders"] = {
            "healthPath": "/healthz",
            "maxConnections": 100,
        }
        self.standin.put("op", "config", json.dumps(document).encode())

    def put_order(self, to_version):
        """Write an order that is soon rolled back, as no worker has the version."""
        order = {"service": "orders", "to": to_version, "durationS": 0.2}
        value = json.dumps(order).encode()
        return self.standin.put("op", "rollout/orders", value)

    def get_status(self):
        value = self.standin.get("status", "rollout/orders")
        return json.loads(value) if value else None

    def get_rules(self):
        return [host.node.rule_table.get("orders") for host in self.hosts]

    def get_stored(self, cls, table, key):
        value = self.standin.get(table, key)
        return None if value is None else decode(cls, value)

    def has_records(self):
        return all(
            self.get_stored(HostRecord, "bamboocove-hosts", host.host_id)
            == host.node.hosts.get_record()
            for host in self.hosts
        )

    def wait(self, is_done):
        run_reactor_until(
            is_done, WAIT_S, lambda: f"{self.get_rules()} {self.standin.rows}"
        )

    def wait_for_move(self, to_version):
        status = {"state": "rolled_back", "to": to_version}
        self.wait(
            lambda: (
                self.get_status() == status
                and all(
                    rule is not None
                    and (rule.to_version, rule.state) == (to_version, "rolled_back")
                    for rule in self.get_rules()
                )
            )
        )

    def close(self):
        super().close()
        self.standin.close()


@pytest.fixture
def mesh():
    mesh = StandinMesh()
    yield mesh
    mesh.close()


@pytest.fixture
def ordered(monkeypatch):
    """Return the targets of the moves that nodes have started."""
    targets = []
    log = moves.log

    def record(event, **fields):
        if event == "move.ordered":
            targets.append(fields["to"])
        log(event, **fields)

    monkeypatch.setattr(moves, "log", record)
    return targets


def pause(seconds):
    async def wait():
        await deferLater(reactor, seconds)

    run(wait(), seconds + 5)


def test_restored_store_gets_its_rows_back_and_no_move_runs_twice(mesh, ordered):
    """Guards against lost records and rules, and against a move that is repeated.

    The last of the four hosts reads the store only if others fail, and is told of the
    era by the readers.
    """
    started_at = reactor.seconds()
    pause(0.1)
    for zone in ("z", "z", "z", "z"):
        mesh.add(zone=zone)
    mesh.settle()
    mesh.put_config(2)
    mesh.put_order("v2")
    mesh.wait_for_move("v2")
    mesh.wait(lambda: mesh.has_records() and set(mesh.get_versions()) == {2})
    assert ordered.count("v2") == len(mesh.hosts)

    mesh.standin.restore(reactor.seconds() - started_at - 0.05)
    assert mesh.standin.revision == 11 and not mesh.has_records()
    mesh.wait(mesh.has_records)
    mesh.wait_for_move("v2")
    assert {host.node.store_restore.era for host in mesh.hosts} == {1}
    assert set(mesh.get_versions()) == {2}

    # The operator's rows are written again, also with other versions than before.
    mesh.put_config(2)
    number = make_order_number(1, mesh.put_order("v2"))
    mesh.wait(lambda: {rule.order_revision for rule in mesh.get_rules()} == {number})
    mesh.wait(
        lambda: (
            mesh.get_stored(VersionRule, "bamboocove-rules", "orders")
            == mesh.get_rules()[0]
        )
    )
    assert ordered.count("v2") == len(mesh.hosts)
    assert {rule.state for rule in mesh.get_rules()} == {"rolled_back"}

    # Another target is a new order, and so is a repetition within the era.
    mesh.put_order("v3")
    mesh.wait_for_move("v3")
    mesh.put_order("v2")
    mesh.wait_for_move("v2")
    assert ordered.count("v2") == 2 * len(mesh.hosts)


def test_record_of_a_stopped_host_is_written_by_a_reader(mesh):
    """Guards against a worker that comes back although it has signed off.

    Its node has stopped and cannot write the record again, and the copy holds an
    earlier one.
    """
    hosts = [mesh.add() for _ in range(3)]
    mesh.settle()
    mesh.wait(mesh.has_records)
    copied_at = reactor.seconds()
    pause(0.1)
    stopped = hosts[1]
    assert stopped.send_report(b"DELETE") < 300
    record = stopped.node.hosts.get_record()
    assert record.departed_by_id
    mesh.wait(
        lambda: all(
            host.node.fleet.records_by_id["h1"].age_key == record.age_key
            for host in hosts
        )
    )
    stop_at_once(stopped.node)
    mesh.wait(lambda: not hosts[0].node.fleet.is_reachable("h1"))
    mesh.standin.restore(reactor.seconds() - copied_at - 0.05)
    stored = mesh.get_stored(HostRecord, "bamboocove-hosts", "h1")
    assert not stored.departed_by_id
    mesh.wait(lambda: mesh.get_stored(HostRecord, "bamboocove-hosts", "h1") == record)
    stopped.start(incarnation=2000)
    mesh.wait(lambda: stopped.node.inbound.watch.departed.last_born_by_id)
