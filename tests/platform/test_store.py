"""Tests of the store client against a stand-in for the platform's store."""

import json
import re

import pytest
from attrs import evolve
from twisted.internet import reactor
from twisted.internet.task import Clock

from bamboocove.errors import ErrorKind
from bamboocove.platform import call_log
from bamboocove.platform import store as platform_store
from bamboocove.platform.standin_store import StoreStandin
from bamboocove.platform.store import CALL_TIMEOUT_S, WATCH_WAIT_S, PlatformStore
from bamboocove.state.codec import encode
from bamboocove.state.mesh import HostRecord, MeshWorker, VersionRule
from bamboocove.state.quotas import QuotaLeaseRow, StoredQuotaLease
from bamboocove.transport.fetching import TransferLimits
from tests.callpath import run
from tests.platform.test_documents import CONFIG


@pytest.fixture
def standin():
    standin = StoreStandin(reactor, page_size=2)
    standin.listen()
    yield standin
    standin.close()


@pytest.fixture
def store(standin):
    store = PlatformStore(("127.0.0.1", standin.port.getHost().port), reactor)
    yield store
    store.close()


def make_record(host_id, worker=None):
    return HostRecord(host_id, 1, 2, ("10.0.0.1", 80), "z", False, worker)


def test_read_operator_returns_configuration_and_orders(standin, store):
    standin.put("op", "config", json.dumps(CONFIG).encode())
    order = {"service": "a", "to": "v2", "durationS": 12}
    standin.put("op", "rollout/a", json.dumps(order).encode())
    standin.put("op", "rollout/b", b"not JSON")
    update = run(store.read_operator())
    assert update.config.version == 7
    assert [(o.service, o.to_version, o.revision) for o in update.orders] == [
        ("a", "v2", 12)
    ]
    assert update.is_full_read and update.revision == standin.revision


def test_watch_operator_returns_only_changes(standin, store):
    standin.put("op", "config", json.dumps(CONFIG).encode())
    order = {"service": "a", "to": "v2", "durationS": 12}
    standin.put("op", "rollout/a", json.dumps(order).encode())
    update = run(store.watch_operator(11))
    assert update.config is None and len(update.orders) == 1


def test_lost_history_is_distinguished_from_outage(standin, store):
    """Guards against watching on after the store has dropped its history.

    The changes since the watched revision would never arrive.
    """
    standin.fault = 410
    assert run(store.watch_operator(3)).kind is ErrorKind.STALE
    standin.fault = 503
    assert run(store.watch_operator(3)).kind is ErrorKind.STORE_UNAVAILABLE


def test_host_records_are_read_from_several_pages(standin, store):
    worker = MeshWorker("i-1", "a", "v1", 12, "ready", 1.0, 5, 6)
    records = [make_record(f"h{i}", worker if i else None) for i in range(5)]
    for record in records:
        assert run(store.write_host(record)) > 0
    standin.put("bamboocove-hosts", "h9", b"\xff")
    assert run(store.read_hosts()) == records
    assert run(store.remove_host(records[1])) is True
    assert [r.host_id for r in run(store.read_hosts())] == ["h0", "h2", "h3", "h4"]
    assert run(store.remove_host(records[1])) is False


def test_record_that_was_written_again_is_not_removed(standin, store):
    """Guards against the removal of a host that has come back meanwhile."""
    record = make_record("h")
    newer = evolve(record, sequence=record.sequence + 1)
    run(store.write_host(newer))
    assert run(store.remove_host(record)) is False
    assert run(store.read_hosts()) == [newer]


def test_record_of_the_previous_process_is_returned_and_kept(standin, store):
    """Guards against a restarted node that forgets that its worker is leaving."""
    worker = MeshWorker("i-1", "a", "v1", 12, "draining", 1.0, 5, 6)
    first, second = make_record("h", worker), make_record("h")
    assert run(store.create_host(first)) is None
    assert run(store.create_host(second)) == first
    assert standin.calls == 2
    assert run(store.read_hosts()) == [first]


def test_write_that_is_performed_late_does_not_replace_a_later_record(standin, store):
    """Guards against a node that reads again that its worker is ready.

    The store may perform a write seconds after its response was lost.
    """
    first = make_record("h", MeshWorker("i-1", "a", "v1", 12, "ready", 1.0, 5, 6))
    assert run(store.create_host(first)) is None
    transactions = []
    apply = standin._apply_transaction
    standin._apply_transaction = lambda document: (
        transactions.append(document) or apply(document)
    )
    second = evolve(first, sequence=3)
    standin.fault = "silent"
    result = run(store.write_host(second))
    assert result.kind is ErrorKind.STORE_UNKNOWN
    standin.fault = None
    assert run(store.write_host(second)) > 0
    gone = evolve(second, sequence=4, worker=evolve(second.worker, state="gone"))
    assert run(store.write_host(gone)) > 0
    # The write without a response was the same as the one after it.
    assert standin._apply_transaction(transactions[0])[0] == 412
    assert run(store.read_hosts()) == [gone]


def test_write_whose_response_was_lost_is_found_and_the_next_one_succeeds(
    standin, store
):
    record = make_record("h")
    assert run(store.create_host(record)) is None
    standin.fault = "lose"
    record = evolve(record, sequence=3)
    assert run(store.write_host(record)).kind is ErrorKind.STORE_UNKNOWN
    standin.fault = None
    calls = standin.calls
    assert run(store.write_host(record)) > 0
    assert run(store.write_host(evolve(record, sequence=4))) > 0
    assert standin.calls == calls + 2
    assert run(store.read_hosts()) == [evolve(record, sequence=4)]


def test_record_of_another_process_is_returned_and_then_replaced(standin, store):
    """Guards against a process that overwrites what one before it wrote last."""
    record = evolve(make_record("h"), incarnation=2)
    assert run(store.create_host(record)) is None
    other = make_record("h", MeshWorker("i-1", "a", "v1", 12, "gone", 1.0, 5, 6))
    standin.put("bamboocove-hosts", "h", encode(other))
    record = evolve(record, sequence=9)
    assert run(store.write_host(record)) == other
    assert run(store.read_hosts()) == [other]
    assert run(store.write_host(record)) > 0
    assert run(store.read_hosts()) == [record]
    standin.put("bamboocove-hosts", "h", None)
    assert run(store.write_host(evolve(record, sequence=10))) > 0


def test_record_that_cannot_be_read_is_replaced(standin, store):
    standin.put("bamboocove-hosts", "h", b"\xff")
    assert run(store.create_host(make_record("h"))) is None
    assert run(store.read_hosts()) == [make_record("h")]


@pytest.mark.parametrize("fault", [503, "lose"])
def test_creation_that_fails_is_an_error(standin, store, fault):
    standin.fault = fault
    result = run(store.create_host(make_record("h")))
    lost = fault == "lose"
    expected = ErrorKind.STORE_UNKNOWN if lost else ErrorKind.STORE_UNAVAILABLE
    assert result.kind is expected
    standin.fault = None
    # The write whose response was lost has been applied.
    stored = run(store.create_host(make_record("h")))
    assert stored == (make_record("h") if lost else None)


def test_first_final_state_of_a_move_is_kept(standin, store):
    """Guards against one node overwriting the decision of another on a move."""
    running = VersionRule("a", "v1", (), "v2", 12, "running")
    back = VersionRule("a", "v1", ("v2",), "v2", 12, "rolled_back")
    done = VersionRule("a", "v2", (), "v2", 12, "succeeded")
    assert run(store.write_rule(running)) == running
    assert run(store.write_rule(back)) == back
    assert run(store.write_rule(done)) == back
    assert run(store.read_rules()) == [back]
    status = json.loads(standin.rows["status", "rollout/a"][0])
    assert status == {"state": "rolled_back", "to": "v2"}


def test_retry_finds_write_whose_response_was_lost(standin, store):
    """Guards against a second, different decision when a response is lost."""
    rule = VersionRule("a", "v1", ("v2",), "v2", 12, "rolled_back")
    read_table = store._read_table

    async def read_then_lose_responses(*args):
        result = await read_table(*args)
        standin.fault = "lose"
        return result

    store._read_table = read_then_lose_responses
    assert run(store.write_rule(rule)).kind is ErrorKind.STORE_UNKNOWN
    standin.fault = None
    store._read_table = read_table
    assert run(store.write_rule(rule)) == rule


@pytest.mark.parametrize("fault", [429, 503, 500, "silent"])
def test_failing_or_silent_store_is_unavailable(standin, store, fault, monkeypatch):
    monkeypatch.setattr("bamboocove.platform.store.CALL_TIMEOUT_S", 0.2)
    standin.fault = fault
    assert run(store.read_hosts()).kind is ErrorKind.STORE_UNAVAILABLE


def test_stopped_store_is_unavailable(standin, store):
    standin.port.stopListening()
    result = run(store.write_host(make_record("h")))
    assert result.kind is ErrorKind.STORE_UNAVAILABLE


@pytest.mark.parametrize(
    "row",
    [
        {"key": "config", "value": "\u00e4", "ver": 5},
        {"key": "config", "value": "e30=", "ver": "five"},
        {"key": "config", "value": "e30=", "ver": float("inf")},
        {"key": "config", "value": 7, "ver": 5},
        "config",
    ],
)
def test_unreadable_row_is_skipped(store, monkeypatch, row):
    """Guards against a row that ends the task which follows the store."""

    async def respond(self, *args):
        order = {"key": "rollout/a", "value": "e30=", "ver": 6}
        return {"rows": [row, order], "ver": "seven"}

    monkeypatch.setattr(PlatformStore, "_call", respond)
    update = run(store.watch_operator(4))
    assert update.config is None and update.revision == 4


def test_call_that_ends_while_bytes_arrive_is_told_from_a_silent_store(
    standin, store, monkeypatch
):
    """Guards against logs that cannot tell a slow network link from an outage."""
    lines = []
    monkeypatch.setattr(call_log, "log", lambda event, **kw: lines.append(kw))
    monkeypatch.setattr(platform_store, "CALL_TIMEOUT_S", 0.2)
    standin.fault = "silent"
    run(store.read_hosts())
    assert lines[-1]["reason"] == "no answer in time"
    standin.fault = None
    limits = TransferLimits(silence_s=0.2, total_s=0.2)
    monkeypatch.setattr(platform_store, "TRANSFER_LIMITS", limits)
    standin.put("bamboocove-hosts", "h", bytes(100_000))
    standin.bytes_per_s = 100_000
    run(store.read_hosts())
    assert re.fullmatch(
        r"no whole answer in time, \d+ bytes received", lines[-1]["reason"]
    )
    standin.bytes_per_s = 0
    run(store.read_hosts())
    assert lines[-1]["bytes"] > 100_000 and not lines[-1]["reason"]


# The rate of a network link of 5 Mbit/s, and a configuration that needs most of the
# time in which it has to be in force.
SLOW_BYTES_PER_S = 600_000
LARGE_CONFIG_BYTES = 500_000


def make_large_config(version):
    config = {**CONFIG, "version": version, "filler": "x" * LARGE_CONFIG_BYTES}
    return json.dumps(config).encode()


def test_change_near_the_end_of_a_wait_arrives_over_a_slow_link(standin, store):
    """Guards against a watch call that is cut off while its response arrives.

    All readers then got the change by a later call: 2.97 s after it was accepted,
    with 2.5 s allowed.
    """
    standin.bytes_per_s = SLOW_BYTES_PER_S
    changed_at = []

    def change():
        changed_at.append(reactor.seconds())
        standin.put("op", "config", make_large_config(8))

    reactor.callLater(0.85 * WATCH_WAIT_S, change)
    update = run(store.watch_operator(standin.revision), 8)
    assert update.config.version == 8
    assert reactor.seconds() - changed_at[0] < 2.5


def test_configuration_that_takes_longer_than_a_call_is_read(standin, store):
    """Guards against a node that never gets a large configuration from the store."""
    standin.bytes_per_s = LARGE_CONFIG_BYTES * 4 / 3 / (1.3 * CALL_TIMEOUT_S)
    standin.put("op", "config", make_large_config(8))
    assert run(store.read_operator(), 8).config.version == 8


def test_response_that_stops_in_the_middle_is_given_up(standin, store):
    """Guards against a reader that waits for the rest of a response for ever."""
    standin.put("op", "config", make_large_config(8))
    standin.bytes_per_s = SLOW_BYTES_PER_S
    reactor.callLater(0.2, setattr, standin, "clock", Clock())
    started_at = reactor.seconds()
    assert run(store.read_operator(), 8).kind is ErrorKind.STORE_UNAVAILABLE
    assert reactor.seconds() - started_at < 0.2 + 2 * CALL_TIMEOUT_S


def test_update_is_as_old_as_its_first_page(standin, store):
    """Guards against a change that a read and the watch after it both miss.

    It is made to a row of the first page while a further one is read.
    """
    standin.put("op", "config", json.dumps(CONFIG).encode())
    for name in ("a", "b"):
        standin.put("op", f"rollout/{name}", b"{}")
    read_page = standin._read_page

    def change_after_read(query):
        page = read_page(query)
        if "from" not in query:
            newer = json.dumps({**CONFIG, "version": 8}).encode()
            standin.put("op", "config", newer)
        return {**page, "nowS": 7.5 if "from" not in query else 9.5}

    standin._read_page = change_after_read
    update = run(store.read_operator())
    assert update.config.version == 7 and update.store_time_s == 7.5
    watched = run(store.watch_operator(update.revision, must_wait=False))
    assert watched.config.version == 8


def test_update_tells_when_the_store_was_asked(standin):
    """Guards against a time of the store that is taken for that of its arrival."""
    times = iter([100.0, 200.0])
    store = PlatformStore(standin.address, reactor, 0.1, lambda: next(times))
    update = run(store.watch_operator(standin.revision))
    assert update.asked_at == 100.0
    assert update.store_time_s == pytest.approx(reactor.seconds(), abs=0.1)
    store.close()


def test_invalid_configuration_does_not_hide_a_valid_one(standin, store):
    """Guards against a withdrawal that is lost behind a mistaken edit."""
    standin.put("op", "config", json.dumps(CONFIG).encode())
    standin.put("op", "config", b'{"version": 8}')
    update = run(store.watch_operator(10))
    assert update.config.version == 7


def test_lease_is_written_only_over_the_version_that_was_read(store):
    """Guards against two hosts that both write themselves as granter of a zone."""
    assert run(store.read_quota_lease("z-1")) == StoredQuotaLease(None, 0)
    first, second = QuotaLeaseRow("h1", 1, 1), QuotaLeaseRow("h2", 1, 2)
    written = run(store.write_quota_lease("z-1", first, 0))
    assert written.is_written
    refused = run(store.write_quota_lease("z-1", second, 0))
    assert refused == StoredQuotaLease(first, written.version)
    assert run(store.write_quota_lease("z-1", second, written.version)).is_written
    assert run(store.read_quota_lease("z-1")).row == second
    assert run(store.read_quota_lease("z")).row is None


def test_lease_that_cannot_be_read_is_not_taken_for_none(standin, store):
    """Guards against a second granter beside one whose row is unreadable."""
    standin.put("bamboocove-quotas", "z", b"\xff")
    stored = run(store.read_quota_lease("z"))
    assert stored.row is not None and stored.version == standin.revision
