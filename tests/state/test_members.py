"""Tests of bamboocove.state.members."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.state.members import MEMBER_STATES, Member, MemberTable

RECORDS = st.builds(
    Member,
    st.sampled_from(["a", "b", "c"]),
    st.integers(1, 2),
    st.integers(1, 3),
    st.just("z"),
    st.just("r"),
    st.just("127.0.0.1"),
    st.just(1),
    st.sampled_from(MEMBER_STATES),
)


@settings(derandomize=True)
@given(st.lists(RECORDS | st.sampled_from(["a", "b"]), max_size=30))
def test_checksums_follow_every_change(changes):
    """Guards against a checksum that drifts from the table."""
    table = MemberTable()
    for change in changes:
        if isinstance(change, Member):
            table.merge(change)
        else:
            table.forget(change)
    fresh = MemberTable(dict(table.members_by_id))
    assert fresh.bucket_digests == table.bucket_digests
    assert fresh.digest == table.digest


def test_worse_state_wins_a_tie_and_newer_records_win():
    """Guards against lost bad news and against reports that cannot be refuted."""
    table = MemberTable()
    alive = Member("a", 1, 1, "z", "r", "127.0.0.1", 1)
    down = Member("a", 1, 1, "z", "r", "127.0.0.1", 1, "down")
    renewed = Member("a", 1, 2, "z", "r", "127.0.0.1", 1)
    assert table.merge(alive) and table.merge(down)
    assert not table.merge(alive)
    assert table.get_live() == []
    changes = table.changes
    assert table.merge(renewed) and table.get_live() == [renewed]
    assert not table.merge(down) and table.changes == changes + 1
