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
from bamboocove.sidecar.gate import Gate, GateRequest


@define
class Forwarding:
    """Hands forwarded requests to the gate, and its replies to the links.

    Requests are started after all that was read together with them: a host that
    stood still reads a request and its cancel at once.

    Parameters
    ----------
    gate : Gate
        Queue of the worker on this host.
    clock : reactor
        Source of time.
    """

    gate: Gate
    clock: Any
    _requests_by_link: dict[Any, dict[int, GateRequest]] = field(factory=dict)
    _unstarted_by_key: dict[tuple[Any, int], Forward | None] = field(factory=dict)

    def take(self, link: Any, message: Forward | Cancel | None) -> None:
        """Take a message of a link; None if the link was closed."""
        if isinstance(message, Forward):
            if not self._unstarted_by_key:
                self.clock.callLater(0, self._start_all)
            self._unstarted_by_key[link, message.stream] = message
        elif message is None:
            for key in [key for key in self._unstarted_by_key if key[0] is link]:
                self._unstarted_by_key[key] = None
            for request in self._requests_by_link.pop(link, {}).values():
                self.gate.cancel(request)
        elif (link, message.stream) in self._unstarted_by_key:
            self._unstarted_by_key[link, message.stream] = None
        else:
            request = self._requests_by_link.get(link, {}).get(message.stream)
            if request is not None:
                self.gate.cancel(request)

    def _start_all(self) -> None:
        unstarted, self._unstarted_by_key = self._unstarted_by_key, {}
        for (link, stream), forward in unstarted.items():
            if forward is None:
                continue
            requests = self._requests_by_link.setdefault(link, {})
            request = self.gate.submit(forward, partial(self._reply, link))
            if not request.is_ended:
                requests[stream] = request

    def _reply(self, link: Any, reply: Reply) -> None:
        requests = self._requests_by_link.get(link)
        if requests is not None:
            requests.pop(reply.stream, None)
        link.send_encoded(encode_mesh_message(reply))
