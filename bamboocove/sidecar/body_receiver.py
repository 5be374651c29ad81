"""Receives the bodies of callers' requests as far as the node has room for them."""

from collections.abc import Callable
from functools import partial
from typing import Any

from attrs import define, field

from bamboocove.coordination.byte_budget import ByteBudget
from bamboocove.coordination.request_bodies import (
    RequestBodies,
    count_missing,
    limit_body,
)
from bamboocove.coordination.retry_after import (
    compute_retry_after,
)
from bamboocove.coordination.room_forecast import RoomForecast
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.sidecar.outbound_request import OutboundRequest


@define(eq=False)
class BodyReceiver:
    """Receives bodies of requests, and refuses those that there is no room for.

    Parameters
    ----------
    budget : ByteBudget
        Bytes of all bodies that the node holds.
    clock : reactor
        Source of time.
    on_received : callable
        Called with a request whose body has arrived whole.
    refuse : callable
        Called with a request that was not passed on, an ErrorResult and the delay
        after which its caller should return, in seconds; 0 if it should not.
    random : callable
        Returns a float from 0 to 1.
    get_max_bytes : callable
        Returns the maximum size of a body that the configuration sets, in bytes, or
        None.
    """

    budget: ByteBudget
    clock: Any
    on_received: Callable[[OutboundRequest], None]
    refuse: Callable[[OutboundRequest, ErrorResult, float], None]
    random: Callable[[], float]
    get_max_bytes: Callable[[], int | None]
    _bodies: RequestBodies = field(init=False)
    _forecast: RoomForecast = field(factory=RoomForecast)

    def __attrs_post_init__(self) -> None:
        self._bodies = RequestBodies(self.budget)
        self.budget.on_release.append(self._record_release)

    def _record_release(self) -> None:
        self._forecast.record(self.budget.drained, self.clock.seconds())

    def receive(self, request: OutboundRequest) -> None:
        """Start to receive the body of a request, or refuse it before it is read."""
        length = request.exchange.length
        body = self._reserve(
            lambda now: self._bodies.start(
                request, length, now, request.deadline, self.get_max_bytes()
            )
        )
        if isinstance(body, ErrorKind):
            self._refuse(request, body, max(0, length))
            return
        request.received_body = body
        request.exchange.receive(
            partial(self._on_data, request), partial(self._on_end, request)
        )

    def release(self, request: OutboundRequest) -> None:
        """Drop the body of a request that has ended; safe to call more than once."""
        if request.received_body is not None:
            self._bodies.release(request.received_body)

    def _on_data(self, request: OutboundRequest, data: bytes) -> None:
        body = request.received_body
        error = self._reserve(lambda now: self._bodies.receive(body, data))
        if error is not None:
            self._refuse(request, error, len(body.data) + len(data), body.reserved)

    def _on_end(self, request: OutboundRequest) -> None:
        self._bodies.complete(request.received_body)
        self.on_received(request)

    def _reserve(self, attempt: Callable[[float], Any]) -> Any:
        """Reserve room, if need be that of bodies that can't arrive in time."""
        now = self.clock.seconds()
        result = attempt(now)
        if result is not ErrorKind.OVERLOADED:
            return result
        late = self._bodies.find_late(now)
        for body in late:
            reason = "its body arrives too slowly for its deadline"
            error = ErrorResult(ErrorKind.OVERLOADED, reason)
            self.refuse(body.owner, error, self._get_longest_delay(body.owner, now))
        return attempt(now) if late else result

    def _get_longest_delay(self, request: OutboundRequest, now: float) -> float:
        return compute_retry_after(request.caller_deadline - now, self.random)

    def _refuse(
        self, request: OutboundRequest, kind: ErrorKind, size: int, reserved: int = 0
    ) -> None:
        if kind is ErrorKind.TOO_LARGE:
            reason = f"its body exceeds {limit_body(self.get_max_bytes())} bytes"
            self.refuse(request, ErrorResult(kind, reason), 0.0)
            return
        now = self.clock.seconds()
        delay_s = self._forecast.schedule_return(
            size,
            count_missing(self.budget, size, reserved),
            self._get_longest_delay(request, now),
            self.random,
            now,
        )
        error = ErrorResult(kind, "no memory is left for its body")
        self.refuse(request, error, delay_s)
