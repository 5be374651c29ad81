"""A fake distributor, and helpers that run coroutines in tests."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bamboocove.state.config import Config
from bamboocove.state.members import MemberTable

WAIT_S = 10.0
POLL_S = 0.02


def run(coroutine: Any) -> Any:
    """Run a coroutine that never suspends, such as one that only awaits fakes.

    AssertionError if it suspends.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise AssertionError("coroutine suspended instead of returning")


def run_with_reactor(
    make_coroutine: Callable[[Any], Any], limit_s: float = 10.0
) -> Any:
    """Run ``make_coroutine(reactor)`` on a new reactor for at most ``limit_s`` seconds.

    A reactor cannot be restarted, so the global one would serve one call only.
    """
    reactor = SelectReactor()
    results = []

    def finish(result):
        results.append(result)
        if len(results) == 1:
            reactor.stop()

    def on_timeout():
        # Code under test may catch a cancellation and continue, so the reactor is
        # stopped instead of cancelling the coroutine.
        finish(Failure(TimeoutError(f"not finished after {limit_s} s")))

    def start():
        Deferred.fromCoroutine(make_coroutine(reactor)).addBoth(finish)

    reactor.callWhenRunning(start)
    reactor.callLater(limit_s, on_timeout)
    reactor.run(installSignalHandlers=False)
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


async def wait_until(reactor, condition):
    """Wait until a condition holds; AssertionError after ``WAIT_S``."""
    for _ in range(int(WAIT_S / POLL_S)):
        if condition():
            return
        await deferLater(reactor, POLL_S)
    raise AssertionError("condition not met in time")


class FakeDistributor:
    """Distributor that records the configurations and read times passed to it."""

    def __init__(self):
        self.members = MemberTable()
        self.offered: list[Config] = []
        self.is_reading = True
        self.last_store_read: float | None = None

    def offer(self, config: Config) -> None:
        """Record an offered configuration."""
        self.offered.append(config)

    def is_reader(self, now: float) -> bool:
        """Return ``is_reading``, which a test may set."""
        return self.is_reading

    def report_store_read(self, now: float) -> None:
        """Record the time of a store read."""
        self.last_store_read = now

    def get_store_age(self, now: float) -> float:
        """Return the seconds since the last store read, or -1 if there was none."""
        return -1.0 if self.last_store_read is None else now - self.last_store_read
