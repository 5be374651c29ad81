"""Messages between nodes: gossip, configuration distribution and evidence.

Each message is encoded as CBOR.
"""

from typing import get_args

import cbor2
from attrs import frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.codec import from_plain, to_plain
from bamboocove.state.config import Config, Delta, encode_config
from bamboocove.state.evidence import BrakeReport, Evidence
from bamboocove.state.members import Member

# Base revision in a request for a whole configuration, for instance after a
# delta whose result did not have the expected digest.
NO_BASE = -1


@frozen
class Hello:
    """First message on a link, in both directions.

    Parameters
    ----------
    member : Member
        Record of the sender.
    revision : int
        Revision active at the sender; 0 while it has none.
    revision_seen_of_you : int
        Highest revision that the sender has seen active at the receiver, from
        which a restarted node derives its floor; 0 if it has seen none.
    purpose : {"peer", "evidence"}
        Purpose of the link. A link for evidence carries neither heartbeats nor
        gossip, so their cost to the coordinator does not grow with the number
        of nodes that send it evidence.
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
        Revision active at the sender; also acknowledges that revision.
    store_age_s : float
        Seconds since the store was last read, by the sender or by a node that
        reported it to the sender; negative if never.
    members_digest : int
        Checksum of the sender's member table, by which lost records are
        detected.
    """

    revision: int
    store_age_s: float
    members_digest: int


@frozen
class MemberUpdate:
    """Member records that are new or have changed."""

    members: tuple[Member, ...]


@frozen
class MemberDigests:
    """Checksums of each bucket of the sender's member table.

    Sent when the checksums of the whole tables differ.
    """

    digests: tuple[int, ...]


@frozen
class MemberAges:
    """Sort keys of the records in the buckets whose checksums differ.

    Parameters
    ----------
    ages_by_id : dict of str to (int, int, int)
        ``Member.age_key`` of each record in these buckets.
    buckets : tuple of int
        The buckets, including those in which the sender has no record.
    """

    ages_by_id: dict[str, tuple[int, int, int]]
    buckets: tuple[int, ...] = ()


@frozen
class ConfigOffer:
    """Announces that the sender has a newer revision."""

    revision: int
    digest: bytes


@frozen
class ConfigRequest:
    """Requests the newest configuration, as deltas from a base if possible.

    Parameters
    ----------
    base_revision : int
        Revision active at the sender, or ``NO_BASE`` for a whole
        configuration.
    """

    base_revision: int


@frozen
class ConfigDeltas:
    """Consecutive deltas, starting at the requested base revision."""

    deltas: tuple[Delta, ...]


@frozen
class ConfigFull:
    """A whole configuration, sent if no deltas from the requested base exist."""

    config: Config


@frozen
class ConfigNack:
    """Reports that the sender rejected a revision and keeps its snapshot."""

    revision: int
    reason: str


@frozen
class EvidenceReport:
    """Outcome counts of calls to services that are being moved.

    Parameters
    ----------
    evidence : tuple of Evidence
        Outcomes of completed time windows.
    brakes : tuple of BrakeReport
        Local brakes that are set; repeated in each report, because a report
        may be lost.
    """

    evidence: tuple[Evidence, ...]
    brakes: tuple[BrakeReport, ...] = ()


@frozen
class CoordinatorNotice:
    """Announces the holder of the coordinator lease.

    Parameters
    ----------
    node_id, host : str
        Identifier and IP address of the holder.
    peer_port : int
        Port of the holder to which evidence is sent.
    token : int
        Fencing token; a notice with a lower token is ignored.
    """

    node_id: str
    host: str
    peer_port: int
    token: int


@frozen
class SuspectNotice:
    """Reports a request that was in flight on a worker when it crashed.

    Parameters
    ----------
    fingerprint : str
        Identifies the request.
    service : str
        Service that the request was sent to.
    ttl_s : float
        Time for which the request is refused, in seconds.
    crashes : int
        Number of workers known to have crashed while running the request.
    """

    fingerprint: str
    service: str
    ttl_s: float
    crashes: int = 1


@frozen
class Goodbye:
    """Announces that the sender closes the link.

    Parameters
    ----------
    retry_after_s : float
        Minimum delay before the receiver reconnects, in seconds.
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
        # An array of two: the name, and a map of one key to the configuration,
        # whose cached encoding is reused.
        name, key = cbor2.dumps("ConfigFull"), cbor2.dumps("config")
        return b"\x82" + name + b"\xa1" + key + encode_config(message.config)
    return cbor2.dumps([type(message).__name__, to_plain(message)])


def decode_message(data: bytes) -> Message | ErrorResult:
    """Decode a message.

    Returns
    -------
    message : Message or ErrorResult
        ``INVALID_MESSAGE`` if the bytes are not one of these messages.
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
