"""Runs a module and terminates it at the end of standard input.

The pipe closes when the parent exits or is killed, so that no child outlives it.

python -m bench.child bamboocove.node --set node.id=n1 ...
"""

import os
import runpy
import select
import signal
import sys
import threading
import time

# Terminates the child even if its parent hangs and keeps the pipe open.
MAX_LIFETIME_S = 900.0
# A node drains for up to 30 s after SIGTERM.
DRAIN_TIMEOUT_S = 40.0


def exit_at_end_of_input() -> None:
    """Wait for the end of standard input or the lifetime, then end this process.

    The process gets SIGTERM first and exits with status 1 if it is still running
    ``DRAIN_TIMEOUT_S`` later.
    """
    deadline = time.monotonic() + MAX_LIFETIME_S
    while (remaining_s := deadline - time.monotonic()) > 0:
        readable, _, _ = select.select([0], [], [], remaining_s)
        if readable and not os.read(0, 4096):
            break
    os.kill(os.getpid(), signal.SIGTERM)
    time.sleep(DRAIN_TIMEOUT_S)
    os._exit(1)


def main() -> None:
    """Run the module named on the command line as ``__main__``."""
    threading.Thread(target=exit_at_end_of_input, daemon=True).start()
    module = sys.argv[1]
    sys.argv = sys.argv[1:]
    runpy.run_module(module, run_name="__main__", alter_sys=True)


if __name__ == "__main__":
    main()
