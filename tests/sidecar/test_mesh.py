"""End-to-end requests through complete nodes on loopback, with failures."""

import threading
import time

import pytest
from attrs import evolve
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bamboocove.coordination.drain_window import DrainWindow
from tests.callpath import run, run_reactor_until
from tests.sidecar.hosts import (
    HostMesh,
    format_call,
    make_config,
    read_response,
    stop_at_once,
)


@pytest.fixture
def mesh():
    mesh = HostMesh()
    yield mesh
    mesh.close()


def make_pair(mesh, **routes):
    """Add a host of the calling service and one of the called service."""
    if routes:
        mesh.store.put_config(make_config(**routes))
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    return caller, target


def test_request_crosses_two_nodes_unchanged(mesh):
    caller, target = make_pair(mesh, pay={"orders": 1}, read={"orders": 1})
    status, fields, body = caller.call("/pay/1?x=%20", "POST", b"42", attempt="k7")
    assert (status, body) == (200, b"42")
    assert fields["x-attempt-id"] == "k7"
    (exchange,) = target.requests
    headers = dict(exchange.headers)
    assert (exchange.method, exchange.target) == (b"POST", b"/pay/1?x=%20")
    assert headers[b"x-caller-service"] == b"front"
    assert headers[b"x-expected-instance"] == target.worker_id.encode()
    assert 0 < int(headers[b"x-deadline-ms"]) <= 900


def test_node_without_configuration_is_not_ready_and_responds_503(mesh):
    """Guards against a 404 for a route of a configuration not received yet."""
    mesh.store.config = None
    host = mesh.add()
    assert not host.is_ready()
    assert host.call()[0] == 503


def test_unknown_route_is_404(mesh):
    caller, _ = make_pair(mesh)
    assert caller.call("/none/1")[0] == 404


def test_draining_worker_gets_no_request_after_the_acknowledgement(mesh):
    """Guards against a request that reaches a worker while it shuts down."""
    caller, target = make_pair(mesh)
    assert caller.call()[0] == 200
    assert target.report("draining") == 200
    count = len(target.requests)
    assert caller.call()[0] == 503
    assert len(target.requests) == count


def test_deregistered_worker_gets_no_request_and_stays_gone(mesh):
    """Guards against a late report that makes a deregistered worker ready again."""
    caller, target = make_pair(mesh)
    assert target.send_report(b"DELETE") == 200
    assert target.report("ready") == 200
    status, _, _ = caller.call()
    assert (status, len(target.requests)) == (503, 0)


def test_delayed_report_of_a_replaced_worker_is_ignored(mesh):
    """Guards against applying a delayed report of a worker that has since crashed."""
    caller, target = make_pair(mesh)
    worker_id, born_ms = target.worker_id, target.born_ms
    target.worker_id, target.born_ms = "i-old", born_ms - 500
    target.report("draining")
    target.worker_id, target.born_ms = worker_id, born_ms
    assert caller.call()[0] == 200


def test_worker_restarted_with_the_same_identifier_is_accepted(mesh):
    """Guards against ignoring a restarted worker because its sequence starts at 0."""
    caller, target = make_pair(mesh)
    target.report()
    target.send_report(b"DELETE")
    target.born_ms = int(time.time() * 1000) + 1
    target.sequence = 0
    target.report()
    mesh.settle()
    assert caller.call()[0] == 200


def test_malformed_report_is_rejected_without_effect(mesh):
    caller, target = make_pair(mesh)
    assert target.send_report(b"PUT", b"\xff") == 400
    assert caller.call()[0] == 200


def test_shed_request_is_retried_on_another_worker(mesh):
    caller, target = make_pair(mesh)
    other = mesh.add("orders")
    mesh.settle()
    target.request_handler = target.respond_not_executed
    statuses = {caller.call(attempt=f"a{i}")[0] for i in range(6)}
    assert statuses == {200}
    assert other.requests


def test_lost_non_idempotent_request_is_not_retried(mesh):
    """Guards against executing a payment twice."""
    caller, target = make_pair(mesh, pay={"orders": 1})
    other = mesh.add("orders")
    mesh.settle()
    for host in (target, other):
        host.request_handler = host.worker.lose
    assert caller.call("/pay/1", "POST", b"1")[0] == 502
    assert len(target.requests) + len(other.requests) == 1


def test_lost_idempotent_request_is_retried(mesh):
    caller, target = make_pair(mesh)
    other = mesh.add("orders")
    mesh.settle()
    target.request_handler = target.worker.lose
    assert {caller.call(attempt=f"a{i}")[0] for i in range(4)} == {200}
    assert other.requests


def test_request_that_crashes_workers_is_blocked(mesh):
    """Guards against retrying such a request until it has crashed every worker."""
    caller, target = make_pair(mesh)
    others = [mesh.add("orders") for _ in range(3)]
    mesh.settle()
    for host in (target, *others):
        host.request_handler = host.worker.crash
    for _ in range(5):
        assert caller.call()[0] in (502, 503)
    assert sum(len(host.requests) for host in (target, *others)) <= 2


def test_lost_responses_do_not_block_a_request(mesh):
    """Guards against blocking a harmless request because its responses got lost."""
    caller, target = make_pair(mesh)
    others = [mesh.add("orders") for _ in range(2)]
    mesh.settle()
    for host in (target, *others):
        host.request_handler = host.worker.lose
    assert caller.call()[0] == 502
    for host in (target, *others):
        host.request_handler = None
    assert caller.call()[0] == 200


def test_cancel_reaches_the_host_that_was_tried_second(mesh):
    """Guards against a worker that keeps running a request of a disconnected caller.

    The local inbound proxy refuses the request inside ``submit``, so it is sent to
    the second host before ``submit`` returns. Storing the returned request then
    overwrote the state of the second attempt.
    """
    mesh.store.put_config(make_config(read={"orders": 1}))
    own, other = mesh.add("orders"), mesh.add("orders", zone="y")
    mesh.settle()
    other.request_handler = other.worker.wait
    own.node.inbound.is_draining = True
    socket = own.open(format_call("/read/1"))
    run_reactor_until(lambda: other.requests)
    socket.close()
    run_reactor_until(lambda: other.worker.closed, 0.5)


def test_disconnect_of_the_caller_cancels_the_request(mesh):
    caller, target = make_pair(mesh)
    target.request_handler = target.worker.wait
    socket = caller.open(format_call("/read/1"))
    run_reactor_until(lambda: target.requests)
    socket.close()
    run_reactor_until(lambda: target.worker.closed, 0.5)


@pytest.mark.parametrize("field", [b"x-attempt-id: old", b"x-other: 1"])
def test_response_to_another_attempt_is_discarded(mesh, field):
    """Guards against delivering a late response to the next request.

    A success response without an attempt identifier once was forwarded to a caller.
    """
    caller, target = make_pair(mesh)

    def respond_twice(exchange):
        exchange.connection.write(
            b"HTTP/1.1 200 OK\r\n%b\r\ncontent-length: 3\r\n\r\nold" % field
        )
        target.respond(exchange)

    target.request_handler = respond_twice
    status, fields, body = caller.call(attempt="new", body=b"mine", method="PUT")
    assert (status, fields["x-attempt-id"], body) == (200, "new", b"mine")


def test_truncated_response_is_not_forwarded(mesh):
    caller, target = make_pair(mesh, pay={"orders": 1})

    def truncate(exchange):
        exchange.connection.write(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\ncontent-length: 9\r\n\r\nhal"
        )
        exchange.connection.transport.loseConnection()

    target.request_handler = truncate
    assert caller.call("/pay/1", "POST", b"1")[0] == 502


def test_unsigned_success_response_is_not_forwarded(mesh):
    """Guards against forwarding output of a faulty worker as a response."""
    caller, target = make_pair(mesh, pay={"orders": 1})
    target.request_handler = lambda exchange: exchange.respond(
        200, [(b"x-attempt-id", b"a1")]
    )
    assert caller.call("/pay/1", "POST", b"1")[0] == 502


def test_oversized_body_does_not_affect_other_requests(mesh):
    """Guards against suspending hosts because of one oversized request."""
    caller, target = make_pair(mesh, pay={"orders": 1}, read={"orders": 1})
    body = b"x" * (5 << 20)
    socket = caller.open(b"")
    socket.socket.setblocking(True)
    data = format_call("/pay/1", "POST", body, left_ms=5000)
    thread = threading.Thread(target=socket.socket.sendall, args=(data,))
    thread.start()
    run_reactor_until(lambda: not thread.is_alive())
    socket.socket.setblocking(False)
    assert read_response(socket)[0] == 413
    assert caller.call()[0] == 200
    fields = [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")]
    target.request_handler = lambda exchange: exchange.respond(200, fields, body)
    assert caller.call("/pay/1", "POST", b"1", left_ms=3000)[0] == 502


def test_request_ends_at_the_timeout_of_its_route(mesh):
    mesh.store.put_config(make_config(pay={"orders": 1}, timeout_s=0.2))
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.request_handler = target.worker.wait
    assert caller.call("/pay/1", "POST", b"1", left_ms=5000)[0] == 504


def test_overload_refusal_is_immediate_and_sets_retry_after(mesh):
    """Guards against queueing requests that cannot be answered in time."""
    caller, target = make_pair(mesh, read={"orders": 1}, pay={"orders": 1})
    target.request_handler = target.worker.wait
    sockets = [caller.open(format_call("/read/1", attempt=f"b{i}")) for i in range(4)]
    run_reactor_until(lambda: len(target.requests) == 4)
    target.node.inbound.queue.service_times.mean_s = 0.5
    status, fields, _ = caller.call(left_ms=900)
    assert status == 503
    assert 0 < float(fields["retry-after"]) <= 0.3
    assert len(target.requests) == 4
    for socket in sockets:
        socket.close()


def test_call_made_for_a_running_request_has_internal_priority(mesh):
    """Guards against refusing calls that requests already running depend on.

    Only calls of workers may get this priority. Callers and workers share an address,
    and a check by address gave it to all requests: none was refused in time, and most
    responses came late.
    """
    caller, target = make_pair(mesh)
    priorities = {}
    submit = target.node.inbound.submit

    def record(forward, reply, *held):
        priorities[dict(map(tuple, forward.headers))[b"x-attempt-id"]] = (
            forward.priority
        )
        return submit(forward, reply, *held)

    target.node.inbound.submit = record
    caller.node.inbound._running_ids.add(b"parent")
    for attempt in ("new", "parent.call", "other.call"):
        caller.call(attempt=attempt)
    assert priorities == {b"new": 1, b"parent.call": -1, b"other.call": 1}


def test_new_configuration_applies_and_an_older_one_does_not(mesh):
    caller, target = make_pair(mesh)
    mesh.store.put_config(make_config(5, read={"orders": 1}, more={"orders": 1}))
    run_reactor_until(lambda: mesh.get_versions() == [5, 5])
    assert caller.call("/more/1")[0] == 200
    mesh.store.put_config(make_config(4))
    run_reactor_until(lambda: mesh.store.revision == 3)
    assert caller.call("/more/1")[0] == 200
    assert mesh.get_versions() == [5, 5]


def test_node_that_starts_without_the_store_bootstraps_from_peers(mesh):
    """Guards against a node that cannot serve until the store is available again."""
    caller, target = make_pair(mesh)
    mesh.store.is_down = True
    stop_at_once(caller.node)
    caller.start(incarnation=2000)
    run_reactor_until(lambda: caller.node.hooks.state == "serving", 8)
    run_reactor_until(lambda: caller.node.fleet.count_ready("orders", {"v1"}), 8)
    assert caller.call()[0] == 200


def test_node_whose_store_watch_hangs_gets_the_configuration_from_a_peer(mesh):
    """Guards against a stale configuration when a call to the store never returns."""
    caller, target = make_pair(mesh)
    watch = mesh.store.watch_operator

    async def hang(*args):
        await Deferred()

    run_reactor_until(lambda: mesh.store.pending_watches == 2)
    caller.node.watch._store.watch_operator = hang
    # This change completes the pending watch call; the next call hangs.
    mesh.store.put_config(make_config(2))
    run_reactor_until(lambda: mesh.get_versions() == [2, 2])
    target.node.use_config(make_config(3, read={"orders": 1}, b={"orders": 1}), "test")
    run_reactor_until(lambda: mesh.get_versions() == [3, 3], 2)
    mesh.store.watch_operator = watch


def test_restarted_node_uses_its_worker_before_the_next_report(mesh):
    caller, target = make_pair(mesh)
    stop_at_once(target.node)
    target.start(incarnation=2000)
    run_reactor_until(
        lambda: (
            target.node.inbound.worker and target.node.inbound.worker.state == "ready"
        )
    )
    mesh.settle()
    assert caller.call()[0] == 200


def test_restarted_node_probes_a_worker_recorded_as_down(mesh):
    """Guards against treating a worker as gone after a restart of the node."""
    caller, target = make_pair(mesh)
    target.node.inbound.watch.set_state("down")
    target.node.inbound.watch.health_path = ""
    run_reactor_until(lambda: mesh.store.hosts["h1"].worker.state == "down")
    stop_at_once(target.node)
    target.start(incarnation=2000)
    run_reactor_until(
        lambda: (
            target.node.inbound.worker and target.node.inbound.worker.state == "ready"
        )
    )


def test_restarted_node_sends_nothing_to_a_draining_worker(mesh):
    """Guards against losing the acknowledged draining state with the process."""
    caller, target = make_pair(mesh)
    target.report("draining")
    run_reactor_until(lambda: mesh.store.hosts["h1"].worker.state == "draining")
    stop_at_once(target.node)
    target.start(incarnation=2000)
    run_reactor_until(
        lambda: caller.node.fleet.records_by_id["h1"].incarnation == 2000, 8
    )
    assert caller.call()[0] == 503
    assert not target.requests


def test_shutdown_completes_requests_in_flight(mesh):
    """Guards against a graceful shutdown that aborts a running request."""
    caller, target = make_pair(mesh)
    held = []
    target.request_handler = held.append
    socket = caller.open(format_call("/read/1", left_ms=3000))
    run_reactor_until(lambda: held)
    caller.node.drain()
    assert not caller.is_ready()
    target.respond(held[0])
    assert read_response(socket)[0] == 200


def test_draining_node_refuses_requests_that_could_outlive_it(mesh):
    """Guards against accepting a request late in a shutdown and then aborting it.

    Callers may keep sending for 5 s after SIGTERM if fewer than half of the nodes of
    their zone are ready.
    """
    caller, target = make_pair(mesh)
    caller.node.drain()
    now = reactor.seconds()
    caller.node.outbound.router.drain_window = DrainWindow(now - 1, now + 0.5)
    status, fields, _ = caller.call(left_ms=900)
    assert status == 503 and float(fields["retry-after"]) > 0
    assert fields["connection"] == "close"
    assert caller.call(left_ms=300)[0] == 200


def test_keep_alive_connection_serves_many_requests(mesh):
    caller, target = make_pair(mesh)
    socket = caller.open(b"")
    for index in range(5):
        socket.data = b""
        socket.send(format_call("/read/1", attempt=f"a{index}"))
        assert read_response(socket)[0] == 200


def test_move_to_a_good_version_succeeds(mesh):
    caller, target = make_pair(mesh)
    new = mesh.add("orders", "v2")
    mesh.settle()
    assert all(caller.call(attempt=f"a{i}")[0] == 200 for i in range(5))
    assert not new.requests
    mesh.store.put_order("orders", "v2", 2.0)
    run_reactor_until(lambda: "orders" in caller.node.rule_table.rules_by_service)

    def is_done():
        caller.call()
        rule = mesh.store.rules.get("orders")
        return rule is not None and rule.state == "succeeded"

    run_reactor_until(is_done, 15)
    run_reactor_until(lambda: caller.node.rule_table.get("orders").state == "succeeded")
    count = len(target.requests)
    assert caller.call()[0] == 200
    assert len(target.requests) == count


def test_move_to_a_bad_version_is_rolled_back(mesh):
    caller, target = make_pair(mesh)
    new = mesh.add("orders", "v2")
    mesh.settle()
    new.request_handler = lambda exchange: new.respond(exchange, 500)
    mesh.store.put_order("orders", "v2", 3.0)
    run_reactor_until(lambda: "orders" in caller.node.rule_table.rules_by_service)
    statuses = []

    def is_done():
        statuses.append(caller.call()[0])
        rule = mesh.store.rules.get("orders")
        return rule is not None and rule.state == "rolled_back"

    run_reactor_until(is_done, 15)
    count = len(new.requests)
    assert caller.call()[0] == 200
    assert len(new.requests) == count
    assert run(mesh.store.read_rules())[0].banned == ("v2",)


def test_caller_turned_away_by_an_idle_worker_may_return_at_once(mesh):
    """Guards against a caller that waits for a third of its time for nothing.

    A worker that fails may turn requests away although its slots are free.
    """
    caller, target = make_pair(mesh)
    target.request_handler = target.respond_not_executed
    # The first ones are offered to other workers, until the retries are used up.
    for number in range(6):
        status, fields, _ = caller.call(left_ms=900, attempt=f"a{number}")
        assert status == 503
        assert 0 < float(fields["retry-after"]) < 0.1


def test_caller_turned_away_by_a_busy_worker_is_told_to_wait(mesh):
    """Guards against callers that return at once to a worker without room."""
    caller, target = make_pair(mesh)
    target.request_handler = target.worker.wait
    sockets = [caller.open(format_call("/read/1", attempt=f"b{i}")) for i in range(4)]
    run_reactor_until(lambda: len(target.requests) == 4)
    target.node.inbound.queue.slots = 5
    target.request_handler = target.respond_not_executed
    queue = target.node.inbound.queue

    def shed_when_full(exchange):
        queue.slots = 4
        target.respond_not_executed(exchange)

    target.request_handler = shed_when_full
    status, fields, _ = caller.call(left_ms=900, attempt="last")
    assert status == 503
    assert float(fields["retry-after"]) > 0.1
    for socket in sockets:
        socket.close()


@pytest.mark.parametrize("is_other_worker", [True, False])
def test_restarted_node_does_not_use_a_worker_that_left_meanwhile(
    mesh, is_other_worker
):
    """Guards against an old record of a worker that has left since.

    Its write may arrive late, or the worker left while no node ran. The address may
    have been given to another worker.
    """
    caller, target = make_pair(mesh)
    stop_at_once(target.node)
    if is_other_worker:
        target.worker_id = "i-other"
    else:
        target.worker.listener.stopListening()
    target.start(incarnation=2000)
    run_reactor_until(
        lambda: caller.node.fleet.records_by_id["h1"].incarnation == 2000, 8
    )
    run_reactor_until(lambda: target.node.inbound.worker is not None)
    probed_until = reactor.seconds() + 1.2
    while reactor.seconds() < probed_until:
        assert target.node.inbound.worker.state == "down"
        assert caller.call()[0] == 503
    assert not target.requests


def test_restarted_node_with_a_clock_set_back_supersedes_its_old_record(mesh):
    """Guards against other nodes that keep the record of the previous process."""
    caller, target = make_pair(mesh)
    target.report("draining")
    run_reactor_until(lambda: mesh.store.hosts["h1"].worker.state == "draining")
    stop_at_once(target.node)
    target.start(incarnation=500)
    run_reactor_until(
        lambda: caller.node.fleet.records_by_id["h1"].incarnation > 1000, 8
    )
    assert target.node.inbound.worker.state == "draining"
    assert caller.call()[0] == 503
    assert not target.requests


def test_connection_may_be_idle_for_as_long_as_the_configuration_says(mesh):
    """Guards against a close that crosses a request on a connection that is reused."""
    config = evolve(make_config(5), idle_timeout_s=120.0)
    mesh.store.put_config(config)
    host = mesh.add("orders")
    mesh.settle()
    caller = host.open(format_call("/read/1"))
    assert read_response(caller)[0] == 200
    node = host.node
    run_reactor_until(lambda: node.config.version == 5)
    server = next(s for s in node.servers if s.connections)
    (connection,) = server.connections
    node._sweep(reactor.seconds())
    node._sweep(reactor.seconds() + 110.0)
    assert connection in server.connections and not connection._is_closing
    node._sweep(reactor.seconds() + 125.0)
    assert connection._is_closing
    caller.close()
