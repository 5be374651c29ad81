"""Limits that a granter applies while its lease begins, lapses and is renewed."""

import random
from types import SimpleNamespace
from unittest.mock import Mock

import pytest

from bamboocove.coordination.quota_lease import LEASE_S, Call
from bamboocove.sidecar.quotas import QuotaTask
from bamboocove.state.quotas import StoredQuotaLease
from tests.quota_cluster import make_account


class Node:
    """A task of a host, with a clock and a store that the test controls."""

    def __init__(self):
        self.now = 100.0
        application = Mock()
        application.settings.bounds = SimpleNamespace(
            quota_tolerance=0.1, quota_window_s=5.0, quota_slack=20.0
        )
        application.settings.regions_by_zone = {"z": "r"}
        application.settings.host_id, application.settings.zone = "h1", "z"
        application.hosts.incarnation = 1
        application.is_draining = False
        application.fleet.records_by_id = {}
        application.random = random.Random(1)
        # The test answers calls to the store itself.
        application.dissemination.is_chosen_reader.return_value = False
        self.task = QuotaTask(application, lambda: self.now)
        self.task._candidate_at = self.now
        self.lease = self.task._lease

    def use(self, rate_per_s):
        accounts = {"a": make_account("a", rate_per_s, rate_per_s)}
        self.task.use_config(SimpleNamespace(accounts_by_name=accounts, version=1))

    def call_store(self, answered_after_s=0.0):
        """Make the calls up to a write; its answer arrives after some time."""
        call = self.lease.decide(self.now, True)
        if call is Call.READ:
            self.lease.on_result(self.now, StoredQuotaLease(None, 0, 0), self.now)
            call = self.lease.decide(self.now, True)
        assert call is Call.WRITE
        row, version = self.lease.make_row()
        sent_at, self.now = self.now, self.now + answered_after_s
        self.task.tick(0.0)
        written = StoredQuotaLease(row, version + 1, 0, True)
        self.lease.on_result(sent_at, written, self.now)
        self.task.tick(0.0)

    def get_bucket(self):
        return self.task._granter.buckets.buckets_by_account.get("a")


@pytest.fixture
def node():
    node = Node()
    node.use(100.0)
    node.call_store()
    return node


def test_limit_lowered_before_the_first_grant_is_applied(node):
    """Guards against a new granter that keeps the limit its lease began with."""
    node.now += 0.1
    assert not node.task.is_granter
    node.use(2.0)
    node.now += 1.0
    assert node.task.is_granter
    assert node.get_bucket().rate_per_s == 2.0


def test_granter_has_buckets_after_a_late_renewal(node):
    """Guards against refusals of all requests after a slow answer of the store."""
    node.now += 1.0
    node.task.tick(0.0)
    assert node.task.is_granter
    node.now += LEASE_S - 1.2
    node.call_store(answered_after_s=0.4)
    assert node.task.is_granter
    assert node.get_bucket().tokens <= 1.0
    node.use(2.0)
    assert node.get_bucket().rate_per_s == 2.0
