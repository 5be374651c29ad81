"""Comparison of host records between nodes."""

from attrs import evolve

from bamboocove.coordination.record_repair import (
    REPAIR_DELAY_S,
    RecordRepair,
    find_newer,
    find_older,
    get_versions,
)
from bamboocove.state.mesh import HostRecord

RECORDS = {f"h{n}": HostRecord(f"h{n}", 1, n, ("10.0.0.1", 80), "z") for n in range(5)}


def test_exchange_leaves_both_nodes_with_the_newest_records():
    """Guards against a reader that keeps an old record and is asked by all nodes."""
    reader, other = dict(RECORDS), dict(RECORDS)
    del reader["h1"]
    reader["h2"] = evolve(reader["h2"], sequence=9)
    other["h3"] = evolve(other["h3"], incarnation=2)
    del other["h4"]
    versions = get_versions(other.values())
    sent = find_newer(reader, versions, False)
    assert {record.host_id for record in sent} == {"h2", "h4"}
    asked = find_older(reader, versions)
    assert set(asked) == {"h1", "h3"}
    answered = find_newer(other, asked, True)
    for records, received in ((other, sent), (reader, answered)):
        records.update({record.host_id: record for record in received})
    assert reader == other


def test_equal_records_are_not_sent():
    versions = get_versions(RECORDS.values())
    assert not find_newer(RECORDS, versions, False)
    assert not find_older(RECORDS, versions)


def test_nodes_ask_at_different_times():
    """Guards against forty nodes that send their versions to a reader at once."""
    times = []
    for number in range(40):
        repair = RecordRepair(lambda number=number: number / 40)
        now = 0.0
        while not repair.should_ask(1, 2, now):
            now += 0.1
        times.append(now)
    assert min(times) >= REPAIR_DELAY_S
    assert max(times) - min(times) > 0.9 * REPAIR_DELAY_S


def test_records_that_change_all_the_time_are_not_compared():
    """Guards against comparisons while each change arrives everywhere at once."""
    repair = RecordRepair(lambda: 0.0)
    now = 0.0
    for _ in range(100):
        assert not repair.should_ask(1, 2, now)
        assert not repair.should_ask(1, 1, now + 0.3)
        now += 1.0
