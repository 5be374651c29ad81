"""Responses that wait because the node holds as many bytes as it may."""

import socket
import struct
from fcntl import ioctl
from termios import FIONREAD

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.coordination.body_queue import MAX_EXCESS_BYTES, PIECE_BYTES
from bamboocove.sidecar import shutdown
from bamboocove.sidecar.attempts import AttemptTable
from bamboocove.transport.sending import count_unacknowledged
from tests.callpath import Caller, run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response
from tests.sidecar.test_endless_responses import make_endless

# More than the buffers of a loopback connection hold.
LARGE_BYTES = 3_900_000
LARGE_BODY = bytes(range(250)) * (LARGE_BYTES // 250)
LIMIT = 2_500_000
SOCKET_BYTES = 16 * 1024
# The kernel doubles the size that is asked for.
MAX_SOCKET_BYTES = 2 * 128 * 1024 + 64 * 1024


@pytest.fixture
def mesh():
    mesh = HostMesh()
    routes = {"read": {"orders": 1}, "pay": {"orders": 1}, "list": {"orders": 1}}
    mesh.store.put_config(make_config(2, timeout_s=2.0, **routes))
    yield mesh
    mesh.close()


def open_calls(host, count, left_ms=1500):
    return [
        host.open(format_call("/pay/1", "POST", b"", left_ms, f"p{number}"))
        for number in range(count)
    ]


def open_slow_call(host, attempt, left_ms):
    """Send a request from a caller whose socket takes few bytes until it is read."""
    port = host.settings.caller_address[1]
    caller = Caller.__new__(Caller)
    caller.socket = socket.socket()
    caller.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BYTES)
    caller.socket.connect(("127.0.0.1", port))
    caller.socket.setblocking(False)
    caller.data, caller.is_closed = b"", False
    caller.send(format_call("/pay/1", "POST", b"", left_ms, attempt))
    return caller


def start_response(exchange, length, data):
    attempt = dict(exchange.headers)[b"x-attempt-id"]
    fields = [(b"x-attempt-id", attempt), (b"x-response-signature", b"s")]
    exchange.start(200, fields, length)
    exchange.write(data)


def watch_held(budget, is_done):
    """Run the reactor until a condition holds; return the most bytes held."""
    peaks = [0]

    def check():
        peaks.append(max(peaks[-1], budget.held))
        return is_done()

    run_reactor_until(check, 10)
    return peaks[-1]


def test_endless_responses_at_once_stay_within_the_budget(mesh):
    """Guards against a node that holds a whole response for each request."""
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    budget = target.node.body_budget
    budget.limit = LIMIT
    responses = []
    target.request_handler = make_endless(responses, "chunks", b"/pay/")
    callers = open_calls(front, 3)
    run_reactor_until(lambda: len(responses) == 3)
    assert front.call("/list/1", attempt="a2")[0] == 200
    peak = watch_held(budget, lambda: all(r.is_closed for r in responses))
    # One response may exceed the limit, so that one can always be completed.
    assert peak <= LIMIT + 4 * 1024 * 1024 + 3 * PIECE_BYTES
    assert [read_response(caller)[0] for caller in callers] == [502] * 3
    run_reactor_until(lambda: budget.held == 0)
    for caller in callers:
        caller.close()


@pytest.mark.parametrize("length", [LARGE_BYTES, -1])
def test_response_that_waits_until_the_deadline_has_run(mesh, length):
    """Guards against the answer "not run" for a request that a worker ran."""
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    budget = target.node.body_budget
    budget.limit = PIECE_BYTES
    exchanges = []

    def handle(exchange):
        if not exchange.target.startswith(b"/pay/"):
            target.respond(exchange)
            return
        exchanges.append(exchange)
        start_response(exchange, length, b"x" * (2 * PIECE_BYTES))

    target.request_handler = handle
    callers = open_calls(front, 2, left_ms=900)
    run_reactor_until(lambda: len(exchanges) == 2)
    assert front.call("/list/1", attempt="a2")[0] == 200
    assert [read_response(caller)[0] for caller in callers] == [504, 504]
    run_reactor_until(lambda: budget.held == 0)
    # It was the node that did not read, so the worker is not taken for silent.
    assert target.node.inbound.worker.state == "ready"
    for caller in callers:
        caller.close()


def test_waiting_response_continues_when_another_has_ended(mesh):
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.node.body_budget.limit = PIECE_BYTES
    exchanges = []

    def handle(exchange):
        exchanges.append(exchange)
        start_response(exchange, LARGE_BYTES, b"x" * (LARGE_BYTES - 1))

    target.request_handler = handle
    callers = open_calls(front, 3)
    run_reactor_until(lambda: len(exchanges) == 3)
    started_at = reactor.seconds()
    for exchange in exchanges:
        exchange.finish(b"x")
    results = [read_response(caller) for caller in callers]
    assert [status for status, _, _ in results] == [200] * 3
    assert [len(body) for _, _, body in results] == [LARGE_BYTES] * 3
    assert reactor.seconds() - started_at < 1.0
    for caller in callers:
        caller.close()


def respond_large(host):
    """Let the worker of a host answer all requests with a large body."""
    host.request_handler = lambda exchange: (
        start_response(exchange, LARGE_BYTES, b""),
        exchange.finish(LARGE_BODY),
    )


@pytest.mark.parametrize("is_local", [True, False])
def test_body_is_counted_until_its_caller_has_read_it(mesh, is_local):
    """Guards against answers that pile up in the buffers of slow callers."""
    target, front = mesh.add("orders"), mesh.add("front")
    mesh.settle()
    respond_large(target)
    origin = target if is_local else front
    budget = origin.node.body_budget
    callers = open_calls(origin, 4)
    run_reactor_until(lambda: len(target.requests) == 4 and budget.held)
    for caller in callers:
        status, _, body = read_response(caller)
        assert status == 200 and body == LARGE_BODY
    run_reactor_until(lambda: budget.held == 0)
    # The connection goes on.
    callers[0].data = b""
    callers[0].send(format_call("/list/1", "GET", b"", 1500, "a2"))
    assert read_response(callers[0])[2] == LARGE_BODY
    for caller in callers:
        caller.close()


def test_body_is_forgotten_when_its_caller_leaves(mesh):
    target = mesh.add("orders")
    mesh.settle()
    respond_large(target)
    budget = target.node.body_budget
    callers = open_calls(target, 4)
    run_reactor_until(lambda: len(target.requests) == 4 and budget.held)
    for caller in callers:
        caller.close()
    run_reactor_until(lambda: budget.held == 0)
    run_reactor_until(lambda: not target.node.connections)


@pytest.mark.parametrize("is_local", [True, False])
def test_answers_to_callers_that_do_not_read_stay_within_the_budget(mesh, is_local):
    """Guards against a sum of answers that callers read slowly or not at all."""
    target, front = mesh.add("orders"), mesh.add("front")
    mesh.settle()
    respond_large(target)
    hosts = [target] if is_local else [target, front]
    for host in hosts:
        host.node.body_budget.limit = LIMIT
    # Answers that wait occupy the worker.
    target.node.inbound.queue.slots = 12
    budgets = [host.node.body_budget for host in hosts]
    callers = []
    peak = 0
    for number in range(10):
        callers.append(open_slow_call(hosts[-1], f"s{number}", 1900))
        end = reactor.seconds() + 0.1
        peak = max(
            peak, *(watch_held(b, lambda: reactor.seconds() > end) for b in budgets)
        )
    assert LARGE_BYTES < peak <= LIMIT + MAX_EXCESS_BYTES + 2 * LARGE_BYTES
    # A small answer passes.
    target.request_handler = None
    assert front.call("/list/1", attempt="a2")[0] == 200
    results = [read_response(caller) for caller in callers]
    statuses = [status for status, _, _ in results]
    assert 200 in statuses and set(statuses) <= {200, 504}
    assert all(body == LARGE_BODY for status, _, body in results if status == 200)
    run_reactor_until(lambda: not any(budget.held for budget in budgets))
    for caller in callers:
        caller.close()


@pytest.mark.parametrize(("is_released", "expected"), [(True, 200), (False, 502)])
def test_large_answer_of_a_host_that_stops(mesh, monkeypatch, is_released, expected):
    """Guards against running a request again whose answer waits on another host."""
    monkeypatch.setattr(shutdown, "CALLER_DRAIN_S", 0.5)
    monkeypatch.setattr(shutdown, "WORKER_DRAIN_DELAY_S", 0.4)
    targets = [mesh.add("orders"), mesh.add("orders")]
    front = mesh.add("front")
    mesh.settle()
    for target in targets:
        respond_large(target)
        bounds = evolve(target.node.settings.bounds, grace_s=1.5)
        target.node.settings = evolve(target.node.settings, bounds=bounds)
    budget = front.node.body_budget
    taken = budget.limit + MAX_EXCESS_BYTES + 1
    budget.add_unread(taken)
    (caller,) = open_calls(front, 1, left_ms=2000)
    run_reactor_until(lambda: any(t.node.forwarding.replies.count for t in targets))
    (stopping,) = [target for target in targets if target.requests]
    stopping.node.drain()
    until = reactor.seconds() + 0.8
    run_reactor_until(lambda: reactor.seconds() > until)
    if is_released:
        budget.release_unread(taken)
    assert read_response(caller)[0] == expected
    run_reactor_until(lambda: stopping.node.finished.called)
    assert sum(len(target.requests) for target in targets) == 1
    caller.close()


def test_bytes_in_the_buffers_of_sockets_are_few(mesh):
    """Guards against megabytes that wait in the kernel for each slow caller."""
    target = mesh.add("orders")
    mesh.settle()
    respond_large(target)
    target.node.inbound.queue.slots = 12
    target.node.body_budget.limit = LIMIT
    callers = [open_slow_call(target, f"s{number}", 1900) for number in range(10)]
    run_reactor_until(lambda: len(target.requests) == 10)
    until = reactor.seconds() + 0.5
    run_reactor_until(lambda: reactor.seconds() > until)
    waiting = [r.connection for r in target.node.inbound._requests]
    assert waiting
    unread = [count_unread(c.transport.socket) for c in waiting if c is not None]
    unsent = [count_unacknowledged(c.transport) for c in target.node.connections]
    assert max(unread) < MAX_SOCKET_BYTES
    assert 0 < max(unsent) < MAX_SOCKET_BYTES
    for caller in callers:
        caller.close()


def count_unread(connected):
    return struct.unpack("i", ioctl(connected, FIONREAD, bytes(4)))[0]


def test_two_nodes_that_hold_replies_for_each_other_do_not_wait_in_vain(mesh):
    """Guards against 504 for all large answers between two busy nodes.

    Each held more replies for the other than its budget, and so took none of them.
    """
    routes = {"read": {"orders": 1}, "pay": {"front": 1}}
    mesh.store.put_config(make_config(3, timeout_s=2.0, **routes))
    hosts = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    for host in hosts:
        host.node.body_budget.limit = 0
        host.request_handler = lambda exchange: None
    callers = []
    for number in range(3):
        read = format_call("/read/1", "GET", b"", 1500, f"r{number}")
        callers.append(hosts[0].open(read))
        pay = format_call("/pay/1", "POST", b"", 1500, f"p{number}")
        callers.append(hosts[1].open(pay))
    run_reactor_until(lambda: all(len(host.requests) == 3 for host in hosts))
    peaks = [0]
    for exchanges in zip(*(host.requests for host in hosts), strict=True):
        for exchange in exchanges:
            start_response(exchange, LARGE_BYTES, b"")
            exchange.finish(LARGE_BODY)
    for caller in callers:
        caller.read_until(
            lambda data: (
                peaks.append(max(h.node.body_budget.held for h in hosts))
                or len(data) > LARGE_BYTES
            )
        )
        assert caller.data[9:12] == b"200"
        caller.close()
    assert max(peaks) <= 4 * MAX_EXCESS_BYTES + 6 * PIECE_BYTES
    run_reactor_until(lambda: not any(h.node.body_budget.held for h in hosts))
    assert not any(h.node.body_budget.offered for h in hosts)


def test_small_bodies_are_served_beside_callers_that_do_not_read(mesh):
    """Guards against 503 for all bodies while a few callers hold the whole budget."""
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    respond_large(target)
    budget = front.node.body_budget
    budget.limit = LIMIT
    slow = []
    while budget.held <= LIMIT + MAX_EXCESS_BYTES:
        slow.append(open_slow_call(front, f"s{len(slow)}", 1500))
        run_reactor_until(lambda: budget.unread == LARGE_BYTES * len(slow))
    target.request_handler = target.respond
    statuses = []
    for size in (10, 10_000, 20_000):
        call = format_call("/pay/1", "POST", bytes(size), 1500, f"p{size}")
        statuses.append(read_response(front.open(call))[0])
    assert statuses == [200, 200, 503]
    for caller in slow:
        caller.close()
    run_reactor_until(lambda: budget.held == budget.unread == 0)


def test_large_answer_without_one_of_its_parts_is_no_success(mesh, monkeypatch):
    """Guards against a shorter answer that looks complete."""
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.request_handler = lambda exchange: exchange.respond(
        200,
        [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")],
        LARGE_BODY[:300_000],
    )
    take_part, dropped = AttemptTable.take_reply_part, []

    def drop_first(attempts, part):
        if dropped:
            take_part(attempts, part)
        dropped.append(part)

    monkeypatch.setattr(AttemptTable, "take_reply_part", drop_first)
    status, _, body = front.call("/pay/1", "POST")
    assert len(dropped) > 1
    assert (status, b"missing" in body) == (502, True)
