"""Names on the wire that an adapter provides."""

from collections.abc import Callable

from attrs import frozen


@frozen
class Dialect:
    """Header fields in lower case, and paths.

    Parameters
    ----------
    attempt_id : bytes
        Identifies one attempt of a caller; workers repeat it in answers.
    time_left_ms : bytes
        Milliseconds that the caller, or the node, goes on waiting.
    worker_id : bytes
        Worker that a request is meant for; any other one refuses it.
    caller_service : bytes
        Service on the host where a request began.
    not_run : bytes
        Set by a worker on answers to requests that it did not run.
    signature : bytes
        Set by a worker on each answer to a request that it ran.
    answering_worker_id : bytes
        Worker that answers a health check or a misdirected request.
    get_parent : callable
        Returns the identifier of the request that a worker was running when it
        made a call, from that of the call; empty if it does not tell.
    readiness_path : bytes
        Where the node is asked whether it is ready.
    worker_path : bytes
        Where the worker reports itself, followed by its identifier.
    metrics_path : bytes
        Where metrics are served as text.
    """

    attempt_id: bytes
    time_left_ms: bytes
    worker_id: bytes
    caller_service: bytes
    not_run: bytes
    signature: bytes
    answering_worker_id: bytes
    get_parent: Callable[[bytes], bytes]
    readiness_path: bytes
    worker_path: bytes
    metrics_path: bytes
