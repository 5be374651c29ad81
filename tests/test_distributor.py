"""Tests of bamboocove.distributor over in-memory links."""

from random import Random

from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bamboocove.distributor import Distributor
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.settings import check_settings
from bamboocove.state.config import Config, Service
from bamboocove.state.members import MemberTable, WorkerRecord
from tests.fake_links import FakeHub, FakeNetwork

WORKER = WorkerRecord("orders", "v1", "127.0.0.1", 9000, 12, 120)


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

    def start(self, port, zone="a", seeds=(), refuse=()):
        settings = check_settings(
            {
                ("node", "id"): f"n{port}",
                ("node", "zone"): zone,
                ("node", "peer_port"): str(port),
                ("peers", "seeds"): " ".join(f"127.0.0.1:{seed}" for seed in seeds),
                ("platform", "table_url"): "http://127.0.0.1:1",
                ("platform", "object_url"): "http://127.0.0.1:1",
            }
        )
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

    def get_revisions(self):
        return {node.distribution.config.revision for node in self.nodes.values()}


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
