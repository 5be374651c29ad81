"""Routing of calls: choice of the route, the version and the worker."""

import random

import pytest

from bamboocove.coordination.routing import (
    Candidates,
    compute_connection_share,
    count_callers,
    match_route,
    pick_upstream,
    pick_version,
    select_new_workers,
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
    return compile_snapshot(
        Config(1, "t", 1, {owner.name: owner for owner in services})
    )


def count_picks(candidates, now=0.0, times=2000, **options):
    source = random.Random(1)
    counts = dict.fromkeys((*candidates.local, *candidates.remote), 0)
    for _ in range(times):
        counts[pick_upstream(candidates, now, source.random, **options)] += 1
    return list(counts.values())


def test_matches_by_header_or_unique_path():
    """Guards against routing a request to a service without a matching route."""
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
        result = match_route(snapshot, service, method, path)
        assert result.kind is ErrorKind.NO_ROUTE


@pytest.mark.parametrize(
    "path", ["/x/../z", "/x/%2E%2e/z", "/x/.", "/x%2f..%2Fz", "/x/..%5cz"]
)
def test_refuses_dot_segments(path):
    """Guards against paths that the worker would resolve to another route."""
    snapshot = make_snapshot(Service("a", "v1", (), (Route("x", "/x"),)))
    assert match_route(snapshot, "a", "GET", path).kind is ErrorKind.BAD_REQUEST
    assert match_route(snapshot, "a", "GET", "/x/.well-known/%41")


def test_versions_get_their_share_of_calls():
    """Guards against a new version that gets more calls than its share."""
    source = random.Random(1)
    split = {"v1": 0.9, "v2": 0.1}
    picks = [pick_version(split, source.random()) for _ in range(20_000)]
    assert 0.09 < picks.count("v2") / len(picks) < 0.11


def test_every_node_selects_the_same_new_workers():
    """Guards against nodes that together spread a small share over all workers."""
    new = [make_upstream(port) for port in range(1, 6)]
    chosen = select_new_workers(new, 5, 0.4, "m")
    assert len(chosen) == 2
    assert set(select_new_workers(new[::-1], 5, 0.4, "m")) == set(chosen)
    assert len(select_new_workers(new, 5, 0.01, "m")) == 1
    assert len(select_new_workers(new, 10, 0.3, "m")) == 3
    assert len(select_new_workers(new, 5, 1.0, "m")) == 5
    many = [make_upstream(port) for port in range(1, 101)]
    assert len(select_new_workers(many, 100, 0.29, "m")) == 29
    assert set(chosen) <= set(select_new_workers(new, 5, 0.6, "m"))


def test_prefers_the_less_busy_of_two():
    """Guards against calls that accumulate at a slow worker."""
    idle, busy = make_upstream(1), make_upstream(2, in_flight=9)
    assert count_picks(Candidates((idle, busy), ())) == [2000, 0]


def test_prefers_the_local_zone():
    """Guards against calls across zones while the local zone has free capacity."""
    local, remote = make_upstream(1), make_upstream(2, "b")
    candidates = Candidates((local,), (remote,))
    assert count_picks(candidates) == [2000, 0]
    local.in_flight = local.connection_share
    assert count_picks(candidates) == [0, 2000]
    local.in_flight = 0
    local.ejected_until = 5.0
    assert count_picks(candidates) == [0, 2000]


def test_cold_worker_gets_a_growing_share():
    """Guards against sending a full share of calls to a worker in slow start."""
    cold = make_upstream(1)
    cold.first_seen = 0.0
    warm = [make_upstream(port) for port in range(2, 5)]
    candidates = Candidates((cold, *warm), ())
    early = count_picks(candidates, 0.0)[0]
    late = count_picks(candidates, 9.0)[0]
    assert early < 200 < late
    # Being idle does not give the cold worker more than its weight either.
    for upstream in warm:
        upstream.in_flight = 1
    assert count_picks(candidates, 0.0)[0] < 400


def test_panic_mode_uses_ejected_workers():
    """Guards against sending all calls to the few workers that aren't ejected."""
    ejected = [make_upstream(port, ejected_until=9.0) for port in range(1, 4)]
    healthy = [make_upstream(port) for port in range(4, 7)]
    assert count_picks(Candidates((*ejected, *healthy), ()))[:3] == [0, 0, 0]
    assert min(count_picks(Candidates((*ejected, *healthy[:2]), ()))) > 0


def test_excludes_workers_that_refused():
    """Guards against a retry at a worker that refused the call or asked to wait."""
    first, second = make_upstream(1), make_upstream(2)
    candidates = Candidates((first, second), ())
    assert count_picks(candidates, excluded=[first]) == [0, 2000]
    second.refused_until = 2.0
    result = pick_upstream(candidates, 1.0, random.random, [first])
    assert result.kind is ErrorKind.NO_UPSTREAM


def test_connections_are_bounded():
    """Guards against opening more connections than a worker accepts in total."""
    assert compute_connection_share(120, 12) == 10
    assert compute_connection_share(120, 1000) == 1
    full = make_upstream(1, in_flight=10)
    result = pick_upstream(Candidates((full,), ()), 0.0, random.random)
    assert result.kind is ErrorKind.OVERLOADED


def test_counts_the_calling_nodes():
    """Guards against a connection share computed for too few calling nodes."""
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
    """Guards against using the first matching prefix instead of the longest."""
    short = Route("short", "/orders")
    long = Route("long", "/orders/open")
    for routes in ((short, long), (long, short)):
        snapshot = make_snapshot(Service("orders", "v1", (), routes))
        assert match_route(snapshot, "orders", "GET", "/orders/open/7").route == long
        assert match_route(snapshot, "orders", "GET", "/orders/7").route == short
