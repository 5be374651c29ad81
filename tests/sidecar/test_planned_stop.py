"""Requests that are open, arrive or are answered during a planned stop of a node."""

import time

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.coordination.drain_window import StopSchedule
from bamboocove.protocol.mesh_messages import Forward, encode_mesh_message
from bamboocove.sidecar import shutdown
from bamboocove.sidecar.application import SidecarApplication
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response

GRACE_S = 1.5
# Longer than the grace period, as for routes whose requests take long.
LEFT_MS = 6100
# Large enough that the reply is offered first.
LARGE_BYTES = 1_000_000
# More than a node holds at a time, also for the one body that may exceed its budget.
HELD_BYTES = 1_000_000_000


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(shutdown, "CALLER_DRAIN_S", 0.5)
    monkeypatch.setattr(shutdown, "WORKER_DRAIN_DELAY_S", 0.4)
    # The nodes share the reactor of the tests, and take its pauses for their own lag.
    monkeypatch.setattr(SidecarApplication, "get_lag", lambda node: 0.0)
    for name in ("get_end", "get_flushed_by"):
        method = getattr(StopSchedule, name)
        monkeypatch.setattr(
            StopSchedule, name, lambda plan, lag_s, method=method: method(plan, 0.0)
        )
    mesh = HostMesh()
    mesh.store.put_config(
        make_config(2, timeout_s=6.1, read={"orders": 1}, pay={"orders": 1})
    )
    yield mesh
    mesh.close()


def make_hosts(mesh, *services, grace_s=GRACE_S):
    """Return hosts with a short grace period, one for each service."""
    hosts = [mesh.add(service) for service in services]
    mesh.settle()
    run_reactor_until(lambda: mesh.get_versions() == [2] * len(hosts))
    for host in hosts:
        bounds = evolve(host.node.settings.bounds, grace_s=grace_s)
        host.node.settings = evolve(host.node.settings, bounds=bounds)
    return hosts


def start_stop(host):
    """Start the planned stop of a host's node; return the time of its end."""
    host.node.drain()
    return host.node.outbound.router.drain_window.end_at


def caller_drained_at(host):
    return host.node.outbound.router.drain_window.refuse_at


def open_call(host, path, left_ms=LEFT_MS, attempt="a1"):
    method = "POST" if path.startswith("/pay") else "GET"
    return host.open(format_call(path, method, b"", left_ms, attempt))


@pytest.mark.parametrize("path", ["/read/1", "/pay/1"])
@pytest.mark.parametrize("services", [("orders",), ("ledger", "orders")])
def test_request_open_at_the_end_of_a_planned_stop_is_answered(mesh, services, path):
    """Guards against requests that are cut without an answer."""
    hosts = make_hosts(mesh, *services)
    hosts[-1].request_handler = lambda exchange: None
    caller = open_call(hosts[0], path)
    run_reactor_until(lambda: hosts[-1].requests)
    start_stop(hosts[0])
    status, fields, _ = read_response(caller)
    assert (status, fields["connection"]) == (502, "close")
    run_reactor_until(lambda: hosts[0].node.finished.called)
    assert len(hosts[-1].requests) == 1


@pytest.mark.parametrize("services", [("orders",), ("ledger", "orders")])
def test_request_that_waits_at_the_end_of_a_planned_stop_is_refused(mesh, services):
    """Guards against requests that are cut, or lost, before a worker got them."""
    hosts = make_hosts(mesh, *services)
    target = hosts[-1]
    # Quick answers, after which the queue of the worker takes requests that wait.
    assert all(hosts[0].call("/pay/1", "POST")[0] == 200 for _ in range(20))
    target.requests.clear()
    target.request_handler = lambda exchange: None
    callers = [open_call(hosts[0], "/pay/1", attempt=f"a{n}") for n in range(4)]
    run_reactor_until(lambda: len(target.requests) == 4)
    waiting = open_call(hosts[0], "/pay/1", attempt="late")
    run_reactor_until(lambda: target.node.inbound.queue.waiting)
    start_stop(target)
    status, fields, _ = read_response(waiting)
    assert status == 503 and float(fields["retry-after"]) > 0
    run_reactor_until(lambda: target.node.finished.called)
    assert [read_response(caller)[0] for caller in callers] == [502] * 4
    assert len(target.requests) == 4


@pytest.mark.parametrize(
    ("left_before_end_s", "expected"),
    # The second would have its 504 in time, but for the wait for that of a worker.
    [(-0.3, (503, 1)), (0.05, (503, 1)), (0.4, (504, 2))],
)
@pytest.mark.parametrize("path", ["/read/1", "/pay/1"])
def test_request_late_in_a_planned_stop_is_refused_or_awaited(
    mesh, path, left_before_end_s, expected
):
    """Guards against a late request that is passed on and cut at the end."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    target.request_handler = lambda exchange: None
    # Without an open request the node would stop as soon as callers are drained.
    held = open_call(caller, path, attempt="a0")
    run_reactor_until(lambda: target.requests)
    end_at = start_stop(caller)
    run_reactor_until(lambda: reactor.seconds() > end_at - 0.8)
    left_s = end_at - reactor.seconds() - left_before_end_s
    status, _, _ = read_response(open_call(caller, path, int(left_s * 1000)))
    assert (status, len(target.requests)) == expected
    held.close()


def test_planned_stop_waits_until_callers_have_their_answers(mesh):
    """Guards against an answer that is cut while its last bytes are being sent."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    size = 4_000_000
    target.request_handler = lambda exchange: exchange.respond(
        200, [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")], bytes(size)
    )
    socket = open_call(caller, "/read/1")
    run_reactor_until(lambda: not caller.node.outbound.in_flight and target.requests)
    start_stop(caller)
    run_reactor_until(lambda: reactor.seconds() > caller_drained_at(caller) + 0.3)
    assert not caller.node.finished.called
    assert len(read_response(socket)[2]) == size
    run_reactor_until(lambda: caller.node.finished.called)


def test_calls_of_a_running_request_are_accepted_in_a_planned_stop(mesh):
    """Guards against a request that fails because its worker's calls are refused."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    target.request_handler = lambda exchange: None
    held = open_call(caller, "/read/1", attempt="a0")
    caller.node.inbound._running_ids.add(b"a1")
    end_at = start_stop(caller)
    run_reactor_until(lambda: reactor.seconds() > caller_drained_at(caller) + 0.1)
    assert caller.call(left_ms=LEFT_MS, attempt="b1")[0] == 503
    target.request_handler = None
    assert caller.call(left_ms=LEFT_MS, attempt="a1.1")[0] == 200
    assert reactor.seconds() < end_at
    held.close()


def test_planned_stop_logs_what_is_open_at_its_end(mesh, monkeypatch):
    """Guards against lost requests whose cause no log shows."""
    lines = []
    for module in ("shutdown", "outbound_request", "inbound_reports"):
        monkeypatch.setattr(
            f"bamboocove.sidecar.{module}.log",
            lambda event, **fields: lines.append((event, fields)),
        )
    (host,) = make_hosts(mesh, "orders")
    host.request_handler = lambda exchange: None
    caller = open_call(host, "/pay/1")
    run_reactor_until(lambda: host.requests)
    start_stop(host)
    read_response(caller)
    # Nodes of earlier tests may still be stopping, with nothing open.
    drained = [fields for event, fields in lines if event == "node.drained"]
    assert (1, 1) in [(fields["outbound"], fields["inbound"]) for fields in drained]
    opened = [fields for event, fields in lines if event == "request.open-at-stop"]
    assert [fields["id"] for fields in opened] == [b"a1", b"a1"]
    assert (opened[0]["is_running"], opened[1]["is_sent"]) == (True, True)


def wait_until(now):
    run_reactor_until(lambda: reactor.seconds() >= now)


@pytest.mark.parametrize("path", ["/read/1", "/pay/1"])
@pytest.mark.parametrize("services", [("orders",), ("ledger", "orders")])
def test_answer_that_comes_before_the_grace_period_is_over_is_delivered(
    mesh, services, path
):
    """Guards against an error in place of an answer whose worker is at work."""
    grace_s = 4.8
    hosts = make_hosts(mesh, *services, grace_s=grace_s)
    hosts[-1].request_handler = lambda exchange: None
    caller = open_call(hosts[0], path)
    run_reactor_until(lambda: hosts[-1].requests)
    end_at = reactor.seconds() + grace_s
    hosts[0].node.drain()
    wait_until(end_at - 0.43)
    hosts[-1].respond(hosts[-1].requests[0])
    assert read_response(caller)[0] == 200
    run_reactor_until(lambda: hosts[0].node.finished.called)
    assert reactor.seconds() < end_at


def test_quiet_planned_stop_ends_as_soon_as_callers_are_drained(mesh):
    """Guards against a stop that takes longer than it has to."""
    hosts = make_hosts(mesh, "ledger", "orders", grace_s=6.0)
    for host in hosts:
        start_stop(host)
        run_reactor_until(lambda host=host: host.node.finished.called, 1.0)


def answer_after(host, delay_s):
    """Let a host's worker respond to each request after a time in seconds."""
    host.request_handler = lambda exchange: reactor.callLater(
        delay_s, host.respond, exchange
    )


@pytest.mark.parametrize("work_s, status", [(0.02, 200), (0.6, 503)])
def test_call_late_in_a_planned_stop_is_served_if_it_can_end(mesh, work_s, status):
    """Guards against a call that is passed on late and cut at the end."""
    host, target = make_hosts(mesh, "ledger", "orders")
    answer_after(target, work_s)
    assert host.call(left_ms=LEFT_MS, attempt="a0")[0] == 200
    host.node.inbound._running_ids.add(b"a1")
    # Without an open request the node would stop as soon as callers are drained.
    target.request_handler = lambda exchange: None
    held = open_call(host, "/pay/1", attempt="a2")
    run_reactor_until(lambda: len(target.requests) == 2)
    answer_after(target, work_s)
    target.requests.clear()
    end_at = start_stop(host)
    wait_until(end_at - 0.45)
    assert host.call(left_ms=LEFT_MS, attempt="a1.1")[0] == status
    assert len(target.requests) == (status == 200)
    held.close()


@pytest.mark.parametrize("path", ["/read/1", "/pay/1"])
@pytest.mark.parametrize("others", [0, 1])
def test_host_that_stops_takes_no_request_that_cannot_end(mesh, path, others):
    """Guards against a request of another host that is cut when this one has stopped.

    A request that ends in time is still taken, the worker may be the only one.
    """
    caller, target = make_hosts(mesh, "ledger", "orders")
    answer_after(target, 1.2)
    assert open_call(caller, path, attempt="a0").read_until(len)
    for _ in range(others):
        mesh.add("orders")
        mesh.settle()
    target.requests.clear()
    start_stop(target)
    wait_until(reactor.seconds() + 0.25)
    statuses = [
        open_call(caller, path, attempt=f"a{n}").read_until(len)[9:12] for n in range(4)
    ]
    assert statuses == ([b"200"] if others else [b"503"]) * 4
    assert not target.requests


def test_quick_request_is_taken_by_a_host_that_stops(mesh):
    """Guards against refusals of a service whose only worker is on that host."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    assert caller.call(left_ms=LEFT_MS)[0] == 200
    start_stop(target)
    wait_until(reactor.seconds() + 0.2)
    assert caller.call(left_ms=LEFT_MS)[0] == 200


def test_request_that_waits_too_long_beside_a_host_that_stops_is_not_started(mesh):
    """Guards against a request that starts late in the stop and is cut."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    answer_after(target, 0.8)
    # Lets the queue of the worker take requests that wait.
    target.node.inbound.queue.service_times.record("pay", 0.05)
    target.node.inbound.queue.slots = 1
    sockets = [open_call(caller, "/pay/1", attempt=f"a{n}") for n in range(2)]
    run_reactor_until(lambda: target.node.inbound.queue.waiting)
    start_stop(target)
    assert [read_response(socket)[0] for socket in sockets] == [200, 503]
    assert len(target.requests) == 1


def test_host_that_stops_says_which_requests_it_loses(mesh):
    """Guards against callers that take a planned stop for a failure of the host."""
    caller, target, other = make_hosts(mesh, "ledger", "orders", "orders")
    answer_after(other, 0.02)
    target.request_handler = lambda exchange: None
    sockets = {}
    while not target.requests or len(sockets) < 8:
        attempt = f"a{len(sockets)}"
        sockets[attempt] = open_call(caller, "/pay/1", attempt=attempt)
        seen = len(target.requests) + len(other.requests)
        run_reactor_until(lambda: len(target.requests) + len(other.requests) > seen)
    start_stop(target)
    for exchange in target.requests:
        attempt = dict(exchange.headers)[b"x-attempt-id"].decode()
        status, _, body = read_response(sockets[attempt])
        assert (status, b"stop" in body) == (502, True)
    run_reactor_until(lambda: target.node.finished.called)


def test_request_that_crosses_the_end_of_a_host_is_sent_elsewhere(mesh):
    """Guards against 502 for a request that a stopped host never read."""
    caller, target, other = make_hosts(mesh, "ledger", "orders", "orders")
    other.report("draining")
    run_reactor_until(lambda: not caller.node.fleet.views_by_id.get(other.host_id))
    # The record that tells the others of the stop is still on its way.
    target.node.hosts.broadcast = lambda message: None
    target.node.hosts.write_record = lambda: None
    data = format_call("/pay/1", "POST", b"12345", LEFT_MS)
    socket = caller.open(data[:-2])
    run_reactor_until(lambda: caller.node.outbound.in_flight)
    network = target.node.hub._network
    stop_network = network.stop

    def send_and_stop():
        network.stop = stop_network
        (request,) = caller.node.outbound._requests
        caller.node.outbound._place(request)
        assert request.attempt is not None
        return stop_network()

    network.stop = send_and_stop
    start_stop(target)
    status, _, _ = read_response(socket)
    assert (status, len(target.requests)) == (503, 0)


def test_request_whose_body_arrives_late_in_a_planned_stop_is_refused(mesh):
    """Guards against a body that is received for long and a request that is cut."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    held = open_call(caller, "/pay/0", attempt="a0")
    target.request_handler = lambda exchange: None
    run_reactor_until(lambda: target.requests)
    data = format_call("/pay/1", "POST", b"12345", LEFT_MS)
    late = caller.open(data[:-2])
    run_reactor_until(lambda: caller.node.outbound.in_flight == 2)
    start_stop(caller)
    wait_until(caller_drained_at(caller) + 0.2)
    late.send(data[-2:])
    assert read_response(late)[0] == 503
    assert len(target.requests) == 1
    held.close()


@pytest.mark.parametrize("is_kept", [True, False])
def test_request_sent_while_a_stopping_node_stands_still_is_answered(mesh, is_kept):
    """Guards against a node that ends with requests unread after it stood still."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    held = open_call(caller, "/read/1", attempt="a0")
    assert read_response(held)[0] == 200
    held.data = b""
    sockets = []

    def stand_still():
        data = format_call("/pay/1", "POST", b"", LEFT_MS, "a1")
        socket = held if is_kept else caller.open(b"")
        socket.send(data)
        sockets.append(socket)
        time.sleep(0.4)

    start_stop(caller)
    reactor.callLater(shutdown.CALLER_DRAIN_S - 0.1, stand_still)
    run_reactor_until(lambda: sockets)
    status, fields, _ = read_response(sockets[0])
    assert status == 503 and float(fields["retry-after"]) > 0
    assert len(target.requests) == 1


@pytest.mark.parametrize("event", ["reload", "configuration", "stop"])
def test_request_whose_body_arrives_during_planned_work_is_answered(mesh, event):
    """Guards against a body that is dropped, or one whose route is gone meanwhile."""
    caller, target = make_hosts(mesh, "ledger", "orders")
    data = format_call("/pay/1", "POST", b"12345", LEFT_MS)
    socket = caller.open(data[:-2])
    run_reactor_until(lambda: caller.node.outbound.in_flight)
    if event == "reload":
        bounds = evolve(caller.node.settings.bounds, grace_s=2.0)
        caller.node.reload(evolve(caller.node.settings, bounds=bounds))
    elif event == "configuration":
        mesh.store.put_config(make_config(3, timeout_s=6.1, read={"orders": 1}))
        run_reactor_until(lambda: mesh.get_versions() == [3, 3])
    else:
        start_stop(caller)
        wait_until(reactor.seconds() + 0.1)
    socket.send(data[-2:])
    status, _, body = read_response(socket)
    assert (status, body) == (200, b"12345")
    assert len(target.requests) == 1


def test_request_forwarded_while_a_stopping_node_stands_still_is_not_run(
    mesh, monkeypatch
):
    """Guards against a request that is passed to the worker and cut at once."""
    monkeypatch.setattr(shutdown, "READ_PASSES", 30)
    front, target = make_hosts(mesh, "ledger", "orders")
    forward = Forward(
        7, "read", "orders", "v1", 900, 300, 1, True, "ledger", b"GET", b"/read/1",
        [[b"host", b"h.example"], [b"x-attempt-id", b"a1"]], b"",
    )  # fmt: skip
    # Leaves an idle connection to the worker.
    assert front.call("/read/0")[0] == 200
    target.requests.clear()
    target.request_handler = lambda exchange: None
    link = front.node.hub.peers_by_id[target.host_id].link
    is_over = []

    def stand_still():
        link.send_encoded(encode_mesh_message(forward))
        link.transport.doWrite()
        time.sleep(0.6)
        is_over.append(True)

    target.node.drain()
    reactor.callLater(shutdown.WORKER_DRAIN_DELAY_S - 0.1, stand_still)
    run_reactor_until(lambda: is_over and target.node.finished.called)
    assert not target.requests


@pytest.fixture
def offered(mesh):
    """Return a caller's host and two others, one of which offers a large answer.

    The caller's host has no room for it. Also returns the caller's connection.
    """
    caller, *others = make_hosts(mesh, "ledger", "orders", "orders")
    for host in others:
        host.request_handler = lambda exchange: exchange.respond(
            200,
            [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")],
            bytes(LARGE_BYTES),
        )
    caller.node.body_budget.add_unread(HELD_BYTES)
    socket = open_call(caller, "/pay/1")
    run_reactor_until(lambda: others[0].requests or others[1].requests)
    target, other = others if others[0].requests else others[::-1]
    run_reactor_until(lambda: not target.node.inbound.in_flight)
    wait_until(reactor.seconds() + 0.1)
    return caller, target, other, socket


def test_answer_that_another_host_has_no_room_for_keeps_a_stopping_node(offered):
    """Guards against an answer that is there and is lost with the node."""
    caller, target, other, socket = offered
    start_stop(target)
    wait_until(caller_drained_at(target) + 0.2)
    caller.node.body_budget.release_unread(HELD_BYTES)
    status, _, body = read_response(socket)
    assert (status, len(body)) == (200, LARGE_BYTES)
    run_reactor_until(lambda: target.node.finished.called)
    assert not other.requests


def test_request_whose_answer_was_only_offered_is_not_sent_again(offered):
    """Guards against a request that runs twice when the first host has stopped."""
    caller, target, other, socket = offered
    start_stop(target)
    run_reactor_until(lambda: target.node.finished.called)
    assert read_response(socket)[0] == 502
    assert not other.requests


def test_request_whose_reply_was_not_understood_is_not_sent_again(mesh):
    """Guards against a request that runs twice after a program error."""
    caller, *others = make_hosts(mesh, "ledger", "orders", "orders")

    def fail(reply):
        raise ValueError

    caller.node.outbound.on_reply = fail
    socket = open_call(caller, "/pay/1")
    run_reactor_until(lambda: others[0].requests or others[1].requests)
    target, other = others if others[0].requests else others[::-1]
    wait_until(reactor.seconds() + 0.1)
    del caller.node.outbound.on_reply
    start_stop(target)
    assert read_response(socket)[0] == 502
    assert not other.requests
