"""The platform's documents become the project's types, or an error with a reason."""

import json

import pytest

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.documents import (
    decode_config,
    decode_order,
    decode_worker,
    encode_move_status,
)
from bamboocove.state.mesh import MeshWorker, MoveOrder, ServiceShare, VersionRule

OWN = ("10.1.0.8", 8301)
CONFIG = {
    "version": 7,
    "routes": {
        "r1": {
            "hostname": "Jepu9.example",
            "prefix": "/lepu/",
            "kind": "safe",
            "timeoutS": 1.2,
            "targetLatencyS": 0.3,
            "priority": 2,
            "trafficSplit": [
                {"service": "a", "weight": 90},
                {"service": "b", "weight": 10},
            ],
            "attempts": 2,
        },
        "r2": {
            "hostname": "hulo.example",
            "prefix": "/x/",
            "kind": "unsafe",
            "service": "a",
        },
    },
    "services": {
        "a": {"healthPath": "/healthz", "maxConnections": 120},
        "b": {"healthPath": "/healthz", "maxConnections": 120},
    },
    "limits": {"idleTimeoutS": 15},
}
REPORT = {
    "address": "10.1.0.8:8301",
    "info": {"service": "a", "version": "v1", "zone": "z", "slots": 12},
    "status": {"state": "ready", "sequence": 4, "coldRemainingS": 1.5},
    "born": 1700000000000,
}


def encode(document):
    return json.dumps(document).encode()


def change(document, **changes):
    return encode({**document, **changes})


def test_configuration_is_decoded():
    config = decode_config(encode(CONFIG))
    assert config.version == 7
    assert config.idle_timeout_s == 15
    first, second = config.routes_by_name["r1"], config.routes_by_name["r2"]
    assert first.host == "jepu9.example"
    assert first.shares == (ServiceShare("a", 90), ServiceShare("b", 10))
    assert (first.is_idempotent, first.attempts, first.priority) == (True, 2, 2)
    assert not second.is_idempotent
    assert second.attempts == 1


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[]",
        change(CONFIG, version="7"),
        change(CONFIG, version=True),
        change(CONFIG, routes=[]),
        change(CONFIG, routes={"r": {"hostname": "h", "prefix": "/"}}),
        change(CONFIG, services=None),
    ],
)
def test_unreadable_configuration_is_refused_whole(data):
    """Guards against a configuration that is applied in part."""
    result = decode_config(data)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.INVALID_CONFIG and result.reason


def test_order_is_decoded():
    data = encode({"service": "a", "to": "v2", "durationS": 12})
    assert decode_order(data, 5) == MoveOrder("a", "v2", 12.0, 5)
    assert isinstance(decode_order(b"{}", 5), ErrorResult)


def test_status_of_a_move_has_the_platforms_words():
    rule = VersionRule("a", to_version="v2", state="rolled_back")
    assert json.loads(encode_move_status(rule)) == {"state": "rolled_back", "to": "v2"}


def test_report_of_a_worker_is_decoded():
    worker = decode_worker("i-1", encode(REPORT), OWN)
    assert worker == MeshWorker("i-1", "a", "v1", 12, "ready", 1.5, 1700000000000, 4)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00",
        b"3",
        change(REPORT, address="10.9.9.9:1"),
        change(REPORT, address=None),
        change(REPORT, info={"service": "a"}),
        change(REPORT, info="a"),
        change(REPORT, status={"state": "odd", "sequence": 1}),
        change(REPORT, status={"state": "ready", "sequence": "1"}),
    ],
)
def test_report_of_another_writer_names_no_worker(data):
    """Guards against requests to a worker that nobody announced."""
    result = decode_worker("i-1", data, OWN)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.INVALID_MESSAGE
