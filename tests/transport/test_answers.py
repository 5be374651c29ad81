"""Requests that were read in full get an answer, whatever happens around them."""

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.testing import MemoryReactorClock, StringTransport

from bamboocove.transport.server_connection import ServerConnection

REQUESTS = [
    b"GET /%d HTTP/1.1\r\nHost: h\r\n\r\n",
    b"PUT /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
    b"PUT /%d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
    b"GET /%d HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    b"GET /%d HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n",
    b"GET /%d HTTP/1.1\r\nHost: h\r\nX: " + b"x" * 40_000 + b"\r\n\r\n",
    b"PUT /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n",
    b"PUT /%d HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
    b"nonsense %d\r\n\r\n",
]
ACTIONS = ["answer", "answer later", "fail", "close", "stop", "sweep"]
MAX_BODY = 1000


class Transport(StringTransport):
    """Transport that records how it is closed."""

    is_aborted = is_write_closed = False

    def loseWriteConnection(self):
        self.is_write_closed = True

    def abortConnection(self):
        self.is_aborted = True

    def setTcpNoDelay(self, enabled):
        pass


class Handler:
    """Answers, fails or keeps requests as it is told by the next actions."""

    def __init__(self):
        self.clock = MemoryReactorClock()
        self.transport = Transport()
        self.actions = []
        self.pending = []
        self.reports = []
        self.connection = ServerConnection(self.take, MAX_BODY, self.clock)
        self.connection.on_incomplete = self.reports.append
        self.connection.on_failed = lambda exchange, traceback: None
        self.connection.makeConnection(self.transport)

    def take(self, exchange):
        action = self.actions.pop() if self.actions else "answer later"
        if action == "close":
            exchange.close_connection()
        elif action == "fail":
            raise ValueError("odd")
        if action == "answer later":
            self.pending.append(exchange)
            exchange.receive(lambda data: None, lambda: None)
        else:
            exchange.respond(200, [], exchange.target)

    def answer(self):
        exchange = self.pending.pop(0)
        if not exchange.is_finished:
            exchange.respond(200, [], exchange.target)

    def act(self, action):
        if action == "stop":
            self.connection.close_if_idle()
        elif action == "sweep":
            self.connection.sweep(self.clock.seconds())
        elif action == "answer later" and self.pending:
            self.answer()
        else:
            self.actions.insert(0, action)


@given(
    st.lists(
        st.one_of(
            st.sampled_from(ACTIONS),
            st.sampled_from(REQUESTS[:3]),
            st.sampled_from(REQUESTS),
        ),
        max_size=12,
    ),
    st.integers(1, 200),
)
@settings(derandomize=True, max_examples=500, deadline=None)
def test_requests_that_were_read_are_answered(steps, size):
    """Guards against requests that were read and end with their connection."""
    handler = Handler()
    connection = handler.connection
    data = b""
    for number, step in enumerate(steps):
        if isinstance(step, str):
            handler.act(step)
            continue
        data += step % number
        while len(data) > size:
            connection.dataReceived(data[:size])
            data = data[size:]
    connection.dataReceived(data)
    while handler.pending:
        handler.answer()
    assert not handler.transport.is_aborted
    connection.close_if_idle()
    connection._close_reason = "test"
    connection.connectionLost()
    unanswered = [e for report in handler.reports for e in report.unanswered]
    assert not [exchange.target for exchange in unanswered if exchange.is_complete]
    answers = handler.transport.value().split(b"HTTP/1.")[1:]
    answers = [answer for answer in answers if not answer.startswith(b"1 100 ")]
    numbers = [int(a.rpartition(b"/")[2]) for a in answers if a[2:5] == b"200"]
    assert numbers == sorted(set(numbers))
    # A caller sends nothing after an answer that announces the close.
    assert not any(b"connection: close" in answer for answer in answers[:-1])
