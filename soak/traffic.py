"""Load of a soak run: clients that record the outcome of each request."""

from random import Random

from attrs import define, field
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.error import ConnectError
from twisted.internet.task import LoopingCall

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.events import run_logged
from bamboocove.platform.headers import DIALECT
from bamboocove.platform.standin_worker import (
    LONG_TARGET,
    digest_body,
    make_response_body,
    make_signature,
)
from bamboocove.transport.clients import ConnectionPool
from bamboocove.transport.fetching import Fetch, Response, format_request
from bamboocove.transport.framing import get_header
from soak.cluster import ROUTE_HOSTNAME, SERVICES, Cluster, Host
from soak.pipelines import PipelineConnection, PipelineFactory
from soak.records import LONG_TIMEOUT_S, ROUTE_TIMEOUT_S, ClientRequest

DEADLINE_S = 2.0
LONG_DEADLINE_S = 4.5
# In runs with pipelining, share of the requests that take seconds.
LONG_RATE = 0.05
# Clients wait beyond the deadline, so that a response sent at it still counts.
RESPONSE_SLACK_S = 0.5
CONNECT_TIMEOUT_S = 1.0
READINESS_INTERVAL_S = 1.0
READINESS_TIMEOUT_S = 0.9
# Consecutive failed readiness checks after which clients open no new connections.
UNREADY_AFTER_FAILURES = 2
PROBE_INTERVAL_S = 0.5
# Pauses between the parts of pipelined requests; 0 sends them at once.
PART_PAUSES_S = (0.0, 0.0, 0.01, 0.1)


async def is_ready(pool: ConnectionPool, host: Host) -> bool:
    """Return whether the readiness endpoint of a node answers with 200."""
    address = host.readiness_address
    data = format_request(b"GET", DIALECT.readiness_path, address, [], b"")
    result = await Fetch(pool, address, data).start(READINESS_TIMEOUT_S)
    return not isinstance(result, ErrorResult) and result.status == 200


@define(eq=False)
class LoadGenerator:
    """The clients of one host, with persistent connections.

    Parameters
    ----------
    cluster : Cluster
        The cluster under test.
    host : Host
        Host whose node the clients send to.
    random : Random
        Source of random choices.
    rate : float
        Mean requests per second.
    pipeline_rate : float
        Share of the turns, from 0 to 1, in which a client pipelines one to three
        requests on a connection of its own, writes them in parts or reads slowly.

    Attributes
    ----------
    in_flight : int
        Requests that have not ended.
    """

    cluster: Cluster
    host: Host
    random: Random
    rate: float
    pipeline_rate: float = 0.0
    is_running: bool = True
    in_flight: int = 0
    _readiness_failures: int = UNREADY_AFTER_FAILURES
    _request_count: int = 0
    _pool: ConnectionPool = field(init=False)
    _loops: list[LoopingCall] = field(factory=list)
    _pipelines: list[PipelineConnection] = field(factory=list)

    def start(self) -> None:
        """Start sending requests, probes and readiness checks."""
        clock = self.cluster.clock
        self._pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
        for work, interval_s in (
            (self._start_readiness_check, READINESS_INTERVAL_S),
            (self._send_probes, PROBE_INTERVAL_S),
        ):
            loop = LoopingCall(work)
            loop.clock = clock
            loop.start(interval_s)
            self._loops.append(loop)
        self._send_next()

    def stop(self) -> None:
        """Send no more requests; those in flight go on."""
        self.is_running = False
        for loop in self._loops:
            loop.stop()
        self._loops = []

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()
        for connection in self._pipelines:
            if connection.is_open:
                connection.transport.abortConnection()

    def _start_readiness_check(self) -> None:
        run_logged(self._check_readiness())

    async def _check_readiness(self) -> None:
        self._readiness_failures = (
            0 if await is_ready(self._pool, self.host) else self._readiness_failures + 1
        )

    def _send_next(self) -> None:
        if not self.is_running:
            return
        self.cluster.clock.callLater(
            self.random.expovariate(self.rate), self._send_next
        )
        if self.pipeline_rate and self.random.random() < self.pipeline_rate:
            run_logged(self._pipeline())
            return
        if self._readiness_failures >= UNREADY_AFTER_FAILURES and not self._is_open():
            return
        service = self.random.choice(SERVICES)
        if self.pipeline_rate and self.random.random() < LONG_RATE:
            self._send("read", b"GET", "/long/x", b"")
            return
        draw = self.random.random()
        if draw < 0.35:
            body = self.random.randbytes(self.random.choice((0, 40, 3000)))
            self._send("pay", b"POST", f"/{service}/pay/x", body)
        elif draw < 0.5:
            self._send("read", b"GET", "/split/x", b"")
        else:
            self._send("read", b"GET", f"/{service}/x?q=1", b"")

    def _is_open(self) -> bool:
        """Return whether an idle connection to the node is open.

        Clients go on using it after the node has become unready.
        """
        connection = self._pool.take(self.host.outbound_address)
        if connection is None:
            return False
        self._pool.put(self.host.outbound_address, connection)
        return True

    def _send_probes(self) -> None:
        route = self.cluster.newest_route
        if self._readiness_failures < UNREADY_AFTER_FAILURES and route:
            self._send("probe", b"GET", f"/added-{route}/x", b"", route)
            # Older routes reveal a node that reverts, or keeps removed routes.
            older = route - self.random.randint(1, 7)
            if older > 0:
                self._send("probe", b"GET", f"/added-{older}/x", b"", older)

    def _send(
        self, kind: str, method: bytes, target: str, body: bytes, route: int = 0
    ) -> None:
        request, data = self._make_request(kind, method, target, body, route)
        limit_s = _get_deadline(target) + RESPONSE_SLACK_S
        done = Fetch(self._pool, self.host.outbound_address, data).start(limit_s)
        done.addCallback(self._on_done, request)

    async def _pipeline(self) -> None:
        """Send requests on an idle connection, or on a new one."""
        clock = self.cluster.clock
        self._pipelines = [c for c in self._pipelines if c.is_open]
        connection = next((c for c in self._pipelines if c.is_idle), None)
        is_slow = self.random.random() < 0.5
        if connection is None:
            if self._readiness_failures >= UNREADY_AFTER_FAILURES:
                return
            factory = PipelineFactory(clock, is_slow, self._on_pipelined)
            endpoint = TCP4ClientEndpoint(
                clock, *self.host.outbound_address, CONNECT_TIMEOUT_S
            )
            try:
                connection = await endpoint.connect(factory)
            except ConnectError:
                return
            self._pipelines.append(connection)
        service = self.random.choice(SERVICES)
        parts: list[tuple[bytes, ClientRequest | None]] = []
        for _ in range(self.random.randint(1, 3)):
            body = self.random.randbytes(self.random.choice((0, 40, 3000)))
            kind, method, target = (
                ("pay", b"POST", f"/{service}/pay/x")
                if body
                else ("read", b"GET", f"/{service}/x")
            )
            request, data = self._make_request(kind, method, target, body)
            request.is_sent = False
            head_bytes = len(data) - len(body)
            parts += [(data[:head_bytes], None), (data[head_bytes:], request)]
        connection.send(parts, self.random.choice(PART_PAUSES_S))
        limit_s = DEADLINE_S * len(parts) / 2 + RESPONSE_SLACK_S
        for _, request in parts[1::2]:
            clock.callLater(limit_s, connection.time_out, request)

    def _on_pipelined(self, request: ClientRequest, result: Response | str) -> None:
        if isinstance(result, str):
            result = ErrorResult(ErrorKind.UPSTREAM_LOST, result)
        self._on_done(result, request)

    def _make_request(
        self, kind: str, method: bytes, target: str, body: bytes, route: int = 0
    ) -> tuple[ClientRequest, bytes]:
        """Return a new request, recorded as in flight, and its bytes."""
        clock = self.cluster.clock
        self._request_count += 1
        request = ClientRequest(
            f"{self.host.host_id}-{self._request_count}",
            self.host.host_id,
            kind,
            target,
            digest_body(body),
            self.host.node.start_number,
            clock.seconds(),
            route=route,
            timeout_s=LONG_TIMEOUT_S if is_long(target) else ROUTE_TIMEOUT_S,
        )
        self.cluster.journal.requests.append(request)
        headers = [
            (DIALECT.attempt_id, request.attempt_id.encode()),
            (DIALECT.time_left_ms, b"%d" % (_get_deadline(target) * 1000)),
        ]
        address = self.host.outbound_address
        data = format_request(method, target.encode(), address, headers, body)
        host_header = b"host: %s:%d" % (address[0].encode(), address[1])
        data = data.replace(host_header, b"host: " + ROUTE_HOSTNAME.encode(), 1)
        self.in_flight += 1
        return request, data

    def _on_done(self, result: Response | ErrorResult, request: ClientRequest) -> None:
        self.in_flight -= 1
        request.ended_at = self.cluster.clock.seconds()
        if isinstance(result, ErrorResult):
            request.problem = result.reason
            request.is_sent &= result.kind is not ErrorKind.UPSTREAM_REFUSED
            return
        request.status = result.status
        request.problem = find_problem(request, result)
        signature = get_header(result.headers, DIALECT.signature)
        request.is_signed = signature is not None


def is_long(target: str) -> bool:
    """Return whether a request takes seconds."""
    return target.encode().startswith(LONG_TARGET)


def _get_deadline(target: str) -> float:
    return LONG_DEADLINE_S if is_long(target) else DEADLINE_S


def find_problem(request: ClientRequest, response: Response) -> str:
    """Return what is wrong with a successful response, or an empty string."""
    if not 200 <= response.status < 300:
        return ""
    if response.body != make_response_body(
        request.attempt_id, request.target, request.digest
    ):
        return f"unexpected body: {response.body[:60]!r}"
    if get_header(response.headers, DIALECT.signature) != make_signature(response.body):
        return "unexpected signature"
    return ""
