"""Logs of several nodes lead from a request's identifier to its cause."""

import json
import re
from pathlib import Path

import pytest

from bamboocove.cli import main
from bamboocove.sidecar.catalogue import EVENTS_BY_NAME, format_events_table
from bamboocove.sidecar.logs import MAX_LINES_PER_EVENT_PER_S, LogWriter
from bamboocove.tracing import explain_request, parse_log, trace_request
from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, format_call, make_config

ROOT = Path(__file__).parent.parent


def make_line(time, event, **fields):
    return json.dumps({"t": time, "n": 1, "event": event, **fields})


def test_lines_of_all_nodes_are_joined_with_what_was_believed():
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


def test_log_is_bounded_and_says_what_it_left_out():
    """Guards against a storm of failures that fills the log."""
    written = []
    now = [100.0]
    state = LogWriter(written.append, lambda: now[0])
    for _ in range(10 * MAX_LINES_PER_EVENT_PER_S):
        state.log("link.down", {"host": "b"})
    state.log("link.up", {"host": "b"})
    assert len(written) == MAX_LINES_PER_EVENT_PER_S + 1
    now[0] = 101.0
    state.log("link.up", {"host": "b"})
    left_out = json.loads(written[-2])
    assert (left_out["of"], left_out["lines"]) == (
        "link.down",
        9 * MAX_LINES_PER_EVENT_PER_S,
    )


def test_full_pipe_drops_lines_and_counts_them():
    """Guards against a log that stops the node."""

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
            names.update(re.findall(r'\blog\(\s*"([a-z.-]+)"', text))
    assert names | {"log.left-out"} == set(EVENTS_BY_NAME)


def test_operations_page_has_the_catalogue():
    page = (ROOT / "docs" / "OPERATIONS.md").read_text(encoding="utf-8")
    assert format_events_table() in page


def play_overload(mesh, caller, target):
    held = []
    target.request_handler = held.append
    sockets = [caller.open(format_call("/read/1", attempt=f"h{i}")) for i in range(4)]
    run_reactor_until(lambda: len(held) == 4)
    target.node.inbound.queue.service_times.mean_s = 5.0
    caller.call(attempt="asked")
    for socket in sockets:
        socket.close()
    return "not run: queue is full (overloaded, host h1)"


def play_unknown_outcome(mesh, caller, target):
    target.request_handler = target.worker.lose
    caller.call("/pay/1", "POST", b"1", attempt="asked")
    return "it may have run"


def play_leaving_worker(mesh, caller, target):
    target.report("draining")
    run_reactor_until(lambda: not caller.node.fleet.get_views("orders"))
    caller.call(attempt="asked")
    return "not run: no worker may be asked (no_upstream"


@pytest.mark.parametrize(
    "play", [play_overload, play_unknown_outcome, play_leaving_worker]
)
def test_tool_names_the_cause_of_a_failed_request(play, tmp_path, capfd):
    """Guards against a failure that on-call engineers cannot explain."""
    mesh = HostMesh()
    mesh.store.put_config(make_config(read={"orders": 1}, pay={"orders": 1}))
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    try:
        expected = play(mesh, caller, target)
    finally:
        mesh.close()
    path = tmp_path / "node.log"
    path.write_text(capfd.readouterr().out)
    assert main(["bamboocove", "trace", "asked", str(path)]) == 0
    assert expected in capfd.readouterr().out.splitlines()[-1]
    assert main(["bamboocove", "trace", "--json", "asked", str(path)]) == 0
    assert expected in json.loads(capfd.readouterr().out)["cause"]


def test_unknown_request_and_missing_file_are_said(tmp_path, capfd):
    path = tmp_path / "node.log"
    path.write_text("")
    assert main(["bamboocove", "trace", "none", str(path)]) == 1
    assert "no line about none" in capfd.readouterr().out
    assert main(["bamboocove", "trace", "none", str(tmp_path / "gone")]) == 1
