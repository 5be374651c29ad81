"""Reports of another writer, and of workers that only look outdated."""

import json
import time

import pytest
from twisted.internet import reactor

from bamboocove.coordination import report_conflicts
from bamboocove.state.mesh import MeshConfig
from tests.callpath import Caller, pause, run, run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config, stop_at_once


@pytest.fixture
def mesh(monkeypatch):
    monkeypatch.setattr(report_conflicts, "SILENCE_S", 0.3)
    mesh = HostMesh()
    routes = {"read": {"orders": 1}, "pay": {"ledger": 1}}
    mesh.store.put_config(make_config(2, **routes))
    yield mesh
    mesh.close()


def send_odd(host, worker_id="i-odd", service="nobody", **fields):
    """Send a report of another writer to a node; return the status code."""
    document = {
        "address": f"127.0.0.1:{host.worker.port}",
        "born": fields.pop("born", int(time.time() * 1000)),
        "info": {"service": service, "version": "v1", "zone": "z", "slots": 4},
        "status": {"state": "ready", "sequence": 1, "coldRemainingS": 0, **fields},
    }
    body = json.dumps(document).encode()
    caller = Caller(host.settings.heartbeat_address[1])
    caller.send(
        b"PUT /api/instances/%b HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%b"
        % (worker_id.encode(), len(body), body)
    )
    data = caller.read_until(lambda data: b"\r\n\r\n" in data)
    caller.close()
    return int(data.split()[1])


def report_until_served(caller, target, path="/read/1"):
    """Let a worker go on with its reports until a request of a caller is served."""
    next_at = 0.0

    def is_served():
        nonlocal next_at
        if reactor.seconds() >= next_at:
            next_at = reactor.seconds() + 0.2
            target.report()
            return caller.call(path)[0] == 200
        return False

    run_reactor_until(is_served)


def test_report_of_an_unknown_service_does_not_replace_the_worker(mesh):
    """Guards against a host that serves nothing after a report of another writer."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    assert send_odd(target) == 200
    assert target.node.inbound.worker.worker_id == target.worker_id
    assert caller.call()[0] == 200


@pytest.mark.parametrize("state", ["ready", "draining"])
def test_report_of_an_unknown_service_says_nothing_of_the_held_worker(mesh, state):
    """Guards against a worker that another writer signs off or moves elsewhere."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    assert send_odd(target, target.worker_id, state=state) == 400
    assert target.report() == 200
    assert caller.call()[0] == 200


def test_worker_whose_service_is_named_later_is_used_without_a_restart(mesh):
    """Guards against a worker that is refused because it starts before a change."""
    caller, target = mesh.add("front"), mesh.add("stock")
    mesh.settle()
    mesh.store.put_config(make_config(3, read={"stock": 1}))
    run_reactor_until(lambda: set(mesh.get_versions()) == {3})
    assert target.report() == 200
    assert caller.call()[0] == 200


def test_new_service_at_an_address_is_used_once_the_configuration_names_it(mesh):
    """Guards against an address that stays with the service of a crashed worker."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    target.worker_id, target.service, target.sequence = "i-stock", "stock", 0
    target.born_ms += 500
    assert target.report() == 200
    assert target.node.inbound.worker.service == "orders"
    mesh.store.put_config(make_config(3, read={"stock": 1}))
    run_reactor_until(lambda: set(mesh.get_versions()) == {3})
    report_until_served(caller, target)
    assert target.node.inbound.worker.worker_id == "i-stock"


def test_odd_report_before_the_first_configuration_gives_way(mesh):
    """Guards against an odd report that is kept because no service was known then."""
    config, mesh.store.config = mesh.store.config, None
    caller, target = mesh.add("front"), mesh.add("orders")
    assert send_odd(target) == 200
    mesh.store.put_config(config)
    mesh.settle()
    report_until_served(caller, target)


@pytest.mark.parametrize("service", ["orders", "ledger"])
def test_worker_that_answers_takes_its_place_back(mesh, service):
    """Guards against a report of a later start that no worker at the address made."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    born_ms = int(time.time() * 1000) + 3_600_000
    assert send_odd(target, service=service, born=born_ms) == 200
    report_until_served(caller, target)
    # The worker has contradicted it, so it is not believed again.
    assert send_odd(target, service=service, born=born_ms, sequence=2) == 200
    assert target.node.inbound.worker.worker_id == target.worker_id
    assert caller.call()[0] == 200


def test_worker_takes_its_place_back_after_a_restart_of_the_node(mesh):
    """Guards against an odd report that the record of the host makes last."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    born_ms = int(time.time() * 1000) + 3_600_000
    assert send_odd(target, service="ledger", born=born_ms) == 200
    run_reactor_until(lambda: mesh.store.hosts["h1"].worker.worker_id == "i-odd")
    stop_at_once(target.node)
    target.start(2000)
    mesh.settle()
    report_until_served(caller, target)


@pytest.mark.parametrize(
    "fields",
    [{"born": 2**52}, {"born": None, "sequence": 2**52}],
    ids=["later-start", "later-report"],
)
def test_reports_that_go_on_outweigh_one_with_the_same_identifier(mesh, fields):
    """Guards against one report that outdates all later ones of the same worker."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    fields["born"] = fields["born"] or target.born_ms
    assert send_odd(target, target.worker_id, "ledger", **fields) == 200
    report_until_served(caller, target)


def test_late_reports_of_an_earlier_start_are_passed_over(mesh):
    """Guards against a crashed worker that replaces the present one by late reports."""
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    for sequence in (7, 8, 9):
        assert send_odd(target, "i-old", "orders", born=5, sequence=sequence) == 200
        assert target.node.inbound.worker.worker_id == target.worker_id
        assert caller.call()[0] == 200
        assert target.report() == 200
        run(pause(0.15))


def test_configuration_without_services_refuses_no_report(mesh):
    """Guards against a node that takes no worker before it knows any service."""
    mesh.store.config = MeshConfig(3)
    host = mesh.add("orders")
    assert host.node.inbound.worker.service == "orders"


def test_worker_that_signs_off_while_it_is_asked_does_not_come_back(mesh):
    """Guards against requests to a worker whose leaving was acknowledged."""
    target = mesh.add("orders")
    mesh.settle()
    watch = target.node.inbound.watch
    # Without a path the worker is not asked, so that its answer can come later.
    watch.health_path, watch.services_by_name = "", {}
    assert send_odd(target, service="orders", born=2**45) == 200
    assert target.report() == 200
    assert target.send_report(b"DELETE") == 200
    watch._settle_conflict(target.worker_id)
    assert watch.worker.worker_id == "i-odd"
