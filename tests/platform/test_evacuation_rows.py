"""Rows of the store that order the evacuation of a zone."""

import pytest
from twisted.internet import reactor

from bamboocove.platform.rows import make_update, parse_rows
from bamboocove.platform.standin_store import StoreStandin
from bamboocove.platform.store import PlatformStore
from bamboocove.state.evacuation import EvacuationChange
from tests.callpath import run


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


@pytest.fixture
def standin():
    standin = StoreStandin(reactor, page_size=2)
    standin.listen()
    yield standin
    standin.close()


@pytest.fixture
def store(standin):
    store = PlatformStore(("127.0.0.1", standin.port.getHost().port), reactor)
    yield store
    store.close()


def test_orders_and_their_removal_are_read_from_the_store(standin, store):
    """Guards against a removed row that does not end the evacuation."""
    revision = standin.put("op", "evacuate/a", b"")
    assert run(store.read_operator()).evacuations == (EvacuationChange("a", True),)
    standin.put("op", "evacuate/a", None)
    standin.put("op", "evacuate/b", b"{}")
    update = run(store.watch_operator(revision))
    assert not update.is_full_read
    assert update.evacuations == (
        EvacuationChange("a", False),
        EvacuationChange("b", True),
    )
    assert run(store.read_operator()).evacuations == (EvacuationChange("b", True),)


def test_order_written_between_two_pages_is_in_the_changes_that_follow(standin, store):
    """Guards against an order that is in neither page, nor in later changes."""
    for name in "xyz":
        standin.put("op", f"rollout/{name}", b"{}")
    read_page = standin._read_page

    def read_page_and_write(query):
        page = read_page(query)
        if "from" not in query:
            standin.put("op", "evacuate/a", b"")
        return page

    standin._read_page = read_page_and_write
    update = run(store.read_operator())
    assert update.evacuations == ()
    changes = run(store.watch_operator(update.revision)).evacuations
    assert changes == (EvacuationChange("a", True),)
