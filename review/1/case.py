"""A request that crashes its workers comes again at other machines."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (
    CONTACT_S,
    Cluster,
    Record,
    Worker,
    make_config,
    run_case,
)

POISON_TARGET = "/confirm/poison"
CRASHES_BEFORE = 3
# The bound of the rule.
MAX_RETRIES = 3
RETURNS = 15


def is_broken(record: Record, workers: list[Worker]) -> bool:
    """Count the client attempts that ran later than allowed after the third crash."""
    crashed_at = sorted(at for worker in workers for at, _ in worker.crashes)
    record.say(f"the request has crashed {len(crashed_at)} workers")
    if len(crashed_at) < CRASHES_BEFORE:
        return False
    counted_from = crashed_at[CRASHES_BEFORE - 1] + CONTACT_S
    retries = {
        attempt_id
        for worker in workers
        for at, attempt_id, target in worker.arrivals
        if target == POISON_TARGET and at > counted_from
    }
    record.say(
        f"later than {CONTACT_S} s after the third crash it reached workers in "
        f"{len(retries)} retries; allowed are {MAX_RETRIES}"
    )
    return len(retries) > MAX_RETRIES


async def play(record: Record, has_trouble: bool) -> bool:
    """Send one request again and again, each time at the next machine."""
    cluster = Cluster(record)
    try:
        config = make_config({"confirm": {"kind": "unsafe", "service": "rounds"}})
        await cluster.start(["orders"] * 5 + ["rounds"] * 4, config)
        callers, workers = cluster.nodes[:5], cluster.workers[5:]
        await asyncio.sleep(CONTACT_S + 1.0)
        for node in callers:
            _, status = await cluster.call(node, "POST", "/confirm/x", b"{}")
            record.say(f"an ordinary request at {node.name}: {status}")
        for worker in workers:
            worker.crash_target = POISON_TARGET if has_trouble else ""
        for number in range(RETURNS):
            node = callers[number % len(callers)]
            attempt_id, status = await cluster.call(node, "POST", POISON_TARGET, b"{}")
            record.say(f"{attempt_id} at {node.name}: status {status}")
            # The workers that it has crashed are back before it comes again.
            await asyncio.sleep(CONTACT_S if number + 1 == CRASHES_BEFORE else 1.0)
        return is_broken(record, workers)
    finally:
        cluster.close()


if __name__ == "__main__":
    run_case(__file__, play, 90.0)
