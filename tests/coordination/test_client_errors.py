"""Client errors of a new version, and of callers that only its workers are near to."""

import random

import pytest

from bamboocove.coordination import client_errors
from bamboocove.coordination.client_errors import ClientErrorRates, ExpectedClientErrors
from bamboocove.coordination.version_comparison import (
    Tally,
    compare_versions,
    find_regression,
)


class Zones:
    """Callers of two zones, of which only one reaches the workers of the new version.

    One caller of that zone causes client errors.
    """

    def __init__(self, bad_share, fault_share, seed):
        self.random = random.Random(seed)
        self.bad_share, self.fault_share = bad_share, fault_share
        self.rates_by_zone = {"a": ClientErrorRates(), "b": ClientErrorRates()}
        self.errors_by_version = {v: ExpectedClientErrors() for v in ("v1", "v2")}
        self.tallies_by_version = {v: Tally() for v in ("v1", "v2")}

    def send(self, zone, version):
        """Send a request; count its outcome as the node beside the worker does."""
        draw = self.random.random
        is_error = zone == "a" and draw() < self.bad_share
        is_error |= version == "v2" and draw() < self.fault_share
        status = 404 if is_error else 200
        rates = self.rates_by_zone[zone]
        expected = rates.get_expected("read", "orders", version)
        errors = self.errors_by_version[version]
        is_failure = errors.is_failure("read", expected, status)
        self.tallies_by_version[version].record(is_failure, 0.1, status)
        rates.record("read", "orders", version, status)

    def run(self):
        """Return why the new version is bad after a move, or an empty string."""
        for _ in range(200):
            self.send("a", "v1")
        for number in range(1500):
            self.send("a", "v2" if number % 5 == 0 else "v1")
            for _ in range(4):
                self.send("b", "v1")
        old, new = ({"read": t} for t in self.tallies_by_version.values())
        return find_regression(compare_versions(old, new), 5.0, 16.0)


@pytest.mark.parametrize("bad_share", [0.05, 0.3, 0.6, 1.0])
def test_requests_of_one_bad_caller_do_not_end_a_move(bad_share):
    """Guards against a version that is blamed for the callers that reach it."""
    reasons = [Zones(bad_share, 0.0, seed).run() for seed in range(8)]
    assert reasons == [""] * 8


@pytest.mark.parametrize("bad_share", [0.0, 0.1])
def test_version_that_fails_is_found_beside_a_bad_caller(bad_share):
    """Guards against a bad caller that hides the faults of a version."""
    assert all(Zones(bad_share, 0.5, seed).run() for seed in range(8))


def test_rates_are_bounded(monkeypatch):
    """Guards against memory that grows with routes and versions that are gone."""
    monkeypatch.setattr(client_errors, "MAX_RATES", 3)
    rates = ClientErrorRates()
    for number in range(9):
        rates.record(f"r{number % 5}", "orders", f"v{number}", 404)
    assert len(rates._rates_by_key) == 3
    for number in range(9):
        rates.record("r4", "orders", f"v{number}", 200)
    assert len(rates._rates_by_key["r4", "orders"]) == 3


def test_version_may_return_twice_as_many_client_errors_as_expected():
    """Guards against a rollback because of chance, and against an endless allowance."""
    errors = ExpectedClientErrors()
    for _ in range(100):
        assert not errors.is_failure("read", 0.2, 200)
    failures = [errors.is_failure("read", 0.2, 404) for _ in range(20)]
    assert not any(failures[:5]) and sum(failures) >= 7
    assert errors.is_failure("other", 0.0, 404)
