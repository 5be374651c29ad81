"""Entry point of the ``bamboocove`` command-line tool for operators."""

import sys
from collections.abc import Sequence

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.inputs.argv_input import ArgvInput

from bamboocove import __version__
from bamboocove.cli_base import EXIT_USAGE_ERROR, UsageError
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
from bamboocove.cli_where import WhereCommand

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
    WhereCommand,
)


def make_application() -> Application:
    """Return the Cleo application with all subcommands registered."""
    application = Application("bamboocove", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for command in COMMANDS:
        application.add(command())
    return application


def main(argv: Sequence[str] | None = None) -> int:
    """Run the command-line tool and return its exit status.

    Parameters
    ----------
    argv : sequence of str, optional
        Program name and arguments; defaults to ``sys.argv``.

    Returns
    -------
    status : int
        0 for success, 1 for an error, 2 for a usage error, 130 after Ctrl-C.
    """
    arguments = list(sys.argv if argv is None else argv)
    try:
        return make_application().run(ArgvInput(arguments))
    except (CleoError, UsageError) as error:
        message = " ".join(str(error).split()).rstrip(".")
        print(f"error: {message}; see bamboocove help", file=sys.stderr)
        return EXIT_USAGE_ERROR
    except KeyboardInterrupt:
        return EXIT_INTERRUPTED


if __name__ == "__main__":
    sys.exit(main())
