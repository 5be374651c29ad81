"""Which faults strike when, drawn from a seed, and how each is carried out."""

import signal
from collections.abc import Callable
from random import Random
from typing import Any

from attrs import frozen
from twisted.internet.task import deferLater

from bamboocove.events import run_logged
from bamboocove.platform.standin_worker import WorkerFaults
from soak.world import SERVICES, Host, World

# Mean time between two faults, in seconds. Many last longer, so that they overlap.
GAP_S = 1.2
LONGEST_S = 4.0
# Time between SIGTERM and SIGKILL, in seconds.
GRACE_S = 6.0
MOVE_S = 12.0
BAD_PART = 0.6
STORE_STATUSES = (429, 503)


@frozen
class Strike:
    """One planned event of a run: what, when and for how long, in seconds."""

    at: float
    kind: str
    duration_s: float
    luck: float


def plan_strikes(random: Random, duration_s: float) -> list[Strike]:
    """Return the events of a run, in the order of their time."""
    strikes = []
    at = 0.0
    while True:
        at += random.expovariate(1 / GAP_S)
        if at >= duration_s:
            return strikes
        kind = random.choice(list(STRIKES_BY_KIND))
        length_s = random.uniform(0.3, LONGEST_S)
        strikes.append(Strike(at, kind, length_s, random.random()))


def carry_out(world: World, strike: Strike) -> None:
    """Let one event happen now."""
    hosts = list(world.hosts_by_id.values())
    host = hosts[int(strike.luck * len(hosts))]
    STRIKES_BY_KIND[strike.kind](world, host, strike)


def _later(world: World, strike: Strike, work: Callable, *args: Any) -> None:
    world.clock.callLater(strike.duration_s, work, *args)


def _kill(world: World, host: Host, strike: Strike) -> None:
    world.note("kill", host.host_id, 1.0)
    host.node.send_signal(signal.SIGKILL)


def _kill_many(world: World, host: Host, strike: Strike) -> None:
    world.note("kill_many", "*", 2.0)
    for other in list(world.hosts_by_id.values())[:: 1 if strike.luck < 0.5 else 2]:
        other.node.send_signal(signal.SIGKILL)


def _pause(world: World, host: Host, strike: Strike) -> None:
    world.note("pause", host.host_id, strike.duration_s)
    start = host.node.start_number
    host.node.send_signal(signal.SIGSTOP)

    def resume() -> None:
        if host.node.start_number == start:
            host.node.send_signal(signal.SIGCONT)

    _later(world, strike, resume)


def _stop(world: World, host: Host, strike: Strike) -> None:
    if not host.node.is_alive or host.node.is_ending:
        return
    world.note("stop", host.host_id, GRACE_S + 1.0, is_planned=True)
    start = host.node.start_number
    host.node.send_signal(signal.SIGTERM)

    def end() -> None:
        if host.node.start_number == start:
            host.node.send_signal(signal.SIGKILL)

    world.clock.callLater(GRACE_S, end)


def _hang_up(world: World, host: Host, strike: Strike) -> None:
    world.note("hang_up", host.host_id, 0.5, is_planned=True)
    host.node.send_signal(signal.SIGHUP)


def _cut_links(world: World, host: Host, strike: Strike) -> None:
    # A node reaches others through their proxies, so this cuts one way only:
    # requests to the host, or answers from it, or both.
    world.note("cut_links", host.host_id, strike.duration_s)
    part = strike.luck * 7 % 1
    host.link_proxy.cut(part < 0.67, part > 0.33)
    _later(world, strike, host.link_proxy.heal)


def _reset_links(world: World, host: Host, strike: Strike) -> None:
    world.note("reset_links", host.host_id, strike.duration_s)
    host.link_proxy.reset(is_refusing=strike.luck * 7 % 1 < 0.5)
    _later(world, strike, host.link_proxy.heal)


def _delay_links(world: World, host: Host, strike: Strike) -> None:
    world.note("delay_links", host.host_id, strike.duration_s)
    host.link_proxy.delay_s = 0.02 + 0.3 * (strike.luck * 7 % 1)
    _later(world, strike, host.link_proxy.heal)


def _cut_store(world: World, host: Host, strike: Strike) -> None:
    world.note("cut_store", host.host_id, strike.duration_s)
    if strike.luck * 7 % 1 < 0.5:
        host.store_proxy.cut()
    else:
        host.store_proxy.reset(is_refusing=True)
    _later(world, strike, host.store_proxy.heal)


def _fail_store(world: World, host: Host, strike: Strike) -> None:
    world.note("fail_store", "store", strike.duration_s)
    faults = (*STORE_STATUSES, "silent", "lose")
    world.store.fault = faults[int(strike.luck * 97) % len(faults)]
    _later(world, strike, setattr, world.store, "fault", None)


def _slow_store(world: World, host: Host, strike: Strike) -> None:
    world.note("slow_store", "store", strike.duration_s)
    world.store.delay_s = 0.3
    _later(world, strike, setattr, world.store, "delay_s", 0.0)


def _forget_history(world: World, host: Host, strike: Strike) -> None:
    world.note("forget_history", "store", 0.5)
    world.change_config()
    world.store.drop_history()


def _crash_worker(world: World, host: Host, strike: Strike) -> None:
    world.note("crash_worker", f"worker of {host.host_id}", strike.duration_s)
    world.replace_worker(host, host.worker.version, strike.duration_s)


def _harm_worker(world: World, host: Host, strike: Strike) -> None:
    worker = host.worker
    if worker.version != "v1":
        return
    world.note("harm_worker", f"worker of {host.host_id}", strike.duration_s)
    worker.troubles = (
        WorkerFaults(slow_factor=6.0),
        WorkerFaults(abort_rate=0.1, truncation_rate=0.1),
        WorkerFaults(error_rate=0.3),
    )[int(strike.luck * 97) % 3]
    _later(world, strike, setattr, worker, "troubles", WorkerFaults())


def _drain_worker(world: World, host: Host, strike: Strike) -> None:
    if host.worker.state == "ready":
        kind = "drain_worker"
        world.note(kind, f"worker of {host.host_id}", 1.0, is_planned=True)
        run_logged(world.drain_worker(host))


def _change_config(world: World, host: Host, strike: Strike) -> None:
    world.note("change_config", "operator", 0.1, is_planned=True)
    world.change_config()


STRIKES_BY_KIND: dict[str, Callable[[World, Host, Strike], None]] = {
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


async def move_service(world: World, random: Random, on_host: Callable) -> None:
    """Bring in a new version of a service, good or bad, and follow the verdict."""
    service = random.choice(SERVICES)
    is_bad = random.random() < 0.5
    new = [world.start_host(service, "v2") for _ in range(2)]
    for host in new:
        on_host(host)
        if is_bad:
            host.worker.troubles = WorkerFaults(error_rate=BAD_PART)
    if is_bad:
        world.journal.bad_version = (service, "v2")
    world.order_move(service, "v2", MOVE_S)
    workers = [host.worker for host in new]
    state = ""
    end = world.clock.seconds() + 3 * MOVE_S
    while state not in ("succeeded", "rolled_back") and world.clock.seconds() < end:
        await deferLater(world.clock, 0.1)
        state = world.get_move_state(service)
    for worker in workers:
        world.journal.bad_answers_at += worker.failed_at if is_bad else []
    world.journal.bad_answers_at.sort()
    world.journal.move_state = state
    if state == "succeeded":
        for host in world.hosts_by_id.values():
            if host.service == service and host.worker.version != "v2":
                subject = f"worker of {host.host_id}"
                world.note("replace_worker", subject, 1.0)
                world.replace_worker(host, "v2", 0.5)
