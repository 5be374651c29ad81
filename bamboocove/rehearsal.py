"""Runs a trace against the real judgement, moves, brake and coordinator."""

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
from bamboocove.replay_fakes import EJECT_S, START, Rehearsal, ReplayNode
from bamboocove.state.evidence import Evidence, OutcomeCounts
from bamboocove.traces import Record

# A worker that has just started is slow.
COLD_S = 5.0
COLD_SLOW = 0.3


@frozen
class Outcome:
    """What became of the move of a trace.

    Parameters
    ----------
    phase, reason : str
        Of the move at the end.
    in_time : bool
        Whether it is done and all calls had moved by the deadline.
    ended_at : float
        Seconds from the start of the trace.
    share_max : float
        Largest published share.
    share_bad_max : float
        Largest published share while the new version was bad.
    calls_bad : int
        Calls sent to the new version while it was bad.
    calls_above : int
        Calls sent to the new version by nodes whose share was above the
        published one: revisions not yet applied, or a zone cut off.
    became_bad : bool
        Whether the new version was bad at any time before the move ended.
    revisions : int
        Revisions published.
    warned_at : float
        When the deadline was first said to be missed; negative if never.
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


def send_calls(run: Rehearsal, node: ReplayNode) -> tuple[list[Evidence], int, int]:
    """Send the calls of one second from one node.

    Returns
    -------
    evidence : list of Evidence
        Outcomes by route.
    new_calls : int
        Calls to the new version.
    is_bad : int
        Those while the new version was bad.
    """
    header, random = run.header, run.random
    move = node.config.get_open_move(header.service)
    share = 0.0 if move is None else get_local_share(node.brake, move)
    if move is None and node.config.services_by_name[header.service].version == (
        header.to_version
    ):
        share = 1.0
    news = run.find_workers(True)[: count_workers_used(share, header.workers)]
    olds = run.find_workers(False)
    news, olds = (
        [worker for worker in workers if _is_tried(run, node, worker)]
        for workers in (news, olds)
    )
    load = share * header.workers / max(1, len(news))
    evidence, new_total, bad_total = [], 0, 0
    dependency = sum(fault.failing for fault in run.find_faults("dependency"))
    for route in header.routes:
        counts = {True: [0, 0, 0], False: [0, 0, 0]}
        failing, slow = get_excess(run, route.name, load * run.factor)
        mean = route.calls_per_s * run.factor / header.nodes
        for _ in range(draw_calls(random, mean)):
            is_new = bool(news) and random.random() < share
            workers = news if is_new else olds
            if not workers:
                continue
            worker = random.choice(workers)
            is_lost = _is_lost(run, node, worker)
            fail_rate = route.failing + dependency + (failing if is_new else 0.0)
            slow_rate = route.slow + (slow if is_new else 0.0)
            if is_new and run.now - run.announced_at[worker] < COLD_S:
                slow_rate += COLD_SLOW
            failed = is_lost or random.random() < fail_rate
            tally = counts[is_new]
            tally[0] += 1
            tally[1] += failed
            tally[2] += not failed and random.random() < slow_rate
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


def _is_tried(run: Rehearsal, node: ReplayNode, worker: int) -> bool:
    """Return whether a node still sends calls to a worker."""
    zone = run.nodes[worker].zone
    if run.is_linked(node.zone, zone):
        return True
    faults = run.find_faults("partition")
    return any(run.now - fault.at < EJECT_S for fault in faults)


def _is_lost(run: Rehearsal, node: ReplayNode, worker: int) -> bool:
    is_linked = run.is_linked(node.zone, run.nodes[worker].zone)
    return not is_linked or run.get_down_s(worker) >= 0.0


def get_excess(run: Rehearsal, route: str, load: float) -> tuple[float, float]:
    """Return what the new version adds to the rates of failed and slow calls."""
    failing = slow = 0.0
    for behaviour in run.behaviours:
        if behaviour.route in ("", route) and load > behaviour.load_above:
            failing += behaviour.failing
            slow += behaviour.slow
    return failing, slow


def draw_calls(random: Random, mean: float) -> int:
    """Draw a Poisson number of calls."""
    count, left = 0, random.expovariate(1.0)
    while left < mean:
        count += 1
        left += random.expovariate(1.0)
    return count


def rehearse(
    records: list[Record],
    make_coordinator: Callable[[str, CoordinatorPorts], Coordinator] | None = None,
    brakes: bool = True,
) -> Outcome:
    """Replay a trace second by second until the move ends.

    Parameters
    ----------
    records : list of Record
        The trace.
    make_coordinator : callable, optional
        Builds the coordinator of a node; the real one by default.
    brakes : bool
        Whether nodes use their local brakes.
    """
    header = records[0]
    events = sorted(
        (record for record in records if hasattr(record, "at")),
        key=lambda record: record.at,
    )
    run = Rehearsal(header, records, make_coordinator or _make_real_coordinator)
    share_max = share_bad_max = 0.0
    calls_bad = calls_above = 0
    full_at = None
    became_bad = False
    while run.now < START + header.duration_s and not run.move.is_ended:
        while events and events[0].at <= run.now - START:
            run.apply_record(events.pop(0))
        run.update_faults()
        reports = []
        for node in run.nodes:
            if run.now < node.down_until:
                continue
            run.update_node(node)
            evidence, new_calls, bad_calls = send_calls(run, node)
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
        _tick(run, reports)
        share_max = max(share_max, run.move.share)
        if run.move.share >= 1.0 and full_at is None:
            full_at = run.now
    move = run.move
    in_time = move.phase == "done" and full_at is not None and full_at <= move.deadline
    return Outcome(
        move.phase,
        move.reason,
        in_time,
        run.now - START,
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


def _tick(run: Rehearsal, reports: list[tuple[int, EvidenceReport]]) -> None:
    for index, coordinator in enumerate(run.coordinators):
        if run.now < run.nodes[index].down_until:
            continue
        zone = run.nodes[index].zone
        for sender, report in reports:
            if run.is_linked(zone, sender):
                coordinator.post(report, run.now)
        before = len(run.store.history)
        _complete(coordinator.tick(run.now))
        for revision in range(before, len(run.store.history)):
            run.published_at[revision] = run.now


def _complete(coroutine: Coroutine[Any, Any, None]) -> None:
    """Run a coroutine whose fakes never wait."""
    try:
        coroutine.send(None)
    except StopIteration:
        return
    raise RuntimeError("a fake waited")
