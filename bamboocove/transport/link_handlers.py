"""Callbacks of a link between nodes."""

from collections.abc import Callable
from typing import Any

from attrs import frozen


def _decode_message(data: bytes) -> Any:
    # Imported on first use: nodes that supply their own decoder start faster
    # without the import of the message classes.
    from bamboocove.protocol.messages import decode_message

    return decode_message(data)


@frozen
class LinkHandlers:
    """Callbacks of a link.

    Parameters
    ----------
    on_open : callable
        Called with the link when it opens and messages can be sent.
    on_message : callable
        Called with the link and each received message.
    on_closed : callable
        Called exactly once with the link and the reason, even if it never opened.
    decode : callable
        Decodes the payload of a frame to a message or an ErrorResult.
    """

    on_open: Callable[[Any], None]
    on_message: Callable[[Any, Any], None]
    on_closed: Callable[[Any, str], None]
    decode: Callable[[bytes], Any] = _decode_message
