"""The client of the store against a small stand-in of the store's protocol."""

import json

import pytest
from twisted.internet import reactor

from bamboocove.errors import ErrorKind
from bamboocove.platform.standin_store import StoreStandin
from bamboocove.platform.store import PlatformStore
from bamboocove.state.mesh import HostRecord, MeshWorker, VersionRule
from tests.callpath import run
from tests.platform.test_documents import CONFIG


@pytest.fixture
def service():
    service = StoreStandin(reactor, page_rows=2)
    service.listen()
    yield service
    service.close()


@pytest.fixture
def store(service):
    store = PlatformStore(("127.0.0.1", service.port.getHost().port), reactor)
    yield store
    store.close()


def make_record(host_id, worker=None):
    return HostRecord(host_id, 1, 2, ("10.0.0.1", 80), "z", False, worker)


def test_configuration_and_orders_are_read(service, store):
    service.put("op", "config", json.dumps(CONFIG).encode())
    order = {"service": "a", "to": "v2", "durationS": 12}
    service.put("op", "rollout/a", json.dumps(order).encode())
    service.put("op", "rollout/b", b"not JSON")
    news = run(store.read_operator())
    assert news.config.version == 7
    assert [(o.service, o.to_version, o.revision) for o in news.orders] == [
        ("a", "v2", 12)
    ]
    assert news.is_full_read and news.revision == service.ver


def test_watch_returns_only_what_changed(service, store):
    service.put("op", "config", json.dumps(CONFIG).encode())
    order = {"service": "a", "to": "v2", "durationS": 12}
    service.put("op", "rollout/a", json.dumps(order).encode())
    news = run(store.watch_operator(11))
    assert news.config is None and len(news.orders) == 1


def test_lost_history_is_told_apart_from_an_outage(service, store):
    """Guards against waiting for changes that will never come."""
    service.fault = 410
    assert run(store.watch_operator(3)).kind is ErrorKind.STALE
    service.fault = 503
    assert run(store.watch_operator(3)).kind is ErrorKind.STORE_UNAVAILABLE


def test_hosts_are_written_and_read_over_several_pages(service, store):
    worker = MeshWorker("i-1", "a", "v1", 12, "ready", 1.0, 5, 6)
    records = [make_record(f"h{i}", worker if i else None) for i in range(5)]
    for record in records:
        assert run(store.write_host(record)) > 0
    service.put("bamboocove-hosts", "h9", b"\xff")
    assert run(store.read_hosts()) == records
    run(store.remove_host("h1"))
    assert [r.host_id for r in run(store.read_hosts())] == ["h0", "h2", "h3", "h4"]


def test_first_decision_about_a_move_holds(service, store):
    """Guards against two nodes that decide differently."""
    running = VersionRule("a", "v1", (), "v2", 12, "running")
    back = VersionRule("a", "v1", ("v2",), "v2", 12, "rolled_back")
    done = VersionRule("a", "v2", (), "v2", 12, "succeeded")
    assert run(store.write_rule(running)) == running
    assert run(store.write_rule(back)) == back
    assert run(store.write_rule(done)) == back
    assert run(store.read_rules()) == [back]
    status = json.loads(service.rows["status", "rollout/a"][0])
    assert status == {"state": "rolled_back", "to": "v2"}


def test_write_whose_answer_is_lost_is_found_by_the_next_try(service, store):
    """Guards against a second, different decision after a lost answer."""
    rule = VersionRule("a", "v1", ("v2",), "v2", 12, "rolled_back")
    read_table = store._read_table

    async def read_then_lose(*args):
        result = await read_table(*args)
        service.fault = "lose"
        return result

    store._read_table = read_then_lose
    assert run(store.write_rule(rule)).kind is ErrorKind.STORE_UNKNOWN
    service.fault = None
    store._read_table = read_table
    assert run(store.write_rule(rule)) == rule


@pytest.mark.parametrize("fault", [429, 503, 500, "silent"])
def test_refusing_and_silent_store_is_unavailable(service, store, fault, monkeypatch):
    monkeypatch.setattr("bamboocove.platform.store.CALL_TIMEOUT_S", 0.2)
    service.fault = fault
    assert run(store.read_hosts()).kind is ErrorKind.STORE_UNAVAILABLE


def test_store_that_is_down_is_unavailable(service, store):
    service.port.stopListening()
    result = run(store.write_host(make_record("h")))
    assert result.kind is ErrorKind.STORE_UNAVAILABLE
