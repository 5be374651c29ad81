"""Requests that other nodes forward to the worker on this host."""

from functools import partial
from typing import Any

from attrs import define, field

from bamboocove.protocol.mesh_messages import (
    Cancel,
    Forward,
    Reply,
    encode_mesh_message,
)
from bamboocove.sidecar.inbound import InboundProxy, InboundRequest


@define
class Forwarding:
    """Passes requests of other nodes to the inbound proxy, and its replies back.

    Requests are submitted only after all messages that were read together with
    them: a host that was paused may read a request and its cancellation at once.

    Parameters
    ----------
    inbound : InboundProxy
        Queue of the worker on this host.
    clock : reactor
        Source of time.
    """

    inbound: InboundProxy
    clock: Any
    _requests_by_link: dict[Any, dict[int, InboundRequest]] = field(factory=dict)
    _pending_by_key: dict[tuple[Any, int], Forward | None] = field(factory=dict)

    def take(self, link: Any, message: Forward | Cancel | None) -> None:
        """Handle a message of a link.

        Parameters
        ----------
        link : object
            Link that the message arrived on; replies go there.
        message : Forward, Cancel or None
            None if the link was closed, which cancels its requests.
        """
        if isinstance(message, Forward):
            if not self._pending_by_key:
                self.clock.callLater(0, self._submit_pending)
            self._pending_by_key[link, message.stream] = message
        elif message is None:
            for key in [key for key in self._pending_by_key if key[0] is link]:
                self._pending_by_key[key] = None
            for request in self._requests_by_link.pop(link, {}).values():
                self.inbound.cancel(request)
        elif (link, message.stream) in self._pending_by_key:
            self._pending_by_key[link, message.stream] = None
        else:
            request = self._requests_by_link.get(link, {}).get(message.stream)
            if request is not None:
                self.inbound.cancel(request)

    def _submit_pending(self) -> None:
        pending, self._pending_by_key = self._pending_by_key, {}
        for (link, stream), forward in pending.items():
            if forward is None:
                continue
            requests = self._requests_by_link.setdefault(link, {})
            request = self.inbound.submit(forward, partial(self._send_reply, link))
            if not request.is_ended:
                requests[stream] = request

    def _send_reply(self, link: Any, reply: Reply) -> None:
        requests = self._requests_by_link.get(link)
        if requests is not None:
            requests.pop(reply.stream, None)
        link.send_encoded(encode_mesh_message(reply))
