"""HTTP/1.1 message framing and header fields, shared by server and client."""

from collections.abc import Iterable
from http import HTTPStatus

from bamboocove.errors import ErrorKind, ErrorResult

Headers = list[tuple[bytes, bytes]]

MAX_HEAD_BYTES = 32 * 1024
MAX_HEADERS = 128

# Header fields that apply to a single connection (RFC 9110, 7.6.1). Content-Length
# is included because each connection has its own framing, and Expect because the
# server responds to it itself.
_HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"content-length",
        b"expect",
        b"http2-settings",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)

# A Connection field may name any field as hop-by-hop. The call path depends on
# these fields, so a caller must not be able to have them removed that way.
_PROTECTED = frozenset((b"host", b"idempotency-key"))
_PROTECTED_PREFIX = b"bamboocove-"

_STATUS_LINES = {
    status.value: b"HTTP/1.1 %d %s\r\n" % (status, status.phrase.encode())
    for status in HTTPStatus
}


def get_header(headers: Headers, name: bytes) -> bytes | None:
    """Return the first value of a header field; the name is in lower case."""
    for field_name, value in headers:
        if field_name == name:
            return value
    return None


def strip_hop_by_hop_headers(headers: Headers) -> Headers:
    """Return the header fields that are forwarded on the next connection.

    Examples
    --------
    >>> headers = [(b"connection", b"x-a"), (b"x-a", b"1"), (b"x-b", b"2")]
    >>> strip_hop_by_hop_headers(headers)
    [(b'x-b', b'2')]
    """
    named: set[bytes] = set()
    for name, value in headers:
        if name == b"connection":
            named.update(option.strip().lower() for option in value.split(b","))
    if not named:
        return [item for item in headers if item[0] not in _HOP_BY_HOP]
    return [
        item
        for item in headers
        if item[0] not in _HOP_BY_HOP
        and (
            item[0] not in named
            or item[0] in _PROTECTED
            or item[0].startswith(_PROTECTED_PREFIX)
        )
    ]


def parse_body_length(headers: Headers) -> int | None | ErrorResult:
    """Return the body length that header fields declare.

    Returns
    -------
    length : int, None or ErrorResult
        In bytes; -1 for chunked, None if the fields declare no body.
        ``BAD_REQUEST`` if they are ambiguous: two servers that resolve the
        ambiguity differently would disagree on where the next message starts.
    """
    lengths = []
    codings = []
    for name, value in headers:
        if name == b"content-length":
            lengths.append(value)
        elif name == b"transfer-encoding":
            codings.append(value)
    if codings:
        if lengths:
            return _bad_request("Content-Length with Transfer-Encoding")
        if len(codings) > 1 or codings[0].strip().lower() != b"chunked":
            return _bad_request("Transfer-Encoding other than chunked")
        return -1
    if not lengths:
        return None
    if len(lengths) > 1 or not lengths[0].isdigit():
        return _bad_request("Content-Length is not one number")
    return int(lengths[0])


def _bad_request(reason: str) -> ErrorResult:
    return ErrorResult(ErrorKind.BAD_REQUEST, reason)


def format_fields(headers: Iterable[tuple[bytes, bytes]]) -> bytes:
    """Return header fields as lines of a message head."""
    return b"".join([b"%b: %b\r\n" % (name, value) for name, value in headers])


def format_status_line(status: int) -> bytes:
    r"""Return the status line of a response.

    Examples
    --------
    >>> format_status_line(404)
    b'HTTP/1.1 404 Not Found\r\n'
    >>> format_status_line(499)
    b'HTTP/1.1 499 -\r\n'
    """
    return _STATUS_LINES.get(status) or b"HTTP/1.1 %d -\r\n" % status


def format_length(length: int | None) -> bytes:
    """Return the framing field for a body length; -1 is chunked, None no body."""
    if length is None:
        return b""
    if length < 0:
        return b"transfer-encoding: chunked\r\n"
    return b"content-length: %d\r\n" % length


def format_chunk(data: bytes) -> bytes:
    r"""Return data as one chunk of the chunked transfer coding.

    Examples
    --------
    >>> format_chunk(b"hello")
    b'5\r\nhello\r\n'
    """
    return b"%x\r\n%b\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
