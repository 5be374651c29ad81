"""Names of the platform's header fields and paths, as the call path uses them."""

from bamboocove.sidecar.dialect import Dialect


def get_parent(attempt_id: bytes) -> bytes:
    """Return the identifier of the request that a call belongs to.

    The platform's pages do not say so, but workers put the identifier of the
    request that they run before that of the call. Where they do not, calls get
    the rank of their route.

    Examples
    --------
    >>> get_parent(b"9c41.7d07"), get_parent(b"9c41")
    (b'9c41', b'')
    """
    return attempt_id.rpartition(b".")[0]


# X-Deadline-Ms holds the time that is left, not a point in time.
# X-Not-Executed and 421 say that the worker has not run the request.
# X-Server-Load holds running and waiting requests and slots; the node beside
# the worker knows them itself.
DIALECT = Dialect(
    attempt_id=b"x-attempt-id",
    time_left_ms=b"x-deadline-ms",
    worker_id=b"x-expected-instance",
    caller_service=b"x-caller-service",
    not_run=b"x-not-executed",
    signature=b"x-response-signature",
    answering_worker_id=b"x-instance-id",
    get_parent=get_parent,
    readiness_path=b"/api/ready",
    worker_path=b"/api/instances/",
    metrics_path=b"/metrics",
)
