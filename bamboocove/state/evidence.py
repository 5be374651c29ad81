"""Outcome statistics that compare the new version of a move with the old one."""

from attrs import frozen


@frozen
class OutcomeCounts:
    """Outcomes of the calls to one version in one window.

    Parameters
    ----------
    calls : int
        Finished calls, failed ones included.
    failures : int
        Failed calls: those with a 5xx response, a timeout or a lost connection.
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
    """Outcomes of a move on one node, route and request class in one time window.

    Parameters
    ----------
    move_id : str
        Move that the outcomes are used to evaluate.
    node_id : str
        Node that counted the outcomes.
    revision : int
        Revision that was active for the whole window, so that outcomes of an
        earlier share are never counted for a later one.
    route, request_class : str
        Route and request class of the calls.
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
    """Report that a node has stopped sending calls to the new version of a move.

    This local circuit breaker is called a brake.

    Parameters
    ----------
    move_id : str
        Move that is stopped on the node.
    node_id : str
        Node that sends nothing to the new version.
    revision : int
        Revision that was active when the brake was set.
    route, request_class : str
        Route and request class of the failed or slow calls.
    reason : str
        Explanation for operators.
    """

    move_id: str
    node_id: str
    revision: int
    route: str
    request_class: str
    reason: str
