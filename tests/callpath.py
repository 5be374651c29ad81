"""Helpers of the call path tests: a proxy, workers and callers on loopback."""

import random
import socket
import time
from collections.abc import Callable, Iterator
from typing import Any

from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from bamboocove.memory_platform import MemoryTable
from bamboocove.metrics import Metrics
from bamboocove.proxy import Proxy
from bamboocove.settings import Settings, check_settings
from bamboocove.state.config import Config, Move, Route, Service
from bamboocove.state.members import Member, MemberTable, WorkerRecord
from bamboocove.state.snapshot import ActiveSnapshot, compile_snapshot
from bamboocove.transport.calls import CallServer

WAIT_S = 5.0


def make_settings(**values: str) -> Settings:
    """Return settings of node n1 in zone a; ``values`` maps section__key to text."""
    texts = {
        ("node", "id"): "n1",
        ("node", "zone"): "a",
        ("platform", "table_url"): "http://127.0.0.1:1",
        ("platform", "object_url"): "http://127.0.0.1:1",
    }
    for name, text in values.items():
        section, _, key = name.partition("__")
        texts[section, key] = text
    settings = check_settings(texts)
    assert isinstance(settings, Settings), settings
    return settings


def make_config(moves: tuple[Move, ...] = (), revision: int = 1) -> Config:
    """Return a configuration with the service orders and its four routes."""
    orders = Service(
        "orders",
        "v1",
        (),
        (
            Route("read", "/orders", ("GET", "HEAD"), "prompt"),
            Route("write", "/orders", ("PUT",), "normal"),
            Route("report", "/reports", ("GET",), "deferrable"),
            Route("confirm", "/confirmations", ("POST",), "normal", False, 2.0),
        ),
    )
    return Config(
        revision,
        "kozje-mleko",
        revision,
        {"orders": orders},
        {move.move_id: move for move in moves},
    )


def make_member(
    index: int,
    port: int,
    version: str = "v1",
    zone: str = "a",
    state: str = "ready",
    connections: int = 100,
) -> Member:
    """Return a member whose only worker serves orders on a loopback port."""
    worker = WorkerRecord("orders", version, "127.0.0.1", port, 12, connections, state)
    return Member(f"n{index}", 1, 1, zone, "r", "127.0.0.1", 1, "alive", (worker,))


def make_member_table(*members: Member) -> MemberTable:
    """Return a member table of the given members."""
    table = MemberTable()
    for member in members:
        table.merge(member)
    return table


def run(coroutine: Any, wait_s: float = WAIT_S) -> Any:
    """Run the reactor until a coroutine ends; return its result or raise its error.

    AssertionError after ``wait_s`` seconds.
    """
    results: list[Any] = []
    done = Deferred.fromCoroutine(coroutine)
    done.addBoth(results.append)
    run_reactor_until(lambda: results, wait_s)
    if hasattr(results[0], "raiseException"):
        results[0].raiseException()
    return results[0]


def run_reactor_until(
    is_done: Callable[[], Any],
    wait_s: float = WAIT_S,
    describe: Callable[[], str] = lambda: "",
) -> None:
    """Run the reactor until a condition holds; AssertionError after ``wait_s``.

    The error contains the text that ``describe`` then returns.
    """
    if not reactor.running:
        reactor.startRunning(installSignalHandlers=False)
    end = time.monotonic() + wait_s
    while not is_done():
        assert time.monotonic() < end, f"condition not met in time {describe()}"
        reactor.runUntilCurrent()
        reactor.doIteration(0.005)


async def pause(seconds: float) -> None:
    await deferLater(reactor, seconds)


def make_proxy(
    members: MemberTable, config: Config, table: Any = None, **options: Any
) -> Proxy:
    """Return a proxy on the global reactor; options are settings or callbacks."""
    active = ActiveSnapshot()
    assert active.swap(compile_snapshot(config)) is None
    notices = options.pop("notices", [])
    is_braked = options.pop("is_braked", lambda move_id: False)
    return Proxy(
        make_settings(**options),
        active,
        members,
        table or MemoryTable(),
        Metrics("kozje-mleko"),
        reactor,
        random.Random(1),
        notices.append,
        is_braked,
    )


class Caller:
    """Client connection: a non-blocking socket that is read while the reactor runs."""

    def __init__(self, port: int, ip: str = "127.0.0.1"):
        self.socket = socket.create_connection((ip, port))
        self.socket.setblocking(False)
        self.data = b""
        self.is_closed = False

    def send(self, data: bytes) -> None:
        """Send data, which must fit into the socket's send buffer."""
        self.socket.sendall(data)

    def _read(self) -> None:
        try:
            data = self.socket.recv(1 << 20)
        except BlockingIOError:
            return
        except ConnectionError:
            data = b""
        self.data += data
        self.is_closed = self.is_closed or not data

    def read_until(self, is_done: Callable[[bytes], Any]) -> bytes:
        """Read until a condition on the received data holds or the peer closes."""

        def check() -> bool:
            self._read()
            return self.is_closed or bool(is_done(self.data))

        run_reactor_until(check)
        return self.data

    def close(self) -> None:
        """Close the socket."""
        self.socket.close()


def make_request(
    method: str = "GET", path: str = "/orders/1", body: bytes = b"", **headers: Any
) -> bytes:
    """Return the bytes of a request to the service orders."""
    lines = [f"{method} {path} HTTP/1.1", "Host: a", "bamboocove-service: orders"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def make_confirm_request(key: str = "k1", body: bytes = b"order 1") -> bytes:
    """Return a non-idempotent request with an idempotency key."""
    return make_request("POST", "/confirmations", body, idempotency_key=key)


def get_refusing_port() -> int:
    """Return a loopback port that refuses connections."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


class Worker:
    """HTTP worker that echoes request bodies, or runs the ``answer`` set by a test."""

    def __init__(self):
        self.exchanges = []
        self.closed = []
        self.answer = self.echo
        self.server = CallServer(self.on_request, 1 << 31, reactor)
        self.listener = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.port = self.listener.getHost().port

    def on_request(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_closed = self.closed.append
        self.answer(exchange)

    def echo(self, exchange):
        body = []
        exchange.receive(
            body.append,
            lambda: exchange.respond(
                200, [(b"x-path", exchange.target)], b"".join(body)
            ),
        )

    def wait(self, exchange):
        exchange.receive(lambda data: None, lambda: None)

    def lose(self, exchange):
        exchange.abort()

    def crash(self, exchange):
        self.listener.stopListening()
        exchange.abort()

    def shed(self, exchange):
        exchange.respond(503, [(b"bamboocove-run", b"not-run")], b"busy")

    def close(self):
        self.listener.stopListening()
        for connection in list(self.server.connections):
            connection.abort()


class Mesh:
    """One proxy with its workers, callers and an in-memory table service."""

    def __init__(self):
        self.workers = []
        self.callers = []
        self.notices = []
        self.table = MemoryTable()
        self.proxy = None

    def add_worker(self):
        self.workers.append(Worker())
        return self.workers[-1]

    def start(self, *members, moves=(), **options):
        members = members or [
            make_member(index, worker.port) for index, worker in enumerate(self.workers)
        ]
        self.members = make_member_table(*members)
        self.proxy = make_proxy(
            self.members,
            make_config(moves),
            self.table,
            notices=self.notices,
            **options,
        )
        self.port = run(self.proxy.start())

    def open(self, data=b""):
        caller = Caller(self.port)
        self.callers.append(caller)
        if data:
            caller.send(data)
        return caller

    def call(self, data):
        """Send a request on a new connection and return its whole response."""
        caller = self.open(data)

        def is_complete(received):
            head, _, body = received.partition(b"\r\n\r\n")
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length: "):
                    return len(body) >= int(line[16:])
            return False

        return caller.read_until(is_complete)

    def get_claim_states(self) -> list[str]:
        """Return the state of each claim in the table service."""
        return [row.value["state"] for row in self.table.state.rows_by_key.values()]

    def close(self):
        for caller in self.callers:
            caller.close()
        for worker in self.workers:
            worker.close()
        if self.proxy is not None:
            run(self.proxy.drain())


def run_mesh() -> Iterator[Mesh]:
    """Yield a mesh and close it afterwards; used as the body of a fixture."""
    mesh = Mesh()
    yield mesh
    mesh.close()
