"""Regions to which the configuration limits routes and accounts."""

import json

import pytest

from bamboocove.coordination.regions import check_regions
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.documents import decode_config
from tests.platform.test_documents import CONFIG, encode_changed

REGIONS = {"a": "eu", "b": "eu", "c": "us"}


def decode(route_regions=None, account_regions=None):
    routes = json.loads(json.dumps(CONFIG["routes"]))
    routes["r1"]["allowedRegions"] = route_regions
    tenants = {"north": {"apiKeys": ["n1"], "allowedRegions": account_regions}}
    return decode_config(encode_changed(CONFIG, routes=routes, tenants=tenants))


@pytest.mark.parametrize("regions", [None, [], ["us", "eu"], ["us", "eu", "asia"]])
def test_all_regions_of_the_deployment_may_be_listed(regions):
    assert check_regions(decode(regions, regions), REGIONS) is None


@pytest.mark.parametrize(
    ("config", "name"),
    [(decode(["eu"]), "route r1"), (decode(None, ["eu"]), "account north")],
)
def test_configuration_that_leaves_out_a_region_is_refused(config, name):
    """Guards against requests that run where they may not."""
    error = check_regions(config, REGIONS)
    assert error.kind is ErrorKind.INVALID_CONFIG
    assert name in error.reason and "'us'" in error.reason and "'c'" in error.reason


def test_regions_cannot_be_allowed_while_the_settings_name_none():
    """Guards against a limit that is ignored because nobody knows the regions."""
    assert "route r1" in check_regions(decode(["eu"]), {}).reason


@pytest.mark.parametrize("regions", ["eu", [7], [""], {"eu": 1}])
def test_malformed_regions_are_refused_with_the_name(regions):
    for config, name in (
        (decode(regions), "route r1"),
        (decode(None, regions), "tenant north"),
    ):
        assert isinstance(config, ErrorResult)
        assert name in config.reason
