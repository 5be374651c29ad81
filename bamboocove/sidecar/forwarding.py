"""Requests that other nodes forward to the worker on this host."""

from functools import partial
from typing import Any

from attrs import define, field

from bamboocove.protocol.hops import Cancel, Forward, Reply, encode_hop
from bamboocove.sidecar.gate import Gate, GateRequest


@define
class Forwarding:
    """Hands forwarded requests to the gate, and its replies to the links.

    Parameters
    ----------
    gate : Gate
        Queue of the worker on this host.
    """

    gate: Gate
    _requests_by_link: dict[Any, dict[int, GateRequest]] = field(factory=dict)

    def take(self, link: Any, message: Forward | Cancel | None) -> None:
        """Take a message of a link; None if the link was closed."""
        if isinstance(message, Forward):
            requests = self._requests_by_link.setdefault(link, {})
            request = self.gate.submit(message, partial(self._reply, link))
            if not request.is_ended:
                requests[message.stream] = request
        elif message is None:
            for request in self._requests_by_link.pop(link, {}).values():
                self.gate.cancel(request)
        else:
            request = self._requests_by_link.get(link, {}).get(message.stream)
            if request is not None:
                self.gate.cancel(request)

    def _reply(self, link: Any, reply: Reply) -> None:
        requests = self._requests_by_link.get(link)
        if requests is not None:
            requests.pop(reply.stream, None)
        link.send_encoded(encode_hop(reply))
