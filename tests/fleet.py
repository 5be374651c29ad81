"""In-process distributors on a fake clock, connected by in-memory links."""

from random import Random

from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bamboocove.distributor import Distributor
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.messages import Hello
from bamboocove.settings import check_settings
from bamboocove.state.config import Config, Service
from bamboocove.state.members import Member, MemberTable, WorkerRecord
from bamboocove.transport.link_handlers import LinkHandlers
from tests.fake_links import FakeHub, FakeNetwork

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
    """Distributors on one fake clock.

    Attributes
    ----------
    nodes, networks : dict
        Distributor and network by port.
    applied : dict of int to list of int
        Revisions that each node applied, by port.
    handled : dict of int to list
        Messages that each distributor passed to its handlers, by port.
    refused_revisions : set of (int, int)
        Port and revision for which applying a configuration fails.
    """

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.hub = FakeHub(self.clock)
        self.nodes = {}
        self.networks = {}
        self.applied = {}
        self.handled = {}
        self.refused_revisions = set()

    def start(self, port, zone="a", seeds=()):
        settings = make_settings(f"n{port}", port, zone, seeds)
        applied = self.applied[port] = []
        handled = self.handled[port] = []

        def apply_config(config):
            if (port, config.revision) in self.refused_revisions:
                return ErrorResult(ErrorKind.INVALID_CONFIG, "does not compile")
            applied.append(config.revision)

        self.networks[port] = FakeNetwork(self.hub, port)
        self.nodes[port] = Distributor(
            settings,
            MemberTable(),
            self.clock,
            Random(port),
            apply_config,
            self.RecordingHandlers(handled),
            incarnation=int(self.clock.seconds() * 1000),
            network=self.networks[port],
        )
        started = []
        Deferred.fromCoroutine(self.nodes[port].start()).addCallback(started.append)
        assert started == [port]
        return self.nodes[port]

    class RecordingHandlers(dict):
        """Handlers that record each message instead of processing it."""

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
    """Start nodes 1 to ``count`` with node 1 as seed, and wait for membership."""
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


class ScriptedLink:
    """A link to a node whose remote end the test controls."""

    def __init__(self, fleet, port):
        self.received = []
        self.closed = []
        self.network = FakeNetwork(fleet.hub, 99)
        self.link = self.network.dial(
            "127.0.0.1",
            port,
            LinkHandlers(
                lambda link: None,
                lambda link, message: self.received.append(message),
                lambda link, reason: self.closed.append(reason),
            ),
        )
        fleet.run(0.1)


def make_hello(**values):
    member = Member("x", 1, 1, "a", "r", "127.0.0.1", 99)
    return Hello(evolve(member, **values), 0)
