"""Tests of bamboocove.store_reader with a fake platform and clock."""

from random import Random

import pytest
from attrs import evolve
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock, deferLater

from bamboocove import store_reader
from bamboocove.coordination.publishing import PublishedConfig, publish, read_published
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.memory_platform import MemoryObjects, MemoryTable
from bamboocove.protocol.rows import (
    HEAD_KEY,
    HistoryRecord,
    NodeRecord,
    Transaction,
    Write,
    history_key,
    node_key,
)
from bamboocove.settings import check_settings
from bamboocove.standin_faults import PlatformFaults
from bamboocove.standin_platform import PlatformStandin
from bamboocove.state.codec import to_plain
from bamboocove.state.config import Config, Service
from bamboocove.state.members import Member
from bamboocove.store_reader import StoreReader
from bamboocove.transport.platform import ObjectClient, TableClient
from tests.fakes import FakeDistributor, run, run_with_reactor

NOW = 1_000_000.0


def make_settings(**texts):
    settings = check_settings(
        {
            ("node", "id"): "n1",
            ("node", "zone"): "z1",
            ("platform", "table_url"): "http://127.0.0.1:1",
            ("platform", "object_url"): "http://127.0.0.1:1",
            **{("platform", name): text for name, text in texts.items()},
        }
    )
    assert not isinstance(settings, list)
    return settings


def make_member(node_id, zone="z1"):
    return Member(node_id, 1, 1, zone, "default", "127.0.0.1", 7000)


class Harness:
    """A store task with fakes of its dependencies."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(NOW)
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.distributor = FakeDistributor()
        self.distributor.members.merge(make_member("n1"))
        self.reader = StoreReader(
            make_settings(),
            self.table,
            self.objects,
            self.distributor,
            self.clock,
            Random(1),
        )

    def publish(self, version="v1"):
        """Publish the next revision and return its configuration."""
        base = run(read_published(self.table, self.objects))
        config = evolve(
            base.config,
            revision=base.config.revision + 1,
            services_by_name={"orders": Service("orders", version)},
        )
        history = HistoryRecord(0, "ana", NOW, "a change")
        result = run(
            publish(self.table, self.objects, base, config, history, f"op-{version}")
        )
        assert isinstance(result, PublishedConfig)
        return config

    def register(self, node_id, zone, at=NOW):
        """Write the registration row of another node."""
        record = NodeRecord(make_member(node_id, zone), at)
        write = Write(node_key(zone, node_id), to_plain(record))
        self.table.state.transact(Transaction("op", (), (write,)))

    def bootstrap(self, seconds=60):
        """Run the bootstrap to completion and return its result."""
        results = []
        Deferred.fromCoroutine(self.reader.bootstrap()).addBoth(results.append)
        self.run_for(seconds)
        return results[0]

    def run_for(self, seconds):
        """Advance the clock in steps of 0.1 s."""
        for _ in range(int(seconds * 10)):
            self.clock.advance(0.1)

    def stop(self):
        """Stop the task and return whether it completed."""
        done = []
        Deferred.fromCoroutine(self.reader.stop()).addBoth(done.append)
        return done == [None]


@pytest.fixture
def harness():
    return Harness()


@pytest.fixture
def events(monkeypatch):
    logged = []
    monkeypatch.setattr(
        store_reader, "log_event", lambda number, **fields: logged.append(number)
    )
    return logged


def test_bootstrap_gives_the_head_and_registers(harness):
    config = harness.publish()
    assert harness.bootstrap() == config
    assert harness.reader.floor == 1
    assert harness.distributor.last_store_read == NOW
    assert node_key("z1", "n1") in harness.table.state.rows_by_key


def test_bootstrap_of_an_empty_store_gives_the_empty_configuration(harness):
    assert harness.bootstrap() == Config()


def test_bootstrap_ends_while_the_store_is_down(harness):
    """Guards against a bootstrap that never returns during a store outage."""
    harness.table.is_down = True
    result = harness.bootstrap(seconds=5)
    assert result.kind == ErrorKind.STORE_UNAVAILABLE
    assert harness.reader.floor == 0


def test_floor_is_known_even_if_the_object_cannot_be_read(harness):
    """Guards against applying an older revision that a peer offers."""
    harness.publish()
    harness.objects.is_down = True
    assert harness.bootstrap().kind == ErrorKind.STORE_UNAVAILABLE
    assert harness.reader.floor == 1


def test_members_come_from_the_own_zone_and_a_few_from_another(harness):
    for number in range(6):
        harness.register(f"a{number}", "z1")
        harness.register(f"p{number}", "z2")
    harness.register("lost", "z1", at=NOW - 1801)
    harness.bootstrap()
    ids = set(harness.distributor.members.members_by_id)
    assert ids >= {"n1", *(f"a{number}" for number in range(6))}
    assert len([node_id for node_id in ids if node_id.startswith("p")]) == 4
    assert "lost" not in ids


def test_other_zone_gives_a_member_even_if_none_follows_the_own_id(harness):
    harness.register("b", "z2")
    harness.bootstrap()
    assert "b" in harness.distributor.members.members_by_id


def test_last_zone_takes_members_from_the_first(harness):
    """Guards against zones without contacts in any other zone."""
    harness.register("x", "a0")
    harness.bootstrap()
    assert "x" in harness.distributor.members.members_by_id


def test_node_registers_before_it_reads_the_members(harness):
    """Guards against nodes that start simultaneously and never find each other."""
    table, list_rows = harness.table, harness.table.list
    is_registered = []

    async def watch(*arguments):
        is_registered.append(node_key("z1", "n1") in table.state.rows_by_key)
        return await list_rows(*arguments)

    table.list = watch
    harness.bootstrap()
    assert is_registered and all(is_registered)


def test_members_are_read_again_at_each_refresh(harness):
    """Guards against a node that stays isolated as the first rows were stale."""
    harness.bootstrap()
    harness.reader.start()
    harness.register("a1", "z1", at=harness.clock.seconds() + 600)
    harness.run_for(700)
    assert "a1" in harness.distributor.members.members_by_id
    assert harness.stop()


def test_list_of_members_is_read_in_pages(harness, monkeypatch):
    monkeypatch.setattr(store_reader, "MEMBERS_PAGE_SIZE", 4)
    for number in range(10):
        harness.register(f"a{number}", "z1")
    harness.bootstrap()
    assert len(harness.distributor.members.members_by_id) == 11


def test_reader_offers_a_new_revision_within_two_polls(harness):
    harness.publish()
    harness.bootstrap()
    harness.reader.start()
    harness.run_for(3)
    assert harness.distributor.offered == []
    config = harness.publish("v2")
    harness.run_for(2)
    assert harness.distributor.offered == [config]
    harness.run_for(5)
    assert harness.distributor.offered == [config]
    assert harness.stop()


def test_deltas_are_fetched_in_place_of_the_object(harness):
    """Guards against fetching all 370 services when one has changed."""
    harness.publish()
    harness.bootstrap()
    for version in ("v2", "v3"):
        config = harness.publish(version)
    reads = harness.objects.reads
    run(harness.reader.poll())
    assert harness.distributor.offered == [config]
    assert harness.objects.reads == reads


def test_object_is_fetched_when_history_does_not_lead_to_the_head(harness):
    harness.publish()
    harness.bootstrap()
    config = harness.publish("v2")
    key = history_key(2)
    row = harness.table.state.rows_by_key[key]
    harness.table.state.rows_by_key[key] = evolve(
        row, value={**row.value, "delta": b"damaged"}
    )
    run(harness.reader.poll())
    assert harness.distributor.offered == [config]


def test_damaged_object_is_not_offered_and_fetched_again(harness):
    harness.publish()
    harness.bootstrap()
    config = harness.publish("v2")
    write = Write(history_key(2), None)
    harness.table.state.transact(Transaction("op", (), (write,)))
    name = f"config-{2:012d}"
    [name] = [key for key in harness.objects.objects_by_name if key.startswith(name)]
    good = harness.objects.objects_by_name[name]
    harness.objects.objects_by_name[name] = good[:-1]
    run(harness.reader.poll())
    assert harness.distributor.offered == []
    harness.objects.objects_by_name[name] = good
    harness.clock.advance(60)
    run(harness.reader.poll())
    assert harness.distributor.offered == [config]


def test_head_that_goes_back_is_refused_and_logged_once(harness, events):
    """Guards against reverting to an older revision when the store loses writes."""
    harness.publish()
    old = harness.table.state.rows_by_key[HEAD_KEY]
    harness.publish("v2")
    harness.bootstrap()
    harness.table.state.rows_by_key[HEAD_KEY] = evolve(old, version=9)
    harness.reader.start()
    read_at = harness.distributor.last_store_read
    harness.run_for(120)
    assert harness.distributor.offered == []
    assert harness.reader.floor == 2
    assert harness.distributor.last_store_read == read_at
    assert events.count(202) == 1
    assert harness.stop()


def test_outage_is_logged_once_and_polled_slowly(harness, events):
    """Guards against loading an unavailable store and flooding the log."""
    harness.publish()
    harness.bootstrap()
    attempts = []
    harness.table.before_get = attempts.append
    harness.table.is_down = True
    harness.reader.start()
    harness.run_for(300)
    assert 10 <= len(attempts) <= 60
    assert (events.count(601), events.count(602)) == (1, 0)
    harness.table.is_down = False
    config = harness.publish("v2")
    harness.run_for(40)
    assert events.count(602) == 1
    assert harness.distributor.offered == [config]
    assert harness.stop()


def test_node_that_is_no_reader_rarely_reads_the_store(harness):
    """Guards against a store read rate that grows with the number of nodes."""
    harness.bootstrap()
    harness.distributor.is_reading = False
    harness.reader.start()
    reads = harness.table.reads
    for _ in range(30):
        harness.distributor.report_store_read(harness.clock.seconds())
        harness.run_for(2)
    assert harness.table.reads == reads
    harness.run_for(100)
    assert 1 <= harness.table.reads - reads <= 4
    assert harness.stop()


def test_revision_from_peers_is_not_fetched_again(harness):
    harness.publish()
    harness.bootstrap()
    config = harness.publish("v2")
    harness.reader.record_config(config)
    reads = harness.objects.reads
    run(harness.reader.poll())
    assert harness.objects.reads == reads
    assert harness.distributor.offered == []


def test_registration_is_refreshed_and_removed_at_the_end(harness):
    key = node_key("z1", "n1")
    harness.bootstrap()
    harness.reader.start()
    harness.run_for(3600)
    assert 6 <= harness.table.state.rows_by_key[key].version <= 8
    assert harness.stop()
    assert key not in harness.table.state.rows_by_key


def test_registration_is_written_after_an_outage(harness):
    harness.table.is_down = True
    harness.bootstrap(seconds=5)
    harness.reader.start()
    harness.run_for(60)
    harness.register("a1", "z1", at=harness.clock.seconds())
    harness.table.is_down = False
    harness.run_for(40)
    assert node_key("z1", "n1") in harness.table.state.rows_by_key
    assert "a1" in harness.distributor.members.members_by_id
    assert harness.stop()


def test_successors_registration_is_kept(harness):
    """Guards against an old process that removes the row of its successor."""
    harness.bootstrap()
    harness.register("n1", "z1")
    assert harness.stop()
    assert node_key("z1", "n1") in harness.table.state.rows_by_key


def test_exception_in_one_step_does_not_end_the_polling(harness, events):
    harness.publish()
    harness.bootstrap()
    harness.reader.start()

    def fail(key):
        harness.table.before_get = None
        raise RuntimeError("unexpected")

    harness.table.before_get = fail
    harness.run_for(3)
    config = harness.publish("v2")
    harness.run_for(3)
    assert harness.distributor.offered == [config]
    assert harness.stop()


def test_store_task_recovers_from_an_outage_of_the_platform_standin():
    """Guards against the in-memory fakes differing from the real clients."""

    async def body(reactor):
        standin = PlatformStandin(reactor)
        url = f"http://127.0.0.1:{standin.start('127.0.0.1', 0)}"
        table = TableClient(url, 1.0, reactor)
        objects = ObjectClient(url, 1.0, reactor)
        distributor = FakeDistributor()
        distributor.members.merge(make_member("n1"))
        reader = StoreReader(
            make_settings(poll_s="0.05"),
            table,
            objects,
            distributor,
            reactor,
            Random(1),
        )
        base = await reader.bootstrap()
        assert base == Config()
        reader.start()
        standin.faults = PlatformFaults(outage=True)
        await deferLater(reactor, 0.3, lambda: None)
        standin.faults = PlatformFaults(lost_answers=2)
        config = evolve(base, revision=1, tenant="t")
        published = await publish(
            table,
            objects,
            PublishedConfig(base, 0),
            config,
            HistoryRecord(0, "ana", 0.0, "x"),
            "op-1",
        )
        assert not isinstance(published, ErrorResult)
        while not distributor.offered:
            await deferLater(reactor, 0.05, lambda: None)
        standin.faults = PlatformFaults(silent=True)
        await deferLater(reactor, 0.2, lambda: None)
        await reader.stop()
        await table.close()
        await objects.close()
        await standin.stop()
        return distributor.offered

    assert [config.revision for config in run_with_reactor(body)] == [1]
