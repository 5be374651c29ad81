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
    option("host", None, "IP address to listen on", flag=False, default="127.0.0.1"),
    option("port", None, "TCP port; 0 for any free port", flag=False, default="0"),
]


def _announce_ready(**fields: Any) -> None:
    print(json.dumps(fields), flush=True)


def _run_until_stopped(reactor: Any, stop: Any) -> None:
    def call_stop() -> Deferred:
        coroutine: Coroutine = stop()
        return Deferred.fromCoroutine(coroutine)

    # On SIGTERM and SIGINT the reactor waits for this trigger before it stops.
    reactor.addSystemEventTrigger("before", "shutdown", call_stop)
    reactor.run()


class PlatformCommand(Command):
    """Runs the stand-in for the table service and the object store."""

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
    """Runs the stand-in for one worker."""

    name = "worker"
    description = "run a stand-in for one upstream process"
    options = [
        *HOST_OPTIONS,
        option("service", None, "service name", flag=False, default="orders"),
        option("service-version", None, "service version", flag=False, default="v1"),
        option("slots", None, "maximum concurrent calls", flag=False, default="12"),
        option("queue", None, "maximum queued calls", flag=False, default="4"),
        option(
            "connections", None, "connections to announce", flag=False, default="120"
        ),
        option("work", None, "seconds per call", flag=False, default="0.005"),
        option("cold-start", None, "seconds of cold start", flag=False, default="0"),
        option("drain", None, "minimum seconds of a drain", flag=False, default="3"),
        option("admin-url", None, "admin URL of the node", flag=False, default=""),
        option("faults", None, "faults as a JSON object", flag=False, default="{}"),
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
