"""CBOR serialization of the attrs classes of this package."""

from typing import Any, TypeVar

import cbor2
from cattrs.errors import BaseValidationError
from cattrs.preconf.cbor2 import make_converter

from bamboocove.errors import ErrorKind, ErrorResult

Decoded = TypeVar("Decoded")

# Unknown fields are ignored, so that nodes of two releases can exchange
# messages while hosts are replaced.
_converter = make_converter(detailed_validation=False)

# What structuring raises for data of another shape: OverflowError for an infinite
# number in place of an integer, RecursionError for deeply nested data.
_INVALID = (
    BaseValidationError,
    TypeError,
    ValueError,
    KeyError,
    AttributeError,
    OverflowError,
    RecursionError,
)


def to_plain(value: Any) -> Any:
    """Convert an attrs object to mappings, lists and scalars."""
    return _converter.unstructure(value)


def from_plain(cls: type[Decoded], data: Any) -> Decoded | ErrorResult:
    """Convert mappings, lists and scalars to an object of an attrs class.

    Returns
    -------
    value : object or ErrorResult
        ``INVALID_MESSAGE`` if the data does not fit the class.
    """
    try:
        return _converter.structure(data, cls)
    except _INVALID as error:
        reason = f"not a {cls.__name__}: {type(error).__name__}: {error}"
        return ErrorResult(ErrorKind.INVALID_MESSAGE, reason)


def encode(value: Any) -> bytes:
    """Encode an attrs object as canonical CBOR: equal objects give equal bytes."""
    return cbor2.dumps(to_plain(value), canonical=True)


def decode(cls: type[Decoded], data: bytes) -> Decoded | ErrorResult:
    """Decode an attrs object.

    Returns
    -------
    value : object or ErrorResult
        ``INVALID_MESSAGE`` if the bytes are not CBOR or do not fit the class.
    """
    try:
        plain = cbor2.loads(data)
    except (cbor2.CBORDecodeError, ValueError, RecursionError) as error:
        return ErrorResult(ErrorKind.INVALID_MESSAGE, f"not CBOR: {error}")
    return from_plain(cls, plain)
