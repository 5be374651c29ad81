"""The rows of a version rule and of the status of its move."""

from bamboocove.coordination.order_numbers import align_rules
from bamboocove.errors import ErrorResult
from bamboocove.platform.documents import encode_move_status
from bamboocove.platform.rows import ORDER_PREFIX, Row
from bamboocove.sidecar.logs import log
from bamboocove.state.codec import decode, encode
from bamboocove.state.mesh import VersionRule

# Nodes write the status of moves to STATUS_TABLE, and only read the operator's rows.
STATUS_TABLE = "status"
RULES_TABLE = "bamboocove-rules"


def merge_stored(rows: list[Row], rule: VersionRule) -> tuple[VersionRule, int, bool]:
    """Merge a rule with the stored one.

    Returns
    -------
    rule : VersionRule
        The rule that the store has to hold.
    revision : int
        Revision of the row; 0 without one.
    is_stored : bool
        Whether the store holds that rule.
    """
    revision = 0
    for row in rows:
        stored = decode(VersionRule, row.value or b"")
        revision = row.revision
        if isinstance(stored, ErrorResult):
            log("store.row-unreadable", key=row.key, reason=stored.reason)
            continue
        aligned, rule = align_rules(stored, rule)
        if aligned.age_key >= rule.age_key:
            rule = aligned
        if rule == stored:
            return rule, revision, True
    return rule, revision, False


def make_writes(rule: VersionRule) -> list[tuple[str, str, bytes]]:
    """Return the rows to write for a rule: table, key and value."""
    return [
        (RULES_TABLE, rule.service, encode(rule)),
        (STATUS_TABLE, ORDER_PREFIX + rule.service, encode_move_status(rule)),
    ]
