"""Log of calls to the platform's store."""

from bamboocove.errors import ErrorResult
from bamboocove.sidecar.logs import log
from bamboocove.transport.fetching import Response

# Responses from this size on are logged, in bytes. One that takes longer to cross a
# slow network link than the client waits never arrives.
LOGGED_RESPONSE_BYTES = 64 * 1024


def log_call(target: str, result: Response | ErrorResult, seconds: float) -> None:
    """Log a call that failed or whose response is large."""
    is_failure = isinstance(result, ErrorResult)
    size = 0 if is_failure else len(result.body)
    if is_failure or size >= LOGGED_RESPONSE_BYTES:
        log(
            "store.call",
            target=target,
            bytes=size,
            seconds=round(seconds, 3),
            reason=result.reason if is_failure else "",
        )
