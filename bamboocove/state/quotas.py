"""The row by which a node holds the lease of a zone's quotas."""

from attrs import frozen


@frozen
class QuotaLeaseRow:
    """Content of the row of a zone's lease.

    Parameters
    ----------
    host_id : str
        Host of the holder; empty if it gave the lease back.
    incarnation : int
        Process of the holder, see ``HostRecord``.
    fencing_token : int
        Rises with each holder.
    era : int
        Era of the store that the holder wrote it in.
    """

    host_id: str
    incarnation: int
    fencing_token: int
    era: int = 0


@frozen
class StoredQuotaLease:
    """The row of a lease as the store answers with it.

    Parameters
    ----------
    row : QuotaLeaseRow or None
        The present row; None if there is none.
    version : int
        Version of the row; 0 if there is none.
    era : int
        Era of the store.
    is_written : bool
        Whether this answers a write that succeeded.
    """

    row: QuotaLeaseRow | None
    version: int
    era: int = 0
    is_written: bool = False
