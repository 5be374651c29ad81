"""The platform in memory, with the semantics and the faults of the stand-in.

Used where a process of its own would add nothing: by the replay of traces and
by tests.
"""

from collections.abc import Callable

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import Committed, Row, Transaction
from bamboocove.standin_platform import TableState

DOWN = ErrorResult(ErrorKind.STORE_UNAVAILABLE, "the store is down")
LOST = ErrorResult(ErrorKind.STORE_UNKNOWN, "the answer of the store was lost")


class MemoryTable:
    """Table service with the semantics of the stand-in.

    Attributes
    ----------
    is_down : bool
        Whether there is an outage.
    answers : list of str
        For each coming transaction ``ok``, ``unavailable``, ``lost`` (it takes
        effect without an answer), ``dropped`` (it does neither) or ``delayed``
        (it takes effect at ``deliver_delayed``); ``ok`` once it is used up.
    read_answers : list of str
        For each coming read of a row ``ok`` or ``unavailable``.
    lost_answers, delayed_writes : int
        Coming transactions that are ``lost`` or ``delayed``.
    transactions : list of Transaction
        All that arrived.
    before_transact, before_get : callable or None
        Called with the transaction or the key, to act between two steps.
    """

    def __init__(self):
        self.state = TableState()
        self.is_down = False
        self.lost_answers = 0
        self.delayed_writes = 0
        self.delayed: list[Transaction] = []
        self.answers: list[str] = []
        self.read_answers: list[str] = []
        self.transactions: list[Transaction] = []
        self.reads = 0
        self.writes = 0
        self.before_transact: Callable[[Transaction], None] | None = None
        self.before_get: Callable[[str], None] | None = None

    async def get(self, key: str) -> Row | None | ErrorResult:
        """Read one row."""
        if self.before_get is not None:
            self.before_get(key)
        answer = self.read_answers.pop(0) if self.read_answers else "ok"
        if self.is_down or answer == "unavailable":
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
        answer = self._pop_answer()
        if self.is_down or answer == "unavailable":
            return DOWN
        self.writes += 1
        self.transactions.append(transaction)
        if answer == "delayed":
            self.delayed.append(transaction)
        if answer in ("delayed", "dropped"):
            return LOST
        result = self.state.transact(transaction)
        return LOST if answer == "lost" else result

    def _pop_answer(self) -> str:
        if self.answers:
            return self.answers.pop(0)
        if self.delayed_writes > 0:
            self.delayed_writes -= 1
            return "delayed"
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return "lost"
        return "ok"

    def deliver_delayed(self) -> tuple[Committed | ErrorResult, ...]:
        """Let the delayed transactions arrive."""
        results = tuple(self.state.transact(item) for item in self.delayed)
        self.delayed.clear()
        return results


class MemoryObjects:
    """Object store; ``lost_answers`` and ``is_down`` as for ``MemoryTable``."""

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
