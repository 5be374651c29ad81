"""The platform's header field names and paths, for use by the sidecar."""

from bamboocove.sidecar.dialect import Dialect


def get_parent_id(attempt_id: bytes) -> bytes:
    """Return the identifier of the request during which a worker made a call.

    Workers prefix the identifier of a call with that of the request that they are
    running; the platform does not document this. The result is empty for
    identifiers without a prefix; such calls get the priority of their route.

    Examples
    --------
    >>> get_parent_id(b"9c41.7d07"), get_parent_id(b"9c41")
    (b'9c41', b'')
    """
    return attempt_id.rpartition(b".")[0]


# X-Deadline-Ms holds the remaining time, not an absolute deadline.
# X-Not-Executed and status 421 both mean that the worker has not run the request.
# X-Server-Load reports running requests, waiting requests and slots of a worker; it
# is not read, because the node on the same host tracks these figures itself.
DIALECT = Dialect(
    attempt_id=b"x-attempt-id",
    time_left_ms=b"x-deadline-ms",
    worker_id=b"x-expected-instance",
    caller_service=b"x-caller-service",
    not_run=b"x-not-executed",
    signature=b"x-response-signature",
    answering_worker_id=b"x-instance-id",
    get_parent=get_parent_id,
    readiness_path=b"/api/ready",
    worker_path=b"/api/instances/",
    metrics_path=b"/metrics",
)
