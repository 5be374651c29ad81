"""Large replies that wait here until the nodes of their callers take them."""

from typing import Any

from attrs import define, evolve, field

from bamboocove.coordination.body_queue import PIECE_BYTES
from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.protocol.mesh_messages import (
    LOST,
    Reply,
    ReplyOffer,
    ReplyPart,
    encode_mesh_message,
)
from bamboocove.sidecar.logs import log_program_error


@define
class _HeldReply:
    reply: Reply
    deadline: float
    is_granted: bool = False
    sent_bytes: int = 0


@define(eq=False)
class ReplyOffers:
    """Offers large replies on links, and sends them in parts when they are granted.

    The next part is sent when the link has sent the last one. Small messages thus wait
    behind one part and not behind whole bodies, and none of a body is in the buffers of
    the link.

    Parameters
    ----------
    budget : ByteBudget
        Bodies that the node holds; counts a reply until its last part was sent.
    """

    budget: ByteBudget
    _replies_by_link: dict[Any, dict[int, _HeldReply]] = field(factory=dict)

    def add_link(self, link: Any) -> None:
        """Offer large replies on a link, because the peer has said that it takes them.

        Peers of earlier releases get each reply as one message.
        """
        self._replies_by_link.setdefault(link, {})
        link.on_drained = lambda: self._send_parts(link)

    def send(self, link: Any, reply: Reply, deadline: float) -> None:
        """Send a small reply; offer a large one.

        It takes the place of one that is held for the same stream.

        Parameters
        ----------
        link : PeerLink
            Link on which the request came.
        reply : Reply
            The reply.
        deadline : float
            Time after which it is no longer offered, in seconds of the local clock.
        """
        replies = self._replies_by_link.get(link)
        if replies is None or len(reply.body) <= PIECE_BYTES:
            link.send_encoded(encode_mesh_message(reply))
            return
        self.remove(link, reply.stream)
        replies[reply.stream] = _HeldReply(reply, deadline)
        self.budget.pass_on(len(reply.body))
        self.budget.offered += len(reply.body)
        offer = ReplyOffer(reply.stream, len(reply.body))
        link.send_encoded(encode_mesh_message(offer))

    def grant(self, link: Any, stream: int) -> None:
        """Send a reply that the other node has permitted."""
        held = self._replies_by_link.get(link, {}).get(stream)
        if held is not None:
            held.is_granted = True
            self._send_parts(link)

    def _send_parts(self, link: Any) -> None:
        replies = self._replies_by_link.get(link, {})
        granted = [held for held in replies.values() if held.is_granted]
        for held in granted:
            while not link.is_paused:
                if self._send_part(link, held):
                    break
            else:
                return

    def _send_part(self, link: Any, held: _HeldReply) -> bool:
        """Send the next part of a reply; return whether it was the last."""
        reply = held.reply
        part = reply.body[held.sent_bytes : held.sent_bytes + PIECE_BYTES]
        held.sent_bytes += len(part)
        if held.sent_bytes < len(reply.body):
            link.send_encoded(encode_mesh_message(ReplyPart(reply.stream, part)))
            return False
        link.send_encoded(encode_mesh_message(evolve(reply, body=part)))
        self.remove(link, reply.stream)
        return True

    def remove(self, link: Any, stream: int) -> bool:
        """Forget a reply that is no longer wanted; return whether there was one."""
        held = self._replies_by_link.get(link, {}).pop(stream, None)
        if held is None:
            return False
        self.budget.offered -= len(held.reply.body)
        self.budget.release(len(held.reply.body))
        return True

    def remove_link(self, link: Any) -> None:
        """Forget all replies of a link that was closed."""
        for stream in list(self._replies_by_link.get(link, {})):
            self.remove(link, stream)
        self._replies_by_link.pop(link, None)

    @property
    def count(self) -> int:
        """Number of replies that are held."""
        return sum(map(len, self._replies_by_link.values()))

    def end_all(self, reason: str) -> None:
        """Tell the other nodes that the replies held for them are lost."""
        for link, replies in list(self._replies_by_link.items()):
            for stream, held in list(replies.items()):
                lost = evolve(
                    held.reply, outcome=LOST, status=0, headers=[], body=reason.encode()
                )
                # An exception would leave the others to their deadlines.
                try:
                    self.remove(link, stream)
                    link.send_encoded(encode_mesh_message(lost))
                except Exception:
                    log_program_error("node.message-failed", message="Reply")

    def tick(self, now: float) -> None:
        """Forget replies that nobody waits for any more."""
        for link, replies in self._replies_by_link.items():
            for stream in [s for s, held in replies.items() if held.deadline <= now]:
                self.remove(link, stream)
