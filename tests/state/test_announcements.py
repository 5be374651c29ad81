"""Tests of how a node registers and expires the workers on its host."""

from bamboocove.state.announcements import Announcements
from bamboocove.state.members import WorkerRecord

WORKER = WorkerRecord("orders", "v1", "127.0.0.1", 9000, 12, 120)


def test_repeated_announcement_is_no_change():
    """Guards against a gossip message for each repeated announcement."""
    announcements = Announcements()

    assert announcements.announce(WORKER, 0.0)
    assert not announcements.announce(WORKER, 2.0)
    assert not announcements.expire(7.0)


def test_silent_worker_goes_down_and_is_removed_later():
    """Guards against calls to a worker that no longer announces itself."""
    announcements = Announcements()
    announcements.announce(WORKER, 0.0)

    assert announcements.expire(6.1)
    assert [record.state for record in announcements.get_records()] == ["down"]
    assert not announcements.expire(7.0)
    assert announcements.expire(61.0)
    assert announcements.get_records() == ()


def test_worker_returns_by_announcing_again():
    """Guards against a worker that stays down after it announced itself again."""
    announcements = Announcements()
    announcements.announce(WORKER, 0.0)
    announcements.expire(6.1)

    assert announcements.announce(WORKER, 8.0)
    assert announcements.get_records() == (WORKER,)
