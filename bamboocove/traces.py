"""Recorded traces of moves: records and their JSON lines (docs/traces.md)."""

import json
from collections.abc import Iterable
from pathlib import Path
from typing import get_args

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.codec import from_plain, to_plain


@frozen
class RouteLoad:
    """Calls to one route while nothing is wrong.

    Parameters
    ----------
    name, request_class : str
        The route.
    calls_per_s : float
        Calls per second, spread evenly over the nodes.
    failing, slow : float
        Probability that a call fails, and that one that succeeds is slow.
    """

    name: str
    request_class: str
    calls_per_s: float
    failing: float = 0.003
    slow: float = 0.05


@frozen
class Header:
    """First record: the deployment and the move.

    Parameters
    ----------
    name : str
        Name of the trace.
    seed : int
        Seed of the random numbers that assign and decide single calls.
    tenant, service, from_version, to_version : str
        What moves.
    zones, nodes, workers : int
        Sizes; node ``i`` is in zone ``i % zones``, and worker ``i`` of each
        version is beside node ``i``.
    deadline_s, duration_s : float
        Deadline of the move and end of the trace, in seconds from its start.
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
    """The worker beside a node announces the new version."""

    at: float
    node: int


@frozen
class Calls:
    """The rate of calls changes to a multiple of that in the header."""

    at: float
    factor: float


@frozen
class Behaviour:
    """From now on the new version is worse than the old one.

    Parameters
    ----------
    at : float
        Seconds from the start of the trace.
    failing, slow : float
        Added to the probabilities of the route.
    route : str
        The only route concerned; empty for all.
    load_above : float
        Only while each worker has more than this multiple of the calls that a
        worker of the old version has before the move.
    """

    at: float
    failing: float = 0.0
    slow: float = 0.0
    route: str = ""
    load_above: float = 0.0


@frozen
class Fault:
    """A fault of the surroundings.

    Parameters
    ----------
    at, until : float
        Seconds from the start of the trace.
    kind : str
        ``store`` (no answers; in the first seconds writes take effect but their
        answers are lost), ``partition`` (one zone is cut off), ``restart`` (one
        node and its workers are down) or ``dependency`` (both versions fail).
    target : int
        Zone or node.
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
        ``touch`` (another part of the text), ``withdraw`` or ``deadline``.
    deadline_s : float
        New deadline for ``deadline``.
    """

    at: float
    kind: str
    deadline_s: float = 0.0


@frozen
class Expected:
    """Last record: the stated outcome.

    Parameters
    ----------
    phase : str
        Phase in which the move ends.
    in_time : bool
        Whether all calls had moved by the deadline.
    share_max : float
        Largest share that the new version may be given.
    reason : str
        Text that the reason of the move contains.
    """

    phase: str
    in_time: bool = False
    share_max: float = 1.0
    reason: str = ""


Record = Header | Announcement | Calls | Behaviour | Fault | Edit | Expected
_TYPES_BY_NAME = {cls.__name__: cls for cls in get_args(Record)}


def write_trace(path: Path, records: Iterable[Record]) -> None:
    """Write a trace as JSON lines of type name and fields."""
    lines = [
        json.dumps([type(record).__name__, to_plain(record)]) for record in records
    ]
    path.write_text("\n".join(lines) + "\n", encoding="utf-8")


def read_trace(path: Path) -> list[Record] | ErrorResult:
    """Read a trace.

    Returns
    -------
    records : list of Record or ErrorResult
        ``INVALID_MESSAGE`` with the line that is not a record.
    """
    records: list[Record] = []
    for number, line in enumerate(path.read_text(encoding="utf-8").splitlines(), 1):
        try:
            name, fields = json.loads(line)
            cls = _TYPES_BY_NAME[name]
        except (ValueError, TypeError, KeyError) as error:
            reason = f"{path}:{number}: not a record: {error}"
            return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
        record = from_plain(cls, fields)
        if isinstance(record, ErrorResult):
            reason = f"{path}:{number}: {record.reason}"
            return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
        records.append(record)
    if not records or not isinstance(records[0], Header):
        reason = f"{path}: the first record must be a Header"
        return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
    return records
