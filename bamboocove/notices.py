"""Relays coordinator and suspect notices to peers, and evidence to the coordinator."""

from collections.abc import Callable, Mapping
from typing import Any

from attrs import define, field

from bamboocove.link_table import (
    EVIDENCE,
    EVIDENCE_LINK_IDLE_TIMEOUT_S,
    Address,
    LinkTable,
    Peer,
)
from bamboocove.protocol.messages import (
    CoordinatorNotice,
    EvidenceReport,
    SuspectNotice,
)

MAX_KNOWN_FINGERPRINTS = 10_000
# Reports buffered until the link to the coordinator opens; beyond this limit the
# oldest is dropped.
MAX_PENDING_REPORTS = 8


@define
class NoticeRelay:
    """Forwards each new notice once, and sends evidence to the coordinator.

    Parameters
    ----------
    own_id : str
        Identifier of this node.
    links : LinkTable
        Links to the peers.
    clock : reactor
        Provides the time.
    handlers_by_type : mapping of type to callable
        Functions of other tasks that handle a message of each type.
    coordinator : CoordinatorNotice or None
        Notice with the highest fencing token seen; it names the lease holder.
    """

    own_id: str
    links: LinkTable
    clock: Any
    handlers_by_type: Mapping[type, Callable[[Any], Any]]
    coordinator: CoordinatorNotice | None = None
    _known_by_fingerprint: dict[str, tuple[int, float]] = field(factory=dict)
    _evidence_peer: Peer | None = None
    _last_sent_at: float = float("-inf")
    _pending_reports: list[EvidenceReport] = field(factory=list)

    def call_handler(self, message: Any) -> None:
        """Pass a message to the task that handles its type, if any."""
        handler = self.handlers_by_type.get(type(message))
        if handler is not None:
            handler(message)

    def handle_coordinator_notice(
        self, notice: CoordinatorNotice, source: str = ""
    ) -> None:
        """Store and forward the notice if its fencing token is the highest seen."""
        if self.coordinator is not None and notice.token <= self.coordinator.token:
            return
        self.coordinator = notice
        self._close_evidence_link("other coordinator")
        self.links.send_all(notice, source)
        self.call_handler(notice)

    def handle_suspect_notice(self, notice: SuspectNotice, source: str = "") -> None:
        """Forward a notice once for each crash count while it is valid.

        The first notice of a request may have a short lifetime, while a second
        worker runs the request. The notice of a second crash must not be dropped
        as a duplicate of it.
        """
        now = self.clock.seconds()
        known = self._known_by_fingerprint
        crashes, until = known.get(notice.fingerprint, (0, now))
        if until > now and notice.crashes <= crashes:
            return
        known.pop(notice.fingerprint, None)
        known[notice.fingerprint] = (notice.crashes, now + notice.ttl_s)
        while len(known) > MAX_KNOWN_FINGERPRINTS:
            del known[next(iter(known))]
        self.links.send_all(notice, source)
        if source:
            self.call_handler(notice)

    def send_evidence(self, report: EvidenceReport) -> bool:
        """Send a report to the coordinator, opening a link if there is none.

        Returns
        -------
        sent : bool
            False if no coordinator is known or no link can be opened. The report
            is then dropped, because evidence is only evaluated in its own window.
        """
        if self.coordinator is None:
            return False
        if self.coordinator.node_id == self.own_id:
            self.call_handler(report)
            return True
        if self.links.send(self.coordinator.node_id, report):
            return True
        self._last_sent_at = self.clock.seconds()
        peer = self._evidence_peer
        if peer is not None and peer.node_id and peer.link.send(report):
            return True
        if peer is None or peer.link.state in ("closing", "closed"):
            self._evidence_peer = self.links.dial(
                Address(
                    self.coordinator.host,
                    self.coordinator.peer_port,
                    self.coordinator.node_id,
                ),
                EVIDENCE,
            )
            if self._evidence_peer is None:
                return False
            self._pending_reports = []
        self._pending_reports = [*self._pending_reports, report][-MAX_PENDING_REPORTS:]
        return True

    def on_evidence_link_opened(self, peer: Peer) -> None:
        """Send the pending reports if this is the link to the coordinator."""
        if peer is self._evidence_peer:
            reports, self._pending_reports = self._pending_reports, []
            for report in reports:
                peer.link.send(report)

    def close_idle(self, now: float) -> None:
        """Close the evidence link if it was idle ``EVIDENCE_LINK_IDLE_TIMEOUT_S``."""
        if now - self._last_sent_at > EVIDENCE_LINK_IDLE_TIMEOUT_S:
            self._close_evidence_link("idle")

    def _close_evidence_link(self, reason: str) -> None:
        peer, self._evidence_peer = self._evidence_peer, None
        self._pending_reports = []
        if peer is not None:
            peer.link.close(reason)
