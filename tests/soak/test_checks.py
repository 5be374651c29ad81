"""Each check of the soak test reports its violation, and passes without it."""

import pytest
from attrs import evolve

from bamboocove.platform.standin_worker import Arrival
from soak.checks import (
    CHECKS_BY_NAME,
    MEMORY_LIMIT_KIB,
    ROLLBACK_MIN_ERRORS,
    run_checks,
)
from soak.records import (
    AcknowledgedDrain,
    ClientRequest,
    ConfigChange,
    Disruption,
    Journal,
    NamedLimit,
)

ARRIVAL = Arrival("h-1", 100.0, "w-1", "orders", "v1", "/orders/pay/x", "d", True)


def make_request(**fields):
    values = {
        "attempt_id": "h-1",
        "host_id": "h",
        "kind": "pay",
        "target": "/orders/pay/x",
        "digest": "d",
        "start_number": 1,
        "sent_at": 99.9,
        "ended_at": 100.2,
        "status": 200,
        **fields,
    }
    return ClientRequest(**values)


def make_journal(requests=None, arrivals=(ARRIVAL,), **fields):
    journal = Journal(1, recovery_deadline=90.0)
    journal.requests = [make_request(), *(requests or [])]
    journal.arrivals = list(arrivals)
    for name, value in fields.items():
        setattr(journal, name, value)
    return journal


def failed_checks(journal):
    return set(run_checks(journal))


def make_probe(route, status, sent_at, **fields):
    return make_request(
        attempt_id=f"h-{route}-{sent_at}",
        kind="probe",
        target=f"/added-{route}/x",
        route=route,
        status=status,
        sent_at=sent_at,
        ended_at=sent_at + 0.1,
        **fields,
    )


def test_run_without_violations_passes_all_checks():
    assert failed_checks(make_journal()) == set()


def test_repeated_payment_is_reported():
    second = evolve(ARRIVAL, worker_id="w-2", at=101.0)
    assert failed_checks(make_journal(arrivals=[ARRIVAL, second])) == {"at most once"}


def test_refusal_of_a_request_that_ran_is_reported():
    journal = make_journal()
    journal.requests[0].status = 503
    journal.recovery_deadline = 200.0
    assert "true refusals" in failed_checks(journal)


def test_wrong_response_is_reported():
    journal = make_journal()
    journal.requests[0].problem = "unexpected body"
    assert failed_checks(journal) == {"whole answers"}


def test_unsent_or_modified_request_is_reported():
    other = evolve(ARRIVAL, attempt_id="h-2")
    changed = evolve(ARRIVAL, digest="other", has_run=False)
    assert failed_checks(make_journal(arrivals=[ARRIVAL, other])) == {"nothing unasked"}
    assert failed_checks(make_journal(arrivals=[ARRIVAL, changed])) == {
        "nothing unasked"
    }


def test_request_after_an_acknowledged_drain_is_reported():
    assert failed_checks(make_journal(drains=[AcknowledgedDrain("w-1", 98.5)])) == set()
    assert failed_checks(make_journal(drains=[AcknowledgedDrain("w-1", 97.0)])) == {
        "drain"
    }


def test_late_configuration_is_reported_on_undisturbed_hosts_only():
    changes = [ConfigChange(3, 0, 90.0)]
    late = [make_probe(3, 404, 93.0)]
    expected = {"configuration in force"}
    assert failed_checks(make_journal(late, changes=changes)) == expected
    assert (
        failed_checks(make_journal([make_probe(3, 404, 91.0)], changes=changes))
        == set()
    )
    cut = [Disruption("cut_store", "h", 89.0, 92.0)]
    assert failed_checks(make_journal(late, changes=changes, disruptions=cut)) == set()
    other = [Disruption("cut_store", "other", 89.0, 92.0)]
    assert (
        failed_checks(make_journal(late, changes=changes, disruptions=other))
        == expected
    )


def test_configuration_regression_is_reported_within_one_process():
    changes = [ConfigChange(3, 0, 90.0)]
    disruptions = [Disruption("kill", "h", 80.0, 200.0)]
    seen, lost = make_probe(3, 200, 91.0), make_probe(3, 404, 92.0)
    journal = make_journal([seen, lost], changes=changes, disruptions=disruptions)
    assert failed_checks(journal) == {"no older configuration"}
    lost.start_number = 2
    assert failed_checks(journal) == set()


def test_removed_route_may_be_gone_once_its_removal_is_written():
    """Guards against a removed route that is reported as late or as lost."""
    changes = [ConfigChange(3, 0, 80.0), ConfigChange(9, 3, 90.0)]
    expected = {"configuration in force", "no older configuration"}
    seen, lost = make_probe(3, 200, 88.0), make_probe(3, 404, 89.5)
    assert failed_checks(make_journal([seen, lost], changes=changes)) == expected
    lost.ended_at = 90.0
    assert failed_checks(make_journal([seen, lost], changes=changes)) == set()
    # A node that has applied a later version must have the routes that remain.
    changes.append(ConfigChange(10, 4, 91.0))
    gone, missing = make_probe(4, 404, 92.0), make_probe(9, 404, 92.5)
    journal = make_journal([seen, make_probe(4, 200, 90.5), gone], changes=changes)
    journal.changes.append(ConfigChange(4, 0, 81.0))
    assert failed_checks(journal) == set()
    journal.requests.append(missing)
    assert failed_checks(journal) == expected


def test_removed_route_that_returns_is_reported_as_a_regression():
    changes = [ConfigChange(3, 0, 80.0), ConfigChange(9, 3, 90.0)]
    newer, returned = make_probe(9, 200, 90.2), make_probe(3, 200, 91.0)
    expected = {"no older configuration"}
    assert failed_checks(make_journal([newer, returned], changes=changes)) == expected
    seen, gone = make_probe(3, 200, 89.0), make_probe(3, 404, 90.2)
    journal = make_journal([seen, gone, returned], changes=changes)
    assert failed_checks(journal) == expected
    returned.sent_at = 90.4
    assert failed_checks(journal) == set()


def test_removed_route_that_is_served_is_reported():
    changes = [ConfigChange(3, 0, 80.0), ConfigChange(4, 3, 90.0)]
    journal = make_journal([make_probe(3, 200, 95.0)], changes=changes)
    assert failed_checks(journal) == {"removed routes"}


def test_request_aborted_by_a_planned_stop_is_reported():
    stop = Disruption("stop", "h", 99.0, 106.0, is_planned=True)
    journal = make_journal(disruptions=[stop], recovery_deadline=200.0)
    journal.requests[0].status, journal.requests[0].problem = 0, "connection lost"
    assert "planned stop" in failed_checks(journal)
    journal.disruptions.append(Disruption("pause", "g", 98.0, 99.5))
    assert "planned stop" not in failed_checks(journal)


STOP = Disruption("stop", "h", 98.0, 105.0, is_planned=True)
SECOND_ARRIVAL = evolve(ARRIVAL, attempt_id="h-2")


def is_lost(disruptions, arrivals=(ARRIVAL,), **fields):
    """Return whether a second request counts as ended without an answer."""
    values = {"status": 0, "sent_at": 99.0, "ended_at": 99.5, **fields}
    request = make_request(attempt_id="h-2", **values)
    journal = make_journal([request], arrivals, disruptions=disruptions)
    return "answers around planned work" in failed_checks(journal)


@pytest.mark.parametrize(
    "disruption",
    [
        STOP,
        Disruption("hang_up", "h", 98.5, 98.6, is_planned=True),
        Disruption("change_config", "operator", 97.0, 97.1, is_planned=True),
    ],
)
def test_request_without_an_answer_around_planned_work_is_reported(disruption):
    """Guards against a connection that is closed with requests on it."""
    assert is_lost([disruption])
    assert is_lost([disruption], [ARRIVAL, SECOND_ARRIVAL], ended_at=99.1)
    # It crossed the close, was never sent, or its time was over.
    assert not is_lost([disruption], ended_at=99.1)
    assert not is_lost([disruption], is_sent=False)
    assert not is_lost([disruption], ended_at=100.45)
    assert not is_lost([disruption, Disruption("kill", "g", 95.5, 96.5)])
    assert not is_lost([evolve(disruption, subject="g")])


def test_answer_of_a_stopping_node_in_place_of_its_worker_is_reported():
    """Guards against a 502 for a request that a worker is still running."""
    arrivals = [ARRIVAL, SECOND_ARRIVAL]
    assert is_lost([STOP], arrivals, status=502)
    assert not is_lost([STOP], arrivals, status=502, is_signed=True)
    assert not is_lost([STOP], status=502)
    hang_up = Disruption("hang_up", "h", 98.5, 98.6, is_planned=True)
    assert not is_lost([hang_up], arrivals, status=502)


def test_request_at_work_in_the_last_sixth_of_a_stop_is_exempt():
    """Guards against an exemption of requests that were sent late, or cut early."""
    arrivals = [ARRIVAL, SECOND_ARRIVAL]
    stop = evolve(STOP, start=90.0)
    times = {"sent_at": 92.9, "ended_at": 95.2, "timeout_s": 4.0}
    assert not is_lost([stop], arrivals, **times)
    assert is_lost([stop], arrivals, **{**times, "ended_at": 94.9})
    assert is_lost([stop], arrivals, **{**times, "sent_at": 93.1})


def test_late_request_to_a_faulty_version_is_reported():
    faulty = {
        "faulty_version": ("orders", "v1"),
        "errors_at": [90.0] * ROLLBACK_MIN_ERRORS,
    }
    assert failed_checks(make_journal(**faulty)) == {"exposure"}
    assert failed_checks(
        make_journal(**{**faulty, "errors_at": [96.0] * ROLLBACK_MIN_ERRORS})
    ) == (set())


def test_missing_recovery_is_reported():
    journal = make_journal()
    journal.requests[0].status = 502
    assert failed_checks(journal) == {"recovery"}


def test_unexpected_exit_is_reported():
    assert failed_checks(make_journal(unexpected_exits=["h: exit 1"])) == {"own ends"}


def test_node_that_needs_too_much_memory_is_reported():
    sizes = {"h": MEMORY_LIMIT_KIB, "i": MEMORY_LIMIT_KIB + 1}
    assert failed_checks(make_journal(peak_kib_by_host=sizes)) == {"memory"}


def test_requests_beyond_a_named_limit_are_reported():
    """Guards against a worker in need that gets what it got before."""
    arrivals = [evolve(ARRIVAL, attempt_id="h-1", at=100 + n / 10) for n in range(40)]
    journal = make_journal(arrivals=arrivals)
    journal.requests[0].kind = "read"
    journal.limits = [NamedLimit("w-1", "h", 4.0, 90.0, 110.0)]
    assert failed_checks(journal) == {"rate limits"}
    journal.limits = [NamedLimit("w-1", "h", 6.0, 90.0, 110.0)]
    assert failed_checks(journal) == set()
    # It is not in force yet, or the node beside the worker was ended.
    journal.limits = [NamedLimit("w-1", "h", 4.0, 98.5, 110.0)]
    assert failed_checks(journal) == set()
    journal.limits = [NamedLimit("w-1", "h", 4.0, 90.0, 110.0)]
    journal.disruptions = [Disruption("cut_links", "h", 100.0, 101.0)]
    assert failed_checks(journal) == {"rate limits"}
    journal.disruptions = [Disruption("kill", "h", 100.0, 101.0)]
    assert failed_checks(journal) == set()


def test_exception_in_a_task_is_reported():
    """Guards against a node that logs an error once a second, and passes."""
    lines = ['{"event":"node.tick-failed"}']
    assert failed_checks(make_journal(program_errors=lines)) == {"program errors"}


def test_every_check_is_tested():
    tested = {
        "at most once",
        "true refusals",
        "whole answers",
        "nothing unasked",
        "drain",
        "configuration in force",
        "no older configuration",
        "removed routes",
        "planned stop",
        "answers around planned work",
        "exposure",
        "recovery",
        "own ends",
        "memory",
        "rate limits",
        "program errors",
    }
    assert tested == set(CHECKS_BY_NAME)
