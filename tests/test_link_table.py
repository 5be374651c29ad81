"""Tests of bamboocove.link_table in fleets of distributors."""

from bamboocove.coordination.backoff import AcceptPacer
from bamboocove.protocol.messages import (
    Goodbye,
)
from tests.fleet import Fleet, make_fleet


def test_one_link_for_each_pair():
    """Guards against two links of one pair, each with its own heartbeats."""
    fleet = make_fleet(8)
    fleet.run(15.0)
    for port, network in fleet.networks.items():
        others = [link.other.port for link in network.links if link.state == "open"]
        assert len(set(others)) == len(others)
        assert len(others) == len(fleet.get_links(port))


def test_mass_restart_is_accepted_at_a_bounded_rate():
    """Guards against a seed that spends all its time on new links."""
    fleet = Fleet()
    fleet.start(1)
    fleet.nodes[1]._links._pacer = AcceptPacer(rate=10.0, burst=10.0)
    for port in range(2, 42):
        fleet.start(port, seeds=[1])
    fleet.run(0.5)
    assert len(fleet.get_links(1)) <= 10 + 5 + 1
    goodbyes = [m for _, _, m in fleet.hub.messages if isinstance(m, Goodbye)]
    assert len({goodbye.retry_after_s for goodbye in goodbyes}) > 10
    fleet.run(20.0)
    names = {f"n{port}" for port in fleet.nodes}
    for port in fleet.nodes:
        assert set(fleet.get_states(port)) == names
        assert set(fleet.get_states(port).values()) == {"alive"}
