"""Guards the admin interface: statuses, headers, limits and bad requests."""

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
from bamboocove.transport.admin import MAX_DROPPED_BYTES, AdminServer
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
    """A response as it was written to the transport."""

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
    """Speaks HTTP/1.1 to the site without a socket."""

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


def test_every_error_kind_has_an_answer():
    assert set(ERROR_RESPONSES) == set(ErrorKind)


@pytest.mark.parametrize("kind", ErrorKind)
def test_every_error_kind_is_answered_as_the_table_says(client, kind):
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


def test_status_names_the_base_of_an_edit(client):
    client.node.config = evolve(client.node.config, revision=9)
    body = client.send("GET", "/status").body
    assert body == {"tenant": "t", "revision": 9, "text_revision": 1, "node": "n1"}


def test_config_can_be_read_back(client):
    body = client.send("GET", "/config").body
    assert from_plain(Config, body) == client.node.config


def test_moves_lists_open_ones_first(client):
    client.send("POST", "/config?base=1&author=ana", MOVE_TEXT)
    open_move = client.node.config.get_open_moves()[0]
    ended = evolve(open_move, move_id="a-v0-x", phase="done")
    moves = {ended.move_id: ended, open_move.move_id: open_move}
    client.node.config = evolve(client.node.config, moves_by_id=moves)
    body = client.send("GET", "/moves").body
    assert [move["phase"] for move in body] == ["waiting", "done"]


def test_history_leaves_out_the_binary_delta(client):
    (record,) = client.send("GET", "/history?after=4").body
    assert (record["revision"], record["events"]) == (5, ["BC701 x"])
    assert "delta" not in record


def test_explain_answers_events_or_that_there_is_no_such_move(client):
    assert client.send("GET", "/explain/m1").body[0]["text"] == "BC501 x"
    assert client.send("GET", "/explain/m2").status == 404


def test_text_is_applied(client):
    response = client.send("POST", "/config?base=1&author=ana", MOVE_TEXT)
    assert response.status == 200
    assert response.body["revision"] == 2
    assert response.body["difference"] == [
        "move a-v2-20261205T0500 added: a v1 -> v2 by 2026-12-05T05:00:00Z"
    ]
    assert "no worker announces a v2 yet" in " ".join(response.body["warnings"])


def test_loser_of_a_race_sees_who_won_and_the_difference(client):
    """Two operators start from text revision 1 and apply one after the other."""
    client.send("POST", "/config?base=1&author=ana", MOVE_TEXT)
    won = client.node.config
    response = client.send("POST", "/config?base=1&author=bor", TEXT)
    assert response.status == 409
    assert response.headers["bamboocove-error"] == "conflict"
    assert response.body["revision"] == 2
    assert response.body["author"] == "ana"
    assert response.body["difference"] == [
        "move a-v2-20261205T0500: waiting -> reverted (withdrawn)"
    ]
    assert client.node.config is won


def test_problems_of_a_text_are_answered_with_places(client):
    response = client.send("POST", "/config?base=1&author=ana", b"tenant: t\n")
    assert response.status == 422
    (problem,) = response.body["problems"]
    assert (problem["line"], problem["column"]) == (1, 1)
    assert problem["remedy"] == "add services:"


def test_lost_store_answer_is_not_reported_as_not_run(client):
    """The text may be in force; a second attempt must look first."""
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
def test_apply_without_base_or_author_is_refused(client, query):
    response = client.send("POST", f"/config?{query}", MOVE_TEXT)
    assert response.status == 400
    assert response.body["error"] == "bad_request"
    assert client.node.config.revision == 1


def test_disconnected_operator_does_not_stop_a_publication(client):
    """Cancelled half-way, nobody would know whether the text took effect."""
    gate = client.node.result = Deferred()
    channel, transport = client.connect()
    head = "POST /config?base=1&author=ana HTTP/1.1\r\nhost: n\r\ncontent-length: "
    channel.dataReceived(f"{head}{len(MOVE_TEXT)}\r\n\r\n".encode() + MOVE_TEXT)
    channel.connectionLost(Failure(ConnectionDone()))
    assert client.node.config.revision == 1
    gate.callback(None)
    assert client.node.config.revision == 2


def test_worker_is_announced_with_the_host_of_its_node(client):
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
def test_bad_announcement_is_refused(client, changes):
    response = client.announce(**changes)
    assert response.status == 400
    assert next(iter(changes)) in response.body["reason"]
    assert client.node.workers == []


@pytest.mark.parametrize(
    "body", [b"", b"[]", b"{", b"\xff", b"[" * 10_000, b'"a"', b"null"]
)
def test_announcement_that_is_no_object_is_refused(client, body):
    assert client.send("POST", "/workers", body).status == 400


def test_announcement_that_the_node_refuses_is_answered_so(client):
    client.node.result = ErrorResult(ErrorKind.DRAINING, "node drains")
    assert client.announce().status == 503


def test_drain_is_passed_on(client):
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


def test_text_of_the_greatest_size_is_read_without_a_file(client, monkeypatch):
    """Hosts have no disks, so a temporary file cannot be made."""
    monkeypatch.delattr("tempfile.TemporaryFile")
    text = MOVE_TEXT + b"#" * (MAX_TEXT_BYTES - len(MOVE_TEXT))
    assert client.send("POST", "/config?base=1&author=a", text).status == 200


@pytest.mark.parametrize(
    "head", ["content-length: 99999999", "transfer-encoding: chunked"]
)
def test_body_without_end_is_dropped_and_then_cut_off(client, head):
    """Memory stays bounded, and so does the time that a sender can take."""
    channel, transport = client.connect()
    request = f"POST /config?base=1&author=a HTTP/1.1\r\nhost: n\r\n{head}\r\n\r\n"
    channel.dataReceived(request.encode())
    part = b"#" * 1_000_000
    chunk = b"%x\r\n%s\r\n" % (len(part), part) if "chunked" in head else part
    sent = 0
    tracemalloc.start()
    while not transport.disconnected and sent < MAX_DROPPED_BYTES + 10 * len(part):
        channel.dataReceived(chunk)
        sent += len(part)
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert transport.disconnected
    assert peak < 4 * MAX_TEXT_BYTES


@pytest.mark.parametrize("length", [b"x", b"-1", b"1" * 30])
def test_bad_content_length_does_not_reach_the_node(client, length):
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
def test_unknown_requests_are_answered_as_errors(client, method, path, status):
    response = client.send(method, path)
    assert response.status == status
    assert response.headers["bamboocove-run"] == "not-run"
    assert not client.node.drained


def test_fault_in_an_operation_is_answered_without_its_details(client):
    client.node.config = None
    response = client.send("GET", "/status")
    assert response.status == 500
    assert response.headers["bamboocove-run"] == "unknown"
    assert "Attribute" not in json.dumps(response.body)
