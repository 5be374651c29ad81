"""Faults of the stand-ins, switched on by options or over HTTP."""

import json
from typing import Any

from attrs import define, evolve, fields, frozen


@frozen
class PlatformFaults:
    """Faults that are switched on.

    Parameters
    ----------
    outage : bool
        Every request is refused with 503 before any work.
    silent : bool
        Requests are accepted and never answered, and have no effect.
    delay_s : float
        Time before the work of each request; it is done even if the client
        has given up by then.
    lost_answers : int
        Number of following writes that take effect and whose connection is
        then closed without an answer; -1 for all.
    reads_per_s, writes_per_s : float
        Requests above this rate are refused with 429; 0 for no limit.
    """

    outage: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


def update_faults(faults: Any, changes: Any) -> Any:
    """Return faults with some fields changed.

    Raises
    ------
    ValueError
        If a field is unknown or a value has another type.

    Examples
    --------
    >>> update_faults(PlatformFaults(), {"delay_s": 2}).delay_s
    2.0
    """
    if not isinstance(changes, dict):
        raise ValueError("not a map")
    types_by_name = {item.name: item.type for item in fields(type(faults))}
    checked = {}
    for name, value in changes.items():
        kind = types_by_name.get(name)
        if kind is None:
            raise ValueError(f"no fault {name}")
        if kind is float and type(value) is int:
            value = float(value)
        if type(value) is not kind:
            raise ValueError(f"{name} must be of type {kind.__name__}")
        checked[name] = value
    return evolve(faults, **checked)


@define
class RateLimit:
    """Token bucket that holds at most one second's worth of requests.

    Parameters
    ----------
    tokens : float
        Requests that may be made now.
    updated_at : float
        Time in seconds of the last request.
    """

    tokens: float = 0.0
    updated_at: float = float("-inf")

    def admit(self, rate: float, now: float) -> bool:
        """Take a token; a rate of 0 admits everything."""
        if rate <= 0:
            return True
        burst = max(rate, 1.0)
        elapsed = min(now - self.updated_at, burst / rate)
        self.tokens = min(burst, self.tokens + elapsed * rate)
        self.updated_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True


@frozen
class WorkerFaults:
    """Faults of a worker.

    Parameters
    ----------
    failing : float
        Share of calls that are answered with 500.
    slow_s : float
        Time added to each call.
    failing_after_s : float
        Every call fails from this time after the fault was set; 0 for never.
    failing_above : int
        Calls fail that start while more than this many run; 0 for never.
    failing_route : str
        Calls to paths that start with it fail; empty for none.
    crash_header : str
        A call with this request header ends the process; empty for none.
    health_lag_s : float
        The load header reports the load of this time ago.
    """

    failing: float = 0.0
    slow_s: float = 0.0
    failing_after_s: float = 0.0
    failing_above: int = 0
    failing_route: str = ""
    crash_header: str = ""
    health_lag_s: float = 0.0


def find_failure(
    faults: WorkerFaults, path: str, running: int, fault_age_s: float, fraction: float
) -> str:
    """Return why a call fails, or an empty string.

    Parameters
    ----------
    faults : WorkerFaults
        Faults that are switched on.
    path : str
        Path of the call.
    running : int
        Calls that run, this one included.
    fault_age_s : float
        Time since the faults were set.
    fraction : float
        Random number from 0 to 1.
    """
    if fraction < faults.failing:
        return "failing"
    if faults.failing_after_s and fault_age_s >= faults.failing_after_s:
        return "failing late"
    if faults.failing_above and running > faults.failing_above:
        return "failing under load"
    if faults.failing_route and path.startswith(faults.failing_route):
        return "failing on this route"
    return ""


def parse_faults(text: str) -> WorkerFaults:
    """Build faults from a JSON map; raises ValueError."""
    return update_faults(WorkerFaults(), json.loads(text))
