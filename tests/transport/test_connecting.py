"""Time limit of connection attempts on a real reactor."""

import socket
import time

import pytest
from twisted.internet import reactor

from bamboocove.transport.clients import ConnectionPool
from tests.callpath import run_reactor_until

TIMEOUT_S = 0.2


@pytest.fixture
def listener():
    with socket.create_server(("127.0.0.1", 0), backlog=1) as listener:
        yield listener


def connect(listener):
    """Start a connection attempt; return its results, connection or reason."""
    results = []
    pool = ConnectionPool(reactor, TIMEOUT_S)
    connector = pool.connect(listener.getsockname(), results.append, results.append)
    return results, connector


def test_connection_made_while_the_process_stood_still_is_used(listener):
    """Guards against a healthy worker that counts as down after a pause of its node.

    Timers run before the sockets are looked at, and the one of the attempt was due.
    """
    run_reactor_until(lambda: True)
    results, _ = connect(listener)
    # Begins the attempt, but does not look at the sockets.
    reactor.runUntilCurrent()
    time.sleep(2 * TIMEOUT_S)
    run_reactor_until(lambda: results)
    (connection,) = results
    assert connection.is_connected
    connection.abort()
    run_reactor_until(lambda: not connection.is_connected)


def test_attempt_that_begins_after_a_pause_is_used(listener):
    """Guards against a failure of an attempt that the process had no time for."""
    results, _ = connect(listener)
    time.sleep(2 * TIMEOUT_S)
    run_reactor_until(lambda: results)
    (connection,) = results
    assert connection.is_connected
    connection.abort()
    run_reactor_until(lambda: not connection.is_connected)


def test_attempt_that_is_not_accepted_ends_in_time(listener):
    """Guards against requests that wait for a worker which accepts nothing."""
    waiting = []
    # The kernel drops the attempts beyond the backlog.
    for _ in range(3):
        waiting.append(socket.socket())
        waiting[-1].setblocking(False)
        waiting[-1].connect_ex(listener.getsockname())
    started_at = reactor.seconds()
    results, _ = connect(listener)
    run_reactor_until(lambda: results)
    assert results == ["no connection in time"]
    assert reactor.seconds() - started_at >= TIMEOUT_S
    for item in waiting:
        item.close()


def test_cancelled_attempt_fails_once(listener):
    """Guards against a time limit that outlives its attempt."""
    results, connector = connect(listener)
    connector.disconnect()
    run_reactor_until(lambda: results)
    end_at = reactor.seconds() + 2 * TIMEOUT_S
    run_reactor_until(lambda: reactor.seconds() > end_at)
    assert len(results) == 1
