"""Requests that crash the worker that runs them, and those that run beside them."""

import pytest
from attrs import astuple, evolve
from twisted.internet import reactor

from bamboocove.coordination import lost_answers
from bamboocove.coordination.retry_limits import CRASHES_TO_BLOCK, CrashTable
from bamboocove.protocol.mesh_messages import CrashNotice, Forward
from bamboocove.sidecar.crash_reports import CrashReports, identify_run
from tests.callpath import pause, run, run_reactor_until
from tests.sidecar.hosts import (
    HostMesh,
    format_call,
    knows_crashes,
    make_config,
    read_response,
)


@pytest.fixture
def mesh():
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, pay={"orders": 1}))
    yield mesh
    mesh.close()


def make_hosts(mesh, callers, workers):
    hosts = [mesh.add("front") for _ in range(callers)]
    hosts += [mesh.add("orders") for _ in range(workers)]
    mesh.settle()
    return hosts[:callers], hosts[callers:]


def test_request_that_crashes_workers_is_blocked_at_all_hosts(mesh):
    """Guards against a request that crashes a worker for each host it comes to."""
    callers, targets = make_hosts(mesh, 4, 5)
    for host in targets:
        host.request_handler = host.worker.crash
    for number, caller in enumerate(callers):
        assert caller.call("/pay/1", "POST", attempt=f"a{number}")[0] in (502, 503)
        crashes = min(number + 1, CRASHES_TO_BLOCK)
        run_reactor_until(lambda: all(knows_crashes(c, crashes) for c in callers))
    assert sum(len(host.requests) for host in targets) == CRASHES_TO_BLOCK
    for host in targets:
        host.request_handler = None
    assert callers[0].call("/pay/2", "POST")[0] == 200


def test_one_crash_counts_once_for_equal_requests_in_flight(mesh):
    """Guards against a route that is closed because one worker has crashed."""
    callers, targets = make_hosts(mesh, 2, 2)
    for host in targets:
        host.request_handler = lambda exchange: None
    open_calls = [
        caller.open(format_call("/pay/1", "POST", b"7", 2000, f"{i}-{n}"))
        for i, caller in enumerate(callers)
        for n in range(3)
    ]
    run_reactor_until(lambda: sum(len(h.requests) for h in targets) == 6)
    crashed = max(targets, key=lambda host: len(host.requests))
    crashed.worker.crash(crashed.requests[0])
    for exchange in crashed.requests[1:]:
        exchange.abort()
    for host in targets:
        host.request_handler = None
        if host is not crashed:
            for exchange in host.requests:
                host.respond(exchange)
    assert {read_response(call)[0] for call in open_calls} <= {200, 502}
    for caller in callers:
        run_reactor_until(lambda: knows_crashes(caller, 1))
        assert caller.call("/pay/1", "POST", b"7")[0] == 200


def make_forward(target=b"/pay/1", caller="front"):
    return Forward(
        1, "pay", "orders", "v1", 900, 300, 1, False, caller, b"POST", target, [], b""
    )


def test_request_that_the_worker_has_completed_is_not_suspect():
    """Guards against common requests that are blocked by crashes of any cause."""
    notices = []
    reports = CrashReports("h1", reactor, notices.append)
    reports.record_completed(make_forward())
    assert not reports.record_crash(make_forward())
    assert reports.record_crash(make_forward(b"/pay/2"))
    assert reports.record_crash(make_forward(b"/pay/2", "other"))
    run_reactor_until(lambda: notices)
    (notice,) = notices
    assert isinstance(notice, CrashNotice) and notice.host_id == "h1"
    assert {k: len(v) for k, v in notice.fingerprints_by_caller.items()} == {
        "front": 1,
        "other": 1,
    }
    reports.reset()
    assert reports.record_crash(make_forward())


def test_reports_of_one_crash_from_two_hosts_count_once():
    crashes = CrashTable()
    assert crashes.record("x", "h1", 0.0) == crashes.record("x", "h1", 0.3) == 1
    assert not crashes.is_blocked("x", 0.4)
    assert crashes.record("x", "h2", 0.4) == 2


def crash_later(host, delay_s):
    """Let a worker reset a request, and close its port only after a delay."""

    def handle(exchange):
        host.request_handler = None
        exchange.abort()
        reactor.callLater(delay_s, host.worker.close)

    host.request_handler = handle


def get_crashes(caller):
    suspects = caller.node.outbound.crashes._suspects_by_fingerprint.values()
    return sum(suspect.crashes for suspect in suspects)


@pytest.mark.parametrize("delay_s", [0.01, 0.3, 0.8])
def test_crash_is_seen_if_the_port_closes_after_the_connection(mesh, delay_s):
    """Guards against a crash that is taken for a lost answer because of the order."""
    (caller,), targets = make_hosts(mesh, 1, 3)
    for host in targets:
        crash_later(host, delay_s)
    for number in range(1, CRASHES_TO_BLOCK + 1):
        status = caller.call("/pay/1", "POST", attempt=f"a{number}")[0]
        assert status in (502, 503)
        run_reactor_until(lambda: get_crashes(caller) >= number)
    caller.call("/pay/1", "POST", attempt="a9")
    assert sum(len(host.requests) for host in targets) == CRASHES_TO_BLOCK


def test_crash_is_seen_if_the_worker_is_back_before_the_port_is_checked(mesh):
    """Guards against a crash that nobody sees since the worker starts again at once."""
    (caller,), (target,) = make_hosts(mesh, 1, 1)
    target.request_handler = lambda exchange: exchange.abort()
    assert caller.call("/pay/1", "POST")[0] == 502
    target.worker_id, target.sequence = "i-again", 0
    target.born_ms += 500
    assert target.report() == 200
    run_reactor_until(lambda: get_crashes(caller) == 1)


@pytest.mark.parametrize("ending", ["lives on", "leaves"])
def test_worker_that_only_lost_answers_is_not_blamed(mesh, ending, monkeypatch):
    """Guards against requests that are blocked because their answers were lost."""
    monkeypatch.setattr(lost_answers, "CHECKED_S", 0.3)
    (caller,), targets = make_hosts(mesh, 1, 2)
    for host in targets:
        host.request_handler = lambda exchange: exchange.abort()
    for number in range(4):
        assert caller.call("/pay/1", "POST", attempt=f"a{number}")[0] == 502
    if ending == "lives on":
        run(pause(0.6))
    for host in targets:
        host.report("draining" if ending == "leaves" else "ready")
    if ending == "lives on":
        run(pause(0.3))
    for host in targets:
        host.worker_id, host.sequence, host.request_handler = "i-new", 0, None
        host.born_ms += 9000
        assert host.report() == 200
    # A notice of a crash would have reached the caller by then.
    run(pause(0.5))
    assert get_crashes(caller) == 0
    mesh.settle()
    assert caller.call("/pay/1", "POST", attempt="a9")[0] == 200


def test_lost_answers_that_are_watched_are_bounded():
    """Guards against memory for each answer of a worker that loses all of them."""
    answers = lost_answers.LostAnswers()
    for number in range(lost_answers.MAX_LOST + 50):
        answers.add(number, 7, 1.0)
    assert answers.take() == list(range(50, lost_answers.MAX_LOST + 50))
    run = identify_run(evolve(make_forward(), body=b"x" * 60_000), b"a1")
    assert not any(isinstance(value, Forward) for value in astuple(run))
    assert sum(len(value) for value in astuple(run)[1:]) < 100
