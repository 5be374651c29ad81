"""All error kinds and the HTTP response that each one maps to."""

import enum
from typing import Literal

from attrs import frozen


class ErrorKind(enum.Enum):
    """Kind of an error, as reported to clients and operators."""

    BAD_REQUEST = "bad_request"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    SUSPECT_REQUEST = "suspect_request"
    UNAUTHENTICATED = "unauthenticated"
    STALE_KEYS = "stale_keys"
    QUOTA_EXCEEDED = "quota_exceeded"
    KEY_REQUIRED = "key_required"
    KEY_IN_PROGRESS = "key_in_progress"
    KEY_REUSED = "key_reused"
    STORE_UNAVAILABLE = "store_unavailable"
    STORE_UNKNOWN = "store_unknown"
    DEADLINE_BEFORE_DISPATCH = "deadline_before_dispatch"
    DEADLINE_AFTER_DISPATCH = "deadline_after_dispatch"
    CANCELLED = "cancelled"
    UPSTREAM_REFUSED = "upstream_refused"
    UPSTREAM_LOST = "upstream_lost"
    TOO_LARGE = "too_large"
    CONFLICT = "conflict"
    FENCED = "fenced"
    NOT_FOUND = "not_found"
    INVALID_TEXT = "invalid_text"
    INVALID_SETTINGS = "invalid_settings"
    INVALID_MESSAGE = "invalid_message"
    INVALID_CONFIG = "invalid_config"
    STALE = "stale"


@frozen
class ErrorResult:
    """An error that a function returns in place of its result.

    It is falsy, so that ``if not result`` detects it.

    Parameters
    ----------
    kind : ErrorKind
        Kind, which determines the HTTP response.
    reason : str
        Explanation for people.

    Examples
    --------
    >>> result = ErrorResult(ErrorKind.NO_ROUTE, "no route for GET /x")
    >>> bool(result)
    False
    >>> str(result)
    'no_route: no route for GET /x'
    """

    kind: ErrorKind
    reason: str

    def __bool__(self) -> bool:
        return False

    def __str__(self) -> str:
        return f"{self.kind.value}: {self.reason}"


RunState = Literal["not-run", "unknown"]


@frozen
class ErrorResponse:
    """HTTP response to an error kind.

    Parameters
    ----------
    status : int
        HTTP status code.
    run : {"not-run", "unknown"}
        ``not-run`` if the request certainly did not run on an upstream.
    retryable : bool
        Whether the client may resend the same request unchanged.
    retry_after_s : int
        Seconds to wait before a retry; 0 sends no ``Retry-After`` header.
    """

    status: int
    run: RunState
    retryable: bool
    retry_after_s: int = 0


ERROR_RESPONSES: dict[ErrorKind, ErrorResponse] = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, "not-run", False),
    ErrorKind.NO_ROUTE: ErrorResponse(404, "not-run", False),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, "not-run", True, 1),
    ErrorKind.OVERLOADED: ErrorResponse(503, "not-run", True, 1),
    ErrorKind.NOT_READY: ErrorResponse(503, "not-run", True, 1),
    ErrorKind.DRAINING: ErrorResponse(503, "not-run", True, 1),
    ErrorKind.SUSPECT_REQUEST: ErrorResponse(422, "not-run", False),
    ErrorKind.UNAUTHENTICATED: ErrorResponse(401, "not-run", False),
    ErrorKind.STALE_KEYS: ErrorResponse(503, "not-run", True, 1),
    ErrorKind.QUOTA_EXCEEDED: ErrorResponse(429, "not-run", True, 1),
    ErrorKind.KEY_REQUIRED: ErrorResponse(400, "not-run", False),
    ErrorKind.KEY_IN_PROGRESS: ErrorResponse(409, "unknown", True, 2),
    ErrorKind.KEY_REUSED: ErrorResponse(422, "not-run", False),
    ErrorKind.STORE_UNAVAILABLE: ErrorResponse(503, "not-run", True, 5),
    ErrorKind.STORE_UNKNOWN: ErrorResponse(503, "not-run", True, 5),
    ErrorKind.DEADLINE_BEFORE_DISPATCH: ErrorResponse(504, "not-run", True),
    ErrorKind.DEADLINE_AFTER_DISPATCH: ErrorResponse(504, "unknown", False),
    ErrorKind.CANCELLED: ErrorResponse(499, "unknown", False),
    ErrorKind.UPSTREAM_REFUSED: ErrorResponse(503, "not-run", True, 1),
    ErrorKind.UPSTREAM_LOST: ErrorResponse(502, "unknown", False),
    ErrorKind.TOO_LARGE: ErrorResponse(413, "not-run", False),
    ErrorKind.CONFLICT: ErrorResponse(409, "not-run", False),
    ErrorKind.FENCED: ErrorResponse(409, "not-run", False),
    ErrorKind.NOT_FOUND: ErrorResponse(404, "not-run", False),
    ErrorKind.INVALID_TEXT: ErrorResponse(422, "not-run", False),
    ErrorKind.INVALID_SETTINGS: ErrorResponse(500, "not-run", False),
    ErrorKind.INVALID_MESSAGE: ErrorResponse(400, "not-run", False),
    ErrorKind.INVALID_CONFIG: ErrorResponse(422, "not-run", False),
    ErrorKind.STALE: ErrorResponse(409, "not-run", False),
}
