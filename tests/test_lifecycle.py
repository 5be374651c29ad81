import pytest
from automat import NoTransition

from bamboocove.lifecycle import LifecycleHooks, make_lifecycle


def make_machine():
    steps = []
    hooks = LifecycleHooks(
        *[
            lambda name=name: steps.append(name)
            for name in ("bootstrapping", "serving", "draining", "stopped")
        ]
    )
    return make_lifecycle(hooks), hooks, steps


def test_normal_run_enters_each_state_once():
    """Guards against a configuration update that enters a state again."""
    machine, hooks, steps = make_machine()
    machine.listen()
    machine.serve()
    machine.serve()
    machine.drain()
    machine.finish()

    assert steps == ["bootstrapping", "serving", "draining", "stopped"]
    assert hooks.state == "stopped"


def test_second_signal_during_shutdown_has_no_effect():
    """Guards against starting the drain twice."""
    machine, _, steps = make_machine()
    machine.listen()
    machine.drain()
    machine.drain()
    machine.serve()

    assert steps == ["bootstrapping", "draining"]


def test_node_cannot_serve_before_its_ports_are_open():
    """Guards against serving calls while ports are still closed."""
    machine, _, _ = make_machine()
    with pytest.raises(NoTransition):
        machine.serve()
