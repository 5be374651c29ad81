"""Processes that load a node or the platform for the capacity benchmark.

Each role prints one line when it is ready, reads commands from its standard
input and ends with it, or after ``LIFETIME_S``.
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

# A driver ends by itself after this time, also if its parent was killed.
LIFETIME_S = 900.0
STORE_TIMEOUT_S = 5.0
ANNOUNCE_S = 2.0
# A peer that a node has to serve again and again: it connects, exchanges
# Hello, stays for at most this time and drops the connection.
STORM_HOLD_S = 0.5
STORM_PAUSE_S = 0.5
BENCH_SERVICE = "bench"


class _Commands(LineReceiver):
    """Standard input and output of a driver."""

    delimiter = b"\n"

    def __init__(self, handle: Callable[[list[str]], None]):
        self._handle = handle

    def say(self, value: Any) -> None:
        """Write a line of JSON."""
        self.sendLine(json.dumps(value).encode())

    def lineReceived(self, line: bytes) -> None:
        """Handle a command; named by Twisted."""
        self._handle(line.decode().split())

    def connectionLost(self, reason: Any = None) -> None:
        """Stop with the parent; named by Twisted."""
        if reactor.running:
            reactor.stop()


def open_commands(handle: Callable[[list[str]], None]) -> _Commands:
    """Connect standard input and output."""
    commands = _Commands(handle)
    stdio.StandardIO(commands)
    return commands


def spawn(coroutine: Any) -> None:
    """Run a coroutine; end the process with its traceback if it fails."""

    def fail(failure: Any) -> None:
        failure.printTraceback(sys.stderr)
        if reactor.running:
            reactor.stop()

    Deferred.fromCoroutine(coroutine).addErrback(fail)


# Changes of the configuration.


def run_publisher(args: argparse.Namespace) -> None:
    """Publish a first configuration, then changes of one service each.

    The command ``publish COUNT INTERVAL_S`` starts changes and is answered at
    their end with the Unix time at which each revision's write was answered.
    """
    table = TableClient(args.url, STORE_TIMEOUT_S, reactor)
    objects = ObjectClient(args.url, STORE_TIMEOUT_S, reactor)
    held: list[Any] = []

    async def put(config: Config) -> float:
        history = HistoryRecord(config.revision, "bench", reactor.seconds(), "change")
        operation_id = f"bench-{config.revision}"
        result = await publish(table, objects, held[0], config, history, operation_id)
        if isinstance(result, ErrorResult):
            raise RuntimeError(str(result))
        held[0] = result
        return reactor.seconds()

    async def start() -> None:
        head = await read_published(table, objects)
        if isinstance(head, ErrorResult):
            raise RuntimeError(str(head))
        held.append(head)
        services = dict(make_config(args.services).services_by_name)
        services[BENCH_SERVICE] = Service(
            BENCH_SERVICE, "v1", (), (Route("all", "/orders"),)
        )
        await put(Config(1, "bench", 1, services))
        commands.say("ready")

    async def change(count: int, interval_s: float) -> None:
        published: dict[int, float] = {}
        began = reactor.seconds()
        for index in range(count):
            due_s = began + index * interval_s - reactor.seconds()
            await deferLater(reactor, max(0.0, due_s), lambda: None)
            config = held[0].config
            services = dict(config.services_by_name)
            name = f"service-{config.revision % args.services}"
            version = f"v{config.revision}"
            services[name] = evolve(services[name], version=version)
            revision = config.revision + 1
            published[revision] = await put(
                evolve(config, revision=revision, services_by_name=services)
            )
        commands.say(published)

    commands = open_commands(
        lambda words: spawn(change(int(words[1]), float(words[2])))
    )
    spawn(start())


# A worker that announces itself.


def run_announcer(args: argparse.Namespace) -> None:
    """Announce a worker to the node on its host, as workers do."""
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

    commands = open_commands(lambda words: None)
    loop = LoopingCall(lambda: spawn(announce()))
    loop.start(ANNOUNCE_S)
    commands.say("ready")


# Peers that connect and drop.


def run_storm(args: argparse.Namespace) -> None:
    """Open links to a node and drop them, again and again.

    The command ``count`` is answered with the links that were opened and the
    answers to their Hello.
    """
    network = PeerNetwork(reactor)
    source = random.Random(1)
    counts = {"opened": 0, "answered": 0, "closed": 0}

    def connect(index: int) -> None:
        now_ms = int(reactor.seconds() * 1000)
        name = f"storm-{index}"
        member = Member(name, now_ms, 1, args.zone, "r", "127.0.0.1", 1, "alive")

        def on_open(link: Any) -> None:
            counts["opened"] += 1
            link.send(Hello(member, 0))
            reactor.callLater(STORM_HOLD_S * source.random(), link._abort)

        def on_message(link: Any, message: Any) -> None:
            counts["answered"] += isinstance(message, Hello)

        def on_closed(link: Any, reason: str) -> None:
            counts["closed"] += 1
            reactor.callLater(STORM_PAUSE_S * source.random(), connect, index)

        handlers = LinkHandlers(on_open, on_message, on_closed)
        network.dial("127.0.0.1", args.port, handlers)

    commands = open_commands(lambda words: commands.say(counts))
    for index in range(args.links):
        reactor.callLater(source.random(), connect, index)
    commands.say("ready")


def main() -> None:
    """Run one role."""
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
    reactor.callLater(LIFETIME_S, reactor.stop)
    reactor.run()


if __name__ == "__main__":
    main()
