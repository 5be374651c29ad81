"""Tests of the candidate workers while members and moves change."""

from attrs import evolve

from bamboocove.coordination.directory import SCAN_INTERVAL_S, WorkerDirectory
from bamboocove.state.config import Move
from bamboocove.state.snapshot import compile_snapshot
from tests.callpath import make_config, make_member, make_member_table

MOVE = Move("m", "orders", "v1", "v2", 1e9, "stepping", 0.4, 2)


def test_directory_follows_members_and_moves():
    """Guards against calls to draining workers, or to all new workers too early."""
    members = make_member_table(
        *[make_member(index, index) for index in range(1, 6)],
        *[make_member(index, index, "v2", "b") for index in range(6, 11)],
        make_member(11, 11, state="draining"),
        make_member(12, 12, state="starting"),
    )
    directory = WorkerDirectory(members, "a")
    directory.refresh(compile_snapshot(make_config((MOVE,))), 0.0)
    old = directory.get_candidates("orders", "v1")
    assert {held.address[1] for held in old.local} == {1, 2, 3, 4, 5}
    assert old.local[0].connection_share == 100 // 12
    assert len(directory.get_candidates("orders", "v2").remote) == 2
    members.merge(evolve(make_member(5, 5, state="draining"), sequence=2))
    directory.refresh(compile_snapshot(make_config((MOVE,))), SCAN_INTERVAL_S)
    assert len(directory.get_candidates("orders", "v1").local) == 4
    down = evolve(make_member(4, 4), sequence=2, state="down")
    members.merge(down)
    del members.members_by_id["n3"]
    directory.refresh(compile_snapshot(make_config((MOVE,))), 2 * SCAN_INTERVAL_S)
    left = directory.get_candidates("orders", "v1").local
    assert {held.address[1] for held in left} == {1, 2}
    assert left[0].connection_share == 100 // 10
    directory.refresh(compile_snapshot(make_config((), 2)), SCAN_INTERVAL_S)
    assert len(directory.get_candidates("orders", "v2").remote) == 5
