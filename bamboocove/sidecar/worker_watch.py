"""State of the worker on this host, from its reports and from health checks."""

from collections.abc import Callable
from typing import Any

from attrs import define, evolve

from bamboocove.errors import ErrorResult
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import Address
from bamboocove.state.mesh import MeshWorker
from bamboocove.transport.clients import ConnectionPool
from bamboocove.transport.fetching import Fetch, format_request
from bamboocove.transport.framing import get_header

# Interval at which a worker that is down is probed, in seconds. The first probe
# comes sooner, since many outages are short.
PROBE_INTERVAL_S = 0.5
FIRST_PROBE_S = 0.1
PROBE_TIMEOUT_S = 0.4
MAX_PROBE_RESPONSE_BYTES = 64 * 1024


@define(eq=False)
class WorkerWatch:
    """Keeps the latest report of the worker, and probes a worker that is down.

    Parameters
    ----------
    address : (str, int)
        Address on which the worker accepts requests.
    dialect : Dialect
        Names of header fields and paths.
    clock : reactor
        Source of time.
    pool : ConnectionPool
        Connections to the worker.
    on_state : callable
        Called with the worker when its state has changed.
    on_replaced : callable
        Called without arguments when a report comes from a new or restarted worker
        that replaces the known one.
    worker : MeshWorker or None
        Last known state of the worker.
    health_path : str
        Path of the worker's health check; without one it is not probed.
    """

    address: Address
    dialect: Dialect
    clock: Any
    pool: ConnectionPool
    on_state: Callable[[MeshWorker], None]
    on_replaced: Callable[[], None]
    worker: MeshWorker | None = None
    health_path: str = ""
    _probe_at: float = 0.0
    _is_probing: bool = False

    def update(self, worker: MeshWorker) -> None:
        """Apply a report of the worker unless it is outdated."""
        held = self.worker
        if held is not None and not self._is_superseded(held, worker):
            return
        if held is not None and _get_incarnation(held) != _get_incarnation(worker):
            self.on_replaced()
        self.worker = worker
        if held is None or _get_published_state(held) != _get_published_state(worker):
            self._publish_state()

    def _is_superseded(self, held: MeshWorker, worker: MeshWorker) -> bool:
        if _get_incarnation(held) == _get_incarnation(worker):
            return worker.sequence > held.sequence and held.state != "gone"
        if worker.born_ms < held.born_ms:
            log("worker.old-report", worker=worker.worker_id, held=held.worker_id)
            return False
        return True

    def deregister(self, worker_id: str) -> None:
        """Mark the worker as gone after it has deregistered itself."""
        if self.worker is not None and self.worker.worker_id == worker_id:
            self.set_state("gone")

    def set_state(self, state: str) -> None:
        """Set the state of the worker; call ``on_state`` if it has changed."""
        if self.worker.state == state:
            return
        self.worker = evolve(self.worker, state=state)
        self._publish_state()

    def _publish_state(self) -> None:
        worker = self.worker
        log(
            "worker.state",
            worker=worker.worker_id,
            service=worker.service,
            version=worker.version,
            state=worker.state,
        )
        self.on_state(worker)

    def mark_down(self, reason: str) -> None:
        """Mark a ready worker as down until it answers a probe or reports itself."""
        if self.worker is not None and self.worker.state == "ready":
            log("worker.suspect", worker=self.worker.worker_id, reason=reason)
            self.pool.close()
            self._probe_at = self.clock.seconds() + FIRST_PROBE_S
            self.set_state("down")

    def tick(self, now: float) -> None:
        """Start a health check of a worker that is down if one is due."""
        if (
            self.worker is not None
            and self.worker.state == "down"
            and now >= self._probe_at
            and not self._is_probing
        ):
            self._probe_at = now + PROBE_INTERVAL_S
            self._probe()

    def _probe(self) -> None:
        if not self.health_path:
            return
        self._is_probing = True
        path = self.health_path.encode()
        data = format_request(b"GET", path, self.address, [], b"")
        fetch = Fetch(self.pool, self.address, data, max_bytes=MAX_PROBE_RESPONSE_BYTES)
        fetch.start(PROBE_TIMEOUT_S).addCallback(self._on_probe_result, self.worker)

    def _on_probe_result(self, result: Any, worker: MeshWorker) -> None:
        self._is_probing = False
        if isinstance(result, ErrorResult) or self.worker is not worker:
            return
        answering_id = get_header(result.headers, self.dialect.answering_worker_id)
        if result.status == 200 and answering_id == worker.worker_id.encode():
            self.set_state("ready")


def _get_incarnation(worker: MeshWorker) -> tuple[str, int]:
    return (worker.worker_id, worker.born_ms)


def _get_published_state(worker: MeshWorker) -> tuple:
    return (*_get_incarnation(worker), worker.state, worker.version, worker.slots)
