"""In-memory table service and object store with the semantics of the stand-in.

Used by the replay of traces and by tests, which need no separate process.
"""

from collections.abc import Callable

from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.rows import Committed, Row, Transaction
from bamboocove.standin_platform import TableState

OUTAGE_ERROR = ErrorResult(ErrorKind.STORE_UNAVAILABLE, "the store is down")
LOST_ANSWER_ERROR = ErrorResult(
    ErrorKind.STORE_UNKNOWN, "the answer of the store was lost"
)


class MemoryTable:
    """In-memory table service with injected faults.

    Attributes
    ----------
    is_down : bool
        Whether every request fails as in an outage.
    answers : list of str
        Result of each coming transaction: ``ok``, ``unavailable``, ``lost``
        (takes effect without an answer), ``dropped`` (no effect and no answer)
        or ``delayed`` (takes effect at ``deliver_delayed``). When the list is
        empty, ``delayed_writes`` and ``lost_answers`` apply.
    read_answers : list of str
        Result of each coming read of a row: ``ok`` or ``unavailable``.
    lost_answers, delayed_writes : int
        Number of coming transactions that are ``lost`` or ``delayed``.
    transactions : list of Transaction
        All transactions that arrived, in order.
    before_transact, before_get : callable or None
        Called with the transaction or the key before it is processed, so that
        a test can act between two steps.
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
        """Return one row, or None if it does not exist."""
        if self.before_get is not None:
            self.before_get(key)
        answer = self.read_answers.pop(0) if self.read_answers else "ok"
        if self.is_down or answer == "unavailable":
            return OUTAGE_ERROR
        self.reads += 1
        return self.state.rows_by_key.get(key)

    async def list(
        self, prefix: str, after: str = "", limit: int = 1000
    ) -> list[Row] | ErrorResult:
        """Return rows with a prefix and a key above ``after``, in key order."""
        if self.is_down:
            return OUTAGE_ERROR
        self.reads += 1
        return self.state.list_rows(prefix, after, limit)

    async def transact(self, transaction: Transaction) -> Committed | ErrorResult:
        """Run a transaction."""
        if self.before_transact is not None:
            self.before_transact(transaction)
        answer = self._pop_answer()
        if self.is_down or answer == "unavailable":
            return OUTAGE_ERROR
        self.writes += 1
        self.transactions.append(transaction)
        if answer == "delayed":
            self.delayed.append(transaction)
        if answer in ("delayed", "dropped"):
            return LOST_ANSWER_ERROR
        result = self.state.transact(transaction)
        return LOST_ANSWER_ERROR if answer == "lost" else result

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
        """Run the delayed transactions and return their results."""
        results = tuple(self.state.transact(item) for item in self.delayed)
        self.delayed.clear()
        return results


class MemoryObjects:
    """In-memory object store; ``lost_answers`` and ``is_down`` as in MemoryTable."""

    def __init__(self):
        self.objects_by_name: dict[str, bytes] = {}
        self.is_down = False
        self.lost_answers = 0
        self.reads = 0
        self.writes = 0

    async def put(self, name: str, data: bytes) -> None | ErrorResult:
        """Store an object."""
        if self.is_down:
            return OUTAGE_ERROR
        self.writes += 1
        self.objects_by_name[name] = data
        if self.lost_answers > 0:
            self.lost_answers -= 1
            return LOST_ANSWER_ERROR
        return None

    async def get(self, name: str) -> bytes | None | ErrorResult:
        """Return an object, or None if it does not exist."""
        if self.is_down:
            return OUTAGE_ERROR
        self.reads += 1
        return self.objects_by_name.get(name)
