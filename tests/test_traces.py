"""Tests of trace files: writing, reading and validation."""

from bamboocove.errors import ErrorKind
from bamboocove.measures import FAULTS, VERSIONS, Case, make_trace
from bamboocove.traces import read_trace, write_trace


def test_written_traces_are_read_back_unchanged(tmp_path):
    # Guards against a written trace that replays differently from the original.
    for version in VERSIONS:
        for fault in FAULTS:
            records = make_trace(Case("shutterbook", version, fault, 1))
            write_trace(tmp_path / "trace.jsonl", records)
            assert read_trace(tmp_path / "trace.jsonl") == records


def test_invalid_traces_are_refused_with_the_line_number(tmp_path):
    # Guards against a truncated or wrongly edited trace that is read without error.
    path = tmp_path / "trace.jsonl"
    write_trace(path, make_trace(Case("shutterbook", "good", "quiet", 1)))
    lines = path.read_text().splitlines()
    for damaged in (
        [*lines[:2], '["Header"'],
        [*lines[:2], '["Nothing", {}]'],
        [*lines[:2], '["Calls", {"at": "x"}]'],
        [*lines[:2], "7"],
    ):
        path.write_text("\n".join(damaged))
        result = read_trace(path)
        assert result.kind == ErrorKind.INVALID_MESSAGE
        assert ":3:" in result.reason
    path.write_text("\n".join(lines[1:]))
    assert read_trace(path).kind == ErrorKind.INVALID_MESSAGE
    path.write_text("")
    assert read_trace(path).kind == ErrorKind.INVALID_MESSAGE
