"""Tests of how a node builds, replaces and reads its configuration snapshot."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Config, Move, Service
from bamboocove.state.snapshot import ActiveSnapshot, Snapshot, compile_snapshot


def make_config(**services):
    return Config(
        5,
        "t",
        services_by_name={
            name: Service(name, "v1", depends_on=targets)
            for name, targets in services.items()
        },
    )


def test_snapshot_holds_own_services_and_direct_dependencies_only():
    """Guards against a snapshot that lacks a service or holds all of them."""
    config = make_config(a=("b",), b=("c",), c=(), d=())

    snapshot = compile_snapshot(config, ("a",))
    assert set(snapshot.services_by_name) == {"a", "b"}


def test_dangling_dependency_refuses_the_whole_snapshot():
    """Guards against routing to a service that the snapshot does not contain."""
    result = compile_snapshot(make_config(a=("missing",)), ("a",))

    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.INVALID_CONFIG


@settings(derandomize=True, max_examples=200)
@given(st.lists(st.integers(1, 20), max_size=20), st.integers(0, 10))
def test_revision_in_force_never_goes_back(revisions, floor):
    """Guards against a return to an old configuration.

    Updates arrive late, out of order or repeatedly, also below the floor.
    """
    active = ActiveSnapshot(floor=floor)
    highest = 0
    for revision in revisions:
        active.swap(Snapshot(revision))
        assert active.current.revision >= highest
        assert active.current.revision == 0 or active.current.revision >= floor
        highest = active.current.revision


def test_rescope_needs_the_same_revision():
    """Guards against a change of services that also changes the revision."""
    active = ActiveSnapshot(Snapshot(5))

    assert active.rescope(Snapshot(4)).kind is ErrorKind.STALE
    assert active.rescope(Snapshot(5, "t")) is None
    assert active.current.tenant == "t"


def test_traffic_split_follows_the_share_of_an_open_move():
    """Guards against a traffic split that differs from the move's share."""
    move = Move("m", "a", "v1", "v2", 0.0, share=0.25)
    snapshot = Snapshot(1, "t", {"a": Service("a", "v1")}, {"a": move})

    assert snapshot.get_traffic_split("a") == {"v1": 0.75, "v2": 0.25}
    assert Snapshot(1, "t", {"a": Service("a", "v1")}).get_traffic_split("a") == {
        "v1": 1.0
    }
