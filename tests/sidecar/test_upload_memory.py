"""Memory that a node holds for the bodies of requests, against its byte budget."""

import pytest
from attrs import evolve
from twisted.internet import reactor

from bamboocove.coordination.request_bodies import (
    MIN_JUDGED_AGE_S,
    RESPONSE_ROOM_BYTES,
    SMALL_ROOM_BYTES,
)
from bamboocove.protocol.mesh_messages import MAX_FORWARDED_BODY_BYTES
from bamboocove.transport.closing import LINGER_TIME_S
from tests.callpath import pause, run, run_reactor_until
from tests.sidecar.hosts import (
    HostMesh,
    format_call,
    make_config,
    parse_head,
    read_response,
    stop_at_once,
)

LIMIT = 10_000_000
TIMEOUT_S = 6.0
# Data on its way in the socket buffers of both sides.
SOCKET_BYTES = 8 * 1024 * 1024
LARGE = bytes(1_500_000)
PIECE = bytes(64 * 1024)


class Upload:
    """A request whose body is sent as far as the node reads it."""

    def __init__(
        self,
        host,
        length,
        sent=None,
        attempt="a1",
        left_ms=5000,
        fields="",
        path="/pay/1",
    ):
        self.length = length
        framing = (
            f"Content-Length: {length}" if length >= 0 else "Transfer-Encoding: chunked"
        )
        head = (
            f"POST {path} HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: {attempt}\r\n"
            f"X-Deadline-Ms: {left_ms}\r\n{fields}{framing}\r\n\r\n"
        )
        self.caller = host.open(head.encode())
        self.to_send = length if sent is None else sent
        self.sent = 0
        self._unsent = b""
        self.is_cut = False

    def send(self):
        """Send what the socket takes at once."""
        while not self.is_cut:
            if not self._unsent:
                data = PIECE[: self.to_send - self.sent]
                if not data:
                    return
                self.sent += len(data)
                if self.length < 0:
                    data = b"%x\r\n%b\r\n" % (len(data), data)
                self._unsent = data
            try:
                sent = self.caller.socket.send(self._unsent)
            except BlockingIOError:
                return
            except ConnectionError:
                self.is_cut = True
                return
            self._unsent = self._unsent[sent:]

    @property
    def status(self):
        """Status code of the response; 0 while there is none."""
        self.caller._read()
        head, separator, _ = self.caller.data.partition(b"\r\n\r\n")
        return parse_head(head)[0] if separator else 0

    @property
    def fields(self):
        return parse_head(self.caller.data.partition(b"\r\n\r\n")[0])[1]


@pytest.fixture
def mesh():
    mesh = HostMesh()
    config = make_config(pay={"orders": 1}, timeout_s=TIMEOUT_S)
    route = evolve(config.routes_by_name["pay"], target_s=TIMEOUT_S)
    mesh.store.put_config(evolve(config, routes_by_name={"pay": route}))
    yield mesh
    mesh.close()


@pytest.fixture
def host(mesh):
    """Return a host that runs the requests of its own callers."""
    host = mesh.add("orders")
    mesh.settle()
    host.node.body_budget.limit = LIMIT
    return host


def send_until(uploads, condition, timeout_s=10.0):
    def check():
        for upload in uploads:
            upload.send()
        return condition()

    run_reactor_until(check, timeout_s)


def accept_later(exchange):
    """Answer without a body, 0.1 s after the whole request has arrived."""
    attempt = dict(exchange.headers)[b"x-attempt-id"]
    fields = [(b"x-attempt-id", attempt), (b"x-response-signature", b"s")]
    exchange.receive(
        lambda data: None,
        lambda: reactor.callLater(0.1, exchange.respond, 200, fields),
    )


@pytest.mark.parametrize("length", [MAX_FORWARDED_BODY_BYTES + 1, 1 << 33])
@pytest.mark.parametrize("fields", ["", "Expect: 100-continue\r\n"])
def test_length_that_no_link_carries_is_refused_at_the_head(host, length, fields):
    """Guards against bodies that are read whole to be refused for their size."""
    upload = Upload(host, length, 0, fields=fields)
    run_reactor_until(lambda: upload.status, 1)
    assert upload.status == 413
    assert b"100 Continue" not in upload.caller.data
    assert host.node.body_budget.held == 0


EXPECT = "Expect: 100-continue\r\n"


@pytest.mark.parametrize(
    ("length", "fields"), [(1001, ""), (1001, EXPECT), (100_000, EXPECT), (-1, "")]
)
def test_configured_maximum_of_a_body_is_applied(mesh, host, length, fields):
    """Guards against bodies that the operators' limit does not permit."""
    config = evolve(mesh.store.config, version=9, max_body_bytes=1000)
    mesh.store.put_config(config)
    run_reactor_until(lambda: mesh.get_versions() == [9])
    upload = Upload(host, length, 1001 if length < 0 else 0, fields=fields)
    send_until([upload], lambda: upload.status, 2)
    assert upload.status == 413
    assert b"100 Continue" not in upload.caller.data
    upload = Upload(host, 1000, attempt="a2")
    send_until([upload], lambda: upload.status)
    assert upload.status == 200
    assert len(host.requests) == 1
    assert host.node.body_budget.held == 0


def test_expected_body_that_fits_is_asked_for(host):
    upload = Upload(host, 1000, 0, fields="Expect: 100-continue\r\n")
    run_reactor_until(lambda: upload.status, 1)
    assert upload.status == 100


def test_body_in_chunks_is_refused_when_it_exceeds_the_limit(host):
    """Guards against a body without a length that is read to its end."""
    upload = Upload(host, -1, 48 * 1024 * 1024)
    send_until([upload], lambda: upload.status)
    assert upload.status == 413
    assert upload.sent < MAX_FORWARDED_BODY_BYTES + SOCKET_BYTES
    assert host.node.body_budget.held == 0


@pytest.mark.parametrize("length", [40_000_000, -1])
def test_caller_that_sends_slowly_gets_the_refusal(host, length):
    """Guards against a reset that precedes the refusal of a large body."""
    upload = Upload(host, length, 0)
    sent = 40_000_000 if length < 0 else length
    while not upload.status and upload.to_send < sent:
        upload.to_send += len(PIECE) * 4
        upload.send()
        run(pause(0.005))
    assert upload.status == 413
    # The caller goes on, like one that reads only when it has sent all.
    for _ in range(5):
        run(pause(LINGER_TIME_S / 2))
        upload.to_send += len(PIECE)
        upload.send()
    assert not upload.is_cut


def test_bodies_at_once_stay_within_the_budget(host):
    """Guards against bodies that each fit but together exceed the memory."""
    host.request_handler = accept_later
    uploads = [Upload(host, len(LARGE), attempt=f"a{n}") for n in range(12)]
    peaks = []

    def is_done():
        peaks.append(host.node.body_budget.held)
        return all(upload.status for upload in uploads)

    send_until(uploads, is_done)
    assert 0 < max(peaks) <= LIMIT - RESPONSE_ROOM_BYTES
    statuses = [upload.status for upload in uploads]
    assert set(statuses) == {200, 503}
    assert statuses.count(200) == len(host.requests)
    refused = [upload for upload in uploads if upload.status == 503]
    for upload in refused:
        assert 0 < float(upload.fields["retry-after"]) < 5
    assert host.node.body_budget.held == 0


def test_caller_without_room_is_told_when_there_will_be_some(host):
    """Guards against a Retry-After that has nothing to do with the room."""
    host.request_handler = accept_later
    for number in range(3):
        upload = Upload(host, len(LARGE), attempt=f"a{number}")
        send_until([upload], lambda upload=upload: upload.status)
    budget = host.node.body_budget
    assert budget.drained == 3 * len(LARGE)
    uploads = [Upload(host, len(LARGE), attempt=f"b{n}") for n in range(4)]
    run_reactor_until(lambda: any(upload.status for upload in uploads))
    (refused,) = [upload for upload in uploads if upload.status]
    assert refused.status == 503
    delay_s = float(refused.fields["retry-after"])
    # The others take 0.1 s; a third of the 5 s that are left would be far too long.
    assert delay_s < 0.8
    uploads.remove(refused)
    returns = 0
    while refused.status == 503 and returns < 3:
        until = reactor.seconds() + float(refused.fields["retry-after"])
        send_until(uploads, lambda until=until: reactor.seconds() > until)
        returns += 1
        refused = Upload(host, len(LARGE), attempt=f"c{returns}")
        send_until([*uploads, refused], lambda upload=refused: upload.status)
    assert refused.status == 200


def test_small_request_is_served_beside_uploads(host):
    """Guards against small requests that wait or are refused because of uploads."""
    uploads = [Upload(host, len(LARGE), 0, attempt=f"a{n}") for n in range(6)]
    run_reactor_until(lambda: any(upload.status == 503 for upload in uploads))
    host.node.body_budget.reserve(host.node.body_budget.free)
    assert host.call("/pay/1", "POST", b"small", attempt="b1")[0] == 200


def test_room_of_callers_that_send_nothing_is_taken_back(host):
    """Guards against uploads that are refused because of declared lengths alone."""
    silent = [Upload(host, len(LARGE), 0, attempt=f"a{n}") for n in range(200)]
    run(pause(MIN_JUDGED_AGE_S + 0.3))
    assert 0 < host.node.body_budget.held <= LIMIT
    upload = Upload(host, len(LARGE), attempt="b1")
    send_until([upload], lambda: upload.status)
    assert upload.status == 200
    assert {u.status for u in silent} <= {0, 503}
    assert len(host.requests) == 1


def stop_node(host, upload):
    host.node.outbound.end_requests()


def leave(host, upload):
    upload.caller.close()


def wait_until_the_deadline(host, upload):
    pass


def break_off(host, upload):
    host.request_handler = host.worker.lose
    for exchange in host.requests:
        exchange.abort()


@pytest.mark.parametrize("end", [stop_node, leave, wait_until_the_deadline, break_off])
@pytest.mark.parametrize("sent", [0, 500_000, len(LARGE)])
@pytest.mark.parametrize("is_chunked", [False, True])
def test_each_end_of_an_upload_releases_its_bytes(host, end, sent, is_chunked):
    """Guards against a budget that shrinks with each request."""
    host.request_handler = host.worker.wait
    length = -1 if is_chunked else len(LARGE)
    upload = Upload(host, length, sent, left_ms=700)
    send_until([upload], lambda: upload.sent == sent)
    send_until([upload], lambda: not upload._unsent)
    if is_chunked and sent == len(LARGE):
        upload.caller.send(b"0\r\n\r\n")
    run(pause(0.1))
    assert bool(host.node.body_budget.held) == bool(sent or not is_chunked)
    end(host, upload)
    run_reactor_until(lambda: host.node.body_budget.held == 0, 3)


def test_upload_that_has_not_arrived_by_its_deadline_has_not_run(host):
    """Guards against a 504, which promises nothing, for a request never passed on."""
    upload = Upload(host, len(LARGE), 500_000, left_ms=400)
    send_until([upload], lambda: upload.status)
    assert upload.status == 503
    assert not host.requests


@pytest.fixture
def pair(mesh, monkeypatch):
    """Return a calling host and one that runs its uploads."""
    monkeypatch.setattr(HostMesh, "link_bytes_per_s", 100_000_000)
    caller, target = mesh.add("front"), mesh.add("orders")
    mesh.settle()
    for host in (caller, target):
        host.node.body_budget.limit = LIMIT
    return caller, target


def test_host_beside_the_worker_counts_the_bodies_that_wait(pair):
    """Guards against bodies that wait for a worker and are not counted there."""
    caller, target = pair
    target.request_handler = lambda exchange: None
    uploads = [Upload(caller, 200_000, attempt=f"a{n}") for n in range(8)]
    budget = target.node.body_budget
    send_until(uploads, lambda: len(target.node.inbound.queue.waiting) == 4)
    # Those that run were written to the worker.
    run_reactor_until(lambda: budget.held == 4 * 200_000)
    target.request_handler = None
    for exchange in list(target.requests):
        target.respond(exchange)
    send_until(uploads, lambda: all(upload.status for upload in uploads))
    assert [upload.status for upload in uploads] == [200] * 8
    assert budget.held == caller.node.body_budget.held == 0


def test_body_is_not_offered_room_that_there_is_not(pair):
    """Guards against bodies that are sent to a host without memory for them."""
    caller, target = pair
    budget = target.node.body_budget
    budget.reserve(budget.free - RESPONSE_ROOM_BYTES)
    held = budget.held
    upload = Upload(caller, len(LARGE))
    send_until([upload], lambda: upload.status)
    assert upload.status == 503
    assert not target.requests
    assert budget.held == held


def test_bodies_without_an_offer_are_refused_beyond_the_budget(pair):
    """Guards against small bodies of many hosts that exceed the memory together."""
    caller, target = pair
    target.node.body_budget.add(LIMIT + SMALL_ROOM_BYTES)
    held = target.node.body_budget.held
    status, fields, _ = caller.call("/pay/1", "POST", b"x" * 1000)
    assert status == 503 and float(fields["retry-after"]) > 0
    assert not target.requests
    assert target.node.body_budget.held == held


def test_room_for_an_offered_body_is_released_if_its_sender_is_lost(pair):
    """Guards against room that is held for a body that never comes."""
    caller, target = pair
    budget = target.node.body_budget
    target.node.forwarding.grants.add("held", 21_000_000, reactor.seconds() + 60.0)
    target.node.forwarding.grants.take_granted(reactor.seconds())
    upload = Upload(caller, 200_000)
    send_until([upload], lambda: budget.held == 200_000)
    stop_at_once(caller.node)
    run_reactor_until(lambda: budget.held == 0, 3)


def test_refusal_for_memory_leaves_the_body_of_a_call_readable(host):
    """Guards against a refused upload that blocks its connection's callers."""
    host.node.body_budget.reserve(host.node.body_budget.free)
    upload = Upload(host, len(LARGE))
    send_until([upload], lambda: upload.status)
    assert upload.status == 503
    caller = host.open(format_call("/pay/1", "POST", b"next", attempt="b1"))
    assert read_response(caller)[0] == 200
