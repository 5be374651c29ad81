"""Blocking of requests that are suspected of crashing the workers that run them."""

from attrs import define, evolve, field

from bamboocove.coordination.fingerprints import Subject, make_fingerprint
from bamboocove.protocol.messages import SuspectNotice

# Time for which a suspect is blocked and its crashes count, in seconds.
SUSPECT_TTL_S = 60.0
# Time for which a request is blocked after an unconfirmed crash, in seconds. A
# worker that still accepts connections may have closed one for another reason, or
# may have restarted quickly. The loss still counts, so a second one blocks the
# request.
UNCONFIRMED_TTL_S = 2.0
# Crashes after which a request is blocked even if it completed recently.
CRASHES_TO_BLOCK = 2
# Losses on one worker within this time, in seconds, count as one crash that hit
# several copies of the request in flight.
SAME_CRASH_WINDOW_S = 1.0
# Bounds the memory used by crashes and notices.
MAX_SUSPECTS = 10_000
# Number of recently completed requests that are kept.
MAX_COMPLETED = 4_096

Address = tuple[str, int]


@define
class Suspect:
    """Crash record of one request fingerprint.

    Parameters
    ----------
    service : str
        Service that the request was sent to.
    crashes : int
        Number of workers lost while running it, seen by this node or reported
        by peers.
    blocked_until, counted_until : float
        When the request is accepted again, and when its crashes expire.
    address : (str, int) or None
        Worker that this node lost last.
    lost_at : float
        Time of that loss.
    """

    service: str
    crashes: int = 0
    blocked_until: float = 0.0
    counted_until: float = 0.0
    address: Address | None = None
    lost_at: float = 0.0


@define
class SuspectTable:
    """Suspect requests known to one node.

    Parameters
    ----------
    suspects_by_fingerprint : dict of str to Suspect
        Bounded by ``MAX_SUSPECTS``; the oldest is dropped first.
    completed_at_by_subject : dict of tuple to float
        When requests were last completed by a worker. A single crash does not
        block a request that completed recently; otherwise a crash for any other
        reason would block the common requests that were in flight.
    """

    suspects_by_fingerprint: dict[str, Suspect] = field(factory=dict)
    completed_at_by_subject: dict[Subject, float] = field(factory=dict)

    def is_blocked(self, subject: Subject, now: float) -> bool:
        """Return whether a request must be refused."""
        if not self.suspects_by_fingerprint:
            return False
        suspect = self.suspects_by_fingerprint.get(make_fingerprint(subject))
        if suspect is None or now >= suspect.blocked_until:
            return False
        return suspect.crashes >= CRASHES_TO_BLOCK or not self._is_recently_completed(
            subject, now
        )

    def _is_recently_completed(self, subject: Subject, now: float) -> bool:
        completed_at = self.completed_at_by_subject.get(subject)
        return completed_at is not None and now - completed_at < SUSPECT_TTL_S

    def record_completed(self, subject: Subject, now: float) -> None:
        """Record that a worker completed a request."""
        completed = self.completed_at_by_subject
        completed.pop(subject, None)
        completed[subject] = now
        if len(completed) > MAX_COMPLETED:
            del completed[next(iter(completed))]

    def may_retry(self, subject: Subject, now: float) -> bool:
        """Return whether a request whose worker was lost may be sent to another.

        Unless the request completed recently, only one copy may be retried, so
        that copies in flight at the same time don't each crash another worker.
        """
        if self._is_recently_completed(subject, now):
            return True
        suspect = self.suspects_by_fingerprint.get(make_fingerprint(subject))
        return suspect is None or now >= suspect.counted_until

    def record_worker_lost(
        self, subject: Subject, address: Address, is_new_version: bool, now: float
    ) -> SuspectNotice | None:
        """Count a connection to a worker that was lost without a response.

        Parameters
        ----------
        subject : tuple
            Identity of the request.
        address : (str, int)
            Address of the worker.
        is_new_version : bool
            Whether the worker runs the new version of a move. If the request
            completes elsewhere, the version is at fault and is judged by its
            evidence.
        now : float
            Seconds of the clock of the call path.

        Returns
        -------
        notice : SuspectNotice or None
            Notice to send to the peers, if the request is now blocked.
        """
        is_cleared = self._is_recently_completed(subject, now)
        if is_cleared and is_new_version:
            return None
        fingerprint = make_fingerprint(subject)
        suspect = self._get_or_add(fingerprint, subject[0], now)
        is_same = (
            suspect.address == address and now - suspect.lost_at < SAME_CRASH_WINDOW_S
        )
        if not is_same:
            suspect.crashes += 1
        suspect.address = address
        suspect.lost_at = now
        suspect.counted_until = now + SUSPECT_TTL_S
        suspect.blocked_until = now + SUSPECT_TTL_S
        if is_cleared and suspect.crashes < CRASHES_TO_BLOCK:
            return None
        return SuspectNotice(fingerprint, subject[0], SUSPECT_TTL_S, suspect.crashes)

    def record_worker_alive(self, notice: SuspectNotice, now: float) -> SuspectNotice:
        """Shorten the block of a request whose worker still accepts connections.

        This applies to the first loss only.

        Returns
        -------
        notice : SuspectNotice
            Notice to send to the peers, with the shortened time if it applies.
        """
        suspect = self.suspects_by_fingerprint.get(notice.fingerprint)
        if suspect is None or suspect.crashes >= CRASHES_TO_BLOCK:
            return notice
        suspect.blocked_until = min(suspect.blocked_until, now + UNCONFIRMED_TTL_S)
        return evolve(notice, ttl_s=UNCONFIRMED_TTL_S)

    def add_notice(self, notice: SuspectNotice, now: float) -> None:
        """Merge the notice of a peer."""
        ttl_s = min(SUSPECT_TTL_S, max(0.0, notice.ttl_s))
        suspect = self._get_or_add(notice.fingerprint, notice.service, now)
        suspect.crashes = max(suspect.crashes, notice.crashes)
        suspect.blocked_until = max(suspect.blocked_until, now + ttl_s)
        suspect.counted_until = max(suspect.counted_until, now + SUSPECT_TTL_S)

    def _get_or_add(self, fingerprint: str, service: str, now: float) -> Suspect:
        suspects = self.suspects_by_fingerprint
        suspect = suspects.pop(fingerprint, None)
        if suspect is None or now >= suspect.counted_until:
            suspect = Suspect(service)
        suspects[fingerprint] = suspect
        if len(suspects) > MAX_SUSPECTS:
            del suspects[next(iter(suspects))]
        return suspect

    def expire(self, now: float) -> None:
        """Remove suspects whose crashes no longer count."""
        for fingerprint, suspect in list(self.suspects_by_fingerprint.items()):
            if now >= suspect.counted_until:
                del self.suspects_by_fingerprint[fingerprint]
