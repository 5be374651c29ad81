from pathlib import Path

from bamboocove.settings import (
    SETTINGS,
    Settings,
    check_settings,
    format_settings,
    read_settings,
)

REQUIRED = {
    ("node", "id"): "n1",
    ("node", "zone"): "a",
    ("platform", "table_url"): "http://127.0.0.1:1",
    ("platform", "object_url"): "http://127.0.0.1:1",
}


def test_default_settings_are_valid():
    settings = check_settings(REQUIRED)

    assert isinstance(settings, Settings)
    assert settings.get("peers", "heartbeat_s") == 2.0
    assert len(settings.values_by_key) == len(SETTINGS)


def test_all_problems_are_reported_at_once():
    """Guards against reporting one problem per start of a node."""
    problems = check_settings(
        {
            ("node", "id"): "n1",
            ("node", "zone"): " ",
            ("node", "call_port"): "70000",
            ("platform", "table_url"): "ftp://x",
            ("peers", "heartbeat_s"): "-1",
            ("peers", "hartbeat_s"): "1",
            ("logs", "level"): "LOUD",
        }
    )

    text = "\n".join(map(str, problems))
    assert len(problems) == 7
    for label in (
        "[node] zone",
        "[node] call_port",
        "[platform] table_url",
        "[platform] object_url: must be set",
        "[peers] heartbeat_s",
        "[peers] hartbeat_s: unknown setting",
        "[logs] level",
    ):
        assert label in text


def test_infinite_and_nan_durations_are_refused():
    """Guards against an infinite or NaN timeout, with which a timer never fires."""
    for text in ("inf", "nan", "1e999"):
        problems = check_settings({**REQUIRED, ("peers", "suspect_s"): text})
        assert isinstance(problems, list)


def test_formatted_settings_read_back_equal(tmp_path: Path):
    overrides = {**REQUIRED, ("peers", "seeds"): "127.0.0.1:1 127.0.0.2:2"}
    settings = read_settings(None, overrides)
    path = tmp_path / "node.ini"
    path.write_text(format_settings(settings), encoding="utf-8")

    assert read_settings(path) == settings


def test_unreadable_files_are_reported(tmp_path: Path):
    missing = read_settings(tmp_path / "missing.ini")
    binary = tmp_path / "binary.ini"
    binary.write_bytes(b"[node]\nid = \xff\n")
    duplicate = tmp_path / "doubled.ini"
    duplicate.write_text("[node]\nid = a\nid = b\n", encoding="utf-8")

    assert isinstance(missing, list)
    assert isinstance(read_settings(binary), list)
    assert "already exists" in str(read_settings(duplicate)[0])
