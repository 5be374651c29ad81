"""Runs a Cleo application that consists of a single command."""

from cleo.application import Application
from cleo.commands.command import Command

from bamboocove import __version__


def run_single_command(name: str, command: Command) -> None:
    """Run the command with the arguments of the process, and exit.

    The command is the default one: its name is not given on the command line.

    Parameters
    ----------
    name : str
        Program name.
    command : Command
        The only command of the program.
    """
    application = Application(name, __version__)
    application.add(command)
    # Cleo has no public API to set the default command.
    application._default_command = command.name
    application._single_command = True
    application.run()
