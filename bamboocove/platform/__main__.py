"""Runs the node of one host on the users' platform."""

import gc
import signal
import sys
import time
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bamboocove.errors import ErrorResult
from bamboocove.events import run_logged
from bamboocove.platform.documents import decode_worker
from bamboocove.platform.headers import DIALECT
from bamboocove.platform.host_settings import read_host_settings
from bamboocove.platform.store import PlatformStore
from bamboocove.sidecar.application import SidecarApplication
from bamboocove.sidecar.logs import log, setup_log
from bamboocove.sidecar.settings import HostSettings
from bamboocove.transport.monotonic_clock import use_monotonic_clock

EXIT_MISUSE = 2
CHECK_SETTINGS_S = 5.0


def make_application(
    settings: HostSettings, reactor: Any, random: Random, incarnation: int
) -> SidecarApplication:
    """Return the application with the parts that speak to the platform."""
    return SidecarApplication(
        settings,
        DIALECT,
        PlatformStore(settings.store_address, reactor),
        lambda worker_id, data: decode_worker(worker_id, data, settings.worker_address),
        reactor,
        random,
        incarnation,
    )


def run(settings: HostSettings) -> int:
    """Run a node until SIGTERM or SIGINT; return the exit status."""
    from twisted.internet import reactor

    use_monotonic_clock(reactor)
    now_ms = int(time.time() * 1000)
    random = Random(f"{settings.host_id}/{now_ms}")
    application = make_application(settings, reactor, random, now_ms)
    errors: list[ErrorResult] = []

    async def start() -> None:
        error = await application.start()
        if error is not None:
            errors.append(error)
            print(error, file=sys.stderr)
            reactor.stop()
            return
        # Objects of the start live as long as the process.
        gc.freeze()

    def stop() -> Deferred | None:
        if errors:
            return None
        application.drain()
        return application.finished

    def check_settings() -> None:
        changed = read_host_settings()
        if changed != application.settings:
            application.reload(changed)

    def reload(number: int, frame: Any) -> None:
        reactor.callFromThread(lambda: application.reload(read_host_settings()))

    checker = LoopingCall(check_settings)
    checker.clock = reactor
    reactor.callWhenRunning(run_logged, start())
    reactor.callWhenRunning(signal.signal, signal.SIGHUP, reload)
    # The settings may change without a signal.
    reactor.callWhenRunning(checker.start, CHECK_SETTINGS_S, now=False)
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    return EXIT_MISUSE if errors else 0


def main() -> int:
    """Read the settings and run the node."""
    setup_log()
    settings = read_host_settings()
    if isinstance(settings, ErrorResult):
        log("node.settings-refused", reason=settings.reason)
        print(settings, file=sys.stderr)
        return EXIT_MISUSE
    return run(settings)


if __name__ == "__main__":
    sys.exit(main())
