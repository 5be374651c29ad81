"""Error responses that the node itself sends to callers."""

from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult
from bamboocove.transport.exchanges import Exchange

# Tells callers that the request has not run and will not run, so that they may
# retry it.
NOT_RUN_STATUS = 503
# Errors with a status of their own: a retry, or one before the time given, is in vain.
_KEPT_KINDS = (
    ErrorKind.NO_ROUTE,
    ErrorKind.BAD_REQUEST,
    ErrorKind.TOO_LARGE,
    ErrorKind.UNAUTHENTICATED,
    ErrorKind.QUOTA_EXCEEDED,
)


def get_status_code(error: ErrorResult) -> int:
    """Return the HTTP status code for an error.

    Examples
    --------
    >>> get_status_code(ErrorResult(ErrorKind.DEADLINE_BEFORE_DISPATCH, "late"))
    503
    >>> get_status_code(ErrorResult(ErrorKind.DEADLINE_AFTER_DISPATCH, "late"))
    504
    """
    response = ERROR_RESPONSES[error.kind]
    if response.run == "not-run" and error.kind not in _KEPT_KINDS:
        return NOT_RUN_STATUS
    return response.status


def send_error(
    exchange: Exchange, error: ErrorResult, retry_after_s: float = 0.0
) -> int:
    """Send an error response and return its status code.

    Parameters
    ----------
    exchange : Exchange
        The request to respond to.
    error : ErrorResult
        The error; its text is the response body.
    retry_after_s : float
        Value of the Retry-After field in seconds; 0 sends no such field.
    """
    status = get_status_code(error)
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if retry_after_s:
        headers.append((b"retry-after", b"%.3f" % retry_after_s))
    exchange.respond(status, headers, f"{error}\n".encode())
    return status
