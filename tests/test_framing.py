"""Header fields that are passed on, and body framing."""

import pytest

from bamboocove.errors import ErrorKind
from bamboocove.transport.framing import find_length, strip_headers


def test_removes_hop_by_hop_fields():
    """Guards against connection fields that reach the next connection."""
    headers = [
        (b"connection", b"X-Private, keep-alive"),
        (b"keep-alive", b"timeout=5"),
        (b"x-private", b"1"),
        (b"te", b"trailers"),
        (b"transfer-encoding", b"chunked"),
        (b"upgrade", b"h2c"),
        (b"proxy-authorization", b"x"),
        (b"expect", b"100-continue"),
        (b"x-kept", b"1"),
    ]
    assert strip_headers(headers) == [(b"x-kept", b"1")]


def test_callers_cannot_have_decisive_fields_removed():
    """Guards against a Connection field that drops the idempotency key."""
    headers = [
        (b"connection", b"idempotency-key, bamboocove-service, host"),
        (b"host", b"h"),
        (b"idempotency-key", b"k"),
        (b"bamboocove-service", b"orders"),
    ]
    assert strip_headers(headers) == headers[1:]


@pytest.mark.parametrize(
    "headers",
    [
        [(b"content-length", b"5"), (b"transfer-encoding", b"chunked")],
        [(b"content-length", b"5"), (b"content-length", b"5")],
        [(b"content-length", b"5, 5")],
        [(b"content-length", b"")],
        [(b"content-length", b"\xb2")],
        [(b"transfer-encoding", b"gzip, chunked")],
        [(b"transfer-encoding", b"chunked"), (b"transfer-encoding", b"chunked")],
    ],
)
def test_refuses_ambiguous_framing(headers):
    """Guards against two servers that disagree on where a message ends."""
    assert find_length(headers).kind is ErrorKind.BAD_REQUEST


def test_finds_the_length():
    """Guards against a body that is taken for absent, or the other way round."""
    assert find_length([]) is None
    assert find_length([(b"content-length", b"0")]) == 0
    assert find_length([(b"transfer-encoding", b"Chunked")]) == -1
