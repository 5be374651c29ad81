"""Tests of the task that reads and watches the store."""

import random

import pytest
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from bamboocove.coordination.readers import Duty
from bamboocove.sidecar.store import OperatorUpdate
from bamboocove.sidecar.watch import WATCH_TIMEOUT_S, StoreWatch
from bamboocove.state.mesh import HostRecord
from tests.sidecar.hosts import UNAVAILABLE, make_config


class ScriptedStore:
    """A store whose watch calls are answered by the test.

    ``watches`` holds the revision, the callback and the Deferred of each call.
    """

    era = 0

    def __init__(self):
        self.config = make_config(1)
        self.revision = 10
        self.reads = 0
        self.watches = []

    async def read_operator(self):
        self.reads += 1
        return OperatorUpdate(self.config, (), self.revision, True, self.era)

    async def watch_operator(self, revision, must_wait=True, on_progress=None):
        if not must_wait:
            return OperatorUpdate(None, (), revision, False)
        done = Deferred()
        self.watches.append((revision, on_progress, done))
        return await done

    async def read_hosts(self):
        return []

    async def create_host(self, record):
        return None

    async def write_host(self, record):
        return 1

    async def read_rules(self):
        return []


class WatchedNode:
    """A node's store task with a simulated clock; ``is_reader`` is its role."""

    def __init__(self):
        self.clock = Clock()
        self.store = ScriptedStore()
        self.is_reader = True
        self.config = make_config(0)
        record = HostRecord("h1", 1, 1, ("127.0.0.1", 9), "z")
        self.watch = StoreWatch(
            self.store,
            self.clock,
            random.Random(1).random,
            self.on_update,
            lambda records: None,
            lambda rules: None,
            lambda: record,
            lambda: Duty.READER if self.is_reader else Duty.NONE,
            lambda: self.config.version,
        )
        self.watch.start()

    def on_update(self, update):
        if update.config is not None and update.config.version > self.config.version:
            self.config = update.config

    def advance(self, seconds):
        for _ in range(round(seconds / 0.1)):
            self.clock.advance(0.1)


@pytest.fixture
def node():
    node = WatchedNode()
    node.advance(2.0)
    assert len(node.store.watches) == 1
    return node


def test_reader_keeps_its_role_while_a_change_arrives_slowly(node):
    """Guards against a zone whose nodes all read a change that their reader receives.

    Each of them then occupied its own network link with the whole configuration.
    """
    _, on_progress, _ = node.store.watches[0]
    for _ in range(8):
        node.advance(0.5)
        on_progress()
        assert node.watch.is_receiving_changes(node.clock.seconds())
    node.advance(WATCH_TIMEOUT_S + 0.1)
    assert not node.watch.is_receiving_changes(node.clock.seconds())


def test_node_that_begins_to_watch_does_not_get_each_version_since_its_last_read(node):
    """Guards against a new reader that needs many seconds to get up to date.

    A watch call returns all versions since a revision: 1.97 MB in trials, which a link
    of 5 Mbit/s carries in 3.3 s.
    """
    node.is_reader = False
    node.store.watches.pop()[-1].callback(OperatorUpdate(None, (), 10, False))
    node.advance(1.0)
    assert not node.store.watches
    # Other nodes send the changes meanwhile.
    node.config = node.store.config = make_config(9)
    node.store.revision = 30
    node.is_reader = True
    reads = node.store.reads
    node.advance(1.0)
    assert node.store.reads == reads + 1
    assert [revision for revision, *_ in node.store.watches] == [30]


def test_node_that_begins_to_watch_in_a_new_era_reads_all_rows(node):
    """Guards against a watch from a version that was issued again meanwhile."""
    node.is_reader = False
    node.store.watches.pop()[-1].callback(OperatorUpdate(None, (), 10, False))
    node.advance(1.0)
    # Another node has told this one of the era.
    node.store.era = 1
    node.store.revision = 8
    node.is_reader = True
    reads = node.store.reads
    node.advance(1.0)
    assert node.store.reads == reads + 1
    assert [revision for revision, *_ in node.store.watches] == [8]


def test_node_that_begins_to_watch_reads_nothing_that_it_has(node):
    """Guards against a read of the whole configuration by each new reader."""
    node.is_reader = False
    node.store.watches.pop()[-1].callback(OperatorUpdate(None, (), 10, False))
    node.advance(1.0)
    reads = node.store.reads
    node.is_reader = True
    node.advance(1.0)
    assert node.store.reads == reads
    assert [revision for revision, *_ in node.store.watches] == [10]


def test_reader_that_was_cut_off_does_not_get_each_version_since(node):
    """Guards against a zone that is behind for seconds after a partition has ended."""
    for _ in range(4):
        node.advance(1.0)
        node.store.watches.pop()[-1].callback(UNAVAILABLE)
    node.store.config = make_config(9)
    node.store.revision = 30
    node.advance(1.0)
    assert node.config.version == 9
    assert [revision for revision, *_ in node.store.watches] == [30]


def test_node_with_a_newer_configuration_than_the_store_does_not_read_without_end(node):
    """Guards against reads in a tight loop while the store returns an older version."""
    node.config = make_config(9)
    reads = node.store.reads
    node.store.watches.pop()[-1].callback(OperatorUpdate(None, (), 10, False))
    node.advance(1.0)
    assert node.store.reads == reads + 1
    assert len(node.store.watches) == 1
