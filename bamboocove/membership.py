"""Group membership of the peer task: gossip, failure detection, peer selection."""

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

# Records that change within this time are sent in one message.
FLUSH_DELAY_S = 0.05
PROBE_INTERVAL_S = 5.0
# Tables differ briefly while a record is being distributed, so that one
# mismatch does not start a repair.
MISMATCHES_BEFORE_REPAIR = 3
MIN_REPAIR_INTERVAL_S = 10.0
# After a failed dial into another zone, that zone is selected for links during
# this time only if no other zone has members.
ZONE_AVOIDANCE_S = 30.0
# Limits how often this node refutes reports about itself, so that two processes
# with the same node identifier do not flood the fleet by refuting each other.
MIN_REFUTE_INTERVAL_S = 1.0


@define
class Membership:
    """Maintains the member table and distributes changes to it.

    Parameters
    ----------
    settings : Settings
        Section ``peers``.
    own_record : Member
        Record of this node.
    table : MemberTable
        Records of all members.
    links : LinkTable
        Links to send on.
    clock : reactor
        Twisted reactor.
    random : Random
        Source of jitter.
    heard_at_by_id : dict of str to float
        For each neighbour that this node monitors, the time of the last
        message, or of the first dial if there was none; in seconds. It lies in
        the future for a peer that asked this node to retry later.
    """

    settings: Settings
    own_record: Member
    table: MemberTable
    links: LinkTable
    clock: Any
    random: Random
    heard_at_by_id: dict[str, float] = field(factory=dict)
    _gossip: Gossip = field(init=False)
    _dead_since_by_id: dict[str, float] = field(factory=dict)
    _avoided_until_by_zone: dict[str, float] = field(factory=dict)
    _targets: list[Member] = field(factory=list)
    _targets_inputs: Any = None
    _last_check_at: float = float("-inf")
    _next_probe_at: float = float("-inf")
    _last_repair_at: float = float("-inf")
    _last_refute_at: float = float("-inf")
    _flush_call: Any = None

    def __attrs_post_init__(self) -> None:
        self._gossip = Gossip(self.table)

    def update_own_record(self, member: Member) -> None:
        """Replace the own record, with the next sequence number, and distribute it."""
        self.own_record = evolve(member, sequence=self.own_record.sequence + 1)
        self._broadcast_own_record()

    def _broadcast_own_record(self) -> None:
        self.table.merge(self.own_record)
        queue_record(self._gossip, self.own_record.node_id)
        self._schedule_flush()

    def merge_records(self, records: Iterable[Member], source: str | None) -> None:
        """Merge records, forward the changes and refute false records of this node.

        A record of this node is false if it is newer than the own record.
        """
        # A newer release may send states whose precedence is unknown here.
        records = [record for record in records if record.state in MEMBER_STATES]
        for record in records:
            if record.node_id == self.own_record.node_id:
                self._refute(record)
        changes = merge_records(self._gossip, records, source, self.own_record.node_id)
        for existing, record in changes:
            if existing is None or existing.state != record.state:
                log_event(301, node_id=record.node_id, state=record.state)
        self._schedule_flush()

    def _refute(self, record: Member) -> None:
        now = self.clock.seconds()
        refutation = refute(self.own_record, record)
        if (
            refutation is None
            or self.links.stopping
            or now - self._last_refute_at < MIN_REFUTE_INTERVAL_S
        ):
            return
        self._last_refute_at = now
        self.own_record = refutation
        self._broadcast_own_record()

    def _schedule_flush(self) -> None:
        has_pending = any(self._gossip.pending_by_peer.values())
        if has_pending and self._flush_call is None and not self.links.stopping:
            self._flush_call = self.clock.callLater(FLUSH_DELAY_S, self._flush)

    def _flush(self) -> None:
        self._flush_call = None
        for node_id in list(self._gossip.pending_by_peer):
            update = pop_batch(self._gossip, node_id)
            if update is not None:
                self.links.send(node_id, update)
        self._schedule_flush()

    def leave(self) -> None:
        """Send the state ``left`` to all peers and stop sending records."""
        self.update_own_record(evolve(self.own_record, state="left"))
        if self._flush_call is not None:
            self._flush_call.cancel()
            self._flush_call = None
        self.links.send_all(MemberUpdate((self.own_record,)))

    def add_peer(self, peer: Peer, hello: Hello) -> None:
        """Monitor the peer of a new link and exchange member records with it."""
        now = self.clock.seconds()
        self.heard_at_by_id[peer.node_id] = now
        self._gossip.pending_by_peer[peer.node_id] = {}
        self.merge_records([hello.member], peer.node_id)
        # Also detects that one end has recorded the other as down.
        if peer.address is not None:
            peer.link.send(make_digests(self.table))

    def remove_peer(self, peer: Peer, is_planned: bool) -> None:
        """Handle a closed link or a failed dial."""
        if peer.node_id:
            self._gossip.pending_by_peer.pop(peer.node_id, None)
        node_id = peer.node_id or (peer.address.node_id if peer.address else "")
        if not node_id:
            return
        if peer.goodbye is not None and peer.goodbye.retry_after_s > 0.0:
            # The peer is alive and asked this node to retry later.
            wait_s = peer.goodbye.retry_after_s
            self.heard_at_by_id[node_id] = self.clock.seconds() + wait_s
        elif is_planned:
            self.heard_at_by_id.pop(node_id, None)

    def handle_heartbeat(self, peer: Peer, heartbeat: Heartbeat) -> None:
        """Start a repair if the peer's table keeps differing from this one."""
        now = self.clock.seconds()
        if heartbeat.members_digest == self.table.digest:
            peer.mismatches = 0
            return
        peer.mismatches += 1
        if (
            peer.address is not None
            and peer.mismatches >= MISMATCHES_BEFORE_REPAIR
            and now - self._last_repair_at >= MIN_REPAIR_INTERVAL_S
        ):
            self._last_repair_at = now
            peer.link.send(make_digests(self.table))

    def handle_digests(self, peer: Peer, message: MemberDigests) -> None:
        """Answer the digests that start a repair, if the tables differ."""
        ages = answer_digests(self.table, message)
        if ages is not None:
            peer.link.send(ages)

    def handle_ages(self, peer: Peer, message: MemberAges) -> None:
        """Send the records that the peer lacks and request those missing here."""
        request = answer_ages(self._gossip, peer.node_id, message)
        self._schedule_flush()
        if request is not None:
            peer.link.send(request)

    def check_members(self, now: float) -> None:
        """Mark silent neighbours, remove dead members, refute reports about itself."""
        if now - self._last_check_at > 2 * self.settings.get("peers", "heartbeat_s"):
            # This process was paused, so that missing messages prove nothing.
            for node_id, heard_at in self.heard_at_by_id.items():
                self.heard_at_by_id[node_id] = max(heard_at, now)
        self._last_check_at = now
        suspect_s = self.settings.get("peers", "suspect_s")
        silent = find_silent_peers(self.table, self.heard_at_by_id, now, suspect_s)
        self.merge_records(silent, None)
        existing = self.table.members_by_id.get(self.own_record.node_id)
        if existing is not None:
            self._refute(existing)
        for node_id in update_dead_since(self.table, self._dead_since_by_id, now):
            self.table.forget(node_id)

    def dial_peers(self, now: float) -> None:
        """Dial missing peers, close links that are not needed, probe members."""
        targets = self._update_targets(now)
        for member in targets:
            self.heard_at_by_id.setdefault(member.node_id, now)
        # A neighbour whose link broke is dialled until it answers or is down,
        # even if it had opened the link: no other node may be monitoring it.
        wanted_addresses = []
        for node_id in list(self.heard_at_by_id):
            member = self.table.members_by_id.get(node_id)
            if member is not None and member.state in LIVE_STATES:
                wanted_addresses.append(_get_address(member))
            else:
                del self.heard_at_by_id[node_id]
        if not self.links.peers_by_id:
            seeds = self.settings.get("peers", "seeds")
            wanted_addresses += [Address(host, port) for host, port in seeds]
        if not self.links.dial_missing(wanted_addresses):
            self.links.close_unwanted({member.node_id for member in targets})
        self._probe(now)

    def _update_targets(self, now: float) -> list[Member]:
        for member in self._targets:
            failed_at = self.links.get_failed_at(member.host, member.peer_port)
            if (
                member.zone != self.own_record.zone
                and now - failed_at < ZONE_AVOIDANCE_S
            ):
                self._avoided_until_by_zone[member.zone] = failed_at + ZONE_AVOIDANCE_S
        avoided = frozenset(
            zone for zone, until in self._avoided_until_by_zone.items() if until > now
        )
        inputs = (self.table.changes, avoided)
        if inputs != self._targets_inputs:
            link_count = self.settings.get("peers", "links")
            current = frozenset(member.node_id for member in self._targets)
            self._targets = pick_peers(
                self.table, self.own_record, link_count, avoided, current
            )
            self._targets_inputs = inputs
        return self._targets

    def _probe(self, now: float) -> None:
        if now < self._next_probe_at:
            return
        self._next_probe_at = now + PROBE_INTERVAL_S * (0.5 + self.random.random())
        member = pick_probe_target(
            self.table,
            self.own_record.node_id,
            self.random.random(),
            self.random.random(),
        )
        if member is not None:
            self.links.dial(_get_address(member))


def _get_address(member: Member) -> Address:
    return Address(member.host, member.peer_port, member.node_id)
