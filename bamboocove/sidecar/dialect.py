"""Header field names and paths of a platform, as its adapter provides them."""

from collections.abc import Callable

from attrs import frozen

from bamboocove.transport.framing import Headers


@frozen
class Dialect:
    """Header field names, in lower case, and paths that a platform uses.

    Parameters
    ----------
    attempt_id : bytes
        Identifies one attempt of a caller; workers echo it in responses.
    time_left_ms : bytes
        Milliseconds until the caller, or the node, stops waiting for the response.
    worker_id : bytes
        Worker that a request is meant for; any other worker refuses it.
    caller_service : bytes
        Service on the host from which the request was sent.
    key, account : bytes
        Key of a client account on a caller's request, which is not forwarded, and the
        name of the account on the request to a worker.
    not_run : bytes
        Set by a worker on responses to requests that it did not run.
    signature : bytes
        Set by a worker on each response to a request that it ran.
    answering_worker_id : bytes
        Set on responses to health checks and misdirected requests: the worker
        that sent the response.
    read_limit : callable
        Takes the header fields of a worker's response; returns the requests per second
        that the worker takes: 0 if it names no limit, None if the limit is unreadable.
    read_cold : callable
        Takes the header fields of a worker's response; returns the seconds for which
        the worker stays cold, None if they do not say.
    is_leaving : callable
        Takes the header fields of a worker's response; returns whether the worker is
        about to leave.
    read_slowness : callable
        Takes the header fields of a worker's response; returns how long work takes on
        its machine at this moment, as a multiple of the usual time, or None.
    get_parent : callable
        Takes the attempt identifier of a call made by a worker; returns that of the
        request that the worker was running then, or empty bytes if the identifier
        does not contain it.
    readiness_path : bytes
        Path of the node's readiness check.
    worker_path : bytes
        Path prefix of worker reports; the worker identifier follows.
    metrics_path : bytes
        Path of the metrics in text format.
    """

    attempt_id: bytes
    time_left_ms: bytes
    worker_id: bytes
    caller_service: bytes
    key: bytes
    account: bytes
    not_run: bytes
    signature: bytes
    answering_worker_id: bytes
    read_limit: Callable[[Headers], float | None]
    read_cold: Callable[[Headers], float | None]
    is_leaving: Callable[[Headers], bool]
    read_slowness: Callable[[Headers], float | None]
    get_parent: Callable[[bytes], bytes]
    readiness_path: bytes
    worker_path: bytes
    metrics_path: bytes
