"""A worker runs payments and answers some of them with a failure of its own, 503."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "6"))

from mesh import Mesh, Message, Worker, main, make_answer, make_route

# One of eight workers fails, 45 in 100 of its requests, for 6.5 s.
HOSTS = 8
FAILED_SHARE = 0.45
FAILS_FOR_S = 6.5
INTERVAL_S = 0.04
# Statuses that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


async def play(mesh: Mesh, has_trouble: bool) -> bool:
    """Send payments to the workers while one of them fails some."""
    record = mesh.record
    began_at = float("inf")
    failures = 0.0

    async def run(worker: Worker, request: Message, writer: object) -> bytes:
        nonlocal failures
        await asyncio.sleep(0.06)
        is_failing = began_at <= record.now() < began_at + FAILS_FOR_S
        if has_trouble and is_failing and worker.host is mesh.hosts[0]:
            failures += FAILED_SHARE
            if failures >= 1.0:
                failures -= 1.0
                record.add("failed", id=request.headers["x-attempt-id"])
                return make_answer(request, 503)
        return make_answer(request)

    for number in range(HOSTS):
        mesh.add_host(("lj-a", "lj-b", "lj-c")[number % 3], "ledger", run=run)
    route = make_route("ledger", "/pay/", "unsafe", priority=0)
    mesh.set_config(7, {"r-pay": route}, ["ledger"])
    await mesh.start()
    began_at = record.now()
    calls = []
    while record.now() < began_at + FAILS_FOR_S + 1.0:
        host = mesh.hosts[len(calls) % HOSTS]
        call = host.call(f"a{len(calls):04d}", "POST", "/pay/1", 1.5, b"amount=10")
        calls.append(asyncio.create_task(call))
        await asyncio.sleep(INTERVAL_S)
    await asyncio.gather(*calls)
    return judge(mesh)


def judge(mesh: Mesh) -> bool:
    """Return whether a request that has run got a status that says it has not."""
    record = mesh.record
    has_run = {item["id"] for item in record.find("run")}
    answers = record.find("answered")
    broken = [a for a in answers if a["status"] in PROMISES and a["id"] in has_run]
    for item in broken:
        record.add("REFUSED", id=item["id"], status=item["status"])
    return bool(broken)


main(str(Path(__file__).parent), play)
