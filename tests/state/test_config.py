from attrs import evolve
from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.codec import encode
from bamboocove.state.config import (
    Config,
    Move,
    Route,
    Service,
    apply_delta,
    compute_digest,
    decode_config,
    find_dangling,
    make_delta,
)

NAMES = st.sampled_from(["orders", "rounds", "ledger", "billing"])
SERVICES = st.builds(
    Service,
    name=NAMES,
    version=st.sampled_from(["v1", "v2"]),
    depends_on=st.lists(NAMES, unique=True, max_size=2).map(tuple),
    routes=st.lists(
        st.builds(Route, name=NAMES, path=st.sampled_from(["/a", "/b"])), max_size=2
    ).map(tuple),
)
MOVES = st.builds(
    Move,
    move_id=st.sampled_from(["m1", "m2"]),
    service=NAMES,
    from_version=st.just("v1"),
    to_version=st.just("v2"),
    deadline=st.integers(0, 10**9).map(float),
    share=st.sampled_from([0.0, 0.01, 1.0]),
)


def make_configs(revision):
    return st.builds(
        Config,
        revision=st.just(revision),
        tenant=st.just("t"),
        services_by_name=st.lists(SERVICES, max_size=4).map(
            lambda items: {item.name: item for item in items}
        ),
        moves_by_id=st.lists(MOVES, max_size=2).map(
            lambda items: {item.move_id: item for item in items}
        ),
    )


@settings(derandomize=True, max_examples=100)
@given(make_configs(3), make_configs(4))
def test_delta_leads_from_old_to_new(old, new):
    assert apply_delta(old, make_delta(old, new)) == new


@settings(derandomize=True, max_examples=50)
@given(make_configs(3))
def test_configuration_survives_encoding(config):
    assert decode_config(encode(config)) == config


def test_delta_on_another_base_is_stale():
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
    a, b = Service("a", "v1"), Service("b", "v1")
    first = Config(1, services_by_name={"a": a, "b": b})
    second = Config(1, services_by_name={"b": b, "a": a})

    assert compute_digest(first) == compute_digest(second)


@settings(derandomize=True, max_examples=200)
@given(st.binary(max_size=64))
def test_arbitrary_bytes_never_raise(data):
    assert isinstance(decode_config(data), ErrorResult | Config)


def test_dangling_references_are_found():
    config = Config(
        1,
        services_by_name={"a": Service("a", "v1", depends_on=("b",))},
        moves_by_id={"m": Move("m", "c", "v1", "v2", 0.0)},
    )

    assert len(find_dangling(config)) == 2
