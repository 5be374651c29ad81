"""Messages between nodes and their CBOR encoding."""

from typing import get_args

import cbor2
from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.config import Config, Delta, encode_config
from bamboocove.state.evidence import BrakeReport, Evidence
from bamboocove.state.members import Member

# Base of a request for a whole configuration, for instance after the digest
# that a delta names did not match.
NO_BASE = -1


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
    purpose : {"peer", "evidence"}
        What the link is for; one for evidence carries neither heartbeats nor
        gossip, so that the coordinator's cost does not grow with its senders.
    """

    member: Member
    revision: int
    revision_seen_of_you: int = 0
    purpose: str = "peer"


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
class MemberDigests:
    """Checksums of the sender's member table by bucket, after it differed."""

    digests: tuple[int, ...]


@frozen
class MemberAges:
    """Ages of the records in the buckets that differed.

    Parameters
    ----------
    ages_by_id : dict of str to (int, int, int)
        ``Member.age_key`` of each record of these buckets.
    buckets : tuple of int
        The buckets, also those in which the sender holds no record.
    """

    ages_by_id: dict[str, tuple[int, int, int]]
    buckets: tuple[int, ...] = ()


@frozen
class ConfigOffer:
    """The sender has a newer revision."""

    revision: int
    digest: bytes


@frozen
class ConfigRequest:
    """Asks for the newest configuration, as deltas from a base if possible.

    Parameters
    ----------
    base_revision : int
        Revision in force at the sender, or ``NO_BASE`` for a whole
        configuration.
    """

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
    | MemberDigests
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
    if type(message) is ConfigFull:
        # Head of an array of two, name, head of a map of one, key, value.
        name, key = cbor2.dumps("ConfigFull"), cbor2.dumps("config")
        return b"\x82" + name + b"\xa1" + key + encode_config(message.config)
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
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        KeyError,
        RecursionError,
    ) as error:
        return ErrorResult(ErrorKind.INVALID_MESSAGE, f"not a message: {error}")
    return from_plain(cls, fields)
