"""Program errors in the steps of a planned stop."""

import pytest
from twisted.internet import reactor

from bamboocove.coordination import drain_window
from bamboocove.coordination.drain_window import StopSchedule
from bamboocove.sidecar import shutdown
from bamboocove.sidecar.application import SidecarApplication
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config, read_response
from tests.sidecar.test_planned_stop import (
    HELD_BYTES,
    LARGE_BYTES,
    make_hosts,
    open_call,
    start_stop,
)
from tests.sidecar.test_program_errors import fail_next

# Leaves some tenths of a second for pauses of the tests.
STOP_S = 2.0


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(shutdown, "CALLER_DRAIN_S", 0.5)
    monkeypatch.setattr(shutdown, "WORKER_DRAIN_DELAY_S", 0.4)
    monkeypatch.setattr(SidecarApplication, "get_lag", lambda node: 0.0)
    get_end = StopSchedule.get_end
    monkeypatch.setattr(StopSchedule, "get_end", lambda plan, lag_s: get_end(plan, 0.0))
    # Leaves time for each step in the short grace period, also after a pause.
    monkeypatch.setattr(drain_window, "RESERVED_FRACTION", 0.5)
    monkeypatch.setattr(drain_window, "FINISH_S", 0.5)
    mesh = HostMesh()
    mesh.store.put_config(
        make_config(2, timeout_s=6.1, read={"orders": 1}, pay={"orders": 1})
    )
    yield mesh
    mesh.close()


def stop(host):
    """Stop the node of a host; return the time until it has ended, in seconds."""
    started_at = reactor.seconds()
    start_stop(host)
    run_reactor_until(lambda: host.node.finished.called, 3 * STOP_S)
    return reactor.seconds() - started_at


def test_request_that_cannot_be_ended_does_not_keep_a_stop(mesh, monkeypatch, capfd):
    """Guards against callers without an answer, and a node that does not end."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    target.request_handler = lambda exchange: None
    calls = [open_call(caller, f"/read/{n}", attempt=f"a{n}") for n in range(3)]
    run_reactor_until(lambda: len(target.requests) == 3)
    fail_next(monkeypatch, caller.node.outbound.responder, "respond_with_error")
    assert stop(caller) < STOP_S
    assert [read_response(call)[0] for call in calls] == [502] * 3
    assert not caller.node.outbound.in_flight
    assert '"request.handler-failed"' in capfd.readouterr().out


@pytest.mark.parametrize(
    "name",
    [
        "outbound.refuse_unsent",
        "inbound.refuse_waiting",
        "inbound.log_open_at_stop",
        "outbound.end_requests",
        "forwarding.submit_pending",
        "inbound.end_requests",
        "forwarding.replies.end_all",
        "watch.stop",
        "close_ports",
        "hub.close_links",
        "has_callers",
        "hub.stop",
    ],
)
def test_step_that_fails_does_not_keep_a_stop(mesh, monkeypatch, capfd, name):
    """Guards against a node that runs on, with calls open, after one failed step."""
    (host,) = make_hosts(mesh, "orders")
    host.request_handler = lambda exchange: None
    call = open_call(host, "/read/1")
    run_reactor_until(lambda: host.requests)
    owner = host.node
    *path, attribute = name.split(".")
    for part in path:
        owner = getattr(owner, part)
    fail_next(monkeypatch, owner, attribute)
    assert stop(host) < STOP_S
    assert read_response(call)[0] == 502
    out = capfd.readouterr().out
    assert '"node.stop-step-failed"' in out and "ValueError: odd" in out


def test_held_reply_that_cannot_be_ended_does_not_keep_others(mesh, monkeypatch):
    """Guards against callers that wait for replies which a stopped node has held."""
    caller, target = make_hosts(mesh, "ledger", "orders")

    def respond(exchange):
        attempt_id = dict(exchange.headers)[b"x-attempt-id"]
        fields = [(b"x-attempt-id", attempt_id), (b"x-response-signature", b"s")]
        exchange.respond(200, fields, bytes(LARGE_BYTES))

    target.request_handler = respond
    caller.node.body_budget.add_unread(HELD_BYTES)
    calls = [open_call(caller, f"/pay/{n}", attempt=f"a{n}") for n in range(3)]
    replies = target.node.forwarding.replies
    run_reactor_until(lambda: replies.count == 3)
    fail_next(monkeypatch, replies, "remove")
    assert stop(target) < STOP_S
    assert [read_response(call)[0] for call in calls] == [502] * 3
