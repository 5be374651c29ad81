"""Answers of the node itself to callers."""

from bamboocove.errors import ERROR_RESPONSES, ErrorKind, ErrorResult
from bamboocove.transport.exchanges import Exchange

# Callers take this status as a promise that the request has not run and will
# not run, so that they may send it again.
NOT_RUN_STATUS = 503
_FINAL_KINDS = (ErrorKind.NO_ROUTE, ErrorKind.BAD_REQUEST, ErrorKind.TOO_LARGE)


def choose_status(error: ErrorResult) -> int:
    """Return the status code of an error.

    Examples
    --------
    >>> choose_status(ErrorResult(ErrorKind.DEADLINE_BEFORE_DISPATCH, "late"))
    503
    >>> choose_status(ErrorResult(ErrorKind.DEADLINE_AFTER_DISPATCH, "late"))
    504
    """
    answer = ERROR_RESPONSES[error.kind]
    if answer.run == "not-run" and error.kind not in _FINAL_KINDS:
        return NOT_RUN_STATUS
    return answer.status


def refuse(exchange: Exchange, error: ErrorResult, return_s: float = 0.0) -> int:
    """Answer a request with an error; return the status code.

    Parameters
    ----------
    exchange : Exchange
        The request.
    error : ErrorResult
        Why it is not served.
    return_s : float
        When the caller may come back, in seconds; 0 says nothing.
    """
    status = choose_status(error)
    headers = [(b"content-type", b"text/plain; charset=utf-8")]
    if return_s:
        headers.append((b"retry-after", b"%.3f" % return_s))
    exchange.respond(status, headers, f"{error}\n".encode())
    return status
