"""Entry point of the node process, ``python -m bamboocove.platform``."""

import gc
import os
import signal
import sys


def main() -> int:
    """Run the node; return the exit status."""
    # The default action of SIGHUP would end the process during the imports, which
    # take most of its start-up time. The settings are read after them.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Nearly all objects created by the imports live as long as the process. The node
    # enables the collector once it has started.
    gc.disable()
    from bamboocove.platform.node import run_node

    return run_node()


def end_process(status: int) -> None:
    """End the process at once.

    The interpreter frees all objects before it ends. On a busy host that takes longer
    than a planned stop has left.
    """
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(status)


if __name__ == "__main__":
    end_process(main())
