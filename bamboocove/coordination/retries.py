"""Retry policy for calls that a worker refused without running them."""

from collections.abc import Callable

from attrs import define

# Allows a node with little traffic to retry at all.
INITIAL_TOKENS = 5.0
# Bounds the burst of retries after a period without any.
MAX_TOKENS = 50.0
MAX_ATTEMPTS = 3
BASE_DELAY_S = 0.01
MAX_DELAY_S = 0.25


@define
class RetryBudget:
    """Token bucket of the retries that a node may send, filled by its calls.

    Parameters
    ----------
    ratio : float
        Tokens earned per call.
    tokens : float
        Tokens left; each retry takes one.
    """

    ratio: float
    tokens: float = INITIAL_TOKENS

    def earn(self) -> None:
        """Add the tokens earned by a call that is not a retry."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take the token of one retry; return whether there was one."""
        if self.tokens < 1.0:
            return False
        self.tokens -= 1.0
        return True


def plan_retry(
    budget: RetryBudget,
    attempts: int,
    remaining_s: float,
    is_shed: bool,
    random: Callable[[], float],
) -> float | None:
    """Return the delay before the next attempt of a call that was not run.

    Parameters
    ----------
    budget : RetryBudget
        Loses one token if the call is retried.
    attempts : int
        Number of attempts so far.
    remaining_s : float
        Seconds until the deadline.
    is_shed : bool
        Whether the worker shed the call because of load; the delay is then
        exponential with full jitter. A refused connection says nothing about
        load, so the call is retried elsewhere without delay.
    random : callable
        Returns a float from 0 to 1.

    Returns
    -------
    delay_s : float or None
        Seconds; None if the call is not retried and the caller gets the refusal.
    """
    if attempts >= MAX_ATTEMPTS:
        return None
    delay_s = 0.0
    if is_shed:
        max_s = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (attempts - 1))
        delay_s = random() * max_s
    if delay_s >= remaining_s or not budget.spend():
        return None
    return delay_s


def read_retry_after(value: bytes | None) -> float:
    """Return the seconds of a ``Retry-After`` header; 0 if it is not a number.

    The result is capped at 60 s.

    Examples
    --------
    >>> read_retry_after(b"2"), read_retry_after(b"Fri, 04 Dec 2026 10:00:00 GMT")
    (2.0, 0.0)
    """
    if value is None or not value.strip().isdigit():
        return 0.0
    return float(min(int(value), 60))
