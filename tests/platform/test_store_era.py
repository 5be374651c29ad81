"""Tests of a store that was restored from a copy, against its stand-in."""

from twisted.internet.task import Clock

from bamboocove.platform.standin_store import StoreStandin


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
