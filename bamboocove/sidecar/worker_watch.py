"""State of the worker on this host, from its reports and from health checks."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Any

from attrs import define, evolve, field

from bamboocove.coordination.departures import LEAVING_STATES, DepartedStarts
from bamboocove.coordination.machine_load import MachineLoad
from bamboocove.coordination.report_conflicts import ReportConflicts
from bamboocove.errors import ErrorResult
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.settings import Address
from bamboocove.state.mesh import MeshService, MeshWorker
from bamboocove.transport.clients import ConnectionPool
from bamboocove.transport.fetching import Fetch, format_request
from bamboocove.transport.framing import Headers, get_header

# Interval at which a worker that is down is probed, in seconds. The first probe
# comes sooner, since many outages are short.
PROBE_INTERVAL_S = 0.5
FIRST_PROBE_S = 0.1
PROBE_TIMEOUT_S = 0.4
MAX_PROBE_RESPONSE_BYTES = 64 * 1024
# A limit that a worker names is sent to other nodes and to the store at most once in
# this interval, in seconds, and if it has changed by more than this fraction.
LIMIT_PUBLISH_INTERVAL_S = 2.0
LIMIT_TOLERANCE = 0.2


class ReportResult(Enum):
    """What a node did with a report or a sign-off of a worker."""

    APPLIED = "applied"
    # A later report of the same start of the worker was applied before.
    OUTDATED = "outdated"
    # A worker that was started later is known on this host.
    EARLIER_START = "earlier start"
    # This start of the worker has said before that it leaves.
    DEPARTED = "departed"
    # The configuration does not name its service, and that of the held worker it does.
    UNKNOWN_SERVICE = "unknown service"
    # The worker has answered a health check with another identifier.
    REFUTED = "refuted"


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
    on_limit : callable
        Called with the requests per second that the worker takes when that has
        changed; 0 for no limit.
    on_cold : callable
        Called with the seconds for which the worker says that it stays cold, None if a
        worker that was down does not say; returns whether its limit has changed.
    on_departed : callable
        Called without arguments when ``departed`` has changed.
    worker : MeshWorker or None
        Last known state of the worker.
    machine_load : MachineLoad
        How slow its machine is at this moment.
    health_path : str
        Path of the worker's health check; without one it is not probed.
    services_by_name : mapping of str to MeshService
        All services; empty until there is a configuration.
    departed : DepartedStarts
        Starts of workers on this host that are over.
    is_confirmed : bool
        Whether all is known that the process before on this host had acknowledged.
        Until then a report may be an earlier one than that the worker leaves, and the
        worker is probed before it gets requests.
    """

    address: Address
    dialect: Dialect
    clock: Any
    pool: ConnectionPool
    on_state: Callable[[MeshWorker], None]
    on_replaced: Callable[[], None]
    on_limit: Callable[[float], None]
    on_cold: Callable[[float | None], bool]
    on_departed: Callable[[], None]
    worker: MeshWorker | None = None
    machine_load: MachineLoad = field(factory=MachineLoad)
    health_path: str = ""
    services_by_name: Mapping[str, MeshService] = field(factory=dict)
    departed: DepartedStarts = field(factory=DepartedStarts)
    is_confirmed: bool = False
    _unconfirmed: MeshWorker | None = None
    _probe_at: float = 0.0
    _is_probing: bool = False
    _published_limit_per_s: float = 0.0
    _limit_published_at: float = float("-inf")
    _conflicts: ReportConflicts = field(factory=ReportConflicts)
    # Latest ready report of another worker that was not applied.
    _rival: MeshWorker | None = None
    _rival_probe_at: float = 0.0

    def use_services(
        self, services_by_name: Mapping[str, MeshService], own_service: str
    ) -> None:
        """Apply the services of a configuration.

        ``own_service`` is the one that the settings of this host name.
        """
        self.services_by_name = services_by_name
        service = own_service if self.worker is None else self.worker.service
        self._use_health_path(service if self._is_named(service) else own_service)

    def _use_health_path(self, service: str) -> None:
        if service in self.services_by_name:
            self.health_path = self.services_by_name[service].health_path

    def _is_named(self, service: str) -> bool:
        return not self.services_by_name or service in self.services_by_name

    def update(self, worker: MeshWorker) -> ReportResult:
        """Apply a report of the worker unless it is outdated."""
        held = self.worker
        if self.departed.covers(worker):
            return ReportResult.DEPARTED
        if held is not None:
            result = self._compare(held, worker)
            if result is not ReportResult.APPLIED:
                return self._pass_over(held, worker, result)
        self._apply(held, worker)
        return ReportResult.APPLIED

    def _pass_over(
        self, held: MeshWorker, worker: MeshWorker, result: ReportResult
    ) -> ReportResult:
        """Handle a report that looks outdated; return what was done with it."""
        now = self.clock.seconds()
        is_same = worker.worker_id == held.worker_id
        if result is ReportResult.UNKNOWN_SERVICE:
            if worker.state in LEAVING_STATES and not is_same:
                self._keep_leaving(held, worker)
        elif self._conflicts.pass_over(held, worker, now):
            log("worker.recovered", worker=worker.worker_id, held=held.worker_id)
            self._probe_at = now
            self._apply(held, evolve(worker, state="down"))
            return ReportResult.APPLIED
        elif worker.state in LEAVING_STATES:
            self._keep_leaving(held, worker)
        elif not is_same:
            self._probe_rival(worker, now)
        return result

    def _apply(self, held: MeshWorker | None, worker: MeshWorker) -> None:
        self._conflicts.accept(self.clock.seconds())
        self._rival = None
        if held is None or held.service != worker.service:
            self._use_health_path(worker.service)
        if held is not None:
            if held.incarnation != worker.incarnation:
                if held.state in LEAVING_STATES:
                    self.departed.add(*held.incarnation)
                self.on_replaced()
            else:
                # A report does not tell the limit. One that was under way when the
                # worker said elsewhere that it leaves does not take that back.
                state = "draining" if held.state == "draining" else worker.state
                worker = evolve(worker, state=state, limit_per_s=held.limit_per_s)
        if self._must_probe(held, worker):
            worker = self._unconfirmed = evolve(worker, state="down")
        self.worker = worker
        is_limit_changed = self.on_cold(worker.cold_s)
        if (
            held is None
            or is_limit_changed
            or _get_published_state(held) != _get_published_state(worker)
        ):
            self._publish_state()

    def _must_probe(self, held: MeshWorker | None, worker: MeshWorker) -> bool:
        if worker.state != "ready" or self.is_confirmed:
            return False
        was_ready = held is not None and held.state == "ready"
        return not was_ready or held.incarnation != worker.incarnation

    def confirm_reports(self) -> None:
        """Use the worker as reported: the process before has acknowledged no other."""
        self.is_confirmed = True
        if self.worker is not None and self.worker is self._unconfirmed:
            self.set_state("ready")
        self._unconfirmed = None

    def _compare(self, held: MeshWorker, worker: MeshWorker) -> ReportResult:
        is_named = self._is_named(worker.service)
        if is_named != self._is_named(held.service):
            # A report of another writer, whatever start it names, if it is not that of
            # a worker whose service the configuration will name.
            return ReportResult.APPLIED if is_named else ReportResult.UNKNOWN_SERVICE
        if held.incarnation == worker.incarnation:
            is_newer = worker.sequence > held.sequence and held.state != "gone"
            return ReportResult.APPLIED if is_newer else ReportResult.OUTDATED
        if self._conflicts.is_refuted(worker.worker_id):
            return ReportResult.REFUTED
        if worker.born_ms < held.born_ms:
            log("worker.old-report", worker=worker.worker_id, held=held.worker_id)
            return ReportResult.EARLIER_START
        return ReportResult.APPLIED

    def _keep_leaving(self, held: MeshWorker, worker: MeshWorker) -> None:
        """Apply that a start of the worker leaves, whatever its report came after.

        No start of a worker takes that back. The time of its start comes from a clock
        that may have been set back, so that of two starts of the same worker the
        earlier one may be the one that runs; a probe shows that.
        """
        if held.incarnation == worker.incarnation:
            if held.state != "gone":
                self.set_state(worker.state)
            return
        if self.departed.add(*worker.incarnation):
            self.on_departed()
        if held.worker_id == worker.worker_id:
            self.mark_down("an earlier start of it leaves")

    def deregister(self, worker_id: str, unix_ms: int) -> ReportResult:
        """Apply that a worker has deregistered itself.

        Its reports may come later, or the record of the process before that names it.
        Also if it is known, since a later start of it may be the one that signs off.

        Parameters
        ----------
        worker_id : str
            The worker.
        unix_ms : int
            Present Unix time in milliseconds.
        """
        is_new = self.departed.add(worker_id, unix_ms)
        if self.worker is not None and self.worker.worker_id == worker_id:
            if self.worker.state != "gone":
                self.set_state("gone")
                return ReportResult.APPLIED
        if is_new:
            self.on_departed()
        return ReportResult.APPLIED

    def adopt(self, worker: MeshWorker) -> None:
        """Take over the worker that the process before knew.

        A worker that was ready is probed first. One that was leaving has left, even if
        an earlier report of it has arrived since.
        """
        held = self.worker
        if self.departed.covers(worker):
            worker = evolve(worker, state="gone")
        if held is None:
            self._conflicts.accept(self.clock.seconds())
            self._use_health_path(worker.service)
            state = worker.state if worker.state in LEAVING_STATES else "down"
            # A limit of a cold worker is none that it has named.
            limit_per_s = 0.0 if worker.cold_per_s else worker.limit_per_s
            self.worker = evolve(
                worker,
                state=state,
                sequence=0,
                limit_per_s=limit_per_s,
                cold_per_s=0.0,
            )
            self._publish_state()
        elif worker.state not in LEAVING_STATES:
            return
        elif held.incarnation != worker.incarnation:
            if self.departed.add(*worker.incarnation):
                self.on_departed()
        elif held.state != "gone":
            self.set_state(worker.state)

    def merge_departed(self, departed_by_id: Mapping[str, int]) -> None:
        """Take over the departed workers that the process before knew."""
        if not self.departed.merge(departed_by_id):
            return
        if self.worker is not None and self.departed.covers(self.worker):
            self.set_state("gone")
        self.on_departed()

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
            limit_per_s=worker.limit_per_s,
        )
        self._published_limit_per_s = worker.limit_per_s
        self.on_state(worker)

    def update_from_response(self, headers: Headers, now: float) -> None:
        """Apply what a response of the worker says about the worker itself.

        Parameters
        ----------
        headers : list
            Header fields of the response.
        now : float
            Seconds of the local clock.
        """
        self._update_machine_load(headers, now)
        limit_per_s = self.dialect.read_limit(headers)
        if limit_per_s is None:
            limit_per_s = self.worker.limit_per_s
        if limit_per_s != self.worker.limit_per_s:
            self.worker = evolve(self.worker, limit_per_s=limit_per_s)
            self.on_limit(limit_per_s)
        self._publish_limit(now)
        cold_s = self.dialect.read_cold(headers)
        if cold_s is not None and self.on_cold(cold_s):
            self._publish_state()
        if self.dialect.is_leaving(headers) and self.worker.state != "gone":
            self.set_state("draining")

    def _update_machine_load(self, headers: Headers, now: float) -> None:
        slowness = self.dialect.read_slowness(headers)
        if slowness is not None:
            self.machine_load.record(slowness, now)

    def _publish_limit(self, now: float) -> None:
        limit_per_s, published = self.worker.limit_per_s, self._published_limit_per_s
        is_changed = abs(limit_per_s - published) > LIMIT_TOLERANCE * published
        if is_changed and now - self._limit_published_at >= LIMIT_PUBLISH_INTERVAL_S:
            self._limit_published_at = now
            self._publish_state()

    def mark_down(self, reason: str) -> None:
        """Mark a ready worker as down until it answers a probe or reports itself."""
        if self.worker is not None and self.worker.state == "ready":
            log("worker.suspect", worker=self.worker.worker_id, reason=reason)
            self.pool.close()
            self._probe_at = self.clock.seconds() + FIRST_PROBE_S
            self.set_state("down")

    def tick(self, now: float) -> None:
        """Publish a changed limit; start a health check of a worker that is down."""
        if self.worker is not None:
            self._publish_limit(now)
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
        self._start_probe(self.health_path)

    def _probe_rival(self, worker: MeshWorker, now: float) -> None:
        """Ask the worker at the address whether it is the one of a passed-over report.

        At most once in ``PROBE_INTERVAL_S``.
        """
        self._rival = worker
        service = self.services_by_name.get(worker.service)
        path = self.health_path if service is None else service.health_path
        if path and now >= self._rival_probe_at and not self._is_probing:
            self._rival_probe_at = now + PROBE_INTERVAL_S
            self._start_probe(path)

    def _start_probe(self, path: str) -> None:
        self._is_probing = True
        data = format_request(b"GET", path.encode(), self.address, [], b"")
        fetch = Fetch(self.pool, self.address, data, max_bytes=MAX_PROBE_RESPONSE_BYTES)
        fetch.start(PROBE_TIMEOUT_S).addCallback(self._on_probe_result, self.worker)

    def _on_probe_result(self, result: Any, worker: MeshWorker) -> None:
        self._is_probing = False
        if isinstance(result, ErrorResult) or self.worker is not worker:
            return
        answering_id = get_header(result.headers, self.dialect.answering_worker_id)
        if answering_id is not None:
            self._settle_conflict(answering_id.decode("latin-1"))
        if result.status != 200 or answering_id != worker.worker_id.encode():
            return
        # Health checks of some workers may lack the limit, so its absence ends none.
        if self.dialect.read_limit(result.headers) or self.dialect.is_leaving(
            result.headers
        ):
            self.update_from_response(result.headers, self.clock.seconds())
        else:
            self._update_machine_load(result.headers, self.clock.seconds())
        if self.worker.state == "down":
            cold_s = self.dialect.read_cold(result.headers)
            # A worker that is probed only to confirm its report has told the time.
            if cold_s is not None or worker is not self._unconfirmed:
                self.on_cold(cold_s)
            self.set_state("ready")

    def _settle_conflict(self, answering_id: str) -> None:
        """Apply the passed-over report of the worker that answers at the address."""
        held, rival, self._rival = self.worker, self._rival, None
        self._conflicts.confirm(answering_id)
        if held.worker_id == answering_id:
            return
        self._conflicts.refute(held.worker_id)
        # It may have signed off since its report, and still serve for a while.
        if (
            rival is not None
            and rival.worker_id == answering_id
            and not self.departed.covers(rival)
        ):
            log("worker.recovered", worker=answering_id, held=held.worker_id)
            self._apply(held, rival)


def _get_published_state(worker: MeshWorker) -> tuple:
    return (*worker.incarnation, worker.state, worker.version, worker.slots)
