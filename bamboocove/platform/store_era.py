"""Era of the platform's store, which tells states before and after a restore apart.

A store that is restored from a copy loses its latest changes and issues their versions
again. Each answer names its era, which is one higher after each restore. A version has
a meaning only within its era.
"""

from collections.abc import Callable

from attrs import define

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.platform.rows import HTTP_OK
from bamboocove.sidecar.logs import log
from bamboocove.transport.fetching import Response
from bamboocove.transport.framing import get_header

ERA_FIELD = b"store-era"


@define
class StoreEra:
    """The newest known era of the store, and the check of answers against it.

    Parameters
    ----------
    on_change : callable
        Called without arguments when the era has changed, before the answer that
        named it is used.
    number : int or None
        The era; None until it is known.
    """

    on_change: Callable[[], None]
    number: int | None = None

    def learn(self, number: int) -> None:
        """Remember an era if it is higher than the known one."""
        if self.number is None or number > self.number:
            self.number = number
            self.on_change()

    def check_conditions(self, era: int | None) -> ErrorResult | None:
        """Return ``CONFLICT`` if versions that were read in an era are void by now."""
        if era == self.number:
            return None
        reason = f"a row was read in era {era} of the store, which is at {self.number}"
        return ErrorResult(ErrorKind.CONFLICT, reason)

    def check_read(self, response: Response) -> ErrorResult | None:
        """Learn the era of an answer; return ``STALE`` if it is an earlier one."""
        number = _get_era(response)
        if number is None:
            return None
        if self.number is not None and number < self.number:
            log("store.answer-late", era=number, known=self.number)
            reason = f"the answer is of era {number}, before a restore of the store"
            return ErrorResult(ErrorKind.STALE, reason)
        self.learn(number)
        return None

    def check_write(self, response: Response, era: int | None) -> ErrorResult | None:
        """Learn the era of an answer to a conditional write.

        Parameters
        ----------
        response : Response
            The answer.
        era : int or None
            Era of the versions that the write expects.

        Returns
        -------
        error : ErrorResult or None
            ``STORE_UNKNOWN`` if the write may be lost, or its conditions may have held
            by chance because versions were issued again.
        """
        error = self.check_read(response)
        if error is not None:
            return ErrorResult(ErrorKind.STORE_UNKNOWN, error.reason)
        if response.status != HTTP_OK or era is None or era == self.number:
            return None
        reason = f"the store was restored between a read in era {era} and the write"
        return ErrorResult(ErrorKind.STORE_UNKNOWN, reason)


def _get_era(response: Response) -> int | None:
    """Return the era that a response names, or None."""
    value = get_header(response.headers, ERA_FIELD)
    if value is None:
        return None
    if not value.isdigit():
        log("store.era-unreadable", value=value[:20].decode("latin-1"))
        return None
    return int(value)
