"""Forwarded header fields and body framing."""

import pytest

from bamboocove.errors import ErrorKind
from bamboocove.transport.framing import parse_body_length, strip_hop_by_hop_headers


def test_hop_by_hop_fields_are_removed():
    """Guards against connection fields that are forwarded to the next connection."""
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
    assert strip_hop_by_hop_headers(headers) == [(b"x-kept", b"1")]


def test_connection_field_does_not_remove_protected_fields():
    """Guards against a Connection field that drops the idempotency key."""
    headers = [
        (b"connection", b"idempotency-key, bamboocove-service, host"),
        (b"host", b"h"),
        (b"idempotency-key", b"k"),
        (b"bamboocove-service", b"orders"),
    ]
    assert strip_hop_by_hop_headers(headers) == headers[1:]


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
def test_ambiguous_framing_is_refused(headers):
    """Guards against two servers that disagree on where a message ends."""
    assert parse_body_length(headers).kind is ErrorKind.BAD_REQUEST


def test_body_length_is_parsed():
    """Guards against a body that is mistaken for absent, or the reverse."""
    assert parse_body_length([]) is None
    assert parse_body_length([(b"content-length", b"0")]) == 0
    assert parse_body_length([(b"transfer-encoding", b"Chunked")]) == -1
