"""State machine of the life cycle of a node."""

from collections.abc import Callable
from typing import Protocol

from attrs import define
from automat import TypeMachineBuilder


class Lifecycle(Protocol):
    """Inputs of the state machine, in the order of a normal run."""

    def listen(self) -> None:
        """All ports are open, and no configuration is in force yet."""

    def serve(self) -> None:
        """A configuration at or above the floor is in force."""

    def drain(self) -> None:
        """A graceful shutdown has been requested."""

    def finish(self) -> None:
        """All ports are closed."""


@define
class LifecycleHooks:
    """Callbacks on entering a state, and the current state.

    Parameters
    ----------
    bootstrapping, serving, draining, stopped : callable
        Called without arguments on entering the state of that name.
    state : str
        Name of the current state.
    """

    bootstrapping: Callable[[], None]
    serving: Callable[[], None]
    draining: Callable[[], None]
    stopped: Callable[[], None]
    state: str = "starting"


_builder = TypeMachineBuilder(Lifecycle, LifecycleHooks)
_starting = _builder.state("starting")
_bootstrapping = _builder.state("bootstrapping")
_serving = _builder.state("serving")
_draining = _builder.state("draining")
_stopped = _builder.state("stopped")


@_starting.upon(Lifecycle.listen).to(_bootstrapping)
def _enter_bootstrapping(_: Lifecycle, hooks: LifecycleHooks) -> None:
    hooks.state = "bootstrapping"
    hooks.bootstrapping()


@_bootstrapping.upon(Lifecycle.serve).to(_serving)
def _enter_serving(_: Lifecycle, hooks: LifecycleHooks) -> None:
    hooks.state = "serving"
    hooks.serving()


@_starting.upon(Lifecycle.drain).to(_draining)
@_bootstrapping.upon(Lifecycle.drain).to(_draining)
@_serving.upon(Lifecycle.drain).to(_draining)
def _enter_draining(_: Lifecycle, hooks: LifecycleHooks) -> None:
    hooks.state = "draining"
    hooks.draining()


@_draining.upon(Lifecycle.finish).to(_stopped)
def _enter_stopped(_: Lifecycle, hooks: LifecycleHooks) -> None:
    hooks.state = "stopped"
    hooks.stopped()


# Further shutdown signals have no effect.
_draining.upon(Lifecycle.drain).loop().returns(None)
_stopped.upon(Lifecycle.drain).loop().returns(None)
# A configuration may be applied while the node drains.
_draining.upon(Lifecycle.serve).loop().returns(None)
_stopped.upon(Lifecycle.serve).loop().returns(None)
# Later configurations do not change the state.
_serving.upon(Lifecycle.serve).loop().returns(None)

make_lifecycle = _builder.build()
