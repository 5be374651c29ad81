"""In-memory fakes of the platform, and ways to run coroutines in tests."""

from collections.abc import Callable
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.selectreactor import SelectReactor
from twisted.python.failure import Failure

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import Committed, Row, Transaction
from bamboocove.standin_platform import TableState
from bamboocove.state.config import Config
from bamboocove.state.members import MemberTable

DOWN = ErrorResult(ErrorKind.STORE_UNAVAILABLE, "fake store is down")
LOST = ErrorResult(ErrorKind.STORE_UNKNOWN, "fake store lost the answer")


def run(coroutine: Any) -> Any:
    """Run a coroutine that awaits nothing that is not ready, such as a fake."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise AssertionError("coroutine waits for something")


def run_with_reactor(
    make_coroutine: Callable[[Any], Any], limit_s: float = 10.0
) -> Any:
    """Run ``make_coroutine(reactor)`` on a reactor of its own, for a bounded time.

    The global reactor cannot be started a second time, so each call makes one.
    """
    reactor = SelectReactor()
    results = []

    def finish(result):
        results.append(result)
        if len(results) == 1:
            reactor.stop()

    def give_up():
        # Cancelling is not enough, as code under test may handle it and go on.
        finish(Failure(TimeoutError(f"not finished after {limit_s} s")))

    def begin():
        Deferred.fromCoroutine(make_coroutine(reactor)).addBoth(finish)

    reactor.callWhenRunning(begin)
    reactor.callLater(limit_s, give_up)
    reactor.run(installSignalHandlers=False)
    if isinstance(results[0], Failure):
        results[0].raiseException()
    return results[0]


class FakeTable:
    """Table service with the semantics of the stand-in.

    Set ``is_down`` for an outage. ``lost_answers`` counts the next
    transactions that take effect without an answer, ``delayed_writes`` those
    that neither answer nor take effect until ``deliver_delayed`` is called.
    ``before_transact`` and ``before_get`` are called with the transaction or
    the key, so that a test can act between two steps of the code.
    """

    def __init__(self):
        self.state = TableState()
        self.is_down = False
        self.lost_answers = 0
        self.delayed_writes = 0
        self.delayed: list[Transaction] = []
        self.reads = 0
        self.writes = 0
        self.before_transact: Callable[[Transaction], None] | None = None
        self.before_get: Callable[[str], None] | None = None

    async def get(self, key: str) -> Row | None | ErrorResult:
        """Read one row."""
        if self.before_get is not None:
            self.before_get(key)
        if self.is_down:
            return DOWN
        self.reads += 1
        return self.state.rows_by_key.get(key)

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | ErrorResult:
        """Read rows in order."""
        if self.is_down:
            return DOWN
        self.reads += 1
        return self.state.list_rows(prefix, after, limit)

    async def transact(self, transaction: Transaction) -> Committed | ErrorResult:
        """Run a transaction."""
        if self.before_transact is not None:
            self.before_transact(transaction)
        if self.is_down:
            return DOWN
        self.writes += 1
        if self.delayed_writes > 0:
            self.delayed_writes -= 1
            self.delayed.append(transaction)
            return LOST
        result = self.state.transact(transaction)
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return LOST
        return result

    def deliver_delayed(self) -> tuple[Committed | ErrorResult, ...]:
        """Let the delayed transactions arrive."""
        results = tuple(self.state.transact(item) for item in self.delayed)
        self.delayed.clear()
        return results


class FakeObjects:
    """Object store; ``lost_answers`` and ``is_down`` as for ``FakeTable``."""

    def __init__(self):
        self.objects_by_name: dict[str, bytes] = {}
        self.is_down = False
        self.lost_answers = 0
        self.reads = 0
        self.writes = 0

    async def put(self, name: str, data: bytes) -> None | ErrorResult:
        """Write an object."""
        if self.is_down:
            return DOWN
        self.writes += 1
        self.objects_by_name[name] = data
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return LOST
        return None

    async def get(self, name: str) -> bytes | None | ErrorResult:
        """Read an object."""
        if self.is_down:
            return DOWN
        self.reads += 1
        return self.objects_by_name.get(name)


class FakeDistributor:
    """Distributor that keeps what it is given."""

    def __init__(self):
        self.members = MemberTable()
        self.offered: list[Config] = []
        self.is_reading = True
        self.last_store_read: float | None = None

    def offer(self, config: Config) -> None:
        """Take a new revision."""
        self.offered.append(config)

    def is_reader(self, now: float) -> bool:
        """Return what the test set."""
        return self.is_reading

    def report_store_read(self, now: float) -> None:
        """Take the time of a read."""
        self.last_store_read = now

    def get_store_age(self, now: float) -> float:
        """Return the time since the last read, -1 if there was none."""
        return -1.0 if self.last_store_read is None else now - self.last_store_read
