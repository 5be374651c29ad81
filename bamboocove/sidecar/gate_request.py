"""One request between the node and the worker on its host."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.coordination.worker_queue import WaitingRequest
from bamboocove.protocol.mesh_messages import Forward, Reply
from bamboocove.sidecar.dialect import Dialect
from bamboocove.transport.clients import ClientConnection
from bamboocove.transport.framing import Headers, format_fields, get_header

FIRST_ERROR_STATUS = 400


@define(eq=False)
class GateRequest:
    """One request at the gate.

    Parameters
    ----------
    gate : Gate
        Owner.
    forward : Forward
        The request.
    reply : callable
        Takes the Reply, once.
    deadline : float
        When its time ends, in seconds of the local clock.
    """

    gate: Any
    forward: Forward
    reply: Callable[[Reply], None]
    deadline: float
    entry: WaitingRequest | None = None
    connection: ClientConnection | None = None
    connector: Any = None
    timer: Any = None
    attempt_id: bytes = b""
    is_sent: bool = False
    is_ended: bool = False
    status: int = 0
    headers: Headers = field(factory=list)
    parts: list[bytes] = field(factory=list)

    def on_response(self, status: int, headers: Headers, length: int | None) -> None:
        """Take the head of the worker's answer."""
        self.status = status
        self.headers = headers

    def on_response_data(self, data: bytes) -> None:
        """Take a part of the body."""
        self.parts.append(data)

    def on_response_end(self, data: bytes) -> None:
        """Take the last part of the body."""
        self.connection = None
        self.parts.append(data)
        self.gate.on_answer(self)

    def on_response_lost(self, reason: str) -> None:
        """Take note that there is no whole answer."""
        self.connection = None
        self.gate.on_lost(self, reason)


def format_worker_request(
    request: GateRequest, dialect: Dialect, worker_id: str, now: float
) -> bytes:
    """Return a request as the worker gets it, with its body."""
    forward = request.forward
    left_ms = max(1, int((request.deadline - now) * 1000))
    length = b""
    if forward.body or forward.method in (b"POST", b"PUT", b"PATCH"):
        length = b"content-length: %d\r\n" % len(forward.body)
    return b"%b %b HTTP/1.1\r\n%b%b%b: %d\r\n%b: %b\r\n%b: %b\r\n\r\n%b" % (
        forward.method,
        forward.target,
        format_fields(forward.headers),
        length,
        dialect.time_left_ms,
        left_ms,
        dialect.worker_id,
        worker_id.encode(),
        dialect.caller_service,
        forward.caller.encode(),
        forward.body,
    )


def is_own_answer(
    status: int, headers: Headers, dialect: Dialect, attempt_id: bytes | None
) -> bool:
    """Return whether an answer is the one to an attempt.

    A worker repeats the identifier in each answer to a request that it ran;
    refusals may come without one.
    """
    answered = get_header(headers, dialect.attempt_id)
    if answered is None:
        return status >= FIRST_ERROR_STATUS
    return attempt_id is None or answered == attempt_id
