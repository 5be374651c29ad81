"""Checks that the documentation and the examples agree with the code."""

import re
from pathlib import Path

import pytest

from bamboocove.coordination.edits import plan_edit
from bamboocove.errors import ErrorKind
from bamboocove.events import EVENTS_BY_NUMBER
from bamboocove.protocol.text import parse_text
from bamboocove.protocol.text_checks import find_non_idempotent_reads
from bamboocove.reference import format_events_page, format_settings_page, write_pages
from bamboocove.settings import SETTINGS, Settings, format_settings_table, read_settings
from bamboocove.state.config import Config
from tests.coordination import test_edits
from tests.protocol.bad_texts import BAD_TEXTS

ROOT = Path(__file__).parent.parent
DOCS = ROOT / "docs"
EXAMPLES = ROOT / "examples"
REGENERATE = "run: python -m bamboocove.reference docs"


def read_doc(name):
    return (DOCS / name).read_text(encoding="utf-8")


def test_events_page_agrees_with_the_catalogue():
    assert read_doc("events.md") == format_events_page(), REGENERATE


def test_settings_page_agrees_with_the_table():
    assert read_doc("settings.md") == format_settings_page(), REGENERATE


def test_write_pages_creates_both_pages(tmp_path):
    write_pages(tmp_path)
    names = sorted(path.name for path in tmp_path.iterdir())
    assert names == ["events.md", "settings.md"]


def test_settings_table_has_a_row_for_each_setting():
    lines = format_settings_table().splitlines()[2:]
    assert len(lines) == len(SETTINGS)
    for setting, line in zip(SETTINGS, lines, strict=True):
        assert line.startswith(f"| {setting.section} | {setting.name} | ")
        assert line.endswith(f" | {setting.help} |")
    assert "| node | id | (must be set) |" in lines[0]


def test_operations_page_says_what_to_do_about_each_alarm():
    page = read_doc("OPERATIONS.md")
    for event in EVENTS_BY_NUMBER.values():
        if event.level in ("WARNING", "ERROR"):
            assert f"\n| BC{event.number} |" in page, event


def test_operations_page_explains_each_error_kind():
    page = read_doc("OPERATIONS.md")
    for kind in ErrorKind:
        assert f"`{kind.value}`" in page, kind


def read_message_patterns():
    """Return the messages listed in text.md as patterns, with <name> as a wildcard."""
    templates = re.findall(r"^\| `(.+?)` \|", read_doc("text.md"), re.MULTILINE)
    return [
        re.compile(".+".join(map(re.escape, re.split(r"<[a-z]+>", template))))
        for template in templates
    ]


@pytest.mark.parametrize("name", BAD_TEXTS)
def test_text_page_lists_the_message_of_each_bad_text(name):
    (problem,) = parse_text(BAD_TEXTS[name][0])
    assert any(
        pattern.fullmatch(problem.message) for pattern in read_message_patterns()
    )


@pytest.mark.parametrize(
    "problem",
    [
        test_edits.refuse(test_edits.BASE, tenant="u"),
        test_edits.refuse(test_edits.BASE, version="v2"),
        test_edits.refuse(test_edits.BASE, test_edits.MOVE, now=2e9),
        test_edits.refuse(test_edits.DONE, test_edits.LATER_MOVE),
    ],
)
def test_text_page_lists_the_reasons_to_refuse_an_edit(problem):
    assert any(
        pattern.fullmatch(problem.message) for pattern in read_message_patterns()
    )


@pytest.mark.parametrize("name", ["kozje-mleko", "shutterbook"])
def test_example_text_can_be_applied_to_a_new_deployment(name):
    document = parse_text((EXAMPLES / f"{name}.yaml").read_bytes())
    assert not isinstance(document, list), document
    assert document.tenant == name
    assert len(document.services_by_name) == 3
    assert find_non_idempotent_reads(document) == []
    assert isinstance(plan_edit(Config(), document, 0.0), Config)


@pytest.mark.parametrize(
    ("example", "service", "route"),
    [
        ("kozje-mleko", "orders", "confirm-delivery"),
        ("kozje-mleko", "ledger", "take-payment"),
        ("shutterbook", "payout-desk", "request-payout"),
    ],
)
def test_example_runs_payments_and_confirmations_at_most_once(example, service, route):
    document = parse_text((EXAMPLES / f"{example}.yaml").read_bytes())
    routes = document.services_by_name[service].routes
    assert [entry.idempotent for entry in routes if entry.name == route] == [False]


def test_example_settings_are_complete_and_each_has_a_comment():
    assert isinstance(read_settings(EXAMPLES / "node.ini"), Settings)
    text = (EXAMPLES / "node.ini").read_text(encoding="utf-8")
    for setting in SETTINGS:
        pattern = rf"^# .+\n{setting.name} =.*$"
        assert re.search(pattern, text, re.MULTILINE), setting
