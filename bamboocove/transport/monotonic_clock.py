"""Clocks that do not depend on the wall clock."""

import time
from typing import Any


def use_monotonic_clock(reactor: Any) -> None:
    """Let a reactor schedule its timers by the monotonic clock.

    Twisted's reactors use the wall clock: when it is set back, every timer is
    delayed by the difference, and when it is set forward, all timeouts within
    the difference fire at once.
    """
    reactor.seconds = time.monotonic


def read_boot_time() -> float:
    """Return the time since the machine started, in seconds.

    The monotonic clock does not count the time for which a machine is suspended, so
    what must not be used after a certain age is measured by this one.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
