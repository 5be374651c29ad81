from attrs import evolve

from bamboocove.config_editor import ConfigEditor
from bamboocove.coordination.edits import PlannedEdit
from bamboocove.coordination.publishing import publish, read_history, read_published
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.memory_platform import MemoryObjects, MemoryTable
from bamboocove.protocol.rows import HistoryRecord
from bamboocove.transport.admin_operations import TextConflict
from tests.fakes import run

NOW = 1_800_000_000.0
TEXT = """\
tenant: kozje-mleko
services:
  orders:
    version: v1
    routes:
      read: {path: /orders}
"""
MOVE = """\
moves:
  - service: orders
    to: v2
    by: 2027-01-15T12:00:00+01:00
"""


async def run_directly(function, *arguments):
    return function(*arguments)


class EditorHarness:
    """A ConfigEditor on in-memory stores, with the configurations it offered."""

    def __init__(self):
        self.table = MemoryTable()
        self.objects = MemoryObjects()
        self.offered = []
        self.editor = ConfigEditor(
            self.table, self.objects, self.offered.append, dict, run_directly
        )

    def apply(self, text, base, author="ana"):
        return run(self.editor.apply(text.encode(), base, author, NOW))

    def step_move(self):
        """Publish a step of the only move, as the coordinator does."""
        head = run(read_published(self.table, self.objects))
        (move,) = head.config.moves_by_id.values()
        changed = evolve(
            head.config,
            revision=head.config.revision + 1,
            moves_by_id={
                move.move_id: evolve(move, phase="stepping", step=0, share=0.01)
            },
        )
        record = HistoryRecord(changed.revision, "n1", NOW, "step")
        return run(publish(self.table, self.objects, head, changed, record, "step"))


def test_first_text_is_published_and_offered():
    harness = EditorHarness()

    result = harness.apply(TEXT, 0)

    assert isinstance(result, PlannedEdit)
    assert [config.revision for config in harness.offered] == [1]
    (record,) = run(read_history(harness.table, 0, 10))
    assert record.author == "ana"
    assert record.events[0].startswith("BC701 ")


def test_conflicting_edit_is_refused_with_author_and_difference():
    """Guards against an edit of an old revision undoing a newer edit."""
    harness = EditorHarness()
    harness.apply(TEXT, 0)
    harness.apply(TEXT + MOVE, 1, "bor")

    result = harness.apply(TEXT.replace("/orders}", "/new}"), 1, "cene")

    assert isinstance(result, TextConflict)
    assert (result.revision, result.author) == (2, "bor")
    assert result.difference
    assert run(read_published(harness.table, harness.objects)).config.revision == 2


def test_edit_is_retried_after_a_concurrent_move_step():
    """Guards against edits that fail because a move publishes a step meanwhile."""
    harness = EditorHarness()
    harness.apply(TEXT, 0)
    harness.apply(TEXT + MOVE, 1)
    steps = []

    def step_once(transaction):
        if not steps:
            steps.append(None)
            harness.step_move()

    harness.table.before_transact = step_once
    result = harness.apply(TEXT.replace("/orders}", "/new}") + MOVE, 2)

    assert isinstance(result, PlannedEdit)
    config = run(read_published(harness.table, harness.objects)).config
    assert config.revision == 4
    (move,) = config.moves_by_id.values()
    assert move.share == 0.01


def test_events_name_the_moves_that_an_edit_adds_and_withdraws():
    harness = EditorHarness()
    harness.apply(TEXT, 0)
    harness.apply(TEXT + MOVE, 1)
    harness.apply(TEXT, 2)

    records = run(read_history(harness.table, 1, 10))
    assert [event[:5] for event in records[0].events] == ["BC701", "BC501"]
    assert [event[:5] for event in records[1].events] == ["BC701", "BC505"]
    assert "withdrawn" in records[1].events[1]


def test_write_with_a_lost_response_is_confirmed():
    """Guards against reporting a failure for a write that succeeded.

    The response to the write is lost.
    """
    harness = EditorHarness()
    harness.table.lost_answers = 1

    assert isinstance(harness.apply(TEXT, 0), PlannedEdit)
    assert [config.revision for config in harness.offered] == [1]


def test_store_outage_refuses_the_edit():
    harness = EditorHarness()
    harness.table.is_down = True

    result = harness.apply(TEXT, 0)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.STORE_UNAVAILABLE


def test_unchanged_text_publishes_nothing():
    harness = EditorHarness()
    harness.apply(TEXT, 0)

    assert isinstance(harness.apply(TEXT, 1), PlannedEdit)
    assert len(harness.offered) == 1
