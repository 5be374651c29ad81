"""Requests of callers: how they begin, and their state until the answer."""

from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen

from bamboocove.coordination.placement import HostView
from bamboocove.coordination.repeats import PatienceTable
from bamboocove.coordination.route_table import (
    PrefixTable,
    ShareCounter,
    compile_routes,
    find_route,
)
from bamboocove.coordination.worker_queue import INTERNAL_PRIORITY
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.hops import Reply
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.gate import GateRequest
from bamboocove.state.mesh import HostRoute, MeshConfig
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import get_header, strip_hop_by_hop_headers


@frozen
class Closing:
    """Until when a node that stops takes requests.

    Parameters
    ----------
    refuse_at : float
        From when on requests are refused that may not end in time.
    end_at : float
        When the process ends, in seconds of the local clock.
    """

    refuse_at: float
    end_at: float


NOT_CLOSING = Closing(float("inf"), float("inf"))


@define(eq=False)
class Flow:
    """One request of a caller.

    Parameters
    ----------
    exchange : Exchange
        Request and answer on the caller's side.
    route : HostRoute
        Its route.
    service : str
        Service that it goes to.
    started_at, deadline, target_at : float
        When it came, and when its time and its objective end, in seconds of
        the local clock.
    priority : int
        Rank under load.
    attempt_id : bytes
        Identifier that the caller gave it.
    headers : list
        Fields that are passed on.
    patient_until : float
        How long the caller waits, also beyond the route's time-out.
    """

    exchange: Exchange
    route: HostRoute
    service: str
    started_at: float
    deadline: float
    target_at: float
    priority: int
    attempt_id: bytes
    headers: list[list[bytes]]
    patient_until: float
    body: bytes = b""
    is_new_version: bool = False
    excluded: set[str] = field(factory=set)
    asked: int = 0
    sent: int = 0
    host_id: str = ""
    view: HostView | None = None
    stream: int = 0
    gate_request: GateRequest | None = None
    timer: Any = None
    fingerprint: str = ""
    was_lost: bool = False
    is_ended: bool = False
    held_reply: Reply | None = None
    last_reason: str = ""
    parts: list[bytes] = field(factory=list)


class Intake:
    """Reads requests and routes them.

    Parameters
    ----------
    dialect : Dialect
        Names of header fields.
    is_running : callable
        Whether the worker on this host runs the request of an identifier.

    Attributes
    ----------
    config : MeshConfig
        Configuration in force.
    closing : Closing
        Until when requests are taken.
    """

    def __init__(self, dialect: Dialect, is_running: Callable[[bytes], bool]):
        self._dialect = dialect
        self._is_running = is_running
        self._table: PrefixTable = {}
        self._shares = ShareCounter()
        self._patience = PatienceTable()
        self.config = MeshConfig()
        self.closing = NOT_CLOSING

    def use_config(self, config: MeshConfig) -> ErrorResult | None:
        """Put a configuration in force.

        Returns
        -------
        error : ErrorResult or None
            ``INVALID_CONFIG`` if it cannot be used; the one before stays.
        """
        table = compile_routes(config)
        if isinstance(table, ErrorResult):
            return table
        self.config = config
        self._table = table
        return None

    def begin(self, exchange: Exchange, now: float) -> Flow | ErrorResult:
        """Return the flow of a request, or why it is refused at once."""
        if not self.config.version:
            return ErrorResult(ErrorKind.NOT_READY, "no configuration yet")
        closing = self.closing
        if closing is not NOT_CLOSING:
            exchange.is_keep_alive = False
        headers = exchange.headers
        host = get_header(headers, b"host") or b""
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        route = find_route(self._table, host.decode("latin-1"), path)
        if route is None:
            return ErrorResult(ErrorKind.NO_ROUTE, f"no route for {host!r} {path}")
        patience_s = route.timeout_s
        waited_s = 0.0
        value = get_header(headers, self._dialect.time_left_ms)
        if value is not None:
            if not value.isdigit() or len(value) > 9:
                reason = "the time left is not a number of milliseconds"
                return ErrorResult(ErrorKind.BAD_REQUEST, reason)
            patience_s = int(value) / 1000
            waited_s = self._patience.get_waited(route.name, patience_s)
        left_s = min(route.timeout_s, patience_s)
        if now > closing.refuse_at and now + left_s > closing.end_at:
            # Callers may go on for seconds after they were told that this node
            # is not ready; what cannot end in time is not begun.
            return ErrorResult(ErrorKind.DRAINING, "the node is stopping")
        attempt_id = get_header(headers, self._dialect.attempt_id) or b""
        is_internal = self._is_running(self._dialect.get_parent(attempt_id))
        return Flow(
            exchange,
            route,
            self._shares.pick(route),
            now,
            now + left_s,
            now + route.target_s - waited_s,
            INTERNAL_PRIORITY if is_internal else route.priority,
            attempt_id,
            self._strip(headers),
            now + patience_s,
        )

    def _strip(self, headers: list) -> list[list[bytes]]:
        dialect = self._dialect
        own = (dialect.time_left_ms, dialect.worker_id, dialect.caller_service)
        return [
            list(item)
            for item in strip_hop_by_hop_headers(headers)
            if item[0] not in own
        ]
