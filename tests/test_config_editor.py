from attrs import evolve

from bamboocove.config_editor import ConfigEditor
from bamboocove.coordination.edits import PlannedEdit
from bamboocove.coordination.publishing import publish, read_head, read_history
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


class Bench:
    """An editor on a fake platform, and what it offered."""

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
        """Publish a step of a move, as a coordinator does."""
        head = run(read_head(self.table, self.objects))
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
    bench = Bench()

    result = bench.apply(TEXT, 0)

    assert isinstance(result, PlannedEdit)
    assert [config.revision for config in bench.offered] == [1]
    (record,) = run(read_history(bench.table, 0, 10))
    assert record.author == "ana"
    assert record.events[0].startswith("BC701 ")


def test_loser_of_a_race_sees_winner_and_difference_and_changes_nothing():
    """Guards against the second of two operators undoing the first."""
    bench = Bench()
    bench.apply(TEXT, 0)
    bench.apply(TEXT + MOVE, 1, "bor")

    result = bench.apply(TEXT.replace("/orders}", "/new}"), 1, "cene")

    assert isinstance(result, TextConflict)
    assert (result.revision, result.author) == (2, "bor")
    assert result.difference
    assert run(read_head(bench.table, bench.objects)).config.revision == 2


def test_edit_survives_a_move_step_that_was_faster():
    """Guards against edits that fail whenever a move is under way."""
    bench = Bench()
    bench.apply(TEXT, 0)
    bench.apply(TEXT + MOVE, 1)
    steps = []

    def step_once(transaction):
        if not steps:
            steps.append(None)
            bench.step_move()

    bench.table.before_transact = step_once
    result = bench.apply(TEXT.replace("/orders}", "/new}") + MOVE, 2)

    assert isinstance(result, PlannedEdit)
    config = run(read_head(bench.table, bench.objects)).config
    assert config.revision == 4
    (move,) = config.moves_by_id.values()
    assert move.share == 0.01


def test_events_name_the_moves_that_an_edit_adds_and_withdraws():
    bench = Bench()
    bench.apply(TEXT, 0)
    bench.apply(TEXT + MOVE, 1)
    bench.apply(TEXT, 2)

    records = run(read_history(bench.table, 1, 10))
    assert [event[:5] for event in records[0].events] == ["BC701", "BC501"]
    assert [event[:5] for event in records[1].events] == ["BC701", "BC505"]
    assert "withdrawn" in records[1].events[1]


def test_lost_answer_of_the_write_is_resolved():
    """Guards against an accepted text that is reported as failed."""
    bench = Bench()
    bench.table.lost_answers = 1

    assert isinstance(bench.apply(TEXT, 0), PlannedEdit)
    assert [config.revision for config in bench.offered] == [1]


def test_store_outage_refuses_the_edit():
    bench = Bench()
    bench.table.is_down = True

    result = bench.apply(TEXT, 0)
    assert isinstance(result, ErrorResult)
    assert result.kind is ErrorKind.STORE_UNAVAILABLE


def test_unchanged_text_publishes_nothing():
    bench = Bench()
    bench.apply(TEXT, 0)

    assert isinstance(bench.apply(TEXT, 1), PlannedEdit)
    assert len(bench.offered) == 1
