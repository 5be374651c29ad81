"""Connections of soak clients that pipeline report each request once, in order."""

import pytest
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from soak.pipelines import PipelineConnection, parse_response
from soak.records import ClientRequest

ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nab"
LAST_ANSWER = b"HTTP/1.1 503 X\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"


def make_request(number):
    return ClientRequest(f"h-{number}", "h", "read", "/x", "", 1, 0.0, is_sent=False)


def connect():
    """Return a connection, its clock and transport, and the ends of its requests."""
    ends, clock = [], Clock()
    connection = PipelineConnection(
        clock, False, lambda request, result: ends.append((request, result))
    )
    transport = StringTransport()
    transport.setTcpNoDelay = lambda is_enabled: None
    connection.makeConnection(transport)
    return connection, clock, transport, ends


@pytest.mark.parametrize("length", range(len(ANSWER)))
def test_incomplete_response_is_not_parsed(length):
    """Guards against a cut response that looks complete."""
    assert parse_response(ANSWER[:length]) is None


def test_responses_belong_to_requests_in_order():
    connection, _, _, ends = connect()
    requests = [make_request(number) for number in range(3)]
    connection.send([(b"x", request) for request in requests], 0.0)
    data = ANSWER + LAST_ANSWER
    for index in range(len(data)):
        connection.dataReceived(data[index : index + 1])
    assert [request for request, _ in ends] == requests[:2]
    assert [result.status for _, result in ends] == [200, 503]
    assert not connection.is_idle
    connection.connectionLost(Failure(ConnectionDone("closed")))
    assert ends[2][0] is requests[2]
    assert isinstance(ends[2][1], str)


def test_nothing_is_sent_after_the_last_response():
    """Guards against a request that is taken for lost though it came after a close."""
    connection, clock, transport, _ = connect()
    requests = [make_request(number) for number in range(2)]
    connection.send([(b"a", requests[0]), (b"b", requests[1])], 0.1)
    connection.dataReceived(LAST_ANSWER)
    clock.advance(0.1)
    assert transport.value() == b"a"
    assert not requests[1].is_sent


def test_request_counts_as_sent_with_its_last_part():
    """Guards against a request that is taken for lost before it was written."""
    connection, clock, transport, ends = connect()
    requests = [make_request(number) for number in range(2)]
    parts = [(b"a", None), (b"b", requests[0]), (b"c", requests[1])]
    connection.send(parts, 0.1)
    assert not requests[0].is_sent
    clock.advance(0.1)
    assert transport.value() == b"ab"
    assert (requests[0].is_sent, requests[0].sent_at) == (True, 0.1)
    connection.connectionLost(Failure(ConnectionDone("closed")))
    clock.advance(0.1)
    assert transport.value() == b"ab"
    assert not requests[1].is_sent
    assert [request for request, _ in ends] == requests
