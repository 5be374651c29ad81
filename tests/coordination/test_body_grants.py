"""Large bodies and small calls on the link of one host, replayed in simulated time."""

import heapq
import itertools
import random

import pytest

from bamboocove.coordination.body_grants import IN_TRANSFER_S, BodyGrants

# A host of szabo-offcuts-grown that runs the service of the uploads, on a day of high
# load: a seventh of 83 uploads and of 392 calls a second.
LINK_BYTES_PER_S = 6.5e6 / 8
UPLOADS_PER_S = 12
CALLS_PER_S = 56
CALL_BYTES = 900
ROUND_TRIP_S = 0.003


class Link:
    """Link of one host that transmits messages in the order of their arrival.

    A connection has at most ``WINDOW`` bytes in the network. Further bytes of a body
    follow as the earlier ones arrive.
    """

    WINDOW = 64 * 1024

    def __init__(self):
        self.events = []
        self.numbers = itertools.count()
        self.free_at = 0.0

    def schedule(self, at, function, *arguments):
        heapq.heappush(self.events, (at, next(self.numbers), function, arguments))

    def transmit(self, now, size, on_arrived):
        part = min(size, self.WINDOW)
        self.free_at = max(now, self.free_at) + part / LINK_BYTES_PER_S
        if size > part:
            self.schedule(self.free_at, self.transmit, size - part, on_arrived)
        else:
            self.schedule(self.free_at, on_arrived)

    def run(self):
        while self.events:
            at, _, function, arguments = heapq.heappop(self.events)
            function(at, *arguments)


def replay(seconds, grants, uploads_per_s=UPLOADS_PER_S):
    """Return the delays of the calls and of the bodies, in seconds.

    Without ``grants`` each body is sent when its request arrives.
    """
    source = random.Random(7)
    link = Link()
    calls, bodies = [], []

    def grant(now):
        for key in grants.take_granted(now):
            send, _ = key
            link.schedule(now + ROUND_TRIP_S, send)

    def call(now):
        link.transmit(now, CALL_BYTES, lambda at: calls.append(at - now))

    def upload(now):
        size = int(min(360_000, source.lognormvariate(10.82, 0.6)))

        def send(at):
            link.transmit(at, size, arrive)

        def arrive(at):
            bodies.append(at - now)
            if grants is not None:
                grants.remove(key)
                grant(at)

        key = (send, now)
        if grants is None:
            send(now)
        else:
            grants.add(key, size, now + 4.0)
            grant(now)

    for rate, function in ((CALLS_PER_S, call), (uploads_per_s, upload)):
        at = 0.0
        while at < seconds:
            at += source.expovariate(rate)
            link.schedule(at, function)
    link.run()
    return sorted(calls), sorted(bodies)


def get_percentile(values, fraction):
    return values[int(fraction * len(values))]


def test_small_calls_do_not_wait_behind_uploads():
    """Guards against calls that take half a second because of bodies on the link.

    The workers that wait for them keep their slots, and pings are late by as much, so
    that the host looks dead.
    """
    before, _ = replay(20, None)
    calls, _ = replay(20, BodyGrants(LINK_BYTES_PER_S))
    assert get_percentile(before, 0.5) > 0.4
    assert get_percentile(calls, 0.5) < 0.1
    assert get_percentile(calls, 0.95) < 0.25


def test_link_is_used_while_bodies_wait():
    """Guards against a link that is idle although bodies wait for permission."""
    _, before = replay(20, None)
    _, bodies = replay(20, BodyGrants(LINK_BYTES_PER_S))
    assert sum(bodies) < 1.15 * sum(before)


def test_bodies_are_granted_at_once_on_a_fast_link():
    """Guards against uploads that pay a wait where there is no need for it."""
    grants = BodyGrants(62.5e6)
    for key in range(100):
        grants.add(key, 60_000, 5.0)
    assert grants.take_granted(0.0) == list(range(100))
    assert grants.predict_wait(0.0) == 0.0


def test_one_body_larger_than_the_bound_is_granted_alone():
    """Guards against a body that waits for ever because of its size."""
    grants = BodyGrants(LINK_BYTES_PER_S)
    grants.add("large", int(2 * IN_TRANSFER_S * LINK_BYTES_PER_S), 5.0)
    grants.add("small", 20_000, 5.0)
    assert grants.take_granted(0.0) == ["large"]
    grants.remove("large")
    assert grants.take_granted(0.1) == ["small"]


def test_senders_that_vanish_do_not_keep_the_link():
    """Guards against a grant of a sender that was killed before it sent the body."""
    grants = BodyGrants(LINK_BYTES_PER_S)
    grants.add("killed", 90_000, 1.0)
    grants.add("next", 90_000, 5.0)
    assert grants.take_granted(0.0) == ["killed"]
    assert grants.take_granted(0.9) == []
    assert grants.take_granted(1.0) == ["next"]


@pytest.mark.parametrize("waiting", [0, 1, 10])
def test_predicted_wait_grows_with_the_bodies_ahead(waiting):
    grants = BodyGrants(LINK_BYTES_PER_S)
    for key in range(waiting):
        grants.add(key, 60_000, 9.0)
    grants.take_granted(0.0)
    wait_s = grants.predict_wait(0.0)
    if waiting < 2:
        assert wait_s == 0.0
    else:
        sent_s = (waiting * 60_000) / LINK_BYTES_PER_S - IN_TRANSFER_S
        assert sent_s * 0.9 < wait_s < sent_s * 1.6


def test_late_bodies_do_not_delay_those_that_can_be_in_time():
    """Guards against uploads that all become late behind those that returned late."""
    grants = BodyGrants(LINK_BYTES_PER_S)
    for key in range(10):
        grants.add(key, 120_000, 9.0, priority=101.0)
    assert grants.take_granted(0.0) == [0]
    grants.add("in time", 120_000, 9.0, priority=1.0)
    assert grants.predict_wait(1.0) < 0.3 < grants.predict_wait(101.0)
    grants.remove(0)
    assert grants.take_granted(0.1) == ["in time"]


def test_bodies_of_one_sender_do_not_fill_its_link():
    """Guards against links that are closed because granted bodies wait on them."""
    grants = BodyGrants(bytes_per_s=125e6)
    for sender in "ab":
        for number in range(3):
            key = sender, number
            grants.add(key, 3_900_000, deadline=9.0, sender=sender)
    assert grants.take_granted(0.0) == [("a", 0), ("b", 0)]
    assert grants.take_granted(0.0) == []
    grants.remove(("b", 0))
    assert grants.take_granted(0.0) == [("b", 1)]


def test_small_bodies_of_one_sender_are_granted_together():
    grants = BodyGrants(bytes_per_s=125e6)
    for number in range(3):
        grants.add(number, 60_000, deadline=9.0, sender="a")
    assert grants.take_granted(0.0) == [0, 1, 2]
