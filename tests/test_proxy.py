"""Calls end to end over loopback sockets."""

import socket

import pytest
from twisted.internet import reactor
from twisted.internet.defer import Deferred

from bamboocove import claims, dispatcher, proxy
from bamboocove.coordination import suspects
from bamboocove.protocol.messages import SuspectNotice
from bamboocove.state.config import Move
from bamboocove.state.snapshot import compile_snapshot
from bamboocove.transport.calls import CallServer
from tests.callpath import (
    Caller,
    FakeTable,
    make_config,
    make_member,
    make_proxy,
    make_table,
    run,
    spin,
)

MOVE = Move("m", "orders", "v1", "v2", 1e12, "stepping", 0.5, 2)
MEGABYTE = b"x" * (1 << 20)


def request(method="GET", path="/orders/1", body=b"", **headers):
    lines = [f"{method} {path} HTTP/1.1", "Host: a", "bamboocove-service: orders"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def confirm(key="k1", body=b"order 1"):
    return request("POST", "/confirmations", body, idempotency_key=key)


class Worker:
    """A worker that echoes the body, or does what a test tells it to."""

    def __init__(self):
        self.exchanges = []
        self.closed = []
        self.answer = self.echo
        self.server = CallServer(self.on_request, 1 << 31, reactor)
        self.listener = reactor.listenTCP(0, self.server, interface="127.0.0.1")
        self.port = self.listener.getHost().port

    def on_request(self, exchange):
        self.exchanges.append(exchange)
        exchange.on_closed = self.closed.append
        self.answer(exchange)

    def echo(self, exchange):
        body = []
        exchange.receive(
            body.append,
            lambda: exchange.respond(
                200, [(b"x-path", exchange.target)], b"".join(body)
            ),
        )

    def wait(self, exchange):
        exchange.receive(lambda data: None, lambda: None)

    def lose(self, exchange):
        exchange.abort()

    def crash(self, exchange):
        self.listener.stopListening()
        exchange.abort()

    def shed(self, exchange):
        exchange.respond(503, [(b"bamboocove-run", b"not-run")], b"busy")

    def close(self):
        self.listener.stopListening()
        for connection in list(self.server.connections):
            connection.abort()


class Mesh:
    """One proxy in front of workers, and callers."""

    def __init__(self):
        self.workers = []
        self.callers = []
        self.notices = []
        self.table = FakeTable()
        self.proxy = None

    def add_worker(self):
        self.workers.append(Worker())
        return self.workers[-1]

    def start(self, *members, moves=(), **options):
        members = members or [
            make_member(index, worker.port) for index, worker in enumerate(self.workers)
        ]
        self.members = make_table(*members)
        self.proxy = make_proxy(
            self.members,
            make_config(moves),
            self.table,
            notices=self.notices,
            **options,
        )
        self.port = run(self.proxy.start())

    def open(self, data=b""):
        caller = Caller(self.port)
        self.callers.append(caller)
        if data:
            caller.send(data)
        return caller

    def call(self, data):
        """Send a request, return the whole response to it."""
        caller = self.open(data)

        def is_complete(received):
            head, _, body = received.partition(b"\r\n\r\n")
            for line in head.lower().split(b"\r\n"):
                if line.startswith(b"content-length: "):
                    return len(body) >= int(line[16:])
            return False

        return caller.read_until(is_complete)

    def get_claim_states(self):
        return [row.value["state"] for row in self.table.rows.values()]

    def close(self):
        for caller in self.callers:
            caller.close()
        for worker in self.workers:
            worker.close()
        if self.proxy is not None:
            run(self.proxy.drain())


@pytest.fixture
def mesh():
    mesh = Mesh()
    yield mesh
    mesh.close()


def get_dead_port():
    with socket.socket() as held:
        held.bind(("127.0.0.1", 0))
        return held.getsockname()[1]


def test_forwards_a_call_and_its_body(mesh):
    """Guards against lost or altered requests and responses."""
    worker = mesh.add_worker()
    mesh.start()
    data = mesh.call(request("PUT", "/orders/1?a=b", b"hello", x_a="1"))
    assert data.startswith(b"HTTP/1.1 200 OK\r\nx-path: /orders/1?a=b\r\n")
    assert data.endswith(b"\r\n\r\nhello")
    assert (b"x-a", b"1") in worker.exchanges[0].headers


def test_streams_large_bodies(mesh):
    """Guards against bodies cut, reordered or refused for their size."""
    mesh.add_worker()
    mesh.start()
    body = bytes(range(256)) * (5 << 12)
    caller = mesh.open()
    data = request("PUT", body=body)

    def send_and_read():
        nonlocal data
        try:
            data = data[caller.socket.send(data) :] if data else data
        except BlockingIOError:
            pass
        caller._read()
        return caller.data.endswith(body)

    spin(send_and_read)


def test_slow_caller_pauses_the_worker(mesh):
    """Guards against a whole response held for a caller that does not read."""
    worker = mesh.add_worker()
    sent = []

    class Source:
        is_paused = False

        def pauseProducing(self):
            self.is_paused = True

        def resumeProducing(self):
            self.is_paused = False
            reactor.callLater(0, self.send)

        def stopProducing(self):
            self.is_paused = True

        def send(self):
            while not self.is_paused and len(sent) < 64:
                sent.append(1)
                worker.exchanges[0].write(MEGABYTE)

    def answer(exchange):
        exchange.start(200, [], 64 << 20)
        source = Source()
        exchange.connection.set_producer(source)
        source.send()

    worker.answer = answer
    mesh.start()
    mesh.open(request())
    ends = []
    reactor.callLater(0.5, ends.append, 1)
    spin(lambda: ends)
    assert 0 < len(sent) < 40


def test_refused_connection_is_retried(mesh):
    """Guards against an error for a call that no worker has seen."""
    worker = mesh.add_worker()
    dead = [make_member(index, get_dead_port()) for index in (1, 2)]
    mesh.start(*dead, make_member(3, worker.port))
    for index in range(3):
        assert mesh.call(confirm(f"k{index}")).startswith(b"HTTP/1.1 200 ")
    assert len(worker.exchanges) == 3


def test_only_a_proven_refusal_is_retried(mesh):
    """Guards against a second run of a request that may have run."""
    first, second = mesh.add_worker(), mesh.add_worker()
    first.answer = first.shed
    mesh.start()
    for _ in range(6):
        assert mesh.call(request()).startswith(b"HTTP/1.1 200 ")
    assert first.exchanges
    for answer in (
        lambda exchange: exchange.respond(503, [], b"plain"),
        lambda exchange: exchange.respond(500, [(b"bamboocove-run", b"not-run")]),
        lambda exchange: exchange.abort(),
    ):
        first.answer = second.answer = answer
        ran = len(first.exchanges) + len(second.exchanges)
        data = mesh.call(request(path="/orders/9"))
        assert data[9:10] == b"5"
        assert b"bamboocove-run: not-run" not in data
        assert len(first.exchanges) + len(second.exchanges) == ran + 1


def test_shed_deferrable_call_is_not_retried(mesh):
    """Guards against deferrable retries at workers that shed load."""
    first, second = mesh.add_worker(), mesh.add_worker()
    first.answer, second.answer = first.shed, second.shed
    mesh.start()
    data = mesh.call(request(path="/reports"))
    assert data.startswith(b"HTTP/1.1 503 ")
    assert len(first.exchanges) + len(second.exchanges) == 1


def test_keyed_call_avoids_idle_connections(mesh, monkeypatch):
    """Guards against an unknown outcome because the worker closed meanwhile."""
    monkeypatch.setattr(dispatcher, "KEYED_IDLE_S", 0.0)
    worker = mesh.add_worker()
    mesh.start()
    mesh.call(request())
    mesh.call(request())
    mesh.call(confirm())
    first, second, third = (held.connection for held in worker.exchanges)
    assert first is second
    assert third is not second
    spin(lambda: len(worker.server.connections) == 1)


def test_refusal_by_all_workers_is_passed_on(mesh):
    """Guards against "unknown" for a request that was certainly not run."""
    worker = mesh.add_worker()
    worker.answer = worker.shed
    mesh.start()
    data = mesh.call(confirm())
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"bamboocove-run: not-run" in data
    assert mesh.get_claim_states() == ["released"], "the key can be used again"


def test_deadline_is_lowered_and_kept(mesh):
    """Guards against work for a caller whose time has passed."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    data = mesh.call(request(bamboocove_deadline_ms=80))
    assert data.startswith(b"HTTP/1.1 504 ")
    assert b"deadline_after_dispatch" in data
    assert b"bamboocove-run: unknown" in data
    passed = dict(worker.exchanges[0].headers)[b"bamboocove-deadline-ms"]
    assert 0 < int(passed) < 80
    spin(lambda: worker.closed)
    data = mesh.call(request(bamboocove_deadline_ms=0))
    assert b"bamboocove-run: not-run" in data
    assert len(worker.exchanges) == 1


def test_deadline_in_the_queue_is_not_run(mesh):
    """Guards against "unknown" for a call that never left the node."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start(make_member(1, worker.port, connections=1))
    mesh.open(request())
    spin(lambda: worker.exchanges)
    data = mesh.call(request(bamboocove_deadline_ms=50))
    assert b"deadline_before_dispatch" in data
    assert b"bamboocove-run: not-run" in data


def test_calls_wait_for_a_free_connection(mesh, monkeypatch):
    """Guards against connections above the worker's limit, and lost waiters."""
    monkeypatch.setattr(proxy, "SWEEP_S", 60.0)
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start(make_member(1, worker.port, connections=1))
    first = mesh.open(request(path="/orders/1"))
    spin(lambda: worker.exchanges)
    second = mesh.open(request(path="/orders/2"))
    spin(lambda: mesh.proxy.in_flight == 2)
    assert len(worker.exchanges) == 1
    worker.answer = worker.echo
    worker.exchanges[0].respond(200, [], b"first")
    assert first.read_until(lambda data: b"first" in data)
    assert b"/orders/2" in second.read_until(lambda data: b"x-path" in data)


def test_closed_caller_cancels_the_request(mesh):
    """Guards against work for a caller that is gone."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(request())
    spin(lambda: worker.exchanges)
    caller.close()
    spin(lambda: worker.closed and not mesh.proxy.in_flight)


def test_late_response_reaches_nobody(mesh):
    """Guards against a caller that gets the response to another request."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    assert b"504" in mesh.call(request(path="/orders/1", bamboocove_deadline_ms=30))
    worker.exchanges[0].respond(200, [(b"x-path", b"late")])
    worker.answer = worker.echo
    for index in range(2, 5):
        data = mesh.call(request(path=f"/orders/{index}"))
        assert f"x-path: /orders/{index}\r\n".encode() in data


def test_head_is_passed_on_before_the_body(mesh):
    """Guards against a stream whose head waits for its first event."""
    worker = mesh.add_worker()

    def answer(exchange):
        exchange.start(200, [(b"x-stream", b"1")], -1)
        exchange.write(b"")

    worker.answer = answer
    mesh.start()
    caller = mesh.open(request())
    assert caller.read_until(lambda data: data.endswith(b"\r\n\r\n"))


def test_slow_worker_pauses_the_caller(mesh):
    """Guards against a whole request held for a worker that does not read."""
    worker = mesh.add_worker()
    worker.answer = lambda exchange: None
    mesh.start(calls__max_body_bytes=str(1 << 30))
    head = request("PUT", content_length=1 << 30)
    caller = mesh.open(head)
    sent = 0
    ends = []
    reactor.callLater(0.5, ends.append, 1)

    def send():
        nonlocal sent
        try:
            sent += caller.socket.send(MEGABYTE)
        except BlockingIOError:
            pass
        return ends

    spin(send)
    assert (1 << 16) < sent < (40 << 20)


def test_body_that_grows_too_large_may_have_run(mesh):
    """Guards against "not run" after a part of the request was dispatched."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start(calls__max_body_bytes="100000")
    caller = mesh.open(request("PUT", transfer_encoding="chunked"))
    caller.send(b"11170\r\n" + b"x" * 70000 + b"\r\n")
    spin(lambda: worker.exchanges)
    caller.send(b"11170\r\n" + b"x" * 70000 + b"\r\n")
    data = caller.read_until(lambda data: False)
    assert data.startswith(b"HTTP/1.1 413 ")
    assert b"bamboocove-run: unknown" in data
    spin(lambda: worker.closed)


def test_cut_response_is_seen_as_cut(mesh):
    """Guards against a partial response that looks complete."""
    worker = mesh.add_worker()

    def cut(exchange):
        exchange.start(200, [], -1)
        exchange.write(b"part")
        reactor.callLater(0.05, exchange.abort)

    worker.answer = cut
    mesh.start()
    caller = mesh.open(request())
    data = caller.read_until(lambda data: False)
    assert data.endswith(b"4\r\npart\r\n")
    assert caller.is_closed


def test_key_is_required_and_runs_once(mesh):
    """Guards against a confirmation that runs twice."""
    worker = mesh.add_worker()
    mesh.start()
    data = mesh.call(request("POST", "/confirmations", b"x"))
    assert data.startswith(b"HTTP/1.1 400 ")
    assert b"key_required" in data
    first = mesh.call(confirm())
    spin(lambda: not mesh.proxy.in_flight)
    assert mesh.call(confirm()) == first
    assert b"key_reused" in mesh.call(confirm(body=b"order 2"))
    assert len(worker.exchanges) == 1


def test_key_in_progress_and_lost(mesh):
    """Guards against a second run while the first one's outcome is open."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(confirm())
    spin(lambda: worker.exchanges)
    assert b"key_in_progress" in mesh.call(confirm())
    caller.close()
    spin(lambda: not mesh.proxy.in_flight)
    assert b"bamboocove-run: unknown" in mesh.call(confirm())
    assert len(worker.exchanges) == 1


@pytest.mark.parametrize("answers", [["unavailable"], ["dropped"]])
def test_no_claim_no_run(mesh, answers, monkeypatch):
    """Guards against a keyed request that runs without a claim."""
    monkeypatch.setattr(claims, "ABSENT_READS", 2)
    worker = mesh.add_worker()
    mesh.start()
    mesh.table.answers = answers
    data = mesh.call(confirm())
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"bamboocove-run: not-run" in data
    assert not worker.exchanges


def test_unknown_claim_is_removed_later(mesh):
    """Guards against a key that stays blocked after a refusal."""
    worker = mesh.add_worker()
    mesh.start()
    mesh.table.answers, mesh.table.reads = ["lost"], ["unavailable", "unavailable"]
    assert b"store_unknown" in mesh.call(confirm())
    assert not worker.exchanges
    spin(lambda: mesh.get_claim_states() == ["released"] and not mesh.proxy.in_flight)
    assert mesh.call(confirm()).startswith(b"HTTP/1.1 200 ")


def test_poison_request_is_stopped(mesh):
    """Guards against a request that crashes one worker after the other."""
    workers = [mesh.add_worker() for _ in range(4)]
    for worker in workers:
        worker.answer = worker.crash
    mesh.start()
    data = mesh.call(request("PUT", body=b"poison"))
    assert data.startswith(b"HTTP/1.1 502 ")
    assert b"bamboocove-run: unknown" in data
    for _ in range(5):
        data = mesh.call(request("PUT", body=b"poison"))
        assert data.startswith(b"HTTP/1.1 422 ")
    spin(lambda: mesh.notices)
    assert mesh.notices[0].ttl_s == suspects.SUSPECT_S
    assert sum(len(worker.exchanges) for worker in workers) == 1
    for worker in workers:
        worker.answer = worker.echo
    assert mesh.call(request("PUT", body=b"well")).startswith(b"HTTP/1.1 200 ")


def test_lost_connection_of_a_live_worker_blocks_briefly(mesh, monkeypatch):
    """Guards against healthy requests refused because a worker closed once."""
    monkeypatch.setattr(suspects, "DOUBT_S", 0.05)
    worker = mesh.add_worker()
    worker.answer = worker.lose
    mesh.start()
    assert mesh.call(request()).startswith(b"HTTP/1.1 502 ")
    worker.answer = worker.echo
    spin(lambda: mesh.notices)
    assert mesh.notices[0].ttl_s == 0.05
    spin(lambda: mesh.call(request()).startswith(b"HTTP/1.1 200 "))


def test_notice_of_a_peer_blocks(mesh):
    """Guards against a crash on each node that a poison request reaches."""
    worker = mesh.add_worker()
    mesh.start()
    subject = ("orders", b"GET", b"/orders/1", b"")
    fingerprint = suspects.make_fingerprint(subject)
    mesh.proxy.post(SuspectNotice(fingerprint, "orders", 60.0, 1))
    assert b"suspect_request" in mesh.call(request())
    assert not worker.exchanges
    assert mesh.call(request(path="/orders/2")).startswith(b"HTTP/1.1 200 ")


def test_new_version_gets_no_calls_under_the_brake(mesh):
    """Guards against calls to a version that this node found bad."""
    old, new = mesh.add_worker(), mesh.add_worker()
    braked = []
    members = make_member(1, old.port), make_member(2, new.port, "v2")
    mesh.start(*members, moves=(MOVE,), is_braked=braked.__contains__)
    for _ in range(20):
        mesh.call(request())
    assert old.exchanges and new.exchanges
    seen = len(new.exchanges)
    braked.append("m")
    for _ in range(10):
        mesh.call(request())
    assert len(new.exchanges) == seen


def test_old_version_takes_what_the_new_one_cannot(mesh):
    """Guards against errors while no worker of the new version is ready."""
    old = mesh.add_worker()
    mesh.start(make_member(1, old.port), moves=(MOVE,))
    for _ in range(10):
        assert mesh.call(request()).startswith(b"HTTP/1.1 200 ")


def test_counts_evidence_of_a_move(mesh):
    """Guards against outcomes that the judgement never sees."""
    old, new = mesh.add_worker(), mesh.add_worker()
    new.answer = lambda exchange: exchange.respond(500, [])
    members = make_member(1, old.port), make_member(2, new.port, "v2")
    mesh.start(*members, moves=(MOVE,))
    for _ in range(20):
        mesh.call(request())
    evidence = mesh.proxy.take_evidence(reactor.seconds() + 1.0)
    assert sum(held.old.calls for held in evidence) == len(old.exchanges)
    assert sum(held.new.failures for held in evidence) == len(new.exchanges) > 0
    assert {held.revision for held in evidence} == {1}


def test_draining_worker_gets_no_calls(mesh):
    """Guards against new work for a worker that is leaving."""
    first, second = mesh.add_worker(), mesh.add_worker()
    draining = make_member(1, first.port, state="draining")
    mesh.start(draining, make_member(2, second.port))
    for _ in range(6):
        assert mesh.call(request()).startswith(b"HTTP/1.1 200 ")
    assert not first.exchanges


def test_drain_waits_for_calls_in_flight(mesh):
    """Guards against a planned stop that interrupts a request."""
    worker = mesh.add_worker()
    worker.answer = worker.wait
    mesh.start()
    caller = mesh.open(request())
    spin(lambda: worker.exchanges)
    drained = []
    draining, mesh.proxy = mesh.proxy, None
    Deferred.fromCoroutine(draining.drain()).addCallback(drained.append)
    assert not drained
    data = mesh.call(request())
    assert data.startswith(b"HTTP/1.1 503 ")
    assert b"draining" in data
    worker.exchanges[0].respond(200, [], b"done")
    assert caller.read_until(lambda data: False).endswith(b"done")
    spin(lambda: drained)


def test_serves_nothing_without_a_configuration(mesh):
    """Guards against routing from an empty configuration after a start."""
    mesh.start()
    mesh.proxy._active.current = compile_snapshot(make_config(revision=0))
    assert b"not_ready" in mesh.call(request())
