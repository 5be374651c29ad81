"""What a node tells others of requests that crash workers, and learns from them."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.coordination.fingerprints import digest_body, make_fingerprint
from bamboocove.coordination.kept_suspects import KeptSuspect, KeptSuspects
from bamboocove.coordination.retry_limits import CrashTable
from bamboocove.protocol.control_messages import SuspectsCleared
from bamboocove.protocol.mesh_messages import CrashNotice, Forward
from bamboocove.sidecar.logs import log
from bamboocove.state.mesh import HostRecord


def identify_forward(forward: Forward) -> str:
    """Return the fingerprint of a forwarded request, that of the caller's node."""
    body_digest = digest_body(forward.body)
    return make_fingerprint(
        (forward.caller, forward.method, forward.target, body_digest)
    )


@define(eq=False, slots=False)
class SuspectRequests:
    """Spreads suspects and what clears them, and keeps the blocked ones.

    Parameters
    ----------
    crashes : CrashTable
        Suspects that this node knows.
    clock : reactor
        Source of time.
    get_unix_ms : callable
        Returns the present Unix time in milliseconds.
    broadcast : callable
        Sends a message to all nodes.
    publish : callable
        Called without arguments when the record of this host has changed.
    kept : KeptSuspects
        Blocked requests in the record of this host.
    """

    crashes: CrashTable
    clock: Any
    get_unix_ms: Callable[[], int]
    broadcast: Callable[[Any], None]
    publish: Callable[[], None]
    kept: KeptSuspects = field(factory=KeptSuspects)

    def report(self, notice: CrashNotice) -> None:
        """Tell all nodes which requests the worker on this host ran as it crashed."""
        self.take_notice(notice)
        for fingerprints in notice.fingerprints_by_caller.values():
            self.keep_blocked([fingerprint.hex() for fingerprint in fingerprints])
        self.broadcast(notice)

    def take_notice(self, notice: CrashNotice) -> None:
        """Record the suspects of a crash."""
        now = self.clock.seconds()
        for fingerprints in notice.fingerprints_by_caller.values():
            for fingerprint in fingerprints:
                self.crashes.record(fingerprint.hex(), notice.host_id, now)

    def keep_blocked(self, fingerprints: list[str]) -> None:
        """Keep those of some suspects that are blocked now."""
        now = self.clock.seconds()
        blocked = [f for f in fingerprints if self.crashes.is_blocked(f, now)]
        for fingerprint in blocked:
            crashes = self.crashes.get_crashes(fingerprint)
            log("request.blocked", fingerprint=fingerprint, crashes=crashes)
            self.kept.keep(fingerprint, crashes, self.get_unix_ms())
        if blocked:
            self.publish()

    def is_blocked(self, forward: Forward) -> bool:
        """Return whether a forwarded request must not be sent to the worker."""
        now = self.clock.seconds()
        return self.crashes.has_blocked(now) and self.crashes.is_blocked(
            identify_forward(forward), now
        )

    def clear(self, fingerprint: str) -> None:
        """Tell all nodes that a worker has completed a suspect request."""
        if self.crashes.get_crashes(fingerprint):
            self._clear(fingerprint)
            self.broadcast(SuspectsCleared([bytes.fromhex(fingerprint)]))

    def take_cleared(self, message: SuspectsCleared) -> None:
        """Forget suspects whose request another node has seen completed."""
        for fingerprint in message.fingerprints:
            self._clear(fingerprint.hex())

    def _clear(self, fingerprint: str) -> None:
        self.crashes.clear(fingerprint, self.clock.seconds())
        if self.kept.drop(fingerprint):
            self.publish()

    def get_kept(self) -> dict[str, KeptSuspect]:
        """Return the blocked requests for the record of this host."""
        return self.kept.get(self.get_unix_ms())

    def merge_record(self, record: HostRecord) -> None:
        """Learn the blocked requests in the record of a host."""
        if not record.blocked_requests:
            return
        now, unix_ms = self.clock.seconds(), self.get_unix_ms()
        for fingerprint, (crashes, last_ms) in record.blocked_requests.items():
            self.crashes.merge(fingerprint, crashes, (unix_ms - last_ms) / 1000, now)

    def adopt_record(self, record: HostRecord) -> None:
        """Take over the blocked requests that the process before has kept."""
        self.merge_record(record)
        if self.kept.merge(record.blocked_requests):
            self.publish()
