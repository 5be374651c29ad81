"""Faults that the stand-ins inject, set by command-line options or over HTTP."""

import json
from typing import Any

from attrs import define, evolve, fields, frozen


@frozen
class PlatformFaults:
    """Faults that the platform stand-in injects.

    Parameters
    ----------
    outage : bool
        Every request is refused with 503 before it has any effect.
    silent : bool
        Requests are accepted, never answered and have no effect.
    delay_s : float
        Delay before each request takes effect; it does so even if the client
        has disconnected by then.
    lost_answers : int
        Number of coming writes that take effect and whose connection is then
        closed without a response; -1 for all.
    reads_per_s, writes_per_s : float
        Maximum requests per second; further ones are refused with 429; 0 for
        no limit.
    """

    outage: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lost_answers: int = 0
    reads_per_s: float = 0.0
    writes_per_s: float = 0.0


def update_faults(faults: Any, changes: Any) -> Any:
    """Return a copy of faults with the given fields changed.

    Raises
    ------
    ValueError
        If ``changes`` is not a dictionary, a field is unknown or a value has
        the wrong type.

    Examples
    --------
    >>> update_faults(PlatformFaults(), {"delay_s": 2}).delay_s
    2.0
    """
    if not isinstance(changes, dict):
        raise ValueError("not a map")
    types_by_name = {item.name: item.type for item in fields(type(faults))}
    checked_changes = {}
    for name, value in changes.items():
        expected_type = types_by_name.get(name)
        if expected_type is None:
            raise ValueError(f"no fault {name}")
        if expected_type is float and type(value) is int:
            value = float(value)
        if type(value) is not expected_type:
            raise ValueError(f"{name} must be of type {expected_type.__name__}")
        checked_changes[name] = value
    return evolve(faults, **checked_changes)


@define
class RateLimit:
    """Token bucket that holds at most the requests of one second.

    Parameters
    ----------
    tokens : float
        Requests that are admitted before the next refill.
    updated_at : float
        Time in seconds of the last refill.
    """

    tokens: float = 0.0
    updated_at: float = float("-inf")

    def admit(self, rate: float, now: float) -> bool:
        """Take a token and return whether there was one; a rate of 0 admits all."""
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
    """Faults that a worker stand-in injects.

    Parameters
    ----------
    failing : float
        Fraction of calls that are answered with 500.
    slow_s : float
        Time added to the duration of each call.
    failing_after_s : float
        Every call fails once this time has passed since the faults were set;
        0 for never.
    failing_above : int
        A call fails if more than this many run when it starts, itself
        included; 0 for never.
    failing_route : str
        Path prefix of the calls that fail; empty for none.
    crash_header : str
        Request header that makes the process exit; empty for none.
    health_lag_s : float
        Age of the load that the load header reports.
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
    """Return the reason why a call fails, or an empty string if it succeeds.

    Parameters
    ----------
    faults : WorkerFaults
        Active faults.
    path : str
        Path of the call.
    running : int
        Number of running calls, this one included.
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
    """Parse worker faults from a JSON object; raises ValueError if it is invalid."""
    return update_faults(WorkerFaults(), json.loads(text))
