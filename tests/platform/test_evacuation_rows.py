"""Rows of the store that order the evacuation of a zone."""

import pytest

from bamboocove.platform.rows import make_update, parse_rows
from bamboocove.state.evacuation import EvacuationChange


@pytest.mark.parametrize("value", ["", "e30=", "%%%", None, 7])
def test_row_is_an_order_whatever_its_value_is(value):
    """Guards against an order that ends because its value cannot be read."""
    rows = parse_rows({"rows": [{"key": "evacuate/a", "value": value, "ver": 3}]})
    update = make_update(rows, 3, True)
    assert update.evacuations == (EvacuationChange("a", True),)


def test_row_without_a_value_is_an_order():
    rows = parse_rows({"rows": [{"key": "evacuate/a", "ver": 3}]})
    assert make_update(rows, 3, True).evacuations == (EvacuationChange("a", True),)


def test_newest_version_of_a_row_counts():
    """Guards against a change that lists the end of an order before the order."""
    rows = parse_rows(
        {
            "rows": [
                {"key": "evacuate/a", "deleted": True, "ver": 9},
                {"key": "evacuate/a", "value": "", "ver": 4},
            ]
        }
    )
    assert make_update(rows, 9, False).evacuations[-1] == EvacuationChange("a", False)
