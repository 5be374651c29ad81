"""A fake distributor, and ways to run coroutines in tests."""

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
    """Run a coroutine that awaits nothing that is not ready, such as a fake."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise AssertionError("coroutine waits for something")


def run_with_reactor(
    make_coroutine: Callable[[Any], Any], limit_s: float = 10.0
) -> Any:
    """Run ``make_coroutine(reactor)`` on a reactor of its own, for a bounded time.

    The global reactor cannot be started a second time, so each call makes one.
    """
    reactor = SelectReactor()
    results = []

    def finish(result):
        results.append(result)
        if len(results) == 1:
            reactor.stop()

    def give_up():
        # Cancelling is not enough, as code under test may handle it and go on.
        finish(Failure(TimeoutError(f"not finished after {limit_s} s")))

    def begin():
        Deferred.fromCoroutine(make_coroutine(reactor)).addBoth(finish)

    reactor.callWhenRunning(begin)
    reactor.callLater(limit_s, give_up)
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
    """Distributor that keeps what it is given."""

    def __init__(self):
        self.members = MemberTable()
        self.offered: list[Config] = []
        self.is_reading = True
        self.last_store_read: float | None = None

    def offer(self, config: Config) -> None:
        """Take a new revision."""
        self.offered.append(config)

    def is_reader(self, now: float) -> bool:
        """Return what the test set."""
        return self.is_reading

    def report_store_read(self, now: float) -> None:
        """Take the time of a read."""
        self.last_store_read = now

    def get_store_age(self, now: float) -> float:
        """Return the time since the last read, -1 if there was none."""
        return -1.0 if self.last_store_read is None else now - self.last_store_read
