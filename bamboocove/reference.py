"""Generates the reference pages on events and settings from tables in the code."""

import sys
from pathlib import Path

from bamboocove.events import format_catalogue
from bamboocove.settings import format_settings_table

NOTICE = "Written by `python -m bamboocove.reference docs`; do not edit by hand."


def format_events_page() -> str:
    """Return the content of ``docs/events.md``."""
    return f"""# Events

{NOTICE}

Every log line of a node starts with the number of its event, as `BC505`.
`bamboocove explain 505` prints one entry. What to do about alarms is described in
[OPERATIONS.md](OPERATIONS.md).

{format_catalogue()}
"""


def format_settings_page() -> str:
    """Return the content of ``docs/settings.md``."""
    return f"""# Settings

{NOTICE}

A node reads one INI file. All problems are reported at once. `examples/node.ini`
is a complete file.

{format_settings_table()}
"""


def write_pages(directory: Path) -> None:
    """Write ``events.md`` and ``settings.md`` to a directory."""
    (directory / "events.md").write_text(format_events_page(), encoding="utf-8")
    (directory / "settings.md").write_text(format_settings_page(), encoding="utf-8")


if __name__ == "__main__":
    write_pages(Path(sys.argv[1] if len(sys.argv) > 1 else "docs"))
