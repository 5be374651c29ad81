"""Requests whose answers were lost, until it is known whether their worker crashed.

A process that dies closes its connections and its port in any order, and its port
accepts connections until then. So a worker that accepts a connection right after an
answer was lost may have crashed all the same. It has if its port refuses connections
soon afterwards, or if its next report comes from another start and it did not announce
that it leaves.
"""

import math
from typing import Any

from attrs import define, field, frozen

# Time after a lost answer for which the port of the worker is checked, and the interval
# of the checks, in seconds.
CHECKED_S = 1.0
CHECK_INTERVAL_S = 0.3
FIRST_CHECK_S = 0.1
# Time after which a worker has not crashed because of a request, in seconds. One that
# crashes reports itself again some seconds later.
WATCHED_S = 5.0
# Requests that are watched, the latest ones.
MAX_LOST = 200


@frozen
class LostAnswer:
    """A request whose answer was lost.

    Parameters
    ----------
    run : object
        Identity of the request.
    lost_at : float
        Seconds of the local clock.
    sequence : int
        Number of the last report of the worker before that.
    """

    run: Any
    lost_at: float
    sequence: int


@define
class LostAnswers:
    """Lost answers of the present start of the worker on this host."""

    _answers: list[LostAnswer] = field(factory=list)
    _next_check_at: float = math.inf
    _checked_at: float = -math.inf

    def add(self, run: Any, sequence: int, now: float) -> None:
        """Keep a request whose answer was lost while the worker accepts connections."""
        self._answers.append(LostAnswer(run, now, sequence))
        del self._answers[:-MAX_LOST]
        self._next_check_at = min(self._next_check_at, now + FIRST_CHECK_S)

    def take(self) -> list[Any]:
        """Return the requests that may have crashed the worker, and forget them."""
        answers, self._answers = self._answers, []
        self._next_check_at = math.inf
        return [answer.run for answer in answers]

    def start_check(self, now: float) -> bool:
        """Return whether to check the port of the worker now.

        Examples
        --------
        >>> answers = LostAnswers()
        >>> answers.add(None, 7, 2.0)
        >>> [answers.start_check(now) for now in (2.0, 2.1, 2.2, 2.4, 3.1, 3.4)]
        [False, True, False, True, True, False]
        """
        if now < self._next_check_at:
            return False
        if not any(self._is_unchecked(answer) for answer in self._answers):
            self._next_check_at = math.inf
            return False
        self._checked_at = now
        self._next_check_at = now + CHECK_INTERVAL_S
        return True

    def _is_unchecked(self, answer: LostAnswer) -> bool:
        """Return whether the last check of the port came too soon for a request."""
        return self._checked_at < answer.lost_at + CHECKED_S

    def settle(self, sequence: int, now: float) -> None:
        """Forget the requests that have not crashed the worker.

        Parameters
        ----------
        sequence : int
            Number of the last report of the worker.
        now : float
            Seconds of the local clock.
        """
        if self._answers:
            self._answers = [
                answer
                for answer in self._answers
                if self._is_unchecked(answer)
                or (answer.sequence >= sequence and now - answer.lost_at <= WATCHED_S)
            ]
