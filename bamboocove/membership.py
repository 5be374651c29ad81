"""Member records of the peer task: own record, spreading, silence, targets."""

from collections.abc import Iterable
from random import Random
from typing import Any

from attrs import define, evolve, field

from bamboocove.coordination.gossip import (
    Gossip,
    answer_ages,
    answer_digests,
    make_digests,
    merge_records,
    pop_batch,
    queue_record,
)
from bamboocove.coordination.peering import (
    find_silent_peers,
    pick_peers,
    pick_probe_target,
    refute,
    update_dead_since,
)
from bamboocove.events import log_event
from bamboocove.link_table import Address, LinkTable, Peer
from bamboocove.protocol.messages import (
    Heartbeat,
    Hello,
    MemberAges,
    MemberDigests,
    MemberUpdate,
)
from bamboocove.settings import Settings
from bamboocove.state.members import LIVE_STATES, MEMBER_STATES, Member, MemberTable

# Records that change within this time travel in one message.
FLUSH_S = 0.05
PROBE_S = 5.0
# Tables differ for a moment whenever a record is on its way.
MISMATCHES_BEFORE_REPAIR = 3
REPAIR_S = 10.0
AVOID_ZONE_S = 30.0
# A record of this node is renewed at most this often, so that two processes
# with one name do not flood the fleet with refutations of each other.
REFUTE_S = 1.0


@define
class Membership:
    """What the peer task knows and says of members.

    Parameters
    ----------
    settings : Settings
        Section ``peers``.
    own : Member
        Record of this node.
    table : MemberTable
        All records.
    links : LinkTable
        Links to send on.
    clock : reactor
        Tells the time.
    random : Random
        Jitter.
    heard_at_by_id : dict of str to float
        Neighbours whose silence is noticed: time of the last message, or of
        the first attempt to reach them.
    """

    settings: Settings
    own: Member
    table: MemberTable
    links: LinkTable
    clock: Any
    random: Random
    heard_at_by_id: dict[str, float] = field(factory=dict)
    _gossip: Gossip = field(init=False)
    _dead_since_by_id: dict[str, float] = field(factory=dict)
    _avoided_until_by_zone: dict[str, float] = field(factory=dict)
    _targets: list[Member] = field(factory=list)
    _targets_for: Any = None
    _beat_at: float = float("-inf")
    _probe_at: float = float("-inf")
    _repaired_at: float = float("-inf")
    _refuted_at: float = float("-inf")
    _flush_call: Any = None

    def __attrs_post_init__(self) -> None:
        self._gossip = Gossip(self.table)

    # Records.

    def renew_own(self, member: Member) -> None:
        """Replace the own record by a changed one and spread it."""
        self.own = evolve(member, sequence=self.own.sequence + 1)
        self._spread_own()

    def _spread_own(self) -> None:
        self.table.merge(self.own)
        queue_record(self._gossip, self.own.node_id)
        self._schedule_flush()

    def take_records(self, records: Iterable[Member], source: str | None) -> None:
        """Merge records, pass on what was news, refute what is false."""
        # A newer release may have states that this one cannot order.
        records = [record for record in records if record.state in MEMBER_STATES]
        for record in records:
            if record.node_id == self.own.node_id:
                self._refute(record)
        changes = merge_records(self._gossip, records, source, self.own.node_id)
        for held, record in changes:
            if held is None or held.state != record.state:
                log_event(301, node_id=record.node_id, state=record.state)
        self._schedule_flush()

    def _refute(self, record: Member) -> None:
        now = self.clock.seconds()
        renewed = refute(self.own, record)
        if renewed is None or self.links.stopping or now - self._refuted_at < REFUTE_S:
            return
        self._refuted_at = now
        self.own = renewed
        self._spread_own()

    def _schedule_flush(self) -> None:
        waiting = any(self._gossip.pending_by_peer.values())
        if waiting and self._flush_call is None and not self.links.stopping:
            self._flush_call = self.clock.callLater(FLUSH_S, self._flush)

    def _flush(self) -> None:
        self._flush_call = None
        for node_id in list(self._gossip.pending_by_peer):
            update = pop_batch(self._gossip, node_id)
            if update is not None:
                self.links.send(node_id, update)
        self._schedule_flush()

    def leave(self) -> None:
        """Report that this node leaves; the last records that are sent."""
        self.renew_own(evolve(self.own, state="left"))
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._flush_call = None
        self.links.send_all(MemberUpdate((self.own,)))

    # Links.

    def add_peer(self, peer: Peer, hello: Hello) -> None:
        """Handle a new link."""
        now = self.clock.seconds()
        self.heard_at_by_id[peer.node_id] = now
        self._gossip.pending_by_peer[peer.node_id] = {}
        self.take_records([hello.member], peer.node_id)
        # It also finds out whether one end holds the other for down.
        if peer.address is not None:
            peer.link.send(make_digests(self.table))

    def remove_peer(self, peer: Peer, is_planned: bool) -> None:
        """Handle the end of a link or of an attempt to open one."""
        if peer.node_id:
            self._gossip.pending_by_peer.pop(peer.node_id, None)
        node_id = peer.node_id or (peer.address.node_id if peer.address else "")
        if not node_id:
            return
        if peer.goodbye is not None and peer.goodbye.retry_after_s > 0.0:
            # It is alive and asked for patience.
            wait_s = peer.goodbye.retry_after_s
            self.heard_at_by_id[node_id] = self.clock.seconds() + wait_s
        elif is_planned:
            self.heard_at_by_id.pop(node_id, None)

    def handle_heartbeat(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Start a repair if the peer's table stays different."""
        now = self.clock.seconds()
        if heartbeat.members_digest == self.table.digest:
            peer.mismatches = 0
            return
        peer.mismatches += 1
        if (
            peer.address is not None
            and peer.mismatches >= MISMATCHES_BEFORE_REPAIR
            and now - self._repaired_at >= REPAIR_S
        ):
            self._repaired_at = now
            peer.link.send(make_digests(self.table))

    def handle_digests(self, peer: Peer, message: MemberDigests) -> None:
        """Answer the start of a repair."""
        ages = answer_digests(self.table, message)
        if ages is not None:
            peer.link.send(ages)

    def handle_ages(self, peer: Peer, message: MemberAges) -> None:
        """Send the records that the peer lacks and ask for others."""
        wanted = answer_ages(self._gossip, peer.node_id, message)
        self._schedule_flush()
        if wanted is not None:
            peer.link.send(wanted)

    # Periodic work.

    def beat(self, now: float) -> None:
        """Find silent neighbours, forget members, defend the own record."""
        if now - self._beat_at > 2 * self.settings.get("peers", "heartbeat_s"):
            # This process was paused; the silence is its own.
            for node_id, heard_at in self.heard_at_by_id.items():
                self.heard_at_by_id[node_id] = max(heard_at, now)
        self._beat_at = now
        suspect_s = self.settings.get("peers", "suspect_s")
        silent = find_silent_peers(self.table, self.heard_at_by_id, now, suspect_s)
        self.take_records(silent, None)
        held = self.table.members_by_id.get(self.own.node_id)
        if held is not None:
            self._refute(held)
        for node_id in update_dead_since(self.table, self._dead_since_by_id, now):
            self.table.forget(node_id)

    def dial_peers(self, now: float) -> None:
        """Dial the peers that this node should be linked to."""
        targets = self._update_targets(now)
        for member in targets:
            self.heard_at_by_id.setdefault(member.node_id, now)
        # A neighbour whose link broke is dialled until it answers or is down,
        # even if it had dialled: nobody else may be watching it.
        wanted = []
        for node_id in list(self.heard_at_by_id):
            member = self.table.members_by_id.get(node_id)
            if member is not None and member.state in LIVE_STATES:
                wanted.append(_get_address(member))
            else:
                del self.heard_at_by_id[node_id]
        if not self.links.peers_by_id:
            seeds = self.settings.get("peers", "seeds")
            wanted += [Address(host, port) for host, port in seeds]
        if not self.links.dial_missing(wanted):
            self.links.close_unwanted({member.node_id for member in targets})
        self._probe(now)

    def _update_targets(self, now: float) -> list[Member]:
        for member in self._targets:
            failed_at = self.links.get_failed_at(member.host, member.peer_port)
            if member.zone != self.own.zone and now - failed_at < AVOID_ZONE_S:
                self._avoided_until_by_zone[member.zone] = failed_at + AVOID_ZONE_S
        avoided = frozenset(
            zone for zone, until in self._avoided_until_by_zone.items() if until > now
        )
        basis = (self.table.changes, avoided)
        if basis != self._targets_for:
            links = self.settings.get("peers", "links")
            current = frozenset(member.node_id for member in self._targets)
            self._targets = pick_peers(self.table, self.own, links, avoided, current)
            self._targets_for = basis
        return self._targets

    def _probe(self, now: float) -> None:
        if now < self._probe_at:
            return
        self._probe_at = now + PROBE_S * (0.5 + self.random.random())
        member = pick_probe_target(
            self.table, self.own.node_id, self.random.random(), self.random.random()
        )
        if member is not None:
            self.links.dial(_get_address(member))


def _get_address(member: Member) -> Address:
    return Address(member.host, member.peer_port, member.node_id)
