"""Outcome reports that nodes of earlier releases receive."""

from typing import Any

import pytest
from attrs import frozen

from bamboocove.errors import ErrorKind
from bamboocove.protocol import mesh_messages
from bamboocove.protocol.mesh_messages import (
    OutcomeBatch,
    decode_mesh_message,
    encode_mesh_message,
)


@frozen
class BatchWithoutOutliers:
    """The message of releases that know neither outliers nor errors."""

    items: list[list[Any]]
    is_sign: bool = False


@frozen
class BatchWithoutErrors:
    """The message of releases that know outliers, but no errors."""

    items: list[list[Any]]
    is_sign: bool = False
    has_outliers: bool = True


@pytest.mark.parametrize("earlier_type", [BatchWithoutOutliers, BatchWithoutErrors])
def test_earlier_releases_discard_reports_with_more_counts(monkeypatch, earlier_type):
    """Guards against reports that an earlier release accepts, but cannot read.

    Its node raised an error at each look at its moves, which stood still.
    """
    tally = ["read", 5, 1, 100, [4], 0, 1]
    data = encode_mesh_message(OutcomeBatch([["h1", 7, "orders", "v2", 12, [tally]]]))
    types = [
        earlier_type if cls is OutcomeBatch else cls
        for cls in mesh_messages._MESSAGE_TYPES
    ]
    monkeypatch.setattr(mesh_messages, "_MESSAGE_TYPES", types)
    assert decode_mesh_message(data).kind is ErrorKind.INVALID_MESSAGE


@pytest.mark.parametrize("earlier_type", [BatchWithoutOutliers, BatchWithoutErrors])
def test_batches_of_earlier_releases_are_accepted(monkeypatch, earlier_type):
    """Guards against outcomes of not yet upgraded hosts that are lost."""
    items = [["h1", 7, "orders", "v2", 12, [["read", 5, 1, 100, [4]]]]]
    number = mesh_messages._NUMBERS_BY_TYPE[OutcomeBatch]
    names = [a.name for a in earlier_type.__attrs_attrs__]
    monkeypatch.setitem(mesh_messages._NUMBERS_BY_TYPE, earlier_type, number)
    monkeypatch.setitem(mesh_messages._FIELD_NAMES_BY_TYPE, earlier_type, names)
    message = decode_mesh_message(encode_mesh_message(earlier_type(items)))
    assert message == OutcomeBatch(items)
