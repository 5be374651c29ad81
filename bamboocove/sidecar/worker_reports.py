"""HTTP endpoint at which the worker of this host reports its state and signs off."""

from collections.abc import Callable
from functools import partial
from typing import Any

from twisted.internet.defer import Deferred
from twisted.python.failure import Failure

from bamboocove.coordination.departures import LEAVING_STATES
from bamboocove.errors import ErrorResult
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.worker_watch import ReportResult
from bamboocove.state.mesh import MeshWorker
from bamboocove.transport.exchanges import Exchange

# Worker reports are small.
MAX_REPORT_BYTES = 64 * 1024
# Time within which a report that the worker leaves must be in the store, in seconds. A
# worker waits for the acknowledgement for a second.
KEEP_TIMEOUT_S = 0.8

DecodeWorker = Callable[[str, bytes], MeshWorker | ErrorResult]
Handler = Callable[[Exchange], None]


def make_report_handler(
    dialect: Dialect,
    inbound: InboundProxy,
    decode_worker: DecodeWorker,
    clock: Any,
    get_unix_ms: Callable[[], int],
    wait_until_kept: Callable[[], Deferred],
    find_other_host: Callable[[str], str],
    has_read_hosts: Callable[[], bool],
) -> Handler:
    """Return the handler of status reports and sign-offs of the worker.

    A report takes effect before it is acknowledged, so that a draining worker
    receives no new requests after the acknowledgement. That it leaves is acknowledged
    only once the next process on this host would know it, too; status 503 says that
    this was not so in time. A ready worker that the acknowledged report names may get
    no request, if another one is held or the configuration does not name its service.

    Parameters
    ----------
    dialect : Dialect
        Paths of the platform.
    inbound : InboundProxy
        Keeps the state of the worker.
    decode_worker : callable
        Decodes a worker's report about itself.
    clock : reactor
        Source of time.
    get_unix_ms : callable
        Returns the present Unix time in milliseconds.
    wait_until_kept : callable
        Returns a Deferred that fires once the store holds the present record of this
        host.
    find_other_host : callable
        Takes a worker; returns the host, other than this one, that it is on, or an
        empty string.
    has_read_hosts : callable
        Returns whether the records of all hosts are known.
    """
    started_at = clock.seconds()

    def handle(exchange: Exchange) -> None:
        path = exchange.target.partition(b"?")[0]
        prefix = dialect.worker_path
        worker_id = path[len(prefix) :].decode("latin-1")
        if not path.startswith(prefix) or not worker_id:
            exchange.respond(404, [])
        elif exchange.method == b"DELETE":
            sign_off(exchange, worker_id)
        elif exchange.method == b"PUT":
            parts: list[bytes] = []
            exchange.receive(
                parts.append, lambda: apply_report(exchange, worker_id, b"".join(parts))
            )
        else:
            exchange.respond(405, [])

    def sign_off(exchange: Exchange, worker_id: str) -> None:
        held = inbound.worker
        is_held = held is not None and held.worker_id == worker_id
        if not is_held and refuse_if_elsewhere(exchange, worker_id):
            return
        result = inbound.deregister(worker_id, get_unix_ms())
        log_line = partial(log_report, worker_id, "gone", held, result, None)
        answer_when_kept(exchange, log_line, "" if is_held else worker_id)

    def refuse_if_elsewhere(exchange: Exchange, worker_id: str) -> bool:
        # The node beside the worker has the last word on its requests.
        host_id = find_other_host(worker_id)
        if host_id:
            reason = f"the worker is on host {host_id}"
            log("worker.report-refused", worker=worker_id, reason=reason)
            exchange.respond(404, [], reason.encode())
        return bool(host_id)

    def apply_report(exchange: Exchange, worker_id: str, data: bytes) -> None:
        worker = decode_worker(worker_id, data)
        if isinstance(worker, ErrorResult):
            log("worker.report-refused", worker=worker_id, reason=worker.reason)
            exchange.respond(400, [], worker.reason.encode())
            return
        held = inbound.worker
        result = inbound.update_worker(worker)
        log_line = partial(log_report, worker_id, worker.state, held, result, worker)
        if result is ReportResult.UNKNOWN_SERVICE and held.worker_id == worker_id:
            # The held worker runs another service, so this says nothing of it.
            exchange.respond(400, [], b"the worker runs another service")
            log_line(False)
            return
        if worker.state in LEAVING_STATES:
            answer_when_kept(exchange, log_line)
            return
        acknowledge(exchange)
        if result is not ReportResult.APPLIED:
            log_line(True)

    def acknowledge(exchange: Exchange) -> None:
        exchange.respond(200, [(b"content-type", b"application/json")], b"{}")

    def answer_when_kept(
        exchange: Exchange, log_line: Callable[[bool], None], unknown_id: str = ""
    ) -> None:
        def on_kept(_: None) -> None:
            if unknown_id and not has_read_hosts():
                refuse()
            elif not unknown_id or not refuse_if_elsewhere(exchange, unknown_id):
                acknowledge(exchange)
                log_line(True)

        def on_not_kept(_: Failure) -> None:
            refuse()

        def refuse() -> None:
            exchange.respond(503, [])
            log_line(False)

        kept = wait_until_kept().addTimeout(KEEP_TIMEOUT_S, clock)
        kept.addCallbacks(on_kept, on_not_kept)

    def log_report(
        worker_id: str,
        state: str,
        held: MeshWorker | None,
        result: ReportResult,
        worker: MeshWorker | None,
        is_acknowledged: bool,
    ) -> None:
        log(
            "worker.report",
            worker=worker_id,
            state=state,
            result=result.value,
            sequence=worker.sequence if worker else None,
            born=worker.born_ms if worker else None,
            held=held.worker_id if held else "",
            held_state=held.state if held else "",
            held_sequence=held.sequence if held else None,
            held_born=held.born_ms if held else None,
            is_acknowledged=is_acknowledged,
            process_age_s=round(clock.seconds() - started_at, 3),
        )

    return handle
