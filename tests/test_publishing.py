"""Tests of publishing with lost answers, concurrent writers and lost leases."""

import pytest
from attrs import evolve

from bamboocove.coordination.lease import acquire_lease
from bamboocove.coordination.publishing import (
    PublishedConfig,
    fetch_newer_config,
    publish,
    read_head_record,
    read_history,
    read_published,
)
from bamboocove.errors import ErrorKind
from bamboocove.memory_platform import MemoryObjects, MemoryTable
from bamboocove.protocol.rows import (
    COORDINATOR_LEASE_KEY,
    HEAD_KEY,
    HistoryRecord,
    LeaseRecord,
    history_key,
)
from bamboocove.state.codec import decode, encode
from bamboocove.state.config import Config, Delta, Service, apply_delta
from tests.fakes import run

HISTORY = HistoryRecord(0, "ana", 100.0, "a change")


@pytest.fixture
def table():
    return MemoryTable()


@pytest.fixture
def objects():
    return MemoryObjects()


def make_next(base: PublishedConfig, version: str) -> Config:
    return evolve(
        base.config,
        revision=base.config.revision + 1,
        services_by_name={"orders": Service("orders", version)},
    )


def publish_next(table, objects, base, version, operation_id, lease=None):
    config = make_next(base, version)
    return run(publish(table, objects, base, config, HISTORY, operation_id, lease))


def test_empty_store_has_revision_0(table, objects):
    assert run(read_published(table, objects)) == PublishedConfig(Config(), 0)


def test_published_config_is_read_back_and_history_leads_to_it(table, objects):
    base = run(read_published(table, objects))
    first = publish_next(table, objects, base, "v1", "op-1")
    second = publish_next(table, objects, first, "v2", "op-2")
    assert run(read_published(table, objects)) == second
    records = run(read_history(table, 1, 10))
    assert [record.revision for record in records] == [2]
    assert apply_delta(first.config, decode(Delta, records[0].delta)) == second.config


def test_outcome_after_a_lost_answer_is_found_by_the_operation_id(table, objects):
    """Guards against a failure reported for a change that took effect."""
    base = run(read_published(table, objects))
    table.lost_answers = 1
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result == run(read_published(table, objects))
    assert result.config.revision == 1
    assert table.writes == 1


def test_delayed_write_has_no_effect_after_the_outcome_is_known(table, objects):
    """Guards against taking an absent history row as proof of no effect."""
    base = run(read_published(table, objects))
    table.delayed_writes = 1
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result.config.revision == 1
    rival = publish_next(table, objects, result, "v2", "op-2")
    late = table.deliver_delayed()
    assert [item.kind for item in late] == [ErrorKind.CONFLICT]
    assert run(read_published(table, objects)) == rival


def test_delayed_write_applied_before_its_repetition_takes_effect_once(table, objects):
    """Guards against a conflict reported between two copies of one operation."""
    base = run(read_published(table, objects))
    table.delayed_writes = 1

    def deliver_late(transaction):
        if table.delayed:
            table.deliver_delayed()

    table.before_transact = deliver_late
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result == run(read_published(table, objects))
    assert table.state.rows_by_key[HEAD_KEY].version == 1


def test_outage_after_a_lost_answer_is_unknown(table, objects):
    """Guards against a reported outcome that was not read back."""
    base = run(read_published(table, objects))
    table.lost_answers = 1

    def fail(key):
        table.is_down = True

    table.before_get = fail
    config = make_next(base, "v1")
    result = run(publish(table, objects, base, config, HISTORY, "op-1"))
    assert result.kind == ErrorKind.STORE_UNKNOWN
    table.before_get = None
    table.is_down = False
    # The caller repeats the call once the store is back; it takes effect once.
    result = run(publish(table, objects, base, config, HISTORY, "op-1"))
    assert result == run(read_published(table, objects))
    assert table.state.rows_by_key[HEAD_KEY].version == 1


def test_outage_before_the_write_is_unavailable(table, objects):
    base = run(read_published(table, objects))
    table.is_down = True
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result.kind == ErrorKind.STORE_UNAVAILABLE


def test_second_of_two_concurrent_writers_gets_a_conflict(table, objects):
    """Guards against a lost update between operators."""
    base = run(read_published(table, objects))
    first = publish_next(table, objects, base, "v1", "op-1")
    second = publish_next(table, objects, base, "v9", "op-2")
    assert second.kind == ErrorKind.CONFLICT
    assert run(read_published(table, objects)) == first
    row = table.state.rows_by_key[history_key(1)]
    assert row.operation_id == "op-1"


def test_conflict_is_reported_after_a_lost_answer(table, objects):
    """Guards against mistaking the history row of another writer for one's own."""
    base = run(read_published(table, objects))
    table.delayed_writes = 1
    rival = MemoryTable()
    rival.state = table.state
    won = []

    def let_rival_win(key):
        if not won:
            won.append(publish_next(rival, objects, base, "v9", "op-2"))

    table.before_get = let_rival_win
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result.kind == ErrorKind.CONFLICT
    assert [item.kind for item in table.deliver_delayed()] == [ErrorKind.CONFLICT]
    assert run(read_published(rival, objects)) == won[0]


def make_lease_record(holder, expires_at):
    return LeaseRecord(holder, "127.0.0.1", 7000, 0, expires_at)


def test_paused_holder_cannot_publish_after_a_takeover(table, objects):
    """Guards against a holder that publishes after its lease was taken over."""
    base = run(read_published(table, objects))
    old = run(
        acquire_lease(table, COORDINATOR_LEASE_KEY, make_lease_record("a", 10.0), 0.0)
    )
    run(acquire_lease(table, COORDINATOR_LEASE_KEY, make_lease_record("b", 21.0), 11.0))
    result = publish_next(table, objects, base, "v1", "op-1", old)
    assert result.kind == ErrorKind.FENCED
    assert run(read_published(table, objects)) == base


def test_paused_holder_is_fenced_even_after_its_successor_published(table, objects):
    """Guards against a conflict in place of FENCED: the holder would try again."""
    base = run(read_published(table, objects))
    old = run(
        acquire_lease(table, COORDINATOR_LEASE_KEY, make_lease_record("a", 10.0), 0.0)
    )
    new = run(
        acquire_lease(table, COORDINATOR_LEASE_KEY, make_lease_record("b", 21.0), 11.0)
    )
    published = publish_next(table, objects, base, "v2", "op-2", new)
    result = publish_next(table, objects, base, "v1", "op-1", old)
    assert result.kind == ErrorKind.FENCED
    assert run(read_published(table, objects)) == published


def test_holder_publishes_while_it_holds_the_lease(table, objects):
    base = run(read_published(table, objects))
    held = run(
        acquire_lease(table, COORDINATOR_LEASE_KEY, make_lease_record("a", 10.0), 0.0)
    )
    result = publish_next(table, objects, base, "v1", "op-1", held)
    assert result.config.revision == 1


def test_head_never_names_a_missing_object(table, objects):
    """Guards against writing the head before its object."""
    base = run(read_published(table, objects))
    objects.is_down = True
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result.kind == ErrorKind.STORE_UNAVAILABLE
    assert table.writes == 0


def test_object_is_written_again_after_a_lost_answer(table, objects):
    base = run(read_published(table, objects))
    objects.lost_answers = 1
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result.config.revision == 1
    assert objects.writes == 2


def test_object_whose_answers_are_all_lost_is_read_back(table, objects):
    """Guards against refused edits while writes succeed but answers are lost."""
    base = run(read_published(table, objects))
    objects.lost_answers = 100
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result.config.revision == 1


def test_concurrent_writers_do_not_overwrite_each_others_objects(table, objects):
    """Guards against one object name for two configurations of a revision."""
    base = run(read_published(table, objects))
    rival = []

    def let_rival_win(transaction):
        table.before_transact = None
        rival.append(publish_next(table, objects, base, "v9", "op-2"))

    table.before_transact = let_rival_win
    result = publish_next(table, objects, base, "v1", "op-1")
    assert result.kind == ErrorKind.CONFLICT
    assert run(read_published(table, objects)) == rival[0]
    assert len(objects.objects_by_name) == 2


def test_object_that_does_not_match_the_head_is_refused(table, objects):
    """Guards against applying a damaged or replaced object."""
    base = run(read_published(table, objects))
    publish_next(table, objects, base, "v1", "op-1")
    name = next(iter(objects.objects_by_name))
    objects.objects_by_name[name] = encode(make_next(base, "v9"))
    assert run(read_published(table, objects)).kind == ErrorKind.INVALID_CONFIG
    objects.objects_by_name[name] = b"damaged"
    assert run(read_published(table, objects)).kind == ErrorKind.INVALID_CONFIG
    del objects.objects_by_name[name]
    assert run(read_published(table, objects)).kind == ErrorKind.NOT_FOUND


def test_revision_must_follow_the_base(table, objects):
    """Guards against a revision that skips or repeats a number."""
    base = PublishedConfig(Config(revision=3), 3)
    config = Config(revision=3)
    result = run(publish(table, objects, base, config, HISTORY, "op-1"))
    assert result.kind == ErrorKind.STALE


def test_next_config_comes_from_the_history_and_not_from_its_object(table, objects):
    """Guards against blocking the reactor by decoding a whole configuration."""
    base = run(read_published(table, objects))
    first = publish_next(table, objects, base, "v1", "op-1")
    second = publish_next(table, objects, first, "v2", "op-2")
    third = publish_next(table, objects, second, "v3", "op-3")
    record = run(read_head_record(table)).record
    objects.reads = 0
    assert run(fetch_newer_config(table, objects, first.config, record)) == third.config
    assert objects.reads == 0


@pytest.mark.parametrize("revision", [0, 2, 4])
def test_object_is_fetched_without_a_history_to_the_head(table, objects, revision):
    """Guards against a node that cannot update because no delta fits its base."""
    base = run(read_published(table, objects))
    first = publish_next(table, objects, base, "v1", "op-1")
    second = publish_next(table, objects, first, "v2", "op-2")
    third = publish_next(table, objects, second, "v3", "op-3")
    record = run(read_head_record(table)).record
    # The history does not continue from this configuration.
    other = evolve(first.config, revision=revision, tenant="other")
    assert run(fetch_newer_config(table, objects, other, record)) == third.config
