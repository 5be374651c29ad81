"""Clients of a soak: they keep connections and note what becomes of each request."""

from random import Random

from attrs import define, field
from twisted.internet.task import LoopingCall

from bamboocove.errors import ErrorResult
from bamboocove.events import run_logged
from bamboocove.platform.headers import DIALECT
from bamboocove.platform.standin_worker import (
    digest_body,
    make_response_body,
    make_signature,
)
from bamboocove.transport.clients import ConnectionPool
from bamboocove.transport.fetching import Fetch, Response, format_request
from bamboocove.transport.framing import get_header
from soak.records import Sent
from soak.world import HOST_NAME, SERVICES, Host, World

DEADLINE_S = 2.0
# Clients wait a little beyond the deadline, so that an answer at it is seen.
PATIENCE_S = 0.5
CONNECT_TIMEOUT_S = 1.0
READINESS_S = 1.0
READINESS_TIMEOUT_S = 0.9
# Questions in a row without a 200 after which clients send nothing new.
MISSES = 2
PROBE_S = 0.5


async def is_ready(pool: ConnectionPool, host: Host) -> bool:
    """Return whether a node says that clients may send requests."""
    address = host.readiness_address
    data = format_request(b"GET", DIALECT.readiness_path, address, [], b"")
    result = await Fetch(pool, address, data).start(READINESS_TIMEOUT_S)
    return not isinstance(result, ErrorResult) and result.status == 200


@define(eq=False)
class Clients:
    """The clients of one host.

    Parameters
    ----------
    world : World
        Everything that runs.
    host : Host
        Where the clients are.
    random : Random
        Source of choices.
    rate : float
        Requests a second.
    """

    world: World
    host: Host
    random: Random
    rate: float
    is_running: bool = True
    in_flight: int = 0
    _misses: int = MISSES
    _number: int = 0
    _pool: ConnectionPool = field(init=False)
    _loops: list[LoopingCall] = field(factory=list)

    def start(self) -> None:
        """Begin to send."""
        clock = self.world.clock
        self._pool = ConnectionPool(clock, CONNECT_TIMEOUT_S)
        for work, interval_s in (
            (self._ask_readiness, READINESS_S),
            (self._probe, PROBE_S),
        ):
            loop = LoopingCall(work)
            loop.clock = clock
            loop.start(interval_s)
            self._loops.append(loop)
        self._send_next()

    def stop(self) -> None:
        """Send nothing more."""
        self.is_running = False
        for loop in self._loops:
            loop.stop()
        self._loops = []

    def close(self) -> None:
        """Close all connections."""
        self._pool.close()

    def _ask_readiness(self) -> None:
        run_logged(self._note_readiness())

    async def _note_readiness(self) -> None:
        self._misses = 0 if await is_ready(self._pool, self.host) else self._misses + 1

    def _send_next(self) -> None:
        if not self.is_running:
            return
        self.world.clock.callLater(self.random.expovariate(self.rate), self._send_next)
        if self._misses >= MISSES:
            return
        service = self.random.choice(SERVICES)
        luck = self.random.random()
        if luck < 0.35:
            body = self.random.randbytes(self.random.choice((0, 40, 3000)))
            self._send("pay", b"POST", f"/{service}/pay/x", body)
        elif luck < 0.5:
            self._send("read", b"GET", "/split/x", b"")
        else:
            self._send("read", b"GET", f"/{service}/x?q=1", b"")

    def _probe(self) -> None:
        route = self.world.newest_route
        if self._misses < MISSES and route:
            self._send("probe", b"GET", f"/added-{route}/x", b"", route)
            # Older routes show whether a node has gone back, or keeps them.
            older = route - self.random.randint(1, 7)
            if older > 0:
                self._send("probe", b"GET", f"/added-{older}/x", b"", older)

    def _send(
        self, kind: str, method: bytes, target: str, body: bytes, route: int = 0
    ) -> None:
        clock = self.world.clock
        self._number += 1
        sent = Sent(
            f"{self.host.host_id}-{self._number}",
            self.host.host_id,
            kind,
            target,
            digest_body(body),
            self.host.node.start_number,
            clock.seconds(),
            route=route,
        )
        self.world.journal.sent.append(sent)
        headers = [
            (DIALECT.attempt_id, sent.attempt_id.encode()),
            (DIALECT.time_left_ms, b"%d" % (DEADLINE_S * 1000)),
        ]
        address = self.host.caller_address
        data = format_request(method, target.encode(), address, headers, body)
        own_host = b"host: %s:%d" % (address[0].encode(), address[1])
        data = data.replace(own_host, b"host: " + HOST_NAME.encode(), 1)
        self.in_flight += 1
        done = Fetch(self._pool, address, data).start(DEADLINE_S + PATIENCE_S)
        done.addCallback(self._on_done, sent)

    def _on_done(self, result: Response | ErrorResult, sent: Sent) -> None:
        self.in_flight -= 1
        sent.ended_at = self.world.clock.seconds()
        if isinstance(result, ErrorResult):
            sent.problem = result.reason
            return
        sent.status = result.status
        sent.problem = find_problem(sent, result)


def find_problem(sent: Sent, response: Response) -> str:
    """Return what is wrong with a success, or nothing."""
    if not 200 <= response.status < 300:
        return ""
    if response.body != make_response_body(sent.attempt_id, sent.target, sent.digest):
        return f"another body: {response.body[:60]!r}"
    if get_header(response.headers, DIALECT.signature) != make_signature(response.body):
        return "another signature"
    return ""
