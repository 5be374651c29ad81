"""Tasks of a node that go on after a program error."""

from tests.callpath import run_reactor_until
from tests.sidecar.hosts import HostMesh, make_config


def test_task_that_reads_the_store_starts_again_after_an_error(capfd):
    """Guards against a node that stops to follow the configuration without a word."""
    mesh = HostMesh()
    try:
        host = mesh.add()
        mesh.settle()
        run_reactor_until(lambda: mesh.store.pending_watches)
        on_update = host.node.watch._on_operator_update
        failures = [ValueError("first"), ValueError("second")]

        def fail_twice(update):
            if failures:
                raise failures.pop()
            on_update(update)

        host.node.watch._on_operator_update = fail_twice
        mesh.store.put_config(make_config(2))
        run_reactor_until(lambda: mesh.get_versions() == [2])
        assert not failures
    finally:
        mesh.close()
    assert "store.task-failed" in capfd.readouterr().out


def test_periodic_work_goes_on_after_an_error(capfd):
    """Guards against a node that neither dials nor probes after one odd record."""
    mesh = HostMesh()
    try:
        host = mesh.add()
        mesh.settle()
        tick = host.node.moves.tick
        failures = [ValueError("odd")]
        ticks = []

        def fail_once(now):
            if failures:
                raise failures.pop()
            ticks.append(now)
            tick(now)

        host.node.moves.tick = fail_once
        run_reactor_until(lambda: len(ticks) > 2, 2)
    finally:
        mesh.close()
    assert "node.tick-failed" in capfd.readouterr().out
