"""Workers that have deregistered, and nodes that restart afterwards."""

import time

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.coordination.departures import (
    KEEP_S,
    MAX_DEPARTED_WORKERS,
    DepartedHosts,
    DepartedStarts,
)
from bamboocove.sidecar import shutdown
from bamboocove.state.mesh import HostRecord, MeshWorker
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config, stop_at_once

WORKER = MeshWorker("i-1", "orders", "v1", 12, "gone", 0.0, 5, 6)
RECORD = HostRecord("h1", 7, 3, ("127.0.0.1", 8300), "z", True, WORKER)


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(shutdown, "CALLER_DRAIN_S", 0.3)
    monkeypatch.setattr(shutdown, "WORKER_DRAIN_DELAY_S", 0.2)
    mesh = HostMesh()
    mesh.store.put_config(make_config(2, pay={"orders": 1}))
    yield mesh
    mesh.close()


def sign_off(host):
    """Sign the worker off, again while that is not acknowledged."""
    run_reactor_until(lambda: host.send_report(b"DELETE") == 200)


def run_for(seconds):
    ends_at = reactor.seconds() + seconds
    run_reactor_until(lambda: reactor.seconds() >= ends_at)


def get_state(host):
    worker = host.node.inbound.worker
    return worker and worker.state


@pytest.mark.parametrize("is_killed", [False, True])
@pytest.mark.parametrize("is_report_first", [False, True])
def test_restarted_node_does_not_revive_a_worker_that_deregistered(
    mesh, is_killed, is_report_first
):
    """Guards against requests to a worker whose leaving was acknowledged."""
    caller, leaving, _ = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    assert leaving.send_report(b"DELETE") == 200
    run_reactor_until(lambda: mesh.store.hosts["h1"].worker.state == "gone")
    if is_killed:
        stop_at_once(leaving.node)
    else:
        leaving.node.drain()
        run_reactor_until(lambda: leaving.node.finished.called)
    mesh.store.is_down = is_report_first
    leaving.start(incarnation=2000)
    assert leaving.report() == 200
    if is_report_first:
        # It is probed first; its health check does not say that it leaves.
        run_reactor_until(lambda: get_state(leaving) == "ready")
        mesh.store.is_down = False
    run_reactor_until(lambda: get_state(leaving) == "gone")
    assert leaving.report() == 200
    assert get_state(leaving) == "gone"
    run_reactor_until(lambda: caller.node.fleet.records_by_id["h1"].incarnation == 2000)
    served_before = len(leaving.requests)
    assert all(caller.call("/pay/1", "POST")[0] == 200 for _ in range(10))
    assert len(leaving.requests) == served_before


def test_new_start_of_a_worker_that_deregistered_is_used(mesh):
    (host,) = (mesh.add("orders"),)
    mesh.settle()
    assert host.send_report(b"DELETE") == 200
    host.node.drain()
    run_reactor_until(lambda: host.node.finished.called)
    host.start(incarnation=2000)
    host.born_ms = int(time.time() * 1000) + 1
    host.sequence = 0
    assert host.report() == 200
    run_reactor_until(lambda: get_state(host) == "ready")


@pytest.mark.parametrize("is_late_report_first", [False, True])
def test_worker_that_signs_off_at_a_node_that_does_not_know_it_gets_no_request(
    mesh, is_late_report_first
):
    """Guards against an acknowledged sign-off that a node forgets.

    The node takes over the worker from the record of the process before, or from a
    report that was sent before the sign-off.
    """
    caller, leaving, _ = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    stop_at_once(leaving.node)
    mesh.store.is_down = True
    leaving.start(incarnation=2000)
    leaving.send_report(b"DELETE")
    if is_late_report_first:
        leaving.report()
    mesh.store.is_down = False
    sign_off(leaving)
    run_reactor_until(lambda: caller.node.fleet.records_by_id["h1"].incarnation == 2000)
    # Longer than two probes of a worker that is down.
    run_for(1.2)
    leaving.report()
    assert get_state(leaving) in (None, "gone")
    served_before = len(leaving.requests)
    assert all(caller.call("/pay/1", "POST")[0] == 200 for _ in range(10))
    assert len(leaving.requests) == served_before


def test_sign_off_covers_a_start_whose_reports_come_later(mesh):
    """Guards against a sign-off that is taken for that of an earlier start."""
    (host,) = (mesh.add("orders"),)
    mesh.settle()
    sign_off(host)
    host.born_ms = int(time.time() * 1000) - 1000
    assert host.report() == 200
    assert get_state(host) == "gone"


@pytest.mark.parametrize("state", ["draining", "gone"])
def test_leaving_is_not_acknowledged_before_the_next_process_would_know_it(
    mesh, monkeypatch, state
):
    """Guards against a sign-off that is forgotten if the node is killed after it.

    The record of the host in the store is all that its next process has.
    """
    monkeypatch.setattr("bamboocove.sidecar.worker_reports.KEEP_TIMEOUT_S", 0.3)
    caller, leaving = mesh.add("front"), mesh.add("orders")
    mesh.settle()

    def say_that_it_leaves():
        if state == "gone":
            return leaving.send_report(b"DELETE")
        return leaving.report("draining")

    mesh.store.is_down = True
    assert say_that_it_leaves() == 503
    # It takes effect all the same.
    assert get_state(leaving) == state
    assert caller.call("/pay/1", "POST")[0] == 503
    mesh.store.is_down = False
    run_reactor_until(lambda: say_that_it_leaves() == 200)
    assert mesh.store.hosts["h1"].worker.state == state
    stop_at_once(leaving.node)
    leaving.start(incarnation=2000)
    run_reactor_until(lambda: get_state(leaving) is not None)
    assert get_state(leaving) == state
    assert leaving.requests == []


@pytest.mark.parametrize("has_read_hosts", [False, True])
def test_sign_off_of_a_worker_of_another_host_is_not_acknowledged(mesh, has_read_hosts):
    """Guards against a sign-off that the node beside the worker never hears of.

    A node that has just started does not know yet that the worker is on another host.
    """
    leaving, other = mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    if not has_read_hosts:
        stop_at_once(other.node)
        mesh.store.is_down = True
        other.start(incarnation=2000)
    other.worker_id = leaving.worker_id
    assert other.send_report(b"DELETE") == (404 if has_read_hosts else 503)
    mesh.store.is_down = False
    run_reactor_until(lambda: other.node.watch.has_read_hosts)
    assert other.send_report(b"DELETE") == 404
    assert get_state(leaving) == "ready"


def test_late_report_to_a_node_that_lacks_its_previous_record_is_probed(mesh):
    """Guards against requests to a worker that leaves while the store is down.

    The node was restarted, and a report that was sent before the sign-off comes first.
    """
    caller, leaving = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    sign_off(leaving)
    stop_at_once(leaving.node)
    mesh.store.is_down = True
    leaving.start(incarnation=2000)
    answer = leaving.worker.answer

    def respond_unhealthy(exchange):
        if exchange.target == b"/healthz":
            exchange.respond(503, [(b"x-instance-id", leaving.worker_id.encode())])
        else:
            answer(exchange)

    leaving.worker.answer = respond_unhealthy
    for _ in range(3):
        assert leaving.report() == 200
        run_for(0.3)
        assert get_state(leaving) == "down"
        assert caller.call("/pay/1", "POST")[0] in (502, 503)
    assert leaving.requests == []


def test_draining_report_that_comes_after_a_later_report_takes_effect(mesh):
    """Guards against an acknowledged report that has no effect."""
    caller, leaving = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    leaving.sequence += 5
    assert leaving.report() == 200
    leaving.sequence -= 3
    assert leaving.report("draining") == 200
    assert get_state(leaving) == "draining"
    assert caller.call("/pay/1", "POST")[0] == 503
    leaving.sequence += 5
    assert leaving.report() == 200
    assert get_state(leaving) == "draining"


def test_draining_report_of_an_earlier_start_outlives_a_late_report_of_it(mesh):
    """Guards against a start whose leaving was acknowledged and forgotten."""
    (host,) = (mesh.add("orders"),)
    mesh.settle()
    new = host.worker_id, host.born_ms
    host.worker_id, host.born_ms = "i-old", host.born_ms - 500
    assert host.report("draining") == 200
    assert host.node.inbound.worker.incarnation == new
    assert mesh.store.hosts["h0"].departed_by_id == {"i-old": host.born_ms}
    # Without the later start, as after a restart.
    host.node.inbound.watch.worker = None
    assert host.report() == 200
    assert get_state(host) is None


def test_draining_report_of_a_worker_whose_clock_was_set_back_is_probed(mesh):
    """Guards against a worker that has started again and whose reports are ignored."""
    (host,) = (mesh.add("orders"),)
    mesh.settle()
    host.born_ms -= 500
    host.worker.answer = lambda exchange: exchange.respond(
        503, [(b"x-instance-id", host.worker_id.encode())]
    )
    assert host.report("draining") == 200
    assert get_state(host) == "down"
    run_for(0.8)
    assert get_state(host) == "down"


def test_host_that_forgets_that_its_worker_leaves_gets_no_request_for_it(mesh):
    """Guards against requests from hosts that had been told that the worker leaves.

    Its answers say so, the node beside it is killed before its record is written, and
    a late report makes the worker ready there.
    """
    caller, leaving, _ = mesh.add("front"), mesh.add("orders"), mesh.add("orders")
    mesh.settle()
    written = mesh.store.hosts["h1"]
    leaving.node.inbound.watch.set_state("draining")
    records_by_id = caller.node.fleet.records_by_id
    run_reactor_until(lambda: records_by_id["h1"].worker.state == "draining")
    stop_at_once(leaving.node)
    mesh.store.hosts["h1"] = written
    leaving.start(incarnation=2000)
    assert leaving.report() == 200
    run_reactor_until(lambda: records_by_id["h1"].incarnation == 2000)
    run_reactor_until(lambda: records_by_id["h1"].worker.state == "ready")
    run_reactor_until(lambda: caller.node.fleet.is_reachable("h1"))
    served_before = len(leaving.requests)
    assert all(caller.call("/pay/1", "POST")[0] == 200 for _ in range(10))
    assert len(leaving.requests) == served_before


def test_ready_worker_is_acknowledged_while_the_store_is_down(mesh):
    (host,) = (mesh.add("orders"),)
    mesh.settle()
    mesh.store.is_down = True
    assert host.report() == 200


def test_sign_off_of_an_unknown_worker_outlives_a_restart(mesh):
    """Guards against a worker that is used although its sign-off came first."""
    (host,) = (mesh.add("orders", is_reported=False),)
    sign_off(host)
    run_reactor_until(lambda: "i-h0" in mesh.store.hosts["h0"].departed_by_id)
    stop_at_once(host.node)
    host.start(incarnation=2000)
    run_reactor_until(lambda: mesh.store.hosts["h0"].incarnation == 2000)
    host.report()
    assert get_state(host) is None


def test_departed_workers_that_a_host_remembers_are_bounded():
    departed = DepartedStarts()
    for number in range(3 * MAX_DEPARTED_WORKERS):
        assert departed.add(f"i-{number}", 5)
    assert len(departed.last_born_by_id) == MAX_DEPARTED_WORKERS
    last = 3 * MAX_DEPARTED_WORKERS - 1
    assert departed.covers(evolve(WORKER, worker_id=f"i-{last}"))
    assert not departed.covers(evolve(WORKER, worker_id=f"i-{last}", born_ms=6))


def test_record_of_a_departed_host_is_removed_after_late_reports_have_come():
    """Guards against a table that grows with each host that has ever run."""
    departed = DepartedHosts()
    others = [
        evolve(RECORD, host_id="h2", is_leaving=False),
        evolve(RECORD, host_id="h3", worker=evolve(WORKER, state="draining")),
        evolve(RECORD, host_id="h4", worker=None),
        evolve(RECORD, host_id="h5", is_leaving=False, departed_by_id={"i-1": 5}),
    ]
    assert departed.find_expired([RECORD, *others], 0.0) == []
    assert departed.find_expired([RECORD, *others], KEEP_S - 1.0) == []
    restarted = evolve(RECORD, incarnation=8)
    assert departed.find_expired([restarted, *others], KEEP_S) == []
    assert departed.find_expired([restarted, *others], 2 * KEEP_S) == [restarted]


def test_reader_removes_the_record_of_a_departed_host(mesh, monkeypatch):
    monkeypatch.setattr("bamboocove.sidecar.watch.HOSTS_READ_INTERVAL_S", 0.2)
    monkeypatch.setattr("bamboocove.coordination.departures.KEEP_S", 0.5)
    mesh.add("orders")
    mesh.settle()
    mesh.store.hosts["h9"] = evolve(RECORD, host_id="h9")
    started_at = reactor.seconds()
    run_reactor_until(lambda: "h9" not in mesh.store.hosts, 8)
    assert reactor.seconds() - started_at >= 0.5
