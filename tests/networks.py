"""Loopback addresses for tests that start processes."""

import os
import socket

# Second numbers of 127.N.0.0; the soak uses those below.
FIRST, COUNT = 100, 120
STORE_PORT = 8309


def find_free_network():
    """Return a number N such that nothing listens on 127.N.0.1.

    Runs of the tests in several checkouts start from different numbers.
    """
    for offset in range(COUNT):
        network = FIRST + (os.getpid() + offset) % COUNT
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((f"127.{network}.0.1", STORE_PORT))
            except OSError:
                continue
        return network
    raise OSError("no free loopback network")
