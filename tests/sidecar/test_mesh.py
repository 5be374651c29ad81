"""Requests through whole nodes on loopback, and what happens when parts fail."""

import threading

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bamboocove.sidecar.flows import Closing
from tests.callpath import run, run_reactor_until
from tests.sidecar.hosts import (
    HostMesh,
    format_call,
    make_config,
    read_answer,
    stop_at_once,
)


@pytest.fixture
def mesh():
    mesh = HostMesh()
    yield mesh
    mesh.close()


def make_pair(mesh, **routes):
    """Return the host of a service that calls, and that of the one called."""
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


def test_node_without_configuration_is_not_ready_and_says_503(mesh):
    """Guards against a 404 for a route that the node does not know yet."""
    mesh.store.config = None
    host = mesh.add()
    assert not host.is_ready()
    assert host.call()[0] == 503


def test_unknown_route_is_404(mesh):
    caller, _ = make_pair(mesh)
    assert caller.call("/none/1")[0] == 404


def test_draining_worker_gets_nothing_after_the_acknowledgement(mesh):
    """Guards against a request that reaches a worker that leaves."""
    caller, target = make_pair(mesh)
    assert caller.call()[0] == 200
    assert target.report("draining") == 200
    count = len(target.requests)
    assert caller.call()[0] == 503
    assert len(target.requests) == count


def test_signed_off_worker_gets_nothing_and_stays_gone(mesh):
    """Guards against a late report that brings a worker back."""
    caller, target = make_pair(mesh)
    assert target.tell(b"DELETE") == 200
    assert target.report("ready") == 200
    status, _, _ = caller.call()
    assert (status, len(target.requests)) == (503, 0)


def test_report_of_an_earlier_worker_is_ignored(mesh):
    """Guards against a delayed report of a worker that has crashed since."""
    caller, target = make_pair(mesh)
    worker_id, born_ms = target.worker_id, target.born_ms
    target.worker_id, target.born_ms = "i-old", born_ms - 500
    target.report("draining")
    target.worker_id, target.born_ms = worker_id, born_ms
    assert caller.call()[0] == 200


def test_worker_restarted_under_its_identifier_counts_anew(mesh):
    """Guards against a restarted worker whose low sequence is taken for old."""
    caller, target = make_pair(mesh)
    target.report()
    target.tell(b"DELETE")
    target.born_ms += 5000
    target.sequence = 0
    target.report()
    mesh.settle()
    assert caller.call()[0] == 200


def test_unreadable_report_is_refused_and_changes_nothing(mesh):
    caller, target = make_pair(mesh)
    assert target.tell(b"PUT", b"\xff") == 400
    assert caller.call()[0] == 200


def test_shed_request_is_run_by_another_worker(mesh):
    caller, target = make_pair(mesh)
    other = mesh.add("orders")
    mesh.settle()
    target.behave = target.shed
    answers = {caller.call(attempt=f"a{i}")[0] for i in range(6)}
    assert answers == {200}
    assert other.requests


def test_request_that_must_not_run_twice_is_not_repeated(mesh):
    """Guards against a payment that is taken twice."""
    caller, target = make_pair(mesh, pay={"orders": 1})
    other = mesh.add("orders")
    mesh.settle()
    for host in (target, other):
        host.behave = host.worker.lose
    assert caller.call("/pay/1", "POST", b"1")[0] == 502
    assert len(target.requests) + len(other.requests) == 1


def test_lost_idempotent_request_is_repeated(mesh):
    caller, target = make_pair(mesh)
    other = mesh.add("orders")
    mesh.settle()
    target.behave = target.worker.lose
    assert {caller.call(attempt=f"a{i}")[0] for i in range(4)} == {200}
    assert other.requests


def test_request_that_crashes_workers_is_blocked(mesh):
    """Guards against a request that is handed from worker to worker."""
    caller, target = make_pair(mesh)
    others = [mesh.add("orders") for _ in range(3)]
    mesh.settle()
    for host in (target, *others):
        host.behave = host.worker.crash
    for _ in range(5):
        assert caller.call()[0] in (502, 503)
    assert sum(len(host.requests) for host in (target, *others)) <= 2


def test_lost_answers_do_not_block_a_request(mesh):
    """Guards against a sound request that is refused, since answers get lost."""
    caller, target = make_pair(mesh)
    others = [mesh.add("orders") for _ in range(2)]
    mesh.settle()
    for host in (target, *others):
        host.behave = host.worker.lose
    assert caller.call()[0] == 502
    for host in (target, *others):
        host.behave = None
    assert caller.call()[0] == 200


def test_cancel_reaches_the_host_that_got_the_request_second(mesh):
    """Guards against a worker that goes on for a caller that has left.

    A refusal of the own gate came before its request was noted, which then
    took the place of the one that was sent on.
    """
    mesh.store.put_config(make_config(read={"orders": 1}))
    own, other = mesh.add("orders"), mesh.add("orders", zone="y")
    mesh.settle()
    other.behave = other.worker.wait
    own.node.gate.is_closing = True
    socket = own.open(format_call("/read/1"))
    run_reactor_until(lambda: other.requests)
    socket.close()
    run_reactor_until(lambda: other.worker.closed, 0.5)


def test_caller_that_leaves_cancels_the_request(mesh):
    caller, target = make_pair(mesh)
    target.behave = target.worker.wait
    socket = caller.open(format_call("/read/1"))
    run_reactor_until(lambda: target.requests)
    socket.close()
    run_reactor_until(lambda: target.worker.closed, 0.5)


@pytest.mark.parametrize("field", [b"x-attempt-id: old", b"x-other: 1"])
def test_answer_of_another_attempt_is_skipped(mesh, field):
    """Guards against a late answer that is taken for the next request's.

    One without an identifier was passed on as a success on a drawn day.
    """
    caller, target = make_pair(mesh)

    def answer_twice(exchange):
        exchange.connection.write(
            b"HTTP/1.1 200 OK\r\n%b\r\ncontent-length: 3\r\n\r\nold" % field
        )
        target.respond(exchange)

    target.behave = answer_twice
    status, fields, body = caller.call(attempt="new", body=b"mine", method="PUT")
    assert (status, fields["x-attempt-id"], body) == (200, "new", b"mine")


def test_answer_that_ends_early_is_not_passed_on(mesh):
    caller, target = make_pair(mesh, pay={"orders": 1})

    def truncate(exchange):
        exchange.connection.write(
            b"HTTP/1.1 200 OK\r\nx-attempt-id: a1\r\ncontent-length: 9\r\n\r\nhal"
        )
        exchange.connection.transport.loseConnection()

    target.behave = truncate
    assert caller.call("/pay/1", "POST", b"1")[0] == 502


def test_success_without_a_signature_is_not_passed_on(mesh):
    """Guards against bytes of a faulty worker that look like an answer."""
    caller, target = make_pair(mesh, pay={"orders": 1})
    target.behave = lambda exchange: exchange.respond(200, [(b"x-attempt-id", b"a1")])
    assert caller.call("/pay/1", "POST", b"1")[0] == 502


def test_body_that_does_not_fit_a_link_harms_nobody_else(mesh):
    """Guards against hosts that are passed over because of one large request."""
    caller, target = make_pair(mesh, pay={"orders": 1}, read={"orders": 1})
    body = b"x" * (5 << 20)
    socket = caller.open(b"")
    socket.socket.setblocking(True)
    data = format_call("/pay/1", "POST", body, left_ms=5000)
    thread = threading.Thread(target=socket.socket.sendall, args=(data,))
    thread.start()
    run_reactor_until(lambda: not thread.is_alive())
    socket.socket.setblocking(False)
    assert read_answer(socket)[0] == 413
    assert caller.call()[0] == 200
    fields = [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")]
    target.behave = lambda exchange: exchange.respond(200, fields, body)
    assert caller.call("/pay/1", "POST", b"1", left_ms=3000)[0] == 502


def test_timeout_of_the_route_ends_a_request(mesh):
    mesh.store.put_config(make_config(pay={"orders": 1}, timeout_s=0.2))
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.behave = target.worker.wait
    assert caller.call("/pay/1", "POST", b"1", left_ms=5000)[0] == 504


def test_refusal_under_load_is_at_once_and_says_when_to_return(mesh):
    """Guards against requests that wait until their deadline for nothing."""
    caller, target = make_pair(mesh, read={"orders": 1}, pay={"orders": 1})
    target.behave = target.worker.wait
    sockets = [caller.open(format_call("/read/1", attempt=f"b{i}")) for i in range(4)]
    run_reactor_until(lambda: len(target.requests) == 4)
    target.node.gate.queue.times.mean_s = 0.5
    status, fields, _ = caller.call(left_ms=900)
    assert status == 503
    assert 0 < float(fields["retry-after"]) <= 0.3
    assert len(target.requests) == 4
    for socket in sockets:
        socket.close()


def test_call_of_a_worker_goes_before_new_requests(mesh):
    """Guards against refusing a call on which work that is done depends.

    All requests were ranked as calls for a day, since callers and workers have
    the same address; none was refused in time, and most were answered late.
    """
    caller, target = make_pair(mesh)
    ranks = {}
    submit = target.node.gate.submit

    def note(forward, reply):
        ranks[dict(map(tuple, forward.headers))[b"x-attempt-id"]] = forward.priority
        return submit(forward, reply)

    target.node.gate.submit = note
    caller.node.gate._running_ids.add(b"parent")
    for attempt in ("new", "parent.call", "other.call"):
        caller.call(attempt=attempt)
    assert ranks == {b"new": 1, b"parent.call": -1, b"other.call": 1}


def test_new_configuration_is_in_force_and_never_reverts(mesh):
    caller, target = make_pair(mesh)
    mesh.store.put_config(make_config(5, read={"orders": 1}, more={"orders": 1}))
    run_reactor_until(lambda: mesh.get_versions() == [5, 5])
    assert caller.call("/more/1")[0] == 200
    mesh.store.put_config(make_config(4))
    run_reactor_until(lambda: mesh.store.revision == 3)
    assert caller.call("/more/1")[0] == 200
    assert mesh.get_versions() == [5, 5]


def test_node_that_starts_without_the_store_asks_its_peers(mesh):
    """Guards against a host that serves nothing until the store is back."""
    caller, target = make_pair(mesh)
    mesh.store.is_down = True
    stop_at_once(caller.node)
    caller.start(incarnation=2000)
    run_reactor_until(lambda: caller.node.hooks.state == "serving", 8)
    run_reactor_until(lambda: caller.node.fleet.count_ready("orders", {"v1"}), 8)
    assert caller.call()[0] == 200


def test_node_whose_watch_hangs_gets_the_configuration_of_a_peer(mesh):
    """Guards against a store that takes a call and never answers it."""
    caller, target = make_pair(mesh)
    watch = mesh.store.watch_operator

    async def hang(revision):
        await Deferred()

    caller.node.watch._store.watch_operator = hang
    run_reactor_until(lambda: caller.node.watch.failed_since is None)
    # The call that is under way ends with this change, the next one hangs.
    mesh.store.put_config(make_config(2))
    run_reactor_until(lambda: mesh.get_versions() == [2, 2])
    target.node.use_config(make_config(3, read={"orders": 1}, b={"orders": 1}), "test")
    run_reactor_until(lambda: mesh.get_versions() == [3, 3], 2)
    mesh.store.watch_operator = watch


def test_restarted_node_serves_its_worker_before_the_next_report(mesh):
    caller, target = make_pair(mesh)
    stop_at_once(target.node)
    target.start(incarnation=2000)
    run_reactor_until(
        lambda: target.node.gate.worker and target.node.gate.worker.state == "ready"
    )
    mesh.settle()
    assert caller.call()[0] == 200


def test_restarted_node_finds_a_worker_that_was_down(mesh):
    """Guards against a worker that is taken for gone after a restart."""
    caller, target = make_pair(mesh)
    target.node.gate.watch.set_state("down")
    target.node.gate.watch.health_path = ""
    run_reactor_until(lambda: mesh.store.hosts["h1"].worker.state == "down")
    stop_at_once(target.node)
    target.start(incarnation=2000)
    run_reactor_until(
        lambda: target.node.gate.worker and target.node.gate.worker.state == "ready"
    )


def test_restarted_node_does_not_revive_a_leaving_worker(mesh):
    """Guards against an acknowledgement that is forgotten with its process."""
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


def test_stop_answers_what_runs(mesh):
    """Guards against a planned stop that cuts a request."""
    caller, target = make_pair(mesh)
    held = []
    target.behave = held.append
    socket = caller.open(format_call("/read/1", left_ms=3000))
    run_reactor_until(lambda: held)
    caller.node.drain()
    assert not caller.is_ready()
    target.respond(held[0])
    assert read_answer(socket)[0] == 200


def test_stopping_node_does_not_begin_what_it_cannot_end(mesh):
    """Guards against a request that is taken late in a stop and cut off.

    Seen on a day on which callers went on sending for 5 s after SIGTERM,
    because fewer than half of the nodes of their zone were ready.
    """
    caller, target = make_pair(mesh)
    caller.node.drain()
    now = reactor.seconds()
    caller.node.origin.intake.closing = Closing(now - 1, now + 0.5)
    status, fields, _ = caller.call(left_ms=900)
    assert status == 503 and float(fields["retry-after"]) > 0
    assert fields["connection"] == "close"
    assert caller.call(left_ms=300)[0] == 200


def test_kept_connections_serve_many_requests(mesh):
    caller, target = make_pair(mesh)
    socket = caller.open(b"")
    for index in range(5):
        socket.data = b""
        socket.send(format_call("/read/1", attempt=f"a{index}"))
        assert read_answer(socket)[0] == 200


def test_move_with_a_good_version_succeeds(mesh):
    caller, target = make_pair(mesh)
    new = mesh.add("orders", "v2")
    mesh.settle()
    assert all(caller.call(attempt=f"a{i}")[0] == 200 for i in range(5))
    assert not new.requests
    mesh.store.order("orders", "v2", 2.0)
    run_reactor_until(lambda: "orders" in caller.node.book.rules_by_service)

    def is_done():
        caller.call()
        rule = mesh.store.rules.get("orders")
        return rule is not None and rule.state == "succeeded"

    run_reactor_until(is_done, 15)
    run_reactor_until(lambda: caller.node.book.get("orders").state == "succeeded")
    count = len(target.requests)
    assert caller.call()[0] == 200
    assert len(target.requests) == count


def test_move_with_a_bad_version_is_taken_back(mesh):
    caller, target = make_pair(mesh)
    new = mesh.add("orders", "v2")
    mesh.settle()
    new.behave = lambda exchange: new.respond(exchange, 500)
    mesh.store.order("orders", "v2", 3.0)
    run_reactor_until(lambda: "orders" in caller.node.book.rules_by_service)
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
