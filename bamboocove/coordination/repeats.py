"""Whether a request is sent to a second worker.

Load pattern: a part of the workers fails or is lost while all are busy. Repeats
then add the load that keeps them busy, so that all nodes together may only add
a fixed part; and a request that takes its worker down must not be handed on.
"""

from attrs import define, field

# Part of the fleet's allowance that is used: windows slide, and nodes know the
# number of their peers only roughly.
ALLOWANCE_PART = 0.5
# Lost workers after which a request is blocked.
CRASHES_TO_BLOCK = 2
# Time for which a request stays suspect, in seconds.
SUSPECT_S = 60.0
MOST_SUSPECTS = 2000
# Callers of one route differ in patience: new requests of the users' sites came
# with 0.85 to 1 of the longest time.
PATIENCE_SPREAD = 0.15


def may_repeat(sent: int, attempts: int, left_s: float, least_s: float) -> bool:
    """Return whether a request may be sent to another worker.

    Parameters
    ----------
    sent : int
        Workers that it was sent to.
    attempts : int
        Most workers that it may be sent to.
    left_s, least_s : float
        Time that is left, and the least that is worth a try, in seconds.
    """
    return sent < attempts and left_s > least_s


@define
class RepeatBudgets:
    """A node's part of the repeats that all nodes may send, by service.

    Parameters
    ----------
    ratio : float
        Repeats for each request of this node.
    most : float
        Repeats that can be saved up.
    """

    ratio: float = 0.1
    most: float = 2.0
    _tokens_by_service: dict[str, float] = field(factory=dict)

    def configure(self, ratio: float, slack: float, nodes: int) -> None:
        """Set the allowance.

        Parameters
        ----------
        ratio, slack : float
            Repeats that all nodes together may send in a window: a part of
            the requests, and a number on top.
        nodes : int
            Nodes that share it.
        """
        self.ratio = ALLOWANCE_PART * ratio
        self.most = max(1.0, ALLOWANCE_PART * slack / max(1, nodes))

    def earn(self, service: str) -> None:
        """Count a request."""
        held = self._tokens_by_service.get(service, self.most)
        self._tokens_by_service[service] = min(self.most, held + self.ratio)

    def spend(self, service: str) -> bool:
        """Take one repeat if there is one."""
        held = self._tokens_by_service.get(service, self.most)
        if held < 1.0:
            return False
        self._tokens_by_service[service] = held - 1.0
        return True


@define
class PatienceTable:
    """How long callers of each route wait in all.

    Callers send the time that they go on waiting. One that was refused and
    came back sends less than any that has just begun, which tells how long it
    has been waiting at least.
    """

    _longest_s_by_route: dict[str, float] = field(factory=dict)

    def get_waited(self, route: str, left_s: float) -> float:
        """Return how long a caller has surely been waiting, in seconds.

        Parameters
        ----------
        route : str
            Name of the route.
        left_s : float
            Time that the caller goes on waiting.

        Examples
        --------
        >>> table = PatienceTable()
        >>> table.get_waited("r", 3.0), round(table.get_waited("r", 2.0), 3)
        (0.0, 0.55)
        """
        longest_s = max(left_s, self._longest_s_by_route.get(route, 0.0))
        self._longest_s_by_route[route] = longest_s
        return max(0.0, (1.0 - PATIENCE_SPREAD) * longest_s - left_s)


@define
class CrashTable:
    """Requests whose workers were lost while they ran them."""

    _crashes_by_fingerprint: dict[str, tuple[int, float]] = field(factory=dict)

    @property
    def has_suspects(self) -> bool:
        """Whether any request is suspect."""
        return bool(self._crashes_by_fingerprint)

    def record(self, fingerprint: str, now: float, crashes: int = 1) -> int:
        """Count a lost worker; return how many were lost to the request."""
        held, _ = self._crashes_by_fingerprint.pop(fingerprint, (0, 0.0))
        if len(self._crashes_by_fingerprint) >= MOST_SUSPECTS:
            oldest = next(iter(self._crashes_by_fingerprint))
            del self._crashes_by_fingerprint[oldest]
        self._crashes_by_fingerprint[fingerprint] = (held + crashes, now)
        return held + crashes

    def is_blocked(self, fingerprint: str, now: float) -> bool:
        """Return whether a request may no longer reach any worker."""
        crashes, at = self._crashes_by_fingerprint.get(fingerprint, (0, 0.0))
        if crashes and now - at > SUSPECT_S:
            del self._crashes_by_fingerprint[fingerprint]
            return False
        return crashes >= CRASHES_TO_BLOCK

    def clear(self, fingerprint: str) -> None:
        """Forget a request that a worker has completed."""
        self._crashes_by_fingerprint.pop(fingerprint, None)
