"""A reactor whose time does not jump with the time of day."""

import time
from typing import Any


def use_steady_clock(reactor: Any) -> None:
    """Let a reactor measure time with the monotonic clock.

    Twisted's reactors schedule by the time of day: when it is set back, every
    timer waits that much longer, and when it is set forward, all time-outs of
    that span fire at once.
    """
    reactor.seconds = time.monotonic
