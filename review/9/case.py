"""A request that crashes workers comes again as nodes are restarted in turn."""

import asyncio
import signal
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "6"))

from mesh import Host, Mesh, Message, Worker, main, make_answer, make_route

KILLER = "/orders/view/77"
CONTACT_S = 3.0
# Retries of the request that the rule allows, and the crash from which they count.
RETRIES_MAX = 3
COUNTED_CRASH = 3
RESTARTED = 6


async def play(mesh: Mesh, has_trouble: bool) -> bool:
    """Restart nodes, and send the request twice at each one that is in touch again."""
    tasks = set()

    async def crash(worker: Worker) -> None:
        await asyncio.sleep(0.02)
        mesh.record.add("crash", host=worker.host.name)
        await worker.crash()
        await asyncio.sleep(3.0)
        await worker.start()

    async def run(worker: Worker, request: Message, writer: object) -> bytes | None:
        if request.target != KILLER:
            await asyncio.sleep(0.02)
            return make_answer(request)
        task = asyncio.create_task(crash(worker))
        tasks.add(task)
        await asyncio.sleep(1.0)
        return None

    count = 0

    async def send(host: Host, path: str) -> None:
        nonlocal count
        count += 1
        await host.call(f"a{count:04d}", "GET", path, 1.2)

    for zone in ("lj-a", "lj-b", "lj-c"):
        for _ in range(2):
            mesh.add_host(zone, "orders", run=run)
    route = make_route("orders", "/orders/", "safe", attempts=2)
    mesh.set_config(7, {"r-orders": route}, ["orders"])
    await mesh.start()
    for host in mesh.hosts:
        for number in range(4):
            await send(host, f"/orders/view/{number}")
    # Comes at two machines, crashes workers, and is then refused everywhere.
    for host in mesh.hosts[:3]:
        await send(host, KILLER)
        await asyncio.sleep(3.6)
    for host in mesh.hosts[:RESTARTED]:
        if has_trouble:
            host.signal_node(signal.SIGTERM)
            await host.wait_for_end(8.0)
            await asyncio.sleep(0.3)
            host.start_node()
            await mesh.wait_until_ready(15.0)
        # In touch again for longer than contactS; all workers are back.
        await asyncio.sleep(CONTACT_S + 1.0)
        await send(host, "/orders/view/1")
        for _ in range(2):
            await send(host, KILLER)
            await asyncio.sleep(0.5)
    await asyncio.sleep(4.0)
    return judge(mesh)


def judge(mesh: Mesh) -> bool:
    """Return whether too many retries reached workers after the third crash."""
    record = mesh.record
    crashes = record.find("crash")
    record.add("crashes", count=len(crashes))
    if len(crashes) < COUNTED_CRASH:
        return False
    counts_from = crashes[COUNTED_CRASH - 1]["t"] + CONTACT_S
    sent_at = {item["id"]: item["t"] for item in record.find("sent")}
    arrived = {item["id"] for item in record.find("run", target=KILLER)}
    late = sorted(i for i in arrived if sent_at[i] > counts_from)
    record.add("BUDGET", retries=late, allowed=RETRIES_MAX, counts_from=counts_from)
    return len(late) > RETRIES_MAX


main(str(Path(__file__).parent), play)
