"""A new version that answers half of its requests with 404 is brought in."""

import asyncio
import json
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "6"))

from mesh import Mesh, Message, Worker, main, make_answer, make_route

SERVICE = "orders"
DURATION_S = 16.0
BAD_SHARE = 0.5
BAD_STATUS = 404
INTERVAL_S = 0.01
WORK_S = 0.02
# Bounds of the rule.
EXPOSE_SHARE, EXPOSE_SLACK = 0.1, 50
ROLLBACK_S, BAD_ANSWERS = 5.0, 50


async def play(mesh: Mesh, has_trouble: bool) -> bool:
    """Order the move, and play the platform until it ends."""
    record = mesh.record
    answers = 0

    async def run(worker: Worker, request: Message, writer: object) -> bytes:
        nonlocal answers
        await asyncio.sleep(WORK_S)
        status = 200
        if worker.version == "v2" and has_trouble:
            answers += 1
            if answers * BAD_SHARE % 1.0 == 0.0:
                status = BAD_STATUS
                record.add("bad", id=request.headers["x-attempt-id"])
        return make_answer(request, status)

    zones = ("lj-a", "lj-b", "lj-c")
    for zone in zones:
        mesh.add_host(zone, SERVICE, run=run)
    old = list(mesh.hosts)
    route = make_route(SERVICE, "/orders/", "safe", timeoutS=1.2)
    mesh.set_config(7, {"r-orders": route}, [SERVICE])
    await mesh.start()
    traffic = asyncio.create_task(send_requests(old))
    await asyncio.sleep(2.0)
    order = {"service": SERVICE, "to": "v2", "durationS": DURATION_S}
    mesh.store.put("op", f"rollout/{SERVICE}", json.dumps(order).encode())
    ordered_at = record.add("order", **order)["t"]
    for zone in zones:
        host = mesh.add_host(zone, SERVICE, run=run, version="v2")
        host.starts = 1
        host.start_node()
    new = mesh.hosts[len(old) :]
    await asyncio.sleep(0.5)
    for host in new:
        await host.worker.start()
    await follow_status(mesh, old, new, ordered_at + DURATION_S + 4.0)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    return has_trouble and judge(mesh, ordered_at)


async def send_requests(hosts: list) -> None:
    """Send requests at all hosts in turn."""
    calls = set()
    count = 0
    try:
        while True:
            count += 1
            call = hosts[count % len(hosts)].call(
                f"a{count:05d}", "GET", "/orders/view/1", 1.2
            )
            task = asyncio.create_task(call)
            calls.add(task)
            task.add_done_callback(calls.discard)
            await asyncio.sleep(INTERVAL_S)
    finally:
        await asyncio.gather(*calls, return_exceptions=True)


async def follow_status(mesh: Mesh, old: list, new: list, until: float) -> None:
    """Stop the old workers at success; drain the new ones after a roll-back."""
    state = ""
    while mesh.record.now() < until:
        await asyncio.sleep(0.1)
        data = mesh.store.get("status", f"rollout/{SERVICE}")
        document = json.loads(data) if data else {}
        if document.get("state", "") == state:
            continue
        state = document["state"]
        mesh.record.add("status", **document)
        if state == "succeeded":
            for host in old:
                await host.worker.crash()
        elif state == "rolled_back":
            await asyncio.sleep(3.0)
            for host in new:
                host.worker.state = "draining"
                await host.worker.beat()


def judge(mesh: Mesh, ordered_at: float) -> bool:
    """Return whether the bad version got more requests than the rule allows."""
    record = mesh.record
    sent_at = {item["id"]: item["t"] for item in record.find("sent")}
    new = {host.name for host in mesh.hosts if host.worker.version == "v2"}
    arrived = [
        item
        for item in record.find("run")
        if ordered_at <= item["t"] <= ordered_at + DURATION_S
    ]
    exposed = sum(item["host"] in new for item in arrived)
    allowed = EXPOSE_SHARE * len(arrived) + EXPOSE_SLACK
    bad = record.find("bad")
    late = []
    if len(bad) >= BAD_ANSWERS:
        ends_at = bad[BAD_ANSWERS - 1]["t"] + ROLLBACK_S
        late = [
            item["id"]
            for item in record.find("run")
            if item["host"] in new and sent_at[item["id"]] > ends_at
        ]
    record.add(
        "EXPOSURE",
        all=len(arrived),
        exposed=exposed,
        allowed=round(allowed, 1),
        bad=len(bad),
        late=len(late),
    )
    return exposed > allowed or bool(late)


main(str(Path(__file__).parent), play)
