"""Planned stops of nodes whose links to others are slow."""

import socket

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.sidecar import shutdown
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response

GRACE_S = 4.0
LARGE_BYTES = 1_500_000
SOCKET_BYTES = 16 * 1024
# Time after each read of a slow link, in seconds.
READ_INTERVAL_S = 0.02


def slow_down(link):
    """Let the link read a little now and then, as one with a low rate does."""
    handle = link.transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    receive = link.dataReceived

    def resume():
        if link.state != "closed":
            link.transport.resumeProducing()

    def receive_and_pause(data):
        link.transport.pauseProducing()
        reactor.callLater(READ_INTERVAL_S, resume)
        receive(data)

    link.dataReceived = receive_and_pause


@pytest.fixture
def hosts(monkeypatch):
    """Return the host of a caller, and one whose answers are large."""
    monkeypatch.setattr(shutdown, "CALLER_DRAIN_S", 0.2)
    monkeypatch.setattr(shutdown, "WORKER_DRAIN_DELAY_S", 0.1)
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, timeout_s=6.1, pay={"orders": 1}))
    caller, target = mesh.add("ledger"), mesh.add("orders")
    mesh.settle()
    bounds = evolve(target.node.settings.bounds, grace_s=GRACE_S)
    target.node.settings = evolve(target.node.settings, bounds=bounds)
    target.request_handler = lambda exchange: exchange.respond(
        200,
        [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")],
        bytes(LARGE_BYTES),
    )
    yield caller, target
    mesh.close()


def test_large_answer_on_a_slow_link_is_delivered_before_the_node_stops(hosts):
    """Guards against 502 for answers that the stopping node still sends."""
    caller, target = hosts
    slow_down(caller.node.hub.peers_by_id[target.host_id].link)
    connection = caller.open(format_call("/pay/1", "POST", b"", 6000, "a1"))
    replies = target.node.forwarding.replies
    run_reactor_until(lambda: target.requests and replies.count)
    run_reactor_until(lambda: not replies.count)
    target.node.drain()
    status, _, body = read_response(connection)
    assert (status, len(body)) == (200, LARGE_BYTES)
    run_reactor_until(lambda: target.node.finished.called)


def test_link_that_nothing_is_received_on_does_not_keep_a_stopping_node(hosts):
    """Guards against a stop that takes the whole grace period for a lost host."""
    caller, target = hosts
    link = caller.node.hub.peers_by_id[target.host_id].link
    handle = link.transport.getHandle()
    handle.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    connection = caller.open(format_call("/pay/1", "POST", b"", 6000, "a1"))
    replies = target.node.forwarding.replies
    attempts = caller.node.outbound._attempts._attempts_by_stream
    run_reactor_until(lambda: any(a.reply_parts for a in attempts.values()))
    link.transport.pauseProducing()
    (sending,) = target.node.hub._accepted
    run_reactor_until(lambda: not replies.count and sending.pending_bytes)
    started_at = reactor.seconds()
    target.node.drain()
    run_reactor_until(lambda: target.node.finished.called)
    assert reactor.seconds() - started_at < GRACE_S / 2
    link.transport.resumeProducing()
    connection.close()
