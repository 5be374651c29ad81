"""Row keys, row values and transactions of the platform's table service."""

from typing import Any

from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.members import Member

HEAD_KEY = "config/head"
HISTORY_PREFIX = "config/history/"
NODE_PREFIX = "node/"
COORDINATOR_LEASE_KEY = "lease/coordinator"
ABSENT = 0  # Version of a row that does not exist.


@frozen
class Row:
    """A row as the table service returns it.

    Parameters
    ----------
    key : str
        Unique in the table.
    version : int
        Incremented at each write; ``ABSENT`` if the row does not exist.
    operation_id : str
        Identifier of the operation that wrote the row last.
    value : dict
        Content of the row, a CBOR map.
    """

    key: str
    version: int
    operation_id: str
    value: dict[str, Any]


@frozen
class Check:
    """Precondition of a transaction: the row has exactly this version."""

    key: str
    version: int


@frozen
class Write:
    """Write operation of a transaction; a value of None deletes the row."""

    key: str
    value: dict[str, Any] | None


@frozen
class Transaction:
    """Atomic set of checks and writes.

    Parameters
    ----------
    operation_id : str
        Unique, so that the writer can find out after a lost response whether
        the transaction was committed.
    checks : tuple of Check
        Preconditions, all of which must hold.
    writes : tuple of Write
        Writes that are applied if the checks succeed.
    """

    operation_id: str
    checks: tuple[Check, ...]
    writes: tuple[Write, ...]


@frozen
class Committed:
    """Result of a committed transaction.

    Parameters
    ----------
    versions_by_key : dict of str to int
        New version of each written row.
    """

    versions_by_key: dict[str, int]


@frozen
class Conflict(ErrorResult):
    """Error of a transaction that was not committed because a check failed.

    Parameters
    ----------
    key : str
        Key of the first failed check.
    version : int
        Actual version of that row.

    Examples
    --------
    >>> Conflict.of("config/head", 4).kind
    <ErrorKind.CONFLICT: 'conflict'>
    """

    key: str
    version: int

    @classmethod
    def of(cls, key: str, version: int) -> "Conflict":
        """Return a conflict whose reason names the row and its version."""
        reason = f"row {key} has version {version}"
        return cls(ErrorKind.CONFLICT, reason, key, version)


@frozen
class NodeRecord:
    """Value of a row ``node/<zone>/<node id>``, the registration of a node.

    Parameters
    ----------
    member : Member
        Membership record of the node at the time of the write.
    at : float
        Unix time of the write in seconds. Old rows belong to nodes that
        disappeared.
    """

    member: Member
    at: float


@frozen
class HeadRecord:
    """Value of the row ``config/head``, which names the newest revision."""

    revision: int
    digest: bytes
    object_name: str


@frozen
class HistoryRecord:
    """Value of a row ``config/history/<revision>``.

    Parameters
    ----------
    revision : int
        Revision that the change created.
    author : str
        Operator or node that made the change.
    at : float
        Unix time of the change in seconds.
    summary : str
        Description for operators, in one line.
    events : tuple of str
        Numbered events that explain the change.
    delta : bytes
        Encoded delta from the previous revision.
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
        Node identifier of the holder.
    host : str
        IP address of the holder.
    peer_port : int
        Port at which the holder accepts links from peers.
    token : int
        Fencing token, incremented at each change of holder.
    expires_at : float
        Unix time in seconds at which the lease expires.
    """

    holder: str
    host: str
    peer_port: int
    token: int
    expires_at: float


def history_key(revision: int) -> str:
    """Return the key of a history row; keys sort in the order of revisions."""
    return f"{HISTORY_PREFIX}{revision:012d}"


def node_key(zone: str, node_id: str) -> str:
    """Return the key of a node's registration row."""
    return f"node/{zone}/{node_id}"


def idempotency_key(service: str, key: str) -> str:
    """Return the key of the row that claims an idempotency key."""
    return f"idempotency/{service}/{key}"
