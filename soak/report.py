"""Report and plot of a run."""

from collections import Counter
from pathlib import Path
from typing import Any

from soak.checks import run_checks
from soak.lost import find_unanswered, is_exempt
from soak.records import Journal

# Per check; the report counts all of them.
MAX_LISTED_VIOLATIONS = 10


def summarize(journal: Journal) -> dict[str, Any]:
    """Return the report of a run: its statistics and the checks that failed."""
    requests = [request for request in journal.requests if request.kind != "probe"]
    statuses = Counter(request.status for request in requests)
    violations_by_check = run_checks(journal)
    return {
        "seed": journal.seed,
        "broken": {
            name: violations[:MAX_LISTED_VIOLATIONS]
            for name, violations in violations_by_check.items()
        },
        "counts": {
            name: len(violations) for name, violations in violations_by_check.items()
        },
        "requests": len(requests),
        "statuses": {str(k): v for k, v in sorted(statuses.items())},
        "arrivals": len(journal.arrivals),
        # What callers lose although no check counts it.
        "exempt": [
            f"{request.attempt_id} got {how}"
            for request, how in find_unanswered(journal)
            if is_exempt(journal, request)
        ],
        "troubles": dict(
            Counter(disruption.kind for disruption in journal.disruptions)
        ),
        "move": [*journal.faulty_version, journal.rollout_state],
        "peak_mib": max(journal.peak_kib_by_host.values()) // 1024,
    }


def write_plot(journal: Journal, path: Path) -> None:
    """Plot served and unserved requests per second above the disruptions."""
    from matplotlib import pyplot

    start = journal.requests[0].sent_at
    served: Counter[int] = Counter()
    unserved: Counter[int] = Counter()
    for request in journal.requests:
        counter = served if request.status == 200 else unserved
        counter[int(request.sent_at - start)] += request.kind != "probe"
    seconds = range(max([*served, *unserved]) + 1)
    figure, (upper, lower) = pyplot.subplots(2, sharex=True, figsize=(9, 6))
    upper.plot(seconds, [served[s] for s in seconds], label="served")
    upper.plot(seconds, [unserved[s] for s in seconds], label="not served")
    upper.set_ylabel("requests/s")
    upper.legend()
    for row, disruption in enumerate(journal.disruptions):
        lower.plot([disruption.start - start, disruption.end - start], [row, row], lw=3)
        lower.text(disruption.end - start, row, disruption.kind, fontsize=6)
    lower.set_xlabel("seconds")
    lower.set_yticks([])
    figure.savefig(path)
    pyplot.close(figure)
