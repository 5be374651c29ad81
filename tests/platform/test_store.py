"""The client of the store against a small stand-in of the store's protocol."""

import base64
import json
from urllib.parse import parse_qs, urlsplit

import pytest
from twisted.internet import reactor

from bamboocove.errors import ErrorKind
from bamboocove.platform.store import PlatformStore
from bamboocove.state.mesh import HostRecord, MeshWorker, VersionRule
from bamboocove.transport.calls import CallServer
from tests.callpath import run
from tests.platform.test_documents import CONFIG


class RowsService:
    """Rows in tables under versions, and the faults that a test switches on."""

    def __init__(self):
        self.rows = {}
        self.ver = 10
        self.page = 2
        self.fault = None
        self.calls = 0
        self.server = CallServer(self.take, 1 << 20, reactor)
        self.listener = reactor.listenTCP(0, self.server, interface="127.0.0.1")

    def put(self, table, key, value):
        self.ver += 1
        self.rows[table, key] = (value, self.ver)

    def take(self, exchange):
        self.calls += 1
        parts = []
        exchange.receive(parts.append, lambda: self.answer(exchange, b"".join(parts)))

    def answer(self, exchange, body):
        if self.fault == "lose":
            self.change(json.loads(body))
            exchange.abort()
            return
        if self.fault == "silent":
            return
        if isinstance(self.fault, int):
            exchange.respond(self.fault, [])
            return
        url = urlsplit(exchange.target.decode())
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        if url.path == "/api/rows-tx":
            status, document = self.change(json.loads(body))
        elif url.path == "/api/rows-get":
            status, document = 200, self.read(query)
        else:
            status, document = self.feed(query)
        exchange.respond(status, [], json.dumps(document).encode())

    def make_row(self, table, key):
        value, ver = self.rows[table, key]
        return {
            "table": table,
            "part": "",
            "key": key,
            "value": base64.b64encode(value).decode(),
            "ver": ver,
        }

    def read(self, query):
        keys = sorted(
            key
            for table, key in self.rows
            if table == query["table"]
            and key >= query.get("from", "")
            and ("to" not in query or key < query["to"])
        )
        rows = [self.make_row(query["table"], key) for key in keys[: self.page]]
        return {"rows": rows, "hasMore": len(keys) > self.page, "ver": self.ver}

    def feed(self, query):
        after = int(query["after"])
        rows = [
            self.make_row(table, key)
            for (table, key), (_, ver) in self.rows.items()
            if table == query["table"] and ver > after
        ]
        return 200, {"rows": rows, "ver": self.ver}

    def change(self, document):
        for check in document["expectedRev"]:
            held = self.rows.get((check["table"], check["key"]), (b"", 0))
            if held[1] != check["ver"]:
                return 412, {"rows": [], "ver": self.ver}
        for write in document["writes"]:
            value = base64.b64decode(write["value"])
            self.put(write["table"], write["key"], value)
        for row in document["remove"]:
            self.rows.pop((row["table"], row["key"]), None)
        return 200, {"ver": self.ver}


@pytest.fixture
def service():
    service = RowsService()
    yield service
    service.listener.stopListening()
    for connection in list(service.server.connections):
        connection.abort()


@pytest.fixture
def store(service):
    store = PlatformStore(("127.0.0.1", service.listener.getHost().port), reactor)
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
    assert news.is_whole and news.revision == service.ver


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
    service.listener.stopListening()
    result = run(store.write_host(make_record("h")))
    assert result.kind is ErrorKind.STORE_UNAVAILABLE
