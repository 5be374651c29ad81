"""Coordinator tests with a fake store."""

import pytest
from attrs import define, evolve, field, frozen

from bamboocove.coordination.coordinator import Coordinator, CoordinatorPorts
from bamboocove.coordination.moves import WorkerCounts
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.protocol.messages import (
    EvidenceReport,
    decode_message,
    encode_message,
)
from bamboocove.signals import move_ended
from bamboocove.state.codec import decode
from bamboocove.state.config import (
    Config,
    Delta,
    Move,
    Route,
    Service,
    apply_delta,
)
from bamboocove.state.evidence import BrakeReport, Evidence, OutcomeCounts


@frozen
class FakeLease:
    """Lease with the fields that the coordinator reads."""

    token: int
    expires_at: float


@frozen
class FakeHead:
    """Published head with the fields that the coordinator reads."""

    config: Config


@define
class FakeStore:
    """Configuration head and lease row, with errors that a test can inject."""

    config: Config
    errors_by_name: dict = field(factory=dict)
    token: int = 0
    histories: list = field(factory=list)
    notices: list = field(factory=list)
    offers: list = field(factory=list)
    calls: list = field(factory=list)
    workers: WorkerCounts = WorkerCounts(5, 5)
    is_reader: bool = True

    def _fail(self, name):
        self.calls.append(name)
        kind = self.errors_by_name.get(name)
        return kind and ErrorResult(kind, "fault")

    async def acquire(self, record, now):
        error = self._fail("acquire")
        if error is not None:
            return error
        self.token += 1
        return FakeLease(self.token, record.expires_at)

    async def renew(self, held, record, now):
        error = self._fail("renew")
        return FakeLease(held.token, record.expires_at) if error is None else error

    async def release(self, held):
        self._fail("release")

    async def read_head(self):
        error = self._fail("read_head")
        return FakeHead(self.config) if error is None else error

    async def publish(self, base, config, history, operation_id, held):
        error = self._fail("publish")
        if error is not None:
            return error
        if base.config != self.config or held.token != self.token:
            return ErrorResult(ErrorKind.CONFLICT, "head has changed")
        self.config = config
        self.histories.append(history)
        return FakeHead(config)

    def make_ports(self):
        return CoordinatorPorts(
            self.acquire,
            self.renew,
            self.release,
            self.read_head,
            self.publish,
            lambda now: self.is_reader,
            lambda move: self.workers,
            self.notices.append,
            self.offers.append,
            lambda: f"op-{len(self.calls)}",
            lambda: bool(self.config.get_open_moves()),
        )


def run(coroutine):
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise AssertionError("coroutine did not finish without waiting")


def make_move(service="orders", step=2, share=0.1, phase="stepping"):
    return Move(f"{service}-v2", service, "v1", "v2", 3600.0, phase, share, step)


def make_config(*moves):
    routes = (Route("read", "/"),)
    services = {move.service: Service(move.service, "v1", (), routes) for move in moves}
    return Config(7, "t", 1, services, {move.move_id: move for move in moves})


def make_coordinator(*moves, **fields):
    store = FakeStore(make_config(*moves), **fields)
    return store, Coordinator("n1", "127.0.0.1", 9, store.make_ports())


def make_report(start, old, new, revision=7, move_id="orders-v2", node="n2"):
    counts = OutcomeCounts(*old), OutcomeCounts(*new)
    item = Evidence(move_id, node, revision, "read", "normal", start, 1.0, *counts)
    return EvidenceReport((item,))


GOOD = ((6000, 30, 300), (900, 4, 44))
BAD = ((60, 0, 3), (20, 15, 0))


def post_bad_evidence(coordinator, seconds=14, **fields):
    run(coordinator.tick(0.0))
    for second in range(1, seconds):
        coordinator.post(make_report(float(second), *BAD, **fields), float(second))
        run(coordinator.tick(float(second) + 0.5))


def test_holder_announces_itself_and_advances_a_move():
    # Guards against a coordinator that does not announce itself or publishes
    # nothing.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    assert [(notice.node_id, notice.token) for notice in store.notices] == [("n1", 1)]
    coordinator.post(make_report(1.0, *GOOD), 2.0)
    run(coordinator.tick(6.0))
    move = store.config.moves_by_id["orders-v2"]
    assert (move.share, store.config.revision) == (0.25, 8)
    assert store.offers == [store.config]
    assert store.histories[0].events == ("BC502 move orders-v2: share is now 25%",)
    delta = decode(Delta, store.histories[0].delta)
    assert apply_delta(make_config(make_move()), delta) == store.config


def test_bad_version_is_reverted_with_its_reason():
    # Guards against evidence that does not reach the move analysis, and against a
    # revert that lowers the configuration revision.
    ended = []
    store, coordinator = make_coordinator(make_move())
    with move_ended.connected_to(lambda sender, move: ended.append(move.phase)):
        post_bad_evidence(coordinator)
    move = store.config.moves_by_id["orders-v2"]
    assert (move.phase, move.share) == ("reverted", 0.0)
    assert store.config.revision == 7 + len(store.histories)
    assert "failures" in store.histories[-1].events[0]
    assert store.histories[-1].events[0].startswith("BC505")
    assert ended == ["reverted"]
    assert store.config.services_by_name["orders"].version == "v1"


def test_head_is_not_read_without_open_moves():
    """Guards against store reads by a coordinator without open moves."""
    store, coordinator = make_coordinator()
    for now in range(5):
        run(coordinator.tick(float(now)))
    assert coordinator.lease is not None
    assert "read_head" not in store.calls


def test_only_readers_try_to_acquire_the_lease():
    # Guards against every node writing the lease row.
    store, coordinator = make_coordinator(make_move(), is_reader=False)
    run(coordinator.tick(0.0))
    assert store.calls == []


def test_attempts_to_acquire_the_lease_are_spaced():
    # Guards against each reader writing once a second while another holds it.
    errors = {"acquire": ErrorKind.CONFLICT}
    store, coordinator = make_coordinator(make_move(), errors_by_name=errors)
    for second in range(7):
        run(coordinator.tick(float(second)))
    assert store.calls == ["acquire"] * 3


def test_nothing_is_published_after_the_lease_expired():
    # Guards against publishing by a holder that was paused until its lease expired.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    coordinator.post(make_report(1.0, *GOOD), 2.0)
    calls = len(store.calls)
    run(coordinator.tick(10.0))
    assert len(store.calls) == calls
    assert coordinator.lease is None
    assert coordinator.states_by_move == {}


@pytest.mark.parametrize("kind", [ErrorKind.FENCED, ErrorKind.CONFLICT])
def test_lost_lease_drops_the_state(kind):
    # Guards against deciding on evidence from before the lease was lost.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    coordinator.post(make_report(1.0, *GOOD), 2.0)
    store.errors_by_name["renew"] = kind
    run(coordinator.tick(6.0))
    assert coordinator.lease is None
    assert coordinator.states_by_move == {}
    assert "publish" not in store.calls


def test_fenced_publication_drops_the_state():
    # Guards against continuing after another node has acquired the lease.
    errors = {"publish": ErrorKind.FENCED}
    store, coordinator = make_coordinator(make_move(), errors_by_name=errors)
    run(coordinator.tick(0.0))
    coordinator.post(make_report(1.0, *GOOD), 2.0)
    run(coordinator.tick(6.0))
    assert coordinator.lease is None


@pytest.mark.parametrize(
    "kind", [ErrorKind.CONFLICT, ErrorKind.STORE_UNAVAILABLE, ErrorKind.STORE_UNKNOWN]
)
def test_failed_publication_is_decided_again(kind):
    # Guards against losing a step, and against publishing it twice when the store's
    # response was lost: the second attempt starts from the head that it reads.
    errors = {"publish": kind}
    store, coordinator = make_coordinator(make_move(), errors_by_name=errors)
    run(coordinator.tick(0.0))
    coordinator.post(make_report(1.0, *GOOD), 2.0)
    run(coordinator.tick(6.0))
    assert store.offers == []
    withdrawn = evolve(make_move(), phase="reverted", share=0.0)
    store.config = evolve(make_config(withdrawn), revision=8)
    store.errors_by_name.clear()
    run(coordinator.tick(7.0))
    assert store.config.revision == 8
    store.config = evolve(make_config(make_move()), revision=9)
    run(coordinator.tick(8.0))
    assert store.config.revision == 9


def test_store_outage_keeps_the_lease_until_it_expires():
    # Guards against losing evidence in a short outage, and in a long one against a
    # holder that acts after its lease has expired.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    coordinator.post(make_report(1.0, *GOOD), 2.0)
    for name in ("acquire", "renew", "read_head", "publish"):
        store.errors_by_name[name] = ErrorKind.STORE_UNAVAILABLE
    run(coordinator.tick(6.0))
    assert coordinator.lease is not None
    store.errors_by_name.clear()
    run(coordinator.tick(7.0))
    assert store.config.revision == 8
    store.errors_by_name["renew"] = ErrorKind.STORE_UNAVAILABLE
    run(coordinator.tick(17.0))
    assert coordinator.lease is None


def test_two_moves_take_one_revision_each_and_reverts_come_first():
    # Guards against delaying the revert of a bad version behind the step of another
    # move, and against losing the evidence of one move when the other one steps.
    store, coordinator = make_coordinator(make_move("a"), make_move("b"))
    run(coordinator.tick(0.0))
    for second in range(1, 6):
        now = float(second)
        coordinator.post(make_report(now, *GOOD, move_id="a-v2"), now)
        coordinator.post(make_report(now, *BAD, move_id="b-v2"), now)
        for state in coordinator.states_by_move.values():
            state.analysis.tests_by_route = {
                key: evolve(test, pool_since=now - 2.0)
                for key, test in state.analysis.tests_by_route.items()
            }
        if second < 5:
            for move_id in ("a-v2", "b-v2"):
                coordinator._decide(store.config.moves_by_id[move_id], now)
    run(coordinator.tick(6.0))
    assert store.config.revision == 8
    assert store.config.moves_by_id["b-v2"].phase == "reverted"
    assert store.config.moves_by_id["a-v2"].share == 0.1
    run(coordinator.tick(7.0))
    assert store.config.revision == 9
    assert store.config.moves_by_id["a-v2"].share == 0.25


def make_brake(node, revision=7):
    return BrakeReport("orders-v2", node, revision, "read", "normal", "failures")


def test_brakes_on_many_nodes_repeat_the_step():
    # Guards against a stalled move: with all local brakes set, the new version gets
    # no traffic.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    report = EvidenceReport((), (make_brake("n2"), make_brake("n3")))
    coordinator.post(decode_message(encode_message(report)), 1.0)
    run(coordinator.tick(2.0))
    move = store.config.moves_by_id["orders-v2"]
    assert (move.share, move.changed_at) == (0.1, 2.0)
    assert store.histories[0].events[0].startswith("BC511")
    assert coordinator.states_by_move["orders-v2"].repeats == 1


def test_brakes_of_an_earlier_step_are_ignored():
    # Guards against counting brakes that were set before the current step.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    reports = (make_brake("n2", 6), make_brake("n3", 6))
    coordinator.post(EvidenceReport((), reports), 1.0)
    run(coordinator.tick(2.0))
    assert store.config.revision == 7


def test_old_evidence_is_ignored():
    # Guards against using a report that was delayed by a network partition.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    coordinator.post(make_report(1.0, *GOOD), 200.0)
    assert coordinator.states_by_move["orders-v2"].analysis.tests_by_route == {}


def test_warning_is_published_once():
    # Guards against a missing early warning, and against publishing it every tick.
    store, coordinator = make_coordinator(
        make_move(step=-1, share=0.0, phase="waiting")
    )
    store.workers = WorkerCounts(5, 0)
    for second in range(1900, 1930):
        run(coordinator.tick(float(second)))
    assert [history.events[0][:5] for history in store.histories] == ["BC506"]


def test_revisions_that_change_only_the_reason_are_spaced():
    # Guards against one revision per tick while workers start and stop.
    store, coordinator = make_coordinator(make_move())
    for second in range(30):
        store.workers = WorkerCounts(5, second % 2)
        coordinator.post(make_report(float(second), (9, 0, 0), (1, 0, 0)), second)
        run(coordinator.tick(float(second)))
    assert 1 <= len(store.histories) <= 3


def test_concurrent_tick_does_nothing():
    # Guards against two concurrent publications from one node.
    store, coordinator = make_coordinator(make_move())
    coordinator._is_ticking = True
    run(coordinator.tick(0.0))
    assert store.calls == []


def test_stop_releases_the_lease():
    # Guards against 10 s without a coordinator after each planned shutdown.
    store, coordinator = make_coordinator(make_move())
    run(coordinator.tick(0.0))
    run(coordinator.stop())
    assert store.calls[-1] == "release"
    assert coordinator.lease is None
