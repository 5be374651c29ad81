"""Requests that may crash the workers that run them."""

import hashlib

from attrs import define, field

from bamboocove.protocol.messages import SuspectNotice

SUSPECT_S = 60.0
# A worker that still accepts connections may have closed one for another
# reason, or may have been restarted quickly. The request is held back this
# long; the loss stays counted, so that a second one blocks it.
DOUBT_S = 2.0
CRASHES_TO_BLOCK = 2
FINGERPRINT_BODY_BYTES = 64 * 1024
# Bounds the memory that losses and notices can take.
MOST_SUSPECTS = 10_000
# Fingerprints of completed calls that are remembered.
MOST_COMPLETED = 4_096

# Service, method, path without query, and idempotency key or body digest.
Subject = tuple[str, bytes, bytes, bytes]


def make_fingerprint(subject: Subject) -> str:
    """Return the fingerprint of a request, equal on all nodes."""
    service, method, path, identity = subject
    parts = (service.encode(), method, path, identity)
    # Lengths keep the parts apart.
    text = b"".join(b"%d:%b" % (len(part), part) for part in parts)
    return hashlib.blake2b(text, digest_size=16).hexdigest()


def digest_body(data: bytes) -> bytes:
    """Return the digest of the first part of a body; empty for no body."""
    if not data:
        return b""
    return hashlib.blake2b(data[:FINGERPRINT_BODY_BYTES], digest_size=16).digest()


@define
class Suspect:
    """One fingerprint.

    Parameters
    ----------
    service : str
        Service that the request was sent to.
    crashes : int
        Workers lost to it, on this node and by notices.
    blocked_until, counted_until : float
        Until when it is refused, and until when its losses count.
    """

    service: str
    crashes: int = 0
    blocked_until: float = 0.0
    counted_until: float = 0.0


@define
class SuspectTable:
    """Suspects known to one node.

    Parameters
    ----------
    suspects_by_fingerprint : dict of str to Suspect
        Bounded; the oldest is dropped first.
    completed_at_by_subject : dict of tuple to float
        Requests that a worker completed lately. A request that completes is
        not one that crashes every worker: without this a crash for another
        reason would block each common request that was in flight.
    """

    suspects_by_fingerprint: dict[str, Suspect] = field(factory=dict)
    completed_at_by_subject: dict[Subject, float] = field(factory=dict)

    def is_blocked(self, subject: Subject, now: float) -> bool:
        """Return whether a request is refused."""
        suspect = self.suspects_by_fingerprint.get(make_fingerprint(subject))
        return suspect is not None and now < suspect.blocked_until

    def record_completed(self, subject: Subject, now: float) -> None:
        """Remember that a worker completed a request."""
        completed = self.completed_at_by_subject
        completed.pop(subject, None)
        completed[subject] = now
        if len(completed) > MOST_COMPLETED:
            del completed[next(iter(completed))]

    def record_lost(self, subject: Subject, now: float) -> SuspectNotice | None:
        """Count a worker whose connection was lost without a response.

        Returns
        -------
        notice : SuspectNotice or None
            For the peers, if the request is now blocked. None if it completed
            elsewhere lately and this is its first loss.
        """
        fingerprint = make_fingerprint(subject)
        suspect = self._get(fingerprint, subject[0], now)
        suspect.crashes += 1
        suspect.counted_until = now + SUSPECT_S
        completed_at = self.completed_at_by_subject.get(subject)
        is_cleared = completed_at is not None and now - completed_at < SUSPECT_S
        if is_cleared and suspect.crashes < CRASHES_TO_BLOCK:
            return None
        suspect.blocked_until = now + SUSPECT_S
        return SuspectNotice(fingerprint, subject[0], SUSPECT_S, suspect.crashes)

    def record_alive(self, subject: Subject, now: float) -> None:
        """Note that the worker of the only loss still accepts connections."""
        suspect = self.suspects_by_fingerprint.get(make_fingerprint(subject))
        if suspect is not None and suspect.crashes < CRASHES_TO_BLOCK:
            suspect.blocked_until = min(suspect.blocked_until, now + DOUBT_S)

    def add_notice(self, notice: SuspectNotice, now: float) -> None:
        """Take over what a peer found."""
        ttl_s = min(SUSPECT_S, max(0.0, notice.ttl_s))
        suspect = self._get(notice.fingerprint, notice.service, now)
        suspect.crashes = max(suspect.crashes, notice.crashes)
        suspect.blocked_until = max(suspect.blocked_until, now + ttl_s)
        suspect.counted_until = max(suspect.counted_until, now + SUSPECT_S)

    def _get(self, fingerprint: str, service: str, now: float) -> Suspect:
        suspect = self.suspects_by_fingerprint.get(fingerprint)
        if suspect is None or now >= max(suspect.counted_until, suspect.blocked_until):
            suspect = Suspect(service)
        self.suspects_by_fingerprint.pop(fingerprint, None)
        self.suspects_by_fingerprint[fingerprint] = suspect
        if len(self.suspects_by_fingerprint) > MOST_SUSPECTS:
            del self.suspects_by_fingerprint[next(iter(self.suspects_by_fingerprint))]
        return suspect

    def expire(self, now: float) -> None:
        """Forget suspects whose time is over."""
        for fingerprint, suspect in list(self.suspects_by_fingerprint.items()):
            if now >= max(suspect.blocked_until, suspect.counted_until):
                del self.suspects_by_fingerprint[fingerprint]
