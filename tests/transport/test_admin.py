"""Admin interface: status codes, header fields, size limits and invalid requests."""

import json
import tracemalloc

import pytest
from attrs import evolve
from logbook import TestHandler as LogHandler
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult
from bamboocove.protocol.text_source import MAX_TEXT_BYTES
from bamboocove.state.codec import from_plain
from bamboocove.state.config import Config
from bamboocove.state.members import WorkerRecord
from bamboocove.transport.admin import MAX_DISCARDED_BYTES, AdminServer
from tests.fake_node import MOVE_TEXT, TEXT, FakeNode

ANNOUNCEMENT = {
    "service": "a",
    "version": "v1",
    "port": 8001,
    "slots": 12,
    "connections": 120,
    "state": "ready",
}


class Response:
    """Parses a response that was written to the transport."""

    def __init__(self, data):
        head, _, body = data.partition(b"\r\n\r\n")
        lines = head.decode().split("\r\n")
        self.status = int(lines[0].split()[1])
        self.headers = {
            name.lower(): value
            for name, value in (line.split(": ", 1) for line in lines[1:])
        }
        self.body = json.loads(body) if body else None


class Client:
    """HTTP/1.1 client that is connected to the site without a socket."""

    def __init__(self):
        self.node = FakeNode()
        operations = self.node.make_operations()
        self.clock = Clock()
        self.site = AdminServer(operations, "10.0.0.5", 0, self.clock).make_site()

    def connect(self):
        transport = StringTransport()
        channel = self.site.buildProtocol(None)
        channel.makeConnection(transport)
        return channel, transport

    def send(self, method, path, body=b""):
        channel, transport = self.connect()
        head = f"{method} {path} HTTP/1.1\r\nhost: n\r\nconnection: close\r\n"
        head += f"content-length: {len(body)}\r\n\r\n"
        channel.dataReceived(head.encode() + body)
        return Response(transport.value())

    def announce(self, **changes):
        body = json.dumps({**ANNOUNCEMENT, **changes}).encode()
        return self.send("POST", "/workers", body)


@pytest.fixture
def client():
    return Client()


def test_answers_table_covers_every_error_kind():
    """Guards against a KeyError while an error response is rendered."""
    assert set(ERROR_RESPONSES) == set(ErrorKind)


@pytest.mark.parametrize("kind", ErrorKind)
def test_error_response_follows_the_answers_table(client, kind):
    """Guards against status codes and header fields that differ from ANSWERS."""
    client.node.result = ErrorResult(kind, "why")
    response = client.send("GET", "/history")
    answer = ERROR_RESPONSES[kind]
    assert response.status == answer.status
    assert response.headers["bamboocove-error"] == kind.value
    assert response.headers["bamboocove-run"] == answer.run
    assert response.body["reason"] == "why"
    retry_after = response.headers.get("retry-after")
    expected = str(answer.retry_after_s) if answer.retry_after_s else None
    assert retry_after == expected


def test_status_includes_the_text_revision(client):
    """Guards against edits without a known base revision."""
    client.node.config = evolve(client.node.config, revision=9)
    body = client.send("GET", "/status").body
    assert body == {"tenant": "t", "revision": 9, "text_revision": 1, "node": "n1"}


def test_config_can_be_read_back(client):
    body = client.send("GET", "/config").body
    assert from_plain(Config, body) == client.node.config


def test_moves_are_listed_with_open_ones_first(client):
    client.send("POST", "/config?base=1&author=ana", MOVE_TEXT)
    open_move = client.node.config.get_open_moves()[0]
    ended = evolve(open_move, move_id="a-v0-x", phase="done")
    moves = {ended.move_id: ended, open_move.move_id: open_move}
    client.node.config = evolve(client.node.config, moves_by_id=moves)
    body = client.send("GET", "/moves").body
    assert [move["phase"] for move in body] == ["waiting", "done"]


def test_history_omits_the_binary_delta(client):
    (record,) = client.send("GET", "/history?after=4").body
    assert (record["revision"], record["events"]) == (5, ["BC701 x"])
    assert "delta" not in record


def test_explain_returns_events_or_not_found(client):
    assert client.send("GET", "/explain/m1").body[0]["text"] == "BC501 x"
    assert client.send("GET", "/explain/m2").status == 404


def test_text_is_applied_and_its_changes_are_returned(client):
    response = client.send("POST", "/config?base=1&author=ana", MOVE_TEXT)
    assert response.status == 200
    assert response.body["revision"] == 2
    assert response.body["difference"] == [
        "move a-v2-20991205T0500 added: a v1 -> v2 by 2099-12-05T05:00:00Z"
    ]
    assert "no worker announces a v2 yet" in " ".join(response.body["warnings"])


def test_conflicting_edit_reports_the_current_author_and_the_difference(client):
    """Guards against a lost update: two operators edit text revision 1."""
    client.send("POST", "/config?base=1&author=ana", MOVE_TEXT)
    accepted = client.node.config
    response = client.send("POST", "/config?base=1&author=bor", TEXT)
    assert response.status == 409
    assert response.headers["bamboocove-error"] == "conflict"
    assert response.body["revision"] == 2
    assert response.body["author"] == "ana"
    assert response.body["difference"] == [
        "move a-v2-20991205T0500: waiting -> reverted (withdrawn)"
    ]
    assert client.node.config is accepted


def test_invalid_text_is_answered_with_line_and_column(client):
    response = client.send("POST", "/config?base=1&author=ana", b"tenant: t\n")
    assert response.status == 422
    (problem,) = response.body["problems"]
    assert (problem["line"], problem["column"]) == (1, 1)
    assert problem["remedy"] == "add services:"


def test_lost_store_response_is_reported_as_unknown(client):
    """Guards against a retry that assumes that the text was not applied."""
    client.node.result = ErrorResult(ErrorKind.STORE_UNKNOWN, "lost")
    response = client.send("POST", "/config?base=1&author=ana", TEXT)
    assert response.status == 503
    assert response.headers["bamboocove-run"] == "unknown"
    assert response.body["run"] == "unknown"


def test_outcome_of_an_edit_is_logged_with_its_author(client):
    with LogHandler() as log:
        client.send("POST", "/config?base=1&author=ana", MOVE_TEXT)
        client.send("POST", "/config?base=2&author=ana", MOVE_TEXT)
        client.send("POST", "/config?base=1&author=bor", TEXT)
        client.send("POST", "/config?base=2&author=eva", b"tenant: t\n")
        client.node.result = ErrorResult(ErrorKind.STORE_UNAVAILABLE, "down")
        client.send("POST", "/config?base=2&author=eva", TEXT)
    assert [record.message for record in log.records] == [
        "BC701 text of ana accepted as revision 2",
        "BC702 text of bor refused: ana was first, at revision 2",
        "BC702 text of eva refused: 1 problems, first 1:1: the text has no "
        "services; add services:",
        "BC702 text of eva refused: store_unavailable: down",
    ]


@pytest.mark.parametrize(
    "query",
    [
        "author=ana",
        "base=&author=ana",
        "base=-1&author=ana",
        "base=x&author=ana",
        "base=1&base=2&author=ana",
        "base=%D9%A1&author=ana",
        "base=9999999999999999&author=ana",
        "base=1",
        "base=1&author=",
        "base=1&author=a%0Ab",
        "base=1&author=" + "a" * 64,
    ],
)
def test_apply_without_valid_base_or_author_is_refused(client, query):
    response = client.send("POST", f"/config?{query}", MOVE_TEXT)
    assert response.status == 400
    assert response.body["error"] == "bad_request"
    assert client.node.config.revision == 1


def test_client_disconnect_does_not_cancel_a_publication(client):
    """Guards against a text that is written but whose outcome is never read."""
    pending = client.node.result = Deferred()
    channel, transport = client.connect()
    head = "POST /config?base=1&author=ana HTTP/1.1\r\nhost: n\r\ncontent-length: "
    channel.dataReceived(f"{head}{len(MOVE_TEXT)}\r\n\r\n".encode() + MOVE_TEXT)
    channel.connectionLost(Failure(ConnectionDone()))
    assert client.node.config.revision == 1
    pending.callback(None)
    assert client.node.config.revision == 2


def test_announced_worker_gets_the_host_of_its_node(client):
    assert client.announce().status == 200
    assert client.node.workers == [
        WorkerRecord("a", "v1", "10.0.0.5", 8001, 12, 120, "ready")
    ]


@pytest.mark.parametrize(
    "changes",
    [
        {"service": "a b"},
        {"service": None},
        {"version": ""},
        {"version": 1},
        {"port": 0},
        {"port": 65536},
        {"port": "8001"},
        {"port": True},
        {"port": 1.0},
        {"slots": 0},
        {"connections": 10**9},
        {"state": "asleep"},
        {"state": ["ready"]},
    ],
)
def test_invalid_announcement_is_refused(client, changes):
    response = client.announce(**changes)
    assert response.status == 400
    assert next(iter(changes)) in response.body["reason"]
    assert client.node.workers == []


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{", b"\xff", b"[" * 10_000, b'"a"', b"null"]
)
def test_announcement_that_is_not_a_json_object_is_refused(client, body):
    assert client.send("POST", "/workers", body).status == 400


def test_refusal_by_the_node_is_returned_to_the_worker(client):
    client.node.result = ErrorResult(ErrorKind.DRAINING, "node drains")
    assert client.announce().status == 503


def test_drain_request_starts_the_drain(client):
    assert client.send("POST", "/drain").status == 202
    assert client.node.drained


@pytest.mark.parametrize(
    ("path", "size"),
    [("/workers", 16 * 1024 + 1), ("/config?base=1&author=a", MAX_TEXT_BYTES + 1)],
)
def test_body_over_the_limit_is_refused(client, path, size):
    response = client.send("POST", path, b"#" * size)
    assert response.status == 413
    assert response.body["error"] == "too_large"


def test_text_of_the_maximum_size_is_read_without_a_file(client, monkeypatch):
    """Guards against a temporary file, which fails on hosts without disks."""
    monkeypatch.delattr("tempfile.TemporaryFile")
    text = MOVE_TEXT + b"#" * (MAX_TEXT_BYTES - len(MOVE_TEXT))
    assert client.send("POST", "/config?base=1&author=a", text).status == 200


@pytest.mark.parametrize(
    "head", ["content-length: 99999999", "transfer-encoding: chunked"]
)
def test_endless_body_is_discarded_and_then_aborted(client, head):
    """Guards against unbounded memory and time spent on one sender."""
    channel, transport = client.connect()
    request = f"POST /config?base=1&author=a HTTP/1.1\r\nhost: n\r\n{head}\r\n\r\n"
    channel.dataReceived(request.encode())
    part = b"#" * 1_000_000
    chunk = b"%x\r\n%s\r\n" % (len(part), part) if "chunked" in head else part
    sent = 0
    tracemalloc.start()
    while not transport.disconnected and sent < MAX_DISCARDED_BYTES + 10 * len(part):
        channel.dataReceived(chunk)
        sent += len(part)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert transport.disconnected
    assert peak < 4 * MAX_TEXT_BYTES


@pytest.mark.parametrize("length", [b"x", b"-1", b"1" * 30])
def test_request_with_invalid_content_length_is_not_executed(client, length):
    channel, transport = client.connect()
    channel.dataReceived(
        b"POST /drain HTTP/1.1\r\nhost: n\r\ncontent-length: " + length + b"\r\n\r\n"
    )
    assert not client.node.drained


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("GET", "/nothing", 404),
        ("GET", "/", 404),
        ("GET", "/drain", 400),
        ("DELETE", "/config", 400),
        ("GET", "/history?after=x", 400),
    ],
)
def test_unsupported_requests_are_refused(client, method, path, status):
    response = client.send(method, path)
    assert response.status == status
    assert response.headers["bamboocove-run"] == "not-run"
    assert not client.node.drained


def test_exception_details_are_not_sent_to_the_client(client):
    client.node.config = None
    response = client.send("GET", "/status")
    assert response.status == 500
    assert response.headers["bamboocove-run"] == "unknown"
    assert "Attribute" not in json.dumps(response.body)
