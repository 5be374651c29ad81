"""Age of key proofs, replayed without a network."""

import math

import pytest

from bamboocove.coordination.key_freshness import (
    BOUND_LIFETIME_S,
    DELIVERY_S,
    KeyFreshness,
    compute_poll_time,
    get_max_age,
    make_proof,
)

REVOCATION_S = 5.0
MAX_AGE_S = get_max_age(REVOCATION_S)


def make_reader(store_s=1000.0, asked_at=50.0, era=0, version=1):
    """Return the state of a node that the store has answered at once."""
    freshness = KeyFreshness()
    answer(freshness, store_s, asked_at, asked_at, era, version)
    return freshness


def answer(freshness, store_s, asked_at, now, era=0, version=1):
    freshness.record_proof(make_proof(era, version, store_s), now)
    freshness.record_bound(era, asked_at, store_s, now)


def is_served(freshness, now, version=1):
    return freshness.get_age(version, now) <= MAX_AGE_S


def test_frozen_node_refuses_after_it_resumes():
    """Guards against a resumed process that uses keys withdrawn in the meantime.

    The old rule, a configuration in force, has no age at all.
    """
    freshness = make_reader()
    assert is_served(freshness, 54.3)
    assert not is_served(freshness, 54.5)
    # The answer to a call that was sent before the freeze and read after it.
    answer(freshness, 1002.0, 51.0, 111.0)
    assert not is_served(freshness, 111.0)
    answer(freshness, 1061.0, 111.0, 111.1)
    assert is_served(freshness, 111.1)


def test_late_relay_is_as_old_as_its_proof():
    """Guards against a proof that counts from its arrival."""
    freshness = make_reader()
    freshness.record_proof(make_proof(0, 1, 1002.0), 58.0)
    assert not is_served(freshness, 58.0)
    # An older one that overtakes it changes nothing.
    freshness.record_proof(make_proof(0, 1, 1001.0), 52.0)
    assert is_served(freshness, 56.0)


def test_reader_that_is_cut_off_gives_no_newer_proof():
    """Guards against a node that trusts the signals of a reader without the store."""
    reader, node = make_reader(), KeyFreshness()
    for now in (50.0, 52.0, 54.0, 56.0):
        node.record_proof(reader.get_newest_proof(1), now)
        reply = reader.make_clock_reply(1, now)
        node.record_bound(reply.store_era, now, reply.store_ms / 1000, now)
        assert is_served(node, now) == (now < 54.4)


def test_proof_counts_from_when_the_node_has_its_version():
    """Guards against an older node that trusts the proof of a newer configuration."""
    freshness = make_reader()
    for number in range(20):
        freshness.record_proof(make_proof(0, 2 + number, 1004.0), 54.1)
    assert not is_served(freshness, 54.6)
    assert is_served(freshness, 54.6, version=2)
    assert freshness.get_newest_proof(2).version == 2


def test_bound_counts_from_when_the_question_was_sent():
    """Guards against a bound that leaves out the way of the answer."""
    freshness = KeyFreshness()
    answer(freshness, 1000.0, 50.0, 53.0)
    assert freshness.get_age(1, 53.0) == pytest.approx(3.0, abs=0.01)


def test_long_poll_does_not_loosen_the_bound():
    """Guards against proofs that seem as old as the poll that brought them."""
    freshness = make_reader()
    answer(freshness, 1001.0, 50.0, 51.0)
    assert freshness.get_age(1, 51.0) == pytest.approx(0.0, abs=0.01)


@pytest.mark.parametrize("rate", [0.999, 1.0, 1.001])
def test_age_is_never_underestimated_by_a_drifting_clock(rate):
    """Guards against a slow local clock that hides the age of a proof."""
    freshness = make_reader()
    for elapsed_s in (1.0, 10.0, 50.0):
        now = 50.0 + elapsed_s * rate
        assert freshness.get_age(1, now) >= elapsed_s * 0.999999 - 1e-6


def test_bounds_expire():
    """Guards against one bound that is trusted however much it drifts."""
    freshness = make_reader()
    assert freshness.has_bound(50.0 + BOUND_LIFETIME_S)
    assert freshness.get_age(1, 50.1 + BOUND_LIFETIME_S) == math.inf
    assert freshness.make_clock_reply(1, 50.1 + BOUND_LIFETIME_S) is None


def test_time_above_the_bound_drops_the_bound():
    """Guards against a wrong bound that makes all later proofs look new."""
    seen = []
    freshness = KeyFreshness(seen.append)
    answer(freshness, 1000.0, 50.0, 50.0)
    freshness.record_proof(make_proof(0, 1, 1060.0), 51.0)
    assert seen == [1060.0]
    assert not is_served(freshness, 51.0)
    freshness.record_bound(0, 51.0, 1060.1, 51.1)
    assert is_served(freshness, 51.1)


def test_clock_that_is_set_back_drops_later_proofs():
    """Guards against an old proof that looks new until the clock has caught up."""
    freshness = make_reader()
    answer(freshness, 10.0, 51.0, 51.0)
    assert not is_served(freshness, 51.0)
    answer(freshness, 11.0, 52.0, 52.0)
    assert freshness.get_age(1, 52.0) == pytest.approx(0.0, abs=0.01)
    assert not is_served(freshness, 56.5)


def test_new_era_needs_a_bound_of_its_own():
    """Guards against comparing the clocks of two eras of the store."""
    freshness = make_reader()
    # The clock of the new era is far behind.
    freshness.record_proof(make_proof(1, 1, 7.0), 54.0)
    assert not freshness.has_bound(54.0)
    # The proof of the era before still shows its age.
    assert is_served(freshness, 54.0) and not is_served(freshness, 54.5)
    freshness.record_bound(1, 54.1, 7.2, 54.2)
    assert is_served(freshness, 54.5)
    freshness.record_proof(make_proof(2, 1, 1.0), 54.6)
    freshness.record_proof(make_proof(0, 1, 1054.6), 54.6)
    assert freshness.get_newest_proof(1).store_era == 2


def test_last_proof_lasts_for_the_time_without_a_store():
    """Guards against long polls that leave too little of the revocation time."""
    poll_s = compute_poll_time(REVOCATION_S, 2.0)
    assert poll_s + DELIVERY_S + 0.6 * REVOCATION_S <= MAX_AGE_S + 1e-9
