"""Relay tree of large changes, and requests of nodes that lack a configuration."""

import pytest

from bamboocove.coordination.relay_tree import (
    CATCH_UP_DELAY_S,
    RELAY_FANOUT,
    CatchUp,
    order_receivers,
    split_receivers,
)

LARGE = 1 << 20


def walk(host_ids, size, depth=1):
    """Yield each receiver with the number of hops to it."""
    for host_id, relay_ids in split_receivers(host_ids, size):
        yield host_id, depth
        yield from walk(relay_ids, size, depth + 1)


@pytest.mark.parametrize("count", [0, 1, 3, 4, 5, 29, 611])
@pytest.mark.parametrize("size", [1, 3000, LARGE])
def test_each_host_receives_a_change_once(count, size):
    """Guards against hosts that are left out of the tree, or served twice."""
    host_ids = [f"h{number}" for number in range(count)]
    assert sorted(host_id for host_id, _ in walk(host_ids, size)) == sorted(host_ids)


def test_large_change_reaches_a_zone_in_few_hops():
    host_ids = [f"h{number}" for number in range(29)]
    assert len(split_receivers(host_ids, LARGE)) == RELAY_FANOUT
    assert max(depth for _, depth in walk(host_ids, LARGE)) == 3


def test_small_change_goes_to_all_hosts_directly():
    host_ids = [f"h{number}" for number in range(29)]
    assert [depth for _, depth in walk(host_ids, 300)] == [1] * 29


def test_trees_of_two_senders_differ():
    """Guards against one relay whose failure cuts both ways to the same hosts."""
    host_ids = [f"h{number}" for number in range(29)]
    one, two = order_receivers("r1", host_ids), order_receivers("r2", host_ids)
    assert sorted(one) == sorted(two) == sorted(host_ids)
    assert set(one[:RELAY_FANOUT]) != set(two[:RELAY_FANOUT])


def test_node_without_a_configuration_requests_it_at_once():
    assert CatchUp().should_request(0, 7, 5.0)


def test_node_waits_for_a_change_that_is_on_its_way():
    """Guards against copies that are requested while the change arrives."""
    catch_up = CatchUp()
    assert not catch_up.should_request(7, 7, 5.0)
    assert not catch_up.should_request(7, 8, 5.0)
    # The change has arrived; the next one is on its way.
    assert not catch_up.should_request(8, 9, 5.0 + 2 * CATCH_UP_DELAY_S)


def test_node_that_stays_behind_requests_a_copy_once_per_delay():
    """Guards against a node that waits forever, and against a copy for each offer."""
    catch_up = CatchUp()
    offers_at = [5.0 + number * 0.05 for number in range(40)]
    requested_at = [now for now in offers_at if catch_up.should_request(7, 8, now)]
    assert requested_at[0] <= 5.0 + CATCH_UP_DELAY_S + 0.05
    assert 4 <= len(requested_at) <= 2.0 / CATCH_UP_DELAY_S
