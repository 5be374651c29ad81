"""Decoding of the platform's JSON documents into the project's types."""

import json
from collections.abc import Mapping
from typing import Any

from bamboocove.coordination.accounts import digest_key
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.host_settings import parse_address
from bamboocove.state.mesh import (
    ClientAccount,
    HostRoute,
    MeshConfig,
    MeshService,
    MeshWorker,
    MoveOrder,
    ServiceShare,
    VersionRule,
)

# Timeout of a route that sets none.
DEFAULT_TIMEOUT_S = 30.0
# Largest integer that a JSON number represents exactly in all implementations.
MAX_NUMBER = 2**53
# What the functions below raise for documents that are not as expected. The JSON
# decoder raises RecursionError for deeply nested ones.
_INVALID = (ValueError, TypeError, KeyError, AttributeError, RecursionError)


def _load_object(data: bytes) -> Any:
    value = json.loads(data)
    if not isinstance(value, dict):
        raise TypeError("not an object")
    return value


def _read_number(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"not a number: {value!r}")
    # Also false for NaN, which json reads like Infinity.
    if not abs(value) <= MAX_NUMBER:
        raise ValueError("not a finite number in range")
    return float(value)


def _read_positive_number(value: Any) -> float:
    number = _read_number(value)
    if number <= 0.0:
        raise ValueError(f"not positive: {value!r}")
    return number


def _read_size(value: Any) -> int | None:
    if value is None:
        return None
    number = _read_number(value)
    if number < 0.0:
        raise ValueError(f"not a size: {value!r}")
    return int(number)


def _read_flag(value: Any) -> bool:
    if value is not None and not isinstance(value, bool):
        raise TypeError(f"not true or false: {value!r}")
    return bool(value)


def _read_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"not a text: {value!r}")
    return value


def decode_config(data: bytes) -> MeshConfig | ErrorResult:
    """Decode the operators' configuration.

    Returns
    -------
    config : MeshConfig or ErrorResult
        ``INVALID_CONFIG`` with the reason if any part of the document is invalid.
    """
    try:
        document = _load_object(data)
        limits = document.get("limits") or {}
        return MeshConfig(
            version=int(_read_number(document["version"])),
            routes_by_name={
                name: _read_route(name, route)
                for name, route in document["routes"].items()
            },
            services_by_name={
                name: _read_service(name, service)
                for name, service in document["services"].items()
            },
            accounts_by_name=_read_accounts(document.get("tenants") or {}),
            idle_timeout_s=_read_number(limits.get("idleTimeoutS", 60)),
            max_body_bytes=_read_size(limits.get("maxBodyBytes")),
        )
    except _INVALID as error:
        reason = f"configuration: {type(error).__name__}: {error}"
        return ErrorResult(ErrorKind.INVALID_CONFIG, reason)


def _read_service(name: str, service: Mapping[str, Any]) -> MeshService:
    try:
        return MeshService(
            name,
            _read_string(service.get("healthPath", "/")),
            int(_read_number(service.get("maxConnections", 100))),
            _read_number(service.get("coldStartS") or 0),
            _read_number(service.get("coldPerS") or 0),
        )
    except _INVALID as error:
        raise ValueError(f"service {name}: {error}") from None


def _read_accounts(accounts: Mapping[str, Any]) -> dict[str, ClientAccount]:
    accounts_by_name = {name: _read_account(name, a) for name, a in accounts.items()}
    names_by_digest: dict[str, str] = {}
    for account in accounts_by_name.values():
        for digest in account.key_digests:
            other = names_by_digest.setdefault(digest, account.name)
            if other != account.name:
                raise ValueError(f"tenants {other} and {account.name} share a key")
    return accounts_by_name


def _read_account(name: str, account: Mapping[str, Any]) -> ClientAccount:
    try:
        priority = account.get("priority")
        if not name.isprintable():
            raise ValueError("the name does not fit into a header field")
        return ClientAccount(
            _read_string(name),
            tuple(map(_read_key, _read_list(account, "apiKeys"))),
            None if priority is None else max(0, int(_read_number(priority))),
            _read_number(account.get("ratePerS") or 0),
            _read_number(account.get("burst") or 0),
            _read_regions(account),
        )
    except _INVALID as error:
        raise ValueError(f"tenant {name}: {error}") from None


def _read_list(table: Mapping[str, Any], name: str) -> list[Any]:
    value = table.get(name)
    if value is not None and not isinstance(value, list):
        raise TypeError(f"{name} is not a list")
    return value or []


def _read_regions(table: Mapping[str, Any]) -> tuple[str, ...]:
    return tuple(map(_read_string, _read_list(table, "allowedRegions")))


def _read_key(key: Any) -> str:
    """Return the digest of a key; no error shows the key."""
    if not isinstance(key, str) or not key.strip():
        raise TypeError("a key is empty or not a text")
    return digest_key(key.strip().encode())


def _read_route(name: str, route: Mapping[str, Any]) -> HostRoute:
    if "trafficSplit" in route:
        shares = tuple(
            ServiceShare(_read_string(share["service"]), _read_number(share["weight"]))
            for share in route["trafficSplit"]
        )
    else:
        shares = (ServiceShare(_read_string(route["service"]), 1.0),)
    weights = [share.weight for share in shares]
    if min(weights, default=0.0) < 0.0 or sum(weights) <= 0.0:
        raise ValueError(f"route {name}: no service has a positive weight")
    try:
        allowed_regions = _read_regions(route)
    except TypeError as error:
        raise ValueError(f"route {name}: {error}") from None
    timeout_s = _read_positive_number(route.get("timeoutS", DEFAULT_TIMEOUT_S))
    return HostRoute(
        name=name,
        host=_read_string(route["hostname"]).lower(),
        prefix=_read_string(route["prefix"]),
        shares=shares,
        # A request on a "safe" route may run more than once, on an "unsafe" one not.
        is_idempotent=route["kind"] == "safe",
        timeout_s=timeout_s,
        target_s=_read_positive_number(route.get("targetLatencyS", timeout_s)),
        attempts=max(1, int(_read_number(route.get("attempts", 1)))),
        priority=max(0, int(_read_number(route.get("priority", 0)))),
        is_anonymous=_read_flag(route.get("anonymous")),
        allowed_regions=allowed_regions,
    )


def decode_move_order(data: bytes, revision: int) -> MoveOrder | ErrorResult:
    """Decode an order to move a service to another version.

    Parameters
    ----------
    data : bytes
        The JSON document.
    revision : int
        Revision of the store at which the document was written.

    Returns
    -------
    order : MoveOrder or ErrorResult
        ``INVALID_CONFIG`` with the reason if the document is invalid.
    """
    try:
        document = _load_object(data)
        return MoveOrder(
            _read_string(document["service"]),
            _read_string(document["to"]),
            _read_number(document["durationS"]),
            revision,
        )
    except _INVALID as error:
        reason = f"move order: {type(error).__name__}: {error}"
        return ErrorResult(ErrorKind.INVALID_CONFIG, reason)


def encode_move_status(rule: VersionRule) -> bytes:
    """Encode the status of a service's last move order as the operator reads it."""
    return json.dumps({"state": rule.state, "to": rule.to_version}).encode()


def decode_worker(
    worker_id: str, data: bytes, worker_address: tuple[str, int]
) -> MeshWorker | ErrorResult:
    """Decode the status report that a worker sends to its node.

    Parameters
    ----------
    worker_id : str
        Identifier of the worker, from the path of the request.
    data : bytes
        Body of the request.
    worker_address : (str, int)
        Address of the worker on this host; a report with any other address is
        rejected.

    Returns
    -------
    worker : MeshWorker or ErrorResult
        ``INVALID_MESSAGE`` with the reason if the report is invalid or names
        another address.
    """
    try:
        document = _load_object(data)
        info, status = document["info"], document["status"]
        address = parse_address(document["address"])
        if address != worker_address:
            raise ValueError(f"address is {address}, not {worker_address}")
        state = status["state"]
        if state not in ("ready", "draining"):
            raise ValueError(f"unknown state {state!r}")
        return MeshWorker(
            worker_id=_read_string(worker_id),
            service=_read_string(info["service"]),
            version=_read_string(info["version"]),
            slots=max(1, int(_read_number(info["slots"]))),
            state=state,
            cold_s=max(0.0, _read_number(status.get("coldRemainingS", 0))),
            born_ms=int(_read_number(document.get("born", 0))),
            sequence=int(_read_number(status["sequence"])),
        )
    except _INVALID as error:
        reason = f"report of a worker: {type(error).__name__}: {error}"
        return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)
