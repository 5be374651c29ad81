"""Tests of the worker stand-in over loopback, in the test process."""

import json

import pytest
from klein import Klein
from treq.client import HTTPClient
from twisted.internet.defer import Deferred, gatherResults
from twisted.internet.task import deferLater
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.server import Site

from bamboocove.standin_faults import WorkerFaults, find_failure, parse_faults
from bamboocove.standin_worker import LoadReport, WorkerOptions, WorkerStandin
from bamboocove.transport.platform import BytesProducer
from tests.fakes import run_with_reactor

HOST = "127.0.0.1"


class Harness:
    """A worker stand-in and an HTTP client for it."""

    def __init__(self, reactor, **fields):
        options = {"work_s": 0.0, "drain_s": 0.0, **fields}
        faults = options.pop("faults", WorkerFaults())
        self.reactor = reactor
        self.crashes = []
        self.worker = WorkerStandin(
            WorkerOptions("orders", "v1", **options),
            faults,
            reactor,
            crash=lambda: self.crashes.append(1),
        )
        self.url = f"http://{HOST}:{self.worker.start(HOST, 0)}"
        self.pool = HTTPConnectionPool(reactor)
        self.client = HTTPClient(Agent(reactor, pool=self.pool))

    async def call(self, path="/orders", body=b"", **headers):
        """Make one call and return its status, headers and body."""
        response = await self.request(path, body, **headers)
        return response.code, response.headers, await response.content()

    def request(self, path="/orders", body=b"", **headers):
        """Start one call and return a Deferred of the response."""
        return self.client.post(
            self.url + path,
            data=BytesProducer(body),
            headers={name.replace("_", "-"): text for name, text in headers.items()},
            reactor=self.reactor,
        )

    async def call_together(self, count, **headers):
        """Make ``count`` concurrent calls and return their statuses."""
        calls = [Deferred.fromCoroutine(self.call(**headers)) for _ in range(count)]
        return [result[0] for result in await gatherResults(calls)]

    async def wait_for(self, **counts):
        """Wait until counters have these values, up to the time limit of the test."""
        while not counts.items() <= self.worker.get_counters().items():
            await deferLater(self.reactor, 0.01, lambda: None)

    async def close(self):
        """Close the connections of the client and stop the worker."""
        await self.pool.closeCachedConnections()
        await self.worker.stop()


def run_with_worker(test, **fields):
    async def body(reactor):
        harness = Harness(reactor, **fields)
        try:
            return await test(harness)
        finally:
            await harness.close()

    return run_with_reactor(body)


def test_response_has_the_request_body_and_the_requested_size():
    async def body(harness):
        status, headers, data = await harness.call("/orders?bytes=5000", b"hello")
        assert (status, len(data)) == (200, 5000)
        assert headers.getRawHeaders("bamboocove-load") == ["1/12"]
        assert json.loads(data)["body"] == "hello"

    run_with_worker(body)


def test_calls_above_slots_and_queue_are_shed_before_work():
    """Guards against a worker that reports a call as not-run after running it."""

    async def body(harness):
        statuses = await harness.call_together(6, idempotency_key="k")
        assert sorted(statuses) == [200, 200, 200, 503, 503, 503]
        counters = harness.worker.get_counters()
        assert counters["runs_by_key"] == {"k": 3}
        assert (counters["runs"], counters["shed"]) == (3, 3)
        assert (counters["running"], counters["waiting"]) == (0, 0)

    run_with_worker(body, slots=2, queue=1, work_s=0.1)


def test_shed_call_is_reported_as_not_run():
    async def body(harness):
        status, headers, _ = await harness.call()
        assert status == 503
        assert headers.getRawHeaders("bamboocove-run") == ["not-run"]

    run_with_worker(body, slots=0, queue=0)


def test_cancelled_calls_release_their_slot_and_queue_entry():
    """Guards against slots that are not released when callers disconnect."""

    async def body(harness):
        first = harness.request()
        await harness.wait_for(running=1, waiting=0)
        second = harness.request()
        await harness.wait_for(running=1, waiting=1)
        second.addErrback(lambda _: None)
        second.cancel()
        await harness.wait_for(running=1, waiting=0)
        first.addErrback(lambda _: None)
        first.cancel()
        await harness.wait_for(running=0, waiting=0)
        counters = harness.worker.get_counters()
        assert (counters["runs"], counters["cancelled"]) == (1, 2)

    run_with_worker(body, slots=1, queue=1, work_s=5.0)


def test_call_whose_deadline_passes_in_the_queue_is_not_run():
    async def body(harness):
        first = harness.request()
        await harness.wait_for(running=1)
        status, headers, _ = await harness.call(bamboocove_deadline_ms="50")
        assert status == 504
        assert headers.getRawHeaders("bamboocove-run") == ["not-run"]
        await (await first).content()
        assert harness.worker.counts_by_name["runs"] == 1

    run_with_worker(body, slots=1, queue=1, work_s=0.2)


def test_call_stops_at_its_deadline():
    async def body(harness):
        started_at = harness.reactor.seconds()
        status, headers, _ = await harness.call(bamboocove_deadline_ms="50")
        assert status == 504
        assert headers.getRawHeaders("bamboocove-run") is None
        assert harness.reactor.seconds() - started_at < 2

    run_with_worker(body, work_s=5.0)


def test_drain_refuses_new_calls_and_finishes_those_in_flight():
    """Guards against a planned stop that interrupts a running call."""

    async def body(harness):
        first = Deferred.fromCoroutine(harness.call())
        await harness.wait_for(running=1)
        drained = Deferred.fromCoroutine(harness.worker.drain())
        status, headers, _ = await harness.call()
        assert status == 503
        assert headers.getRawHeaders("bamboocove-run") == ["not-run"]
        await drained
        assert harness.worker.state == "down"
        assert harness.worker.running == 0
        assert (await first)[0] == 200

    run_with_worker(body, work_s=0.3)


def test_worker_announces_itself_and_its_drain():
    app = Klein()
    states = []

    @app.route("/workers", methods=["POST"])
    def receive_announcement(request):
        states.append(json.loads(request.content.read()))
        return b""

    async def body(reactor):
        port = reactor.listenTCP(0, Site(app.resource(), reactor=reactor))
        harness = Harness(reactor, admin_url=f"http://{HOST}:{port.getHost().port}")
        while not states:
            await deferLater(reactor, 0.01, lambda: None)
        await harness.worker.drain()
        await harness.pool.closeCachedConnections()
        await port.stopListening()

    run_with_reactor(body)
    assert [item["state"] for item in states] == ["ready", "draining", "down"]
    assert states[0]["service"] == "orders"
    assert set(states[0]) == {
        "service",
        "version",
        "port",
        "slots",
        "connections",
        "state",
    }


def test_worker_keeps_announcing_while_its_node_is_down():
    """Guards against a worker that stays unknown after its node was replaced."""
    app = Klein()
    states = []

    @app.route("/workers", methods=["POST"])
    def receive_announcement(request):
        states.append(json.loads(request.content.read())["state"])
        return b""

    async def body(reactor):
        site = Site(app.resource(), reactor=reactor)
        port = reactor.listenTCP(0, site)
        number = port.getHost().port
        await port.stopListening()
        harness = Harness(reactor, admin_url=f"http://{HOST}:{number}")
        await deferLater(reactor, 0.2, lambda: None)
        assert (await harness.call())[0] == 200
        assert states == []
        port = reactor.listenTCP(number, site)
        while not states:
            await deferLater(reactor, 0.01, lambda: None)
        await harness.close()
        await port.stopListening()

    run_with_reactor(body)
    assert states[0] == "ready"


def test_faults_are_changed_over_http():
    async def body(harness):
        assert (await harness.call())[0] == 200
        status, _, _ = await harness.call("/faults", b'{"failing": 1}')
        assert status == 200
        assert (await harness.call())[0] == 500
        status, _, _ = await harness.call("/faults", b'{"no_such": 1}')
        assert status == 400

    run_with_worker(body)


def test_only_a_call_with_the_crash_header_crashes():
    async def body(harness):
        await harness.call()
        assert harness.crashes == []
        harness.request(x_poison="1").addErrback(lambda _: None)
        await harness.wait_for(calls=2)
        assert harness.crashes == [1]

    run_with_worker(body, faults=WorkerFaults(crash_header="x-poison"))


@pytest.mark.parametrize(
    ("faults", "path", "running", "age_s", "fraction", "fails"),
    [
        (WorkerFaults(), "/a", 99, 99.0, 0.0, False),
        (WorkerFaults(failing=0.3), "/a", 1, 0.0, 0.29, True),
        (WorkerFaults(failing=0.3), "/a", 1, 0.0, 0.3, False),
        (WorkerFaults(failing_after_s=5.0), "/a", 1, 4.9, 0.0, False),
        (WorkerFaults(failing_after_s=5.0), "/a", 1, 5.0, 0.0, True),
        (WorkerFaults(failing_above=3), "/a", 3, 0.0, 0.0, False),
        (WorkerFaults(failing_above=3), "/a", 4, 0.0, 0.0, True),
        (WorkerFaults(failing_route="/b"), "/a", 1, 0.0, 0.0, False),
        (WorkerFaults(failing_route="/b"), "/b/1", 1, 0.0, 0.0, True),
    ],
)
def test_faults_fail_only_matching_calls(faults, path, running, age_s, fraction, fails):
    assert bool(find_failure(faults, path, running, age_s, fraction)) == fails


def test_load_report_returns_the_load_before_the_lag():
    report = LoadReport()
    report.record(1, 10.0, 2.0)
    report.record(5, 11.0, 2.0)
    assert report.get(12.5, 2.0) == 1
    assert report.get(13.0, 2.0) == 5


@pytest.mark.parametrize("text", ["[]", "{", '{"failing": "x"}', '{"other": 1}'])
def test_invalid_faults_are_refused(text):
    with pytest.raises(ValueError):
        parse_faults(text)
