"""The platform's header field names and paths, for use by the sidecar."""

import re

from bamboocove.sidecar.dialect import Dialect
from bamboocove.transport.framing import Headers, get_header

LIMIT_FIELD = b"server-limit"
LOAD_FIELD = b"x-server-load"
LEAVING_FIELD = b"server-leaving"
COLD_FIELD = b"x-cold-ms"
# Decimal numbers with more digits are not taken for a rate.
_DECIMAL = re.compile(rb"\d{1,12}(\.\d{1,12})?")
# Figures of a load, which may be named, and the one that tells how long work takes.
_LOAD_SEPARATOR = re.compile(rb"[\s,;/]+")
_LOAD_FIGURE = re.compile(rb"(?:[\w-]+[=:])?(\d{1,6}(?:\.\d{1,6})?)")
_SLOWNESS_INDEX = 3
# What a worker that names 0 is taken to name: 0 stands for no limit elsewhere.
_LEAST_LIMIT_PER_S = 1e-6


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


def read_limit(headers: Headers) -> float | None:
    """Return the requests per second that a worker names as its limit.

    Returns
    -------
    limit_per_s : float or None
        0.0 if the worker names no limit, None if no value is a decimal number. The
        smallest of several values counts.

    Examples
    --------
    >>> read_limit([(b"server-limit", b"5.7")]), read_limit([])
    (5.7, 0.0)
    >>> read_limit([(b"server-limit", b"-5")]) is None
    True
    """
    values = [value.strip() for name, value in headers if name == LIMIT_FIELD]
    if not values:
        return 0.0
    limits = [float(value) for value in values if _DECIMAL.fullmatch(value)]
    return max(_LEAST_LIMIT_PER_S, min(limits)) if limits else None


def read_cold(headers: Headers) -> float | None:
    """Return for how many seconds a worker says that it stays cold.

    Returns
    -------
    remaining_s : float or None
        None if it does not say, or not with a decimal number.

    Examples
    --------
    >>> read_cold([(b"x-cold-ms", b"2500")]), read_cold([]) is None
    (2.5, True)
    """
    value = (get_header(headers, COLD_FIELD) or b"").strip()
    return float(value) / 1000 if _DECIMAL.fullmatch(value) else None


def is_leaving(headers: Headers) -> bool:
    """Return whether a worker says in a response that it is about to leave."""
    return get_header(headers, LEAVING_FIELD) == b"1"


def read_slowness(headers: Headers) -> float | None:
    """Return how long work takes on a worker's machine, relative to the usual time.

    Returns
    -------
    factor : float or None
        None if the worker does not tell, or the figure is not a number.

    Examples
    --------
    >>> read_slowness([(b"x-server-load", b"2, 0, 3, 250")])
    2.5
    >>> [
    ...     read_slowness([(b"x-server-load", value)])
    ...     for value in (b"", b"2,0,3", b"2,0,3,-250", b"2,0,3,nan", b"1,2,3,4e9")
    ... ]
    [None, None, None, None, None]
    """
    value = get_header(headers, LOAD_FIELD)
    if value is None:
        return None
    figures = _LOAD_SEPARATOR.split(value.strip())
    if len(figures) <= _SLOWNESS_INDEX:
        return None
    figure = _LOAD_FIGURE.fullmatch(figures[_SLOWNESS_INDEX])
    return float(figure[1]) / 100 if figure else None


# X-Deadline-Ms holds the remaining time, not an absolute deadline.
# X-Not-Executed and status 421 both mean that the worker has not run the request.
# X-Server-Load reports running requests, waiting requests and slots of a worker, which
# the node on the same host tracks itself, and how long work takes there (100 = usual).
DIALECT = Dialect(
    attempt_id=b"x-attempt-id",
    time_left_ms=b"x-deadline-ms",
    worker_id=b"x-expected-instance",
    caller_service=b"x-caller-service",
    key=b"x-key",
    account=b"x-tenant",
    not_run=b"x-not-executed",
    signature=b"x-response-signature",
    answering_worker_id=b"x-instance-id",
    read_limit=read_limit,
    read_cold=read_cold,
    is_leaving=is_leaving,
    read_slowness=read_slowness,
    get_parent=get_parent_id,
    readiness_path=b"/api/ready",
    worker_path=b"/api/instances/",
    metrics_path=b"/metrics",
)
