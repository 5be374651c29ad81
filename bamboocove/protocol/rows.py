"""Rows of the platform's table service: keys, values and transactions."""

from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.members import Member

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
NODE_PREFIX = "node/"
COORDINATOR_LEASE_KEY = "lease/coordinator"
ABSENT = 0


@frozen
class Row:
    """A row as the table service returns it.

    Parameters
    ----------
    key : str
        Key.
    version : int
        Raised by one at each write; ``ABSENT`` stands for no row.
    operation_id : str
        Operation that wrote it last.
    value : dict
        CBOR map.
    """

    key: str
    version: int
    operation_id: str
    value: dict[str, Any]


@frozen
class Check:
    """A condition of a transaction: the row has exactly this version."""

    key: str
    version: int


@frozen
class Write:
    """A write of a transaction; a value of None deletes the row."""

    key: str
    value: dict[str, Any] | None


@frozen
class Transaction:
    """Checks and writes that take effect together or not at all.

    Parameters
    ----------
    operation_id : str
        Unique, so that the writer can find out after a lost answer whether
        the transaction took effect.
    checks : tuple of Check
        Conditions.
    writes : tuple of Write
        Writes.
    """

    operation_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@frozen
class Committed:
    """A transaction took effect.

    Parameters
    ----------
    versions_by_key : dict of str to int
        New version of each row written.
    """

    versions_by_key: dict[str, int]


@frozen
class Conflict(ErrorResult):
    """A check of a transaction failed, and nothing was written.

    Parameters
    ----------
    key : str
        Key of the first check that failed.
    version : int
        Version of that row.

    Examples
    --------
    >>> Conflict.of("config/head", 4).kind
    <ErrorKind.CONFLICT: 'conflict'>
    """

    key: str
    version: int

    @classmethod
    def of(cls, key: str, version: int) -> "Conflict":
        """Create a conflict with its reason."""
        reason = f"row {key} has version {version}"
        return cls(ErrorKind.CONFLICT, reason, key, version)


@frozen
class NodeRecord:
    """Value of a row ``node/<zone>/<node id>``, the registration of a node.

    Parameters
    ----------
    member : Member
        The node's own record when it wrote the row.
    at : float
        Unix time in seconds; old rows are of nodes that were lost.
    """

    member: Member
    at: float


@frozen
class HeadRecord:
    """Value of the row ``config/head``."""

    revision: int
    digest: bytes
    object_name: str


@frozen
class HistoryRecord:
    """Value of a row ``config/history/<revision>``.

    Parameters
    ----------
    revision : int
        Revision that the change made.
    author : str
        Operator or node that made it.
    at : float
        Unix time in seconds.
    summary : str
        One line for people.
    events : tuple of str
        Numbered events that explain the change.
    delta : bytes
        Encoded delta from the revision before.
    """

    revision: int
    author: str
    at: float
    summary: str
    events: tuple[str, ...] = ()
    delta: bytes = b""


@frozen
class LeaseRecord:
    """Value of a lease row.

    Parameters
    ----------
    holder : str
        Node identifier.
    host : str
        IP number of the holder.
    peer_port : int
        Port of the holder for peers.
    token : int
        Fencing token, raised at each change of holder.
    expires_at : float
        Unix time in seconds.
    """

    holder: str
    host: str
    peer_port: int
    token: int
    expires_at: float


def history_key(revision: int) -> str:
    """Return the key of a history row; keys sort by revision."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def node_key(zone: str, node_id: str) -> str:
    """Return the key of a node's registration row."""
    return f"node/{zone}/{node_id}"


def idempotency_key(service: str, key: str) -> str:
    """Return the key of the row that claims an idempotency key."""
    return f"idempotency/{service}/{key}"
