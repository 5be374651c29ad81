"""Admission of requests of accounts with a limit by the tokens of their quota."""

from collections import deque
from collections.abc import Callable, Collection
from typing import Any

from attrs import define, field

from bamboocove.coordination.quota_client import QuotaClient
from bamboocove.coordination.quota_stock import MIN_DENIAL_S, Admission
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.sidecar.metrics import MeshMetrics
from bamboocove.sidecar.outbound_request import OutboundRequest

# Longest time for which a request waits for a token, in seconds.
MAX_WAIT_S = 0.15
# Mean Retry-After of a request that no granter answered for, in seconds.
UNANSWERED_RETRY_AFTER_S = 0.3

Respond = Callable[[OutboundRequest, ErrorResult, float], None]


@define
class _Waiting:
    request: OutboundRequest
    resume: Callable[[OutboundRequest], None]
    until: float


@define(eq=False)
class QuotaAdmission:
    """Lets a request go on that took a token; all others wait or are refused.

    Parameters
    ----------
    client : QuotaClient
        Asks granters for tokens, and holds the stock of this node.
    read_time : callable
        Returns seconds of a clock that counts suspension.
    send : callable
        Sends messages to granters.
    respond : callable
        Answers a request with an error and a delay until a retry, in seconds.
    end_failed : callable
        Ends a request because of the exception that is being handled.
    random : callable
        Returns a float from 0 to 1.
    metrics : MeshMetrics
        Counters.
    on_unanswered : callable
        Called with the account of a request that no granter answered for.
    on_denied : callable
        Called with the account of a request over its quota.
    """

    client: QuotaClient
    read_time: Callable[[], float]
    send: Callable[[list[tuple[str, Any]]], None]
    respond: Respond
    end_failed: Callable[[OutboundRequest], None]
    random: Callable[[], float]
    metrics: MeshMetrics
    on_unanswered: Callable[[str], None]
    on_denied: Callable[[str], None]
    _waiting_by_account: dict[str, deque[_Waiting]] = field(factory=dict)

    @property
    def waiting(self) -> int:
        """Number of requests that wait for a token."""
        return sum(len(queue) for queue in self._waiting_by_account.values())

    def admit(
        self, request: OutboundRequest, resume: Callable[[OutboundRequest], None]
    ) -> bool:
        """Return whether a request may go on; otherwise hold or refuse it.

        Parameters
        ----------
        request : OutboundRequest
            A request that has been read.
        resume : callable
            Called with the request when it has a token after a wait.
        """
        account = request.account
        stock = self.client.stock
        if account is None or not stock.is_limited(account.name):
            return True
        if request.token_expires_at is not None:
            return True
        name, now = account.name, self.read_time()
        admission = stock.arrive(name, now)
        if admission is Admission.ADMITTED:
            self._admit(request, stock.take(name, now))
            return True
        if admission is Admission.DENIED:
            self._deny(request, now)
        elif not self.client.has_granter():
            self._refuse_unanswered(request)
        else:
            queue = self._waiting_by_account.setdefault(name, deque())
            queue.append(_Waiting(request, resume, now + MAX_WAIT_S))
            stock.set_waiting(name, len(queue))
            self.send(self.client.ask(now, [name]))
        return False

    def give_back(self, request: OutboundRequest) -> None:
        """Keep the token of a request that no worker has run."""
        expires_at, request.token_expires_at = request.token_expires_at, None
        if expires_at is None or request.account is None:
            return
        self.metrics.count_quota_request("returned")
        now = self.read_time()
        self.client.stock.give_back(request.account.name, expires_at, now)

    def settle(self, names: Collection[str], denied: Collection[str] = ()) -> None:
        """Go on with requests that can take a token now, and end waits that are over.

        Parameters
        ----------
        names : collection of str
            Accounts whose tokens may have changed.
        denied : collection of str
            Accounts for which a granter just said that there is no token.
        """
        for name in names:
            queue = self._waiting_by_account.get(name)
            if queue is not None:
                self._settle(name, queue, name in denied)

    def settle_all(self) -> None:
        """Go on with or refuse requests of all accounts, for example in time."""
        self.settle(list(self._waiting_by_account))

    def _settle(self, name: str, queue: deque[_Waiting], is_denied: bool) -> None:
        stock = self.client.stock
        admitted, denied, unanswered = [], [], []
        now = self.read_time()
        is_limited = stock.is_limited(name)
        while queue:
            waiting = queue[0]
            if waiting.request.is_ended:
                queue.popleft()
                continue
            expires_at = stock.take(name, now)
            if expires_at is not None:
                self._admit(waiting.request, expires_at)
                admitted.append(waiting)
            elif not is_limited:
                # The limit was removed meanwhile.
                admitted.append(waiting)
            elif is_denied and not stock.count_asked(name):
                denied.append(waiting)
            elif now >= waiting.until:
                unanswered.append(waiting)
            else:
                break
            queue.popleft()
        if not queue:
            del self._waiting_by_account[name]
        stock.set_waiting(name, len(queue))
        # Last, because each of them may lead to a further request.
        steps = [(waiting.resume, waiting.request) for waiting in admitted]
        steps += [(lambda r: self._deny(r, now), waiting.request) for waiting in denied]
        steps += [(self._refuse_unanswered, waiting.request) for waiting in unanswered]
        for step, request in steps:
            try:
                step(request)
            except Exception:
                # Nothing else would end the request before its deadline.
                self.end_failed(request)

    def _admit(self, request: OutboundRequest, expires_at: float | None) -> None:
        request.token_expires_at = expires_at
        self.metrics.count_quota_request("admitted")

    def _deny(self, request: OutboundRequest, now: float) -> None:
        name = request.account.name
        self.metrics.count_quota_request("denied")
        self.on_denied(name)
        wait_s = max(MIN_DENIAL_S, self.client.stock.get_denial(name, now))
        reason = f"the account {name} has used its quota"
        self.respond(request, ErrorResult(ErrorKind.QUOTA_EXCEEDED, reason), wait_s)

    def _refuse_unanswered(self, request: OutboundRequest) -> None:
        self.metrics.count_quota_request("unanswered")
        self.on_unanswered(request.account.name)
        wait_s = UNANSWERED_RETRY_AFTER_S * (0.5 + self.random())
        reason = "no node that grants quotas is reached"
        self.respond(request, ErrorResult(ErrorKind.OVERLOADED, reason), wait_s)
