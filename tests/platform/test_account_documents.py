"""Tests of the decoding of client accounts."""

import json

import pytest

from bamboocove.coordination.accounts import digest_key
from bamboocove.errors import ErrorResult
from bamboocove.platform.documents import decode_config
from tests.platform.test_documents import CONFIG, encode_changed

ACCOUNTS = {
    "north": {"apiKeys": ["n1", "n2"], "priority": 1, "ratePerS": 360, "burst": 36},
    "south": {"apiKeys": ["s1"]},
}


def test_decode_accounts_keeps_no_key():
    """Guards against keys in state that is sent to other nodes or logged."""
    config = decode_config(encode_changed(CONFIG, tenants=ACCOUNTS))
    north, south = config.accounts_by_name.values()
    assert north.key_digests == (digest_key(b"n1"), digest_key(b"n2"))
    assert (north.priority, north.rate_per_s, north.burst) == (1, 360.0, 36.0)
    assert (south.priority, south.rate_per_s, south.burst) == (None, 0.0, 0.0)
    assert "n1" not in repr(config)


def test_routes_need_a_key_unless_they_say_otherwise():
    """Guards against routes that become open to everyone."""
    routes = json.loads(json.dumps(CONFIG["routes"]))
    routes["r2"]["anonymous"] = True
    by_name = decode_config(encode_changed(CONFIG, routes=routes)).routes_by_name
    assert not by_name["r1"].is_anonymous and by_name["r2"].is_anonymous


@pytest.mark.parametrize(
    ("changed", "reason"),
    [
        ({"apiKeys": ["n1"]}, "north"),
        ({"apiKeys": [""]}, "empty"),
        ({"apiKeys": "secret"}, "not a list"),
        ({"apiKeys": [7]}, "not a text"),
        ({"apiKeys": ["secret"], "ratePerS": -1}, "'rate_per_s' must be >= 0"),
        ({"apiKeys": ["secret"], "burst": "x"}, "not a number"),
        ({"apiKeys": ["secret"], "priority": True}, "not a number"),
        (["secret"], "list"),
    ],
)
def test_bad_account_is_refused_by_name(changed, reason):
    """Guards against a bad configuration in force, and against keys in its error."""
    accounts = {**ACCOUNTS, "south": changed}
    error = decode_config(encode_changed(CONFIG, tenants=accounts))
    assert isinstance(error, ErrorResult)
    assert "south" in error.reason and reason in error.reason
    assert "secret" not in error.reason and "n1" not in error.reason
