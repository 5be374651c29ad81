"""Blocking of requests that crash their workers."""

from bamboocove.coordination.fingerprints import digest_body, make_fingerprint
from bamboocove.coordination.suspects import (
    MAX_COMPLETED,
    MAX_SUSPECTS,
    SUSPECT_TTL_S,
    UNCONFIRMED_TTL_S,
    SuspectTable,
)
from bamboocove.protocol.messages import SuspectNotice

SUBJECT = ("orders", b"PUT", b"/orders", digest_body(b"poison"))
A, B = ("127.0.0.1", 1), ("127.0.0.1", 2)


def test_first_loss_blocks_immediately():
    """Guards against running a crashing request again while peers are notified."""
    table = SuspectTable()
    notice = table.record_worker_lost(SUBJECT, A, False, 0.0)
    assert (notice.ttl_s, notice.crashes) == (SUSPECT_TTL_S, 1)
    assert table.is_blocked(SUBJECT, SUSPECT_TTL_S - 1)
    assert not table.is_blocked(SUBJECT, SUSPECT_TTL_S)
    assert not table.is_blocked(("orders", b"PUT", b"/orders", b""), 1.0)


def test_reachable_worker_shortens_the_first_block_only():
    """Guards against refusing harmless requests after one closed connection."""
    table = SuspectTable()
    notice = table.record_worker_alive(
        table.record_worker_lost(SUBJECT, A, False, 0.0), 0.1
    )
    assert notice.ttl_s == UNCONFIRMED_TTL_S
    assert table.is_blocked(SUBJECT, 1.0)
    assert not table.is_blocked(SUBJECT, 0.1 + UNCONFIRMED_TTL_S)
    second = table.record_worker_lost(SUBJECT, A, False, 10.0)
    assert (second.crashes, second.ttl_s) == (2, SUSPECT_TTL_S)
    table.record_worker_alive(second, 10.1)
    assert table.is_blocked(SUBJECT, 10.0 + SUSPECT_TTL_S - 1)


def test_unrelated_crash_does_not_block_a_common_request():
    """Guards against an outage of a route because one worker crashed."""
    table = SuspectTable()
    table.record_completed(SUBJECT, 0.0)
    for _ in range(3):
        assert table.record_worker_lost(SUBJECT, A, False, 1.0) is None
    assert not table.is_blocked(SUBJECT, 1.0)
    assert table.record_worker_lost(SUBJECT, B, False, 2.0).crashes == 2
    assert table.is_blocked(SUBJECT, 2.0)


def test_crashing_version_does_not_block_its_requests():
    """Guards against blocking harmless requests because a new version crashes."""
    table = SuspectTable()
    table.record_completed(SUBJECT, 0.0)
    for now in range(5):
        assert table.record_worker_lost(SUBJECT, A, True, float(now)) is None
    assert not table.is_blocked(SUBJECT, 5.0)
    other = ("orders", b"GET", b"/x", b"")
    assert table.record_worker_lost(other, A, True, 0.0) is not None


def test_notices_block_and_count():
    """Guards against one crash per node: peers must learn of the first one."""
    table = SuspectTable()
    fingerprint = make_fingerprint(SUBJECT)
    table.add_notice(SuspectNotice(fingerprint, "orders", UNCONFIRMED_TTL_S, 1), 0.0)
    assert table.is_blocked(SUBJECT, 1.0)
    assert not table.is_blocked(SUBJECT, UNCONFIRMED_TTL_S)
    assert table.record_worker_lost(SUBJECT, A, False, UNCONFIRMED_TTL_S).crashes == 2
    table.add_notice(SuspectNotice(fingerprint, "orders", 1e9, 2), 10.0)
    assert not table.is_blocked(SUBJECT, 10.0 + SUSPECT_TTL_S)


def test_memory_is_bounded():
    """Guards against unbounded memory use by notices or completed requests."""
    table = SuspectTable()
    for index in range(MAX_SUSPECTS + 5):
        table.add_notice(SuspectNotice(str(index), "orders", 60.0), 0.0)
        table.record_completed(("orders", b"GET", b"%d" % index, b""), 0.0)
    assert len(table.suspects_by_fingerprint) == MAX_SUSPECTS
    assert len(table.completed_at_by_subject) == MAX_COMPLETED
    table.expire(SUSPECT_TTL_S)
    assert not table.suspects_by_fingerprint


def test_fingerprint_separates_its_parts():
    """Guards against different requests with the same fingerprint."""
    first = make_fingerprint(("a", b"GET", b"/b", b""))
    assert first != make_fingerprint(("a", b"GET/", b"b", b""))
