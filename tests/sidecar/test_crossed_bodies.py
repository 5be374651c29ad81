"""Large requests and responses of two nodes for each other, against both budgets."""

import pytest
from twisted.internet import reactor

from bamboocove.coordination.body_queue import MAX_EXCESS_BYTES
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config
from tests.sidecar.test_upload_memory import Upload

LIMIT = 10_000_000
DEADLINE_MS = 4000
UPLOAD_BYTES = 1_450_000
UPLOADS = 3
LARGE_BYTES = 3_900_000
LARGE_BODY = bytes(range(250)) * (LARGE_BYTES // 250)


@pytest.fixture
def hosts(monkeypatch):
    """Return two hosts whose callers send all requests to the worker of the other."""
    monkeypatch.setattr(HostMesh, "link_bytes_per_s", 100_000_000)
    mesh = HostMesh()
    routes = {"read": {"orders": 1}, "pay": {"front": 1}}
    mesh.store.put_config(make_config(3, timeout_s=6.0, **routes))
    pair = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    for host in pair:
        host.node.body_budget.limit = LIMIT
        host.request_handler = lambda exchange: exchange.receive(
            lambda data: None, lambda: None
        )
    yield pair
    mesh.close()


def respond_large(exchange, status=200):
    attempt = dict(exchange.headers)[b"x-attempt-id"]
    fields = [(b"x-attempt-id", attempt), (b"x-response-signature", b"s")]
    exchange.start(status, fields, LARGE_BYTES)
    exchange.finish(LARGE_BODY)


def wait_for_answers(hosts, callers):
    """Read all answers; return their statuses and the most bytes a node held."""
    peak = 0

    def is_done():
        nonlocal peak
        peak = max(peak, *(host.node.body_budget.held for host in hosts))
        for caller in callers:
            caller._read()
        return all(
            len(caller.data) > LARGE_BYTES or caller.data[9:12] in (b"503", b"504")
            for caller in callers
        )

    run_reactor_until(is_done, 10)
    return [int(caller.data[9:12]) for caller in callers], peak


def test_two_nodes_that_hold_bodies_for_each_other_do_not_wait_in_vain(hosts):
    """Guards against 504 for all large answers while uploads are in flight.

    Each node had offered more replies than its budget and held more than the excess
    in request bodies, so it took no reply of the other until the deadlines.
    """
    uploads = []

    def is_at_its_worker():
        uploads[-1].send()
        held = sum(host.node.body_budget.held for host in hosts)
        is_read = held == len(uploads) * UPLOAD_BYTES
        return is_read and sum(len(host.requests) for host in hosts) == len(uploads)

    for number in range(UPLOADS):
        for host, path in zip(hosts, ("/read/1", "/pay/1"), strict=True):
            upload = Upload(
                host,
                UPLOAD_BYTES,
                attempt=f"a{number}{host.host_id}",
                left_ms=DEADLINE_MS,
                path=path,
            )
            uploads.append(upload)
            run_reactor_until(is_at_its_worker)
    for host in hosts:
        assert host.node.body_budget.held > MAX_EXCESS_BYTES
        for exchange in host.requests:
            respond_large(exchange)
    started_at = reactor.seconds()
    statuses, peak = wait_for_answers(hosts, [upload.caller for upload in uploads])
    assert statuses == [200] * len(uploads)
    assert reactor.seconds() - started_at < DEADLINE_MS / 1000 / 2
    assert peak <= LIMIT + 3 * MAX_EXCESS_BYTES
    run_reactor_until(lambda: not any(h.node.body_budget.held for h in hosts))
    assert not any(h.node.body_budget.unread for h in hosts)


def test_large_error_answers_that_wait_for_a_retry_stay_within_the_budget(hosts):
    """Guards against a node that holds an error answer for each retried request."""
    calling, failing = hosts
    silent = failing.mesh.add("orders")
    failing.mesh.settle()
    failing.request_handler = lambda exchange: respond_large(exchange, 500)
    silent.request_handler = lambda exchange: None
    for host in (failing, silent):
        host.node.inbound.queue.slots = 20
    callers = [
        calling.open(format_call("/read/1", "GET", b"", DEADLINE_MS, f"a{number}"))
        for number in range(16)
    ]
    statuses, peak = wait_for_answers(hosts, callers)
    assert 500 in statuses
    assert LARGE_BYTES < peak <= LIMIT + 3 * MAX_EXCESS_BYTES
    run_reactor_until(lambda: not any(h.node.body_budget.held for h in hosts))
