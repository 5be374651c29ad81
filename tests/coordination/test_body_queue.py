"""Bodies that take bytes of a budget while they are received."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from bamboocove.coordination.body_queue import MAX_EXCESS_BYTES, PIECE_BYTES, BodyQueue
from bamboocove.coordination.byte_budget import ByteBudget

MAX_BYTES = 1_000_000
LIMIT = 2_500_000


@given(
    sizes=st.lists(st.integers(0, MAX_BYTES), max_size=12),
    is_sized=st.lists(st.booleans(), min_size=12, max_size=12),
    order=st.randoms(use_true_random=False),
)
def test_all_bodies_are_completed_within_the_budget(sizes, is_sized, order):
    """Guards against a sum beyond the budget, and bodies that wait for each other."""
    budget = ByteBudget(LIMIT)
    bodies = BodyQueue(budget)
    left_by_key = dict(enumerate(sizes))
    running = set()
    for key, size in left_by_key.items():
        if not is_sized[key] or size <= PIECE_BYTES or bodies.reserve(key, size):
            running.add(key)
    while left_by_key:
        assert running
        key = order.choice(sorted(running))
        part = min(PIECE_BYTES, left_by_key[key])
        left_by_key[key] -= part
        if not bodies.count(key, part):
            running.discard(key)
        first_pieces = PIECE_BYTES * len(left_by_key)
        assert budget.held <= LIMIT + MAX_BYTES + PIECE_BYTES + first_pieces
        if not left_by_key[key]:
            del left_by_key[key]
            running.discard(key)
            bodies.remove(key)
            running.update(bodies.take_ready())
    assert budget.held == 0


def test_small_body_does_not_wait():
    """Guards against small answers that wait for the end of endless ones."""
    bodies = BodyQueue(ByteBudget(100_000))
    assert bodies.reserve("large", 100_000)
    assert bodies.reserve("larger", 200_000)
    assert not bodies.reserve("waits", 200_000)
    assert bodies.count("small", PIECE_BYTES - 1)


def test_body_that_ends_while_it_waits_is_forgotten():
    budget = ByteBudget(100_000)
    bodies = BodyQueue(budget)
    assert [bodies.reserve(key, 80_000) for key in "abc"] == [True, True, False]
    assert bodies.is_waiting("c")
    bodies.remove("c")
    bodies.remove("a")
    bodies.remove("b")
    assert bodies.take_ready() == [] and budget.held == 0


def test_complete_bodies_that_leave_slowly_do_not_add_up():
    """Guards against a sum without limit: each next body could exceed the budget."""
    budget = ByteBudget(LIMIT)
    bodies = BodyQueue(budget)
    held = 0
    for key in range(50):
        if bodies.reserve(key, MAX_BYTES):
            # Complete, and passed on to a caller that does not read it.
            budget.add(MAX_BYTES)
            held += MAX_BYTES
            bodies.remove(key)
    assert budget.held <= LIMIT + MAX_EXCESS_BYTES + MAX_BYTES
    budget.release(held)
    assert len(bodies.take_ready()) >= LIMIT // MAX_BYTES


@pytest.mark.parametrize(("unread", "is_taken"), [(0, True), (5_000_000, False)])
def test_reply_of_another_node_waits_only_for_callers_on_this_host(unread, is_taken):
    """Guards against two nodes that wait for each other with bodies of any kind."""
    budget = ByteBudget(LIMIT)
    # Request bodies, responses of the worker in part, and replies for other nodes.
    budget.add(6_000_000 + LIMIT)
    budget.offered += 3_000_000
    budget.add_unread(unread)
    replies = BodyQueue(budget, comes_from_nodes=True)
    assert replies.reserve("reply", 4_000_000) is is_taken
    assert not replies.reserve("next", 4_000_000)
    budget.release_unread(unread)
    assert replies.take_ready() == ([] if is_taken else ["reply"])
