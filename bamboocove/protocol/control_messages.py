"""Messages between nodes on keys, quotas, evacuations, suspects and the store."""

from attrs import frozen


@frozen
class ConfigProof:
    """States up to when a version of the configuration was the newest one.

    Parameters
    ----------
    store_era : int
        Era of the store.
    version : int
        Version of the configuration.
    verified_ms : int
        Time of the store at which it was the newest, in milliseconds.
    """

    store_era: int
    version: int
    verified_ms: int


@frozen
class ClockQuery:
    """Asks for an upper bound on the present time of the store."""

    number: int


@frozen
class ClockReply:
    """Answers a ``ClockQuery`` with the same number.

    Parameters
    ----------
    number : int
        Number of the query.
    store_era : int
        Era of the store.
    store_ms : int
        What the time of the store was at most when this was sent, in milliseconds.
    """

    number: int
    store_era: int
    store_ms: int


@frozen
class QuotaRequest:
    """Asks the granter of a zone for tokens.

    Parameters
    ----------
    number : int
        Chosen by the sender; the answer repeats it.
    counts_by_account : dict of str to int
        Tokens asked for, by account; between granters in millionths of a token.
    is_gift : bool
        Whether the granter of another zone asks, for what its nodes need.
    """

    number: int
    counts_by_account: dict[str, int]
    is_gift: bool = False


@frozen
class QuotaGrant:
    """Answers a ``QuotaRequest``.

    Parameters
    ----------
    number : int
        Number of the request.
    fencing_token : int
        Fencing token of the granter's lease; 0 if the sender is no granter.
    counts_by_account : dict of str to int
        Tokens granted, by account, in the unit of the request; at most as many as were
        asked for.
    waits_ms_by_account : dict of str to int
        Time until a further token, for accounts that got fewer, in milliseconds.
    """

    number: int
    fencing_token: int
    counts_by_account: dict[str, int]
    waits_ms_by_account: dict[str, int]


@frozen
class QuotaHolder:
    """Says which host grants the tokens of an availability zone.

    Parameters
    ----------
    zone, host_id : str
        The zone, and the host.
    fencing_token : int
        Rises with each holder of the lease.
    """

    zone: str
    host_id: str
    fencing_token: int


@frozen
class EvacuationUpdate:
    """Availability zones whose workers get no requests; the newest one holds.

    Parameters
    ----------
    store_era, revision : int
        Era of the store, and its revision up to which the zones are complete.
    zones : list of str
        The zones.
    """

    store_era: int
    revision: int
    zones: list[str]


@frozen
class StoreEraNotice:
    """Tells nodes that do not call the store which era it is in.

    Parameters
    ----------
    store_era : int
        Newest era that the sender knows.
    """

    store_era: int


@frozen
class SuspectsCleared:
    """Requests that were suspected of crashing workers, and which one has completed.

    Parameters
    ----------
    fingerprints : list of bytes
        Fingerprints of the requests.
    """

    fingerprints: list[bytes]
