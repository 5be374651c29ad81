"""Requests with large bodies, which run at most once and arrive whole or not at all."""

import pytest
from attrs import evolve
from twisted.internet import reactor

from tests.callpath import pause, run, run_reactor_until
from tests.sidecar.hosts import (
    HostMesh,
    format_call,
    make_config,
    read_response,
    stop_at_once,
)

BODY = bytes(range(256)) * 800


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(HostMesh, "link_bytes_per_s", 812_500)
    mesh = HostMesh()
    yield mesh
    mesh.close()


def make_hosts(mesh, targets=2):
    """Return a calling host and hosts that run uploads."""
    config = make_config(pay={"orders": 1}, timeout_s=3.0)
    route = evolve(config.routes_by_name["pay"], target_s=2.0)
    mesh.store.put_config(evolve(config, routes_by_name={"pay": route}))
    hosts = [mesh.add("front"), *(mesh.add("orders") for _ in range(targets))]
    mesh.settle()
    return hosts


def upload(caller, attempt="a1", body=BODY, left_ms=2500):
    """Start an upload; return the caller's connection."""
    connection = caller.open(b"")
    # The whole body fits into the buffers of the loopback interface.
    connection.socket.setblocking(True)
    connection.send(format_call("/pay/1", "POST", body, left_ms, attempt))
    connection.socket.setblocking(False)
    return connection


def count_runs(hosts):
    return sum(len(host.requests) for host in hosts)


def hold_link(host, size=200_000):
    """Occupy the link of a host by a body that does not end."""
    host.node.forwarding.grants.add("held", size, reactor.seconds() + 60.0)
    host.node.forwarding.grants.take_granted(reactor.seconds())


def test_upload_arrives_whole_and_runs_once(mesh):
    caller, *targets = make_hosts(mesh)
    status, _, body = read_response(upload(caller))
    assert (status, body) == (200, BODY)
    assert count_runs(targets) == 1
    for host in targets:
        assert not host.node.forwarding.grants._granted_by_key


def test_upload_goes_to_the_host_whose_link_has_room(mesh):
    """Guards against bodies sent to a host that cannot receive them in time."""
    caller, full, free = make_hosts(mesh)
    hold_link(full, 4_000_000)
    for number in range(4):
        assert read_response(upload(caller, f"a{number}"))[0] == 200
    assert (len(full.requests), len(free.requests)) == (0, 4)


def test_upload_without_room_anywhere_is_refused_at_once(mesh):
    """Guards against an upload that is held until its deadline and then fails."""
    caller, *targets = make_hosts(mesh)
    for host in targets:
        hold_link(host, 4_000_000)
    started_at = reactor.seconds()
    status, fields, _ = read_response(upload(caller))
    assert status == 503 and float(fields["retry-after"]) > 0
    assert reactor.seconds() - started_at < 0.5
    assert count_runs(targets) == 0


def test_upload_that_waits_at_a_lost_host_runs_at_another_one_once(mesh):
    """Guards against an upload that fails though no byte of its body was sent."""
    caller, *targets = make_hosts(mesh)
    for host in targets:
        hold_link(host)
    connection = upload(caller)
    run_reactor_until(
        lambda: any(host.node.forwarding.grants._waiting_by_key for host in targets)
    )
    lost = next(h for h in targets if h.node.forwarding.grants._waiting_by_key)
    (other,) = (host for host in targets if host is not lost)
    stop_at_once(lost.node)
    other.node.forwarding.grants.remove("held")
    assert read_response(connection)[0] == 200
    assert (len(lost.requests), len(other.requests)) == (0, 1)


def test_upload_of_a_caller_that_leaves_never_runs(mesh):
    """Guards against a body that is sent for nobody."""
    caller, target = make_hosts(mesh, 1)
    hold_link(target)
    connection = upload(caller)
    grants = target.node.forwarding.grants
    run_reactor_until(lambda: grants._waiting_by_key)
    connection.close()
    run_reactor_until(lambda: not grants._waiting_by_key, 1)
    grants.remove("held")
    run(pause(0.3))
    assert count_runs([target]) == 0


def test_upload_still_waiting_at_its_deadline_is_refused_as_not_run(mesh):
    caller, target = make_hosts(mesh, 1)
    hold_link(target)
    connection = upload(caller)
    run_reactor_until(lambda: target.node.forwarding.grants._waiting_by_key)
    assert read_response(connection)[0] == 503
    target.node.forwarding.grants.remove("held")
    run(pause(0.3))
    assert count_runs([target]) == 0


def test_upload_reset_by_its_worker_is_not_sent_again(mesh):
    """Guards against an upload that runs twice.

    Full workers of some services reset connections. Once bytes of the request were
    sent, a reset is no proof that it has not run.
    """
    caller, *targets = make_hosts(mesh)
    for host in targets:
        host.request_handler = host.worker.lose
    assert read_response(upload(caller))[0] == 502
    assert count_runs(targets) == 1


def test_answer_before_the_body_is_read_is_delivered(mesh):
    """Guards against bytes of one body that reach the worker as another request."""
    caller, target = make_hosts(mesh, 1)

    def answer_early(exchange):
        attempt = dict(exchange.headers)[b"x-attempt-id"]
        fields = [(b"x-attempt-id", attempt), (b"x-response-signature", b"s")]
        exchange.respond(200, fields, b"early")

    target.request_handler = answer_early
    for number in range(3):
        status, _, body = read_response(upload(caller, f"a{number}"))
        assert (status, body) == (200, b"early")
    assert count_runs([target]) == 3


def test_node_of_an_earlier_release_gets_bodies_without_an_offer(mesh, monkeypatch):
    """Guards against uploads that wait for an answer that never comes."""
    monkeypatch.setattr(HostMesh, "link_bytes_per_s", 0)
    caller, target = make_hosts(mesh, 1)
    assert read_response(upload(caller))[0] == 200
    assert count_runs([target]) == 1
