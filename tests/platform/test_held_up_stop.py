"""Planned stops of a node process that gets no processor for a time."""

import signal

import pytest
from twisted.internet import reactor

from bamboocove.sidecar.shutdown import CALLER_DRAIN_S
from soak.cluster import ROUTE_HOSTNAME
from tests.callpath import run_reactor_until
from tests.platform.test_planned_stop import (
    GRACE_S,
    TIMEOUT_S,
    open_call,
    run_host,
    wait_s,
)
from tests.sidecar.hosts import format_call, read_response

HELD_UP_S = 0.8


@pytest.fixture
def host(tmp_path):
    with run_host(tmp_path, 0.02) as host:
        yield host


def format_next_call(path, method):
    data = format_call(path, method, b"", int(TIMEOUT_S * 1000), path)
    return data.replace(b"h.example", ROUTE_HOSTNAME.encode())


@pytest.mark.parametrize("held_up_at", [CALLER_DRAIN_S - 0.1, GRACE_S - 1.0])
def test_process_that_was_held_up_reads_requests_before_it_closes(host, held_up_at):
    """Guards against a close of connections whose requests are still unread."""
    kept = [open_call(host, f"/read/{n}", "GET") for n in range(2)]
    assert [read_response(caller)[0] for caller in kept] == [200, 200]
    for caller in kept:
        caller.data = b""
    if held_up_at > CALLER_DRAIN_S:
        # Keeps the node from an earlier end.
        host.worker.work_s = 60.0
        open_call(host, "/pay/1", "POST")
        run_reactor_until(lambda: host.worker.running)
    host.node.is_enabled = False
    host.node.send_signal(signal.SIGTERM)
    end_at = reactor.seconds() + GRACE_S
    wait_s(held_up_at)
    host.node.send_signal(signal.SIGSTOP)
    new = [open_call(host, f"/pay/{n}", "POST") for n in (2, 3)]
    kept[0].send(format_next_call("/read/4", "GET"))
    kept[1].send(format_next_call("/pay/5", "POST"))
    wait_s(HELD_UP_S)
    host.node.send_signal(signal.SIGCONT)
    statuses = [read_response(caller)[0] for caller in (*kept, *new)]
    assert set(statuses) <= {200, 503}
    run_reactor_until(lambda: not host.node.is_alive, GRACE_S)
    assert reactor.seconds() < end_at
