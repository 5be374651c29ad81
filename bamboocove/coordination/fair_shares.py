"""Fair queueing of a worker's requests among client accounts.

Load pattern: the accounts of a priority together ask for more than a worker can run,
mostly because one of them sends several times its usual. In order of arrival each
account would be refused in the same proportion, also those that send what they always
do. With start-time fair queueing an account waits behind its own backlog only, and
what accounts don't use goes to the others.
"""

from collections.abc import Callable, Mapping

from attrs import define, field

from bamboocove.state.mesh import ClientAccount

# Account of requests that belong to none, or to one without a rate.
SHARED = ""
# Requests that an account which sent less than its share may have at once ahead of the
# others. Without them one with a request every few seconds was refused each time that
# two came close together.
BURST_REQUESTS = 4
# Accounts whose last request is this far behind are forgotten when there are more.
MAX_IDLE_ACCOUNTS = 256


@define
class FairShares:
    """Virtual times of the accounts whose requests wait for one worker.

    A request gets the virtual time at which it would start if each account had a
    worker of its own, of a speed in proportion to the weight of the account. Requests
    start in the order of these times; those of one account in the order of arrival.

    Parameters
    ----------
    get_weight : callable
        Takes the name of an account; returns its weight, above 0.
    """

    get_weight: Callable[[str], float]
    _now: float = 0.0
    _free_at_by_account: dict[str, float] = field(factory=dict)

    def get_start(self, account: str, service_s: float) -> float:
        """Return the virtual time at which the next request of an account starts.

        ``service_s`` is its expected service time in seconds.
        """
        credit = BURST_REQUESTS * service_s / self.get_weight(account)
        free_at = self._free_at_by_account.get(account, float("-inf"))
        return max(self._now - credit, free_at)

    def add(self, account: str, service_s: float) -> None:
        """Count a request of an account, with its expected service time in seconds."""
        duration = service_s / self.get_weight(account)
        start = self.get_start(account, service_s)
        self._free_at_by_account[account] = start + duration
        if len(self._free_at_by_account) > MAX_IDLE_ACCOUNTS:
            self._free_at_by_account = {
                name: free_at
                for name, free_at in self._free_at_by_account.items()
                if free_at > self._now
            }

    def remove(self, account: str, service_s: float) -> None:
        """Take back a request that was counted and does not run."""
        free_at = self._free_at_by_account.get(account)
        if free_at is not None:
            duration = service_s / self.get_weight(account)
            self._free_at_by_account[account] = free_at - duration

    def advance(self, start: float) -> None:
        """Let the virtual time reach that of a request that starts."""
        self._now = max(self._now, start)


def get_share_key(name: str, accounts_by_name: Mapping[str, ClientAccount]) -> str:
    """Return the account that a request is queued for, ``SHARED`` without a rate."""
    account = accounts_by_name.get(name)
    return name if account is not None and account.rate_per_s > 0.0 else SHARED


def make_shares(
    accounts_by_name: Mapping[str, ClientAccount],
) -> FairShares | None:
    """Return the shares of some accounts; None if there is none with a rate.

    An account weighs as much as its rate: with equal weights the largest one, which has
    a quarter of all requests, would bear the whole shortage. All requests without a
    rate together weigh as much as the accounts with one.
    """
    rates_by_name = {
        name: account.rate_per_s
        for name, account in accounts_by_name.items()
        if account.rate_per_s > 0.0
    }
    if not rates_by_name:
        return None
    shared = sum(rates_by_name.values())
    return FairShares(lambda account: rates_by_name.get(account, shared))
