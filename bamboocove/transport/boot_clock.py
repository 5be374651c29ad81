"""Clock that also counts the time in which the machine is suspended."""

import time


def read_boot_time() -> float:
    """Return CLOCK_BOOTTIME in seconds.

    A bound on the age of something must hold after the machine was suspended, too;
    the monotonic clock does not advance meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
