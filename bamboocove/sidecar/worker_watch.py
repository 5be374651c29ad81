"""State of the worker on this host: what it says, and whether it answers."""

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

# A worker that is down is probed at this interval; the first time sooner, since
# many are back after a moment.
PROBE_INTERVAL_S = 0.5
FIRST_PROBE_S = 0.1
PROBE_TIMEOUT_S = 0.4


@define(eq=False)
class WorkerWatch:
    """Keeps the newest report of the worker, and probes one that is down.

    Parameters
    ----------
    address : (str, int)
        Where the worker accepts requests.
    dialect : Dialect
        Names of header fields.
    clock : reactor
        Source of time.
    pool : ConnectionPool
        Connections to the worker.
    on_state : callable
        Called with the worker when its state has changed.
    on_replaced : callable
        Called when another start of a worker takes the place of the one before.
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

    def take(self, worker: MeshWorker) -> None:
        """Take a report of the worker, unless it is older news."""
        held = self.worker
        if held is not None and not self._is_news(held, worker):
            return
        if held is not None and _get_start(held) != _get_start(worker):
            self.on_replaced()
        self.worker = worker
        if held is None or _get_content(held) != _get_content(worker):
            self._report()

    def _is_news(self, held: MeshWorker, worker: MeshWorker) -> bool:
        if _get_start(held) == _get_start(worker):
            return worker.sequence > held.sequence and held.state != "gone"
        if worker.born_ms < held.born_ms:
            log("worker.old-report", worker=worker.worker_id, held=held.worker_id)
            return False
        return True

    def sign_off(self, worker_id: str) -> None:
        """Take note that the worker leaves for good."""
        if self.worker is not None and self.worker.worker_id == worker_id:
            self.set_state("gone")

    def set_state(self, state: str) -> None:
        """Change the state of the worker."""
        if self.worker.state == state:
            return
        self.worker = evolve(self.worker, state=state)
        self._report()

    def _report(self) -> None:
        worker = self.worker
        log(
            "worker.state",
            worker=worker.worker_id,
            service=worker.service,
            version=worker.version,
            state=worker.state,
        )
        self.on_state(worker)

    def suspect(self, reason: str) -> None:
        """Give the worker no requests until it answers a probe or reports."""
        if self.worker is not None and self.worker.state == "ready":
            log("worker.suspect", worker=self.worker.worker_id, reason=reason)
            self.pool.close()
            self._probe_at = self.clock.seconds() + FIRST_PROBE_S
            self.set_state("down")

    def tick(self, now: float) -> None:
        """Probe a worker that is down."""
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
        fetch = Fetch(self.pool, self.address, data)
        fetch.start(PROBE_TIMEOUT_S).addCallback(self._on_probed, self.worker)

    def _on_probed(self, result: Any, worker: MeshWorker) -> None:
        self._is_probing = False
        if isinstance(result, ErrorResult) or self.worker is not worker:
            return
        answering = get_header(result.headers, self.dialect.answering_worker_id)
        if result.status == 200 and answering == worker.worker_id.encode():
            self.set_state("ready")


def _get_start(worker: MeshWorker) -> tuple[str, int]:
    return (worker.worker_id, worker.born_ms)


def _get_content(worker: MeshWorker) -> tuple:
    return (*_get_start(worker), worker.state, worker.version, worker.slots)
