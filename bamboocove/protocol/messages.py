"""Messages between nodes and their CBOR encoding."""

from typing import get_args

import cbor2
from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.config import Config, Delta
from bamboocove.state.evidence import BrakeReport, Evidence
from bamboocove.state.members import Member


@frozen
class Hello:
    """First message on a link, in both directions.

    Parameters
    ----------
    member : Member
        The sender.
    revision : int
        Revision in force at the sender; 0 while it has none.
    revision_seen_of_you : int
        Highest revision that the sender knows the receiver to have had in
        force, which gives a restarted node its floor; 0 if it knows none.
    """

    member: Member
    revision: int
    revision_seen_of_you: int = 0


@frozen
class Heartbeat:
    """Sent on every link at a fixed interval.

    Parameters
    ----------
    revision : int
        Revision in force at the sender, which also acknowledges it.
    store_age_s : float
        Seconds since the store was read, by this node or by one that told it;
        negative if never.
    members_digest : int
        Checksum of the sender's member table, to find lost records.
    """

    revision: int
    store_age_s: float
    members_digest: int


@frozen
class MemberUpdate:
    """New member records."""

    members: tuple[Member, ...]


@frozen
class MemberAges:
    """Ages of all records of the sender's table, after a digest differed.

    Parameters
    ----------
    ages_by_id : dict of str to (int, int, int)
        ``Member.age_key`` of each record.
    """

    ages_by_id: dict[str, tuple[int, int, int]]


@frozen
class ConfigOffer:
    """The sender has a newer revision."""

    revision: int
    digest: bytes


@frozen
class ConfigRequest:
    """Asks for the newest configuration, as a delta from a base if possible."""

    base_revision: int


@frozen
class ConfigDeltas:
    """Deltas in order, from the base that was asked for."""

    deltas: tuple[Delta, ...]


@frozen
class ConfigFull:
    """A whole configuration, sent when deltas do not reach back far enough."""

    config: Config


@frozen
class ConfigNack:
    """The sender refused a revision and keeps its snapshot."""

    revision: int
    reason: str


@frozen
class EvidenceReport:
    """Outcome counts of calls to services in a move.

    Parameters
    ----------
    evidence : tuple of Evidence
        Finished windows.
    brakes : tuple of BrakeReport
        Local brakes that are set; repeated in each report, as a report may be
        lost.
    """

    evidence: tuple[Evidence, ...]
    brakes: tuple[BrakeReport, ...] = ()


@frozen
class CoordinatorNotice:
    """Who holds the coordinator lease.

    Parameters
    ----------
    node_id, host : str
        The holder and its IP number.
    peer_port : int
        Where evidence is sent.
    token : int
        Fencing token; a notice with a lower token is ignored.
    """

    node_id: str
    host: str
    peer_port: int
    token: int


@frozen
class SuspectNotice:
    """A request was in flight on a worker that crashed.

    Parameters
    ----------
    fingerprint : str
        Identifies the request.
    service : str
        Service that it was sent to.
    ttl_s : float
        Seconds for which it is refused.
    crashes : int
        Workers known to have been lost to it.
    """

    fingerprint: str
    service: str
    ttl_s: float
    crashes: int = 1


@frozen
class Goodbye:
    """The sender closes the link.

    Parameters
    ----------
    retry_after_s : float
        Least delay before the receiver connects again.
    """

    retry_after_s: float


Message = (
    Hello
    | Heartbeat
    | MemberUpdate
    | MemberAges
    | ConfigOffer
    | ConfigRequest
    | ConfigDeltas
    | ConfigFull
    | ConfigNack
    | EvidenceReport
    | CoordinatorNotice
    | SuspectNotice
    | Goodbye
)

_TYPES_BY_NAME = {cls.__name__: cls for cls in get_args(Message)}


def encode_message(message: Message) -> bytes:
    """Encode a message as a CBOR array of its type name and fields."""
    return cbor2.dumps([type(message).__name__, to_plain(message)])


def decode_message(data: bytes) -> Message | ErrorResult:
    """Decode a message.

    Returns
    -------
    message : Message or ErrorResult
        ``INVALID_MESSAGE`` if the bytes are no message of this list.
    """
    try:
        name, fields = cbor2.loads(data)
        cls = _TYPES_BY_NAME[name]
    except (cbor2.CBORDecodeError, ValueError, TypeError, KeyError) as error:
        return ErrorResult(ErrorKind.INVALID_MESSAGE, f"not a message: {error}")
    return from_plain(cls, fields)
