"""Operator tool: check and apply a text, follow moves, make a call."""

import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from bamboocove import __version__
from bamboocove.cli_base import EXIT_MISUSE, MisuseError
from bamboocove.cli_call import CallCommand
from bamboocove.cli_client import EXIT_INTERRUPTED
from bamboocove.cli_text import ApplyCommand, CheckCommand
from bamboocove.cli_trace import TraceCommand
from bamboocove.cli_views import (
    EventsCommand,
    ExplainCommand,
    HistoryCommand,
    MovesCommand,
    StatusCommand,
)

COMMANDS = (
    CheckCommand,
    ApplyCommand,
    StatusCommand,
    MovesCommand,
    ExplainCommand,
    HistoryCommand,
    CallCommand,
    EventsCommand,
    TraceCommand,
)


def make_application() -> Application:
    """Return the application with all commands."""
    application = Application("bamboocove", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main(argv: Sequence[str] | None = None) -> int:
    """Run the tool.

    Parameters
    ----------
    argv : sequence of str, optional
        Program name and arguments; those of the process if not given.

    Returns
    -------
    status : int
        0 for success, 1 for an error, 2 for misuse, 130 after Ctrl-C.
    """
    words = list(sys.argv if argv is None else argv)
    try:
        return make_application().run(ArgvInput(words))
    except (CleoError, MisuseError) as error:
        message = " ".join(str(error).split()).rstrip(".")
        print(f"error: {message}; see bamboocove help", file=sys.stderr)
        return EXIT_MISUSE
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())
