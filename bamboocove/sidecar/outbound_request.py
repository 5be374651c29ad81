"""Requests of callers on this host: routing and per-request state."""

from collections.abc import Callable
from typing import Any

from attrs import define, field

from bamboocove.coordination.accounts import AccountTable
from bamboocove.coordination.drain_window import NOT_DRAINING, SlowestResponses
from bamboocove.coordination.fingerprints import digest_body, make_fingerprint
from bamboocove.coordination.placement import HostView
from bamboocove.coordination.request_bodies import RequestBody
from bamboocove.coordination.retry_limits import CallerWaitEstimator
from bamboocove.coordination.route_table import (
    PrefixTable,
    WeightedRoundRobin,
    compile_routes,
    find_route,
)
from bamboocove.coordination.worker_queue import INTERNAL_PRIORITY
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.mesh_messages import INTERNAL_FIELDS, Reply
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.logs import log
from bamboocove.state.mesh import ClientAccount, HostRoute, MeshConfig
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import Headers, get_header, strip_hop_by_hop_headers

# The worker's node reports a time-out at the deadline; a node waits this much longer
# for that reply, in seconds.
DEADLINE_GRACE_S = 0.12
# Time after the first configuration at which a node reports ready even if some
# service has no reachable worker.
READINESS_TIMEOUT_S = 1.5


@define(eq=False)
class OutboundRequest:
    """A request of a caller and the state of its attempts.

    Parameters
    ----------
    exchange : Exchange
        HTTP request and response on the caller's connection.
    route : HostRoute
        Route that the request matched.
    service : str
        Destination service.
    started_at, deadline, target_at : float
        Arrival, deadline and time by which the latency objective asks for the
        response, in seconds of the local clock.
    priority : int
        Priority under load; lower values go first.
    attempt_id : bytes
        Identifier of the attempt, set by the caller.
    headers : list
        Header fields to forward.
    caller_deadline : float
        Time until which the caller waits, which may be after the time-out of the
        route.
    account : ClientAccount or None
        Account whose key the request carries; None if it needs none.
    received_at, passed_at : float
        When the whole request was received and when it was last passed to a host, in
        seconds of the local clock; None if it was not.
    is_new_version : bool
        Whether the first attempt goes to the new version of a service in a move.
    excluded_host_ids : set of str
        Hosts that refused or failed the request.
    hosts_tried : int
        Hosts that the current attempt was offered to, see ``MAX_HOSTS_TRIED``.
    sent : int
        Workers that the request was sent to.
    host_id, view
        Host that the request was last sent to.
    attempt : Attempt or None
        The request at that host while it has not answered.
    earlier_attempt : Attempt or None
        The request at a host that fell silent. If that host answers first, after
        all, its answer counts.
    may_have_run : bool
        Whether a worker may have run the request without a response arriving.
    stays_in_zone : bool
        Whether workers of the own zone go first, whatever they cost, because a host of
        another zone was lost or fell silent. All links to that zone may be lost soon.
    fallback_reply : Reply or None
        Error response of a worker, delivered if no retry succeeds.
    last_reason : str
        Reason of the latest refusal.
    may_return_soon : bool
        Whether the latest refusal came from a worker with free slots.
    token_expires_at : float or None
        Expiry of the token that the request took from the quota of its account, in
        seconds of CLOCK_BOOTTIME; None if it took none.
    received_body : RequestBody or None
        The body, if the request has one, and the room that it holds.
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
    caller_deadline: float
    account: ClientAccount | None = None
    received_at: float | None = None
    passed_at: float | None = None
    is_new_version: bool = False
    excluded_host_ids: set[str] = field(factory=set)
    hosts_tried: int = 0
    sent: int = 0
    host_id: str = ""
    view: HostView | None = None
    attempt: Any = None
    earlier_attempt: Any = None
    timer: Any = None
    fingerprint: str = ""
    may_have_run: bool = False
    stays_in_zone: bool = False
    is_ended: bool = False
    fallback_reply: Reply | None = None
    last_reason: str = ""
    may_return_soon: bool = False
    token_expires_at: float | None = None
    received_body: RequestBody | None = None

    @property
    def body(self) -> bytes | bytearray:
        """The body, as far as it has arrived."""
        return b"" if self.received_body is None else self.received_body.data

    def get_age(self, now: float | None) -> float | None:
        """Return the time since the request arrived, in seconds; None for None."""
        return None if now is None else round(now - self.started_at, 4)


def identify_request(request: OutboundRequest, caller_service: str) -> str:
    """Return the fingerprint of a request, which equal requests share."""
    exchange = request.exchange
    body_digest = digest_body(request.body)
    return make_fingerprint(
        (caller_service, exchange.method, exchange.target, body_digest)
    )


def log_repeated(request: OutboundRequest, host_id: str, **reason: Any) -> None:
    """Log that a request is sent to a further host."""
    log("request.repeated", id=request.attempt_id, host=host_id, **reason)


def log_open_at_stop(request: OutboundRequest, is_sent: bool, now: float) -> None:
    """Log a request that has no answer when the node stops."""
    log(
        "request.open-at-stop",
        id=request.attempt_id,
        host=request.host_id,
        is_sent=is_sent,
        held_s=round(now - request.started_at, 3),
        left_s=round(request.deadline - now, 3),
    )


class RequestRouter:
    """Validates requests of callers and selects their route and service.

    Parameters
    ----------
    dialect : Dialect
        Names of header fields and paths.
    is_running : callable
        Takes an attempt identifier; returns whether the worker on this host is
        running that request.
    random : callable
        Returns a float from 0 to 1.

    Attributes
    ----------
    config : MeshConfig
        Configuration in force.
    configured_at : float
        When the first one came into force, in seconds of the local clock.
    drain_window : DrainWindow
        Bounds on new requests while the node drains; else ``NOT_DRAINING``.
    slowest : SlowestResponses
        Time until the responses of each route, from when the request was received.
    """

    def __init__(
        self,
        dialect: Dialect,
        is_running: Callable[[bytes], bool],
        random: Callable[[], float],
    ):
        self._dialect = dialect
        self._is_running = is_running
        # Set by a node itself, whatever a caller sends, or not forwarded at all.
        self._replaced_fields = (
            dialect.time_left_ms,
            dialect.worker_id,
            dialect.caller_service,
            dialect.key,
            dialect.account,
            *INTERNAL_FIELDS,
        )
        self._table: PrefixTable = {}
        self._accounts = AccountTable()
        self._shares = WeightedRoundRobin(random)
        self._caller_waits = CallerWaitEstimator()
        self.config = MeshConfig()
        self.configured_at = 0.0
        self.drain_window = NOT_DRAINING
        self.slowest = SlowestResponses()

    def use_config(self, config: MeshConfig) -> ErrorResult | None:
        """Apply a configuration.

        Returns
        -------
        error : ErrorResult or None
            ``INVALID_CONFIG`` if it is inconsistent; the previous configuration
            then stays in force.
        """
        table = compile_routes(config)
        if isinstance(table, ErrorResult):
            return table
        if config.accounts_by_name != self.config.accounts_by_name:
            self._accounts = AccountTable(config.accounts_by_name)
        self.config = config
        self._table = table
        return None

    def is_starting(self, now: float) -> bool:
        """Return whether the node may not have reached the other hosts yet."""
        return now - self.configured_at <= READINESS_TIMEOUT_S

    def accept(self, exchange: Exchange, now: float) -> OutboundRequest | ErrorResult:
        """Route a request.

        Returns
        -------
        request : OutboundRequest or ErrorResult
            The error if the request is refused before placement.
        """
        if not self.config.version:
            return ErrorResult(ErrorKind.NOT_READY, "no configuration yet")
        drain_window = self.drain_window
        if drain_window is not NOT_DRAINING:
            exchange.close_connection()
        headers = exchange.headers
        host = get_header(headers, b"host") or b""
        path = exchange.target.partition(b"?")[0].decode("latin-1")
        route = self.find_route(host.decode("latin-1"), path)
        if route is None:
            return ErrorResult(ErrorKind.NO_ROUTE, f"no route for {host!r} {path}")
        caller_timeout_s = route.timeout_s
        waited_s = 0.0
        time_left = get_header(headers, self._dialect.time_left_ms)
        if time_left is not None:
            if not time_left.isdigit() or len(time_left) > 9:
                reason = "the time left is not a number of milliseconds"
                return ErrorResult(ErrorKind.BAD_REQUEST, reason)
            caller_timeout_s = int(time_left) / 1000
            waited_s = self._caller_waits.estimate_waited(route.name, caller_timeout_s)
        left_s = min(route.timeout_s, caller_timeout_s)
        keys = self._get_keys(headers)
        account = self._accounts.authenticate(route.is_anonymous, keys)
        if isinstance(account, ErrorResult):
            return account
        attempt_id = get_header(headers, self._dialect.attempt_id) or b""
        is_internal = self._is_running(self._dialect.get_parent(attempt_id))
        if not self.may_take(route, now, now + left_s, is_internal):
            return ErrorResult(ErrorKind.DRAINING, "the node is stopping")
        return OutboundRequest(
            exchange,
            route,
            self._shares.pick(route),
            now,
            now + left_s,
            now + route.target_s - waited_s,
            INTERNAL_PRIORITY if is_internal else _get_priority(route, account),
            attempt_id,
            self._make_headers(headers, account),
            now + caller_timeout_s,
            account,
        )

    def find_route(self, hostname: str, path: str) -> HostRoute | None:
        """Return the route of a request, or None."""
        return find_route(self._table, hostname, path)

    def authenticate_digest(
        self, route: HostRoute, key_digest: str
    ) -> ClientAccount | None | ErrorResult:
        """Return the account of a request whose key has a digest, empty for no key."""
        if not key_digest or route.is_anonymous or not self.config.accounts_by_name:
            return self._accounts.authenticate(route.is_anonymous, [])
        return self._accounts.find(key_digest)

    def may_take(
        self, route: HostRoute, now: float, deadline: float, is_internal: bool
    ) -> bool:
        """Return whether a request may be taken although the node stops.

        A call that a worker makes for a request that it runs is part of that one, which
        fails without it. It is also taken if it can be expected to end in time.
        """
        window = self.drain_window
        if window is NOT_DRAINING:
            return True
        slowest_s = None
        if is_internal:
            slowest_s = self.slowest.get(route.name, route.target_s)
        return window.is_open(now, deadline + DEADLINE_GRACE_S, slowest_s)

    def confirm_account(self, request: OutboundRequest) -> ErrorResult | None:
        """Return an error unless a request's key still belongs to its account."""
        account = request.account
        accounts = self._accounts
        if account is None or accounts.accounts_by_name.get(account.name) is account:
            return None
        keys = self._get_keys(request.exchange.headers)
        present = accounts.authenticate(False, keys)
        if isinstance(present, ErrorResult):
            return present
        if present is None or present.name != account.name:
            reason = "the key no longer belongs to the account"
            return ErrorResult(ErrorKind.UNAUTHENTICATED, reason)
        return None

    def _get_keys(self, headers: Headers) -> list[bytes]:
        return [value for name, value in headers if name == self._dialect.key]

    def _make_headers(
        self, headers: Headers, account: ClientAccount | None
    ) -> list[list[bytes]]:
        """Return the header fields to forward, with the name of the account."""
        kept = [
            list(item)
            for item in strip_hop_by_hop_headers(headers)
            if item[0] not in self._replaced_fields
        ]
        if account is not None:
            kept.append([self._dialect.account, account.name.encode()])
        return kept


def _get_priority(route: HostRoute, account: ClientAccount | None) -> int:
    if account is None or account.priority is None:
        return route.priority
    return account.priority
