"""Runs a module until standard input ends, so that no child outlives its parent.

python -m bench.child bamboocove.node --set node.id=n1 ...
"""

import os
import runpy
import select
import signal
import sys
import threading
import time

# Also the limit of a child whose parent hangs.
LIFETIME_S = 900.0
# A node drains for up to 30 s after SIGTERM.
DRAIN_S = 40.0


def watch_input() -> None:
    """Wait for the end of standard input, then end this process."""
    deadline = time.monotonic() + LIFETIME_S
    while (left_s := deadline - time.monotonic()) > 0:
        readable, _, _ = select.select([0], [], [], left_s)
        if readable and not os.read(0, 4096):
            break
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(DRAIN_S)
    os._exit(1)


def main() -> None:
    """Run the module that the command line names."""
    threading.Thread(target=watch_input, daemon=True).start()
    module = sys.argv[1]
    sys.argv = sys.argv[1:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
