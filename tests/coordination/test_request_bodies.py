"""Room for request bodies while they arrive, against a byte budget."""

from random import Random

import pytest

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.request_bodies import (
    MIN_JUDGED_AGE_S,
    RESPONSE_ROOM_BYTES,
    SMALL_BODY_BYTES,
    SMALL_ROOM_BYTES,
    UNKNOWN_LENGTH,
    RequestBodies,
    reserve_body,
)
from bamboocove.errors import ErrorKind
from bamboocove.protocol.mesh_messages import MAX_FORWARDED_BODY_BYTES

LIMIT = 20_000_000


@pytest.fixture
def budget():
    return ByteBudget(LIMIT)


@pytest.fixture
def bodies(budget):
    return RequestBodies(budget)


def start(bodies, length, now=0.0, deadline=8.0):
    return bodies.start(None, length, now, deadline)


def fill(bodies):
    """Start bodies with a declared length until there is no room."""
    started = []
    while (body := start(bodies, 1_000_000)) is not ErrorKind.OVERLOADED:
        started.append(body)
    return started


def test_declared_length_is_reserved_before_any_byte_arrives(bodies, budget):
    """Guards against bodies that each fit but together exceed the memory."""
    started = fill(bodies)
    assert len(started) == (LIMIT - RESPONSE_ROOM_BYTES) // 1_000_000
    assert budget.held == len(started) * 1_000_000


def test_largest_body_fits_the_least_budget(budget):
    bodies = RequestBodies(ByteBudget(10_000_000))
    body = start(bodies, MAX_FORWARDED_BODY_BYTES)
    assert body.reserved == MAX_FORWARDED_BODY_BYTES
    assert bodies.budget.free >= RESPONSE_ROOM_BYTES


@pytest.mark.parametrize("length", [MAX_FORWARDED_BODY_BYTES + 1, 1 << 62])
def test_length_that_can_never_be_served_holds_nothing(bodies, budget, length):
    assert start(bodies, length) is ErrorKind.TOO_LARGE
    assert budget.held == 0


def test_body_in_chunks_is_refused_as_soon_as_it_exceeds_the_limit(bodies, budget):
    """Guards against a body without a length that is read to its end."""
    body = start(bodies, UNKNOWN_LENGTH)
    part = bytes(65536)
    for _ in range(MAX_FORWARDED_BODY_BYTES // len(part)):
        assert bodies.receive(body, part) is None
    assert bodies.receive(body, part) is ErrorKind.TOO_LARGE
    assert budget.held <= MAX_FORWARDED_BODY_BYTES


def test_bodies_in_chunks_go_on_when_one_of_them_is_refused(bodies, budget):
    """Guards against half-read uploads that wait for each other."""
    part = bytes(65536)
    size = 2 * 1024 * 1024
    waiting = [start(bodies, UNKNOWN_LENGTH) for _ in range(40)]
    served = 0
    while waiting:
        for body in list(waiting):
            if bodies.receive(body, part) is not None:
                bodies.release(body)
                waiting.remove(body)
            elif len(body.data) >= size:
                bodies.complete(body)
                bodies.release(body)
                waiting.remove(body)
                served += 1
            assert budget.held <= LIMIT + SMALL_ROOM_BYTES
    assert served >= (LIMIT - RESPONSE_ROOM_BYTES) // size - 1
    assert budget.held == 0


def test_small_bodies_have_room_beside_large_ones(bodies, budget):
    """Guards against small requests that are refused because of uploads."""
    fill(bodies)
    budget.reserve(budget.free)
    small = [start(bodies, SMALL_BODY_BYTES) for _ in range(200)]
    assert ErrorKind.OVERLOADED not in small


def test_small_bodies_are_bounded_too(budget):
    while reserve_body(budget, SMALL_BODY_BYTES):
        assert budget.held <= LIMIT + SMALL_ROOM_BYTES


def test_body_that_cannot_arrive_in_time_is_found(bodies):
    """Guards against room that is held for callers that send nothing."""
    silent, slow, fast = (start(bodies, 1_000_000) for _ in range(3))
    bodies.receive(slow, bytes(50_000))
    bodies.receive(fast, bytes(500_000))
    assert bodies.find_late(MIN_JUDGED_AGE_S / 2) == []
    assert set(bodies.find_late(1.0)) == {silent, slow}
    bodies.complete(slow)
    assert bodies.find_late(1.0) == [silent]


@pytest.mark.parametrize("length", [100, UNKNOWN_LENGTH])
def test_data_that_follows_a_released_body_holds_nothing(bodies, budget, length):
    """Guards against bytes that are counted and never released."""
    body = start(bodies, length)
    bodies.release(body)
    assert bodies.receive(body, bytes(50)) is None
    assert budget.held == 0 and not body.data


@pytest.mark.parametrize("seed", range(20))
def test_all_bytes_are_released_on_each_end(bodies, budget, seed):
    """Guards against a budget that shrinks with each request."""
    random = Random(seed)
    open_bodies = []
    for _ in range(3000):
        action = random.random()
        if action < 0.3 or not open_bodies:
            length = int(10 ** random.uniform(0, 6.8))
            known = length if random.random() < 0.6 else UNKNOWN_LENGTH
            body = start(bodies, known)
            if not isinstance(body, ErrorKind):
                open_bodies.append((body, bytes(length)))
            continue
        index = random.randrange(len(open_bodies))
        body, data = open_bodies[index]
        arrived = len(body.data)
        part = data[arrived : arrived + 65536]
        if action < 0.85 and part:
            error = bodies.receive(body, part)
            if error is None:
                continue
        elif not part:
            bodies.complete(body)
            assert bytes(body.data) == data
            if action < 0.85:
                continue
        del open_bodies[index]
        bodies.release(body)
        if action > 0.9:
            bodies.release(body)
        assert budget.held == sum(body.reserved for body, _ in open_bodies)
        assert 0 <= budget.held <= LIMIT + SMALL_ROOM_BYTES
    for body, _ in open_bodies:
        bodies.release(body)
    assert budget.held == 0
    assert bodies.find_late(100.0) == []
