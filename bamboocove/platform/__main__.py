"""Entry point of the node process, ``python -m bamboocove.platform``."""

import gc
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


if __name__ == "__main__":
    sys.exit(main())
