from types import SimpleNamespace

from attrs import evolve
from twisted.internet.task import Clock

from bamboocove.memory_platform import MemoryObjects, MemoryTable
from bamboocove.move_task import (
    IDLE_REPORT_INTERVAL_S,
    REPORT_INTERVAL_S,
    MoveTask,
    count_workers,
)
from bamboocove.settings import check_settings
from bamboocove.state.config import Config, Move, Route, Service
from bamboocove.state.evidence import Evidence, OutcomeCounts
from bamboocove.state.members import Member, MemberTable, WorkerRecord
from tests.test_settings import REQUIRED

MOVE = Move("m", "orders", "v1", "v2", 1e9, "stepping", 0.01, 0, changed_at=5.0)
CONFIG = Config(
    3,
    "t",
    2,
    {
        "orders": Service("orders", "v1", routes=(Route("read", "/orders"),)),
        "rounds": Service("rounds", "v1", depends_on=("orders",)),
        "ledger": Service("ledger", "v1"),
    },
    {"m": MOVE},
)
BAD = OutcomeCounts(calls=20, failures=20)
GOOD = OutcomeCounts(calls=200)


class Harness:
    """A move task on a fake clock, without calls, lease or links."""

    def __init__(self):
        self.clock = Clock()
        self.clock.advance(1000.0)
        self.sent = []
        self.evidence = []
        self.config = CONFIG
        member = Member("n1", 1, 1, "a", "r", "127.0.0.1", 1)
        distributor = SimpleNamespace(
            member=member,
            is_reader=lambda now: False,
            broadcast=lambda notice: None,
            offer=lambda config: None,
            send_evidence=self.sent.append,
        )
        self.move_task = MoveTask(
            check_settings(REQUIRED),
            MemoryTable(),
            MemoryObjects(),
            distributor,
            MemberTable(),
            lambda: self.config,
            self.clock,
        )
        self.move_task.take_evidence = self.take_evidence
        self.apply(CONFIG)
        self.move_task.start()

    def take_evidence(self, now):
        taken, self.evidence = self.evidence, []
        return taken

    def apply(self, config):
        self.config = config
        self.move_task.update_config(config, {"orders", "rounds"})

    def add_evidence(self, old, new):
        start = self.clock.seconds() // 1.0
        self.evidence.append(
            Evidence("m", "n1", 3, "read", "normal", start, 1.0, old, new)
        )

    def run(self, seconds):
        for _ in range(int(seconds)):
            self.clock.advance(1.0)


def test_windows_are_sent_together():
    """Guards against sending the coordinator one packet for each window."""
    harness = Harness()
    harness.sent.clear()
    for _ in range(10):
        harness.add_evidence(GOOD, OutcomeCounts())
        harness.run(1)

    assert len(harness.sent) <= 10 / REPORT_INTERVAL_S
    assert sum(len(report.evidence) for report in harness.sent) >= 9


def test_brake_is_set_and_reported_before_the_coordinator_acts():
    """Guards against calls to a faulty version while the coordinator is unreachable."""
    harness = Harness()
    for _ in range(6):
        harness.add_evidence(GOOD, BAD)
        harness.run(1)
    assert harness.move_task.is_braked("m")
    assert any(report.brakes for report in harness.sent)

    harness.apply(
        evolve(CONFIG, revision=4, moves_by_id={"m": evolve(MOVE, changed_at=9.0)})
    )
    assert not harness.move_task.is_braked("m")


def test_idle_nodes_report_empty_evidence():
    """Guards against a move that never completes for a service without calls."""
    harness = Harness()
    harness.run(3 * IDLE_REPORT_INTERVAL_S)
    windows = [item for report in harness.sent for item in report.evidence]
    assert 3 <= len(windows) <= 4
    assert {(item.old, item.new) for item in windows} == {
        (OutcomeCounts(), OutcomeCounts())
    }
    starts = [item.window_start for item in windows]
    assert starts == sorted(set(starts))

    harness.apply(
        evolve(CONFIG, revision=4, moves_by_id={"m": evolve(MOVE, changed_at=9.0)})
    )
    harness.run(REPORT_INTERVAL_S)
    assert harness.sent[-1].evidence[-1].revision == 4


def test_idle_nodes_send_no_evidence_for_services_that_they_do_not_route_to():
    """Guards against each move causing reports from every node."""
    harness = Harness()
    harness.sent.clear()
    harness.move_task.update_config(CONFIG, {"ledger"})
    harness.run(2 * IDLE_REPORT_INTERVAL_S)

    assert harness.sent == []


def test_workers_and_reporting_nodes_are_counted():
    """Guards against waiting for reports from nodes that have nothing to report."""
    table = MemberTable()
    for index, (service, version, state) in enumerate(
        [
            ("orders", "v1", "ready"),
            ("orders", "v2", "ready"),
            ("orders", "v2", "starting"),
            ("rounds", "v1", "ready"),
            ("ledger", "v1", "ready"),
        ]
    ):
        worker = WorkerRecord(service, version, "127.0.0.1", 1, 12, 120, state)
        table.merge(
            Member(f"n{index}", 1, 1, "a", "r", "127.0.0.1", index, workers=(worker,))
        )

    counts = count_workers(table, MOVE, CONFIG, "own")
    assert (counts.old, counts.new_ready, counts.nodes) == (1, 1, 4)
    assert count_workers(table, MOVE, CONFIG, "all").nodes == 5
