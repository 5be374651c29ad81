"""Platform clients against the stand-in server over loopback."""

import socket

import pytest
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import deferLater

from bamboocove.errors import ErrorKind
from bamboocove.protocol.rows import Check, Committed, Conflict, Transaction, Write
from bamboocove.standin_faults import PlatformFaults
from bamboocove.standin_platform import PlatformStandin
from bamboocove.transport.platform import ObjectClient, TableClient
from tests.fakes import run_with_reactor

HOST = "127.0.0.1"
TIMEOUT_S = 0.3


def run_with_standin(test):
    """Run ``test(standin, table, objects, reactor)`` against a new stand-in."""

    async def body(reactor):
        standin = PlatformStandin(reactor)
        url = f"http://{HOST}:{standin.start(HOST, 0)}"
        table = TableClient(url, TIMEOUT_S, reactor)
        objects = ObjectClient(url, TIMEOUT_S, reactor)
        try:
            return await test(standin, table, objects, reactor)
        finally:
            await table.close()
            await objects.close()
            await standin.stop()

    return run_with_reactor(body)


def make_write(key, version=0, operation_id="op-1", value=None):
    return Transaction(
        operation_id,
        (Check(key, version),),
        (Write(key, {"n": 1} if value is None else value),),
    )


@pytest.mark.parametrize(
    "key", ["config/head", "a//b", "a/../b", "a b?c=d&e#f%2F", "tečaj/ž"]
)
def test_row_with_any_key_is_written_read_and_listed(key):
    """Guards against keys that URL quoting changes, such as client-chosen ones."""

    async def body(standin, table, objects, reactor):
        assert await table.get(key) is None
        assert await table.transact(make_write(key)) == Committed({key: 1})
        row = await table.get(key)
        assert (row.key, row.version, row.operation_id) == (key, 1, "op-1")
        assert row.value == {"n": 1}
        assert await table.list(key[:1]) == [row]
        assert await table.list(key[:1], after=key) == []

    run_with_standin(body)


def test_failed_check_names_its_row_and_writes_nothing():
    async def body(standin, table, objects, reactor):
        await table.transact(make_write("a"))
        transaction = Transaction(
            "op-2",
            (Check("b", 0), Check("a", 0)),
            (Write("b", {}), Write("a", {})),
        )
        assert await table.transact(transaction) == Conflict.of("a", 1)
        assert await table.get("b") is None

    run_with_standin(body)


def test_list_is_paged_in_key_order():
    async def body(standin, table, objects, reactor):
        for key in ("n/3", "n/1", "m/9", "n/2", "o/1"):
            await table.transact(make_write(key))
        rows = await table.list("n/", limit=2)
        assert [row.key for row in rows] == ["n/1", "n/2"]
        rows = await table.list("n/", after="n/2", limit=2)
        assert [row.key for row in rows] == ["n/3"]

    run_with_standin(body)


def test_large_object_is_stored_and_read():
    async def body(standin, table, objects, reactor):
        data = bytes(range(256)) * 8192
        assert await objects.get("x") is None
        assert await objects.put("x", data) is None
        assert await objects.get("x") == data

    run_with_standin(body)


def test_write_with_a_lost_response_is_unknown():
    """Guards against a lost response that is reported as no effect."""

    async def body(standin, table, objects, reactor):
        standin.faults = PlatformFaults(lost_answers=2)
        result = await table.transact(make_write("a"))
        assert result.kind == ErrorKind.STORE_UNKNOWN
        assert (await objects.put("x", b"1")).kind == ErrorKind.STORE_UNKNOWN
        assert (await table.get("a")).operation_id == "op-1"
        assert await objects.get("x") == b"1"

    run_with_standin(body)


def test_write_that_takes_effect_after_its_timeout_is_unknown():
    """Guards against a timeout that is reported as no effect."""

    async def body(standin, table, objects, reactor):
        standin.faults = PlatformFaults(delay_s=2 * TIMEOUT_S)
        started_at = reactor.seconds()
        result = await table.transact(make_write("a"))
        assert result.kind == ErrorKind.STORE_UNKNOWN
        assert reactor.seconds() - started_at < 1.8 * TIMEOUT_S
        assert (await table.get("a")).kind == ErrorKind.STORE_UNAVAILABLE
        standin.faults = PlatformFaults()
        await deferLater(reactor, 2 * TIMEOUT_S, lambda: None)
        assert (await table.get("a")).operation_id == "op-1"

    run_with_standin(body)


def test_call_to_an_unresponsive_store_times_out():
    async def body(standin, table, objects, reactor):
        standin.faults = PlatformFaults(silent=True)
        result = await table.transact(make_write("a"))
        assert result.kind == ErrorKind.STORE_UNKNOWN
        assert (await table.get("a")).kind == ErrorKind.STORE_UNAVAILABLE

    run_with_standin(body)


@pytest.mark.parametrize(
    "faults", [PlatformFaults(outage=True), PlatformFaults(writes_per_s=0.001)]
)
def test_refused_write_is_unavailable(faults):
    """Guards against a needless read of the outcome of a write that never started."""

    async def body(standin, table, objects, reactor):
        await table.transact(make_write("a"))
        standin.faults = faults
        # The bucket starts with one token.
        await table.transact(make_write("b"))
        result = await table.transact(make_write("c"))
        assert result.kind == ErrorKind.STORE_UNAVAILABLE
        assert (await objects.put("x", b"")).kind == ErrorKind.STORE_UNAVAILABLE
        assert "c" not in standin.table.rows_by_key

    run_with_standin(body)


def test_read_rate_is_limited():
    async def body(standin, table, objects, reactor):
        standin.faults = PlatformFaults(reads_per_s=5)
        results = [await table.get("a") for _ in range(20)]
        refused = [result for result in results if result is not None]
        assert 10 <= len(refused) <= 15
        assert standin.counts_by_name["refused"] == len(refused)

    run_with_standin(body)


def test_write_on_a_refused_connection_is_unavailable():
    """Guards against a write that was never sent but is reported as unknown."""
    with socket.socket() as unused:
        unused.bind((HOST, 0))
        port = unused.getsockname()[1]

        async def body(reactor):
            table = TableClient(f"http://{HOST}:{port}", TIMEOUT_S, reactor)
            return await table.transact(make_write("a"))

        assert run_with_reactor(body).kind == ErrorKind.STORE_UNAVAILABLE


def test_write_on_a_closed_pooled_connection_is_unknown():
    """Guards against a repeated write whose first copy may have taken effect."""

    async def body(standin, table, objects, reactor):
        await table.transact(make_write("a"))
        standin.faults = PlatformFaults(lost_answers=-1)
        result = await table.transact(make_write("b"))
        assert result.kind == ErrorKind.STORE_UNKNOWN
        assert standin.counts_by_name["writes"] == 2

    run_with_standin(body)


class StallingBody(Protocol):
    """Server that sends the start of a response body and then stalls."""

    def connectionMade(self):
        self.factory.opened += 1

    def dataReceived(self, data):
        self.transport.write(b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n12")

    def connectionLost(self, reason):
        self.factory.closed += 1


def test_stalled_body_times_out_and_closes_its_connection():
    """Guards against one leaked socket for each stalled response."""

    async def body(reactor):
        factory = Factory.forProtocol(StallingBody)
        factory.opened = factory.closed = 0
        port = reactor.listenTCP(0, factory, interface=HOST)
        url = f"http://{HOST}:{port.getHost().port}"
        table = TableClient(url, TIMEOUT_S, reactor)
        read = await table.get("a")
        write = await table.transact(make_write("a"))
        await deferLater(reactor, 0.1, lambda: None)
        await port.stopListening()
        return read.kind, write.kind, factory.opened, factory.closed

    assert run_with_reactor(body) == (
        ErrorKind.STORE_UNAVAILABLE,
        ErrorKind.STORE_UNKNOWN,
        2,
        2,
    )
