"""Choice of route, version and worker."""

import random

import pytest

from bamboocove.coordination.routing import (
    Candidates,
    count_callers,
    limit_workers,
    match_route,
    pick_upstream,
    pick_version,
    share_connections,
)
from bamboocove.errors import ErrorKind
from bamboocove.state.config import Config, Route, Service
from bamboocove.state.snapshot import compile_snapshot
from bamboocove.state.upstreams import Upstream


def make_upstream(port, zone="a", **values):
    values.setdefault("connection_share", 10)
    address = ("127.0.0.1", port)
    return Upstream(address, "orders", "v1", zone, 12, 100, -100.0, **values)


def make_snapshot(*services):
    return compile_snapshot(Config(1, "t", 1, {held.name: held for held in services}))


def count_picks(candidates, now=0.0, times=2000, **options):
    source = random.Random(1)
    counts = dict.fromkeys((*candidates.near, *candidates.far), 0)
    for _ in range(times):
        counts[pick_upstream(candidates, now, source.random, **options)] += 1
    return list(counts.values())


def test_matches_by_header_or_unique_path():
    """Guards against a request that goes to a service that does not own it."""
    snapshot = make_snapshot(
        Service("a", "v1", (), (Route("x", "/x"), Route("xy", "/x/y"))),
        Service("b", "v1", (), (Route("x", "/x"), Route("z", "/z", ("POST",)))),
    )
    assert match_route(snapshot, "a", "GET", "/x/y/1").route.name == "xy"
    assert match_route(snapshot, None, "POST", "/z/1").service == "b"
    for service, method, path in (
        (None, "GET", "/x"),
        (None, "GET", "/x/y"),
        ("a", "GET", "/xz"),
        ("a", "POST", "/x"),
        ("c", "GET", "/x"),
        (None, "GET", "/q"),
    ):
        found = match_route(snapshot, service, method, path)
        assert found.kind is ErrorKind.NO_ROUTE


@pytest.mark.parametrize(
    "path", ["/x/../z", "/x/%2E%2e/z", "/x/.", "/x%2f..%2Fz", "/x/..%5cz"]
)
def test_refuses_dot_segments(path):
    """Guards against a path that the worker resolves to another route."""
    snapshot = make_snapshot(Service("a", "v1", (), (Route("x", "/x"),)))
    assert match_route(snapshot, "a", "GET", path).kind is ErrorKind.BAD_REQUEST
    assert match_route(snapshot, "a", "GET", "/x/.well-known/%41")


def test_split_is_kept():
    """Guards against a new version that gets more than its share."""
    source = random.Random(1)
    split = {"v1": 0.9, "v2": 0.1}
    picks = [pick_version(split, source.random()) for _ in range(20_000)]
    assert 0.09 < picks.count("v2") / len(picks) < 0.11


def test_new_workers_are_limited_alike_on_every_node():
    """Guards against nodes that spread a share over all new workers."""
    new = [make_upstream(port) for port in range(1, 6)]
    chosen = limit_workers(new, 5, 0.4, "m")
    assert len(chosen) == 2
    assert set(limit_workers(new[::-1], 5, 0.4, "m")) == set(chosen)
    assert len(limit_workers(new, 5, 0.01, "m")) == 1
    assert len(limit_workers(new, 10, 0.3, "m")) == 3
    assert len(limit_workers(new, 5, 1.0, "m")) == 5
    many = [make_upstream(port) for port in range(1, 101)]
    assert len(limit_workers(many, 100, 0.29, "m")) == 29
    assert set(chosen) <= set(limit_workers(new, 5, 0.6, "m"))


def test_prefers_the_less_busy_of_two():
    """Guards against calls that pile up on a slow worker."""
    idle, busy = make_upstream(1), make_upstream(2, in_flight=9)
    assert count_picks(Candidates((idle, busy), ())) == [2000, 0]


def test_prefers_the_own_zone():
    """Guards against calls across zones while the own zone has room."""
    near, far = make_upstream(1), make_upstream(2, "b")
    candidates = Candidates((near,), (far,))
    assert count_picks(candidates) == [2000, 0]
    near.in_flight = near.connection_share
    assert count_picks(candidates) == [0, 2000]
    near.in_flight = 0
    near.ejected_until = 5.0
    assert count_picks(candidates) == [0, 2000]


def test_cold_worker_gets_a_growing_share():
    """Guards against a full load on a worker that has just started."""
    cold = make_upstream(1)
    cold.first_seen = 0.0
    warm = [make_upstream(port) for port in range(2, 5)]
    candidates = Candidates((cold, *warm), ())
    early = count_picks(candidates, 0.0)[0]
    late = count_picks(candidates, 9.0)[0]
    assert early < 200 < late
    # An idle worker is not favoured beyond its weight either.
    for upstream in warm:
        upstream.in_flight = 1
    assert count_picks(candidates, 0.0)[0] < 400


def test_panic_uses_ejected_workers():
    """Guards against all calls on the few workers that are left."""
    ejected = [make_upstream(port, ejected_until=9.0) for port in range(1, 4)]
    well = [make_upstream(port) for port in range(4, 7)]
    assert count_picks(Candidates((*ejected, *well), ()))[:3] == [0, 0, 0]
    assert min(count_picks(Candidates((*ejected, *well[:2]), ()))) > 0


def test_excludes_workers_that_refused():
    """Guards against a retry at the worker that refused, or that asked to wait."""
    first, second = make_upstream(1), make_upstream(2)
    candidates = Candidates((first, second), ())
    assert count_picks(candidates, excluded=[first]) == [0, 2000]
    second.refused_until = 2.0
    result = pick_upstream(candidates, 1.0, random.random, [first])
    assert result.kind is ErrorKind.NO_UPSTREAM


def test_connections_are_bounded():
    """Guards against more connections than a worker accepts from all nodes."""
    assert share_connections(120, 12) == 10
    assert share_connections(120, 1000) == 1
    full = make_upstream(1, in_flight=10)
    result = pick_upstream(Candidates((full,), ()), 0.0, random.random)
    assert result.kind is ErrorKind.OVERLOADED


def test_counts_the_nodes_that_call():
    """Guards against a connection share for fewer nodes than call."""
    services = {
        "a": Service("a", "v1", ("b",)),
        "b": Service("b", "v1"),
        "c": Service("c", "v1"),
    }
    nodes = {
        frozenset(("a",)): 4,
        frozenset(("b", "c")): 2,
        frozenset(("c",)): 8,
        frozenset(("unknown",)): 16,
    }
    assert count_callers(nodes, services, "b") == 22


def test_longest_of_overlapping_prefixes_wins_in_any_order():
    """Guards against the first prefix that fits being taken."""
    short = Route("short", "/orders")
    long = Route("long", "/orders/open")
    for routes in ((short, long), (long, short)):
        snapshot = make_snapshot(Service("orders", "v1", (), routes))
        assert match_route(snapshot, "orders", "GET", "/orders/open/7").route == long
        assert match_route(snapshot, "orders", "GET", "/orders/7").route == short
