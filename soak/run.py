"""One run: start the hosts, inject faults under load, and wait for the recovery."""

import sys
from pathlib import Path
from random import Random
from typing import Any

from attrs import frozen
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.python.failure import Failure

from bamboocove.events import run_logged
from bamboocove.transport.clients import ConnectionPool
from soak.checks import RECOVERY_S
from soak.cluster import SERVICES, Cluster
from soak.faults import (
    inject_fault,
    plan_faults,
    plan_work,
    roll_out_version,
)
from soak.records import Journal
from soak.separate_plans import plan_limits, plan_restores, plan_sign_offs
from soak.traffic import LoadGenerator, is_ready

# Time for all nodes to become ready before the load starts.
START_TIMEOUT_S = 40.0
POLL_S = 0.2
WARM_UP_S = 2.0
# Duration of the load after the recovery time, on which the recovery is checked.
RECOVERY_CHECK_S = 4.0
# In runs of planned work: share of the clients that pipeline, and factors of the
# processing time of workers.
PIPELINE_RATE = 0.3
WORK_FACTORS = (1.0, 4.0, 12.0)


@frozen
class RunOptions:
    """Options of one run.

    Parameters
    ----------
    seed : int
        Seed of the faults and the load.
    duration_s : float
        Time during which faults are injected, in seconds.
    hosts : int
        Number of hosts at the start.
    rate : float
        Requests per second on each host.
    network : int
        Second octet of the loopback addresses.
    folder : Path
        Directory for settings and logs.
    has_series : bool
        Whether faults also come in quick succession.
    is_planned_only : bool
        Whether there is planned work only, and clients pipeline and read slowly.
    """

    seed: int
    duration_s: float
    hosts: int
    rate: float
    network: int
    folder: Path
    has_series: bool = False
    is_planned_only: bool = False


async def _wait_until_ready(cluster: Cluster, clock: Any) -> None:
    pool = ConnectionPool(clock, START_TIMEOUT_S)
    end = clock.seconds() + START_TIMEOUT_S
    for host in cluster.hosts_by_id.values():
        while not await is_ready(pool, host):
            if clock.seconds() > end:
                raise RuntimeError(
                    f"{host.host_id} was not ready within {START_TIMEOUT_S:g} s"
                )
            await deferLater(clock, POLL_S)
    pool.close()


async def _run(options: RunOptions, clock: Any) -> Journal:
    random = Random(options.seed)
    journal = Journal(options.seed)
    cluster = Cluster(options.network, options.folder, random, clock, journal)
    generators: list[LoadGenerator] = []

    def start_load(host: Any) -> None:
        load_seed = f"{options.seed}/{host.host_id}"
        generators.append(
            LoadGenerator(
                cluster,
                host,
                Random(load_seed),
                options.rate,
                PIPELINE_RATE if options.is_planned_only else 0.0,
            )
        )
        generators[-1].start()

    # Leaves no node processes behind if a signal stops the run.
    clock.addSystemEventTrigger("before", "shutdown", cluster.kill_nodes)
    try:
        await _run_scenario(options, cluster, generators, start_load)
    finally:
        for generator in generators:
            generator.stop()
            generator.close()
        await cluster.stop()
    return journal


async def _run_scenario(
    options: RunOptions,
    cluster: Cluster,
    generators: list[LoadGenerator],
    start_load: Any,
) -> None:
    clock, random, journal = cluster.clock, cluster.random, cluster.journal
    series_random = Random(f"{options.seed}/series") if options.has_series else None
    if options.is_planned_only:
        events = plan_work(random, options.duration_s)
    else:
        events = plan_faults(random, options.duration_s, series_random)
        events += plan_limits(Random(f"{options.seed}/limits"), options.duration_s)
        sign_off_random = Random(f"{options.seed}/sign-offs")
        events += plan_sign_offs(sign_off_random, options.duration_s)
        restore_random = Random(f"{options.seed}/restores")
        events += plan_restores(restore_random, options.duration_s)
    rollout_at = random.uniform(0.0, 0.6) * options.duration_s
    cluster.start_store()
    for number in range(options.hosts):
        cluster.start_host(SERVICES[number % len(SERVICES)])
    await _wait_until_ready(cluster, clock)
    for host in list(cluster.hosts_by_id.values()):
        start_load(host)
    await deferLater(clock, WARM_UP_S)
    if options.is_planned_only:
        for host in cluster.hosts_by_id.values():
            host.worker.work_s *= random.choice(WORK_FACTORS)
    else:
        clock.callLater(
            rollout_at,
            lambda: run_logged(roll_out_version(cluster, random, start_load)),
        )
    for event in events:
        clock.callLater(event.at, inject_fault, cluster, event)
    await deferLater(clock, options.duration_s)
    ends = [
        disruption.end
        for disruption in journal.disruptions
        if not disruption.is_planned
    ]
    remaining_s = max([0.0, *(end - clock.seconds() for end in ends)])
    await deferLater(clock, remaining_s + RECOVERY_S)
    journal.recovery_deadline = clock.seconds()
    await deferLater(clock, RECOVERY_CHECK_S)
    for generator in generators:
        generator.stop()
    while any(generator.in_flight for generator in generators):
        await deferLater(clock, 0.1)
    # Workers may still start requests that were cancelled; record those too.
    await deferLater(clock, 0.5)
    for host in cluster.hosts_by_id.values():
        host.node.record_peak_memory()
        journal.peak_kib_by_host[host.host_id] = host.node.peak_kib
        journal.program_errors += host.node.find_program_errors()


def run_seed(options: RunOptions) -> Journal:
    """Run a seed and return its observations."""
    from twisted.internet import reactor

    results: list[Any] = []

    def begin() -> None:
        done = Deferred.fromCoroutine(_run(options, reactor))
        done.addBoth(results.append)
        done.addBoth(lambda _: reactor.stop() if reactor.running else None)

    reactor.callWhenRunning(begin)
    reactor.run()
    if not results:
        raise SystemExit("the run was stopped before it ended")
    if isinstance(results[0], Failure):
        results[0].printTraceback(sys.stderr)
        results[0].raiseException()
    return results[0]
