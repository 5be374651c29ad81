"""HTTP upstream that stands in for a worker, with slots, drain and faults."""

import json
import os
import random
from collections import deque
from collections.abc import Callable
from typing import Any

from attrs import define, field, frozen
from treq.client import HTTPClient
from twisted.internet.defer import CancelledError, Deferred
from twisted.internet.task import LoopingCall, deferLater
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.resource import Resource
from twisted.web.server import NOT_DONE_YET, Request, Site

from bamboocove.standin_faults import WorkerFaults, find_failure, update_faults
from bamboocove.state.codec import to_plain
from bamboocove.transport.platform import BytesProducer

ANNOUNCE_INTERVAL_S = 2.0
ANNOUNCE_TIMEOUT_S = 1.5
# Factor on the duration of a call just after the start; it falls to 1.
COLD_START_FACTOR = 5.0
# Maximum time that a drain waits for calls in flight.
DRAIN_TIMEOUT_S = 60.0
# Lets the send buffers empty before the process exits, which would discard
# responses that are not sent yet.
FLUSH_DELAY_S = 0.1
CRASH_STATUS = 70
LOAD_HEADER = "bamboocove-load"
RUN_HEADER = "bamboocove-run"
DEADLINE_HEADER = "bamboocove-deadline-ms"
MAX_BODY_BYTES = 64 * 1024 * 1024


@frozen
class WorkerOptions:
    """Identity, capacity and timing of a worker.

    Parameters
    ----------
    service, version : str
        Service and version that the worker runs.
    slots : int
        Maximum number of calls that run concurrently.
    queue : int
        Maximum number of calls that wait for a slot; further calls are shed.
    connections : int
        Number of connections that the worker announces to accept.
    work_s : float
        Duration of a call once the worker is warm.
    cold_start_s : float
        Time after the start during which calls take longer; the extra time
        falls linearly to 0.
    drain_s : float
        Minimum time between the announcement of a drain and the exit, so that
        the nodes that call the worker learn of the drain first.
    admin_url : str
        URL of the admin interface of the node on this host; empty to disable
        announcements.
    """

    service: str
    version: str
    slots: int = 12
    queue: int = 4
    connections: int = 120
    work_s: float = 0.005
    cold_start_s: float = 0.0
    drain_s: float = 3.0
    admin_url: str = ""


def get_work_time(options: WorkerOptions, faults: WorkerFaults, age_s: float) -> float:
    """Return the duration of a call in seconds.

    Examples
    --------
    >>> cold = WorkerOptions("orders", "v1", work_s=0.01, cold_start_s=10.0)
    >>> get_work_time(cold, WorkerFaults(), 0.0)
    0.05
    >>> get_work_time(cold, WorkerFaults(slow_s=1.0), 10.0)
    1.01
    """
    factor = 1.0
    if age_s < options.cold_start_s:
        factor += (COLD_START_FACTOR - 1) * (1 - age_s / options.cold_start_s)
    return options.work_s * factor + faults.slow_s


@define
class LoadReport:
    """History of the load, from which the load header reports a delayed value.

    Parameters
    ----------
    samples : deque of (float, int)
        Time in seconds and load after each change.
    """

    samples: deque[tuple[float, int]] = field(factory=deque)

    def record(self, load: int, now: float, lag_s: float) -> None:
        """Record a change and drop samples that are too old to be reported."""
        self.samples.append((now, load))
        while len(self.samples) > 1 and self.samples[1][0] <= now - lag_s:
            self.samples.popleft()

    def get(self, now: float, lag_s: float) -> int:
        """Return the load as of ``lag_s`` seconds ago."""
        load = 0
        for at, value in self.samples:
            if at > now - lag_s:
                break
            load = value
        return load


class WorkerStandin(Resource):
    """HTTP resource that answers calls like a worker.

    Parameters
    ----------
    options : WorkerOptions
        Identity, capacity and timing.
    faults : WorkerFaults
        Faults that are active at the start.
    clock : IReactorTime and IReactorTCP
        The reactor.
    crash : callable
        Ends the process without cleanup.
    """

    isLeaf = True

    def __init__(
        self,
        options: WorkerOptions,
        faults: WorkerFaults,
        clock: Any,
        crash: Callable[[], None] = lambda: os._exit(CRASH_STATUS),
    ):
        super().__init__()
        self.options = options
        self.faults = faults
        self.state = "ready"
        self.running = 0
        self.runs_by_key: dict[str, int] = {}
        self.counts_by_name = dict.fromkeys(
            ("calls", "runs", "shed", "failures", "cancelled", "late", "drain_refused"),
            0,
        )
        self._clock = clock
        self._crash = crash
        self._waiting: deque[Deferred] = deque()
        self._load = LoadReport()
        self._random = random.Random()
        self._port = None
        self._idle: Deferred | None = None
        self._announce_loop = LoopingCall(self._start_announcement)
        self._announce_loop.clock = clock
        self._pool = HTTPConnectionPool(clock, persistent=True)
        self._client = HTTPClient(Agent(clock, connectTimeout=1, pool=self._pool))

    def start(self, host: str, port: int) -> int:
        """Listen, start the announcements and return the port."""
        self._started_at = self._faults_at = self._clock.seconds()
        self._port = self._clock.listenTCP(
            port, Site(self, reactor=self._clock), interface=host
        )
        if self.options.admin_url:
            self._announce_loop.start(ANNOUNCE_INTERVAL_S)
        return self._port.getHost().port

    async def drain(self) -> None:
        """Announce a drain, finish the calls in flight and stop listening."""
        self.state = "draining"
        started_at = self._clock.seconds()
        await self.announce()
        if self.running or self._waiting:
            self._idle = Deferred()
            self._idle.addTimeout(DRAIN_TIMEOUT_S, self._clock)
            self._idle.addErrback(lambda _: None)
            await self._idle
        left = self.options.drain_s - (self._clock.seconds() - started_at)
        await deferLater(self._clock, max(left, FLUSH_DELAY_S), lambda: None)
        self.state = "down"
        await self.stop()

    async def stop(self) -> None:
        """Announce the final state, stop listening and close idle connections."""
        if self._announce_loop.running:
            self._announce_loop.stop()
            await self.announce()
        if self._port is not None:
            await self._port.stopListening()
            self._port = None
        await self._pool.closeCachedConnections()

    async def announce(self) -> bool:
        """Announce this worker to the node on its host; return whether it accepted."""
        if not self.options.admin_url or self._port is None:
            return False
        announcement = {
            "service": self.options.service,
            "version": self.options.version,
            "port": self._port.getHost().port,
            "slots": self.options.slots,
            "connections": self.options.connections,
            "state": self.state,
        }
        try:
            response = await self._client.post(
                f"{self.options.admin_url.rstrip('/')}/workers",
                data=BytesProducer(json.dumps(announcement).encode()),
                headers={"Content-Type": ["application/json"]},
                timeout=ANNOUNCE_TIMEOUT_S,
                reactor=self._clock,
            )
            await response.content()
        # The node may be absent, starting or stopping. Every failure is ignored,
        # since the loop announces again.
        except Exception:
            return False
        return response.code == 200

    def _start_announcement(self) -> Deferred:
        return Deferred.fromCoroutine(self.announce())

    def render(self, request: Request) -> int | bytes:
        """Serve ``/counters`` and ``/faults``, and every other path as a call."""
        path = request.path.decode("latin-1")
        if path == "/counters":
            return self._answer_json(request, self.get_counters())
        if path == "/faults":
            return self._change_faults(request)
        Deferred.fromCoroutine(self._serve(request, path)).addErrback(
            _ignore_cancellation
        )
        return NOT_DONE_YET

    def get_counters(self) -> dict[str, Any]:
        """Return the counters, the load and the runs of each idempotency key."""
        return {
            **self.counts_by_name,
            "running": self.running,
            "waiting": len(self._waiting),
            "state": self.state,
            "runs_by_key": self.runs_by_key,
        }

    def _change_faults(self, request: Request) -> bytes:
        if request.method == b"POST":
            try:
                changes = json.loads(request.content.read())
                self.faults = update_faults(self.faults, changes)
            except ValueError as error:
                request.setResponseCode(400)
                return str(error).encode()
            self._faults_at = self._clock.seconds()
        return self._answer_json(request, to_plain(self.faults))

    def _answer_json(self, request: Request, value: Any) -> bytes:
        request.setHeader("Content-Type", "application/json")
        return json.dumps(value).encode()

    async def _serve(self, request: Request, path: str) -> None:
        call = Deferred.fromCoroutine(self._run(request, path))
        request.notifyFinish().addErrback(lambda _: call.cancel())
        try:
            await call
        except CancelledError:
            self.counts_by_name["cancelled"] += 1

    async def _run(self, request: Request, path: str) -> None:
        self.counts_by_name["calls"] += 1
        received_at = self._clock.seconds()
        if self.state == "draining":
            self.counts_by_name["drain_refused"] += 1
            return self._refuse(request, 503, "draining")
        header = self.faults.crash_header
        if header and request.getHeader(header) is not None:
            return self._crash()
        if not await self._acquire_slot():
            self.counts_by_name["shed"] += 1
            return self._refuse(request, 503, "overloaded")
        try:
            remaining_s = _parse_deadline_s(request)
            if remaining_s is not None:
                remaining_s -= self._clock.seconds() - received_at
                if remaining_s <= 0:
                    self.counts_by_name["late"] += 1
                    return self._refuse(request, 504, "deadline")
            await self._work(request, path, remaining_s)
        finally:
            self._release_slot()

    async def _work(
        self, request: Request, path: str, remaining_s: float | None
    ) -> None:
        now = self._clock.seconds()
        self.counts_by_name["runs"] += 1
        key = request.getHeader("idempotency-key")
        if key is not None:
            self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        failure = find_failure(
            self.faults,
            path,
            self.running,
            now - self._faults_at,
            self._random.random(),
        )
        work_s = get_work_time(self.options, self.faults, now - self._started_at)
        exceeds_deadline = remaining_s is not None and work_s > remaining_s
        await deferLater(
            self._clock, remaining_s if exceeds_deadline else work_s, lambda: None
        )
        if exceeds_deadline:
            self.counts_by_name["late"] += 1
            request.setResponseCode(504)
        elif failure:
            self.counts_by_name["failures"] += 1
            request.setResponseCode(500)
        self._answer_call(request, path, failure)

    def _answer_call(self, request: Request, path: str, failure: str) -> None:
        body = request.content.read().decode("utf-8", "replace")
        answer = {
            "service": self.options.service,
            "version": self.options.version,
            "method": request.method.decode("ascii"),
            "path": path,
            "run": self.counts_by_name["runs"],
            "failure": failure,
            "body": body,
        }
        try:
            size = min(int(request.args.get(b"bytes", [b"0"])[0]), MAX_BODY_BYTES)
        except ValueError:
            size = 0
        data = json.dumps(answer).encode().ljust(size)
        request.setHeader("Content-Type", "application/json")
        request.setHeader("Content-Length", str(len(data)))
        self._set_load_header(request)
        request.write(data)
        request.finish()

    def _refuse(self, request: Request, status: int, reason: str) -> None:
        request.setResponseCode(status)
        request.setHeader(RUN_HEADER, "not-run")
        request.setHeader("Content-Type", "text/plain")
        request.setHeader("Content-Length", str(len(reason)))
        self._set_load_header(request)
        request.write(reason.encode())
        request.finish()

    def _set_load_header(self, request: Request) -> None:
        lag_s = self.faults.health_lag_s
        load = self._load.get(self._clock.seconds(), lag_s)
        request.setHeader(LOAD_HEADER, f"{load}/{self.options.slots}")

    async def _acquire_slot(self) -> bool:
        if self.running < self.options.slots:
            self.running += 1
            self._record_load()
            return True
        if len(self._waiting) >= self.options.queue:
            return False
        waiter = Deferred(self._waiting.remove)
        self._waiting.append(waiter)
        self._record_load()
        await waiter
        return True

    def _release_slot(self) -> None:
        if self._waiting:
            # The slot passes directly to the call that has waited longest.
            waiter = self._waiting.popleft()
            self._record_load()
            waiter.callback(None)
            return
        self.running -= 1
        self._record_load()
        if self.running == 0 and self._idle is not None and not self._idle.called:
            self._idle.callback(None)

    def _record_load(self) -> None:
        load = self.running + len(self._waiting)
        self._load.record(load, self._clock.seconds(), self.faults.health_lag_s)


def _parse_deadline_s(request: Request) -> float | None:
    text = request.getHeader(DEADLINE_HEADER)
    try:
        return None if text is None else float(text) / 1000
    except ValueError:
        return None


def _ignore_cancellation(failure: Any) -> None:
    failure.trap(CancelledError)
