"""Tokens that a node holds for the next requests of accounts with a limit.

A token must be used soon after it was asked for. Otherwise tokens that nodes hold could
be used together with those of a later time, and exceed the quota of a window.
"""

import math
from collections.abc import Iterable, Mapping
from enum import Enum, auto

from attrs import define, field

from bamboocove.coordination.quota_buckets import DemandRate
from bamboocove.state.mesh import ClientAccount

# Life of a token, as a fraction of what a window tolerates. The rest covers gifts
# between zones and the way of a request to its worker.
TOKEN_LIFE_FRACTION = 0.8
# Time for whose demand a node holds tokens, in seconds.
STOCKED_S = 0.2
# Tokens that the demand of STOCKED_S must come to before a node holds any. With fewer,
# many would expire unused: 13% if one is expected.
MIN_STOCK = 3.0
# A node asks again when it holds less than this fraction of what it should.
REFILL_FRACTION = 0.6
# Time for which a node asks for no tokens of an account after a refusal, at least, in
# seconds. It bounds the messages of a node whose clients send too much.
MIN_DENIAL_S = 0.1
# Accounts without a request in this time are forgotten, in seconds.
IDLE_S = 2.0


class Admission(Enum):
    """What becomes of a request."""

    ADMITTED = auto()
    # The granter is to be asked.
    UNKNOWN = auto()
    # The granter said a moment ago that there is no token.
    DENIED = auto()


@define
class _AccountStock:
    # Expiry of each token, in the order in which the tokens were asked for. A list,
    # as an empty deque takes 0.6 KB, and accounts are many and tokens few.
    expiries: list[float] = field(factory=list)
    demand: DemandRate = field(factory=DemandRate)
    requested_at: float = 0.0
    denied_until: float = 0.0
    # Tokens that were asked for before this time belong to an earlier limit.
    limited_at: float = -math.inf
    waiting: int = 0
    asked: int = 0


@define
class QuotaStock:
    """The tokens of a node by account; all times are in seconds of one local clock.

    Parameters
    ----------
    token_life_s : float
        Time after which a token that was asked for may no longer be used.
    """

    token_life_s: float
    _accounts_by_name: Mapping[str, ClientAccount] = field(factory=dict)
    _stocks_by_account: dict[str, _AccountStock] = field(factory=dict)

    def use_limits(
        self, accounts_by_name: Mapping[str, ClientAccount], now: float
    ) -> None:
        """Apply the limits of a configuration; drop tokens of a changed limit."""
        before, self._accounts_by_name = self._accounts_by_name, accounts_by_name
        for name, stock in list(self._stocks_by_account.items()):
            if not self.is_limited(name):
                del self._stocks_by_account[name]
            elif _get_limit(before, name) != _get_limit(accounts_by_name, name):
                stock.expiries.clear()
                stock.denied_until = 0.0
                stock.limited_at = now

    def is_limited(self, name: str) -> bool:
        """Return whether requests of an account are counted."""
        return _get_limit(self._accounts_by_name, name)[0] > 0.0

    def arrive(self, name: str, now: float) -> Admission:
        """Count a request that has arrived, and say what becomes of it."""
        stock = self._stocks_by_account.setdefault(name, _AccountStock())
        stock.demand.add(1, now)
        stock.requested_at = now
        if stock.waiting:
            return Admission.UNKNOWN
        _drop_expired(stock, now)
        if stock.expiries:
            return Admission.ADMITTED
        return Admission.DENIED if now < stock.denied_until else Admission.UNKNOWN

    def take(self, name: str, now: float) -> float | None:
        """Take a token; return its expiry, or None if there is none."""
        stock = self._stocks_by_account.get(name)
        if stock is None:
            return None
        _drop_expired(stock, now)
        return stock.expiries.pop(0) if stock.expiries else None

    def give_back(self, name: str, expires_at: float, now: float) -> None:
        """Keep the token of a request that no worker ran, until its expiry."""
        stock = self._stocks_by_account.get(name)
        if stock is None or now >= expires_at:
            return
        if expires_at - self.token_life_s >= stock.limited_at:
            stock.expiries.insert(0, expires_at)

    def set_waiting(self, name: str, count: int) -> None:
        """Set how many requests of an account wait for a token."""
        stock = self._stocks_by_account.get(name)
        if stock is not None:
            stock.waiting = count

    def get_denial(self, name: str, now: float) -> float:
        """Return for how long requests of an account are refused, in seconds."""
        stock = self._stocks_by_account.get(name)
        return 0.0 if stock is None else max(0.0, stock.denied_until - now)

    def count_tokens(self, name: str, now: float) -> int:
        """Return the tokens of an account that may still be used."""
        stock = self._stocks_by_account.get(name)
        return 0 if stock is None else sum(at > now for at in stock.expiries)

    def plan(
        self, now: float, names: Iterable[str] | None = None
    ) -> dict[str, tuple[int, int]]:
        """Return the tokens to ask for now, and count them as asked for.

        ``on_answered`` or ``on_lost`` must follow for each plan.

        Parameters
        ----------
        names : iterable of str, optional
            Accounts to look at; all that sent requests lately by default.

        Returns
        -------
        counts_by_account : dict of str to (int, int)
            Tokens to ask for, and how many of them requests wait for.
        """
        counts = {}
        for name in list(self._stocks_by_account) if names is None else names:
            stock = self._stocks_by_account.get(name)
            if stock is None:
                continue
            if now - stock.requested_at > IDLE_S and not stock.waiting:
                del self._stocks_by_account[name]
                continue
            if not stock.waiting and (
                now < stock.denied_until or stock.demand.value * STOCKED_S < MIN_STOCK
            ):
                continue
            _drop_expired(stock, now)
            expected = stock.demand.get(now) * STOCKED_S
            target = math.ceil(expected) if expected >= MIN_STOCK else 0
            # A token that expires within the time is not there when it is needed.
            later = now + min(STOCKED_S, self.token_life_s) / 4
            held = sum(expiry > later for expiry in stock.expiries) + stock.asked
            needed = missing = max(0, stock.waiting - held)
            if held < stock.waiting + target * REFILL_FRACTION:
                missing = max(missing, stock.waiting + target - held)
            if missing:
                counts[name] = missing, needed
                stock.asked += missing
        return counts

    def count_asked(self, name: str) -> int:
        """Return how many tokens of an account were asked for and not answered."""
        stock = self._stocks_by_account.get(name)
        return 0 if stock is None else stock.asked

    def on_asked(self, counts_by_account: Mapping[str, tuple[int, int]]) -> None:
        """Count tokens that are asked for once more, of another granter."""
        for name, (asked, _) in counts_by_account.items():
            stock = self._stocks_by_account.get(name)
            if stock is not None:
                stock.asked += asked

    def on_lost(self, counts_by_account: Mapping[str, tuple[int, int]]) -> None:
        """Handle that nobody answers what was asked for."""
        for name, (asked, _) in counts_by_account.items():
            stock = self._stocks_by_account.get(name)
            if stock is not None:
                stock.asked = max(0, stock.asked - asked)

    def on_answered(
        self,
        counts_by_account: Mapping[str, tuple[int, int]],
        granted_by_account: Mapping[str, int],
        waits_s_by_account: Mapping[str, float],
        asked_at: float,
        now: float,
    ) -> list[str]:
        """Add the tokens that a granter granted.

        Parameters
        ----------
        counts_by_account : mapping of str to (int, int)
            What was asked for, see ``plan``.
        granted_by_account : mapping of str to int
            Tokens of the answer.
        waits_s_by_account : mapping of str to float
            Time until a further token of accounts that got fewer, in seconds. Those
            that the granter does not know yet are missing.
        asked_at : float
            When the tokens were asked for; their life counts from then.

        Returns
        -------
        denied : list of str
            Accounts that got none, or fewer than requests waited for.
        """
        self.on_lost(counts_by_account)
        denied = []
        expires_at = asked_at + self.token_life_s
        for name, (asked, needed) in counts_by_account.items():
            stock = self._stocks_by_account.get(name)
            if stock is None:
                continue
            granted = max(0, min(asked, granted_by_account.get(name, 0)))
            if stock.limited_at <= asked_at and now < expires_at:
                stock.expiries.extend([expires_at] * granted)
            if granted < max(1, needed) and name in waits_s_by_account:
                wait_s = max(MIN_DENIAL_S, waits_s_by_account[name])
                stock.denied_until = now + wait_s
                denied.append(name)
        return denied


def _drop_expired(stock: _AccountStock, now: float) -> None:
    while stock.expiries and stock.expiries[0] <= now:
        stock.expiries.pop(0)


def _get_limit(
    accounts_by_name: Mapping[str, ClientAccount], name: str
) -> tuple[float, float]:
    account = accounts_by_name.get(name)
    return (0.0, 0.0) if account is None else (account.rate_per_s, account.burst)
