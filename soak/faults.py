"""Random fault schedule of a run, and the code that injects each kind of fault."""

import signal
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import evolve, frozen
from twisted.internet.task import deferLater

from bamboocove.events import run_logged
from bamboocove.platform.standin_worker import WorkerFaults
from soak.cluster import OPERATOR_DELAY_S, SERVICES, Cluster, Host

# Mean time between two faults; many last longer, so that they overlap.
MEAN_INTERVAL_S = 1.2
MAX_FAULT_S = 4.0
# Time between SIGTERM and SIGKILL of a planned stop.
KILL_DELAY_S = 6.0
ROLLOUT_S = 12.0
# Fraction of the faults that are repeated, how often, and how soon.
SERIES_RATE = 0.35
MAX_REPEATS = 4
MAX_REPEAT_DELAY_S = 1.2
FAULTY_ERROR_RATE = 0.6
# Range of the rate limits that workers name, well below what a worker gets.
MIN_LIMIT_PER_S, MAX_LIMIT_PER_S = 0.5, 4.0
STORE_ERROR_STATUSES = (429, 503)
PLANNED_KINDS = ("stop", "stop", "stop", "hang_up", "drain_worker", "change_config")
# Greatest age of the copy from which the store is restored, in seconds.
MAX_COPY_AGE_S = 8.0
# When a node gets no processor after it was told to stop, and for how long.
STARVE_WITHIN_S = 2.4
MAX_STARVE_S = 1.0


@frozen
class FaultEvent:
    """One scheduled event of a run.

    Parameters
    ----------
    at : float
        Seconds after the start of fault injection.
    kind : str
        Key of ``INJECTORS_BY_KIND``.
    duration_s : float
        How long it lasts, in seconds.
    draw : float
        Random number in [0, 1) that selects the host and the variant.
    """

    at: float
    kind: str
    duration_s: float
    draw: float


def plan_faults(
    random: Random, duration_s: float, series_random: Random | None = None
) -> list[FaultEvent]:
    """Return the events of a run.

    With ``series_random``, some events are repeated in quick succession, on the
    same host or on others.
    """
    events = _plan_single_faults(random, duration_s)
    if series_random is None:
        return events
    for event in list(events):
        if series_random.random() >= SERIES_RATE:
            continue
        is_same_host = series_random.random() < 0.5
        for _ in range(series_random.randint(1, MAX_REPEATS)):
            event = evolve(
                event,
                at=event.at + series_random.uniform(0.0, MAX_REPEAT_DELAY_S),
                draw=event.draw if is_same_host else series_random.random(),
            )
            if event.at < duration_s:
                events.append(event)
    return events


def _plan_single_faults(random: Random, duration_s: float) -> list[FaultEvent]:
    events = []
    at = 0.0
    while True:
        at += random.expovariate(1 / MEAN_INTERVAL_S)
        if at >= duration_s:
            return events
        kind = random.choice(list(INJECTORS_BY_KIND))
        length_s = random.uniform(0.3, MAX_FAULT_S)
        events.append(FaultEvent(at, kind, length_s, random.random()))


def plan_work(random: Random, duration_s: float) -> list[FaultEvent]:
    """Return the events of a run that has planned work only, in series that overlap.

    Each second stop meets a busy machine: the node gets no processor for a time.
    """
    events = []
    at = 0.0
    while (at := at + random.expovariate(1 / MEAN_INTERVAL_S)) < duration_s:
        kind = random.choice(PLANNED_KINDS)
        draw = random.random()
        events.append(FaultEvent(at, kind, 0.0, draw))
        if kind != "stop":
            continue
        if random.random() < 0.3:
            events.append(FaultEvent(at, "stop", 0.0, random.random()))
        for _ in range(random.randint(0, 2)):
            near_s = random.choice((-0.05, 0.0, 0.05, 2.0, 2.3))
            events.append(FaultEvent(max(0.0, at + near_s), "hang_up", 0.0, draw))
        if random.random() < 0.5:
            starve_at = at + random.uniform(0.0, STARVE_WITHIN_S)
            length_s = random.uniform(0.2, MAX_STARVE_S)
            events.append(FaultEvent(starve_at, "starve", length_s, draw))
    return events


def inject_fault(cluster: Cluster, event: FaultEvent) -> None:
    """Inject the fault of one event now."""
    hosts = list(cluster.hosts_by_id.values())
    host = hosts[int(event.draw * len(hosts))]
    injectors_by_kind = INJECTORS_BY_KIND | SEPARATE_INJECTORS_BY_KIND
    injectors_by_kind[event.kind](cluster, host, event)


def _restore_at_end(
    cluster: Cluster, event: FaultEvent, subject: Any, restore: Callable[[], None]
) -> None:
    """Restore a subject once this fault and all that overlap it have ended."""
    cluster.faults_by_subject[subject] += 1

    def end() -> None:
        cluster.faults_by_subject[subject] -= 1
        if not cluster.faults_by_subject[subject]:
            restore()

    cluster.clock.callLater(event.duration_s, end)


def _kill(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("kill", host.host_id, 1.0)
    host.node.send_signal(signal.SIGKILL)


def _kill_many(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("kill_many", "*", 2.0)
    for other in list(cluster.hosts_by_id.values())[:: 1 if event.draw < 0.5 else 2]:
        other.node.send_signal(signal.SIGKILL)


def _pause(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("pause", host.host_id, event.duration_s)
    start_number = host.node.start_number
    host.node.send_signal(signal.SIGSTOP)

    def resume() -> None:
        if host.node.start_number == start_number:
            host.node.send_signal(signal.SIGCONT)

    _restore_at_end(cluster, event, (host.host_id, start_number), resume)


def _starve(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    # Stands for other processes that hold the processor, so it excuses nothing.
    cluster.record_disruption("starve", host.host_id, event.duration_s, is_planned=True)
    start_number = host.node.start_number
    host.node.send_signal(signal.SIGSTOP)

    def resume() -> None:
        if host.node.start_number == start_number:
            host.node.send_signal(signal.SIGCONT)

    _restore_at_end(cluster, event, (host.host_id, start_number), resume)


def _stop(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    if not host.node.is_alive or host.node.is_stopping:
        return
    cluster.record_disruption("stop", host.host_id, KILL_DELAY_S + 1.0, is_planned=True)
    start_number = host.node.start_number
    host.node.send_signal(signal.SIGTERM)

    def kill() -> None:
        if host.node.start_number == start_number:
            host.node.send_signal(signal.SIGKILL)

    cluster.clock.callLater(KILL_DELAY_S, kill)


def _hang_up(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("hang_up", host.host_id, 0.5, is_planned=True)
    host.node.send_signal(signal.SIGHUP)


def _cut_links(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    # Nodes reach each other through the proxy of the destination, so this affects
    # only connections to the host: their requests, their responses, or both.
    cluster.record_disruption("cut_links", host.host_id, event.duration_s)
    variant = event.draw * 7 % 1
    host.link_proxy.cut(variant < 0.67, variant > 0.33)
    _restore_at_end(cluster, event, host.link_proxy, host.link_proxy.heal)


def _reset_links(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("reset_links", host.host_id, event.duration_s)
    host.link_proxy.reset(is_refusing=event.draw * 7 % 1 < 0.5)
    _restore_at_end(cluster, event, host.link_proxy, host.link_proxy.heal)


def _delay_links(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("delay_links", host.host_id, event.duration_s)
    host.link_proxy.delay_s = 0.02 + 0.3 * (event.draw * 7 % 1)
    _restore_at_end(cluster, event, host.link_proxy, host.link_proxy.heal)


def _cut_store(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("cut_store", host.host_id, event.duration_s)
    if event.draw * 7 % 1 < 0.5:
        host.store_proxy.cut()
    else:
        host.store_proxy.reset(is_refusing=True)
    _restore_at_end(cluster, event, host.store_proxy, host.store_proxy.heal)


def _fail_store(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("fail_store", "store", event.duration_s)
    faults = (*STORE_ERROR_STATUSES, "silent", "lose")
    cluster.store.fault = faults[int(event.draw * 97) % len(faults)]
    store = cluster.store
    _restore_at_end(cluster, event, "fault", lambda: setattr(store, "fault", None))


def _slow_store(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("slow_store", "store", event.duration_s)
    cluster.store.delay_s = 0.3
    store = cluster.store
    _restore_at_end(cluster, event, "delay", lambda: setattr(store, "delay_s", 0.0))


def _forget_history(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("forget_history", "store", 0.5)
    cluster.change_config()
    cluster.store.drop_history()


def _restore_store(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    # Rows are missing until the operator and the nodes have written them again.
    length_s = event.duration_s + OPERATOR_DELAY_S + 1.0
    cluster.record_disruption("restore_store", "store", length_s)
    store = cluster.store
    store.fault = STORE_ERROR_STATUSES[-1]
    cluster.restore_store(MAX_COPY_AGE_S * event.draw)
    _restore_at_end(cluster, event, "fault", lambda: setattr(store, "fault", None))


def _crash_worker(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption(
        "crash_worker", f"worker of {host.host_id}", event.duration_s
    )
    cluster.replace_worker(host, host.worker.version, event.duration_s)


def _harm_worker(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    worker = host.worker
    if worker.version != "v1":
        return
    cluster.record_disruption(
        "harm_worker", f"worker of {host.host_id}", event.duration_s
    )
    worker.troubles = (
        WorkerFaults(slow_factor=6.0),
        WorkerFaults(abort_rate=0.1, truncation_rate=0.1, repeat_rate=0.1),
        WorkerFaults(error_rate=0.3),
    )[int(event.draw * 97) % 3]
    _restore_at_end(
        cluster, event, worker, lambda: setattr(worker, "troubles", WorkerFaults())
    )


def _limit_worker(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    worker = host.worker
    if worker.limit_per_s or worker.state != "ready":
        return
    subject = f"worker of {host.host_id}"
    cluster.record_disruption("limit_worker", subject, event.duration_s)
    share = event.draw * 7 % 1
    worker.limit_per_s = MIN_LIMIT_PER_S + share * (MAX_LIMIT_PER_S - MIN_LIMIT_PER_S)
    cluster.clock.callLater(event.duration_s, cluster.end_limit, host, worker)


def _drain_worker(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    if host.worker.state == "ready":
        kind = "drain_worker"
        cluster.record_disruption(
            kind, f"worker of {host.host_id}", 1.0, is_planned=True
        )
        run_logged(cluster.drain_worker(host))


def _sign_off_worker(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    if host.worker.state != "ready":
        return
    _kill(cluster, host, event)
    subject = f"worker of {host.host_id}"
    cluster.record_disruption("sign_off_worker", subject, 1.0, is_planned=True)
    run_logged(cluster.sign_off_worker(host, event.duration_s))


def _change_config(cluster: Cluster, host: Host, event: FaultEvent) -> None:
    cluster.record_disruption("change_config", "operator", 0.1, is_planned=True)
    cluster.change_config()


INJECTORS_BY_KIND: dict[str, Callable[[Cluster, Host, FaultEvent], None]] = {
    "kill": _kill,
    "kill_many": _kill_many,
    "pause": _pause,
    "stop": _stop,
    "hang_up": _hang_up,
    "cut_links": _cut_links,
    "reset_links": _reset_links,
    "delay_links": _delay_links,
    "cut_store": _cut_store,
    "fail_store": _fail_store,
    "slow_store": _slow_store,
    "forget_history": _forget_history,
    "crash_worker": _crash_worker,
    "harm_worker": _harm_worker,
    "drain_worker": _drain_worker,
    "change_config": _change_config,
}

# Kinds that are planned apart from those above, see ``plan_limits``,
# ``plan_sign_offs``, ``plan_restores`` and ``plan_work``.
SEPARATE_INJECTORS_BY_KIND = {
    "restore_store": _restore_store,
    "limit_worker": _limit_worker,
    "sign_off_worker": _sign_off_worker,
    "starve": _starve,
}


async def roll_out_version(
    cluster: Cluster, random: Random, on_host_started: Callable
) -> None:
    """Roll out a new version of a service, healthy or faulty, and await its outcome.

    After a success, the workers of the old version are replaced.
    """
    service = random.choice(SERVICES)
    is_faulty = random.random() < 0.5
    new_hosts = [cluster.start_host(service, "v2") for _ in range(2)]
    for host in new_hosts:
        on_host_started(host)
        if is_faulty:
            host.worker.troubles = WorkerFaults(error_rate=FAULTY_ERROR_RATE)
    if is_faulty:
        cluster.journal.faulty_version = (service, "v2")
    cluster.request_rollout(service, "v2", ROLLOUT_S)
    workers = [host.worker for host in new_hosts]
    state = ""
    end = cluster.clock.seconds() + 3 * ROLLOUT_S
    while state not in ("succeeded", "rolled_back") and cluster.clock.seconds() < end:
        await deferLater(cluster.clock, 0.1)
        state = cluster.get_rollout_state(service)
    for worker in workers:
        cluster.journal.errors_at += worker.failed_at if is_faulty else []
    cluster.journal.errors_at.sort()
    cluster.journal.rollout_state = state
    if state == "succeeded":
        for host in cluster.hosts_by_id.values():
            if host.service == service and host.worker.version != "v2":
                subject = f"worker of {host.host_id}"
                cluster.record_disruption("replace_worker", subject, 1.0)
                cluster.replace_worker(host, "v2", 0.5)
