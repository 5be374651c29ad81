"""Tests of the command-line tool: output, exit statuses, and requests not resent."""

import json
import os
import signal
import socket
import subprocess
import sys
import threading
import tracemalloc
from contextlib import contextmanager
from pathlib import Path

import pytest

from bamboocove.cli import main
from bamboocove.cli_client import EXIT_INTERRUPTED
from bamboocove.errors import ErrorKind
from bamboocove.events import EVENTS_BY_NUMBER
from bamboocove.protocol.text_source import MAX_TEXT_BYTES
from tests.fake_node import MOVE_TEXT, TEXT, UNKNOWN_OUTCOME_AUTHOR

UNREACHABLE_URL = "http://127.0.0.1:1"
TIMEOUT_S = 30


def run(capsys, *arguments):
    """Run a command in this process; only for commands that contact no node."""
    status = main(["bamboocove", *map(str, arguments)])
    captured = capsys.readouterr()
    return status, captured.out, captured.err


def start_tool(*arguments, env=None):
    return subprocess.Popen(
        [sys.executable, "-m", "bamboocove.cli", *map(str, arguments)],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, **(env or {})},
    )


def run_tool(*arguments, env=None):
    """Run a command in a subprocess, since a reactor runs only once per process."""
    process = start_tool(*arguments, env=env)
    out, err = process.communicate(timeout=TIMEOUT_S)
    assert "Traceback" not in err
    return process.returncode, out, err


@contextmanager
def start_node():
    """Start a fake node on the loopback interface and yield its admin URL."""
    process = subprocess.Popen(
        [sys.executable, "-m", "tests.fake_node"], stdout=subprocess.PIPE, text=True
    )
    try:
        admin_port, _ = process.stdout.readline().split()
        yield f"http://127.0.0.1:{admin_port}"
    finally:
        process.kill()
        process.communicate()


@pytest.fixture(scope="module")
def node():
    """Yield the URL of a fake node that is shared by tests that change nothing."""
    with start_node() as url:
        yield url


@pytest.fixture
def fresh_node():
    with start_node() as url:
        yield url


@pytest.fixture
def lossy_node():
    """Yield a server that closes each connection after its request, and its requests.

    The first item is the URL, the second the list of received requests.
    """
    requests = []
    listener = socket.create_server(("127.0.0.1", 0))
    listener.settimeout(TIMEOUT_S)

    def serve():
        try:
            while True:
                connection, _ = listener.accept()
                with connection:
                    requests.append(connection.recv(65536))
        except OSError:
            return

    thread = threading.Thread(target=serve, daemon=True)
    thread.start()
    yield f"http://127.0.0.1:{listener.getsockname()[1]}", requests
    listener.shutdown(socket.SHUT_RDWR)
    listener.close()
    thread.join()


@pytest.fixture
def text(tmp_path):
    path = tmp_path / "text.yaml"
    path.write_bytes(TEXT)
    return path


@pytest.fixture
def move_text(tmp_path):
    path = tmp_path / "move.yaml"
    path.write_bytes(MOVE_TEXT)
    return path


def test_check_prints_the_summary_of_a_text(capsys, move_text):
    status, out, err = run(capsys, "check", move_text)
    assert (status, err) == (0, "")
    assert "service a v1 depends on nothing" in out
    assert "move a-v2-20991205T0500" in out


def test_check_prints_the_dependencies_of_a_route(capsys):
    path = Path(__file__).parent.parent / "examples" / "shutterbook.yaml"
    status, out, _ = run(capsys, "check", path)
    assert status == 0
    assert "5 s, calls billing-core/tax-rates, billing-core/clients" in out


def test_check_prints_every_error_with_file_line_and_column(capsys, tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("tenant: a b\nservices: {a: {version: v/1}}\n")
    status, out, _ = run(capsys, "check", path)
    assert status == 1
    first, second = out.splitlines()
    assert first.startswith(f"{path}:1:9: tenant: 'a b' is not a name; use ")
    assert second.startswith(f"{path}:2:25: version: 'v/1' is not a version; use ")


def test_check_prints_problems_as_json(capsys, tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("tenant: a b\nservices: {a: {version: v1}}\n")
    status, out, _ = run(capsys, "check", path, "--json")
    assert status == 1
    (problem,) = json.loads(out)["problems"]
    assert (problem["line"], problem["column"], problem["word"]) == (1, 9, "a b")


def test_check_prints_cleo_style_tags_verbatim(capsys, tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_text("tenant: <info>x</info>\nservices: {a: {version: v1}}\n")
    assert "'<info>x</info>'" in run(capsys, "check", path)[1]


def test_check_warns_of_a_past_deadline_because_the_move_may_have_ended(
    capsys, tmp_path
):
    path = tmp_path / "text.yaml"
    path.write_bytes(MOVE_TEXT.replace(b"2099-", b"2020-"))
    status, out, _ = run(capsys, "check", path)
    assert status == 0
    assert "warning: deadline 2020-12-05T05:00:00Z of a is in the past" in out


def test_check_refuses_an_oversized_file_without_reading_it(capsys, tmp_path):
    path = tmp_path / "big.yaml"
    with path.open("wb") as file:
        file.truncate(50 * MAX_TEXT_BYTES)
    tracemalloc.start()
    status, out, _ = run(capsys, "check", path)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert peak < 2 * MAX_TEXT_BYTES
    assert status == 1
    assert f"text has {50 * MAX_TEXT_BYTES} bytes" in out


@pytest.mark.parametrize(
    "arguments",
    [
        ["check"],
        ["check", "a", "b"],
        ["frob"],
        ["events", "--frob"],
        ["status"],
        ["status", "--node", "localhost"],
        ["status", "--node", "http://h:99999"],
        ["status", "--node", "ftp://h"],
        ["apply", "x", "--base", "last"],
        ["history", "--after", "x", "--node", UNREACHABLE_URL],
        ["call", "a", "x", "--node", UNREACHABLE_URL],
        ["call", "a b", "/x", "--node", UNREACHABLE_URL],
        ["call", "a", "/x", "--node", UNREACHABLE_URL, "--key", "a\r\nb: c"],
        ["call", "a", "/x", "--node", UNREACHABLE_URL, "--method", "G T"],
        ["call", "a", "/x", "--node", UNREACHABLE_URL, "--deadline-ms", "0"],
        ["call", "a", "/x", "--via", "h:80"],
    ],
)
def test_usage_error_exits_with_2_and_one_line(capsys, monkeypatch, arguments):
    monkeypatch.delenv("BAMBOOCOVE_NODES", raising=False)
    status, out, err = run(capsys, *arguments)
    assert (status, out) == (2, "")
    assert err.startswith("error: ")
    assert err.count("\n") == 1


def test_apply_requires_author_if_the_user_has_no_name(capsys, monkeypatch, text):
    """``getpass.getuser`` raises KeyError for a user id without a passwd entry."""

    def fail():
        raise KeyError("uid not found")

    monkeypatch.setattr("getpass.getuser", fail)
    status, _, err = run(
        capsys, "apply", text, "--base", "1", "--node", UNREACHABLE_URL
    )
    assert (status, "--author" in err) == (2, True)


def test_missing_file_is_an_error(capsys, tmp_path):
    status, _, err = run(capsys, "check", tmp_path / "none.yaml")
    assert status == 1
    assert "No such file" in err


def test_events_prints_the_whole_catalogue(capsys):
    status, out, _ = run(capsys, "events")
    assert status == 0
    assert [int(line[2:5]) for line in out.splitlines()] == list(EVENTS_BY_NUMBER)


@pytest.mark.parametrize("word", ["505", "BC505", "bc505"])
def test_explain_prints_the_action_for_an_event_number(capsys, word):
    status, out, _ = run(capsys, "explain", word)
    assert status == 0
    assert EVENTS_BY_NUMBER[505].action in out


def test_explain_of_an_unknown_event_number_is_an_error(capsys):
    assert run(capsys, "explain", "999")[0] == 1


def test_applied_edit_is_shown_and_a_stale_base_conflicts(fresh_node, move_text, text):
    """Applies an edit and reads it back; a second edit on the old base conflicts."""
    node = fresh_node
    status, out, _ = run_tool("check", move_text, "--node", node)
    assert status == 0
    assert "move a-v2-20991205T0500 added" in out

    status, out, _ = run_tool("apply", move_text, "--base", "1", "--node", node)
    assert status == 0
    assert "in force as revision 2" in out
    assert "warning: no worker announces a v2 yet" in out

    # An edit on an outdated base gets the current revision, author and difference.
    arguments = ("apply", text, "--base", "1", "--author", "bor", "--node", node)
    status, out, _ = run_tool(*arguments)
    assert status == 1
    assert "changed the text at revision 2" in out
    assert "waiting -> reverted (withdrawn)" in out
    assert "--base 2" in out

    status, out, _ = run_tool("moves", "--node", node)
    assert (status, "v1 -> v2, waiting, share 0%" in out) == (0, True)
    status, out, _ = run_tool("status", "--node", node, "--json")
    assert (status, json.loads(out)["text_revision"]) == (0, 2)


def test_apply_without_base_prints_the_revision_and_changes_nothing(node, move_text):
    """Defaulting to the current revision would silently revert others' edits."""
    status, _, err = run_tool("apply", move_text, "--node", node)
    assert status == 2
    assert "text revision is 1" in err
    status, out, _ = run_tool("moves", "--node", node)
    assert out == "no moves\n"


def test_apply_prints_the_problems_that_the_node_finds(node, tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_bytes(TEXT.replace(b"v1", b"v2"))
    status, out, _ = run_tool("apply", path, "--base", "1", "--node", node)
    assert status == 1
    assert out.startswith(f"{path}:2:25: version of a changes from v1 to v2")


def test_check_against_a_node_prints_the_problems_that_apply_would_find(node, tmp_path):
    path = tmp_path / "bad.yaml"
    path.write_bytes(TEXT.replace(b"v1", b"v2"))
    status, out, _ = run_tool("check", path, "--node", node)
    assert status == 1
    assert "changes from v1 to v2 without a move" in out


def test_apply_with_unknown_outcome_says_it_may_be_in_force(node, move_text):
    arguments = ("apply", move_text, "--base", "1", "--author", UNKNOWN_OUTCOME_AUTHOR)
    status, _, err = run_tool(*arguments, "--node", node)
    assert status == 1
    assert "it may be in force" in err
    assert "store_unknown" in err


def test_explain_escapes_a_question_mark_in_the_move_id(node):
    status, _, err = run_tool("explain", "m1?x", "--node", node)
    assert (status, "no move 'm1?x'" in err) == (1, True)


def test_history_and_explain(node):
    status, out, _ = run_tool("history", "--after", "4", "--node", node)
    assert (status, out.splitlines()[0]) == (0, "5 2026-12-04T12:00:00Z ana: first")
    status, out, _ = run_tool("explain", "m1", "--node", node)
    assert (status, "BC501" in out) == (0, True)
    status, _, err = run_tool("explain", "no/such move", "--node", node)
    assert status == 1
    assert "not_found" in err


def test_next_node_is_tried_when_one_cannot_be_reached(node):
    status, out, _ = run_tool("status", "--node", UNREACHABLE_URL, "--node", node)
    assert (status, "text_revision: 1" in out) == (0, True)


def test_nodes_may_be_named_in_the_environment(node):
    env = {"BAMBOOCOVE_NODES": f"{UNREACHABLE_URL} {node}"}
    assert run_tool("status", env=env)[0] == 0


def test_every_node_that_cannot_be_reached_is_named():
    other = "http://127.0.0.2:1"
    status, out, err = run_tool("status", "--node", UNREACHABLE_URL, "--node", other)
    assert (status, out) == (1, "")
    assert "no node can be reached" in err
    assert UNREACHABLE_URL in err
    assert other in err


def test_apply_without_a_reply_is_not_resent_to_the_next_node(
    lossy_node, node, move_text
):
    """The first node may have published the text before its reply was lost."""
    lossy, requests = lossy_node
    arguments = ("apply", move_text, "--base", "1", "--node", lossy, "--node", node)
    status, _, err = run_tool(*arguments)
    assert status == 1
    assert "outcome is unknown" in err
    assert len(requests) == 1
    assert run_tool("moves", "--node", node)[1] == "no moves\n"


def test_call_sends_its_options_and_prints_the_answer(node):
    arguments = ["call", "a", "/x?y=%20z", "--method", "post", "--body", "hello"]
    arguments += ["--key", "k1", "--deadline-ms", "500", "--node", node]
    status, out, _ = run_tool(*arguments)
    assert status == 0
    assert out.splitlines() == ["status 200", "POST /x?y=%20z a k1 500 hello"]


def test_call_prints_the_error_kind_and_whether_it_ran(node):
    status, out, _ = run_tool("call", "a", "/none", "--node", node)
    assert status == 1
    expected = ["status 404", "error no_route, run not-run", "do not repeat it"]
    assert out.splitlines()[:3] == expected
    status, out, _ = run_tool("call", "a", "/none", "--node", node, "--json")
    body = json.loads(out)
    assert (body["error"], body["retryable"]) == (ErrorKind.NO_ROUTE.value, False)


def test_call_is_not_resent_after_a_lost_reply(lossy_node):
    """Guards against a client that retries a GET: a call that was sent may have run."""
    lossy, requests = lossy_node
    status, _, err = run_tool("call", "a", "/x", "--via", lossy)
    assert status == 1
    assert "outcome is unknown" in err
    assert len(requests) == 1


def test_answer_that_is_not_json_is_an_error(node):
    _, out, _ = run_tool("status", "--node", node, "--json")
    call_port = json.loads(out)["call_port"]
    url = f"http://127.0.0.1:{call_port}"
    status, _, err = run_tool("status", "--node", url)
    assert status == 1
    assert "is it an admin port?" in err


def test_answer_with_unexpected_json_is_an_error(node):
    """Another release of the node, or another server, may return different JSON."""
    _, out, _ = run_tool("status", "--node", node, "--json")
    call_port = json.loads(out)["call_port"]
    url = f"http://127.0.0.1:{call_port}/json"
    status, _, err = run_tool("history", "--node", url)
    assert status == 1
    assert "not as expected" in err


def test_interrupt_ends_with_130_and_without_a_traceback():
    """Sends SIGINT while the tool waits for a server that never replies."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        listener.settimeout(TIMEOUT_S)
        url = f"http://127.0.0.1:{listener.getsockname()[1]}"
        process = start_tool("history", "--node", url)
        connection, _ = listener.accept()
        with connection:
            process.send_signal(signal.SIGINT)
            out, err = process.communicate(timeout=TIMEOUT_S)
    assert (process.returncode, out) == (EXIT_INTERRUPTED, "")
    # Stopping the reactor closes the connection, which may be reported in one line.
    assert err.count("\n") <= 1
    assert "Traceback" not in err


def test_interrupt_status_follows_the_shell_convention():
    assert EXIT_INTERRUPTED == 130
