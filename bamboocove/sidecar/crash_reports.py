"""Reports of requests that were running when the worker on this host crashed.

Each caller's node knows only the crashes of its own requests, so a request that comes
again at many hosts would crash a worker for each of them. The node beside the worker
knows all requests that it ran, and tells the others in one message for each crash.
"""

from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from bamboocove.coordination.retry_limits import CompletedRequests, make_completed_key
from bamboocove.protocol.mesh_messages import CrashNotice, Forward
from bamboocove.sidecar.suspect_requests import identify_forward

# Time for which the requests of one crash are collected, in seconds: their connections
# end at the same moment.
COLLECT_S = 0.05


@frozen
class RequestRun:
    """Identity of a request that a worker ran.

    Parameters
    ----------
    key : int
        Hash by which equal requests of a service are compared on this host.
    caller : str
        Service of the caller.
    fingerprint : str
        Identifies equal requests on all hosts.
    attempt_id : bytes
        Identifies this one in logs.
    """

    key: int
    caller: str
    fingerprint: str
    attempt_id: bytes


def identify_run(forward: Forward, attempt_id: bytes) -> RequestRun:
    """Return the identity of a request, which takes far less room than its body."""
    return RequestRun(
        _make_key(forward), forward.caller, identify_forward(forward), attempt_id
    )


@define
class CrashReports:
    """Decides which requests are suspected of a crash, and collects them.

    Parameters
    ----------
    host_id : str
        This host.
    clock : reactor
        Source of time.
    send : callable
        Called with the CrashNotice of each crash.
    """

    host_id: str
    clock: Any
    send: Callable[[CrashNotice], None]
    _completed: CompletedRequests = field(factory=CompletedRequests)
    _fingerprints_by_caller: dict[str, set[bytes]] = field(factory=dict)

    def record_completed(self, forward: Forward) -> None:
        """Record that the worker has completed a request."""
        self._completed.add(_make_key(forward), self.clock.seconds())

    def record_crash(self, forward: Forward) -> bool:
        """Report a request that ran when the worker crashed, if it is suspect.

        Returns
        -------
        is_suspect : bool
            Whether the worker has not completed an equal request recently.
        """
        return self.record_identified(identify_run(forward, b""))

    def record_identified(self, run: RequestRun) -> bool:
        """Report a request of which only the identity is left, see ``record_crash``."""
        if self._completed.is_recent(run.key, self.clock.seconds()):
            return False
        if not self._fingerprints_by_caller:
            self.clock.callLater(COLLECT_S, self._send_notice)
        fingerprints = self._fingerprints_by_caller.setdefault(run.caller, set())
        fingerprints.add(bytes.fromhex(run.fingerprint))
        return True

    def _send_notice(self) -> None:
        collected, self._fingerprints_by_caller = self._fingerprints_by_caller, {}
        by_caller = {caller: sorted(prints) for caller, prints in collected.items()}
        self.send(CrashNotice(self.host_id, by_caller))

    def reset(self) -> None:
        """Forget what an earlier worker has completed."""
        self._completed = CompletedRequests()


def _make_key(forward: Forward) -> int:
    identity = (forward.caller, forward.method, forward.target)
    return make_completed_key(identity, forward.body)
