"""Workers that are cold, with complete nodes on loopback."""

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.platform.documents import decode_config
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config

COLD_PER_S = 4.0
MAX_PER_S = 1.5 * COLD_PER_S + 8


@pytest.fixture
def mesh():
    mesh = HostMesh()
    config = make_config()
    service = evolve(
        config.services_by_name["orders"], cold_start_s=20.0, cold_per_s=COLD_PER_S
    )
    mesh.store.put_config(evolve(config, services_by_name={"orders": service}))
    yield mesh
    mesh.close()


def press(callers, target, seconds, per_s=60):
    """Send calls at a rate; return the times at which the worker got a request."""
    arrivals, sockets = [], []

    def record(exchange):
        arrivals.append(reactor.seconds())
        target.respond(exchange)

    target.request_handler = record
    started_at = reactor.seconds()
    while reactor.seconds() < started_at + seconds:
        count = len(sockets)
        due_at = started_at + count / per_s
        run_reactor_until(lambda due_at=due_at: reactor.seconds() >= due_at)
        caller = callers[count % len(callers)]
        sockets.append(caller.open(format_call("/read/1", attempt=f"c{count}")))
    for socket in sockets:
        socket.close()
    return arrivals


def count_most_in_a_second(times):
    return max(sum(start <= t < start + 1.0 for t in times) for start in times)


def test_worker_that_turns_cold_gets_its_cold_rate_from_all_nodes(mesh):
    """Guards against a cold worker that crashes under requests of many nodes."""
    target, other = mesh.add(), mesh.add("front")
    mesh.settle()
    assert target.report(cold_s=2.5) == 200
    view = other.node.fleet.views_by_id[target.host_id]
    run_reactor_until(lambda: view.cold_per_s == COLD_PER_S)
    record = other.node.fleet.records_by_id[target.host_id]
    assert record.worker.limit_per_s == COLD_PER_S
    arrivals = press([target, other], target, 2.0)
    assert count_most_in_a_second(arrivals) <= MAX_PER_S
    assert len(arrivals) >= COLD_PER_S
    run_reactor_until(lambda: not view.cold_per_s, 3)
    assert len(press([target, other], target, 1.0)) > MAX_PER_S


@pytest.mark.parametrize("fields", [[], [(b"x-cold-ms", b"20000")]])
def test_restarted_worker_is_cold_before_its_first_report(mesh, fields):
    """Guards against the usual load for a worker that answers its first check."""
    target = mesh.add()
    mesh.settle()
    target.health_fields = fields
    target.node.inbound.watch.mark_down("test")
    run_reactor_until(lambda: target.node.inbound.worker.state == "ready")
    assert target.health_checks == 1
    arrivals = press([target], target, 1.5)
    assert count_most_in_a_second(arrivals) <= MAX_PER_S
    assert target.report() == 200
    assert not target.node.inbound.cold.limit_per_s


def test_worker_that_says_that_it_is_warm_gets_its_usual_load(mesh):
    """Guards against a short interruption that slows a warm worker."""
    target = mesh.add()
    mesh.settle()
    target.health_fields = [(b"x-cold-ms", b"0")]
    target.node.inbound.watch.mark_down("test")
    run_reactor_until(lambda: target.node.inbound.worker.state == "ready")
    assert not target.node.inbound.cold.limit_per_s


def test_smaller_of_two_limits_counts(mesh):
    target = mesh.add()
    mesh.settle()
    watch = target.node.inbound.watch
    watch.update_from_response([(b"server-limit", b"1.5")], reactor.seconds())
    target.report(cold_s=9.0)
    assert target.node.hosts.get_record().worker.limit_per_s == 1.5
    watch.update_from_response([(b"server-limit", b"50")], reactor.seconds())
    assert target.node.hosts.get_record().worker.limit_per_s == COLD_PER_S


def test_service_without_a_cold_rate_is_served_as_before(mesh):
    """Guards against a change for deployments whose services name no rate."""
    mesh.store.put_config(make_config(2))
    target = mesh.add()
    mesh.settle()
    run_reactor_until(lambda: mesh.get_versions() == [2])
    before = target.node.hosts.sequence
    target.report(cold_s=9.0)
    assert target.node.hosts.sequence == before
    assert len(press([target], target, 1.0)) > MAX_PER_S


@pytest.mark.parametrize("field", ["coldStartS", "coldPerS"])
def test_negative_values_are_refused_with_the_name_of_the_service(field):
    data = b'{"version": 1, "routes": {}, "services": {"pay": {"%s": -1}}}'
    error = decode_config(data % field.encode())
    assert "service pay" in error.reason


def test_worker_that_is_warm_early_is_not_taken_for_a_slow_one(mesh):
    """Guards against a warm worker that others avoid until the time first told."""
    target, other = mesh.add(), mesh.add("front")
    mesh.settle()
    view = other.node.fleet.views_by_id[target.host_id]
    assert target.report(cold_s=60.0) == 200
    run_reactor_until(lambda: view.cold_per_s)
    assert view.cold_until > reactor.seconds() + 50
    assert target.report(cold_s=0.0) == 200
    run_reactor_until(lambda: not view.cold_per_s)
    assert view.cold_until <= reactor.seconds()
