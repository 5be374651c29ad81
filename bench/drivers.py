"""Load generators of the capacity benchmark, one process per role.

Each role prints one line when it is ready and reads commands from its standard
input. It stops when the input ends, or after ``MAX_LIFETIME_S``.
"""

import argparse
import json
import random
import sys
from collections.abc import Callable
from typing import Any

from attrs import evolve
from twisted.internet import reactor, stdio
from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.protocols.basic import LineReceiver

from bamboocove.coordination.publishing import publish, read_published
from bamboocove.errors import ErrorResult
from bamboocove.protocol.messages import Hello
from bamboocove.protocol.rows import HistoryRecord
from bamboocove.state.config import Config, Route, Service
from bamboocove.state.members import Member
from bamboocove.transport.peers import LinkHandlers, PeerNetwork
from bamboocove.transport.platform import ObjectClient, TableClient
from bench.control import make_config

# A driver stops by itself after this time, even if it outlived its parent.
MAX_LIFETIME_S = 900.0
STORE_TIMEOUT_S = 5.0
ANNOUNCE_INTERVAL_S = 2.0
# A peer of the storm connects, exchanges Hello, aborts the link after at most this
# time and reconnects.
STORM_MAX_LINK_LIFETIME_S = 0.5
STORM_MAX_RECONNECT_DELAY_S = 0.5
BENCH_SERVICE = "bench"


class _CommandProtocol(LineReceiver):
    """Line protocol on standard input and output of a driver."""

    delimiter = b"\n"

    def __init__(self, handle: Callable[[list[str]], None]):
        self._handle = handle

    def write_json(self, value: Any) -> None:
        """Write ``value`` as a line of JSON."""
        self.sendLine(json.dumps(value).encode())

    def lineReceived(self, line: bytes) -> None:
        """Split a line into words and pass them to the handler."""
        self._handle(line.decode().split())

    def connectionLost(self, reason: Any = None) -> None:
        """Stop the reactor when the parent closes the input."""
        if reactor.running:
            reactor.stop()


def open_command_channel(handle: Callable[[list[str]], None]) -> _CommandProtocol:
    """Read commands from standard input and call ``handle`` with the words of each."""
    commands = _CommandProtocol(handle)
    stdio.StandardIO(commands)
    return commands


def run_coroutine(coroutine: Any) -> None:
    """Run a coroutine; if it fails, print its traceback and stop the reactor."""

    def on_failure(failure: Any) -> None:
        failure.printTraceback(sys.stderr)
        if reactor.running:
            reactor.stop()

    Deferred.fromCoroutine(coroutine).addErrback(on_failure)


def run_publisher(args: argparse.Namespace) -> None:
    """Publish an initial configuration, then changes of one service each.

    The command ``publish COUNT INTERVAL_S`` publishes changes. After the last one
    it is answered with the Unix time, by revision, at which the store answered
    the write.
    """
    table = TableClient(args.url, STORE_TIMEOUT_S, reactor)
    objects = ObjectClient(args.url, STORE_TIMEOUT_S, reactor)
    latest: list[Any] = []

    async def publish_config(config: Config) -> float:
        history = HistoryRecord(config.revision, "bench", reactor.seconds(), "change")
        operation_id = f"bench-{config.revision}"
        result = await publish(table, objects, latest[0], config, history, operation_id)
        if isinstance(result, ErrorResult):
            raise RuntimeError(str(result))
        latest[0] = result
        return reactor.seconds()

    async def start() -> None:
        head = await read_published(table, objects)
        if isinstance(head, ErrorResult):
            raise RuntimeError(str(head))
        latest.append(head)
        services = dict(make_config(args.services).services_by_name)
        services[BENCH_SERVICE] = Service(
            BENCH_SERVICE, "v1", (), (Route("all", "/orders"),)
        )
        await publish_config(Config(1, "bench", 1, services))
        commands.write_json("ready")

    async def publish_changes(count: int, interval_s: float) -> None:
        published: dict[int, float] = {}
        started_at = reactor.seconds()
        for index in range(count):
            delay_s = started_at + index * interval_s - reactor.seconds()
            await deferLater(reactor, max(0.0, delay_s), lambda: None)
            config = latest[0].config
            services = dict(config.services_by_name)
            name = f"service-{config.revision % args.services}"
            version = f"v{config.revision}"
            services[name] = evolve(services[name], version=version)
            revision = config.revision + 1
            published[revision] = await publish_config(
                evolve(config, revision=revision, services_by_name=services)
            )
        commands.write_json(published)

    commands = open_command_channel(
        lambda words: run_coroutine(publish_changes(int(words[1]), float(words[2])))
    )
    run_coroutine(start())


def run_announcer(args: argparse.Namespace) -> None:
    """Announce a worker to the node on its host at regular intervals."""
    import treq

    body = json.dumps(
        {
            "service": BENCH_SERVICE,
            "version": "v1",
            "port": args.port,
            "slots": 1000,
            "connections": 1000,
            "state": "ready",
        }
    ).encode()

    async def announce() -> None:
        response = await treq.post(f"{args.url}/workers", body)
        text = await response.text()
        if response.code != 200:
            raise RuntimeError(f"{response.code} {text}")

    commands = open_command_channel(lambda words: None)
    loop = LoopingCall(lambda: run_coroutine(announce()))
    loop.start(ANNOUNCE_INTERVAL_S)
    commands.write_json("ready")


def run_storm(args: argparse.Namespace) -> None:
    """Repeatedly open links to a node and abort them.

    The command ``count`` is answered with the numbers of links opened, of Hello
    messages received in answer and of links closed.
    """
    network = PeerNetwork(reactor)
    rng = random.Random(1)
    counts = {"opened": 0, "answered": 0, "closed": 0}

    def connect(index: int) -> None:
        now_ms = int(reactor.seconds() * 1000)
        name = f"storm-{index}"
        member = Member(name, now_ms, 1, args.zone, "r", "127.0.0.1", 1, "alive")

        def on_open(link: Any) -> None:
            counts["opened"] += 1
            link.send(Hello(member, 0))
            reactor.callLater(STORM_MAX_LINK_LIFETIME_S * rng.random(), link._abort)

        def on_message(link: Any, message: Any) -> None:
            counts["answered"] += isinstance(message, Hello)

        def on_closed(link: Any, reason: str) -> None:
            counts["closed"] += 1
            reactor.callLater(
                STORM_MAX_RECONNECT_DELAY_S * rng.random(), connect, index
            )

        handlers = LinkHandlers(on_open, on_message, on_closed)
        network.dial("127.0.0.1", args.port, handlers)

    commands = open_command_channel(lambda words: commands.write_json(counts))
    for index in range(args.links):
        reactor.callLater(rng.random(), connect, index)
    commands.write_json("ready")


def main() -> None:
    """Run the role named on the command line."""
    parser = argparse.ArgumentParser(description=__doc__.partition("\n")[0])
    roles = parser.add_subparsers(dest="role", required=True)
    publisher = roles.add_parser("publisher")
    publisher.add_argument("--url", required=True)
    publisher.add_argument("--services", type=int, default=370)
    publisher.set_defaults(run=run_publisher)
    announcer = roles.add_parser("announcer")
    announcer.add_argument("--url", required=True)
    announcer.add_argument("--port", type=int, required=True)
    announcer.set_defaults(run=run_announcer)
    storm = roles.add_parser("storm")
    storm.add_argument("--port", type=int, required=True)
    storm.add_argument("--links", type=int, default=40)
    storm.add_argument("--zone", default="a")
    storm.set_defaults(run=run_storm)
    args = parser.parse_args()
    reactor.callWhenRunning(args.run, args)
    reactor.callLater(MAX_LIFETIME_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main()
