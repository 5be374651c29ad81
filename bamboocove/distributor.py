"""Peer task: distributes configurations, member records and notices over links."""

import math
from collections.abc import Callable, Iterable, Mapping
from random import Random
from typing import Any

from attrs import evolve
from twisted.internet.task import LoopingCall, deferLater

from bamboocove.coordination.distribution import (
    ApplyConfig,
    DistributionState,
    OutgoingMessage,
    answer_request,
    apply_and_offer_config,
    check_request_timeout,
    handle_deltas,
    handle_full_config,
    raise_floor,
    record_peer_revision,
    remove_peer,
)
from bamboocove.coordination.peering import pick_readers
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import log_event
from bamboocove.link_table import EVIDENCE, LinkCallbacks, LinkTable, Peer
from bamboocove.membership import Membership
from bamboocove.notices import NoticeRelay
from bamboocove.protocol.messages import (
    ConfigDeltas,
    ConfigFull,
    ConfigNack,
    ConfigOffer,
    ConfigRequest,
    CoordinatorNotice,
    EvidenceReport,
    Heartbeat,
    Hello,
    MemberAges,
    MemberDigests,
    MemberUpdate,
    Message,
    SuspectNotice,
)
from bamboocove.settings import Settings
from bamboocove.state.config import Config
from bamboocove.state.members import Member, MemberTable, WorkerRecord
from bamboocove.transport.peers import PeerNetwork

DIAL_INTERVAL_S = 0.25
STOP_TIMEOUT_S = 2.0
STOP_POLL_INTERVAL_S = 0.05


class Distributor:
    """Peer task of a node: links to peers, membership and message distribution.

    Parameters
    ----------
    settings : Settings
        Settings of the node; sections ``node`` and ``peers`` are used.
    members : MemberTable
        Shared with the other tasks; records are merged into it.
    clock : reactor
        Twisted reactor.
    random : Random
        Source of jitter.
    apply_config : callable
        Puts a configuration into force or returns an ErrorResult.
    handlers_by_type : mapping of type to callable
        Optional handlers of each ``EvidenceReport``, ``SuspectNotice`` of a peer,
        ``CoordinatorNotice`` and ``ConfigNack``.
    incarnation : int
        Unix time in milliseconds at which the process started.
    network : PeerNetwork, optional
        Accepts and opens links.

    Attributes
    ----------
    distribution : DistributionState
        Configuration in force and the known revisions of peers.
    """

    def __init__(
        self,
        settings: Settings,
        members: MemberTable,
        clock: Any,
        random: Random,
        apply_config: ApplyConfig,
        handlers_by_type: Mapping[type, Callable[[Any], Any]],
        incarnation: int,
        network: Any = None,
    ):
        self.distribution = DistributionState()
        self._settings = settings
        self._members = members
        self._clock = clock
        self._random = random
        self._apply_config = apply_config
        self._network = network or PeerNetwork(clock)
        own_record = Member(
            node_id=settings.get("node", "id"),
            incarnation=incarnation,
            sequence=0,
            zone=settings.get("node", "zone"),
            region=settings.get("node", "region"),
            host=settings.get("node", "host"),
            peer_port=settings.get("node", "peer_port"),
        )
        callbacks = LinkCallbacks(
            self._make_hello, self._on_link_ready, self._on_message, self._on_link_lost
        )
        self._links = LinkTable(
            own_record.node_id, self._network, clock, random, callbacks
        )
        self._membership = Membership(
            settings, own_record, members, self._links, clock, random
        )
        self._notices = NoticeRelay(
            own_record.node_id, self._links, clock, handlers_by_type
        )
        self._readers: list[str] = []
        self._readers_version = -1
        self._last_store_read_at = float("-inf")
        self._loops: list[LoopingCall] = []
        self._start_calls: list[Any] = []

    async def start(self) -> int | ErrorResult:
        """Listen, dial and send heartbeats.

        Returns
        -------
        port : int or ErrorResult
            The peer port, or ``INVALID_SETTINGS``.
        """
        own_record = self.member
        port = await self._links.listen(own_record.host, own_record.peer_port)
        if isinstance(port, ErrorResult):
            return port
        self._membership.update_own_record(evolve(own_record, peer_port=port))
        heartbeat_s = self._settings.get("peers", "heartbeat_s")
        for interval_s, function in (
            (heartbeat_s, self._send_heartbeats),
            (DIAL_INTERVAL_S, self._dial_peers),
        ):
            loop = LoopingCall(self._run_periodic, function)
            loop.clock = self._clock
            # A random delay keeps nodes that start together from sending their
            # heartbeats at the same time.
            delay_s = interval_s * self._random.random()
            self._start_calls.append(
                self._clock.callLater(delay_s, loop.start, interval_s)
            )
            self._loops.append(loop)
        return port

    async def stop(self) -> None:
        """Announce to the peers that this node leaves, and close all links."""
        for call in self._start_calls:
            if call.active():
                call.cancel()
        for loop in self._loops:
            if loop.running:
                loop.stop()
        self._membership.leave()
        self._links.close_all()
        for _ in range(int(STOP_TIMEOUT_S / STOP_POLL_INTERVAL_S)):
            if self._links.is_empty:
                break
            await deferLater(self._clock, STOP_POLL_INTERVAL_S)
        await self._network.stop()

    # Interface for the node and its other tasks.

    @property
    def member(self) -> Member:
        """Record of this node."""
        return self._membership.own_record

    @property
    def members(self) -> MemberTable:
        """The member table that the tasks share."""
        return self._members

    @property
    def has_floor(self) -> bool:
        """Whether the lowest revision that this node may apply is known."""
        return self.distribution.is_floor_known

    @property
    def config(self) -> Config:
        """The configuration in force; revision 0 while there is none."""
        return self.distribution.config

    @property
    def coordinator(self) -> CoordinatorNotice | None:
        """The notice of the coordinator lease with the highest token, if any."""
        return self._notices.coordinator

    def publish_workers(self, workers: Iterable[WorkerRecord]) -> None:
        """Distribute the records of the workers on this host, if they changed."""
        workers = tuple(workers)
        if workers != self.member.workers:
            self._membership.update_own_record(evolve(self.member, workers=workers))

    def offer(self, config: Config) -> ErrorResult | None:
        """Apply a configuration of the store or coordinator and offer it to peers.

        The floor is raised to its revision, as it was the head of the store.

        Returns
        -------
        error : ErrorResult or None
            ``STALE`` if it is not newer than the one in force or is below the
            floor, otherwise why it cannot be applied.
        """
        self.set_floor(config.revision)
        sends = apply_and_offer_config(self.distribution, config, self._apply)
        if isinstance(sends, ErrorResult):
            return sends
        self._send(sends)
        return None

    def require_floor(self) -> None:
        """Apply no configuration until ``set_floor`` or ``offer`` is called."""
        self.distribution.is_floor_known = False

    def set_floor(self, revision: int) -> None:
        """Raise the floor, the lowest revision that may be applied."""
        raise_floor(self.distribution, revision)
        self.distribution.is_floor_known = True

    def get_floor(self) -> int:
        """Return the lowest revision that may be applied, as far as known."""
        return self.distribution.floor

    def get_peer_revisions(self) -> dict[str, int]:
        """Return the revision in force at each linked peer."""
        return dict(self.distribution.revision_by_peer)

    def broadcast(self, message: Message) -> None:
        """Send a message to all linked peers, which forward notices."""
        if isinstance(message, CoordinatorNotice):
            self._notices.handle_coordinator_notice(message)
        elif isinstance(message, SuspectNotice):
            self._notices.handle_suspect_notice(message)
        else:
            self._links.send_all(message)

    def send_evidence(self, report: EvidenceReport) -> bool:
        """Send a report to the coordinator; False if it was dropped."""
        return self._notices.send_evidence(report)

    def is_reader(self, now: float) -> bool:
        """Return whether this node reads the store on behalf of its zone."""
        if self._readers_version != self._members.changes:
            self._readers = pick_readers(self._members, self.member.zone)
            self._readers_version = self._members.changes
        return self.member.node_id in self._readers

    def report_store_read(self, read_at: float) -> None:
        """Record the time at which the head of the store was read."""
        self._last_store_read_at = max(self._last_store_read_at, read_at)

    def get_store_age(self, now: float) -> float:
        """Return the seconds since the last known read of the store by any node.

        Infinity if none is known.
        """
        return now - self._last_store_read_at

    def get_traffic(self) -> dict[str, int]:
        """Return bytes, writes and reads of all links since the start."""
        return self._links.get_traffic()

    def _run_periodic(self, function: Callable[[], None]) -> None:
        # An exception would end the loop, and peers would consider this node
        # down although it still serves.
        try:
            function()
        except Exception as error:
            log_event(305, reason=f"{type(error).__name__}: {error}")

    def _send_heartbeats(self) -> None:
        now = self._clock.seconds()
        self._membership.check_members(now)
        age_s = self.get_store_age(now)
        heartbeat = Heartbeat(
            revision=self.config.revision,
            store_age_s=_round_up_age(age_s),
            members_digest=self._members.digest,
        )
        self._links.send_all(heartbeat)
        self._send(check_request_timeout(self.distribution, now))
        self._links.close_silent(2 * self._settings.get("peers", "suspect_s"))
        self._notices.close_idle(now)

    def _dial_peers(self) -> None:
        self._membership.dial_peers(self._clock.seconds())

    # Called by the link table.

    def _make_hello(self, node_id: str, purpose: str) -> Hello:
        return Hello(
            member=self.member,
            revision=self.config.revision,
            revision_seen_of_you=self.distribution.acknowledged_by_id.get(node_id, 0),
            purpose=purpose,
        )

    def _on_link_ready(self, peer: Peer, hello: Hello) -> None:
        if peer.purpose == EVIDENCE:
            self._notices.on_evidence_link_opened(peer)
            return
        self._membership.add_peer(peer, hello)
        raise_floor(self.distribution, hello.revision_seen_of_you)
        now = self._clock.seconds()
        self._send(
            record_peer_revision(self.distribution, peer.node_id, hello.revision, now)
        )
        if self.coordinator is not None:
            peer.link.send(self.coordinator)

    def _on_link_lost(self, peer: Peer, is_planned: bool) -> None:
        self._membership.remove_peer(peer, is_planned)
        if peer.node_id:
            now = self._clock.seconds()
            self._send(remove_peer(self.distribution, peer.node_id, now))

    def _on_message(self, peer: Peer, message: Message) -> None:
        if isinstance(message, EvidenceReport):
            self._notices.call_handler(message)
        elif peer.purpose == EVIDENCE:
            peer.link.close("only evidence is expected here")
        else:
            self._membership.heard_at_by_id[peer.node_id] = peer.heard_at
            self._handle_message(peer, message)

    def _handle_message(self, peer: Peer, message: Message) -> None:
        state, now, node_id = self.distribution, self._clock.seconds(), peer.node_id
        match message:
            case Heartbeat():
                if message.store_age_s >= 0.0:
                    self.report_store_read(now - message.store_age_s)
                self._membership.handle_heartbeat(peer, message)
                self._send(record_peer_revision(state, node_id, message.revision, now))
            case MemberUpdate():
                self._membership.merge_records(message.members, node_id)
            case MemberDigests():
                self._membership.handle_digests(peer, message)
            case MemberAges():
                self._membership.handle_ages(peer, message)
            case ConfigOffer():
                self._send(record_peer_revision(state, node_id, message.revision, now))
            case ConfigRequest():
                self._send(answer_request(state, node_id, message))
            case ConfigDeltas():
                self._send(handle_deltas(state, node_id, message, now, self._apply))
            case ConfigFull():
                config = message.config
                self._send(handle_full_config(state, node_id, config, now, self._apply))
            case ConfigNack():
                log_event(
                    204,
                    revision=message.revision,
                    node_id=node_id,
                    reason=message.reason,
                )
                self._notices.call_handler(message)
            case CoordinatorNotice():
                self._notices.handle_coordinator_notice(message, node_id)
            case SuspectNotice():
                self._notices.handle_suspect_notice(message, node_id)

    def _apply(self, config: Config) -> ErrorResult | None:
        error = self._apply_config(config)
        if error is None:
            log_event(201, revision=config.revision)
        elif error.kind is not ErrorKind.STALE:
            log_event(202, revision=config.revision, reason=error.reason)
        return error

    def _send(self, sends: list[OutgoingMessage]) -> None:
        for send in sends:
            self._links.send(send.peer, send.message)


def _round_up_age(age_s: float) -> float:
    # Rounded up, with a margin for the transit to the peer. If rounding or transit
    # lowered the age, nodes that forward it to each other would keep it low.
    return math.ceil(age_s * 10 + 1) / 10 if age_s < float("inf") else -1.0
