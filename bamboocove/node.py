"""Command line program ``bamboocove-node``: runs the node of one upstream host."""

import os
import sys
from pathlib import Path
from random import Random

from cleo.commands.command import Command
from cleo.helpers import argument, option
from twisted.internet.defer import Deferred

from bamboocove.application import NodeApplication
from bamboocove.commands import run_single_command
from bamboocove.events import run_logged, setup_logging
from bamboocove.settings import Settings, format_settings, read_settings

EXIT_MISUSE = 2


def run_node(settings: Settings) -> int:
    """Run a node until SIGTERM or SIGINT and return the exit status."""
    from twisted.internet import reactor

    now_ms = int(reactor.seconds() * 1000)
    # The seed must differ between nodes that start simultaneously.
    random = Random(f"{settings.get('node', 'id')}/{now_ms}/{os.getpid()}")
    node = NodeApplication(settings, reactor, random, now_ms)
    statuses = []

    async def start() -> None:
        error = await node.start()
        if error is not None:
            statuses.append(EXIT_MISUSE)
            print(error, file=sys.stderr)
            reactor.stop()
            return
        ports = " ".join(f"{name}={port}" for name, port in node.ports_by_name.items())
        print(f"ready {ports}", flush=True)

    def stop() -> Deferred | None:
        if statuses:
            return None
        node.drain()
        return node.finished

    reactor.callWhenRunning(run_logged, start())
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    return statuses[0] if statuses else 0


class NodeCommand(Command):
    """Command ``run``, which runs a node with settings from a file and options."""

    name = "run"
    description = "run a node until SIGTERM, then drain"
    arguments = [argument("settings", "INI file", optional=True)]
    options = [
        option("set", None, "section.name=value", flag=False, multiple=True),
        option("print-settings", None, "print the checked settings and exit"),
    ]

    def handle(self) -> int:  # noqa: D102
        overrides = {}
        for assignment in self.option("set"):
            key, _, value = assignment.partition("=")
            section, _, name = key.partition(".")
            overrides[section, name] = value
        path = self.argument("settings")
        settings = read_settings(Path(path) if path else None, overrides)
        if isinstance(settings, list):
            for problem in settings:
                self.line_error(problem.reason)
            return EXIT_MISUSE
        if self.option("print-settings"):
            self.line(format_settings(settings))
            return 0
        setup_logging(settings.get("logs", "level"))
        return run_node(settings)


def main() -> None:
    """Run the command line program."""
    run_single_command("bamboocove-node", NodeCommand())


if __name__ == "__main__":
    main()
