"""Workers that name the rate of requests they take, or announce that they leave."""

import pytest
from twisted.internet import reactor
from twisted.internet.task import deferLater

from tests.callpath import pause, run, run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, stop_at_once

LIMIT_PER_S = 8.0


@pytest.fixture
def mesh():
    mesh = HostMesh()
    yield mesh
    mesh.close()


def make_worker(mesh, *fields, **options):
    """Return a host whose worker adds header fields to each answer."""
    host = mesh.add(**options)
    mesh.settle()
    host.fields = list(fields)
    host.request_handler = lambda exchange: host.respond(exchange, 200, *host.fields)
    return host


def name_limit(value):
    return (b"server-limit", value)


def send_calls(host, count, seconds, path="/read/1", **options):
    """Send calls at even intervals; return the connections."""
    callers = []

    async def send():
        for number in range(count):
            data = format_call(path, attempt=f"c{number}", **options)
            callers.append(host.open(data))
            await deferLater(reactor, seconds / count)

    run(send(), seconds + 5)
    return callers


def close_all(callers):
    for caller in callers:
        caller.close()


def count_requests(host, send):
    """Return how many requests a worker gets while a function runs, and its seconds.

    On a busy machine it takes longer than it would.
    """
    before, started_at = len(host.requests), reactor.seconds()
    send()
    return len(host.requests) - before, reactor.seconds() - started_at


def count_allowed(limit_per_s, seconds):
    """Return how many requests a worker may get at most, as the platform states it."""
    return 1.5 * limit_per_s * seconds + 5


def test_worker_gets_no_more_than_the_rate_that_it_names(mesh):
    """Guards against requests far beyond what a worker in need has said it takes."""
    host = make_worker(mesh, name_limit(b"8.0"))
    assert host.call()[0] == 200
    received, seconds = count_requests(
        host, lambda: close_all(send_calls(host, 100, 2.0))
    )
    assert received <= count_allowed(LIMIT_PER_S, seconds)
    assert received >= 0.8 * LIMIT_PER_S * 2.0


def test_calls_of_other_hosts_and_of_workers_count_for_a_limit(mesh):
    """Guards against a limit that each sender observes for itself only."""
    host = make_worker(mesh, name_limit(b"8.0"))
    others = [mesh.add("ledger") for _ in range(3)]
    mesh.settle()
    assert host.call()[0] == 200
    for other in others:
        # As if the worker beside each of them made the calls while it runs a request.
        other.node.inbound._running_ids.add(b"a1")
    callers = []

    def send():
        for number in range(60):
            data = format_call("/read/1", attempt=f"a1.{number}")
            callers.append(others[number % 3].open(data))
        run(pause(1.0))

    received, seconds = count_requests(host, send)
    close_all(callers)
    assert received <= count_allowed(LIMIT_PER_S, seconds)


def test_requests_beyond_a_limit_go_to_other_workers(mesh):
    """Guards against callers that are turned away while another worker has room."""
    host = make_worker(mesh, name_limit(b"4"))
    free = mesh.add()
    mesh.settle()
    run_reactor_until(lambda: host.call()[0] == 200 and len(host.requests) > 0, 10)
    statuses = [host.call(attempt=f"b{number}")[0] for number in range(40)]
    assert statuses == [200] * 40
    assert len(free.requests) >= 20


def test_limit_ends_when_the_worker_no_longer_names_it(mesh):
    """Guards against a worker that stays nearly idle after it has recovered."""
    host = make_worker(mesh, name_limit(b"2"))
    assert host.call()[0] == 200
    host.fields = []
    run(pause(0.6))
    assert host.call()[0] == 200
    assert [host.call(attempt=f"b{n}")[0] for n in range(20)] == [200] * 20


def test_limit_outlives_a_restart_of_the_node_beside_the_worker(mesh):
    """Guards against a full load on a worker in need after its node was stopped.

    Hosts that heard of the limit are still bound by it.
    """
    host = make_worker(mesh, name_limit(b"1"))
    assert host.call()[0] == 200
    run_reactor_until(lambda: mesh.store.hosts[host.host_id].worker.limit_per_s == 1.0)
    stop_at_once(host.node)
    host.request_handler = lambda exchange: None
    host.start(incarnation=2000)
    run_reactor_until(lambda: host.is_ready())
    received, seconds = count_requests(
        host, lambda: close_all(send_calls(host, 20, 1.0))
    )
    assert received <= count_allowed(1.0, seconds) - 3


@pytest.mark.parametrize(
    "value",
    [b"-3", b"nan", b"inf", b"", b"x", b"1e999", b"9" * 400, b"1,2", b"0x1"],
)
def test_unreadable_limit_does_no_harm(mesh, value):
    host = make_worker(mesh, name_limit(value))
    assert [host.call(attempt=f"b{n}")[0] for n in range(12)] == [200] * 12


def test_worker_that_takes_nothing_is_asked_now_and_then(mesh):
    """Guards against a worker that gets nothing for ever once it has named 0."""
    host = make_worker(mesh, name_limit(b"0"))
    assert host.call()[0] == 200
    before = len(host.requests)
    close_all(send_calls(host, 40, 2.0))
    assert len(host.requests) - before <= 5
    host.fields = []
    run_reactor_until(lambda: host.call(left_ms=500)[0] == 200, 8)
    assert [host.call(attempt=f"b{n}")[0] for n in range(12)] == [200] * 12


def test_smallest_of_two_limits_in_one_answer_holds(mesh):
    host = make_worker(mesh, name_limit(b"500"), name_limit(b"2"))
    assert host.call()[0] == 200
    received, seconds = count_requests(
        host, lambda: close_all(send_calls(host, 40, 1.0))
    )
    assert received <= count_allowed(2.0, seconds)


@pytest.mark.parametrize("is_restarted", [False, True])
def test_worker_whose_answers_say_that_it_leaves_gets_no_more_requests(
    mesh, is_restarted
):
    """Guards against requests to a worker whose report of its leaving is late."""
    host = make_worker(mesh, (b"server-leaving", b"1"))
    assert host.call()[0] == 200
    run_reactor_until(lambda: mesh.store.hosts[host.host_id].worker.state == "draining")
    if is_restarted:
        stop_at_once(host.node)
        host.start(incarnation=2000)
        run_reactor_until(lambda: host.node.inbound.worker is not None)
    # A report that was under way before, or one that comes late.
    assert host.report() == 200
    before = len(host.requests)
    assert host.call()[0] == 503
    run(pause(0.5))
    assert host.call()[0] == 503
    assert len(host.requests) == before
    # Another worker at the address is used again.
    host.worker_id = "i-next"
    host.born_ms += 1000
    host.fields = []
    assert host.report() == 200
    run_reactor_until(lambda: host.call()[0] == 200)


@pytest.mark.parametrize("value", [b"0", b"", b"x"])
def test_other_values_do_not_say_that_a_worker_leaves(mesh, value):
    host = make_worker(mesh, (b"server-leaving", value))
    assert [host.call(attempt=f"b{n}")[0] for n in range(4)] == [200] * 4
