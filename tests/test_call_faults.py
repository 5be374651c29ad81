"""Randomized test of the call path with faulty workers and callers."""

import random
from collections import Counter

import pytest
from twisted.internet import reactor

from bamboocove.coordination import suspects
from tests.callpath import (
    Caller,
    Worker,
    make_config,
    make_member,
    make_member_table,
    make_proxy,
    make_request,
    run_reactor_until,
)
from tests.callpath import run as run_coroutine

CALLS = 250
CALLERS = 12


class FaultyWorker(Worker):
    """Worker that at random delays, refuses or truncates responses, or disconnects."""

    def __init__(self, source, runs):
        super().__init__()
        self.source = source
        self.runs = runs
        self.answer = self.answer_randomly

    def answer_randomly(self, exchange):
        draw = self.source.random()
        if draw < 0.1:
            self.shed(exchange)
            return
        self.runs[exchange.target] += 1
        body = []

        def end():
            if draw < 0.15:
                exchange.abort()
            else:
                delay_s = self.source.choice((0.0, 0.001, 0.01, 0.1))
                reactor.callLater(delay_s, self.finish, exchange, body, draw)

        exchange.receive(body.append, end)

    def finish(self, exchange, body, draw):
        data = exchange.target + b" " + b"".join(body)
        if draw < 0.2:
            exchange.start(200, [], len(data) + 1)
            exchange.write(data)
            exchange.abort()
        elif draw < 0.6:
            exchange.start(200, [], len(data))
            exchange.write(data[:5])
            reactor.callLater(0.002, exchange.finish, data[5:])
        else:
            exchange.respond(200, [], data)


class RandomCaller:
    """Caller that sends random calls one after another and checks each response."""

    def __init__(self, port, name, source, runs, answers):
        self.port = port
        self.name = name
        self.source = source
        self.runs = runs
        self.answers = answers
        self.sent = 0
        self.connection = None
        self.send()

    def send(self):
        if self.connection is None:
            self.connection = Caller(self.port)
        source = self.source
        self.sent += 1
        body = b"x" * source.choice((0, 5, 3000, 100_000))
        headers = {"bamboocove_deadline_ms": source.choice((30, 1000))}
        if source.random() < 0.3:
            path = f"/confirmations/{self.name}-{self.sent}"
            headers["idempotency_key"] = f"{self.name}-{self.sent}"
            self.data = make_request("POST", path, body, **headers)
        else:
            path = f"/orders/{self.name}-{self.sent}"
            self.data = make_request("PUT", path, body, **headers)
        self.target = path.encode()
        self.expected = self.target + b" " + body
        self.steps_until_close = source.randrange(50) if source.random() < 0.1 else None
        self.connection.data = b""

    def step(self):
        connection = self.connection
        if self.data:
            try:
                self.data = self.data[connection.socket.send(self.data) :]
            except BlockingIOError:
                pass
            except OSError:
                self.data = b""
        connection._read()
        head, _, body = connection.data.partition(b"\r\n\r\n")
        length = head.lower().partition(b"content-length: ")[2].partition(b"\r")[0]
        if length and len(body) >= int(length):
            assert len(body) == int(length), "bytes of another response"
            self.check(head, body)
            self.send_next(b"connection: close" in head)
        elif connection.is_closed:
            self.answers["cut"] += 1
            self.send_next(True)
        elif self.steps_until_close is not None:
            self.steps_until_close -= 1
            if self.steps_until_close < 0:
                self.send_next(True)

    def check(self, head, body):
        if head.startswith(b"HTTP/1.1 200"):
            assert body == self.expected
            self.answers["complete"] += 1
        elif b"bamboocove-run: not-run" in head:
            assert not self.runs[self.target]
            self.answers["not-run"] += 1
        else:
            self.answers["unknown"] += 1

    def send_next(self, is_closed):
        if is_closed:
            self.connection.close()
            self.connection = None
        self.send()


@pytest.mark.parametrize("seed", [1, 2])
def test_responses_match_their_requests_under_random_faults(seed, monkeypatch):
    """Guards against mixed-up responses, false "not run" and double runs.

    Also against a truncated response that looks complete.
    """
    monkeypatch.setattr(suspects, "UNCONFIRMED_TTL_S", 0.01)
    source, runs, answers = random.Random(seed), Counter(), Counter()
    workers = [FaultyWorker(source, runs) for _ in range(3)]
    members = make_member_table(
        *[make_member(index, worker.port) for index, worker in enumerate(workers)],
        make_member(9, 1),
    )
    proxy = make_proxy(members, make_config(), calls__retry_ratio="0.5")
    port = run_coroutine(proxy.start())
    callers = [
        RandomCaller(port, f"{seed}-{index}", source, runs, answers)
        for index in range(CALLERS)
    ]

    def step():
        for caller in callers:
            caller.step()
        return answers.total() >= CALLS

    run_reactor_until(step, 20.0)
    for caller in callers:
        caller.connection.close()
    # An idempotent call may run on a second worker after the first was lost.
    for target, number in runs.items():
        assert number <= (1 if b"confirmations" in target else 2), target
    assert answers["complete"] > 0
    run_reactor_until(lambda: not proxy.in_flight)
    assert all(not report["in_flight"] for report in proxy.get_upstream_report())
    run_coroutine(proxy.drain())
    for worker in workers:
        worker.close()
