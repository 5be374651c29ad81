"""Tests of the encoding of messages between nodes."""

from hypothesis import given, settings
from hypothesis import strategies as st

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.messages import (
    ConfigDeltas,
    EvidenceReport,
    Heartbeat,
    Hello,
    MemberAges,
    decode_message,
    encode_message,
)
from bamboocove.state.config import Config, Service, make_delta
from bamboocove.state.evidence import Evidence, OutcomeCounts
from bamboocove.state.members import Member, WorkerRecord

WORKER = WorkerRecord("orders", "v1", "127.0.0.1", 9000, 12, 120)
MEMBER = Member("n1", 1, 2, "a", "r", "127.0.0.1", 7000, workers=(WORKER,))


def test_messages_round_trip():
    """Guards against fields that are lost or changed by encoding."""
    new = Config(2, "t", services_by_name={"a": Service("a", "v1", ("a",))})
    evidence = Evidence(
        "m", "n1", 2, "r", "normal", 1.0, 1.0, OutcomeCounts(5, 1, 0), OutcomeCounts()
    )
    for message in (
        Hello(MEMBER, 3, 2),
        Heartbeat(3, -1.0, 99),
        MemberAges({"n1": MEMBER.age_key}),
        ConfigDeltas((make_delta(Config(1), new),)),
        EvidenceReport((evidence,)),
    ):
        assert decode_message(encode_message(message)) == message


@settings(derandomize=True, max_examples=300)
@given(st.binary(max_size=80))
def test_arbitrary_bytes_never_raise(data):
    """Guards against a malformed frame that terminates a peer's link task."""
    message = decode_message(data)
    assert isinstance(message, ErrorResult)


def test_message_with_a_missing_field_is_refused():
    """Guards against a message that is decoded without a required field."""
    data = encode_message(Heartbeat(3, 1.0, 9)).replace(b"revision", b"nevision")

    result = decode_message(data)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.INVALID_MESSAGE
