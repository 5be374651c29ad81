"""Evacuation of availability zones by complete nodes on loopback."""

from types import SimpleNamespace

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.protocol.mesh_messages import (
    EvacuationUpdate,
    StateRequest,
    decode_mesh_message,
)
from bamboocove.sidecar.dissemination import Dissemination
from bamboocove.sidecar.messages import exchange_state, handle_message
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import (
    HostMesh,
    format_call,
    make_config,
    read_response,
    stop_at_once,
)

ORDER_S = 5.0


class ZonesMesh(HostMesh):
    regions_by_zone = {"a": "r", "b": "r"}


@pytest.fixture
def mesh():
    mesh = ZonesMesh()
    yield mesh
    mesh.close()


def make_zones(mesh):
    """Return a caller and a worker of zone a, and a caller and a worker of zone b."""
    hosts = [
        mesh.add(service, zone=zone) for zone in "ab" for service in ("front", "orders")
    ]
    mesh.settle()
    return hosts


def order(mesh, *zones):
    """Write orders and wait until all nodes follow, within the time allowed."""
    mesh.store.put_evacuations(*zones)
    wait_for(mesh.hosts, *zones)


def wait_for(hosts, *zones):
    run_reactor_until(
        lambda: all(h.node.fleet.evacuated_zones == set(zones) for h in hosts), ORDER_S
    )


def test_evacuated_zone_gets_no_requests_until_the_order_is_cancelled(mesh):
    """Guards against requests in an evacuated zone, also from its own callers."""
    front_a, orders_a, front_b, orders_b = make_zones(mesh)
    assert [front_a.call()[0] for _ in range(4)] == [200] * 4
    assert len(orders_a.requests) == 4
    order(mesh, "a")
    # As if the worker beside the caller made the call while it runs a request.
    front_a.node.inbound._running_ids.add(b"p")
    calls = [(front_a, "x"), (front_a, "p.1"), (front_b, "y"), (orders_a, "z")]
    assert [host.call(attempt=name)[0] for host, name in calls] == [200] * 4
    assert (len(orders_a.requests), len(orders_b.requests)) == (4, 4)
    order(mesh)
    assert front_a.call()[0] == 200
    assert len(orders_a.requests) == 5


def test_running_requests_end_and_waiting_ones_go_elsewhere(mesh):
    """Guards against requests that are lost, or run late, when their zone empties."""
    front_a, orders_a, _, orders_b = make_zones(mesh)
    mesh.store.put_config(make_config(2, timeout_s=9.0))
    run_reactor_until(lambda: mesh.get_versions() == [2] * 4)
    other_view = front_a.node.fleet.views_by_id[orders_b.host_id]
    other_view.suspended_until = float("inf")
    held = []
    orders_a.request_handler = held.append
    orders_a.node.inbound.queue.slots = 1
    orders_a.node.inbound.queue.service_times.mean_s = 0.001
    callers = [
        front_a.open(format_call("/read/1", attempt=f"c{n}", left_ms=9000))
        for n in range(3)
    ]
    run_reactor_until(lambda: held and len(orders_a.node.inbound.queue.waiting) == 2)
    other_view.suspended_until = 0.0
    order(mesh, "a")
    assert not orders_a.node.inbound.queue.waiting
    orders_a.respond(*held)
    assert [read_response(caller)[0] for caller in callers] == [200] * 3
    assert (len(orders_a.requests), len(orders_b.requests)) == (1, 2)


def test_late_origin_is_refused_once_and_served_elsewhere(mesh):
    """Guards against an origin that misses the order and breaks it, or fails calls."""
    front_a, orders_a, _, orders_b = make_zones(mesh)
    others = [mesh.add("orders", zone="a") for _ in range(4)]
    mesh.settle()
    order(mesh, "a")
    front_a.node.fleet.set_evacuated_zones(frozenset())
    attempts = front_a.node.outbound._attempts
    first_stream = attempts._next_stream
    assert front_a.call()[0] == 200
    assert attempts._next_stream <= first_stream + 2
    assert len(orders_b.requests) == 1
    assert not any(host.requests for host in (orders_a, *others))


def test_request_without_a_worker_outside_the_zone_gets_503_at_once(mesh):
    """Guards against callers that wait for a worker that may not be used."""
    front_a, orders_a, front_b, orders_b = make_zones(mesh)
    front_a.node.outbound.router.configured_at -= 10.0
    order(mesh, "a", "b")
    started_at = reactor.seconds()
    assert front_a.call()[0] == 503
    assert reactor.seconds() - started_at < 0.5
    assert not orders_a.requests and not orders_b.requests


def test_node_that_starts_without_the_store_learns_the_order_from_a_peer(mesh):
    """Guards against a restarted node that serves an evacuated zone."""
    front_a, orders_a, _, orders_b = make_zones(mesh)
    order(mesh, "a")
    stop_at_once(front_a.node)
    mesh.store.is_down = True
    front_a.start(incarnation=2000)
    run_reactor_until(lambda: front_a.node.config.version and front_a.is_ready(), 10)
    assert front_a.node.fleet.evacuated_zones == {"a"}
    assert front_a.call()[0] == 200
    assert not orders_a.requests


def test_restarted_node_beside_the_worker_refuses_after_its_first_read(mesh):
    """Guards against an order that is lost with the process beside the worker."""
    _, orders_a, _, _ = make_zones(mesh)
    order(mesh, "a")
    stop_at_once(orders_a.node)
    orders_a.start(incarnation=2000)
    orders_a.report()
    run_reactor_until(orders_a.is_ready, 10)
    assert orders_a.node.inbound._is_evacuated
    assert orders_a.call()[0] == 200
    assert not orders_a.requests


@pytest.mark.parametrize("zones", [("a",), ()])
def test_node_that_returns_from_a_partition_follows_the_newest_orders(mesh, zones):
    """Guards against orders, or their end, that a node misses while it is cut off."""
    front_a, *_ = make_zones(mesh)
    if not zones:
        order(mesh, "a")
    stale = front_a.node
    kept = stale.evacuation.table.orders
    mesh.store.put_evacuations(*zones)
    wait_for(mesh.hosts[1:], *zones)
    # What it would hold if it had heard nothing.
    stale.evacuation.table.orders = kept
    stale.evacuation._enforce("test")
    peer = stale.hub.peers_by_id[mesh.hosts[2].host_id]
    peer.link.close("test")
    wait_for([front_a], *zones)


def test_orders_go_out_with_each_way_that_repeats_them(mesh, monkeypatch):
    """Guards against a way that the others hide while all nodes are connected."""
    node = mesh.add(zone="a").node
    mesh.settle()
    run_reactor_until(node.dissemination.is_reading)
    sent = []
    monkeypatch.setattr(
        Dissemination, "broadcast_offer", lambda self, message: sent.append(message)
    )
    link = SimpleNamespace(send_encoded=lambda d: sent.append(decode_mesh_message(d)))

    def repeat_all():
        sent.clear()
        exchange_state(node)
        handle_message(node, link, "h9", StateRequest(1))
        handle_message(node, link, "h9", EvacuationUpdate(0, 0, ["b"]))
        for is_dialled in (True, False):
            sent.extend(node.link_events.make_greeting(is_dialled))
        return [m.zones for m in sent if isinstance(m, EvacuationUpdate)]

    order(mesh, "a")
    assert repeat_all() == [["a"]] * 5
    order(mesh)
    assert repeat_all() == [[]] * 5


def test_zone_that_the_settings_lack_is_ignored(mesh):
    """Guards against a misspelt key that stops a whole service."""
    make_zones(mesh)
    mesh.store.put_evacuations("A", "a")
    wait_for(mesh.hosts, "a")


def test_configuration_that_leaves_out_a_region_does_not_come_into_force(mesh):
    """Guards against allowed regions that a node reads and ignores."""
    make_zones(mesh)
    config = make_config(2)
    route = evolve(config.routes_by_name["read"], allowed_regions=("s",))
    mesh.store.put_config(evolve(config, routes_by_name={"read": route}))
    mesh.store.put_evacuations("a")
    wait_for(mesh.hosts, "a")
    assert mesh.get_versions() == [1] * 4
