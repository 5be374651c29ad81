"""Replays a trace through the real analysis, moves, brake and coordinator."""

from collections.abc import Callable, Coroutine
from random import Random
from typing import Any

from attrs import frozen

from bamboocove.coordination.brake import (
    get_brake_reports,
    get_local_share,
    update_brake,
)
from bamboocove.coordination.coordinator import Coordinator, CoordinatorPorts
from bamboocove.coordination.moves import count_workers_used
from bamboocove.protocol.messages import EvidenceReport
from bamboocove.replay_fakes import EJECT_DELAY_S, START_TIME_S, ReplayNode, Simulation
from bamboocove.state.evidence import Evidence, OutcomeCounts
from bamboocove.traces import Record

# A worker that has just started answers slowly: for how long, in seconds, and
# the probability that is added.
COLD_START_S = 5.0
COLD_START_SLOW_RATE = 0.3


@frozen
class Outcome:
    """Result of the move in a replayed trace.

    Parameters
    ----------
    phase, reason : str
        Final phase of the move and its reason.
    in_time : bool
        Whether the move is done and the new version received all calls by
        the deadline.
    ended_at : float
        End of the replay in seconds from the start of the trace.
    share_max : float
        Largest published share.
    share_bad_max : float
        Largest published share while the new version was bad.
    calls_bad : int
        Calls sent to the new version while it was bad.
    calls_above : int
        Calls sent to the new version by nodes whose share was above the
        published one, because they had not applied the newest revision or
        their zone was partitioned.
    became_bad : bool
        Whether the new version was bad at any time before the move ended.
    revisions : int
        Revision of the configuration at the end.
    warned_at : float
        Seconds from the start of the trace to the last warning that the
        deadline will be missed; negative if there was none.
    """

    phase: str
    reason: str
    in_time: bool
    ended_at: float
    share_max: float
    share_bad_max: float
    calls_bad: int
    calls_above: int
    became_bad: bool
    revisions: int
    warned_at: float


def simulate_calls(
    run: Simulation, node: ReplayNode
) -> tuple[list[Evidence], int, int]:
    """Simulate the calls that one node sends in one second.

    Returns
    -------
    evidence : list of Evidence
        Outcomes of each route during an open move.
    new_total : int
        Calls to the new version.
    bad_total : int
        Calls to the new version while it was bad.
    """
    header, random = run.header, run.random
    move = node.config.get_open_move(header.service)
    share = 0.0 if move is None else get_local_share(node.brake, move)
    if move is None and node.config.services_by_name[header.service].version == (
        header.to_version
    ):
        share = 1.0
    new_workers = run.find_workers(True)[: count_workers_used(share, header.workers)]
    old_workers = run.find_workers(False)
    new_workers, old_workers = (
        [worker for worker in workers if _is_selectable(run, node, worker)]
        for workers in (new_workers, old_workers)
    )
    relative_load = share * header.workers / max(1, len(new_workers))
    evidence, new_total, bad_total = [], 0, 0
    dependency = sum(fault.failing for fault in run.find_faults("dependency"))
    for route in header.routes:
        counts = {True: [0, 0, 0], False: [0, 0, 0]}
        failing, slow = get_added_rates(run, route.name, relative_load * run.factor)
        mean_calls = route.calls_per_s * run.factor / header.nodes
        for _ in range(draw_call_count(random, mean_calls)):
            is_new = bool(new_workers) and random.random() < share
            workers = new_workers if is_new else old_workers
            if not workers:
                continue
            worker = random.choice(workers)
            is_lost = _is_call_lost(run, node, worker)
            fail_rate = route.failing + dependency + (failing if is_new else 0.0)
            slow_rate = route.slow + (slow if is_new else 0.0)
            if is_new and run.now - run.announced_at[worker] < COLD_START_S:
                slow_rate += COLD_START_SLOW_RATE
            failed = is_lost or random.random() < fail_rate
            version_counts = counts[is_new]
            version_counts[0] += 1
            version_counts[1] += failed
            version_counts[2] += not failed and random.random() < slow_rate
            if is_new:
                new_total += 1
                bad_total += bool(failing or slow)
        if move is not None:
            evidence.append(
                Evidence(
                    move.move_id,
                    node.brake.node_id,
                    node.config.revision,
                    route.name,
                    route.request_class,
                    run.now,
                    1.0,
                    OutcomeCounts(*counts[False]),
                    OutcomeCounts(*counts[True]),
                )
            )
    return evidence, new_total, bad_total


def _is_selectable(run: Simulation, node: ReplayNode, worker: int) -> bool:
    """Return whether a node selects a worker: reachable, or not yet ejected."""
    zone = run.nodes[worker].zone
    if run.is_linked(node.zone, zone):
        return True
    faults = run.find_faults("partition")
    return any(run.now - fault.at < EJECT_DELAY_S for fault in faults)


def _is_call_lost(run: Simulation, node: ReplayNode, worker: int) -> bool:
    is_linked = run.is_linked(node.zone, run.nodes[worker].zone)
    return not is_linked or run.get_downtime_s(worker) >= 0.0


def get_added_rates(
    run: Simulation, route: str, relative_load: float
) -> tuple[float, float]:
    """Return the rates of failed and slow calls that the new version adds."""
    failing = slow = 0.0
    for behaviour in run.behaviours:
        if behaviour.route in ("", route) and relative_load > behaviour.load_above:
            failing += behaviour.failing
            slow += behaviour.slow
    return failing, slow


def draw_call_count(random: Random, mean_calls: float) -> int:
    """Draw a number of calls from a Poisson distribution."""
    count, left = 0, random.expovariate(1.0)
    while left < mean_calls:
        count += 1
        left += random.expovariate(1.0)
    return count


def replay_trace(
    records: list[Record],
    make_coordinator: Callable[[str, CoordinatorPorts], Coordinator] | None = None,
    brakes: bool = True,
) -> Outcome:
    """Replay a trace second by second until the move ends.

    Parameters
    ----------
    records : list of Record
        Records of the trace; the first is its header.
    make_coordinator : callable, optional
        Builds the coordinator of a node; ``Coordinator`` by default.
    brakes : bool
        Whether nodes apply their local brakes.
    """
    header = records[0]
    events = sorted(
        (record for record in records if hasattr(record, "at")),
        key=lambda record: record.at,
    )
    run = Simulation(header, records, make_coordinator or _make_real_coordinator)
    share_max = share_bad_max = 0.0
    calls_bad = calls_above = 0
    full_at = None
    became_bad = False
    while run.now < START_TIME_S + header.duration_s and not run.move.is_ended:
        while events and events[0].at <= run.now - START_TIME_S:
            run.apply_record(events.pop(0))
        run.update_faults()
        reports = []
        for node in run.nodes:
            if run.now < node.down_until:
                continue
            run.update_node(node)
            evidence, new_calls, bad_calls = simulate_calls(run, node)
            calls_bad += bad_calls
            became_bad = became_bad or bad_calls > 0
            move = node.config.get_open_move(header.service)
            if move is not None and move.share > run.move.share:
                calls_above += new_calls
            if brakes:
                for item in evidence:
                    update_brake(node.brake, item)
            report = EvidenceReport(tuple(evidence), get_brake_reports(node.brake))
            reports.append((node.zone, report))
        if became_bad:
            share_bad_max = max(share_bad_max, run.move.share)
        run.now += 1.0
        _tick_coordinators(run, reports)
        share_max = max(share_max, run.move.share)
        if run.move.share >= 1.0 and full_at is None:
            full_at = run.now
    move = run.move
    in_time = move.phase == "done" and full_at is not None and full_at <= move.deadline
    return Outcome(
        move.phase,
        move.reason,
        in_time,
        run.now - START_TIME_S,
        share_max,
        share_bad_max,
        calls_bad,
        calls_above,
        became_bad,
        run.store.config.revision,
        run.store.warned_at,
    )


def _make_real_coordinator(node_id: str, ports: CoordinatorPorts) -> Coordinator:
    return Coordinator(node_id, "127.0.0.1", 1, ports)


def _tick_coordinators(
    run: Simulation, reports: list[tuple[int, EvidenceReport]]
) -> None:
    for index, coordinator in enumerate(run.coordinators):
        if run.now < run.nodes[index].down_until:
            continue
        zone = run.nodes[index].zone
        for sender, report in reports:
            if run.is_linked(zone, sender):
                coordinator.post(report, run.now)
        before = len(run.store.history)
        _run_to_completion(coordinator.tick(run.now))
        for revision in range(before, len(run.store.history)):
            run.published_at[revision] = run.now


def _run_to_completion(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine that never suspends, since its fakes return at once."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("a fake suspended the coroutine")
