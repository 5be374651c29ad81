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


def test_normal_life():
    machine, hooks, steps = make_machine()
    machine.listen()
    machine.serve()
    machine.serve()
    machine.drain()
    machine.finish()

    assert steps == ["bootstrapping", "serving", "draining", "stopped"]
    assert hooks.state == "stopped"


def test_second_signal_during_a_stop_has_no_effect():
    """Guards against a drain that starts twice."""
    machine, _, steps = make_machine()
    machine.listen()
    machine.drain()
    machine.drain()
    machine.serve()

    assert steps == ["bootstrapping", "draining"]


def test_node_cannot_serve_before_its_ports_are_open():
    machine, _, _ = make_machine()
    with pytest.raises(NoTransition):
        machine.serve()
