"""Sends requests to the worker on this host."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve, field

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.fingerprints import FINGERPRINT_BODY_BYTES
from bamboocove.protocol.mesh_messages import MAX_FORWARDED_BODY_BYTES
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.inbound_request import (
    InboundRequest,
    attribute_response,
    format_worker_request,
)
from bamboocove.sidecar.settings import Address
from bamboocove.state.mesh import MeshWorker
from bamboocove.transport.clients import ClientConnection, ConnectionPool
from bamboocove.transport.fetching import enable_keepalive
from bamboocove.transport.framing import get_header
from bamboocove.transport.sending import count_unsent

# Workers close idle connections after some seconds, sometimes much sooner, and a
# request that is sent at that moment is lost. A request that must not run twice
# therefore only reuses a connection that has hardly been idle.
MAX_IDLE_S = 3.0
NON_IDEMPOTENT_MAX_IDLE_S = 0.15
# Workers end a request at its deadline themselves; allows for the delivery of
# that response.
DEADLINE_GRACE_S = 0.04


@define(eq=False, slots=False)
class WorkerSender:
    """Connects to the worker and sends it the requests that the queue has started.

    Parameters
    ----------
    address : (str, int)
        Address on which the worker accepts requests.
    dialect : Dialect
        Names of header fields and paths.
    clock : reactor
        Source of time.
    pool : ConnectionPool
        Connections to the worker.
    budget : ByteBudget
        Bodies that this node holds.
    get_worker : callable
        Returns the last known state of the worker.
    on_deadline : callable
        Called with a request at its deadline.
    on_unreachable : callable
        Called with a request and a reason if no connection was made.
    attempt : callable
        Called with a request, a step and its further arguments; takes the step, and
        ends the request if the step raises an exception.
    running_ids : set of bytes
        Attempt identifiers of the requests that were sent and have not ended.
    """

    address: Address
    dialect: Dialect
    clock: Any
    pool: ConnectionPool
    budget: ByteBudget
    get_worker: Callable[[], MeshWorker | None]
    on_deadline: Callable[[InboundRequest], None]
    on_unreachable: Callable[[InboundRequest, str], None]
    attempt: Callable[..., None]
    running_ids: set[bytes] = field(factory=set)

    def connect(self, request: InboundRequest) -> None:
        """Send a request on a connection of the pool or on a new one."""
        left_s = request.deadline - self.clock.seconds() + DEADLINE_GRACE_S
        request.timer = self.clock.callLater(left_s, self.on_deadline, request)
        max_idle_s = (
            MAX_IDLE_S if request.forward.is_idempotent else NON_IDEMPOTENT_MAX_IDLE_S
        )
        connection = self.pool.take(self.address, max_idle_s)
        if connection is not None:
            self._send(request, connection)
            return
        request.connector = self.pool.connect(
            self.address,
            lambda connection: self.attempt(request, self._on_connected, connection),
            lambda reason: self._on_unreachable(request, reason),
        )

    def _on_connected(
        self, request: InboundRequest, connection: ClientConnection
    ) -> None:
        # TCP keepalive detects that an idle connection has died before the
        # connection is reused.
        enable_keepalive(connection.transport)
        self._send(request, connection)

    def _on_unreachable(self, request: InboundRequest, reason: str) -> None:
        request.connector = None
        if not request.is_ended:
            self.on_unreachable(request, reason)

    def _send(self, request: InboundRequest, connection: ClientConnection) -> None:
        request.connector = None
        if request.is_ended:
            connection.abort()
            return
        now = self.clock.seconds()
        forward = request.forward
        request.connection = connection
        request.worker = worker = self.get_worker()
        request.is_sent = True
        request.entry.started_at = now
        attempt_id = get_header(forward.headers, self.dialect.attempt_id)
        request.attempt_id = attempt_id or b""
        self.running_ids.add(request.attempt_id)
        connection.send(
            format_worker_request(request, self.dialect, worker.worker_id, now),
            forward.method == b"HEAD",
            True,
            request,
            lambda held: self.pool.put(self.address, held),
            lambda status, headers, is_first: attribute_response(
                status, headers, is_first, self.dialect, attempt_id
            ),
            MAX_FORWARDED_BODY_BYTES,
        )
        if len(forward.body) > FINGERPRINT_BODY_BYTES:
            # What identifies the request if it crashes the worker.
            start = bytes(forward.body[:FINGERPRINT_BODY_BYTES])
            request.forward = evolve(forward, body=start)
        self.release_written_body(request)

    def release_written_body(self, request: InboundRequest) -> None:
        """Release the bytes of a body that the kernel has taken."""
        connection = request.connection
        if connection is not None and not count_unsent(connection.transport):
            self.release_body(request)

    def release_body(self, request: InboundRequest) -> None:
        """Release the bytes of a body that is no longer needed."""
        if request.held_bytes:
            self.budget.release(request.held_bytes)
            request.held_bytes = 0
