"""Versions that return a few more errors than the old one, in simulated short moves."""

import math
import random
import statistics

import pytest
from attrs import evolve

from bamboocove.coordination.error_evidence import ALPHA, WINDOW_S, ErrorEvidence
from bamboocove.coordination.outcome_batches import format_tallies, get_tallies
from bamboocove.coordination.short_moves import (
    MoveObservation,
    MoveProgress,
    advance,
    count_workers_used,
    is_complete,
)
from bamboocove.coordination.version_comparison import (
    Tally,
    compare_versions,
    find_regression,
    is_shown_harmless,
    merge_tallies,
)
from bamboocove.protocol.mesh_messages import OutcomeReport

REPORT_S = 0.25
DURATION_S = 16.0
# Requests per second to the service that is moved: two deployments, and few requests.
ORDERS, LEDGER, SMALL = 370, 230, 20
# The zones of the five hosts, and how much later their reports arrive, in reports.
ZONES = ("a", "a", "b", "b", "c")
REPORT_DELAYS = {"a": 0, "b": 1, "c": 2}


class Move:
    """Simulates a move with the outcomes that a node knows.

    Parameters
    ----------
    rate : float
        Requests per second to the service.
    seed : int
        Seed of the random numbers.
    old_rate, extra_rate : float
        Rate of errors of both versions, and what the new version adds to it.
    uses : str
        What the move is judged by: ``margins``, ``errors`` or ``both``.
    """

    def __init__(self, rate, seed, old_rate=0.0, extra_rate=0.0, uses="both"):
        self.rate = rate
        self.random = random.Random(seed)
        self.old_rate = old_rate
        self.extra_rate = extra_rate
        self.uses = uses
        self.only_route = None
        self.old_hosts_count_errors = True
        self.disturb = lambda now, is_new, host: (0.0, 0)
        self.tallies = {}
        self.waiting_reports = []
        self.reports = {}
        self.progress = MoveProgress()
        self.new_requests = 0

    @property
    def is_overexposed(self):
        """Whether the new version got more than a tenth of all requests plus 50."""
        return self.new_requests > 0.1 * self.rate * DURATION_S + 50

    def send(self, now):
        is_new = self.random.random() < self.progress.share
        used = count_workers_used(self.progress.share, len(ZONES))
        host = self.random.randrange(used if is_new else len(ZONES))
        route = "view" if self.random.random() < 0.7 else "confirm"
        is_bad = is_new and self.only_route in (None, route)
        rate = self.old_rate + is_bad * self.extra_rate
        status = 500 if self.random.random() < rate else 200
        common_rate, common_status = self.disturb(now, is_new, host)
        if self.random.random() < common_rate:
            status = common_status
        self.new_requests += is_new
        tallies = self.tallies.setdefault((ZONES[host], is_new), {})
        seconds = 0.1 * self.random.lognormvariate(0, 0.4)
        tally = tallies.setdefault(route, Tally())
        tally.record(status != 200, seconds, status)

    def report(self, turn):
        """Return the reports that have arrived."""
        for (zone, is_new), tallies in self.tallies.items():
            counts = format_tallies(tallies)
            if not is_new and not self.old_hosts_count_errors:
                counts = [tally[:6] for tally in counts]
            report = OutcomeReport(
                zone, 0, "orders", "v2" if is_new else "v1", 1, counts
            )
            arrives = turn + REPORT_DELAYS[zone]
            self.waiting_reports.append((arrives, (zone, is_new), report))
        arrived = [entry for entry in self.waiting_reports if entry[0] <= turn]
        self.waiting_reports = [e for e in self.waiting_reports if e[0] > turn]
        self.reports.update({key: report for _, key, report in arrived})
        return list(self.reports.values())

    def merge(self, reports, version):
        return merge_tallies(get_tallies(r) for r in reports if r.version == version)

    def run(self):
        """Return how the move ends, and after how many seconds."""
        evidence = ErrorEvidence()
        for turn in range(int(DURATION_S / REPORT_S)):
            now = turn * REPORT_S
            for _ in range(int(self.rate * REPORT_S)):
                self.send(now)
            reports = self.report(turn)
            old, new = self.merge(reports, "v1"), self.merge(reports, "v2")
            comparisons = compare_versions(old, new)
            evidence.update(reports, "v2", now)
            findings = comparisons if self.uses != "errors" else []
            if self.uses != "margins":
                findings = findings + evidence.make_verdicts()
            if find_regression(findings, now, DURATION_S):
                return "rolled_back", now
            observation = MoveObservation(
                now,
                DURATION_S,
                sum(tally.calls for tally in old.values()),
                sum(tally.calls for tally in new.values()),
                4 if now >= 2.0 else 0,
                5,
                any(finding.is_suspicious for finding in findings),
                is_shown_harmless(comparisons),
            )
            self.progress = advance(self.progress, observation, now)
            if is_complete(self.progress, observation, now):
                return "succeeded", now
        return "running", DURATION_S


def run_moves(count, *args, **kwargs):
    """Return the moves of as many seeds, and the states and times at their end."""
    moves = [Move(args[0], seed, *args[1:], **kwargs) for seed in range(count)]
    return moves, [move.run() for move in moves]


def count_ends(ends, state):
    return sum(end[0] == state for end in ends)


def test_version_that_fails_three_of_a_hundred_requests_is_rolled_back():
    """Guards against a failure rate below which no number of failures counts.

    A version that failed 3 of 100 requests got nearly half of them by its deadline.
    """
    moves, ends = run_moves(40, ORDERS, 0.0, 0.03)
    assert count_ends(ends, "rolled_back") == 40
    assert sum(move.is_overexposed for move in moves) <= 1


# Rate of requests, error rate of the old version and what the new one adds to it; at
# least as many of 40 moves are rolled back, at this median time at the latest.
TIMES_TO_ROLL_BACK = [
    (ORDERS, 0.0, 0.02, 36, 11.0),
    (ORDERS, 0.0, 0.03, 39, 9.5),
    (ORDERS, 0.0, 0.05, 40, 7.5),
    (ORDERS, 0.0, 0.10, 40, 5.5),
    (ORDERS, 0.005, 0.05, 39, 10.0),
    (LEDGER, 0.0, 0.02, 28, 13.0),
    (LEDGER, 0.0, 0.03, 36, 11.0),
    (LEDGER, 0.0, 0.05, 40, 9.0),
    (LEDGER, 0.0, 0.10, 40, 6.5),
    (LEDGER, 0.005, 0.05, 35, 12.0),
    (SMALL, 0.0, 0.10, 28, 14.5),
]


@pytest.mark.parametrize(
    "rate, old_rate, extra_rate, rolled_back_min, median_s", TIMES_TO_ROLL_BACK
)
def test_time_to_roll_back(rate, old_rate, extra_rate, rolled_back_min, median_s):
    """Guards against evidence that comes too late to matter."""
    _, ends = run_moves(40, rate, old_rate, extra_rate)
    times = [seconds for state, seconds in ends if state == "rolled_back"]
    assert len(times) >= rolled_back_min
    assert statistics.median(times) <= median_s


@pytest.mark.parametrize("rate", [ORDERS, LEDGER, SMALL])
@pytest.mark.parametrize("extra_rate", [0.1, 0.2, 0.5])
def test_many_failures_are_rolled_back_as_early_as_by_the_margins(rate, extra_rate):
    """Guards against a test that delays what a margin shows at once."""
    by_margins, by_both = (
        [end[1] for end in run_moves(40, rate, 0.0, extra_rate, uses=uses)[1]]
        for uses in ("margins", "both")
    )
    assert statistics.median(by_both) <= statistics.median(by_margins)
    assert statistics.mean(by_both) <= statistics.mean(by_margins)


@pytest.mark.parametrize(
    "rate, old_rate, succeeded_min",
    [
        (ORDERS, 0.0, 200),
        (ORDERS, 0.02, 200),
        (LEDGER, 0.005, 200),
        (SMALL, 0.005, 198),
    ],
)
def test_calm_moves_of_good_versions_are_done_in_time(rate, old_rate, succeeded_min):
    """Guards against noise taken for a bad version, in 200 moves.

    By the margins alone as many succeed; on a small route the others lack outcomes.
    """
    _, ends = run_moves(200, rate, old_rate)
    assert count_ends(ends, "rolled_back") <= 200 * ALPHA
    assert count_ends(ends, "succeeded") >= succeeded_min
    assert all(t <= 0.95 * DURATION_S for state, t in ends if state == "succeeded")


def fail_calls_of_both(now, is_new, host):
    """A service that the workers call turns them away."""
    return (0.2 if 4.0 < now < 7.0 else 0.0), 500


def fail_more_from_a_time_on(now, is_new, host):
    """Both versions fail more often while the new one gets most requests."""
    return (0.03 if now > 8.0 else 0.0), 500


def fail_calls_of_one_zone(now, is_new, host):
    """Calls of workers in one zone fail, where the first new worker is."""
    return (0.05 if 4.0 < now < 8.0 and ZONES[host] == "a" else 0.0), 500


def refuse_on_one_host(now, is_new, host):
    """The new version's first worker is overloaded."""
    return (0.1 if 4.0 < now < 8.0 and is_new and host == 0 else 0.0), 503


def time_out_on_one_host(now, is_new, host):
    """The host of the new version's first worker is slow."""
    return (0.1 if 4.0 < now < 8.0 and is_new and host == 0 else 0.0), 504


def lose_answers_of_one_host(now, is_new, host):
    """Answers of the new version's first worker are lost."""
    return (0.06 if 4.0 < now < 8.0 and is_new and host == 0 else 0.0), 0


def crash_one_host(now, is_new, host):
    """The new version's first worker crashes with its requests."""
    return (1.0 if 5.0 <= now < 5.25 and is_new and host == 0 else 0.0), 0


def fail_all_calls_of_one_host_at_once(now, is_new, host):
    """All calls in progress of the new version's first worker fail."""
    return (1.0 if 5.0 <= now < 5.25 and is_new and host == 0 else 0.0), 500


@pytest.mark.parametrize(
    "disturb, rolled_back_max",
    [
        (fail_calls_of_both, 1),
        (fail_more_from_a_time_on, 1),
        (fail_calls_of_one_zone, 3),
        (refuse_on_one_host, 1),
        (time_out_on_one_host, 1),
        (lose_answers_of_one_host, 1),
        (crash_one_host, 1),
        (fail_all_calls_of_one_host_at_once, 1),
    ],
)
def test_failures_that_the_version_did_not_cause_are_no_evidence(
    disturb, rolled_back_max
):
    """Guards against a good version that is blamed for its host or its callees."""
    moves = [Move(ORDERS, seed, 0.002, uses="errors") for seed in range(40)]
    for move in moves:
        move.disturb = disturb
    ends = [move.run() for move in moves]
    assert count_ends(ends, "rolled_back") <= rolled_back_max


def make_reports(old, new):
    """Return reports of one zone; ``old`` and ``new`` are calls and errors."""
    return [
        OutcomeReport(
            "a", 0, "orders", version, 1, [["r", calls, errors, 0, [], 0, errors]]
        )
        for version, (calls, errors) in (("v1", old), ("v2", new))
    ]


def update_all(evidence, reports, start_s=0.0):
    for index, (old, new) in enumerate(reports):
        evidence.update(make_reports(old, new), "v2", start_s + WINDOW_S * index)
    return evidence.make_verdicts()


def test_one_window_is_no_proof():
    """Guards against a rollback because of one moment on one host.

    A node that starts during a move gets the outcomes until then at once.
    """
    evidence = ErrorEvidence()
    verdicts = update_all(evidence, [((2000, 0), (100, 20))])
    assert not any(verdict.is_suspicious for verdict in verdicts)
    later = [((2000 + 500 * n, 0), (100 + 30 * n, 20 + 6 * n)) for n in (1, 2, 3)]
    verdicts = update_all(evidence, later, 10.0)
    assert any(verdict.is_regression for verdict in verdicts)


def test_two_errors_among_few_requests_are_no_proof():
    """Guards against a rollback on a route with few requests."""
    verdicts = update_all(ErrorEvidence(), [((9, 0), (1, 1)), ((18, 0), (2, 2))])
    assert not any(verdict.is_regression for verdict in verdicts)


def test_counts_that_decrease_are_no_evidence():
    """Guards against counts of another collecting node, which lacks some processes."""
    reports = [((1000, 0), (60, 0)), ((800, 0), (10, 0)), ((1000, 0), (61, 6))]
    verdicts = update_all(ErrorEvidence(), reports[:2] + reports[2:] * 5)
    assert not any(verdict.is_suspicious for verdict in verdicts)
    verdicts = update_all(ErrorEvidence(), [((1000, 0), (60, 0)), ((1001, 0), (60, 9))])
    assert all(math.isfinite(verdict.log_value) for verdict in verdicts)


def test_version_is_not_blamed_if_the_old_hosts_do_not_count_errors():
    """Guards against an unknown number of errors that is taken for none.

    The hosts of the old version run an earlier release, and both versions fail alike.
    """
    moves = [Move(300, seed, 0.02) for seed in range(40)]
    for move in moves:
        move.old_hosts_count_errors = False
    assert count_ends([move.run() for move in moves], "rolled_back") == 0


@pytest.mark.parametrize("uncounted", ["v1", "v2"])
def test_window_with_an_unknown_number_of_errors_is_no_evidence(uncounted):
    """Guards against errors of a longer time that are taken for those of a window."""
    evidence = ErrorEvidence()
    for index in range(9):
        reports = make_reports((1000 * index, 0), (100 * index, 20 * index))
        if index % 2:
            reports = [
                evolve(r, tallies=[t[:6] for t in r.tallies])
                if r.version == uncounted
                else r
                for r in reports
            ]
        evidence.update(reports, "v2", WINDOW_S * index)
    assert not any(verdict.log_value > 0 for verdict in evidence.make_verdicts())


def test_route_is_not_judged_if_a_zone_does_not_count_its_errors():
    """Guards against a comparison of zones that differ in their release."""
    evidence = ErrorEvidence()
    for index in range(9):
        reports = make_reports((1000 * index, 0), (100 * index, 20 * index))
        other = OutcomeReport(
            "b", 0, "orders", "v1", 1, [["r", 100 * index, 20 * index, 0, [], 0]]
        )
        evidence.update([*reports, other], "v2", WINDOW_S * index)
    assert not any(verdict.log_value > 0 for verdict in evidence.make_verdicts())


@pytest.mark.parametrize("counts, errors", [([], None), ([0], None), ([0, 0, 7], 0)])
def test_reports_of_other_releases_are_accepted(counts, errors):
    """Guards against a node that fails on reports with fewer or more counts."""
    tallies = [["r", 10, 5, 0, [], *counts]]
    report = OutcomeReport("a", 0, "orders", "v2", 1, tallies)
    evidence = ErrorEvidence()
    evidence.update([report], "v2", 0.0)
    assert not any(verdict.is_suspicious for verdict in evidence.make_verdicts())
    assert get_tallies(report)["r"].errors == errors


@pytest.mark.parametrize(
    "status, errors", [(500, 1), (502, 1), (503, 0), (504, 0), (0, 0)]
)
def test_only_answers_that_tell_of_the_version_are_errors(status, errors):
    """Guards against refusals under load, time-outs and lost answers as evidence."""
    tally = Tally()
    tally.record(True, 0.0, status)
    tally.record(False, 0.1, 200)
    report = OutcomeReport("a", 0, "orders", "v2", 1, format_tallies({"r": tally}))
    assert (tally.failed, tally.errors) == (1, errors)
    assert get_tallies(report)["r"].errors == errors
