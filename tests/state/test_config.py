"""Tests of the configuration's encoding, digest and deltas."""

from attrs import asdict, evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.messages import ConfigFull, decode_message, encode_message
from bamboocove.state.codec import decode, encode
from bamboocove.state.config import (
    Config,
    Move,
    Route,
    Service,
    apply_delta,
    compute_digest,
    decode_config,
    encode_config,
    find_dangling_references,
    make_delta,
    reuse_unchanged,
)

NAMES = st.text(min_size=1, max_size=30)
ROUTES = st.builds(Route, NAMES, NAMES, timeout_s=st.integers(1, 9) | st.floats(1, 9))
SERVICES = st.builds(
    Service, NAMES, NAMES, st.tuples(NAMES), st.lists(ROUTES, max_size=2).map(tuple)
)
MOVES = st.builds(Move, NAMES, NAMES, NAMES, NAMES, st.floats(0, 2e9))
CONFIGS = st.builds(
    lambda revision, services, moves: Config(
        revision,
        "t",
        1,
        {service.name: service for service in services},
        {move.move_id: move for move in moves},
    ),
    st.integers(0, 2**40),
    st.lists(SERVICES, max_size=30),
    st.lists(MOVES, max_size=3),
)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(CONFIGS)
def test_cached_encoding_equals_canonical_encoding(config):
    """Guards against one configuration having two different encodings."""
    assert encode_config(config) == encode(config)
    decoded = decode_config(encode_config(config))
    assert decoded == config
    assert compute_digest(decoded) == compute_digest(config)
    assert decode_message(encode_message(ConfigFull(config))) == ConfigFull(config)


@settings(max_examples=100, derandomize=True, deadline=None)
@given(CONFIGS, CONFIGS)
def test_applied_delta_equals_full_configuration(old, new):
    """Guards against a digest that depends on how a node got its configuration.

    A node receives it whole or as a delta on an older revision.
    """
    delta = make_delta(old, new)
    plain = decode(type(delta), encode(delta))
    result = apply_delta(decode_config(encode(old)), plain)
    assert result == new
    assert compute_digest(result) == compute_digest(decode_config(encode(new)))
    assert compute_digest(reuse_unchanged(old, new)) == compute_digest(new)


def test_digest_covers_every_part():
    """Guards against a cached digest that is reused after a change."""
    route = Route("r", "/r")
    service = Service("s", "v1", ("d",), (route,))
    move = Move("m", "s", "v1", "v2", 1.0)
    config = Config(1, "t", 1, {"s": service}, {"m": move})
    compute_digest(config)
    variants = [
        config,
        evolve(config, revision=2),
        evolve(config, tenant="u"),
        evolve(config, text_revision=2),
        evolve(config, services_by_name={"s": evolve(service, version="v2")}),
        evolve(config, services_by_name={"s": evolve(service, depends_on=())}),
        evolve(
            config,
            services_by_name={"s": evolve(service, routes=(evolve(route, path="/x"),))},
        ),
        evolve(config, services_by_name={}),
        evolve(config, services_by_name={"x": service}),
        evolve(config, moves_by_id={"m": evolve(move, share=0.01)}),
        evolve(config, moves_by_id={}),
    ]
    assert len({compute_digest(variant) for variant in variants}) == len(variants)


def test_cached_encodings_are_hidden():
    """Guards against cached bytes in the operators' JSON and in changed copies.

    A copy that keeps the cache would be encoded with its old content.
    """
    service = Service("s", "v1", (), (Route("r", "/r"),))
    plain = asdict(service)
    compute_digest(Config(1, "t", 1, {"s": service}))
    assert asdict(service) == plain
    assert service == Service("s", "v1", (), (Route("r", "/r"),))
    assert "_digest" not in repr(service) and not hasattr(service, "__dict__")
    changed = evolve(service, version="v2")
    assert encode_config(Config(1, "t", 1, {"s": changed})) == encode(
        Config(1, "t", 1, {"s": changed})
    )


def test_integers_and_floats_have_one_encoding():
    """Guards against a digest that changes when decoding turns 5 into 5.0."""
    service = Service("s", "v", (), (Route("r", "/", timeout_s=5),))
    config = Config(1, "t", 1, {"s": service}, {"m": Move("m", "s", "a", "b", 7)})
    decoded = decode_config(encode_config(config))
    assert compute_digest(decoded) == compute_digest(config)


def test_wrong_delta_is_refused():
    """Guards against applying a delta to another base or with another digest."""
    old, new = Config(1, "t"), Config(2, "t", 2, {"s": Service("s", "v")})
    delta = make_delta(old, new)
    assert apply_delta(new, delta).kind is ErrorKind.STALE
    other = evolve(delta, services=(Service("s", "x"),))
    assert apply_delta(old, other).kind is ErrorKind.INVALID_CONFIG


def test_delta_on_another_base_is_stale():
    """Guards against applying a delta to an older revision than its base."""
    old = Config(3)
    delta = make_delta(old, Config(4, "t"))

    result = apply_delta(evolve(old, revision=2), delta)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.STALE


def test_delta_with_a_lost_part_is_refused():
    """Guards against a configuration that is applied in part."""
    new = Config(
        4, "t", services_by_name={"a": Service("a", "v1"), "b": Service("b", "v1")}
    )
    delta = make_delta(Config(3), new)

    result = apply_delta(Config(3), evolve(delta, services=delta.services[:1]))
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.INVALID_CONFIG


def test_digest_does_not_depend_on_the_order_of_services():
    """Guards against nodes that disagree on the digest of one configuration."""
    a, b = Service("a", "v1"), Service("b", "v1")
    first = Config(1, services_by_name={"a": a, "b": b})
    second = Config(1, services_by_name={"b": b, "a": a})

    assert compute_digest(first) == compute_digest(second)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=64))
def test_arbitrary_bytes_never_raise(data):
    """Guards against a corrupt configuration that crashes the reader."""
    assert isinstance(decode_config(data), ErrorResult | Config)


def test_dangling_references_are_found():
    """Guards against accepting a configuration that names a missing service."""
    config = Config(
        1,
        services_by_name={"a": Service("a", "v1", depends_on=("b",))},
        moves_by_id={"m": Move("m", "c", "v1", "v2", 0.0)},
    )

    assert len(find_dangling_references(config)) == 2
