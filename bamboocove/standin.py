"""Command line of the stand-ins for the platform and for workers."""

import json
from collections.abc import Coroutine
from typing import Any

from cleo.application import Application
from cleo.commands.command import Command
from cleo.helpers import option
from twisted.internet.defer import Deferred

from bamboocove import __version__
from bamboocove.standin_faults import parse_faults
from bamboocove.standin_platform import PlatformStandin
from bamboocove.standin_worker import WorkerOptions, WorkerStandin

HOST_OPTIONS = [
    option("host", None, "IP number to listen on", flag=False, default="127.0.0.1"),
    option("port", None, "TCP port; 0 for any free one", flag=False, default="0"),
]


def _announce_ready(**fields: Any) -> None:
    print(json.dumps(fields), flush=True)


def _run_until_stopped(reactor: Any, stop: Any) -> None:
    def start_stop() -> Deferred:
        coroutine: Coroutine = stop()
        return Deferred.fromCoroutine(coroutine)

    # SIGTERM and SIGINT stop the reactor, which waits for this trigger.
    reactor.addSystemEventTrigger("before", "shutdown", start_stop)
    reactor.run()


class PlatformCommand(Command):
    """Runs the table service and the object store."""

    name = "platform"
    description = "run a stand-in for the table service and the object store"
    options = HOST_OPTIONS

    def handle(self) -> int:  # noqa: D102
        from twisted.internet import reactor

        standin = PlatformStandin(reactor)
        host = self.option("host")
        port = standin.start(host, int(self.option("port")))
        url = f"http://{host}:{port}"
        _announce_ready(kind="platform", port=port, table_url=url, object_url=url)
        _run_until_stopped(reactor, standin.stop)
        return 0


class WorkerCommand(Command):
    """Runs one worker."""

    name = "worker"
    description = "run a stand-in for one upstream process"
    options = [
        *HOST_OPTIONS,
        option("service", None, "service that it runs", flag=False, default="orders"),
        option("service-version", None, "its version", flag=False, default="v1"),
        option("slots", None, "calls at a time", flag=False, default="12"),
        option("queue", None, "calls that wait", flag=False, default="4"),
        option("connections", None, "connections", flag=False, default="120"),
        option("work", None, "seconds for each call", flag=False, default="0.005"),
        option("cold-start", None, "seconds of slow start", flag=False, default="0"),
        option("drain", None, "least seconds of a drain", flag=False, default="3"),
        option("admin-url", None, "URL of the node's admin", flag=False, default=""),
        option("faults", None, "faults as a JSON map", flag=False, default="{}"),
    ]

    def handle(self) -> int:  # noqa: D102
        from twisted.internet import reactor

        options = WorkerOptions(
            service=self.option("service"),
            version=self.option("service-version"),
            slots=int(self.option("slots")),
            queue=int(self.option("queue")),
            connections=int(self.option("connections")),
            work_s=float(self.option("work")),
            cold_start_s=float(self.option("cold-start")),
            drain_s=float(self.option("drain")),
            admin_url=self.option("admin-url"),
        )
        standin = WorkerStandin(options, parse_faults(self.option("faults")), reactor)
        port = standin.start(self.option("host"), int(self.option("port")))
        _announce_ready(
            kind="worker", port=port, service=options.service, version=options.version
        )
        _run_until_stopped(reactor, standin.drain)
        return 0


def main() -> None:
    """Run the command line."""
    application = Application("bamboocove-standin", __version__)
    application.add(PlatformCommand())
    application.add(WorkerCommand())
    application.run()


if __name__ == "__main__":
    main()
