"""Admission control by request class."""

from bamboocove.coordination.admission import CallQueue, is_admitted


def test_deferrable_is_refused_first():
    """Guards against refusing prompt calls while deferrable ones wait."""
    queue = CallQueue(8)
    assert [queue.add(f"d{i}", "deferrable") for i in range(3)] == [None, None, "d2"]
    assert all(queue.add(f"n{i}", "normal") is None for i in range(4))
    assert queue.add("n4", "normal") == "d1"
    assert queue.add("n5", "normal") == "d0"
    assert queue.add("n6", "normal") == "n6"
    assert all(queue.add(f"p{i}", "prompt") is None for i in range(2))
    assert queue.add("p2", "prompt") == "n5"
    assert len(queue) == 8


def test_queue_is_bounded():
    """Guards against a queue without an upper bound."""
    queue = CallQueue(4)
    refused = [queue.add(i, "prompt") for i in range(10)]
    assert refused == [None] * 4 + [4, 5, 6, 7, 8, 9]


def test_takes_the_highest_class_in_order():
    """Guards against calls overtaking older ones of the same class."""
    queue = CallQueue(16)
    for call, request_class in (("d", "deferrable"), ("n", "normal"), ("p", "prompt")):
        queue.add(call + "1", request_class)
        queue.add(call + "2", request_class)
    assert queue.take() == "p1"
    queue.put_back("p1", "prompt")
    queue.discard("n1", "normal")
    queue.discard("n1", "normal")
    taken = [queue.take() for _ in range(6)]
    assert taken == ["p1", "p2", "n2", "d1", "d2", None]


def test_deferrable_calls_leave_connections_free():
    """Guards against deferrable calls that occupy every connection."""
    assert not is_admitted("deferrable", 9, 12)
    assert is_admitted("prompt", 11, 12)
    assert is_admitted("deferrable", 0, 1)
