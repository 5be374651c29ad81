"""Tests of a store that was restored from a copy, against its stand-in."""

import json

import pytest
from attrs import evolve
from twisted.internet import reactor
from twisted.internet.task import Clock

from bamboocove.coordination.order_numbers import make_order_number
from bamboocove.errors import ErrorKind
from bamboocove.platform.standin_store import StoreStandin
from bamboocove.platform.store import PlatformStore
from bamboocove.state.codec import encode
from bamboocove.state.mesh import VersionRule
from tests.callpath import run
from tests.platform.test_store import make_record

RUNNING = VersionRule("a", "v1", (), "v2", 12, "running")


@pytest.fixture
def standin():
    standin = StoreStandin(reactor)
    standin.listen()
    yield standin
    standin.close()


@pytest.fixture
def store(standin):
    store = PlatformStore(standin.address, reactor)
    yield store
    store.close()


def put_order(standin, to_version):
    order = {"service": "a", "to": to_version, "durationS": 12}
    return standin.put("op", "rollout/a", json.dumps(order).encode())


def test_restore_loses_changes_and_issues_their_versions_again():
    """Guards against a stand-in whose versions stay unique across a restore."""
    clock = Clock()
    standin = StoreStandin(clock)
    standin.put("op", "a", b"1")
    clock.advance(5)
    assert standin.put("op", "a", b"2") == 12
    standin.put("op", "b", b"3")
    standin.restore(3)
    assert standin.get("op", "a") == b"1" and standin.get("op", "b") is None
    assert standin.revision == 11 and standin.era == 1
    assert standin.put("op", "a", b"4") == 12
    assert [change[2] for change in standin.changes] == [b"1", b"4"]
    standin.restore(60)
    assert standin.rows == {} and standin.revision == 10 and standin.era == 2


def test_watch_after_a_restore_never_goes_on_from_an_earlier_era(standin, store):
    """Guards against a reader that misses changes whose versions were issued again.

    A version ahead of the store, for which a watch would wait, is one case of it.
    """
    put_order(standin, "v2")
    position = run(store.read_operator()).revision
    standin.restore(60)
    started_at = reactor.seconds()
    assert run(store.watch_operator(position)).kind is ErrorKind.STALE
    assert reactor.seconds() - started_at < 0.5
    standin.restore(60)
    for to_version in "v3", "v4", "v5":
        put_order(standin, to_version)
    assert run(store.watch_operator(position)).kind is ErrorKind.STALE
    update = run(store.read_operator())
    assert update.era == store.era == 2
    assert update.orders[0].revision == make_order_number(2, 13)


def test_watch_that_is_answered_behind_its_version_is_stale(standin, store):
    """Guards against a store that waits where it should answer with 410."""
    standin._serve_watch = lambda exchange, query: standin._respond(
        exchange, 200, {"rows": [], "ver": 11}
    )
    assert run(store.watch_operator(12)).kind is ErrorKind.STALE


def test_answer_from_before_the_restore_is_discarded(standin, store):
    """Guards against a late answer that brings lost rows or their versions back."""
    record = make_record("h")
    store.learn_era(1)
    assert run(store.read_hosts()).kind is ErrorKind.STALE
    assert run(store.write_host(record)).kind is ErrorKind.STORE_UNKNOWN
    standin.era = 1
    standin.rows.clear()
    assert run(store.write_host(record)) > 0


@pytest.mark.parametrize("value", [b"", b"-1", b"one"])
def test_unreadable_era_is_ignored(standin, store, value):
    standin._make_headers = lambda: [(b"store-era", value)]
    assert run(store.read_hosts()) == [] and store.era is None


def test_condition_that_holds_by_chance_does_not_count_as_a_write(standin, store):
    """Guards against success with a version that was issued again for another row."""
    record = make_record("h")
    assert run(store.create_host(record)) is None
    standin.restore(60)
    other = evolve(record, incarnation=record.incarnation + 1)
    assert standin.put("bamboocove-hosts", "h", encode(other)) == 11
    newer = evolve(record, sequence=9)
    assert run(store.write_host(newer)).kind is ErrorKind.STORE_UNKNOWN
    # With the era known, the condition of the write is void before it is sent.
    standin.put("bamboocove-hosts", "h", encode(other))
    assert run(store.write_host(newer)) == other
    assert run(store.read_hosts()) == [other]


def test_rule_written_across_a_restore_does_not_count_as_written(standin, store):
    """Guards against a decision that replaces a rule it was never compared with."""
    assert run(store.write_rule(RUNNING)) == RUNNING
    read_table = store._read_table

    async def read_then_restore(*args):
        result = await read_table(*args)
        standin.restore(60)
        other = evolve(RUNNING, to_version="v3")
        assert standin.put("bamboocove-rules", "a", encode(other)) == 11
        return result

    back = evolve(RUNNING, banned=("v2",), state="rolled_back")
    store._read_table = read_then_restore
    assert run(store.write_rule(back)).kind is ErrorKind.STORE_UNKNOWN
    assert store.era == 1


def test_versions_of_an_earlier_era_are_not_sent_as_conditions(standin, store):
    """Guards against a lease that is renewed with a version of another holder."""
    version = standin.put("leases", "z", b"h1")
    run(store.read_hosts())
    write = [("leases", "z", version)], [("leases", "z", b"h1")], [], store.era
    standin.restore(60)
    run(store.read_hosts())
    assert standin.put("leases", "z", b"h2") == version
    assert run(store._write(*write)).kind is ErrorKind.CONFLICT
    assert standin.get("leases", "z") == b"h2"


def test_stored_final_state_wins_over_a_move_of_a_later_era(standin, store):
    """Guards against a restarted node that carries a decided order out again."""
    back = evolve(RUNNING, banned=("v2",), state="rolled_back")
    assert run(store.write_rule(back)) == back
    later = make_order_number(1, 11)
    again = evolve(RUNNING, order_revision=later)
    expected = evolve(back, order_revision=later)
    assert run(store.write_rule(again)) == expected
    assert run(store.read_rules()) == [expected]
