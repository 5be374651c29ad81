"""Simulated store, nodes and faults for replayed traces."""

from collections import defaultdict
from collections.abc import Callable
from random import Random

from attrs import define, evolve, field, frozen

from bamboocove.coordination.brake import Brake, update_moves
from bamboocove.coordination.coordinator import Coordinator, CoordinatorPorts
from bamboocove.coordination.moves import WorkerCounts
from bamboocove.errors import ErrorKind, ErrorResult
from bamboocove.state.config import Config, Move, Route, Service
from bamboocove.traces import (
    Announcement,
    Behaviour,
    Calls,
    Edit,
    Fault,
    Header,
    Record,
)

# Minimum and maximum delay from publication until a node applies a revision.
APPLY_DELAY_S = (1, 3)
# Time until nodes stop sending calls to a worker that they cannot reach.
EJECT_DELAY_S = 2.0
# At the start of a store outage writes take effect but their answers are lost.
LOST_ANSWERS_DURATION_S = 3.0
# Probability per second that a pending edit is applied without a concurrent
# publication. At 0.3 hardly any edit coincided with a publication.
EDIT_PROBABILITY = 0.05
# Clock time in seconds at which a trace starts, so that no time is zero.
START_TIME_S = 1000.0


@frozen
class FakeLease:
    """Lease row of ``FakeStore``."""

    token: int
    expires_at: float
    node_id: str


@frozen
class FakeHead:
    """Head of ``FakeStore``: the published configuration."""

    config: Config


@define
class FakeStore:
    """Head and lease row with compare-and-swap, as in the real store, and outages."""

    config: Config
    lease: FakeLease = FakeLease(0, 0.0, "")
    down: bool = False
    loses_answers: bool = False
    edits: list[Callable[[Config], Config]] = field(factory=list)
    history: list[Config] = field(factory=list)
    warned_at: float = -1.0

    def swap(self, config: Config) -> None:
        """Replace the head and append it to the history."""
        self.config = config
        self.history.append(config)

    def check(self, base: Config, lease: FakeLease) -> ErrorResult | None:
        """Apply a pending edit, then check lease and base of a publication."""
        if self.edits:
            self.swap(self.edits.pop(0)(self.config))
        if lease.token != self.lease.token:
            return ErrorResult(ErrorKind.FENCED, "another node holds the lease")
        if base != self.config:
            return ErrorResult(ErrorKind.CONFLICT, "head has changed")
        return None


@define
class ReplayNode:
    """Simulated node with its zone, applied configuration and brake."""

    index: int
    zone: int
    apply_delay_s: int
    config: Config
    brake: Brake
    down_until: float = -1.0


@define
class Simulation:
    """State of one replay, which advances in steps of one second."""

    header: Header
    records: list[Record]
    make_coordinator: Callable[[str, CoordinatorPorts], Coordinator]
    random: Random = field(init=False)
    store: FakeStore = field(init=False)
    nodes: list[ReplayNode] = field(init=False)
    coordinators: list[Coordinator] = field(init=False)
    faults: list[Fault] = field(factory=list)
    behaviours: list[Behaviour] = field(factory=list)
    announced_at: dict[int, float] = field(factory=dict)
    factor: float = 1.0
    published_at: dict[int, float] = field(factory=lambda: defaultdict(float))
    now: float = START_TIME_S

    def __attrs_post_init__(self) -> None:
        header = self.header
        self.random = Random(header.seed)
        self.store = FakeStore(make_initial_config(header))
        self.store.history.append(self.store.config)
        self.nodes = [
            ReplayNode(
                index,
                index % header.zones,
                self.random.randint(*APPLY_DELAY_S),
                self.store.config,
                Brake(f"n{index}"),
            )
            for index in range(header.nodes)
        ]
        # Nodes 0 to zones - 1 run a coordinator each, one in each zone, since
        # node i is in zone i % zones.
        self.coordinators = [
            self.make_coordinator(f"n{zone}", self.make_ports(zone))
            for zone in range(header.zones)
        ]

    @property
    def move(self) -> Move:
        """The move in the published configuration."""
        return next(iter(self.store.config.moves_by_id.values()))

    def find_faults(self, kind: str) -> list[Fault]:
        """Return the active faults of a kind."""
        return [fault for fault in self.faults if fault.kind == kind]

    def get_partitioned_zones(self) -> set[int]:
        """Return the zones that are partitioned from the others and the store."""
        if not self.faults:
            return set()
        return {fault.target for fault in self.find_faults("partition")}

    def is_linked(self, zone: int, other: int) -> bool:
        """Return whether two zones can communicate."""
        if not self.faults:
            return True
        partitioned = self.get_partitioned_zones()
        return zone == other or (zone not in partitioned and other not in partitioned)

    def make_ports(self, index: int) -> CoordinatorPorts:
        """Return the interfaces of the coordinator on a node, backed by fakes."""
        store = self.store

        def find_store_error() -> ErrorResult | None:
            node = self.nodes[index]
            if store.down or node.zone in self.get_partitioned_zones():
                return ErrorResult(ErrorKind.STORE_UNAVAILABLE, "no answer")
            return None

        async def acquire(record, now):
            error = find_store_error()
            if error is not None:
                return error
            if store.lease.expires_at > now and store.lease.node_id != record.holder:
                return ErrorResult(ErrorKind.CONFLICT, "held")
            token = store.lease.token + 1
            store.lease = FakeLease(token, record.expires_at, record.holder)
            return store.lease

        async def renew(held, record, now):
            error = find_store_error()
            if error is not None:
                return error
            if held.token != store.lease.token:
                return ErrorResult(ErrorKind.FENCED, "another node holds the lease")
            store.lease = FakeLease(held.token, record.expires_at, record.holder)
            return store.lease

        async def release(held):
            return None

        async def read_head():
            error = find_store_error()
            return FakeHead(store.config) if error is None else error

        async def publish(base, config, history, operation_id, held):
            error = find_store_error() or store.check(base.config, held)
            if error is not None:
                return error
            store.swap(config)
            if any("BC506" in event for event in history.events):
                store.warned_at = max(store.warned_at, self.now - START_TIME_S)
            if store.loses_answers:
                return ErrorResult(ErrorKind.STORE_UNKNOWN, "answer lost")
            return FakeHead(config)

        return CoordinatorPorts(
            acquire,
            renew,
            release,
            read_head,
            publish,
            lambda now: self.now >= self.nodes[index].down_until,
            lambda move: self.count_workers(index),
            lambda notice: None,
            lambda config: None,
            lambda: "operation",
        )

    def find_workers(self, is_new: bool) -> list[int]:
        """Return indexes of workers of a version that are up or not yet ejected."""
        return [
            index
            for index in range(self.header.workers)
            if (not is_new or index in self.announced_at)
            and self.get_downtime_s(index) < EJECT_DELAY_S
        ]

    def get_downtime_s(self, index: int) -> float:
        """Return the seconds since a worker went down; negative if it is up."""
        for fault in self.find_faults("restart"):
            if fault.target == index:
                return self.now - fault.at
        return -1.0

    def count_workers(self, index: int) -> WorkerCounts:
        """Return the worker counts that the coordinator on a node observes."""
        zone = self.nodes[index].zone
        ready = [
            worker
            for worker in self.find_workers(True)
            if self.get_downtime_s(worker) < 0.0
            and self.is_linked(zone, self.nodes[worker].zone)
        ]
        live = [node for node in self.nodes if self.is_linked(zone, node.zone)]
        return WorkerCounts(self.header.workers, len(ready), len(live))

    def apply_record(self, record: Record) -> None:
        """Apply one record of the trace to the simulation."""
        if isinstance(record, Announcement):
            self.announced_at[record.node] = self.now
        elif isinstance(record, Calls):
            self.factor = record.factor
        elif isinstance(record, Behaviour):
            self.behaviours.append(record)
        elif isinstance(record, Edit):
            self.store.edits.append(lambda config: edit_config(config, record))
        elif isinstance(record, Fault):
            shifted = evolve(
                record, at=record.at + START_TIME_S, until=record.until + START_TIME_S
            )
            self.faults.append(shifted)
            if record.kind == "restart":
                self._restart(shifted)

    def _restart(self, fault: Fault) -> None:
        node = self.nodes[fault.target]
        node.down_until = fault.until
        node.brake = Brake(node.brake.node_id)
        if fault.target < self.header.zones:
            ports = self.make_ports(fault.target)
            self.coordinators[fault.target] = self.make_coordinator(
                f"n{fault.target}", ports
            )

    def update_faults(self) -> None:
        """Remove expired faults and set the state of the store."""
        self.faults = [fault for fault in self.faults if fault.until > self.now]
        outages = self.find_faults("store")
        ages = [self.now - fault.at for fault in outages]
        self.store.loses_answers = any(age < LOST_ANSWERS_DURATION_S for age in ages)
        self.store.down = any(age >= LOST_ANSWERS_DURATION_S for age in ages)
        if not self.store.down and self.store.edits:
            # A pending edit that no publication has picked up is applied at random.
            if self.random.random() < EDIT_PROBABILITY:
                self.store.swap(self.store.edits.pop(0)(self.store.config))

    def update_node(self, node: ReplayNode) -> None:
        """Apply the newest revision that has reached a node and update its brake."""
        index = max(0, len(self.store.history) - 1)
        # Skip revisions that have not arrived yet.
        while index > 0 and self.published_at[index] > self.now - node.apply_delay_s:
            index -= 1
        config = self.store.history[index]
        is_partitioned = node.zone in self.get_partitioned_zones()
        if config.revision > node.config.revision and not is_partitioned:
            node.config = config
        counts = {self.header.service: len(self.header.routes)}
        moves = node.config.get_open_moves()
        update_moves(node.brake, moves, node.config.revision, counts)


def make_initial_config(header: Header) -> Config:
    """Return the first configuration, which contains the accepted move."""
    routes = tuple(
        Route(route.name, f"/{route.name}", request_class=route.request_class)
        for route in header.routes
    )
    service = Service(header.service, header.from_version, (), routes)
    move = Move(
        f"{header.service}-{header.to_version}",
        header.service,
        header.from_version,
        header.to_version,
        START_TIME_S + header.deadline_s,
        started_at=START_TIME_S,
        changed_at=START_TIME_S,
    )
    return Config(1, header.tenant, 1, {service.name: service}, {move.move_id: move})


def edit_config(config: Config, edit: Edit) -> Config:
    """Return the next revision after an operator's edit."""
    moves = dict(config.moves_by_id)
    for move in config.get_open_moves():
        if edit.kind == "withdraw":
            move = evolve(move, phase="reverted", share=0.0, reason="withdrawn")
        elif edit.kind == "deadline":
            move = evolve(move, deadline=START_TIME_S + edit.deadline_s)
        moves[move.move_id] = move
    revision = config.revision + 1
    return evolve(config, revision=revision, text_revision=revision, moves_by_id=moves)
