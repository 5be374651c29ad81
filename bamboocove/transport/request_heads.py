"""Validation of the heads of HTTP/1.1 requests."""

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.transport.exchanges import Exchange
from bamboocove.transport.framing import (
    MAX_HEAD_BYTES,
    MAX_HEADERS,
    get_header,
    parse_body_length,
)


def check_head(
    exchange: Exchange, is_upgrade: bool, max_body_bytes: int
) -> ErrorResult | None:
    """Validate a request head, and set what it says on the exchange.

    Parameters
    ----------
    exchange : Exchange
        The request; its target, length and expectation are set.
    is_upgrade : bool
        Whether the head asks for another protocol.
    max_body_bytes : int
        Maximum size of the request body.

    Returns
    -------
    error : ErrorResult or None
        ``BAD_REQUEST`` or ``TOO_LARGE``.
    """
    headers = exchange.headers
    head_bytes = len(exchange.target) + sum(len(n) + len(v) for n, v in headers)
    if head_bytes > MAX_HEAD_BYTES or len(headers) > MAX_HEADERS:
        return ErrorResult(ErrorKind.TOO_LARGE, "request head is too large")
    if is_upgrade:
        return ErrorResult(ErrorKind.BAD_REQUEST, "protocol upgrade")
    hosts = sum(name == b"host" for name, _ in headers)
    if hosts != 1 and not (hosts == 0 and exchange.is_http10):
        return ErrorResult(ErrorKind.BAD_REQUEST, "Host must be given once")
    if not exchange.target.startswith(b"/"):
        target = _strip_authority(exchange.target)
        if target is None:
            reason = "target is not in origin or absolute form"
            return ErrorResult(ErrorKind.BAD_REQUEST, reason)
        exchange.target = target
    length = parse_body_length(headers)
    if isinstance(length, ErrorResult):
        return length
    if length == -1 and exchange.is_http10:
        return ErrorResult(ErrorKind.BAD_REQUEST, "chunked body in HTTP/1.0")
    if length is not None and length > max_body_bytes:
        return ErrorResult(ErrorKind.TOO_LARGE, f"body of {length} bytes")
    exchange.length = length
    expect = get_header(headers, b"expect")
    if expect is not None:
        if expect.strip().lower() != b"100-continue":
            return ErrorResult(ErrorKind.BAD_REQUEST, "unknown expectation")
        exchange.needs_continue = not exchange.is_http10
    return None


def _strip_authority(target: bytes) -> bytes | None:
    if not target.lower().startswith(b"http://"):
        return None
    slash = target.find(b"/", len(b"http://"))
    return b"/" if slash < 0 else target[slash:]
