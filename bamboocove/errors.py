"""The closed list of error kinds and the answer that each one gets."""

import enum
from typing import Literal

from attrs import frozen


class ErrorKind(enum.Enum):
    """Every kind of error that the system reports."""

    BAD_REQUEST = "bad_request"
    NO_ROUTE = "no_route"
    NO_UPSTREAM = "no_upstream"
    OVERLOADED = "overloaded"
    NOT_READY = "not_ready"
    DRAINING = "draining"
    SUSPECT_REQUEST = "suspect_request"
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
    """A sentinel that a function returns instead of its result.

    It is false, so that ``if not result`` reads as expected.

    Parameters
    ----------
    kind : ErrorKind
        Which entry of the closed list this is.
    reason : str
        What went wrong, for a person.

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
class Answer:
    """How an error kind is answered over HTTP.

    Parameters
    ----------
    status : int
        HTTP status code.
    run : {"not-run", "unknown"}
        Whether the request is known not to have reached an upstream.
    retryable : bool
        Whether the same request may be sent again as it is.
    retry_after_s : int
        Seconds to wait before a retry; 0 sends no ``Retry-After`` header.
    """

    status: int
    run: RunState
    retryable: bool
    retry_after_s: int = 0


ANSWERS: dict[ErrorKind, Answer] = {
    ErrorKind.BAD_REQUEST: Answer(400, "not-run", False),
    ErrorKind.NO_ROUTE: Answer(404, "not-run", False),
    ErrorKind.NO_UPSTREAM: Answer(503, "not-run", True, 1),
    ErrorKind.OVERLOADED: Answer(503, "not-run", True, 1),
    ErrorKind.NOT_READY: Answer(503, "not-run", True, 1),
    ErrorKind.DRAINING: Answer(503, "not-run", True, 1),
    ErrorKind.SUSPECT_REQUEST: Answer(422, "not-run", False),
    ErrorKind.KEY_REQUIRED: Answer(400, "not-run", False),
    ErrorKind.KEY_IN_PROGRESS: Answer(409, "unknown", True, 2),
    ErrorKind.KEY_REUSED: Answer(422, "not-run", False),
    ErrorKind.STORE_UNAVAILABLE: Answer(503, "not-run", True, 5),
    ErrorKind.STORE_UNKNOWN: Answer(503, "not-run", True, 5),
    ErrorKind.DEADLINE_BEFORE_DISPATCH: Answer(504, "not-run", True),
    ErrorKind.DEADLINE_AFTER_DISPATCH: Answer(504, "unknown", False),
    ErrorKind.CANCELLED: Answer(499, "unknown", False),
    ErrorKind.UPSTREAM_REFUSED: Answer(503, "not-run", True, 1),
    ErrorKind.UPSTREAM_LOST: Answer(502, "unknown", False),
    ErrorKind.TOO_LARGE: Answer(413, "not-run", False),
    ErrorKind.CONFLICT: Answer(409, "not-run", False),
    ErrorKind.FENCED: Answer(409, "not-run", False),
    ErrorKind.NOT_FOUND: Answer(404, "not-run", False),
    ErrorKind.INVALID_TEXT: Answer(422, "not-run", False),
    ErrorKind.INVALID_SETTINGS: Answer(500, "not-run", False),
    ErrorKind.INVALID_MESSAGE: Answer(400, "not-run", False),
    ErrorKind.INVALID_CONFIG: Answer(422, "not-run", False),
    ErrorKind.STALE: Answer(409, "not-run", False),
}
