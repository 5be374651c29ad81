"""Runs a binary that has one command."""

from cleo.application import Application
from cleo.commands.command import Command

from bamboocove import __version__


def run_single_command(name: str, command: Command) -> None:
    """Run a command without its name on the command line, and exit.

    Parameters
    ----------
    name : str
        Name of the binary.
    command : Command
        Its command.
    """
    application = Application(name, __version__)
    application.add(command)
    # cleo has no public way to declare the default command.
    application._default_command = command.name
    application._single_command = True
    application.run()
