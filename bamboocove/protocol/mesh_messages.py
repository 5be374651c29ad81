"""Messages between the nodes of a mesh: forwarded requests and shared state.

A message is a CBOR array of its type number and its field values. It has no
field names, which keeps it short: each request and its response cross a
link between availability zones.
"""

from typing import Any

import cbor2
from attrs import fields, frozen

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.control_messages import (
    ClockQuery,
    ClockReply,
    ConfigProof,
    EvacuationUpdate,
    QuotaGrant,
    QuotaHolder,
    QuotaRequest,
    StoreEraNotice,
    SuspectsCleared,
)

Headers = list[list[bytes]]

# Maximum size of the body of a request or a response. A message on a link holds
# at most 4 MiB, of which 128 KiB are reserved for the other fields.
MAX_FORWARDED_BODY_BYTES = 4 * 1024 * 1024 - 128 * 1024


@frozen
class Greeting:
    """First message on a link, sent by both sides; identifies the sender."""

    host_id: str
    incarnation: int


@frozen
class HostRecords:
    """Host records known to the sender, encoded by ``bamboocove.state.codec``."""

    records: list[Any]


@frozen
class StateOffer:
    """Summary of the sender's state, by which the receiver detects missing parts.

    A receiver that lacks something answers with ``StateRequest``.

    Parameters
    ----------
    config_version : int
        Version of the sender's configuration.
    rules_digest : int
        Checksum of the sender's version rules.
    reading_zone : str
        Availability zone for which the sender reads the store; empty if it does
        not, or if the store does not respond.
    """

    config_version: int
    rules_digest: int
    reading_zone: str = ""


@frozen
class StateRequest:
    """Asks the receiver for its state.

    Parameters
    ----------
    config_version : int
        Version of the sender's configuration; 0 to also request the host
        records.
    """

    config_version: int


@frozen
class ConfigCopy:
    """The whole configuration, encoded by ``bamboocove.state.codec``, compressed."""

    version: int
    data: bytes


@frozen
class ConfigDelta:
    """Difference to a new configuration.

    Parameters
    ----------
    version : int
        Version of the new configuration.
    data : bytes
        The difference, encoded by ``bamboocove.state.codec``, compressed.
    relay_ids : list of str
        Hosts to which the receiver relays it.
    """

    version: int
    data: bytes
    relay_ids: list[str]


@frozen
class Forward:
    """A request, forwarded to the worker on the receiver's host.

    Parameters
    ----------
    stream : int
        Identifier of the request on this link.
    route, service, version : str
        Route of the request, and the service and version that the worker must
        run.
    left_ms, target_left_ms : int
        Time until the deadline of the request, and until its latency objective
        is missed, in milliseconds.
    priority : int
        Priority under load; 0 is the most urgent.
    is_idempotent : bool
        Whether the request may safely run more than once. Other requests are
        not aborted after dispatch when their caller disconnects.
    caller : str
        Service on the host where the request originated.
    method, target : bytes
        Method and target of the request line.
    headers : list
        Header fields as pairs of name and value; names in lower case.
    body : bytes
        Complete body.
    """

    stream: int
    route: str
    service: str
    version: str
    left_ms: int
    target_left_ms: int
    priority: int
    is_idempotent: bool
    caller: str
    method: bytes
    target: bytes
    headers: Headers
    body: bytes


@frozen
class Cancel:
    """Cancels a request, because its caller has disconnected."""

    stream: int


@frozen
class Reply:
    """Outcome of a forwarded request.

    Parameters
    ----------
    stream : int
        Identifier of the request on this link.
    outcome : int
        One of the outcome constants below.
    status : int
        Status code of the worker's response; 0 without one.
    headers : list
        Header fields of the response.
    body : bytes
        Complete body of the response, or the reason of a refusal.
    service_ms : int
        Processing time of the worker in milliseconds.
    load : list of int
        Load of the worker: running requests, slots, failures in thousandths,
        then the waiting time of each priority in ms.
    """

    stream: int
    outcome: int
    status: int
    headers: Headers
    body: bytes
    service_ms: int
    load: list[int]


# Header field of a ``Forward`` that was handed back once, and which is not to be handed
# back again. It never reaches a worker. It is no message field, since nodes of an
# earlier release would drop the message.
PLACED_AGAIN_FIELD = b"bamboocove-placed-again"
# Header field of a ``Forward`` with the rate of client errors that the caller's node
# expects, from 0 to 1.
EXPECTED_ERRORS_FIELD = b"bamboocove-expected-errors"
# Header fields that nodes add for each other, and that reach no worker.
INTERNAL_FIELDS = (PLACED_AGAIN_FIELD, EXPECTED_ERRORS_FIELD)

# The worker responded.
ANSWERED = 0
# The node refused the request, which never reached the worker.
REFUSED = 1
# The worker responded that it did not run the request.
SHED = 2
# The request reached the worker, but it is unknown whether it ran.
LOST = 3
# The request was still running at its deadline.
TIMED_OUT = 4
# The request was lost because the worker that ran it crashed.
CRASHED = 6
# The node refused the request, because its worker is not the one that the
# sender expects.
WRONG_WORKER = 5


@frozen
class Ping:
    """Checks that a link is alive; answered with ``Pong``."""

    number: int


@frozen
class Pong:
    """Answers a ``Ping`` with the same number."""

    number: int


@frozen
class OutcomeReport:
    """Cumulative request outcomes of one version since a move began.

    Parameters
    ----------
    source_id : str
        Host whose worker had the outcomes, or availability zone of which they are
        the sum.
    incarnation : int
        Incarnation of that host's node; the counts restart with each. 0 for a zone.
    service, version : str
        Service and version of the workers.
    order_revision : int
        Revision of the move order that the counts belong to.
    tallies : list
        For each route: its name, calls, failed calls, total time in ms, latency
        histogram buckets, outliers, and server errors. The last is left out if
        unknown.
    """

    source_id: str
    incarnation: int
    service: str
    version: str
    order_revision: int
    tallies: list[Any]


@frozen
class RulesUpdate:
    """Version rules and move orders known to the sender.

    They are encoded by ``bamboocove.state.codec``.

    Parameters
    ----------
    rules : list
        Rules, each with a flag that tells whether it is in the store.
    orders : list
        Move orders that the rules refer to.
    """

    rules: list[Any]
    orders: list[Any]


@frozen
class RelayedMessage:
    """An encoded message that the receiver relays to all nodes of its zone."""

    data: bytes


@frozen
class OutcomeBatch:
    """Outcome reports of a host, or of an availability zone.

    Parameters
    ----------
    items : list
        Field values of ``OutcomeReport``, one list for each report.
    is_sign : bool
        Whether the receiver collects the reports of a host, to send their sums over
        all hosts of the zone.
    has_outliers : bool
        Always true. Releases that do not expect outliers discard a message that
        has this field.
    has_errors : bool
        The same for the count of server errors.
    """

    items: list[list[Any]]
    is_sign: bool = False
    has_outliers: bool = True
    has_errors: bool = True


@frozen
class LoadUpdate:
    """Load of the workers of one or more hosts.

    Parameters
    ----------
    loads_by_id : dict
        Load by host identifier, in the form of ``Reply.load``.
    is_sign : bool
        Whether the receiver collects the loads and relays them, together with
        those of other hosts.
    """

    loads_by_id: dict[str, list[int]]
    is_sign: bool = False


@frozen
class SuspectReport:
    """Asks the receiver to probe a host that does not respond to the sender."""

    host_id: str


@frozen
class HostsOffer:
    """Checksum of the sender's host records, sent by readers of the store."""

    digest: int


@frozen
class HostsRequest:
    """Asks the receiver for host records that are newer than those of the sender.

    Parameters
    ----------
    versions : dict
        Incarnation and sequence of the sender's records, by host.
    only_listed : bool
        Whether the sender asks for these hosts only. Otherwise the receiver also asks
        for the records of which the sender has newer ones.
    """

    versions: dict[str, list[int]]
    only_listed: bool


@frozen
class BodyOffer:
    """Asks for permission to forward a request with a large body.

    The answer is a ``BodyGrant``, after which the sender sends the ``Forward`` with
    the same stream, or a ``Reply`` that refuses the request.

    Parameters
    ----------
    stream : int
        Identifier of the request on this link.
    route, service, version, left_ms, target_left_ms, priority
        As in ``Forward``.
    size : int
        Size of the body in bytes.
    attempt_id : bytes
        Identifier of the attempt, for logs.
    """

    stream: int
    route: str
    service: str
    version: str
    left_ms: int
    target_left_ms: int
    priority: int
    size: int
    attempt_id: bytes


@frozen
class BodyGrant:
    """Permits the sender of an offer to send the request or the reply with its body."""

    stream: int


@frozen
class CrashNotice:
    """Requests that a worker ran when it crashed.

    Parameters
    ----------
    host_id : str
        Host of the worker.
    fingerprints_by_caller : dict of str to list of bytes
        Fingerprints of the requests, by the service of their callers.
    """

    host_id: str
    fingerprints_by_caller: dict[str, list[bytes]]


@frozen
class ReplyTerms:
    """First message on a link after the greeting, sent by the side that dialled.

    Tells that it takes offers of large replies. Nodes of earlier releases neither send
    nor understand it, and get each reply as one message.
    """


@frozen
class ReplyOffer:
    """Asks for permission to send a reply with a large body.

    The answer is a ``BodyGrant``, after which all of the body but its last part follows
    in ``ReplyPart`` messages, and the last one in the ``Reply``; or a ``Cancel``.

    Parameters
    ----------
    stream : int
        Identifier of the request on this link.
    size : int
        Size of the body in bytes.
    """

    stream: int
    size: int


@frozen
class ReplyPart:
    """The next part of the body of a reply that was offered."""

    stream: int
    data: bytes


# The index of a type is its number on the wire; new types are added at the end.
_MESSAGE_TYPES = (
    Greeting,
    HostRecords,
    StateOffer,
    StateRequest,
    ConfigCopy,
    Forward,
    Cancel,
    Reply,
    Ping,
    Pong,
    OutcomeReport,
    RulesUpdate,
    ConfigDelta,
    RelayedMessage,
    LoadUpdate,
    SuspectReport,
    OutcomeBatch,
    HostsOffer,
    HostsRequest,
    BodyOffer,
    BodyGrant,
    CrashNotice,
    ReplyTerms,
    ReplyOffer,
    ReplyPart,
    ConfigProof,
    ClockQuery,
    ClockReply,
    QuotaRequest,
    QuotaGrant,
    QuotaHolder,
    EvacuationUpdate,
    StoreEraNotice,
    SuspectsCleared,
)
_FIELD_NAMES_BY_TYPE = {
    cls: tuple(f.name for f in fields(cls)) for cls in _MESSAGE_TYPES
}
_NUMBERS_BY_TYPE = {cls: number for number, cls in enumerate(_MESSAGE_TYPES)}


def encode_mesh_message(message: Any) -> bytes:
    """Encode a message as a CBOR array of its type number and field values.

    Examples
    --------
    >>> decode_mesh_message(encode_mesh_message(Ping(7)))
    Ping(number=7)
    """
    cls = type(message)
    values = [getattr(message, name) for name in _FIELD_NAMES_BY_TYPE[cls]]
    return cbor2.dumps([_NUMBERS_BY_TYPE[cls], *values])


def decode_mesh_message(data: bytes) -> Any:
    """Decode a message.

    Returns
    -------
    message : object or ErrorResult
        ``INVALID_MESSAGE`` if the bytes are not one of these messages.
    """
    try:
        number, *values = cbor2.loads(data)
        return _MESSAGE_TYPES[number](*values)
    except (
        cbor2.CBORDecodeError,
        ValueError,
        TypeError,
        IndexError,
        RecursionError,
    ) as error:
        return ErrorResult(ErrorKind.INVALID_MESSAGE, f"not a message: {error}")
