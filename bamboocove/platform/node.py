"""The node process that runs on each host of the users' platform."""

import gc
import signal
import sys
import time
from random import Random
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.task import LoopingCall

from bamboocove.coordination.key_freshness import compute_poll_time
from bamboocove.errors import ErrorResult
from bamboocove.events import run_logged
from bamboocove.platform.documents import decode_worker
from bamboocove.platform.headers import DIALECT
from bamboocove.platform.host_settings import read_host_settings
from bamboocove.platform.store import WATCH_WAIT_S, PlatformStore
from bamboocove.sidecar.application import SidecarApplication
from bamboocove.sidecar.logs import log, setup_log
from bamboocove.sidecar.settings import HostSettings
from bamboocove.transport.monotonic_clock import use_monotonic_clock

EXIT_MISUSE = 2
SETTINGS_POLL_INTERVAL_S = 5.0


def make_application(
    settings: HostSettings, reactor: Any, random: Random, incarnation: int
) -> SidecarApplication:
    """Return the application, wired to the platform's store, headers and documents."""
    bounds = settings.bounds
    watch_wait_s = WATCH_WAIT_S
    if bounds.is_revocation_strict:
        watch_wait_s = compute_poll_time(bounds.revocation_s, WATCH_WAIT_S)
    return SidecarApplication(
        settings,
        DIALECT,
        PlatformStore(settings.store_address, reactor, watch_wait_s),
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
    start_errors: list[ErrorResult] = []

    async def start() -> None:
        error = await application.start()
        if error is not None:
            start_errors.append(error)
            print(error, file=sys.stderr)
            reactor.stop()
            return
        # Objects created at startup live as long as the process, so the garbage
        # collector need not scan them.
        gc.freeze()
        gc.enable()

    def stop() -> Deferred | None:
        if start_errors:
            return None
        application.drain()
        return application.finished

    def reload_if_changed() -> None:
        settings_read = read_host_settings()
        if settings_read != application.settings:
            application.reload(settings_read)

    def handle_sighup(signal_number: int, frame: Any) -> None:
        reactor.callFromThread(lambda: application.reload(read_host_settings()))

    settings_poll = LoopingCall(reload_if_changed)
    settings_poll.clock = reactor
    signal.signal(signal.SIGHUP, handle_sighup)
    reactor.callWhenRunning(run_logged, start())
    # The platform may rewrite the settings file without sending SIGHUP. The first
    # poll notices a change since the settings were read.
    reactor.callWhenRunning(settings_poll.start, SETTINGS_POLL_INTERVAL_S)
    reactor.addSystemEventTrigger("before", "shutdown", stop)
    reactor.run()
    # The interpreter restores the default action of handled signals as it exits.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    return EXIT_MISUSE if start_errors else 0


def run_node() -> int:
    """Read the settings and run the node; return the exit status."""
    setup_log()
    settings = read_host_settings()
    if isinstance(settings, ErrorResult):
        log("node.settings-refused", reason=settings.reason)
        print(settings, file=sys.stderr)
        return EXIT_MISUSE
    return run(settings)
