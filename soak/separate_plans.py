"""Schedules of faults that each run has, besides those of ``soak.faults``.

Each has a source of its own, so that kept seeds play the same other faults.
"""

from random import Random

from soak.faults import FaultEvent

# Rate limits that workers name: how many, and for how long.
LIMITS = 3
LIMIT_S = 11.0
# Workers that sign off as their node starts again: how many, and when after the kill.
SIGN_OFFS = 3
MAX_SIGN_OFF_DELAY_S = 1.5
# For how long the store is unavailable when it is restored from a copy.
RESTORE_S = 0.4


def plan_limits(random: Random, duration_s: float) -> list[FaultEvent]:
    """Return the events of a run in which workers name rate limits."""
    return [
        FaultEvent(
            random.uniform(0.0, 0.6 * duration_s),
            "limit_worker",
            LIMIT_S,
            random.random(),
        )
        for _ in range(LIMITS)
    ]


def plan_sign_offs(random: Random, duration_s: float) -> list[FaultEvent]:
    """Return the events of a run in which workers sign off as nodes start again."""
    return [
        FaultEvent(
            random.uniform(0.0, 0.6 * duration_s),
            "sign_off_worker",
            random.uniform(0.0, MAX_SIGN_OFF_DELAY_S),
            random.random(),
        )
        for _ in range(SIGN_OFFS)
    ]


def plan_restores(random: Random, duration_s: float) -> list[FaultEvent]:
    """Return the event of a run in which the store is restored from a copy."""
    at = random.uniform(0.1, 0.7) * duration_s
    return [FaultEvent(at, "restore_store", RESTORE_S, random.random())]
