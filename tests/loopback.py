"""Runs coroutines over real loopback sockets, with bounded waits."""

import threading

from twisted.internet.defer import Deferred
from twisted.internet.selectreactor import SelectReactor
from twisted.internet.task import deferLater

WAIT_S = 10.0


def run_with_reactor(function):
    """Run ``function(reactor)`` on a reactor of its own and return its result."""
    reactor = SelectReactor()
    results, failures = [], []

    def start():
        running = Deferred.fromCoroutine(function(reactor))
        running.addCallbacks(results.append, failures.append)
        running.addBoth(lambda _: reactor.callLater(0, reactor.stop))

    reactor.callWhenRunning(start)
    reactor.callLater(2 * WAIT_S, reactor.stop)
    thread = threading.Thread(
        target=reactor.run, kwargs={"installSignalHandlers": False}, daemon=True
    )
    thread.start()
    thread.join(2 * WAIT_S + 5)
    assert not thread.is_alive()
    for failure in failures:
        failure.raiseException()
    assert results, "no result in time"
    return results[0]


async def wait_until(reactor, condition):
    """Wait until a condition holds; AssertionError after ``WAIT_S``."""
    for _ in range(int(WAIT_S / 0.02)):
        if condition():
            return
        await deferLater(reactor, 0.02)
    raise AssertionError("condition not met in time")
