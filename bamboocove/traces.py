"""Record types of traces and their JSON Lines format (docs/traces.md)."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import get_args

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.codec import from_plain, to_plain


@frozen
class RouteLoad:
    """Load and base failure rates of a route.

    Parameters
    ----------
    name, request_class : str
        Name and request class of the route.
    calls_per_s : float
        Calls per second, spread evenly over the nodes.
    failing, slow : float
        Probability that a call fails, and probability that a successful call
        is slow.
    """

    name: str
    request_class: str
    calls_per_s: float
    failing: float = 0.003
    slow: float = 0.05


@frozen
class Header:
    """First record of a trace: the deployment and the move.

    Parameters
    ----------
    name : str
        Name of the trace.
    seed : int
        Seed of the random numbers that distribute the calls and decide their
        outcomes.
    tenant, service, from_version, to_version : str
        Service that moves, and its versions before and after the move.
    zones, nodes, workers : int
        Numbers of each; node ``i`` is in zone ``i % zones``, and worker ``i`` of each
        version is beside node ``i``.
    deadline_s, duration_s : float
        Deadline of the move and end of the trace, in seconds from the start
        of the trace.
    routes : tuple of RouteLoad
        Routes of the service.
    """

    name: str
    seed: int
    tenant: str
    service: str
    from_version: str
    to_version: str
    zones: int
    nodes: int
    workers: int
    deadline_s: float
    duration_s: float
    routes: tuple[RouteLoad, ...]


@frozen
class Announcement:
    """A worker of the new version announces itself to its node."""

    at: float
    node: int


@frozen
class Calls:
    """The call rate changes to ``factor`` times the rate in the header."""

    at: float
    factor: float


@frozen
class Behaviour:
    """Degradation of the new version, from ``at`` to the end of the trace.

    Parameters
    ----------
    at : float
        Seconds from the start of the trace.
    failing, slow : float
        Added to the probabilities in ``RouteLoad``.
    route : str
        Name of the affected route; empty for all routes.
    load_above : float
        Applies only while the load of each worker exceeds this multiple of the
        load of a worker of the old version before the move.
    """

    at: float
    failing: float = 0.0
    slow: float = 0.0
    route: str = ""
    load_above: float = 0.0


@frozen
class Fault:
    """A fault outside the new version.

    Parameters
    ----------
    at, until : float
        Seconds from the start of the trace.
    kind : str
        ``store`` (no answers; in the first seconds writes take effect but their
        answers are lost), ``partition`` (one zone is unreachable), ``restart``
        (one node and its workers are down) or ``dependency`` (calls to both
        versions fail).
    target : int
        Index of the zone for ``partition``, of the node for ``restart``.
    failing : float
        Added probability of failure for ``dependency``.
    """

    at: float
    until: float
    kind: str
    target: int = 0
    failing: float = 0.0


@frozen
class Edit:
    """An operator's edit.

    Parameters
    ----------
    at : float
        Seconds from the start of the trace.
    kind : str
        ``touch`` (changes another part of the text), ``withdraw`` (reverts the
        move) or ``deadline`` (changes its deadline).
    deadline_s : float
        New deadline for ``deadline``, in seconds from the start of the trace.
    """

    at: float
    kind: str
    deadline_s: float = 0.0


@frozen
class Expected:
    """Last record of a trace: the expected outcome.

    Parameters
    ----------
    phase : str
        Final phase of the move.
    in_time : bool
        Whether the new version received all calls by the deadline.
    share_max : float
        Maximum share that the new version may receive.
    reason : str
        Substring of the reason of the move.
    """

    phase: str
    in_time: bool = False
    share_max: float = 1.0
    reason: str = ""


Record = Header | Announcement | Calls | Behaviour | Fault | Edit | Expected
_TYPES_BY_NAME = {record_type.__name__: record_type for record_type in get_args(Record)}


def write_trace(path: Path, records: Iterable[Record]) -> None:
    """Write a trace as JSON Lines, each a pair of type name and fields."""
    lines = [
        json.dumps([type(record).__name__, to_plain(record)]) for record in records
    ]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def read_trace(path: Path) -> list[Record] | ErrorResult:
    """Read and validate a trace.

    Returns
    -------
    records : list of Record or ErrorResult
        The records, or ``INVALID_MESSAGE`` with the line that is invalid.
    """
    records: list[Record] = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        try:
            name, fields = json.loads(line)
            record_type = _TYPES_BY_NAME[name]
        except (ValueError, TypeError, KeyError) as error:
            reason = f"{path}:{number}: not a record: {error}"
            return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
        record = from_plain(record_type, fields)
        if isinstance(record, ErrorResult):
            reason = f"{path}:{number}: {record.reason}"
            return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
        records.append(record)
    if not records or not isinstance(records[0], Header):
        reason = f"{path}: the first record must be a Header"
        return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
    return records
