"""Moves to versions that answer requests with client errors or turn them away."""

import pytest

from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh


@pytest.fixture
def mesh():
    mesh = HostMesh()
    yield mesh
    mesh.close()


def answer_some(host, status, *fields, share=0.5):
    """Let a worker answer a share of requests with a status and header fields."""
    due = 0.0

    def handle(exchange):
        nonlocal due
        due += share
        if due >= 1.0:
            due -= 1.0
            host.respond(exchange, status, *fields)
        else:
            host.respond(exchange)

    host.request_handler = handle


def run_move(mesh, callers, duration_s=3.0):
    """Order a move and send requests until it has ended; return its state."""
    for caller in callers:
        for path in ("/read/1", "/read/odd") * 20:
            caller.call(path)
    mesh.store.put_order("orders", "v2", duration_s)
    nodes = [caller.node for caller in callers]
    run_reactor_until(
        lambda: all("orders" in node.rule_table.rules_by_service for node in nodes)
    )

    def is_done():
        for caller in callers:
            caller.call("/read/1")
            caller.call("/read/odd")
        rule = mesh.store.rules.get("orders")
        return rule is not None and rule.state in ("rolled_back", "succeeded")

    run_reactor_until(is_done, 15)
    return mesh.store.rules["orders"].state


@pytest.mark.parametrize("status", [302, 404, 429])
def test_version_that_answers_with_client_errors_is_rolled_back(mesh, status):
    """Guards against a version that has lost a route and gets all traffic."""
    callers = [mesh.add("front"), mesh.add("front")]
    mesh.add("orders")
    new = mesh.add("orders", "v2")
    mesh.settle()
    answer_some(new, status)
    assert run_move(mesh, callers) == "rolled_back"


def test_client_errors_of_both_versions_do_not_end_a_move(mesh):
    """Guards against a rollback because of requests that no version answers."""
    callers = [mesh.add("front"), mesh.add("front")]
    hosts = [mesh.add("orders"), mesh.add("orders", "v2")]
    mesh.settle()
    for host, share in zip(hosts, (0.5, 0.8), strict=True):
        answer_some(host, 404, share=share)
    assert run_move(mesh, callers) == "succeeded"


def test_version_that_turns_requests_away_is_rolled_back(mesh):
    """Guards against a version that rejects half of its requests and succeeds."""
    callers = [mesh.add("front"), mesh.add("front")]
    mesh.add("orders")
    new = mesh.add("orders", "v2")
    mesh.settle()
    answer_some(new, 503, (b"x-not-executed", b"1"))
    assert run_move(mesh, callers) == "rolled_back"


def test_requests_that_a_full_worker_turns_away_do_not_count(mesh):
    """Guards against a good version that is rolled back because of its load."""
    target = mesh.add("orders")
    inbound = target.node.inbound
    target.request_handler = target.respond_not_executed
    for slots, failed in ((1, 0), (2, 1)):
        target.node.inbound.tallies_by_route = {}
        inbound.queue.slots = slots
        target.call("/read/1")
        tallies = inbound.tallies_by_route.values()
        assert sum(tally.failed for tally in tallies) == failed


def test_worker_does_not_see_what_nodes_tell_each_other(mesh, monkeypatch):
    """Guards against fields of the nodes that reach a worker or come from a caller."""
    caller, old = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    rates = caller.node.outbound._attempts.client_errors
    rates.record("read", "orders", "v0", 404)
    seen = []
    is_failure = old.node.inbound._expected_errors.is_failure
    monkeypatch.setattr(
        old.node.inbound._expected_errors.__class__,
        "is_failure",
        lambda self, *args: seen.append(args) or is_failure(*args),
    )
    caller.call("/read/1 HTTP/1.1\r\nBamboocove-Expected-Errors: 0.5\r\nX-Rest:")
    assert seen == [("read", 1.0, 200)]
    (exchange,) = old.requests
    assert not [name for name, _ in exchange.headers if name.startswith(b"bamboocove")]
