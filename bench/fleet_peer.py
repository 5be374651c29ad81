"""Simulates the rest of a fleet for one node: members, links, changes and store.

One process holds the records of all other members, listens on the address of each
and answers on the links as nodes do. The measured node can therefore link to any
member that it picks, as in a real fleet. The process also runs the platform
stand-in and counts the bytes between it and the node.
"""

import argparse
import random
from typing import Any

from attrs import define, evolve, field
from twisted.internet import reactor
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.server import Site

from bamboocove.coordination.distribution import (
    DistributionState,
    OutgoingMessage,
    answer_request,
    apply_and_offer_config,
    check_request_timeout,
    handle_deltas,
    handle_full_config,
    record_peer_revision,
    remove_peer,
)
from bamboocove.coordination.gossip import (
    Gossip,
    answer_ages,
    answer_digests,
    make_digests,
    merge_records,
    pop_batch,
    queue_record,
)
from bamboocove.coordination.peering import pick_readers
from bamboocove.coordination.publishing import PublishedConfig, publish
from bamboocove.errors import ErrorResult
from bamboocove.protocol.messages import (
    ConfigDeltas,
    ConfigFull,
    ConfigOffer,
    ConfigRequest,
    Goodbye,
    Heartbeat,
    Hello,
    MemberAges,
    MemberDigests,
    MemberUpdate,
    Message,
)
from bamboocove.protocol.rows import (
    COORDINATOR_LEASE_KEY,
    HistoryRecord,
    LeaseRecord,
    NodeRecord,
    Transaction,
    Write,
    node_key,
)
from bamboocove.standin_platform import PlatformStandin
from bamboocove.state.codec import to_plain
from bamboocove.state.config import Config
from bamboocove.state.members import Member, MemberTable
from bamboocove.transport.peers import LinkHandlers, PeerNetwork
from bamboocove.transport.platform import ObjectClient, TableClient
from bench.control import make_config
from bench.drivers import MAX_LIFETIME_S, open_command_channel, run_coroutine
from bench.fleet_parts import HOST, CountingFactory, make_members

HEARTBEAT_INTERVAL_S = 2.0
MEMBER_UPDATE_INTERVAL_S = 0.05
# Age of the last store read that the members report in heartbeats. It is low enough
# that the node does not poll the store itself.
REPORTED_STORE_AGE_S = 0.6
STORE_TIMEOUT_S = 10.0
MEMBERS_IN_TRANSACTION = 500
# Links that other members dial to the node, as many as the node itself dials.
LINKS_DIALLED_IN_ZONE = 3
LINKS_DIALLED_OUTSIDE_ZONE = 1


@define(eq=False)
class Stub:
    """A simulated member and its link to the measured node, if there is one."""

    member: Member
    network: PeerNetwork
    distribution: DistributionState = field(factory=DistributionState)
    link: Any = None
    node_id: str = ""


class FleetSimulator:
    """Simulates all members of the fleet except the measured node.

    Parameters
    ----------
    args : Namespace
        Size of the fleet and role of the measured node, see ``main``.
    """

    def __init__(self, args: argparse.Namespace):
        self.args = args
        self.table = MemberTable()
        self.gossip = Gossip(self.table)
        self.stubs: dict[str, Stub] = {}
        self.random = random.Random(1)
        self.platform = PlatformStandin(reactor)
        self.site = CountingFactory(Site(self.platform.app.resource(), reactor=reactor))
        self.published = PublishedConfig(Config(), 0)
        self.peer_port = 0

    async def start(self) -> dict[str, Any]:
        """Listen for all members, fill the store and return the node's settings."""
        args = self.args
        uncounted_url = f"http://{HOST}:{self.platform.start(HOST, 0)}"
        port = reactor.listenTCP(0, self.site, interface=HOST).getHost().port
        self.store = TableClient(uncounted_url, STORE_TIMEOUT_S, reactor)
        self.objects = ObjectClient(uncounted_url, STORE_TIMEOUT_S, reactor)
        for member in make_members(
            args.members, args.zones, args.services, args.workers
        ):
            stub = Stub(member, PeerNetwork(reactor))
            handlers = self._make_handlers(stub)
            result = await stub.network.listen(member.host, self.peer_port, handlers)
            if isinstance(result, ErrorResult):
                raise RuntimeError(str(result))
            self.peer_port = result
            stub.member = evolve(member, peer_port=result)
            self.stubs[member.node_id] = stub
            self.table.merge(stub.member)
        self._register_members()
        await self._publish(make_config(args.services))
        for stub in self.stubs.values():
            apply_and_offer_config(
                stub.distribution, self.published.config, lambda _: None
            )
        LoopingCall(self._send_heartbeats).start(HEARTBEAT_INTERVAL_S)
        return {"node_id": self._pick_node_id(), "url": f"http://{HOST}:{port}"}

    def _register_members(self) -> None:
        now = reactor.seconds()
        writes = [
            Write(
                node_key(stub.member.zone, stub.member.node_id),
                to_plain(NodeRecord(stub.member, now)),
            )
            for stub in self.stubs.values()
        ]
        if self.args.role != "coordinator":
            # A member holds the lease, so that a reader does not become coordinator.
            lease = LeaseRecord("m0", HOST, 1, 1, now + MAX_LIFETIME_S)
            writes.append(Write(COORDINATOR_LEASE_KEY, to_plain(lease)))
        self.platform.table.transact(Transaction("bench", (), tuple(writes)))

    def _pick_node_id(self) -> str:
        """Return a node id that is, or for role ``node`` is not, a reader of z0."""
        for index in range(10_000):
            name = f"node-{index}"
            table = MemberTable(dict(self.table.members_by_id))
            table.merge(Member(name, 1, 1, "z0", "r", HOST, 1))
            is_reader = name in pick_readers(table, "z0")
            if is_reader == (self.args.role != "node"):
                return name
        raise RuntimeError("no node id among 10,000 candidates has the requested role")

    async def _publish(self, config: Config) -> None:
        history = HistoryRecord(config.revision, "bench", reactor.seconds(), "change")
        result = await publish(
            self.store,
            self.objects,
            self.published,
            config,
            history,
            f"bench-{config.revision}",
        )
        if isinstance(result, ErrorResult):
            raise RuntimeError(str(result))
        self.published = result

    # Commands that the parent sends on standard input.

    async def publish_changes(self, rate_per_s: float, seconds: float) -> None:
        """Publish configuration changes at a rate.

        All linked members except one receive each change before the node, so that
        the node receives it once and sends it once, the average in a fleet.
        """
        count = max(1, round(rate_per_s * seconds))
        for _ in range(count):
            config = self.published.config
            services = dict(config.services_by_name)
            name = f"service-{config.revision % len(services)}"
            services[name] = evolve(services[name], version=f"v{config.revision}")
            revision = config.revision + 1
            await self._publish(
                evolve(config, revision=revision, services_by_name=services)
            )
            linked = [stub for stub in self.stubs.values() if stub.link is not None]
            for stub in linked[:-1] or linked:
                sends = apply_and_offer_config(
                    stub.distribution, self.published.config, lambda _: None
                )
                if not isinstance(sends, ErrorResult):
                    self._send_all(stub, sends)
            await deferLater(reactor, seconds / count, lambda: None)

    async def update_members(self, rate_per_s: float, seconds: float) -> None:
        """Update member records at a rate, each sent to the node on two links."""
        for _ in range(round(rate_per_s * seconds)):
            stub = self.random.choice(list(self.stubs.values()))
            stub.member = evolve(stub.member, sequence=stub.member.sequence + 1)
            self.table.merge(stub.member)
            linked = [item for item in self.stubs.values() if item.link is not None]
            for item in linked[:2]:
                item.link.send(MemberUpdate((stub.member,)))
            await deferLater(reactor, 1.0 / rate_per_s, lambda: None)

    def dial_node(self, port: int) -> None:
        """Open links to the node from members that have none."""
        free = [stub for stub in self.stubs.values() if stub.link is None]
        in_zone = [stub for stub in free if stub.member.zone == "z0"]
        outside = [stub for stub in free if stub.member.zone != "z0"]
        for stub in (
            in_zone[:LINKS_DIALLED_IN_ZONE] + outside[:LINKS_DIALLED_OUTSIDE_ZONE]
        ):
            stub.network.dial(HOST, port, self._make_handlers(stub, is_dialling=True))

    def get_counts(self) -> dict[str, Any]:
        """Return the link count, the revision and the counters of the store."""
        return {
            "at": reactor.seconds(),
            "links": sum(stub.link is not None for stub in self.stubs.values()),
            "revision": self.published.config.revision,
            "store_bytes": self.site.byte_count,
            "store_transfers": self.site.transfer_count,
            **self.platform.counts_by_name,
        }

    # Messages on the links to the node.

    def _make_handlers(self, stub: Stub, is_dialling: bool = False) -> LinkHandlers:
        def on_open(link: Any) -> None:
            if is_dialling:
                link.send(self._make_hello(stub))

        def on_closed(link: Any, reason: str) -> None:
            if stub.link is link:
                stub.link = None
                self.gossip.pending_by_peer.pop(stub.member.node_id, None)
                remove_peer(stub.distribution, stub.node_id, reactor.seconds())

        def on_message(link: Any, message: Message) -> None:
            if isinstance(message, Goodbye):
                link.close("goodbye")
            elif isinstance(message, Hello):
                stub.link, stub.node_id = link, message.member.node_id
                self.gossip.pending_by_peer[stub.member.node_id] = {}
                if is_dialling:
                    link.send(make_digests(self.table))
                else:
                    link.send(self._make_hello(stub))
                merge_records(self.gossip, [message.member], stub.member.node_id, "")
                self._note_revision(stub, message.revision)
            elif stub.link is link:
                self._handle_message(stub, message)

        return LinkHandlers(on_open, on_message, on_closed)

    def _make_hello(self, stub: Stub) -> Hello:
        return Hello(stub.member, stub.distribution.config.revision)

    def _note_revision(self, stub: Stub, revision: int) -> None:
        now = reactor.seconds()
        self._send_all(
            stub, record_peer_revision(stub.distribution, stub.node_id, revision, now)
        )

    def _handle_message(self, stub: Stub, message: Message) -> None:
        state, now, peer = stub.distribution, reactor.seconds(), stub.node_id
        own_id = stub.member.node_id
        match message:
            case Heartbeat() | ConfigOffer():
                self._note_revision(stub, message.revision)
            case MemberUpdate():
                for record in message.members:
                    if self.table.merge(record):
                        queue_record(self.gossip, record.node_id, own_id)
            case MemberDigests():
                ages = answer_digests(self.table, message)
                if ages is not None:
                    stub.link.send(ages)
            case MemberAges():
                wanted = answer_ages(self.gossip, own_id, message)
                if wanted is not None:
                    stub.link.send(wanted)
            case ConfigRequest():
                self._send_all(stub, answer_request(state, peer, message))
            case ConfigDeltas():
                self._send_all(
                    stub, handle_deltas(state, peer, message, now, lambda _: None)
                )
            case ConfigFull():
                sends = handle_full_config(
                    state, peer, message.config, now, lambda _: None
                )
                self._send_all(stub, sends)
        self._send_member_updates()

    def _send_all(self, stub: Stub, sends: list[OutgoingMessage]) -> None:
        for send in sends:
            if stub.link is not None:
                stub.link.send(send.message)

    def _send_member_updates(self) -> None:
        for name in list(self.gossip.pending_by_peer):
            update = pop_batch(self.gossip, name)
            if update is not None and update.members:
                self.stubs[name].link.send(update)
        if any(self.gossip.pending_by_peer.values()):
            reactor.callLater(MEMBER_UPDATE_INTERVAL_S, self._send_member_updates)

    def _send_heartbeats(self) -> None:
        for stub in self.stubs.values():
            if stub.link is None:
                continue
            revision = stub.distribution.config.revision
            stub.link.send(Heartbeat(revision, REPORTED_STORE_AGE_S, self.table.digest))
            self._send_all(
                stub, check_request_timeout(stub.distribution, reactor.seconds())
            )


def main() -> None:
    """Run the simulation until standard input ends."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    parser.add_argument("--members", type=int, default=60)
    parser.add_argument("--zones", type=int, default=9)
    parser.add_argument("--services", type=int, default=40)
    parser.add_argument("--workers", type=int, default=60)
    parser.add_argument(
        "--role", choices=("node", "reader", "coordinator"), default="node"
    )
    simulator = FleetSimulator(parser.parse_args())

    def handle(words: list[str]) -> None:
        match words:
            case ["change", rate, seconds]:
                run_coroutine(simulator.publish_changes(float(rate), float(seconds)))
            case ["touch", rate, seconds]:
                run_coroutine(simulator.update_members(float(rate), float(seconds)))
            case ["dial", port]:
                simulator.dial_node(int(port))
            case ["counts"]:
                commands.write_json(simulator.get_counts())

    commands = open_command_channel(handle)

    async def start() -> None:
        commands.write_json(await simulator.start())

    reactor.callWhenRunning(run_coroutine, start())
    reactor.callLater(MAX_LIFETIME_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main()
