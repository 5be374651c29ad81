"""Notices of the peer task: the coordinator, suspect requests, evidence."""

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
# Reports that wait for a link to the coordinator; the oldest is dropped.
MAX_WAITING_REPORTS = 8


@define
class Notices:
    """Notices that are passed on, and the way to the coordinator.

    Parameters
    ----------
    own_id : str
        This node.
    links : LinkTable
        Links to send on.
    clock : reactor
        Tells the time.
    handlers_by_type : mapping of type to callable
        Functions of other tasks.
    coordinator : CoordinatorNotice or None
        Holder of the coordinator lease with the highest token known.
    """

    own_id: str
    links: LinkTable
    clock: Any
    handlers_by_type: Mapping[type, Callable[[Any], Any]]
    coordinator: CoordinatorNotice | None = None
    _known_by_fingerprint: dict[str, tuple[int, float]] = field(factory=dict)
    _evidence_peer: Peer | None = None
    _sent_at: float = float("-inf")
    _waiting: list[EvidenceReport] = field(factory=list)

    def call_handler(self, message: Any) -> None:
        """Pass a message to the task that handles its type, if any."""
        handler = self.handlers_by_type.get(type(message))
        if handler is not None:
            handler(message)

    def take_coordinator(self, notice: CoordinatorNotice, source: str = "") -> None:
        """Keep and pass on the notice if its token is higher."""
        if self.coordinator is not None and notice.token <= self.coordinator.token:
            return
        self.coordinator = notice
        self._close_evidence_link("other coordinator")
        self.links.send_all(notice, source)
        self.call_handler(notice)

    def take_suspect(self, notice: SuspectNotice, source: str = "") -> None:
        """Pass on a notice once for each number of crashes while it is valid.

        The first notice of a request may be short, while a second worker tries
        it; the one after another crash must not be taken for its copy.
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
        """Send a report to the coordinator, dialling it if there is no link.

        Returns
        -------
        sent : bool
            False if no coordinator is known or it cannot be reached now; the
            report is dropped then, as evidence is judged in its window.
        """
        if self.coordinator is None:
            return False
        if self.coordinator.node_id == self.own_id:
            self.call_handler(report)
            return True
        if self.links.send(self.coordinator.node_id, report):
            return True
        self._sent_at = self.clock.seconds()
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
            self._waiting = []
        self._waiting = [*self._waiting, report][-MAX_WAITING_REPORTS:]
        return True

    def handle_evidence_link(self, peer: Peer) -> None:
        """Send what waited for this link."""
        if peer is self._evidence_peer:
            waiting, self._waiting = self._waiting, []
            for report in waiting:
                peer.link.send(report)

    def close_idle(self, now: float) -> None:
        """Close the link to the coordinator if it was not used for long."""
        if now - self._sent_at > EVIDENCE_LINK_IDLE_TIMEOUT_S:
            self._close_evidence_link("idle")

    def _close_evidence_link(self, reason: str) -> None:
        peer, self._evidence_peer = self._evidence_peer, None
        self._waiting = []
        if peer is not None:
            peer.link.close(reason)
