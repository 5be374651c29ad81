"""Tests of the decoding of the platform's documents."""

import json

import pytest

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.documents import (
    decode_config,
    decode_move_order,
    decode_worker,
    encode_move_status,
)
from bamboocove.state.mesh import MeshWorker, MoveOrder, ServiceShare, VersionRule

WORKER_ADDRESS = ("10.1.0.8", 8301)
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
    "limits": {"idleTimeoutS": 15, "maxBodyBytes": 65536},
}
REPORT = {
    "address": "10.1.0.8:8301",
    "info": {"service": "a", "version": "v1", "zone": "z", "slots": 12},
    "status": {"state": "ready", "sequence": 4, "coldRemainingS": 1.5},
    "born": 1700000000000,
}


def encode(document):
    return json.dumps(document).encode()


def encode_changed(document, **changes):
    return encode({**document, **changes})


def test_decode_config():
    config = decode_config(encode(CONFIG))
    assert config.version == 7
    assert config.idle_timeout_s == 15
    assert config.max_body_bytes == 65536
    first, second = config.routes_by_name["r1"], config.routes_by_name["r2"]
    assert first.host == "jepu9.example"
    assert first.shares == (ServiceShare("a", 90), ServiceShare("b", 10))
    assert (first.is_idempotent, first.attempts, first.priority) == (True, 2, 2)
    assert not second.is_idempotent
    assert second.attempts == 1


def change_route(**fields):
    return {"r1": {**CONFIG["routes"]["r1"], **fields}}


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\xff",
        b"[]",
        encode_changed(CONFIG, version="7"),
        encode_changed(CONFIG, version=True),
        encode_changed(CONFIG, routes=[]),
        encode_changed(CONFIG, routes={"r": {"hostname": "h", "prefix": "/"}}),
        encode_changed(CONFIG, services=None),
        encode_changed(CONFIG, version=float("inf")),
        encode_changed(CONFIG, version=10**400),
        encode_changed(CONFIG, limits={"idleTimeoutS": float("nan")}),
        encode_changed(CONFIG, limits={"maxBodyBytes": -1}),
        encode_changed(CONFIG, limits={"maxBodyBytes": "64 KiB"}),
        encode_changed(CONFIG, routes=change_route(timeoutS=-1)),
        encode_changed(CONFIG, routes=change_route(timeoutS=0)),
        encode_changed(CONFIG, routes=change_route(attempts=float("inf"))),
        encode_changed(CONFIG, routes=change_route(trafficSplit=[])),
        encode_changed(
            CONFIG,
            routes=change_route(
                trafficSplit=[
                    {"service": "a", "weight": -1},
                    {"service": "b", "weight": 2},
                ]
            ),
        ),
        encode_changed(
            CONFIG, routes=change_route(trafficSplit=[{"service": "a", "weight": 0}])
        ),
    ],
)
def test_decode_config_rejects_invalid_document(data):
    """Guards against applying only the valid part of an invalid configuration."""
    result = decode_config(data)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.INVALID_CONFIG and result.reason


def test_decode_move_order():
    data = encode({"service": "a", "to": "v2", "durationS": 12})
    assert decode_move_order(data, 5) == MoveOrder("a", "v2", 12.0, 5)
    assert isinstance(decode_move_order(b"{}", 5), ErrorResult)


def test_encode_move_status_uses_platform_format():
    rule = VersionRule("a", to_version="v2", state="rolled_back")
    assert json.loads(encode_move_status(rule)) == {"state": "rolled_back", "to": "v2"}


def test_decode_worker():
    worker = decode_worker("i-1", encode(REPORT), WORKER_ADDRESS)
    assert worker == MeshWorker("i-1", "a", "v1", 12, "ready", 1.5, 1700000000000, 4)


@pytest.mark.parametrize(
    "data",
    [
        b"\x00",
        b"3",
        encode_changed(REPORT, address="10.9.9.9:1"),
        encode_changed(REPORT, address=None),
        encode_changed(REPORT, info={"service": "a"}),
        encode_changed(REPORT, info="a"),
        encode_changed(REPORT, status={"state": "odd", "sequence": 1}),
        encode_changed(REPORT, status={"state": "ready", "sequence": "1"}),
    ],
)
def test_decode_worker_rejects_invalid_report_or_foreign_address(data):
    """Guards against sending requests to a worker that did not report itself.

    The report is invalid, or its address is not that of the worker on this host.
    """
    result = decode_worker("i-1", data, WORKER_ADDRESS)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.INVALID_MESSAGE
