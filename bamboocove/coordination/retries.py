"""Whether and when a refused call is sent again."""

from collections.abc import Callable

from attrs import define

# Lets a node with little traffic retry at all.
INITIAL_TOKENS = 5.0
# Bounds the retries after a quiet time.
MAX_TOKENS = 50.0
MAX_ATTEMPTS = 3
BASE_DELAY_S = 0.01
MAX_DELAY_S = 0.25


@define
class RetryBudget:
    """Retries that a node may send, earned by calls.

    Parameters
    ----------
    ratio : float
        Retries for each call.
    tokens : float
        Retries left.
    """

    ratio: float
    tokens: float = INITIAL_TOKENS

    def earn(self) -> None:
        """Count a call that is not a retry."""
        self.tokens = min(MAX_TOKENS, self.tokens + self.ratio)

    def spend(self) -> bool:
        """Take one retry if there is one."""
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
        Gives up one retry if there is an attempt.
    attempts : int
        Attempts so far.
    remaining_s : float
        Seconds to the deadline.
    is_shed : bool
        Whether the worker refused because of load. A refused connection says
        nothing about load and is tried elsewhere without delay.
    random : callable
        Returns a float from 0 to 1.

    Returns
    -------
    delay_s : float or None
        None if the refusal is passed on.
    """
    if attempts >= MAX_ATTEMPTS:
        return None
    delay_s = 0.0
    if is_shed:
        longest = min(MAX_DELAY_S, BASE_DELAY_S * 2 ** (attempts - 1))
        delay_s = random() * longest
    if delay_s >= remaining_s or not budget.spend():
        return None
    return delay_s


def read_retry_after(value: bytes | None) -> float:
    """Return the seconds of a ``Retry-After`` field; 0 if it is not a number.

    Examples
    --------
    >>> read_retry_after(b"2"), read_retry_after(b"Fri, 04 Dec 2026 10:00:00 GMT")
    (2.0, 0.0)
    """
    if value is None or not value.strip().isdigit():
        return 0.0
    return float(min(int(value), 60))
