"""Outcome counts by which a new version is compared with the old one."""

from attrs import frozen


@frozen
class OutcomeCounts:
    """Outcomes of the calls to one version in one window.

    Parameters
    ----------
    calls : int
        Finished calls, failed ones included.
    failures : int
        Calls that failed: a 5xx answer, a timeout or a lost connection.
    slow : int
        Calls that succeeded but took longer than the slow threshold.
    """

    calls: int = 0
    failures: int = 0
    slow: int = 0

    def __add__(self, other: "OutcomeCounts") -> "OutcomeCounts":
        return OutcomeCounts(
            self.calls + other.calls,
            self.failures + other.failures,
            self.slow + other.slow,
        )


@frozen
class Evidence:
    """What one node saw of one move, on one route and class, in one window.

    Parameters
    ----------
    move_id : str
        The move that is judged.
    node_id : str
        The node that counted.
    revision : int
        Revision that was active for the whole window, so that outcomes of an
        earlier share are never counted for a later one.
    route, request_class : str
        Where the calls belong.
    window_start : float
        Unix time in seconds.
    window_s : float
        Length of the window in seconds.
    old, new : OutcomeCounts
        Outcomes of the two versions in the same window.
    """

    move_id: str
    node_id: str
    revision: int
    route: str
    request_class: str
    window_start: float
    window_s: float
    old: OutcomeCounts
    new: OutcomeCounts


@frozen
class BrakeReport:
    """A node's local brake on a move is set.

    Parameters
    ----------
    move_id : str
        The move.
    node_id : str
        The node, which sends nothing to the new version.
    revision : int
        Revision that was active when the brake was set.
    route, request_class : str
        Where the bad calls were.
    reason : str
        For a person.
    """

    move_id: str
    node_id: str
    revision: int
    route: str
    request_class: str
    reason: str
