"""Program errors while a node handles requests and messages of other nodes."""

import pytest
from twisted.internet import reactor

from bamboocove.sidecar import worker_sender
from bamboocove.sidecar.body_writer import BodyWriter
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config, read_response
from tests.transport.closing import split_responses


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, read={"orders": 1}, pay={"orders": 1}))
    yield mesh
    mesh.close()


def fail_once(owner, name):
    """Replace a method by one that raises an error the first time."""
    method = getattr(owner, name)

    def call(*args):
        if getattr(owner, name) is call:
            setattr(owner, name, method)
            raise ValueError("odd")
        return method(*args)

    setattr(owner, name, call)


def raise_error(*args):
    raise ValueError("odd")


def fail_next(monkeypatch, owner, name):
    """Let the next call of a method raise an error, also if its class has slots."""
    method = getattr(type(owner), name)

    def call(*args):
        monkeypatch.setattr(type(owner), name, method)
        raise_error()

    monkeypatch.setattr(type(owner), name, call)


@pytest.mark.parametrize(
    "name",
    [
        "router.accept",
        "_place",
        "_dispatch",
        "_handle_reply",
        "responder.deliver",
        "responder.finish",
    ],
)
def test_request_is_answered_after_a_program_error(mesh, capfd, name):
    """Guards against a request that ends without an answer, or waits in vain."""
    host = mesh.add()
    mesh.settle()
    outbound = host.node.outbound
    owner, _, attribute = name.rpartition(".")
    fail_once(getattr(outbound, owner) if owner else outbound, attribute)
    started_at = reactor.seconds()
    caller = host.open(format_call("/read/1") + format_call("/read/2", attempt="a2"))
    caller.read_until(lambda data: len(split_responses(data)) == 2)
    statuses = [int(head.split()[1]) for head, _ in split_responses(caller.data)]
    assert statuses == [502, 200]
    assert reactor.seconds() - started_at < 0.5
    assert not outbound.in_flight and not host.node.inbound.in_flight
    out = capfd.readouterr().out
    assert '"request.handler-failed","id":"a1"' in out and "ValueError: odd" in out
    caller.close()


# An error before the request of a reply is known leaves it to its deadline.
@pytest.mark.parametrize(("name", "status"), [("_on_answered", 502), ("on_reply", 504)])
def test_link_is_kept_after_a_program_error(mesh, capfd, name, status):
    """Guards against an error that ends all requests on a link."""
    caller, target = mesh.add("ledger"), mesh.add("orders")
    mesh.settle()
    # The hosts of the test before may have written that they stop.
    capfd.readouterr()
    target.request_handler = lambda exchange: None
    first = caller.open(format_call("/read/1", attempt="a1"))
    second = caller.open(format_call("/read/2", attempt="a2"))
    run_reactor_until(lambda: len(target.requests) == 2)
    fail_once(caller.node.outbound, name)
    target.request_handler = None
    for exchange in target.requests[:2]:
        target.respond(exchange)
    assert sorted(read_response(c)[0] for c in (first, second)) == [200, status]
    assert len(target.requests) == 2
    out = capfd.readouterr().out
    if status == 502:
        assert '"request.handler-failed","id":"a' in out
    else:
        assert '"node.message-failed","host":"h1","message":"Reply"' in out
    assert '"link.down"' not in out


def test_requests_read_with_one_that_fails_are_run(mesh, capfd):
    """Guards against one error that leaves all requests of a read to their deadline."""
    caller, target = mesh.add("ledger"), mesh.add("orders")
    mesh.settle()
    fail_once(target.node.inbound, "submit")
    data = [format_call("/pay/1", "POST", attempt=f"a{n}") for n in range(2)]
    callers = [caller.open(item) for item in data]
    statuses = sorted(read_response(c)[0] for c in callers)
    assert statuses == [200, 502]
    assert len(target.requests) == 1
    assert '"node.message-failed","message":"Forward"' in capfd.readouterr().out


def test_answer_that_meets_a_program_error_gives_its_room_back(mesh):
    """Guards against a node that refuses all bodies after some program errors."""
    host = mesh.add()
    mesh.settle()
    host.request_handler = lambda exchange: None
    caller = host.open(format_call("/read/1"))
    run_reactor_until(lambda: host.requests)
    fail_once(host.node.outbound, "_on_answered")
    fields = [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")]
    host.requests[0].respond(200, fields, b"1234")
    assert read_response(caller)[0] == 502
    assert host.node.body_budget.held == 0


def test_large_answer_that_meets_a_program_error_gives_its_room_back(mesh, monkeypatch):
    """Guards against a body that stays counted though its caller got an error."""
    host = mesh.add()
    mesh.settle()
    host.request_handler = lambda exchange: None
    caller = host.open(format_call("/read/1"))
    run_reactor_until(lambda: host.requests)
    monkeypatch.setattr(BodyWriter, "resumeProducing", raise_error)
    fields = [(b"x-attempt-id", b"a1"), (b"x-response-signature", b"s")]
    host.requests[0].respond(200, fields, bytes(300_000))
    assert read_response(caller)[0] == 502
    budget = host.node.body_budget
    assert budget.held == budget.unread == host.node.outbound.in_flight == 0


@pytest.mark.parametrize("is_local", [True, False])
@pytest.mark.parametrize("name", ["_may_run", "_start_next", "connect", "_send"])
def test_request_that_fails_in_the_queue_gives_its_room_back(mesh, name, is_local):
    """Guards against bytes and requests that stay counted after a program error.

    A node that counts them refuses bodies in the end, and waits for them in a stop.
    """
    target, front = mesh.add("orders"), mesh.add("front")
    mesh.settle()
    inbound = target.node.inbound
    fail_once(inbound if hasattr(inbound, name) else inbound._sender, name)
    origin = target if is_local else front
    started_at = reactor.seconds()
    call = format_call("/pay/1", "POST", bytes(1000), 900)
    caller = origin.open(call)
    assert read_response(caller)[0] == 502
    assert reactor.seconds() - started_at < 0.5
    assert not inbound.in_flight and not inbound.queue.running
    assert [host.node.body_budget.held for host in (target, front)] == [0, 0]
    assert origin.call("/pay/2", "POST", attempt="a2")[0] == 200
    assert len(target.requests) == 1
    caller.close()


def test_requests_that_wait_behind_one_that_fails_are_run(mesh):
    """Guards against a worker that idles because a request could not be started."""
    host = mesh.add()
    mesh.settle()
    host.request_handler = lambda exchange: None
    inbound = host.node.inbound
    inbound.queue.slots = 1
    # So short that others are let wait behind them.
    inbound.queue.service_times.mean_s = 0.01
    calls = [format_call("/pay/1", "POST", b"", 900, f"a{n}") for n in range(3)]
    callers = [host.open(call) for call in calls]
    run_reactor_until(lambda: len(inbound.queue.waiting) == 2 and host.requests)
    fail_once(inbound._sender, "connect")
    host.request_handler = None
    host.respond(host.requests[0])
    assert sorted(read_response(c)[0] for c in callers) == [200, 200, 502]
    assert not inbound.in_flight
    for caller in callers:
        caller.close()


def open_waiting(mesh, origin, target, count):
    """Let calls wait in the queue of a worker; return their connections."""
    inbound = target.node.inbound
    inbound.queue.slots = 0
    # So short that others are let wait behind them.
    inbound.queue.service_times.mean_s = 0.01
    calls = [format_call("/pay/1", "POST", b"", 900, f"a{n}") for n in range(count)]
    callers = [origin.open(call) for call in calls]
    run_reactor_until(lambda: len(inbound.queue.waiting) == count)
    return callers


@pytest.mark.parametrize("is_ended_by", ["refuse_waiting", "tick"])
def test_reply_that_fails_does_not_keep_others_from_theirs(
    mesh, monkeypatch, capfd, is_ended_by
):
    """Guards against refused requests whose callers are left to their deadlines."""
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    callers = open_waiting(mesh, front, target, 3)
    inbound = target.node.inbound
    fail_next(monkeypatch, target.node.forwarding.replies, "send")
    started_at = reactor.seconds()
    if is_ended_by == "tick":
        inbound.tick(started_at + 10.0)
    else:
        inbound.refuse_waiting("worker was replaced")
    assert not inbound.in_flight and not inbound.queue.waiting
    # None has run, as the second reply to the first one says, too.
    assert [read_response(caller)[0] for caller in callers] == [503] * 3
    assert reactor.seconds() - started_at < 0.5
    assert '"request.handler-failed","id":"a0"' in capfd.readouterr().out
    for caller in callers:
        caller.close()


def test_answer_whose_reply_fails_gives_room_and_slot_back(mesh, monkeypatch, capfd):
    """Guards against bytes that stay counted, and a worker that idles."""
    front, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.request_handler = lambda exchange: None
    inbound = target.node.inbound
    inbound.queue.slots = 1
    inbound.queue.service_times.mean_s = 0.01
    calls = [format_call("/pay/1", "POST", b"", 900, f"a{n}") for n in range(2)]
    callers = [front.open(call) for call in calls]
    run_reactor_until(lambda: inbound.queue.waiting and target.requests)
    fail_next(monkeypatch, target.node.forwarding.replies, "send")
    target.request_handler = None
    started_at = reactor.seconds()
    fields = [(b"x-attempt-id", b"a0"), (b"x-response-signature", b"s")]
    target.requests[0].respond(200, fields, bytes(200_000))
    assert [read_response(caller)[0] for caller in callers] == [502, 200]
    assert reactor.seconds() - started_at < 0.5
    assert not inbound.in_flight and target.node.body_budget.held == 0
    assert '"request.handler-failed","id":"a0"' in capfd.readouterr().out
    for caller in callers:
        caller.close()


def test_request_whose_new_connection_fails_is_answered(mesh, monkeypatch, capfd):
    """Guards against requests left to their deadlines after a program error."""
    host = mesh.add()
    mesh.settle()

    def enable_keepalive(transport):
        monkeypatch.undo()
        raise_error()

    monkeypatch.setattr(worker_sender, "enable_keepalive", enable_keepalive)
    started_at = reactor.seconds()
    status = host.call("/pay/1", "POST")[0]
    assert (status, len(host.requests)) == (502, 0)
    assert reactor.seconds() - started_at < 0.5
    assert not host.node.inbound.in_flight
    assert '"request.handler-failed","id":"a1"' in capfd.readouterr().out
