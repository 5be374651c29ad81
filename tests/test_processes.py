"""Invariants under failure, shown with real processes."""

import signal
from itertools import groupby

from tests.processes import (
    MOVE,
    POLL_S,
    WAIT_S,
    make_text,
    run_mesh,
)


def test_a_restarted_node_serves_no_older_revision(monkeypatch):
    # Guards against a node that starts from a peer that lags, or from none.
    async def test(mesh):
        await mesh.start(4, 1)
        killed, *others = mesh.nodes
        lagging = others[2]
        await mesh.sleep(1.0)
        lagging.process.send_signal(signal.SIGSTOP)
        mesh.nodes.remove(lagging)
        revision = await mesh.apply_everywhere(make_text(extra=1))
        mesh.nodes.append(lagging)

        async def watch(node, seconds):
            """Return statuses of a call to a route of the newest revision only."""
            statuses = set()
            for _ in range(int(seconds / POLL_S)):
                statuses.add((await mesh.call(node, "/extra-1")).status)
                assert await mesh.get_revision(node) in (0, revision)
                await mesh.sleep(POLL_S)
            return statuses

        mesh.kill(killed)
        node = await mesh.restart(killed)
        await mesh.until(lambda: mesh.serves(node))
        assert await watch(node, 1) == {200}

        # With the store down, only the node that lags answers at first.
        await mesh.set_faults(outage=True)
        mesh.kill(node)
        for other in others[:2]:
            other.process.send_signal(signal.SIGSTOP)
        lagging.process.send_signal(signal.SIGCONT)
        node = await mesh.restart(node, seeds=others)
        assert await watch(node, 3) == {503}
        for other in others[:2]:
            other.process.send_signal(signal.SIGCONT)
        await mesh.until(lambda: mesh.serves(node))
        assert await watch(node, 1) == {200}

    run_mesh(monkeypatch, test)


def test_a_coordinator_paused_past_its_lease_publishes_nothing(monkeypatch):
    # Guards against steps of a holder that lost the lease while it was paused.
    async def test(mesh):
        await mesh.start(4, 3)
        await mesh.start_workers(2, "v2")
        holders = []

        async def watch():
            while True:
                holder = (await mesh.get_row("lease/coordinator")).get("holder")
                if holder and holder not in holders[-1:]:
                    holders.append(holder)
                await mesh.sleep(POLL_S / 2)

        async def call_always(node):
            while True:
                await mesh.call(node, "/accounts")

        mesh.start_background(watch())
        await mesh.until(lambda: bool(holders))
        for node in mesh.nodes * 2:
            mesh.start_background(call_always(node))
        await mesh.apply_everywhere(make_text(moves=MOVE))
        history = await mesh.fetch(mesh.nodes[0], "/history?after=0")
        await mesh.converge(len(history) + 2, WAIT_S)
        paused = next(node for node in mesh.nodes if node.node_id == holders[-1])
        running = next(node for node in mesh.nodes if node is not paused)

        async def get_authors():
            history = await mesh.fetch(running, "/history?after=0")
            numbers = [record["revision"] for record in history]
            assert numbers == list(range(1, len(history) + 1))
            return [record["author"] for record in history]

        async def has_successor():
            return holders[-1] != paused.node_id and holders[-1] in await get_authors()

        paused.process.send_signal(signal.SIGSTOP)
        await mesh.until(has_successor)
        paused.process.send_signal(signal.SIGCONT)
        before = len(await get_authors())
        await mesh.converge(before + 1, WAIT_S)
        await mesh.sleep(2.0)
        authors = await get_authors()
        turns = [author for author, _ in groupby(authors) if author != "operator"]
        # Each author held the lease, and in this order.
        held = iter(holders)
        assert all(author in held for author in turns), (turns, holders)

    run_mesh(monkeypatch, test)
