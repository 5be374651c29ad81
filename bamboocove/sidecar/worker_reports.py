"""HTTP endpoint at which the worker of this host reports its state and signs off."""

from collections.abc import Callable
from typing import Any

from bamboocove.errors import ErrorResult
from bamboocove.sidecar.dialect import Dialect
from bamboocove.sidecar.inbound import InboundProxy
from bamboocove.sidecar.logs import log
from bamboocove.sidecar.worker_watch import ReportResult
from bamboocove.state.mesh import MeshWorker
from bamboocove.transport.exchanges import Exchange

# Worker reports are small.
MAX_REPORT_BYTES = 64 * 1024

DecodeWorker = Callable[[str, bytes], MeshWorker | ErrorResult]
Handler = Callable[[Exchange], None]


def make_report_handler(
    dialect: Dialect,
    inbound: InboundProxy,
    decode_worker: DecodeWorker,
    clock: Any,
    get_unix_ms: Callable[[], int],
) -> Handler:
    """Return the handler of status reports and sign-offs of the worker.

    A report takes effect before it is acknowledged, so that a draining worker
    receives no new requests after the acknowledgement.

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
    """
    started_at = clock.seconds()

    def handle(exchange: Exchange) -> None:
        path = exchange.target.partition(b"?")[0]
        prefix = dialect.worker_path
        worker_id = path[len(prefix) :].decode("latin-1")
        if not path.startswith(prefix) or not worker_id:
            exchange.respond(404, [])
        elif exchange.method == b"DELETE":
            held = inbound.worker
            result = inbound.deregister(worker_id, get_unix_ms())
            acknowledge(exchange)
            log_report(worker_id, "gone", held, result)
        elif exchange.method == b"PUT":
            parts: list[bytes] = []
            exchange.receive(
                parts.append, lambda: apply_report(exchange, worker_id, b"".join(parts))
            )
        else:
            exchange.respond(405, [])

    def apply_report(exchange: Exchange, worker_id: str, data: bytes) -> None:
        worker = decode_worker(worker_id, data)
        if isinstance(worker, ErrorResult):
            log("worker.report-refused", worker=worker_id, reason=worker.reason)
            exchange.respond(400, [], worker.reason.encode())
            return
        held = inbound.worker
        result = inbound.update_worker(worker)
        acknowledge(exchange)
        if worker.state != "ready" or result is not ReportResult.APPLIED:
            log_report(worker_id, worker.state, held, result, worker)

    def acknowledge(exchange: Exchange) -> None:
        exchange.respond(200, [(b"content-type", b"application/json")], b"{}")

    def log_report(
        worker_id: str,
        state: str,
        held: MeshWorker | None,
        result: ReportResult,
        worker: MeshWorker | None = None,
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
            is_acknowledged=True,
            process_age_s=round(clock.seconds() - started_at, 3),
        )

    return handle
