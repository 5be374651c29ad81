"""Tests of the schedule of store reads, the floor, and deltas of the history."""

from itertools import pairwise

import pytest
from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from bamboocove.coordination.polling import (
    PollState,
    apply_history,
    check_head,
    compute_backoff,
    compute_floor,
    join_deltas,
    plan_poll,
    record_read_failure,
    record_read_success,
)
from bamboocove.errors import ErrorKind
from bamboocove.protocol.rows import HeadRecord, HistoryRecord
from bamboocove.state.codec import encode
from bamboocove.state.config import (
    Config,
    Move,
    Service,
    apply_delta,
    compute_digest,
    make_delta,
)


def simulate_polls(state, is_reader, age_of, duration_s, fraction=0.5, start=0.0):
    """Return the times of the reads that are due, checked every second."""
    times = []
    for now in range(int(start), int(start + duration_s)):
        state, is_due = plan_poll(state, is_reader, age_of(now), float(now), fraction)
        if is_due:
            times.append(now)
    return times


def test_reader_polls_every_time():
    assert len(simulate_polls(PollState(), True, lambda now: 0.0, 60)) == 60


def test_other_nodes_do_not_poll_while_a_reader_does():
    """Guards against 5,500 nodes reading a store that takes 2,000 reads/s."""
    assert simulate_polls(PollState(), False, lambda now: 9.9, 600) == []


@pytest.mark.parametrize("age_of", [lambda now: 10.1, lambda now: -1.0])
def test_node_that_hears_of_no_read_polls_at_most_every_30_s(age_of):
    """Guards against overload of the store when all readers are lost."""
    times = simulate_polls(PollState(), False, age_of, 600)
    assert times[0] == 15
    assert all(b - a == 30 for a, b in zip(times, times[1:], strict=False))


def test_own_reads_do_not_shorten_the_interval():
    """Guards against new jitter after each read, which lowers the store age."""
    state = PollState()
    last_read = -100.0
    times = []
    for now in range(600):
        state, is_due = plan_poll(state, False, now - last_read, float(now), 0.0)
        if is_due:
            times.append(now)
            last_read = float(now)
    assert len(times) == 20
    assert all(b - a >= 30 for a, b in zip(times, times[1:], strict=False))


def test_jitter_spreads_the_first_reads():
    firsts = {
        simulate_polls(PollState(), False, lambda now: -1.0, 60, fraction / 10)[0]
        for fraction in range(10)
    }
    assert firsts == set(range(0, 30, 3))


def test_failures_delay_the_next_read_and_success_resets():
    """Guards against fast retries while the store is overloaded."""
    state = PollState()
    for number in range(11):
        state = record_read_failure(state, 90.0 + number, 1.0)
    assert (state.failures, state.down_since, state.retry_at) == (11, 90.0, 130.0)
    assert plan_poll(state, True, 0.0, 129.9, 0.0)[1] is False
    assert plan_poll(state, True, 0.0, 130.0, 0.0)[1] is True
    state = record_read_success(state)
    assert plan_poll(state, True, 0.0, 100.0, 0.0)[1] is True


def test_backoff_is_capped():
    assert compute_backoff(5000, 1.0) == 30.0


def test_head_with_an_older_revision_is_refused():
    """Guards against an older configuration after the store is restored."""
    assert check_head(HeadRecord(6, b"", ""), 7).kind == ErrorKind.STALE
    assert check_head(HeadRecord(7, b"", ""), 7) is None


@pytest.mark.parametrize(
    ("head", "peers", "known", "floor"),
    [
        (5, [], 9, 5),
        (5, [7], 9, 7),
        (0, [], 0, 0),
        (None, [], 0, None),
        (None, [], 9, None),
        (None, [7], 9, None),
        (None, [7], 1, 7),
        (None, [7, 5], 9, 7),
        (None, [0, 0], 2, None),
        (None, [0, 7], 9, None),
        (None, [0, 7], 2, 7),
    ],
)
def test_floor_of_a_starting_node(head, peers, known, floor):
    """Guards against serving an older revision than before the restart.

    Peers at revision 0 are starting too and give no information.
    """
    assert compute_floor(head, peers, known) == floor


VERSIONS = st.sampled_from(["v1", "v2"])
SERVICES = st.dictionaries(st.sampled_from("abc"), VERSIONS)
CONTENTS = st.lists(st.tuples(SERVICES, SERVICES), min_size=2, max_size=6)


def make_configs(contents):
    """Return a configuration for each pair (version by service, target by move)."""
    return [
        Config(
            revision,
            "t",
            revision,
            {name: Service(name, version) for name, version in services.items()},
            {name: Move(name, name, "v0", to, 1.0) for name, to in moves.items()},
        )
        for revision, (services, moves) in enumerate(contents, start=1)
    ]


@given(CONTENTS)
def test_joined_delta_has_the_effect_of_the_single_ones(contents):
    """Guards against errors with items removed and added again, or the reverse."""
    configs = make_configs(contents)
    deltas = [make_delta(old, new) for old, new in pairwise(configs)]
    assert apply_delta(configs[0], join_deltas(deltas)) == configs[-1]


def make_history(configs):
    """Return the head and the history from the first to the last configuration."""
    records = [
        HistoryRecord(new.revision, "ana", 0.0, "", (), encode(make_delta(old, new)))
        for old, new in pairwise(configs)
    ]
    last = configs[-1]
    return HeadRecord(last.revision, compute_digest(last), ""), records


@pytest.fixture
def configs():
    versions = ({"a": "v1"}, {"a": "v2"}, {"a": "v2", "c": "v1"}, {"b": "v1"})
    return make_configs([(services, {}) for services in versions])


def test_history_leads_to_the_head(configs):
    head, records = make_history(configs)
    assert apply_history(configs[0], records, head) == configs[-1]


def test_history_with_a_gap_or_a_missing_end_is_refused(configs):
    """Guards against a configuration that lacks an intermediate change."""
    head, records = make_history(configs)
    for part in (records[:2], records[1:], [records[0], records[2]], []):
        result = apply_history(configs[0], part, head)
        assert result.kind == ErrorKind.STALE


def test_history_that_does_not_match_the_head_is_refused(configs):
    """Guards against a configuration that differs from the one of the head."""
    head, records = make_history(configs)
    other = evolve(head, digest=bytes(32))
    result = apply_history(configs[0], records, other)
    assert result.kind == ErrorKind.INVALID_CONFIG
