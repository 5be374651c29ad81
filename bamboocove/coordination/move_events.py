"""Lookup of the events of a move in the configuration history."""

import re
from collections.abc import Iterable

from bamboocove.protocol.rows import HistoryRecord


def find_move_events(
    records: Iterable[HistoryRecord], move_id: str
) -> list[tuple[HistoryRecord, str]]:
    """Return the events of a move with their history records, by revision.

    Examples
    --------
    >>> record = HistoryRecord(7, "n1", 0.0, "", ("BC504 move a-v2 done", "BC201 x"))
    >>> [event for _, event in find_move_events([record], "a-v2")]
    ['BC504 move a-v2 done']
    >>> find_move_events([record], "a-v"), find_move_events([record], "v2")
    ([], [])
    """
    # Identifiers may contain "-" and ".", so \b would match inside of them.
    word = re.compile(rf"(?<![\w.-]){re.escape(move_id)}(?![\w-]|\.\w)")
    ordered = sorted(records, key=lambda record: record.revision)
    return [
        (record, event)
        for record in ordered
        for event in record.events
        if word.search(event)
    ]
