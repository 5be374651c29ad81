"""A heartbeat that names no service of the system comes after all processes ended."""

import asyncio
import json
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "6"))

from mesh import CONTROL_PORT, PORTS, Host, Mesh, exchange, main, make_route

DOWN_S = 1.5
RECOVERY_S = 15.0
INTERVAL_S = 0.05
LEAST_SERVED = 0.25


async def play(mesh: Mesh, has_trouble: bool) -> bool:
    """Kill all nodes at the end, and send each an odd heartbeat once it is back."""
    record = mesh.record
    for zone in ("lj-a", "lj-b", "lj-c"):
        mesh.add_host(zone, "orders")
    route = make_route("orders", "/orders/", "safe", timeoutS=1.2)
    mesh.set_config(7, {"r-orders": route}, ["orders"])
    await mesh.start()
    traffic = asyncio.create_task(send_requests(mesh.hosts))
    await asyncio.sleep(8.0)
    mesh.set_config(9, {"r-orders": {**route, "timeoutS": 1.1}}, ["orders"])
    fault_at = record.add("final-fault", kind="kill_all", down_s=DOWN_S)["t"]
    for host in mesh.hosts:
        host.signal_node(signal.SIGKILL)
    await asyncio.sleep(DOWN_S)
    for host in mesh.hosts:
        await host.wait_for_end(1.0)
        host.start_node()
    await mesh.wait_until_ready(15.0)
    back_at = record.add("back")["t"]
    await asyncio.sleep(2.0)
    if has_trouble:
        for host in mesh.hosts:
            await send_odd_heartbeat(host)
    await asyncio.sleep(RECOVERY_S + 8.0)
    traffic.cancel()
    await asyncio.gather(traffic, return_exceptions=True)
    before = count_served(mesh, 0.0, fault_at)
    after = count_served(mesh, back_at + RECOVERY_S, float("inf"))
    record.add("RECOVER", before=before, after=after, least=LEAST_SERVED)
    return before >= LEAST_SERVED > after


async def send_requests(hosts: list[Host]) -> None:
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


async def send_odd_heartbeat(host: Host) -> None:
    """Send a heartbeat whose service the configuration does not name."""
    document = {
        "address": f"{host.ip}:{PORTS['appAddr']}",
        "born": int(time.time() * 1000),
        "info": {"service": "nobody", "version": "v1", "zone": host.zone, "slots": 12},
        "status": {"state": "ready", "sequence": 1, "coldRemainingS": 0},
    }
    body = json.dumps(document).encode()
    head = (
        "PUT /api/instances/i-0000000000 HTTP/1.1\r\nHost: node\r\n"
        f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
    )
    answer = await exchange((host.ip, CONTROL_PORT), head.encode() + body)
    status = None if answer is None else answer.status
    host.mesh.record.add("odd-heartbeat", host=host.name, status=status)


def count_served(mesh: Mesh, begin: float, end: float) -> float:
    """Return the share of the requests sent in a span that were served."""
    record = mesh.record
    ids = {item["id"] for item in record.find("sent") if begin <= item["t"] < end}
    served = sum(item["id"] in ids for item in record.find("answered", status=200))
    return round(served / max(1, len(ids)), 4)


main(str(Path(__file__).parent), play)
