"""Tests of request tracing across node logs, and of limits on log output."""

import json
import re
from pathlib import Path

import pytest

from bamboocove.cli import main
from bamboocove.sidecar.catalogue import EVENTS_BY_NAME, format_events_table
from bamboocove.sidecar.logs import MAX_LINES_PER_EVENT_PER_S, WRITER, LogWriter
from bamboocove.sidecar.outbound_request import READINESS_TIMEOUT_S
from bamboocove.tracing import explain_request, parse_log, trace_request
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config

ROOT = Path(__file__).parent.parent
LOG_CALL = re.compile(r'\blog(?:_program_error)?\(\s*"([a-z.-]+)"')


def make_line(time, event, **fields):
    return json.dumps({"t": time, "n": 1, "event": event, **fields})


def test_trace_merges_the_lines_of_all_nodes_with_context_events():
    lines = parse_log(
        "a",
        "\n".join(
            [
                "noise",
                make_line(1.0, "config.applied", version=7),
                make_line(1.1, "host.record", host="b", state="ready"),
                make_line(1.2, "host.record", host="c", state="ready"),
                make_line(
                    2.0,
                    "request.failed",
                    id="x",
                    status=503,
                    kind="overloaded",
                    reason="queue is full",
                    host="b",
                    held_s=0.01,
                ),
                '{"t":3.0,"event":"cut',
            ]
        ),
    )
    lines += parse_log("b", make_line(1.9, "request.turned-away", id="x", wait_s=0.4))
    events = [(line.source, line.event) for line in trace_request(lines, "x")]
    assert events == [
        ("a", "config.applied"),
        ("a", "host.record"),
        ("b", "request.turned-away"),
        ("a", "request.failed"),
    ]
    assert explain_request(lines, "x") == (
        "ended with 503 after 0.01 s, it was not run: queue is full "
        "(overloaded, host b)"
    )


@pytest.mark.parametrize(
    ("status", "has_run"), [(429, False), (401, False), (502, True)]
)
def test_refusals_of_accounts_are_shown_as_not_run(status, has_run):
    """Guards against an account that is told that its request may have run."""
    fields = {"status": status, "held_s": 0.1, "reason": "r", "kind": "k", "host": ""}
    line = make_line(1.0, "request.failed", id="x", **fields)
    explanation = explain_request(parse_log("a", line), "x")
    assert ("may have run" in explanation) == has_run


def test_log_lines_over_the_rate_limit_are_counted():
    """Guards against a burst of failures that floods the log."""
    written_lines = []
    clock = [100.0]
    state = LogWriter(written_lines.append, lambda: clock[0])
    for _ in range(10 * MAX_LINES_PER_EVENT_PER_S):
        state.log("link.down", {"host": "b"})
    state.log("link.up", {"host": "b"})
    assert len(written_lines) == MAX_LINES_PER_EVENT_PER_S + 1
    clock[0] = 101.0
    state.log("link.up", {"host": "b"})
    summary = json.loads(written_lines[-2])
    assert (summary["of"], summary["lines"]) == (
        "link.down",
        9 * MAX_LINES_PER_EVENT_PER_S,
    )


def test_full_pipe_drops_lines_and_counts_them():
    """Guards against a node that blocks or fails when its log pipe is full."""

    def fail(data):
        raise BlockingIOError

    state = LogWriter(fail, lambda: 1.0)
    state.log("link.up", {"host": "b"})
    assert state.dropped_lines == 1


def test_each_event_in_the_code_is_in_the_catalogue():
    names = set()
    for folder in ("sidecar", "platform"):
        for path in (ROOT / "bamboocove" / folder).glob("*.py"):
            text = path.read_text(encoding="utf-8")
            names.update(LOG_CALL.findall(text))
    assert names | {"log.left-out"} == set(EVENTS_BY_NAME)


def test_operations_page_contains_the_event_table():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    assert format_events_table() in page


def cause_overload(mesh, caller, target):
    held_requests = []
    target.request_handler = held_requests.append
    sockets = [caller.open(format_call("/read/1", attempt=f"h{i}")) for i in range(4)]
    run_reactor_until(lambda: len(held_requests) == 4)
    target.node.inbound.queue.service_times.mean_s = 5.0
    caller.call(attempt="asked")
    for socket in sockets:
        socket.close()
    return "not run: queue is full (overloaded, host h1)"


def cause_unknown_outcome(mesh, caller, target):
    target.request_handler = target.worker.lose
    caller.call("/pay/1", "POST", b"1", attempt="asked")
    return "it may have run"


def cause_draining_worker(mesh, caller, target):
    # Its node has been running for some time.
    caller.node.outbound.router.configured_at -= READINESS_TIMEOUT_S
    target.report("draining")
    run_reactor_until(lambda: not caller.node.fleet.get_views("orders"))
    caller.call(attempt="asked")
    return "not run: no worker may be asked (no_upstream"


@pytest.mark.parametrize(
    "cause_failure", [cause_overload, cause_unknown_outcome, cause_draining_worker]
)
def test_trace_command_names_the_cause_of_a_failed_request(
    cause_failure, tmp_path, capfd
):
    """Guards against a failure whose cause cannot be found in the logs."""
    # Tests that ran in the same second may have used up the lines of an event.
    WRITER.counts_by_event.clear()
    mesh = HostMesh()
    mesh.store.put_config(make_config(read={"orders": 1}, pay={"orders": 1}))
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    try:
        expected = cause_failure(mesh, caller, target)
    finally:
        mesh.close()
    path = tmp_path / "node.log"
    path.write_text(capfd.readouterr().out)
    assert main(["bamboocove", "trace", "asked", str(path)]) == 0
    assert expected in capfd.readouterr().out.splitlines()[-1]
    assert main(["bamboocove", "trace", "--json", "asked", str(path)]) == 0
    assert expected in json.loads(capfd.readouterr().out)["cause"]


def test_trace_reports_an_unknown_request_and_a_missing_file(tmp_path, capfd):
    path = tmp_path / "node.log"
    path.write_text("")
    assert main(["bamboocove", "trace", "none", str(path)]) == 1
    assert "no line about none" in capfd.readouterr().out
    assert main(["bamboocove", "trace", "none", str(tmp_path / "gone")]) == 1
